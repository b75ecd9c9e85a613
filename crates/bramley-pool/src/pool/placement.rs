//! Order and rounds in which waiting tasks are started.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use super::faster::SpeedPlan;
use crate::crash::Suspicion;
use crate::job::{JobName, JobRecord, TaskState};
use crate::message::{PoolMessage, RelayId, TaskPlacement};
use crate::run::RunDetails;
use crate::worker::{WorkerIndex, WorkerRecord};

/// Multiple of the expected run time from which a run is taken for a long task. Declared run times
/// are wrong by a factor of 1.4.
const LONG_TASK_FACTOR: u32 = 2;

impl Pool {
    /// Full placement round: starts waiting tasks in queue order on all workers. Once a job could not
    /// be placed, later jobs are only tried if their tasks need less CPU.
    pub(super) fn place_all(&mut self, now: UnixTime) {
        if !self.may_place(now) {
            self.request_tasks(now);
            return;
        }
        self.clear_round();
        self.begin_faster_round(now);
        let mut min_failed_cpu = u32::MAX;
        for name in self.waiting_order(now) {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let cpu = job.submission.work.resources.cpu_milli;
            let needs_idle_worker = job.awaits_idle_worker();
            let is_tried = needs_idle_worker || cpu < min_failed_cpu;
            if is_tried && !self.waits_without_room(&name, now) && self.place_job(&name, now) {
                continue;
            }
            // The lack of an idle or a faster worker does not show that smaller tasks fit nowhere.
            let waits_for_faster = self.plan_job(&name, now) == Some(SpeedPlan::InTime);
            if waits_for_faster
                && !needs_idle_worker
                && let Some(job) = self.jobs.get(&name)
            {
                self.faster.record_no_room(job, now);
            } else if !needs_idle_worker {
                min_failed_cpu = min_failed_cpu.min(cpu);
            }
        }
        self.publish_waiting(now);
    }

    /// Incremental placement round: considers only workers that have gained free resources and jobs
    /// that have started to wait since the last round. A full round at each end of a run would
    /// score every worker for every waiting job.
    pub(super) fn place_due(&mut self, now: UnixTime) {
        if !self.may_place(now) {
            self.request_tasks(now);
            return;
        }
        let mut freed = std::mem::take(&mut self.freed_workers);
        freed.sort_unstable();
        freed.dedup();
        self.record_freed(&freed);
        if !freed.is_empty() {
            let order = self.waiting_order(now);
            for index in freed {
                self.place_on(index, &order, now);
                self.raise_max_free_cpu(index);
            }
        }
        for name in std::mem::take(&mut self.newly_waiting) {
            if self.may_fit_anywhere(&name) {
                self.place_job(&name, now);
            }
        }
        self.publish_waiting(now);
    }

    /// Returns whether there are waiting tasks and starts are allowed now. If the queue is empty,
    /// also clears the state of the last round.
    fn may_place(&mut self, now: UnixTime) -> bool {
        if self.queue.is_empty() {
            self.faster.clear();
            self.clear_round();
            return false;
        }
        self.may_start_tasks(now)
    }

    /// Returns whether starts are allowed now.
    pub(super) fn may_start_tasks(&self, now: UnixTime) -> bool {
        self.token.is_some()
            && !self.awaits_list
            && self.evacuation.allows_starts(now)
            && now >= self.placement_paused_until
    }

    /// Clears the changes since the last round.
    fn clear_round(&mut self) {
        for index in std::mem::take(&mut self.freed_workers) {
            self.raise_max_free_cpu(index);
        }
        self.newly_waiting.clear();
    }

    /// Returns the waiting jobs in queue order, up to the limit of one round.
    fn waiting_order(&self, now: UnixTime) -> Vec<JobName> {
        let order = self.queue.in_order(self.is_contended, now);
        order.take(self.settings.scan_limit).cloned().collect()
    }

    /// Starts waiting tasks in queue order on one worker, as far as they fit.
    fn place_on(&mut self, index: WorkerIndex, order: &[JobName], now: UnixTime) {
        for name in order {
            let is_left = !self.may_fit(index, name) || self.leaves_worker(name, index, now);
            if is_left {
                continue;
            }
            self.place_tasks(name, now, |pool, job, task| {
                let score = pool.score(pool.worker(index), index, job, task, now);
                score.map(|_| index)
            });
        }
    }

