//! Summary of slots and queue for admission, so that a decision takes constant time.
//!
//! The queue is simulated once per interval for each service, required label and size class, when
//! the first decision needs it. The result states at a bounded number of points of the queue when
//! slots are free once the jobs before the point have been placed, and by how much the jobs behind
//! it can be delayed. Decisions until the next interval use it, and admitted jobs take up slots in
//! it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::Pool;
use super::admission::StartEstimate;
use crate::job::{JobRecord, ServiceName};
use crate::resources::TaskResources;
use crate::worker::WorkerRecord;

/// Maximum number of points of the queue at which slots are kept. About fifty jobs wait in a
/// saturated domain of a grown deployment, so a point stands for six of them.
const MAX_POINTS: usize = 8;

/// Maximum number of slots that are kept at a point, the earliest ones: a saturated domain
/// of a grown deployment admits some thirty tasks in an interval.
const MAX_SLOTS: usize = 96;

/// Maximum number of summaries computed per interval. Routes of a deployment need some six; the
/// bound keeps callers with ever new labels from taking up the processor.
const MAX_SUMMARIES: usize = 32;

/// Number of decisions per interval that simulate the queue while capacity is not contended: as
/// many as a failure domain of a grown deployment gets at its mean load.
const EXACT_ESTIMATES_PER_INTERVAL: u32 = 8;

/// Number of different worker capacities by which sizes of tasks are distinguished.
const COMPARED_CAPACITIES: usize = 4;

/// Number of tasks on one worker above which sizes are not distinguished by it.
const MAX_COMPARED_TASKS: u32 = 8;

/// Bounds of a worker's relative run time in the summary, in thousandths. A worker outside of them
/// is about to be suspended or has too few observations.
const PACE_BOUNDS: (u32, u32) = (500, 4_000);

/// Number of priorities that are distinguished; all less urgent ones count as the last.
pub(super) const URGENCY_LEVELS: usize = 4;

/// Sort key of a waiting job as returned by [`Pool::order_key`].
pub(super) type OrderKey = (u8, UnixTime);

/// A place for one task on a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TaskSlot {
    /// Time from which the slot is free.
    pub(super) free_at: UnixTime,
    /// Relative run time of the worker in thousandths.
    pub(super) pace_permille: u32,
}

impl TaskSlot {
    /// Creates a slot of a worker.
    pub(super) fn new(worker: &WorkerRecord, free_at: UnixTime) -> Self {
        let pace = (worker.relative_run_time * 1_000.0).max(0.0) as u32;
        Self {
            free_at,
            pace_permille: pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1),
        }
    }

    /// Returns the slot after a task with the expected run time `span` that starts at `start`.
    fn after_task(self, start: UnixTime, span: Duration) -> Self {
        Self {
            free_at: start.after(span * self.pace_permille / 1_000),
            ..self
        }
    }
}

/// Sizes of tasks that use the workers alike.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct SizeClass {
    /// Number of tasks that fit on each of the compared capacities.
    fitting: [u32; COMPARED_CAPACITIES],
    /// Binary logarithms of CPU and memory.
    magnitude: (u32, u32),
    accelerators: u32,
}

/// What a summary is valid for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct SummaryKey {
    service: ServiceName,
    required_label: Arc<str>,
    size: SizeClass,
}

/// What a decision needs to know of a job.
#[derive(Clone, Copy, Debug)]
struct SlotDemand {
    key: OrderKey,
    tasks: u32,
    expected: Duration,
    /// Latest start that serves the job's class.
    limit: UnixTime,
    /// Level of the job's priority, the most urgent one first.
    urgency: usize,
}

/// State at one point of the queue.
#[derive(Clone, Debug)]
struct QueuePoint {
    /// Key of the first job behind the point; `None` at the end of the queue.
    next_key: Option<OrderKey>,
    /// Earliest slots after the jobs before the point, sorted.
    slots: Vec<TaskSlot>,
    /// Least delay by which a job between this point and the next would miss its class, by
    /// urgency; `None` if there is no such job.
    slacks: [Option<Duration>; URGENCY_LEVELS],
}

