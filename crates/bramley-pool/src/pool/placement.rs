//! Decides which waiting tasks are started when.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use crate::job::{JobName, JobRecord, TaskStanding};
use crate::message::{PoolMessage, RelayId, TaskPlacement};
use crate::run::RunFacts;
use crate::worker::{WorkerIndex, WorkerRecord};

impl Pool {
    /// Starts waiting tasks in order wherever there is room, and finds out anew for which jobs workers
    /// are kept free.
    pub(super) fn place_all(&mut self, now: UnixTime) {
        if !self.may_place(now) {
            return;
        }
        self.forget_round();
        let mut least_failed_cpu = u32::MAX;
        for name in self.waiting_order(now) {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let cpu = job.submission.work.room.cpu_milli;
            if cpu >= least_failed_cpu || !self.place_job(&name, now) {
                least_failed_cpu = least_failed_cpu.min(cpu);
                self.reserve_workers(&name, now);
            }
        }
        self.drop_placed();
    }

    /// Starts waiting tasks where something has changed since the last round: on workers with room
    /// that has become free, and of jobs that have come to wait. A full round would look at each
    /// waiting job and worker with each end of a run.
    pub(super) fn place_due(&mut self, now: UnixTime) {
        if !self.may_place(now) {
            return;
        }
        let mut freed = std::mem::take(&mut self.freed_workers);
        freed.sort_unstable();
        freed.dedup();
        if !freed.is_empty() {
            let order = self.waiting_order(now);
            for index in freed {
                self.place_on(index, &order, now);
            }
        }
        for name in std::mem::take(&mut self.fresh_jobs) {
            self.place_job(&name, now);
        }
        self.drop_placed();
    }

    /// Tells whether tasks wait that may be started now.
    fn may_place(&mut self, now: UnixTime) -> bool {
        if self.queue.is_empty() {
            self.forget_round();
            return false;
        }
        self.token.is_some() && !self.awaits_list && now >= self.placing_from
    }

    /// Forgets what has changed since the last round and what it has reserved.
    fn forget_round(&mut self) {
        self.freed_workers.clear();
        self.fresh_jobs.clear();
        self.reservations.clear();
    }

    /// Returns the waiting jobs in order, at most as many as one round looks at.
    fn waiting_order(&self, now: UnixTime) -> Vec<JobName> {
        let mut order: Vec<((u8, UnixTime), &JobName)> = self
            .queue
            .iter()
            .filter_map(|name| Some((self.order_key(self.jobs.get(name)?, now), name)))
            .collect();
        order.sort_by_key(|(key, _)| *key);
        order.truncate(self.settings.scan_limit);
        order.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Takes jobs without waiting tasks out of the queue.
    fn drop_placed(&mut self) {
        let jobs = &self.jobs;
        self.queue
            .retain(|name| jobs.get(name).is_some_and(|job| job.waiting > 0));
    }

    /// Starts waiting tasks in order on one worker while it has room.
    fn place_on(&mut self, index: WorkerIndex, order: &[JobName], now: UnixTime) {
        for name in order {
            if self.is_reserved(index, name) {
                continue;
            }
            self.place_tasks(name, now, |pool, job, task| {
                let score = pool.score(pool.worker(index), index, job, task, now);
                score.map(|_| index)
            });
        }
    }

    /// Tells whether a task waits and may get a run.
    fn awaits_placement(&self, job: &JobRecord, position: usize, now: UnixTime) -> bool {
        job.tasks[position].standing == TaskStanding::Waiting
            && self.has_lost_earlier_run(job, position, now)
    }

    /// Starts the waiting tasks of a job on the best workers; returns whether all found room.
    fn place_job(&mut self, name: &JobName, now: UnixTime) -> bool {
        self.place_tasks(name, now, |pool, job, task| {
            pool.choose_worker(job, task, now)
        })
    }

    /// Starts the waiting tasks of a job on the workers that `choose` names, until it names none; returns
    /// whether all found room.
    fn place_tasks(
        &mut self,
        name: &JobName,
        now: UnixTime,
        choose: impl Fn(&Self, &JobRecord, usize) -> Option<WorkerIndex>,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return true;
        };
        if job.relay.is_none() {
            return true;
        }
        let (tasks, relay) = (job.tasks.len(), job.relay);
        let mut placements = Vec::new();
        let mut all_placed = true;
        for position in 0..tasks {
            let Some(job) = self.jobs.get(name) else {
                break;
            };
            if !self.awaits_placement(job, position, now) {
                continue;
            }
            let Some(worker) = choose(self, job, position) else {
                all_placed = false;
                break;
            };
            self.start_task(name, position, worker, now);
            let index = u32::try_from(position).unwrap_or(u32::MAX);
            placements.push(self.placement(index, worker));
        }
        if !placements.is_empty() {
            self.report_placements(relay, name, placements);
        }
        all_placed
    }

    /// Names the worker of a task as relays are told.
    pub(super) fn placement(&self, index: u32, worker: WorkerIndex) -> TaskPlacement {
        TaskPlacement {
            index,
            worker: self.worker(worker).entry.name.clone(),
        }
    }

    /// Tells a relay that its job is here and on which workers its tasks are.
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

/// Returns the age of the worker's latest report.
pub(super) fn report_age(worker: &WorkerRecord, now: UnixTime) -> Duration {
    now.since(worker.reported_at)
}

/// Returns when a run is expected to end, at least now.
pub(super) fn expected_end(worker: &WorkerRecord, facts: &RunFacts, now: UnixTime) -> UnixTime {
    let expected = facts.expected.mul_f64(worker.pace);
    facts.started_at.after(expected).max(now)
}
