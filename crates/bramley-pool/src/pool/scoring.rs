//! Choice of the best worker for a task.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use super::admission::serves;
use crate::crash::Suspicion;
use crate::job::{JobName, JobRecord};
use crate::worker::{WorkerIndex, WorkerRecord};

/// Resolution at which workers are compared by the time since their last success; about the run
/// time of a short task.
const SUCCESS_AGE_STEP: Duration = Duration::from_millis(100);

/// Time since the last success beyond which workers are no longer distinguished.
const MAX_SUCCESS_AGE: Duration = Duration::from_secs(2);

/// Steps in which a mutual slowdown is compared per unit: less than the smallest slowdown that
/// counts.
const SLOWDOWN_STEPS: f64 = 20.0;

/// Number of bits for these steps, which hold the largest slowdown that is assumed.
const SLOWDOWN_BITS: u32 = 8;

/// Score of a worker for a task; fields are compared in order, and the lowest score wins.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct PlacementScore {
    /// Whether the task's last run on this worker did not succeed, or the worker is on probation.
    is_suspect: bool,
    /// For a task that has failed: time since the start of the worker's latest successful run, in
    /// steps.
    success_age_steps: u32,
    /// Whether the job would miss its objective because of the worker's speed.
    is_too_slow: bool,
    /// Rank by the expected run time on this worker beside its runs, in quarters of that on a
    /// healthy one, and behind it the mutual slowdown with interfering neighbours; see
    /// [`Pool::time_steps`].
    time_steps: u32,
    /// CPU that would stay free; preferring less of it packs tasks tightly.
    free_cpu_milli: u32,
}

impl Pool {
    /// Returns the best worker for a task among those that can take it now.
    pub(super) fn choose_worker(
        &self,
        job: &JobRecord,
        task: usize,
        now: UnixTime,
    ) -> Option<WorkerIndex> {
        let mut best: Option<(PlacementScore, WorkerIndex)> = None;
        let mut plain_best: Option<(PlacementScore, WorkerIndex)> = None;
        let is_interference_known = self.interference.is_active();
        for index in self.indices() {
            let worker = self.worker(index);
            let Some(score) = self.score(worker, index, job, task, now) else {
                continue;
            };
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
            if is_interference_known {
                let plain_score = PlacementScore {
                    time_steps: self.time_steps(worker, job, 1.0, now),
                    ..score
                };
                if plain_best.is_none_or(|(lowest, _)| plain_score < lowest) {
                    plain_best = Some((plain_score, index));
                }
            }
        }
        let chosen = best.map(|(_, index)| index);
        if is_interference_known && chosen != plain_best.map(|(_, index)| index) {
            self.interference.count_kept_apart();
        }
        chosen
    }

    /// Returns the expected run time on a worker without neighbours, relative to that on a healthy
    /// one.
    fn relative_time(&self, worker: &WorkerRecord, job: &JobRecord) -> f64 {
        let rack = &job.submission.work.preferred_rack;
        let is_remote = !rack.is_empty() && !worker.entry.labels.contains(rack);
        let rack_factor = if is_remote {
            self.settings.remote_factor
        } else {
            1.0
        };
        worker.relative_run_time * rack_factor
    }

    /// Returns the rank of a worker by the expected run time there, with the mutual slowdown with
    /// neighbours in the lower bits, so that the slowdown decides between workers of similar speed.
    /// The slowdown never improves the rank, also where slower workers come first.
    fn time_steps(
        &self,
        worker: &WorkerRecord,
        job: &JobRecord,
        stretch: f64,
        now: UnixTime,
    ) -> u32 {
        let quarters = self.relative_time(worker, job) * 4.0;
        let quarter_steps = quarters.max(0.0) as u32;
        let stretched_steps = (quarters * stretch).max(0.0) as u32;
        let rank = self
            .rank_by_time(worker, job, quarter_steps, now)
            .saturating_add(stretched_steps.saturating_sub(quarter_steps));
        let steps = rank.min(u32::MAX >> SLOWDOWN_BITS) << SLOWDOWN_BITS;
        if stretch > 1.0 {
            steps | ((stretch - 1.0) * SLOWDOWN_STEPS).ceil() as u32
        } else {
            steps
        }
    }

    /// Scores a worker for a task; `None` if it must not be assigned the task now.
    pub(super) fn score(
        &self,
        worker: &WorkerRecord,
        index: WorkerIndex,
        job: &JobRecord,
        task: usize,
        now: UnixTime,
    ) -> Option<PlacementScore> {
        self.scored.set(self.scored.get() + 1);
        let work = &job.submission.work;
        let free = worker.free();
        if !worker.is_usable()
            || worker.health.suspended_until > now
            || !self.has_start_lease(worker.lease_limit, now)
            || !work.resources.fits_in(free)
            || !serves(worker, job)
        {
            return None;
        }
        if worker.health.on_probation && !worker.runs.is_empty() {
            return None;
        }
        let is_suspected = job.tasks[task].suspicion != Suspicion::Unsuspected;
        if is_suspected && !worker.runs.is_empty() {
            return None;
        }
        // A worker without a guard starts what does not fit, and the size of a run that was found
        // after a change of leader is a guess.
        let is_guarded = job.submission.policy.workers_are_guarded;
        if !is_guarded && worker.runs.iter().any(|run| !run.details().is_sized) {
            return None;
        }
        if work.spread_limit > 0 && count_runs_of(worker, &work.job) >= work.spread_limit {
            return None;
        }
        let is_suspect = worker.health.on_probation || job.tasks[task].avoided == Some(index);
        // Another failure may fail the whole job, so wait for a healthy worker while there is time.
        if is_suspect && job.tasks[task].failures > 0 && now < job.objective_at {
            return None;
        }
        let success_age_steps = if job.tasks[task].failures == 0 {
            0
        } else {
            let success_age = now
                .since(worker.health.latest_success_start)
                .min(MAX_SUCCESS_AGE);
            u32::try_from(success_age.as_millis() / SUCCESS_AGE_STEP.as_millis())
                .unwrap_or(u32::MAX)
        };
        let stretch = if self.interference.is_active() {
            self.neighbour_stretch(worker, job, now)
        } else {
            1.0
        };
        Some(PlacementScore {
            is_suspect,
            success_age_steps,
            is_too_slow: self.is_too_slow(worker, job, now),
            time_steps: self.time_steps(worker, job, stretch, now),
            free_cpu_milli: free.saturating_sub(work.resources).cpu_milli,
        })
    }
}

fn count_runs_of(worker: &WorkerRecord, job: &JobName) -> u32 {
    let count = worker
        .runs
        .iter()
        .filter(|run| run.details().task.job == *job)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