/// Summary for one key.
#[derive(Clone, Debug)]
enum SlotSummary {
    /// No slot can be used, or it is not known yet which.
    NoSlots(StartEstimate),
    /// Slots at the points of the queue, and the number of all slots.
    Points(Vec<QueuePoint>, u32),
}

/// Summary of slots and queue since the last tick.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionSummary {
    summaries: FxHashMap<SummaryKey, SlotSummary>,
    /// Different capacities of workers.
    capacities: SmallVec<[TaskResources; COMPARED_CAPACITIES]>,
    /// Number of workers that can be assigned tasks.
    pub(super) usable_workers: u32,
    /// Whether the state of a worker has changed since.
    is_stale: bool,
    /// Number of simulations of the queue left in this interval.
    exact_estimates_left: u32,
}

impl AdmissionSummary {
    /// Records that a worker can be used or can no longer be.
    pub(super) const fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Returns whether another decision may simulate the queue in this interval, and counts it.
    pub(super) const fn allows_exact_estimate(&mut self) -> bool {
        let is_allowed = self.exact_estimates_left > 0;
        self.exact_estimates_left = self.exact_estimates_left.saturating_sub(1);
        is_allowed
    }

    /// Returns the key of the summary for a job.
    pub(super) fn key(&self, job: &JobRecord) -> SummaryKey {
        let resources = job.submission.work.resources;
        let mut fitting = [0; COMPARED_CAPACITIES];
        for (count, capacity) in fitting.iter_mut().zip(&self.capacities) {
            *count = resources.count_fitting(*capacity).min(MAX_COMPARED_TASKS);
        }
        let size = SizeClass {
            fitting,
            magnitude: (
                resources.cpu_milli.checked_ilog2().unwrap_or(0),
                resources.memory_mb.checked_ilog2().unwrap_or(0),
            ),
            accelerators: resources.accelerators,
        };
        SummaryKey {
            service: job.submission.policy.service.clone(),
            required_label: Arc::clone(&job.submission.work.required_label),
            size,
        }
    }

    /// Takes up slots for an admitted job in all summaries of its service.
    fn occupy(&mut self, service: &ServiceName, demand: SlotDemand, now: UnixTime) {
        for (key, summary) in &mut self.summaries {
            if let SlotSummary::Points(points, slots) = summary
                && key.service == *service
            {
                occupy_points(points, *slots, demand, now);
            }
        }
    }
}

impl Pool {
    /// Begins a new interval: drops the summaries and updates the totals over all workers.
    pub(super) fn begin_summary(&mut self, now: UnixTime) {
        let summary = &mut self.summary;
        summary.exact_estimates_left = EXACT_ESTIMATES_PER_INTERVAL;
        summary.capacities.clear();
        for worker in &self.workers {
            let capacity = worker.entry.capacity;
            let is_full = summary.capacities.len() == COMPARED_CAPACITIES;
            if !is_full && !summary.capacities.contains(&capacity) {
                summary.capacities.push(capacity);
            }
        }
        self.refresh_summary(now);
    }

    /// Drops the summaries if the state of a worker has changed.
    pub(super) fn refresh_stale_summary(&mut self, now: UnixTime) {
        if self.summary.is_stale {
            self.refresh_summary(now);
        }
    }

    fn refresh_summary(&mut self, now: UnixTime) {
        self.max_free_cpu_milli = None;
        let load = self.load(now);
        self.summary.summaries.clear();
        self.summary.usable_workers = load.usable_workers;
        self.summary.is_stale = false;
    }

