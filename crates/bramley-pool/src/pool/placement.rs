//! Chooses workers for waiting tasks and sends starts.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::units::UnixTime;

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
    /// Starts waiting tasks in order while there is room.
    pub(super) fn place_waiting(&mut self, now: UnixTime) {
        self.placement_due = false;
        if self.token.is_none() || self.queue.is_empty() || now < self.placing_from {
            return;
        }
        self.measure_contention(now);
        let mut order: Vec<(JobName, (u8, UnixTime))> = self
            .queue
            .iter()
            .filter_map(|name| Some((name.clone(), self.order_key(self.jobs.get(name)?, now))))
            .collect();
        order.sort_by_key(|(_, key)| *key);
        order.truncate(self.settings.scan_limit);
        let mut least_failed_cpu = u32::MAX;
        let mut reserved = Vec::new();
        for (name, _) in order {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let cpu = job.submission.work.room.cpu_milli;
            if cpu >= least_failed_cpu {
                self.reserve_workers(&name, &mut reserved, now);
                continue;
            }
            if !self.place_job(&name, &reserved, now) {
                least_failed_cpu = cpu;
                self.reserve_workers(&name, &mut reserved, now);
            }
        }
        let jobs = &self.jobs;
        self.queue
            .retain(|name| jobs.get(name).is_some_and(|job| job.waiting > 0));
    }

    /// Starts the waiting tasks of a job; returns whether all found room.
    fn place_job(&mut self, name: &JobName, reserved: &[WorkerIndex], now: UnixTime) -> bool {
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
            let is_waiting = job.tasks[position].standing == TaskStanding::Waiting;
            if !is_waiting || !self.has_lost_earlier_run(job, position, now) {
                continue;
            }
            let Some(worker) = self.choose_worker(job, position, reserved, now) else {
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

    /// Keeps the workers on which a job's waiting tasks can start soonest free of later jobs, once
    /// the job has used up half of the time that it can wait: smaller tasks would take up each
    /// worker's room piece by piece.
    fn reserve_workers(&self, name: &JobName, reserved: &mut Vec<WorkerIndex>, now: UnixTime) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let arrived = job.submission.arrived_at;
        let slack = job.latest_start().since(arrived);
        if now < arrived.after(slack / 2) {
            return;
        }
        let most = (self.workers.len() / RESERVED_DIVISOR).max(1);
        for _ in 0..job.waiting {
            if reserved.len() >= most {
                return;
            }
            let soonest = self
                .indices()
                .filter(|index| !reserved.contains(index))
                .filter_map(|index| Some((self.room_at(index, job, now)?, index)))
                .min();
            let Some((_, index)) = soonest else {
                return;
            };
            reserved.push(index);
        }
    }

    /// Returns when a worker has room for a task of the job, if its runs end as expected.
    fn room_at(&self, index: WorkerIndex, job: &JobRecord, now: UnixTime) -> Option<UnixTime> {
        let worker = self.worker(index);
        let room = job.submission.work.room;
        let is_able = worker.is_usable()
            && worker.health.suspended_until <= now
            && serves(worker, job)
            && room.fits(worker.entry.capacity);
        if !is_able {
            return None;
        }
        let mut ends: Vec<(UnixTime, TaskRoom)> = worker
            .runs
            .iter()
            .map(|run| (expected_end(worker, run.facts(), now), run.facts().room))
            .collect();
        ends.sort_by_key(|(end, _)| *end);
        let mut booked = worker.booked;
        let mut free_at = now;
        for (end, freed) in ends {
            if room.fits(worker.entry.capacity.minus(booked)) {
                break;
            }
            booked = booked.minus(freed);
            free_at = end;
        }
        Some(free_at)
    }

    fn choose_worker(
        &self,
        job: &JobRecord,
        task: usize,
        reserved: &[WorkerIndex],
        now: UnixTime,
    ) -> Option<WorkerIndex> {
        let mut best: Option<(PlacementScore, WorkerIndex)> = None;
        for index in self.indices().filter(|index| !reserved.contains(index)) {
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
