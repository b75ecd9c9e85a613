//! Decides whether a job can be in time.
//!
//! The estimate schedules the tasks that wait before the job, and then the job's own, onto the
//! places that are free or will become free when the present runs end as expected.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::Pool;
use super::placement::expected_end;
use super::reservation::USUAL_RUNS;
use crate::job::JobRecord;
use crate::message::JobOutcome;
use crate::refusal::Refusal;
use crate::worker::WorkerRecord;

/// Time to read the list of workers, or the runs of a worker, after a change of command: two calls
/// of a few milliseconds with room for a slow start.
const SYNC_TIME: Duration = Duration::from_millis(50);

/// Expected start of a job's last task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartEstimate {
    /// At this time.
    At(UnixTime),
    /// At this time, but then a job that was taken in before would miss its objective.
    AtOthersCost(UnixTime),
    /// No usable worker can hold a task of the job now.
    NoWorker,
    /// No worker that the platform lists could ever hold it.
    Never,
}

/// Part of a task's expected run time that is kept as a margin when a job is taken in, as run times
/// of one job's tasks differ by about as much.
const MARGIN_DIVISOR: u32 = 8;

/// Room counts as contended when more than one task waits for this many workers.
const CONTENTION_DIVISOR: u32 = 4;

/// Outcome of scheduling the queue onto places.
#[derive(Clone, Copy, Debug, Default)]
struct QueueForecast {
    /// Start of the last task of the job in question.
    last_start: UnixTime,
    /// Jobs behind it that would miss their objective.
    missed: u32,
}

impl Pool {
    /// Estimates when the last task of the job could start.
    pub(super) fn estimate_start(&self, job: &JobRecord, now: UnixTime) -> StartEstimate {
        let places = match self.find_places(job, now) {
            Ok(places) => places,
            Err(estimate) => return estimate,
        };
        let with_job = self.forecast(job, true, places.clone(), now);
        if with_job.missed > 0 && with_job.last_start <= job.latest_start() {
            let without_job = self.forecast(job, false, places, now);
            if with_job.missed > without_job.missed {
                return StartEstimate::AtOthersCost(with_job.last_start);
            }
        }
        StartEstimate::At(with_job.last_start)
    }

    /// Returns the times at which places for tasks of the job become free.
    fn find_places(
        &self,
        job: &JobRecord,
        now: UnixTime,
    ) -> Result<BinaryHeap<Reverse<UnixTime>>, StartEstimate> {
        let room = job.submission.work.room;
        let mut places: BinaryHeap<Reverse<UnixTime>> = BinaryHeap::new();
        let mut could_ever = false;
        for worker in &self.workers {
            if !serves(worker, job) || !room.fits(worker.entry.capacity) {
                continue;
            }
            could_ever |= worker.listed;
            let is_new = worker.listed && !worker.synced && worker.missed_looks == 0;
            let ready_at = if is_new { now.after(SYNC_TIME) } else { now };
            if (is_new || worker.is_usable()) && worker.health.suspended_until <= now {
                push_places(worker, job, ready_at, &mut places);
            }
        }
        if self.workers.is_empty() || self.awaits_list {
            return Err(StartEstimate::At(now.after(SYNC_TIME)));
        }
        if !places.is_empty() {
            return Ok(places);
        }
        Err(if could_ever {
            StartEstimate::NoWorker
        } else {
            StartEstimate::Never
        })
    }

    /// Schedules the waiting jobs in order onto places, with or without the job in question.
    fn forecast(
        &self,
        job: &JobRecord,
        includes_job: bool,
        mut places: BinaryHeap<Reverse<UnixTime>>,
        now: UnixTime,
    ) -> QueueForecast {
        let name = &job.submission.work.job;
        let mut order: Vec<&JobRecord> = self
            .queue
            .iter()
            .filter(|queued| *queued != name)
            .filter_map(|queued| self.jobs.get(queued))
            .collect();
        if includes_job {
            order.push(job);
        }
        order.sort_by_cached_key(|queued| self.order_key(queued, now));
        let mut found = QueueForecast {
            last_start: now,
            missed: 0,
        };
        for queued in order {
            let mut last_start = now;
            for _ in 0..queued.waiting {
                last_start = last_start.max(take_place(&mut places, queued.expected));
            }
            if queued.submission.work.job == *name {
                found.last_start = last_start;
            } else if !queued.offered && last_start > queued.latest_start() {
                found.missed += 1;
            }
        }
        found
    }

