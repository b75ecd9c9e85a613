//! Chooses the best worker for a task.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use super::admission::serves;
use crate::job::{JobName, JobRecord};
use crate::worker::{WorkerIndex, WorkerRecord};

/// Step in which workers are told apart by the time since a task ended well there: about the run time
/// of a short task.
const PROOF_STEP: Duration = Duration::from_millis(100);

/// Time since a task ended well from which workers are no longer told apart.
const LONGEST_UNPROVEN: Duration = Duration::from_secs(2);

/// A worker that could take a task; the least is taken.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct PlacementScore {
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
    /// Returns the best worker for a task of a job among those that have room for it.
    pub(super) fn choose_worker(
        &self,
        job: &JobRecord,
        task: usize,
        now: UnixTime,
    ) -> Option<WorkerIndex> {
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

    /// Weighs a worker for a task; none if it must not get the task now.
    pub(super) fn score(
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
}

fn tasks_of(worker: &WorkerRecord, job: &JobName) -> u32 {
    let count = worker
        .runs
        .iter()
        .filter(|run| run.facts().task.job == *job)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