    /// Returns whether any worker may have room for a task of the job. Without this check, each job
    /// that is admitted while all workers are busy would have all of them scored.
    fn may_fit_anywhere(&mut self, name: &JobName) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        let cpu_milli = job.submission.work.resources.cpu_milli;
        if !job.submission.placements.is_empty() {
            return true;
        }
        let max_free = self.max_free_cpu_milli.unwrap_or_else(|| {
            self.count_visits(self.workers.len() as u64);
            let free = self.workers.iter().map(|worker| worker.free().cpu_milli);
            free.max().unwrap_or(0)
        });
        self.max_free_cpu_milli = Some(max_free);
        cpu_milli <= max_free
    }

    /// Includes the free CPU of a worker in the upper bound.
    fn raise_max_free_cpu(&mut self, index: WorkerIndex) {
        let free = self.worker(index).free().cpu_milli;
        if let Some(max_free) = &mut self.max_free_cpu_milli {
            *max_free = free.max(*max_free);
        }
    }

    /// Returns whether the worker has room for a task of the job, or the job has to be looked at
    /// for another reason.
    fn may_fit(&self, index: WorkerIndex, name: &JobName) -> bool {
        self.jobs.get(name).is_some_and(|job| {
            let has_earlier_placements = !job.submission.placements.is_empty();
            let resources = job.submission.work.resources;
            has_earlier_placements || resources.fits_in(self.worker(index).free())
        })
    }

    /// Returns whether a task waits and can be started safely.
    pub(super) fn awaits_placement(&self, job: &JobRecord, position: usize, now: UnixTime) -> bool {
        let task = &job.tasks[position];
        task.state == TaskState::Waiting
            && task.suspicion.allows_start()
            && self.is_safe_to_start(job, position, now)
    }

    /// Starts the waiting tasks of a job on the best workers. Returns false if no worker can take
    /// one of them now.
    fn place_job(&mut self, name: &JobName, now: UnixTime) -> bool {
        self.place_tasks(name, now, |pool, job, task| {
            pool.choose_worker(job, task, now)
        })
    }

    /// Starts the waiting tasks of a job on the workers that `choose` returns, until it returns
    /// `None`; returns false in that case. Tasks that cannot be started safely yet are skipped, and
    /// so are jobs whose relay is disconnected and, during an evacuation, those that have not begun.
    fn place_tasks(
        &mut self,
        name: &JobName,
        now: UnixTime,
        choose: impl Fn(&Self, &JobRecord, usize) -> Option<WorkerIndex>,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return true;
        };
        if job.relay.is_none() || (self.is_evacuated() && !job.may_have_started) {
            return true;
        }
        let (tasks, relay) = (job.tasks.len(), job.relay);
        let plan = self.plan_job(name, now);
        if plan == Some(SpeedPlan::Late) && !self.serve_late(name, now) {
            return true;
        }
        let waits_for_faster = plan == Some(SpeedPlan::InTime);
        let mut placements = Vec::new();
        let mut all_placed = true;
        for position in 0..tasks {
            let Some(job) = self.jobs.get(name) else {
                break;
            };
            if !self.awaits_placement(job, position, now) {
                continue;
            }
            let index = u32::try_from(position).unwrap_or(u32::MAX);
            if !job.submission.placements.is_empty() {
                self.judge_earlier_placement(name, position, now);
                if self.close_if_barred(name, index, now) {
                    return true;
                }
            }
            let Some(job) = self.jobs.get(name) else {
                break;
            };
            let is_suspected = job.tasks[position].suspicion != Suspicion::Unsuspected;
            let chosen = choose(self, job, position).filter(|worker| {
                !waits_for_faster || !self.is_too_slow(self.worker(*worker), job, now)
            });
            let Some(worker) = chosen else {
                all_placed = false;
                if is_suspected {
                    // The job's other tasks need no idle worker.
                    continue;
                }
                break;
            };
            self.start_task(name, position, worker, now);
            placements.push(self.placement(index, worker));
        }
        if !placements.is_empty() {
            self.report_placements(relay, name, placements);
        }
        all_placed
    }

    /// Returns the entry of a task for a placement message.
    pub(super) fn placement(&self, index: u32, worker: WorkerIndex) -> TaskPlacement {
        TaskPlacement {
            index,
            worker: self.worker(worker).entry.name.clone(),
            born_unix_ms: self.worker(worker).entry.born_unix_ms,
        }
    }

    /// Reports to a relay that its job was admitted and where its tasks were placed.
    pub(super) fn report_placements(
        &mut self,
        relay: Option<RelayId>,
        name: &JobName,
        placements: Vec<TaskPlacement>,
    ) {
        let message = PoolMessage::Placed {
            job: name.clone(),
            placements,
        };
        self.send(relay, message);
    }
}

/// Returns the age of the latest report from a worker.
pub(super) fn report_age(worker: &WorkerRecord, now: UnixTime) -> Duration {
    now.since(worker.report_requested_at)
}

/// Returns when a run is expected to end, but not earlier than `now`. A run that has taken twice the
/// expected time or more is a long task, which takes about as long again.
pub(super) fn expected_end(worker: &WorkerRecord, details: &RunDetails, now: UnixTime) -> UnixTime {
    let expected = details.expected.mul_f64(worker.relative_run_time);
    let elapsed = now.since(details.started_at);
    if elapsed >= expected * LONG_TASK_FACTOR {
        return now.after(elapsed);
    }
    usual_end(worker, details, now)
}

/// Returns when a run would usually end, but not earlier than `now`.
pub(super) fn usual_end(worker: &WorkerRecord, details: &RunDetails, now: UnixTime) -> UnixTime {
    let expected = details.expected.mul_f64(worker.relative_run_time);
    details.started_at.after(expected).max(now)
}