    /// Estimates from the summary when the last task of a job could start.
    pub(super) fn estimate_from_summary(
        &mut self,
        job: &JobRecord,
        now: UnixTime,
    ) -> StartEstimate {
        let key = self.summary.key(job);
        if !self.summary.summaries.contains_key(&key) {
            if self.summary.summaries.len() >= MAX_SUMMARIES {
                return StartEstimate::NoWorker;
            }
            let built = self.build_summary(job, now);
            self.summary.summaries.insert(key.clone(), built);
        }
        let demand = self.demand(job, now);
        let protected = self.protected_level(job);
        match self.summary.summaries.get(&key) {
            Some(SlotSummary::Points(points, slots)) => {
                estimate_at(points, *slots, demand, protected, now)
            }
            Some(SlotSummary::NoSlots(estimate)) => *estimate,
            None => StartEstimate::NoWorker,
        }
    }

    /// Records in the summary that a job was admitted.
    pub(super) fn occupy_summary(&mut self, job: &JobRecord, now: UnixTime) {
        let demand = self.demand(job, now);
        let service = &job.submission.policy.service;
        self.summary.occupy(service, demand, now);
    }

    fn demand(&self, job: &JobRecord, now: UnixTime) -> SlotDemand {
        SlotDemand {
            key: self.order_key(job, now),
            tasks: job.waiting,
            expected: job.expected,
            limit: job.start_limit(),
            urgency: urgency_level(job),
        }
    }

    /// Simulates the queue on the slots for tasks of the job.
    fn build_summary(&self, job: &JobRecord, now: UnixTime) -> SlotSummary {
        let mut slots = match self.find_slots(job, now) {
            Ok(slots) => slots,
            Err(estimate) => return SlotSummary::NoSlots(estimate),
        };
        let total = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        let step = self.queue.len().div_ceil(MAX_POINTS).max(1);
        let mut points: Vec<QueuePoint> = Vec::new();
        let mut until_point = 0;
        for name in self.queue.in_order(self.is_contended, now) {
            let Some(queued) = self.jobs.get(name) else {
                continue;
            };
            self.count_visits(1);
            let demand = self.demand(queued, now);
            if until_point == 0 {
                points.push(QueuePoint::new(Some(demand.key), &slots));
                until_point = step;
            }
            until_point -= 1;
            let mut last_start = now;
            for _ in 0..demand.tasks {
                last_start = last_start.max(take_slot(&mut slots, demand.expected, now));
            }
            if !queued.keeps_place()
                && last_start <= demand.limit
                && let Some(point) = points.last_mut()
            {
                point.narrow_slack(demand.urgency, demand.limit.since(last_start));
            }
        }
        points.push(QueuePoint::new(None, &slots));
        SlotSummary::Points(points, total)
    }
}

impl QueuePoint {
    fn new(next_key: Option<OrderKey>, slots: &BinaryHeap<Reverse<TaskSlot>>) -> Self {
        let mut earliest: Vec<TaskSlot> = slots.iter().map(|slot| slot.0).collect();
        if earliest.len() > MAX_SLOTS {
            earliest.select_nth_unstable(MAX_SLOTS);
            earliest.truncate(MAX_SLOTS);
        }
        earliest.sort_unstable();
        Self {
            next_key,
            slots: earliest,
            slacks: [None; URGENCY_LEVELS],
        }
    }

    fn narrow_slack(&mut self, urgency: usize, slack: Duration) {
        let known = &mut self.slacks[urgency];
        *known = Some(known.map_or(slack, |known| known.min(slack)));
    }

    /// Takes the earliest slots for tasks and returns the start of the last one.
    fn take_slots(&mut self, tasks: u32, expected: Duration, now: UnixTime) -> UnixTime {
        let mut slots: BinaryHeap<Reverse<TaskSlot>> = std::mem::take(&mut self.slots)
            .into_iter()
            .map(Reverse)
            .collect();
        let mut last_start = now;
        for _ in 0..tasks {
            last_start = last_start.max(take_slot(&mut slots, expected, now));
        }
        self.slots = slots.into_iter().map(|slot| slot.0).collect();
        self.slots.sort_unstable();
        last_start
    }

