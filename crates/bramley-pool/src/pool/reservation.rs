//! Keeps workers free for jobs that have waited long.

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::Pool;
use super::admission::serves;
use super::placement::expected_end;
use crate::job::{JobName, JobRecord};
use crate::room::TaskRoom;
use crate::worker::WorkerIndex;

/// At most one worker in this many is kept free for jobs that wait long.
const RESERVED_DIVISOR: usize = 4;

/// Runs for which no memory is allocated when the ends of a worker's runs are ordered.
pub(super) const USUAL_RUNS: usize = 4;

impl Pool {
    /// Keeps the workers on which a job's waiting tasks can start soonest free of other jobs, once the
    /// job has used up half of the time that it can wait: smaller tasks would take up each worker's
    /// room piece by piece.
    pub(super) fn reserve_workers(&mut self, name: &JobName, now: UnixTime) {
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
    pub(super) fn is_reserved(&self, index: WorkerIndex, name: &JobName) -> bool {
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
}
