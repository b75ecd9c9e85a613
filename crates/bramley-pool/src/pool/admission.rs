//! Admission control: estimates whether a job can meet its latency objective.
//!
//! The estimate simulates the queue: it schedules the tasks of the waiting jobs and of the new job
//! in queue order onto slots that are free or become free when the current runs end as expected.
//! Under load, decisions use the summary of one simulation per interval.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::Pool;
use super::placement::expected_end;
use super::summary::{SummaryKey, TaskSlot, urgency_level};
use crate::job::{JobName, JobRecord, QueueClass};
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

/// Number of runs of a worker whose ends are sorted without a heap allocation.
const INLINE_RUNS: usize = 4;

/// Slots by the time from which they are free, earliest first.
type SlotHeap = BinaryHeap<Reverse<TaskSlot>>;

/// Result of simulating the queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueForecast {
    /// Start of the last task of the evaluated job.
    last_start: UnixTime,
    /// Number of other jobs, not less urgent ones, that would miss their objective.
    missed: u32,
}

/// Estimated start of the last task of a waiting job that can no longer meet its objective.
#[derive(Clone, Debug)]
pub(super) struct LateStart {
    pub(super) name: JobName,
    pub(super) start: UnixTime,
    /// Number of slots for tasks of the job.
    pub(super) slots: u32,
}

/// Estimated start of the last task of each waiting job.
#[derive(Clone, Debug, Default)]
struct ProjectedStarts {
    by_job: FxHashMap<JobName, UnixTime>,
    /// Number of slots.
    slots: u32,
}

impl Pool {
    /// Estimates when the last task of a job could start. While capacity is not contended, a bounded
    /// number of decisions simulates the queue; the others use the summary.
    fn estimate_start(&mut self, job: &JobRecord, now: UnixTime) -> StartEstimate {
        if self.is_contended || !self.summary.allows_exact_estimate() {
            return self.estimate_from_summary(job, now);
        }
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
    pub(super) fn find_slots(
        &self,
        job: &JobRecord,
        now: UnixTime,
    ) -> Result<SlotHeap, StartEstimate> {
        let resources = job.submission.work.resources;
        let mut slots = SlotHeap::new();
        self.count_visits(self.workers.len() as u64);
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
        if self.workers.is_empty() || self.awaits_list || self.evacuation.awaits_read() {
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
        mut slots: SlotHeap,
        now: UnixTime,
    ) -> QueueForecast {
        let name = &job.submission.work.job;
        let mut order: Vec<&JobRecord> = self
            .queue
            .in_order(self.is_contended, now)
            .filter(|queued| *queued != name)
            .filter_map(|queued| self.jobs.get(queued))
            .collect();
        if includes_job {
            order.push(job);
        }
        let protected = self.protected_level(job);
        self.count_visits(order.len() as u64);
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
            } else if !queued.may_have_started
                && urgency_level(queued) <= protected
                && last_start > queued.start_limit()
            {
                result.missed += 1;
            }
        }
        result
    }