    /// Returns when the last of some tasks starts on the earliest slots.
    fn last_start(&self, tasks: u32, expected: Duration, now: UnixTime) -> UnixTime {
        let mut unused = self.slots.iter().copied().peekable();
        let mut reused: BinaryHeap<Reverse<TaskSlot>> = BinaryHeap::new();
        let mut last_start = now;
        for _ in 0..tasks {
            let again = reused.peek().map(|slot| slot.0);
            let slot = match (unused.peek().copied(), again) {
                (Some(fresh), Some(again)) if again < fresh => reused.pop().map(|slot| slot.0),
                (Some(_), _) => unused.next(),
                (None, _) => reused.pop().map(|slot| slot.0),
            };
            let Some(slot) = slot else {
                return UnixTime::NEVER;
            };
            last_start = last_start.max(slot.free_at);
            let start = slot.free_at.max(now);
            reused.push(Reverse(slot.after_task(start, expected)));
        }
        last_start
    }
}

/// Returns the level of a job's priority, the most urgent one first.
pub(super) fn urgency_level(job: &JobRecord) -> usize {
    (job.submission.policy.priority as usize).min(URGENCY_LEVELS - 1)
}

/// Returns the index of the first point with no job behind it that goes before `key`.
fn point_for(points: &[QueuePoint], key: OrderKey) -> usize {
    let found = points.partition_point(|point| point.next_key.is_some_and(|next| next <= key));
    found.min(points.len().saturating_sub(1))
}

/// Returns by how much a job delays those behind it: its run time spread over all slots.
fn delay_of(demand: SlotDemand, slots: u32) -> Duration {
    demand.expected * demand.tasks / slots.max(1)
}

fn estimate_at(
    points: &[QueuePoint],
    slots: u32,
    demand: SlotDemand,
    protected: usize,
    now: UnixTime,
) -> StartEstimate {
    let index = point_for(points, demand.key);
    let Some(point) = points.get(index) else {
        return StartEstimate::NoWorker;
    };
    let start = point.last_start(demand.tasks, demand.expected, now);
    let delay = delay_of(demand, slots);
    // Jobs that are less urgent than those of the protected level may be delayed.
    let mut behind = points[index..].iter();
    let delays_others = behind.any(|point| {
        let mut slacks = point.slacks[..=protected].iter().flatten();
        slacks.any(|slack| *slack < delay)
    });
    if delays_others && start <= demand.limit {
        StartEstimate::DelaysOtherJobs(start)
    } else {
        StartEstimate::At(start)
    }
}

fn occupy_points(points: &mut [QueuePoint], slots: u32, demand: SlotDemand, now: UnixTime) {
    let index = point_for(points, demand.key);
    let delay = delay_of(demand, slots);
    let mut own_start = None;
    for point in &mut points[index..] {
        let start = point.take_slots(demand.tasks, demand.expected, now);
        own_start.get_or_insert(start);
        // A job that is delayed beyond its slack has no more say in what is admitted.
        for slack in &mut point.slacks {
            *slack = slack.and_then(|slack| slack.checked_sub(delay));
        }
    }
    if let (Some(start), Some(point)) = (own_start, points.get_mut(index))
        && start <= demand.limit
    {
        point.narrow_slack(demand.urgency, demand.limit.since(start));
    }
}

/// Occupies the earliest slot and returns the time from which it was free.
fn take_slot(
    slots: &mut BinaryHeap<Reverse<TaskSlot>>,
    expected: Duration,
    now: UnixTime,
) -> UnixTime {
    let Some(Reverse(slot)) = slots.pop() else {
        return UnixTime::NEVER;
    };
    let start = slot.free_at.max(now);
    slots.push(Reverse(slot.after_task(start, expected)));
    start
}
