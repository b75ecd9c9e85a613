//! Admission control: estimates whether a job can meet its latency objective.
//!
//! The estimate simulates the queue: it schedules the tasks of the waiting jobs and of the new job
//! in queue order onto slots that are free or become free when the current runs end as expected.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::Pool;
use super::placement::expected_end;
use super::reservation::INLINE_RUNS;
use crate::job::{JobRecord, QueueClass};
use crate::message::JobOutcome;
use crate::refusal::Refusal;
use crate::worker::WorkerRecord;

/// Time to read the list of workers, or the runs of a worker, after a change of leader: two calls
/// of a few milliseconds each, with a margin for a slow start.
const SYNC_TIME: Duration = Duration::from_millis(50);

/// Estimated start of a job's last task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartEstimate {
    /// The last task starts at this time.
    At(UnixTime),
    /// The last task starts at this time, but an already admitted job would miss its objective.
    DelaysOtherJobs(UnixTime),
    /// No worker that is usable now could hold a task of the job.
    NoWorker,
    /// No listed worker could ever hold a task of the job.
    NeverFits,
}

/// Capacity counts as contended when more than one task waits per this many usable workers.
const CONTENTION_DIVISOR: u32 = 4;

/// Maximum number of slots of one worker in the estimate. Tiny tasks would fit thousands of times,
/// and the estimate would take time and memory for each slot.
const MAX_SLOTS_PER_WORKER: u32 = 64;

/// Result of simulating the queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueForecast {
    /// Start of the last task of the evaluated job.
    last_start: UnixTime,
    /// Number of other jobs that would miss their objective.
    missed: u32,
}

impl Pool {
    /// Estimates when the last task of a job could start.
    pub(super) fn estimate_start(&self, job: &JobRecord, now: UnixTime) -> StartEstimate {
        let slots = match self.find_slots(job, now) {
            Ok(slots) => slots,
            Err(estimate) => return estimate,
        };
        let with_job = self.forecast(job, true, slots.clone(), now);
        if with_job.missed > 0 && with_job.last_start <= job.start_limit() {
            let without_job = self.forecast(job, false, slots, now);
            if with_job.missed > without_job.missed {
                return StartEstimate::DelaysOtherJobs(with_job.last_start);
            }
        }
        StartEstimate::At(with_job.last_start)
    }

    /// Returns the times at which slots for tasks of the job become free.
    fn find_slots(
        &self,
        job: &JobRecord,
        now: UnixTime,
    ) -> Result<BinaryHeap<Reverse<UnixTime>>, StartEstimate> {
        let resources = job.submission.work.resources;
        let mut slots: BinaryHeap<Reverse<UnixTime>> = BinaryHeap::new();
        let mut could_ever_fit = false;
        for worker in &self.workers {
            if !serves(worker, job) || !resources.fits_in(worker.entry.capacity) {
                continue;
            }
            could_ever_fit |= worker.listed;
            let is_new = worker.listed && !worker.synced && worker.missed_polls == 0;
            let ready_at = if is_new { now.after(SYNC_TIME) } else { now };
            if (is_new || worker.is_usable()) && worker.health.suspended_until <= now {
                push_slots(worker, job, ready_at, &mut slots);
            }
        }
        if self.workers.is_empty() || self.awaits_list {
            return Err(StartEstimate::At(now.after(SYNC_TIME)));
        }
        if !slots.is_empty() {
            return Ok(slots);
        }
        Err(if could_ever_fit {
            StartEstimate::NoWorker
        } else {
            StartEstimate::NeverFits
        })
    }

    /// Schedules the waiting jobs in queue order onto slots, with or without the evaluated job.
    fn forecast(
        &self,
        job: &JobRecord,
        includes_job: bool,
        mut slots: BinaryHeap<Reverse<UnixTime>>,
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
        let mut result = QueueForecast {
            last_start: now,
            missed: 0,
        };
        for queued in order {
            let mut last_start = now;
            for _ in 0..queued.waiting {
                last_start = last_start.max(take_slot(&mut slots, queued.expected));
            }
            if queued.submission.work.job == *name {
                result.last_start = last_start;
            } else if !queued.may_have_started && last_start > queued.start_limit() {
                result.missed += 1;
            }
        }
        result
    }

