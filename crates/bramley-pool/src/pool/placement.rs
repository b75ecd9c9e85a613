//! Chooses workers for waiting tasks and sends starts.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::Pool;
use super::admission::serves;
use crate::decision::Decision;
use crate::job::{JobName, JobRecord, TaskName, TaskStanding};
use crate::message::{PoolMessage, RelayId, TaskPlacement};
use crate::room::TaskRoom;
use crate::run::{LiveRun, Run, RunFacts};
use crate::worker::{WorkerIndex, WorkerOrder, WorkerRecord};

/// Step in which workers are told apart by the time since a task ended well there: about the run time
/// of a short task.
const PROOF_STEP: Duration = Duration::from_millis(100);

/// Time since a task ended well from which workers are no longer told apart.
const LONGEST_UNPROVEN: Duration = Duration::from_secs(2);

/// At most one worker in this many is kept free for jobs that wait long.
const RESERVED_DIVISOR: usize = 4;

/// Runs for which no memory is allocated when the ends of a worker's runs are ordered.
pub(super) const USUAL_RUNS: usize = 4;

/// A worker that could take a task; the least is taken.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct PlacementScore {
    /// Whether the task's last run there did not end well, or the worker is on probation.
    is_doubtful: bool,
    /// For a task that has failed: time since the latest start there that ended well, in steps.
    unproven_steps: u32,
    /// Expected run time there in steps of a quarter of that on a sound worker.
    time_steps: u32,
    /// Processor share that stays free, so that tasks are packed tightly.
    free_cpu_milli: u32,
}

impl Pool {
    /// Starts waiting tasks in order wherever there is room, and finds out anew for which jobs workers
    /// are kept free.
    pub(super) fn place_all(&mut self, now: UnixTime) {
        if !self.may_place(now) {
            return;
        }
        self.freed_workers.clear();
        self.fresh_jobs.clear();
        self.reservations.clear();
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

    fn may_place(&self, now: UnixTime) -> bool {
        let is_ready = self.token.is_some() && !self.awaits_list && now >= self.placing_from;
        is_ready && !self.queue.is_empty()
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
            let Some(job) = self.jobs.get(name) else {
                continue;
            };
            let (tasks, relay) = (job.tasks.len(), job.relay);
            if relay.is_none() || self.is_reserved(index, name) {
                continue;
            }
            let mut placements = Vec::new();
            for position in 0..tasks {
                let Some(job) = self.jobs.get(name) else {
                    break;
                };
                if !self.awaits_placement(job, position, now) {
                    continue;
                }
                let worker = self.worker(index);
                if self.score(worker, index, job, position, now).is_none() {
                    break;
                }
                self.start_task(name, position, index, now);
                let task = u32::try_from(position).unwrap_or(u32::MAX);
                placements.push(self.placement(task, index));
            }
            if !placements.is_empty() {
                self.report_placements(relay, name, placements);
            }
        }
    }

    /// Tells whether a task waits and may get a run.
    fn awaits_placement(&self, job: &JobRecord, position: usize, now: UnixTime) -> bool {
        job.tasks[position].standing == TaskStanding::Waiting
            && self.has_lost_earlier_run(job, position, now)
    }