    /// Decides on a new job: returns its refusal, if any, and the estimated wait.
    pub(super) fn admit(
        &mut self,
        job: &mut JobRecord,
        now: UnixTime,
    ) -> (Option<JobOutcome>, Duration) {
        if self.has_used_up_slack(job, now) {
            let wait = self.route_loads.wait(&job.submission.policy.route);
            return (Some(JobOutcome::Refused(Refusal::Overloaded)), wait);
        }
        match self.estimate_start(job, now) {
            StartEstimate::At(start) => {
                let is_admitted = match job.queue_class {
                    QueueClass::InTime => self.can_admit_in_time(job, start, now),
                    QueueClass::Late => self.can_serve_late(job, start, now),
                };
                let is_admitted = is_admitted && !self.yields_to_others(job);
                let refused = !is_admitted && !self.admit_guaranteed(job, now);
                let refusal = JobOutcome::Refused(Refusal::Overloaded);
                (refused.then_some(refusal), start.since(now))
            }
            StartEstimate::DelaysOtherJobs(start) => {
                let refused = !self.admit_guaranteed(job, now);
                let refusal = JobOutcome::Refused(Refusal::Overloaded);
                (refused.then_some(refusal), start.since(now))
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

    /// Admits a job before others if jobs like it get less than is guaranteed, and it can be served in
    /// time that way.
    fn admit_guaranteed(&mut self, job: &mut JobRecord, now: UnixTime) -> bool {
        if job.queue_class != QueueClass::InTime
            || !self.is_underserved(job)
            || self.yields_to_others(job)
        {
            return false;
        }
        job.is_guaranteed = true;
        job.is_guaranteed = match self.estimate_from_summary(job, now) {
            StartEstimate::At(start) | StartEstimate::DelaysOtherJobs(start) => {
                self.can_admit_in_time(job, start, now)
            }
            StartEstimate::NoWorker | StartEstimate::NeverFits => false,
        };
        job.is_guaranteed
    }

    /// Returns whether a job would be refused whatever the state of the workers is, because it has
    /// waited too long before it was read.
    fn has_used_up_slack(&self, job: &JobRecord, now: UnixTime) -> bool {
        let is_refused_if_late = match job.queue_class {
            QueueClass::InTime => self.is_contended,
            QueueClass::Late => true,
        };
        is_refused_if_late && job.start_limit() < now
    }

    /// Returns whether a job whose last task would start at `start` if no further jobs arrived meets
    /// its objective, behind the more urgent ones that are expected to arrive meanwhile.
    fn can_admit_in_time(&self, job: &JobRecord, start: UnixTime, now: UnixTime) -> bool {
        let margin = self.admission_margin(job);
        let wait = start.since(now).div_f64(1.0 - self.more_urgent_part(job));
        let is_in_time = now.after(wait).after(margin) <= job.latest_start();
        // A late answer is better than none as long as it takes no capacity from others.
        is_in_time || (!self.is_contended && start <= job.objective_at)
    }

    /// Returns whether a job whose last task would start at `start` if no further jobs arrived can
    /// be answered while the answer has a value, behind those that are expected to arrive meanwhile.
    pub(super) fn can_serve_late(&self, job: &JobRecord, start: UnixTime, now: UnixTime) -> bool {
        let Some(wait) = self.utilization.stretch_wait(start.since(now)) else {
            return false;
        };
        let margin = self.admission_margin(job);
        now.after(wait).after(margin) <= job.latest_useful_start()
    }

    /// Returns the jobs that can no longer meet their objective, with the start of their last task
    /// after those ahead of them in the queue. The queue is simulated once for each size of task.
    pub(super) fn late_starts(&self, now: UnixTime) -> Vec<LateStart> {
        let mut starts_by_key: FxHashMap<SummaryKey, ProjectedStarts> = FxHashMap::default();
        let mut late = Vec::new();
        for name in self.queue.in_order(self.is_contended, now) {
            let Some(job) = self.jobs.get(name) else {
                continue;
            };
            let is_late = job.latest_start() < now && job.queue_class == QueueClass::InTime;
            if !is_late || job.may_have_started {
                continue;
            }
            let starts = starts_by_key
                .entry(self.summary.key(job))
                .or_insert_with(|| self.project_starts(job, now));
            let start = starts.by_job.get(name).copied();
            late.push(LateStart {
                name: name.clone(),
                start: start.unwrap_or(UnixTime::NEVER),
                slots: starts.slots,
            });
        }
        late
    }

    /// Schedules the waiting jobs in queue order onto the slots for tasks of the job.
    fn project_starts(&self, job: &JobRecord, now: UnixTime) -> ProjectedStarts {
        let mut projected = ProjectedStarts::default();
        let Ok(mut slots) = self.find_slots(job, now) else {
            return projected;
        };
        projected.slots = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        for name in self.queue.in_order(self.is_contended, now) {
            let Some(queued) = self.jobs.get(name) else {
                continue;
            };
            self.count_visits(1);
            let mut last_start = now;
            for _ in 0..queued.waiting {
                last_start = last_start.max(take_slot(&mut slots, queued.expected));
            }
            projected.by_job.insert(name.clone(), last_start);
        }
        projected
    }

    /// Updates `is_contended` from the current load.
    pub(super) fn update_contention(&mut self, now: UnixTime) {
        self.refresh_stale_summary(now);
        let waiting_tasks = self.queue.waiting_tasks();
        self.is_contended = waiting_tasks * CONTENTION_DIVISOR > self.summary.usable_workers;
    }

    /// Returns the sort key of a waiting job, lowest first. Guaranteed jobs come first, then jobs by
    /// the latest start that serves their class; under contention, jobs that have missed it and have
    /// not started come last.
    pub(super) fn order_key(&self, job: &JobRecord, now: UnixTime) -> (u8, UnixTime) {
        let limit = job.start_limit();
        let rank = if job.is_guaranteed {
            0
        } else if job.may_have_started || limit >= now || !self.is_contended {
            1
        } else {
            2
        };
        (rank, self.due_time(job))
    }
}

/// Adds the worker's slots for tasks of the job: those free from `ready_at`, and those that its
/// runs will release.
fn push_slots(worker: &WorkerRecord, job: &JobRecord, ready_at: UnixTime, slots: &mut SlotHeap) {
    let resources = job.submission.work.resources;
    let total = resources
        .count_fitting(worker.entry.capacity)
        .min(MAX_SLOTS_PER_WORKER);
    let free = resources.count_fitting(worker.free()).min(total);
    for _ in 0..free {
        slots.push(Reverse(TaskSlot::new(worker, ready_at)));
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
        slots.push(Reverse(TaskSlot::new(worker, end)));
    }
}

/// Occupies the earliest slot for `span` and returns the time from which it was free.
fn take_slot(slots: &mut SlotHeap, span: Duration) -> UnixTime {
    let Some(Reverse(slot)) = slots.pop() else {
        return UnixTime::NEVER;
    };
    let free_at = slot.free_at.after(span);
    slots.push(Reverse(TaskSlot { free_at, ..slot }));
    slot.free_at
}

/// Returns whether the worker runs the job's service and has its required label.
pub(super) fn serves(worker: &WorkerRecord, job: &JobRecord) -> bool {
    let label = &job.submission.work.required_label;
    worker.entry.service == job.submission.policy.service
        && (label.is_empty() || worker.entry.labels.contains(label))
}
