//! Workers kept free for jobs that have waited long.

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::Pool;
use super::admission::serves;
use super::placement::expected_end;
use crate::job::{JobName, JobRecord};
use crate::mechanism::Mechanism;
use crate::resources::TaskResources;
use crate::worker::WorkerIndex;

/// At most one worker in this many is reserved.
const RESERVED_DIVISOR: usize = 4;

/// Number of runs of a worker whose ends are sorted without a heap allocation.
pub(super) const INLINE_RUNS: usize = 4;

impl Pool {
    /// Reserves the workers on which a job's waiting tasks can start soonest, once the job has
    /// waited for half of its slack. Without a reservation, smaller tasks would keep taking up
    /// freed resources piece by piece and starve the job.
    pub(super) fn reserve_workers(&mut self, name: &JobName, now: UnixTime) {
        let max_reserved = (self.workers.len() / RESERVED_DIVISOR).max(1);
        let available = max_reserved.saturating_sub(self.reservations.len());
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let arrived = job.submission.arrived_at;
        let slack = job.latest_start().since(arrived);
        if !self.allows(Mechanism::Reservation) || available == 0 || now < arrived.after(slack / 2)
        {
            return;
        }
        let count = available.min(job.waiting as usize);
        let mut soonest: Vec<(UnixTime, WorkerIndex)> = self
            .indices()
            .filter(|index| !self.reservations.contains_key(index))
            .filter_map(|index| Some((self.earliest_fit(index, job, now)?, index)))
            .collect();
        if count < soonest.len() {
            soonest.select_nth_unstable(count);
            soonest.truncate(count);
        }
        for (_, index) in soonest {
            self.reservations.insert(index, name.clone());
        }
    }

    /// Returns whether a worker is reserved for another job.
    pub(super) fn is_reserved(&self, index: WorkerIndex, name: &JobName) -> bool {
        self.reservations
            .get(&index)
            .is_some_and(|owner| owner != name)
    }

    /// Returns when a task of the job fits on the worker if its runs end as expected; `None` if the
    /// worker is not eligible.
    fn earliest_fit(&self, index: WorkerIndex, job: &JobRecord, now: UnixTime) -> Option<UnixTime> {
        self.scored.set(self.scored.get() + 1);
        let worker = self.worker(index);
        let resources = job.submission.work.resources;
        let is_eligible = worker.is_usable()
            && worker.health.suspended_until <= now
            && serves(worker, job)
            && resources.fits_in(worker.entry.capacity);
        if !is_eligible {
            return None;
        }
        // A suspected task is started on an idle worker only.
        let resources = if job.awaits_idle_worker() {
            worker.entry.capacity
        } else {
            resources
        };
        if self.is_too_slow(worker, job, now) {
            return None;
        }
        let mut allocated = worker.allocated;
        let mut free_at = now;
        if resources.fits_in(worker.entry.capacity.saturating_sub(allocated)) {
            return Some(free_at);
        }
        let mut ends: SmallVec<[(UnixTime, TaskResources); INLINE_RUNS]> = worker
            .runs
            .iter()
            .map(|run| {
                (
                    expected_end(worker, run.details(), now),
                    run.details().resources,
                )
            })
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        for (end, released) in ends {
            if resources.fits_in(worker.entry.capacity.saturating_sub(allocated)) {
                break;
            }
            allocated = allocated.saturating_sub(released);
            free_at = end;
        }
        Some(free_at)
    }
}