    /// Decides on a new job: returns its refusal, if any, and the estimated wait.
    pub(super) fn admit(&self, job: &JobRecord, now: UnixTime) -> (Option<JobOutcome>, Duration) {
        match self.estimate_start(job, now) {
            StartEstimate::At(start) => {
                let wait = start.since(now);
                let is_admitted = match job.queue_class {
                    QueueClass::InTime => self.can_admit_in_time(job, start),
                    QueueClass::Late => self.can_serve_late(job, now),
                };
                let refusal = JobOutcome::Refused(Refusal::Overloaded);
                ((!is_admitted).then_some(refusal), wait)
            }
            StartEstimate::DelaysOtherJobs(start) => {
                let wait = start.since(now);
                (Some(JobOutcome::Refused(Refusal::Overloaded)), wait)
            }
            StartEstimate::NoWorker => {
                let wait = self.settings.min_suspension;
                (Some(JobOutcome::Refused(Refusal::Overloaded)), wait)
            }
            StartEstimate::NeverFits => (
                Some(JobOutcome::Refused(Refusal::NeverFits)),
                Duration::ZERO,
            ),
        }
    }

    fn can_admit_in_time(&self, job: &JobRecord, start: UnixTime) -> bool {
        let margin = self.admission_margin(job);
        let is_in_time = start.after(margin) <= job.latest_start();
        // A late answer is better than none as long as it takes no capacity from others.
        is_in_time || (!self.is_contended && start <= job.objective_at)
    }

    /// Returns whether a job can be answered while the answer has a value, behind the jobs that
    /// wait now and those that are expected to arrive meanwhile.
    pub(super) fn can_serve_late(&self, job: &JobRecord, now: UnixTime) -> bool {
        let Ok(slots) = self.find_slots(job, now) else {
            return false;
        };
        let forecast = self.forecast(job, true, slots, now);
        let wait = forecast.last_start.since(now);
        let Some(wait) = self.utilization.stretch_wait(wait) else {
            return false;
        };
        let margin = self.admission_margin(job);
        now.after(wait).after(margin) <= job.latest_useful_start()
    }

    /// Updates `is_contended` from the current load.
    pub(super) fn update_contention(&mut self, now: UnixTime) {
        let load = self.load(now);
        self.is_contended = load.waiting_tasks * CONTENTION_DIVISOR > load.usable_workers;
    }

    /// Returns the sort key of a waiting job, lowest first. Jobs that may have started come first,
    /// then jobs by the latest start that serves their class; under contention, jobs that have
    /// missed it come last.
    pub(super) fn order_key(&self, job: &JobRecord, now: UnixTime) -> (u8, UnixTime) {
        let limit = job.start_limit();
        let priority_delay = self.settings.priority_step * job.submission.policy.priority;
        let rank = if job.may_have_started {
            0
        } else if limit >= now || !self.is_contended {
            1
        } else {
            2
        };
        (rank, limit.after(priority_delay))
    }
}

/// Adds the worker's slots for tasks of the job: those free from `ready_at`, and those that its
/// runs will release.
fn push_slots(
    worker: &WorkerRecord,
    job: &JobRecord,
    ready_at: UnixTime,
    slots: &mut BinaryHeap<Reverse<UnixTime>>,
) {
    let resources = job.submission.work.resources;
    let total = resources
        .count_fitting(worker.entry.capacity)
        .min(MAX_SLOTS_PER_WORKER);
    let free = resources.count_fitting(worker.free()).min(total);
    for _ in 0..free {
        slots.push(Reverse(ready_at));
    }
    let busy = (total - free) as usize;
    let mut ends: SmallVec<[UnixTime; INLINE_RUNS]> = worker
        .runs
        .iter()
        .map(|run| expected_end(worker, run.details(), ready_at))
        .collect();
    ends.sort_unstable();
    let skipped = ends.len().saturating_sub(busy);
    for end in ends.into_iter().skip(skipped) {
        slots.push(Reverse(end));
    }
}

/// Occupies the earliest slot for `span` and returns the time from which it was free.
fn take_slot(slots: &mut BinaryHeap<Reverse<UnixTime>>, span: Duration) -> UnixTime {
    let Some(Reverse(free_at)) = slots.pop() else {
        return UnixTime::NEVER;
    };
    slots.push(Reverse(free_at.after(span)));
    free_at
}

/// Returns whether the worker runs the job's service and has its required label.
pub(super) fn serves(worker: &WorkerRecord, job: &JobRecord) -> bool {
    let label = &job.submission.work.required_label;
    worker.entry.service == job.submission.policy.service
        && (label.is_empty() || worker.entry.labels.contains(label))
}