    /// Returns the refusal that a new job gets, with the expected wait, or the wait alone.
    pub(super) fn admit(&self, job: &JobRecord, now: UnixTime) -> (Option<JobOutcome>, Duration) {
        match self.estimate_start(job, now) {
            StartEstimate::At(start) => {
                let wait = start.since(now);
                let margin = job.expected / MARGIN_DIVISOR;
                let is_in_time = start.after(margin) <= job.latest_start();
                // A late answer is better than none while it takes no room from others.
                let is_late = !is_in_time && (self.is_contended || start > job.objective_at);
                (
                    is_late.then_some(JobOutcome::Refused(Refusal::Overloaded)),
                    wait,
                )
            }
            StartEstimate::AtOthersCost(start) => {
                let wait = start.since(now);
                (Some(JobOutcome::Refused(Refusal::Overloaded)), wait)
            }
            StartEstimate::NoWorker => {
                let wait = self.settings.suspend_first;
                (Some(JobOutcome::Refused(Refusal::Overloaded)), wait)
            }
            StartEstimate::Never => (
                Some(JobOutcome::Refused(Refusal::NeverFits)),
                Duration::ZERO,
            ),
        }
    }

    /// Finds out whether so many tasks wait that a late job would take room from jobs in time.
    pub(super) fn measure_contention(&mut self, now: UnixTime) {
        let load = self.load(now);
        self.is_contended = load.waiting_tasks * CONTENTION_DIVISOR > load.usable_workers;
    }

    /// Returns the key that orders waiting jobs, least first: jobs that have begun, then by their
    /// latest start, but under contention those last that can no longer be in time.
    pub(super) fn order_key(&self, job: &JobRecord, now: UnixTime) -> (u8, UnixTime) {
        let latest = job.latest_start();
        let step = self.settings.priority_step * job.submission.policy.priority;
        let rank = if job.offered {
            0
        } else if latest >= now || !self.is_contended {
            1
        } else {
            2
        };
        (rank, latest.after(step))
    }
}

/// Adds the places for tasks of the job that a worker has and will have when its runs end.
fn push_places(
    worker: &WorkerRecord,
    job: &JobRecord,
    now: UnixTime,
    places: &mut BinaryHeap<Reverse<UnixTime>>,
) {
    let room = job.submission.work.room;
    let all = room.places_in(worker.entry.capacity);
    let free = room.places_in(worker.free()).min(all);
    for _ in 0..free {
        places.push(Reverse(now));
    }
    let busy = (all - free) as usize;
    let mut ends: SmallVec<[UnixTime; USUAL_RUNS]> = worker
        .runs
        .iter()
        .map(|run| expected_end(worker, run.facts(), now))
        .collect();
    ends.sort_unstable();
    let skipped = ends.len().saturating_sub(busy);
    for end in ends.into_iter().skip(skipped) {
        places.push(Reverse(end));
    }
}

/// Takes the earliest place, occupies it for `span` and returns when it was free.
fn take_place(places: &mut BinaryHeap<Reverse<UnixTime>>, span: Duration) -> UnixTime {
    let Some(Reverse(free_at)) = places.pop() else {
        return UnixTime::NEVER;
    };
    places.push(Reverse(free_at.after(span)));
    free_at
}

/// Tells whether the worker runs the job's service and has the label that it needs.
pub(super) fn serves(worker: &WorkerRecord, job: &JobRecord) -> bool {
    let label = &job.submission.work.required_label;
    worker.entry.service == job.submission.policy.service
        && (label.is_empty() || worker.entry.labels.contains(label))
}