    /// Starts the waiting tasks of a job; returns whether all found room.
    fn place_job(&mut self, name: &JobName, now: UnixTime) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return true;
        };
        if job.relay.is_none() {
            return true;
        }
        let tasks = job.tasks.len();
        let relay = job.relay;
        let mut placements = Vec::new();
        let mut all_placed = true;
        for position in 0..tasks {
            let Some(job) = self.jobs.get(name) else {
                break;
            };
            if !self.awaits_placement(job, position, now) {
                continue;
            }
            let Some(worker) = self.choose_worker(job, position, now) else {
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

    /// Keeps the workers on which a job's waiting tasks can start soonest free of other jobs, once the
    /// job has used up half of the time that it can wait: smaller tasks would take up each worker's
    /// room piece by piece.
    fn reserve_workers(&mut self, name: &JobName, now: UnixTime) {
        let most = (self.workers.len() / RESERVED_DIVISOR).max(1);
        let left = most.saturating_sub(self.reservations.len());
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let arrived = job.submission.arrived_at;
        let slack = job.latest_start().since(arrived);
        if left == 0 || now < arrived.after(slack / 2) {
            return;
        }
        let wanted = left.min(job.waiting as usize);
        let mut soonest: Vec<(UnixTime, WorkerIndex)> = self
            .indices()
            .filter(|index| !self.reservations.contains_key(index))
            .filter_map(|index| Some((self.room_at(index, job, now)?, index)))
            .collect();
        if wanted < soonest.len() {
            soonest.select_nth_unstable(wanted);
            soonest.truncate(wanted);
        }
        for (_, index) in soonest {
            self.reservations.insert(index, name.clone());
        }
    }

    /// Tells whether a worker is kept free for another job.
    fn is_reserved(&self, index: WorkerIndex, name: &JobName) -> bool {
        self.reservations
            .get(&index)
            .is_some_and(|owner| owner != name)
    }

    /// Returns when a worker has room for a task of the job, if its runs end as expected.
    fn room_at(&self, index: WorkerIndex, job: &JobRecord, now: UnixTime) -> Option<UnixTime> {
        self.weighed.set(self.weighed.get() + 1);
        let worker = self.worker(index);
        let room = job.submission.work.room;
        let is_able = worker.is_usable()
            && worker.health.suspended_until <= now
            && serves(worker, job)
            && room.fits(worker.entry.capacity);
        if !is_able {
            return None;
        }
        let mut booked = worker.booked;
        let mut free_at = now;
        if room.fits(worker.entry.capacity.minus(booked)) {
            return Some(free_at);
        }
        let mut ends: SmallVec<[(UnixTime, TaskRoom); USUAL_RUNS]> = worker
            .runs
            .iter()
            .map(|run| (expected_end(worker, run.facts(), now), run.facts().room))
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        for (end, freed) in ends {
            if room.fits(worker.entry.capacity.minus(booked)) {
                break;
            }
            booked = booked.minus(freed);
            free_at = end;
        }
        Some(free_at)
    }

    fn choose_worker(&self, job: &JobRecord, task: usize, now: UnixTime) -> Option<WorkerIndex> {
        let mut best: Option<(PlacementScore, WorkerIndex)> = None;
        let name = &job.submission.work.job;
        for index in self.indices() {
            if self.is_reserved(index, name) {
                continue;
            }
            let worker = self.worker(index);
            let Some(score) = self.score(worker, index, job, task, now) else {
                continue;
            };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn score(
        &self,
        worker: &WorkerRecord,
        index: WorkerIndex,
        job: &JobRecord,
        task: usize,
        now: UnixTime,
    ) -> Option<PlacementScore> {
        self.weighed.set(self.weighed.get() + 1);
        let work = &job.submission.work;
        let free = worker.free();
        if !worker.is_usable()
            || worker.health.suspended_until > now
            || !work.room.fits(free)
            || !serves(worker, job)
        {
            return None;
        }
        if worker.health.on_probation && !worker.runs.is_empty() {
            return None;
        }
        if work.spread_limit > 0 && tasks_of(worker, &work.job) >= work.spread_limit {
            return None;
        }
        let is_remote =
            !work.preferred_rack.is_empty() && !worker.entry.labels.contains(&work.preferred_rack);
        let distance = if is_remote {
            self.settings.remote_factor
        } else {
            1.0
        };
        let is_doubtful = worker.health.on_probation || job.tasks[task].avoided == Some(index);
        // Another failure may be the job's last: a sound worker is waited for while there is time.
        if is_doubtful && job.tasks[task].failures > 0 && now < job.objective_at {
            return None;
        }
        let unproven_steps = if job.tasks[task].failures == 0 {
            0
        } else {
            let unproven = now.since(worker.health.good_at).min(LONGEST_UNPROVEN);
            u32::try_from(unproven.as_millis() / PROOF_STEP.as_millis()).unwrap_or(u32::MAX)
        };
        let time_steps = (worker.pace * distance * 4.0).max(0.0) as u32;
        Some(PlacementScore {
            is_doubtful,
            unproven_steps,
            time_steps,
            free_cpu_milli: free.minus(work.room).cpu_milli,
        })
    }

    fn start_task(&mut self, name: &JobName, position: usize, index: WorkerIndex, now: UnixTime) {
        let lease = self.settings.run_lease;
        let error = self.settings.clock_error_permille;
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let task = &mut job.tasks[position];
        task.last_number += 1;
        task.standing = TaskStanding::Placed(index);
        task.placed_number = task.last_number;
        job.waiting -= 1;
        job.offered = true;
        let number = task.last_number;
        let age = now.since(job.submission.arrived_at);
        let spec = Arc::clone(&job.submission.work.spec);
        let facts = RunFacts {
            task: TaskName::single_step(name.clone(), u32::try_from(position).unwrap_or(u32::MAX)),
            number,
            room: job.submission.work.room,
            started_at: now,
            expected: job.expected,
            wanted: true,
            sent_again: false,
        };
        let task = facts.task.clone();
        let worker = self.worker_mut(index);
        worker.add_run(LiveRun::Starting(Run::new(facts)));
        let lease_end = worker.clock.extend_lease(now, lease, error);
        let decision = Decision::Placed {
            task: task.clone(),
            number,
            worker: worker.entry.name.clone(),
            free_cpu_milli: worker.free().cpu_milli,
            report_age: report_age(worker, now),
            age,
        };
        self.note(decision);
        let order = WorkerOrder::Start {
            task,
            number,
            spec,
            lease_end,
        };
        self.order(index, order, now);
        self.look_if_needed(index, now);
    }
}

impl Pool {
    /// Sends a start that had no answer a second time, under the same number; returns false if its caller
    /// may be gone.
    pub(super) fn send_start_again(
        &mut self,
        index: WorkerIndex,
        position: usize,
        now: UnixTime,
    ) -> bool {
        let lease = self.settings.run_lease;
        let error = self.settings.clock_error_permille;
        let facts = self.worker(index).runs[position].facts();
        let (task, number) = (facts.task.clone(), facts.number);
        let job = self.jobs.get(&task.job);
        let Some(job) = job.filter(|job| job.relay.is_some() && now >= self.placing_from) else {
            return false;
        };
        let spec = Arc::clone(&job.submission.work.spec);
        let worker = self.worker_mut(index);
        worker.runs[position].facts_mut().sent_again = true;
        let lease_end = worker.clock.extend_lease(now, lease, error);
        let decision = Decision::StartSentAgain {
            task: task.clone(),
            number,
            worker: worker.entry.name.clone(),
            report_age: report_age(worker, now),
        };
        self.note(decision);
        let order = WorkerOrder::Start {
            task,
            number,
            spec,
            lease_end,
        };
        self.order(index, order, now);
        true
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

fn tasks_of(worker: &WorkerRecord, job: &JobName) -> u32 {
    let count = worker
        .runs
        .iter()
        .filter(|run| run.facts().task.job == *job)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
