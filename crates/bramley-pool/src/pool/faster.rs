//! Waiting for a faster worker: which jobs leave a slower one free, although a task could start
//! there, because they meet their objective on a faster one only.
//!
//! Slots that become free soon are computed once in each full placement round, from the expected
//! ends of the current runs. A job that decides to wait takes up the slots that it waits for, so
//! that later jobs in the queue see those that remain. In pools whose workers have one speed,
//! nothing of this is computed.

use std::time::Duration;

use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use super::Pool;
use super::admission::{StartEstimate, serves};
use super::placement::expected_end;
use crate::job::{JobName, JobRecord, QueueClass};
use crate::message::JobOutcome;
use crate::refusal::Refusal;
use crate::worker::{WorkerIndex, WorkerRecord};

/// Ratio of the highest to the lowest relative run time from which workers count as uneven: one
/// step of the placement score.
const UNEVEN_RATIO: f64 = 1.25;

/// Share of the expected run time by which a task has to be in time on a slower worker to leave a
/// faster one to others; the least variation of run times.
const IN_TIME_MARGIN: f64 = 0.125;

/// Fast workers are scarce if less than one over this number of their CPU is free.
const SCARCE_DIVISOR: u64 = 4;

/// Steps of the run time from which those of slower workers are counted down; the largest relative
/// run time is 10, which is 40 steps, and twice that on another rack.
const MAX_TIME_STEPS: u32 = 100;

/// Number of relative run times that are distinguished, in quarters; the largest one is 10.
const TIME_STEPS: usize = 41;

/// How a job can be served by workers of different speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SpeedPlan {
    /// All waiting tasks can end in time on fast enough workers that are free or will be. Until
    /// then, those that are free and too slow are left to others.
    InTime,
    /// Some tasks cannot end in time on any worker, so that nothing is gained by waiting.
    Late,
}

/// Position of a job in the queue, lowest first.
type QueueKey = (u8, UnixTime);

/// A slot that a waiting task is to take when it becomes free.
#[derive(Clone, Copy, Debug)]
struct SlotClaim {
    /// Place of the task's job in the queue.
    key: QueueKey,
    /// Expected run time in the slot.
    run_time: Duration,
    /// Time by which the task has to end.
    end_limit: UnixTime,
}

/// A slot that is in use.
#[derive(Clone, Debug)]
struct BusySlot {
    worker: WorkerIndex,
    free_at: UnixTime,
    relative_run_time: f64,
    /// Claims in queue order.
    claims: Vec<SlotClaim>,
}

impl BusySlot {
    /// Returns when a new claim would end, behind those that come before it; `None` if one of those
    /// after it would then end too late.
    fn end_of(&self, claim: &SlotClaim, now: UnixTime) -> Option<UnixTime> {
        let mut end = self.free_at.max(now);
        let mut claim_end = None;
        for other in &self.claims {
            if other.key > claim.key && claim_end.is_none() {
                end = end.after(claim.run_time);
                claim_end = Some(end);
            }
            end = end.after(other.run_time);
            if claim_end.is_some() && end > other.end_limit {
                return None;
            }
        }
        Some(claim_end.unwrap_or_else(|| end.after(claim.run_time)))
    }

    fn add(&mut self, claim: SlotClaim) {
        let later = self.claims.iter().position(|other| other.key > claim.key);
        self.claims
            .insert(later.unwrap_or(self.claims.len()), claim);
    }
}

/// Jobs that wait for a faster worker, and the slots that they wait for.
#[derive(Clone, Debug)]
pub(super) struct FasterSlots {
    /// Whether workers differ in speed.
    is_uneven: bool,
    /// Relative run time of the fastest workers.
    lowest: f64,
    /// Whether few of the fast workers have free resources.
    is_scarce: bool,
    slots: Vec<BusySlot>,
    /// Whether `slots` were computed in the current round.
    is_computed: bool,
    /// Largest free CPU of a worker by relative run time in quarters, in thousandths of a core.
    max_free_cpu: [u32; TIME_STEPS],
    /// Plans made since the last full placement round.
    plans: FxHashMap<JobName, SpeedPlan>,
}

impl Default for FasterSlots {
    fn default() -> Self {
        Self {
            is_uneven: false,
            lowest: 1.0,
            is_scarce: false,
            slots: Vec::new(),
            is_computed: false,
            max_free_cpu: [0; TIME_STEPS],
            plans: FxHashMap::default(),
        }
    }
}

impl FasterSlots {
    /// Records the free CPU of a worker.
    fn raise_free_cpu(&mut self, worker: &WorkerRecord) {
        let free_cpu = &mut self.max_free_cpu[time_step(worker.relative_run_time)];
        *free_cpu = (*free_cpu).max(worker.free().cpu_milli);
    }

    /// Records that no worker fast enough for a job has room for one of its tasks in this round.
    pub(super) fn record_no_room(&mut self, job: &JobRecord, now: UnixTime) {
        let limit = time_step(max_relative_run_time(job, now));
        let cpu_milli = job.submission.work.resources.cpu_milli;
        for free_cpu in &mut self.max_free_cpu[..=limit] {
            *free_cpu = (*free_cpu).min(cpu_milli.saturating_sub(1));
        }
    }

    /// Returns whether a worker fast enough for a job may have room for one of its tasks. It saves
    /// scoring all workers for each of many jobs that wait for a fast one.
    pub(super) fn may_have_room(&self, job: &JobRecord, now: UnixTime) -> bool {
        let limit = time_step(max_relative_run_time(job, now));
        let cpu_milli = job.submission.work.resources.cpu_milli;
        self.max_free_cpu[..=limit]
            .iter()
            .any(|free_cpu| *free_cpu >= cpu_milli)
    }

    /// Forgets the slots and plans of the last round.
    pub(super) fn clear(&mut self) {
        self.is_computed = false;
        self.max_free_cpu = [0; TIME_STEPS];
        self.plans.clear();
        self.slots.clear();
    }

    /// Sets whether workers differ in speed, given the relative run times of the
    /// fastest and the slowest ones.
    pub(super) fn set_bounds(&mut self, lowest: f64, highest: f64) {
        self.lowest = lowest;
        self.is_uneven = highest > lowest * UNEVEN_RATIO;
    }
}

impl Pool {
    /// Computes the slots that become free, and forgets the decisions of the last round.
    pub(super) fn begin_faster_round(&mut self, now: UnixTime) {
        self.faster.clear();
        if !self.faster.is_uneven {
            return;
        }
        self.faster.is_computed = true;
        let (mut free_cpu, mut capacity) = (0, 0);
        for (worker, index) in self.workers.iter().zip(0..) {
            if !worker.is_usable() || worker.health.suspended_until > now {
                continue;
            }
            self.faster.raise_free_cpu(worker);
            if worker.relative_run_time < self.faster.lowest * UNEVEN_RATIO {
                free_cpu += u64::from(worker.free().cpu_milli);
                capacity += u64::from(worker.entry.capacity.cpu_milli);
            }
            for run in &worker.runs {
                self.faster.slots.push(BusySlot {
                    worker: WorkerIndex(index),
                    free_at: expected_end(worker, run.details(), now),
                    relative_run_time: worker.relative_run_time,
                    claims: Vec::new(),
                });
            }
        }
        self.faster.is_scarce = free_cpu * SCARCE_DIVISOR < capacity;
    }

    /// Records that workers may have gained free resources.
    pub(super) fn record_freed(&mut self, freed: &[WorkerIndex]) {
        if self.faster.is_computed {
            for index in freed {
                self.faster.raise_free_cpu(&self.workers[index.0 as usize]);
            }
        }
    }

    /// Returns whether a job leaves a worker that is too slow for it to others.
    pub(super) fn leaves_worker(
        &mut self,
        name: &JobName,
        index: WorkerIndex,
        now: UnixTime,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        self.is_too_slow(self.worker(index), job, now)
            && self.plan_job(name, now) == Some(SpeedPlan::InTime)
    }

    /// Returns whether a job waits for a faster worker and none has room for a task.
    pub(super) fn waits_without_room(&mut self, name: &JobName, now: UnixTime) -> bool {
        if self.plan_job(name, now) != Some(SpeedPlan::InTime) {
            return false;
        }
        let job = self.jobs.get(name);
        job.is_some_and(|job| !self.faster.may_have_room(job, now))
    }

    /// Returns whether a task that starts now would end too late on this worker to serve its job as
    /// admitted; false if workers have one speed.
    pub(super) fn is_too_slow(
        &self,
        worker: &WorkerRecord,
        job: &JobRecord,
        now: UnixTime,
    ) -> bool {
        if !self.faster.is_uneven {
            return false;
        }
        let run_time = job.expected.mul_f64(worker.relative_run_time);
        now.after(run_time) > end_limit(job)
    }

    /// Returns the rank of a worker by its run time, lowest first, given that run time in steps.
    /// Usually the fastest one comes first. A late job, and any job while few fast workers are
    /// free, leaves those to others: the slowest one on which it is served as admitted comes first.
    pub(super) fn rank_by_time(
        &self,
        worker: &WorkerRecord,
        job: &JobRecord,
        time_steps: u32,
        now: UnixTime,
    ) -> u32 {
        let leaves_faster =
            self.faster.is_uneven && (job.queue_class == QueueClass::Late || self.faster.is_scarce);
        if !leaves_faster {
            return time_steps;
        }
        let relative_run_time = worker.relative_run_time + IN_TIME_MARGIN;
        if now.after(job.expected.mul_f64(relative_run_time)) <= end_limit(job) {
            MAX_TIME_STEPS.saturating_sub(time_steps)
        } else {
            MAX_TIME_STEPS.saturating_add(time_steps)
        }
    }

    /// Decides how a job with waiting tasks is served, once in each round. `None` if workers have
    /// one speed or the job is late anyway.
    pub(super) fn plan_job(&mut self, name: &JobName, now: UnixTime) -> Option<SpeedPlan> {
        if !self.faster.is_uneven {
            return None;
        }
        let job = self.jobs.get(name)?;
        if !self.has_plan(job, now) {
            return None;
        }
        if !self.faster.is_computed {
            self.begin_faster_round(now);
        }
        let job = self.jobs.get(name)?;
        if let Some(plan) = self.faster.plans.get(name) {
            return Some(*plan);
        }
        let missing = job.waiting.saturating_sub(self.count_free_slots(job, now));
        let key = self.order_key(job, now);
        let taken = self.find_claims(job, key, missing, Duration::ZERO, now);
        let plan = taken
            .as_ref()
            .map_or(SpeedPlan::Late, |_| SpeedPlan::InTime);
        for (position, claim) in taken.unwrap_or_default() {
            self.faster.slots[position].add(claim);
        }
        self.faster.plans.insert(name.clone(), plan);
        Some(plan)
    }

    /// Returns claims on the slots on which a number of the job's tasks can end soonest and in time,
    /// `margin` before the objective, without making others late; `None` if there are too few.
    fn find_claims(
        &self,
        job: &JobRecord,
        key: QueueKey,
        count: u32,
        margin: Duration,
        now: UnixTime,
    ) -> Option<Vec<(usize, SlotClaim)>> {
        let mut ends: Vec<(UnixTime, usize, SlotClaim)> = Vec::new();
        let limit = job.objective_at.before(margin);
        for (position, slot) in self.faster.slots.iter().enumerate() {
            let worker = self.worker(slot.worker);
            let is_suitable =
                serves(worker, job) && job.submission.work.resources.fits_in(worker.entry.capacity);
            if !is_suitable {
                continue;
            }
            let claim = SlotClaim {
                key,
                run_time: job.expected.mul_f64(slot.relative_run_time),
                end_limit: job.objective_at,
            };
            let Some(mut end) = slot.end_of(&claim, now) else {
                continue;
            };
            let mut tasks = 0;
            while end <= limit && tasks < count {
                ends.push((end, position, claim));
                end = end.after(claim.run_time);
                tasks += 1;
            }
        }
        let count = count as usize;
        if ends.len() < count {
            return None;
        }
        ends.sort_unstable_by_key(|(end, position, _)| (*end, *position));
        let soonest = ends.into_iter().take(count);
        Some(
            soonest
                .map(|(_, position, claim)| (position, claim))
                .collect(),
        )
    }

    /// Defers a job that has not started and that no worker can serve in time, while tasks wait for
    /// contended capacity. Returns whether the job is still open.
    pub(super) fn serve_late(&mut self, name: &JobName, now: UnixTime) -> bool {
        let has_started = self.jobs.get(name).is_none_or(|job| job.may_have_started);
        if has_started || !self.is_contended {
            return true;
        }
        let Some(job) = self.jobs.remove(name) else {
            return false;
        };
        let start = match self.estimate_from_summary(&job, now) {
            StartEstimate::At(start) | StartEstimate::DelaysOtherJobs(start) => start,
            StartEstimate::NoWorker | StartEstimate::NeverFits => UnixTime::NEVER,
        };
        self.jobs.insert(name.clone(), job);
        self.defer(name, start, now)
    }

    /// Refuses a new job that the workers' speed makes late, so that it is offered to another pool,
    /// while tasks wait for contended capacity.
    pub(super) fn refuse_too_slow(&self, job: &JobRecord, now: UnixTime) -> Option<JobOutcome> {
        if !self.is_contended || !self.faster.is_computed || !self.has_plan(job, now) {
            return None;
        }
        let missing = job.waiting.saturating_sub(self.count_free_slots(job, now));
        let key = self.order_key(job, now);
        let is_late = self
            .find_claims(job, key, missing, self.admission_margin(job), now)
            .is_none();
        is_late.then_some(JobOutcome::Refused(Refusal::Overloaded))
    }

    /// Returns whether the workers' speed matters for a job: workers differ, and the job can still
    /// be in time.
    fn has_plan(&self, job: &JobRecord, now: UnixTime) -> bool {
        self.faster.is_uneven && job.queue_class == QueueClass::InTime && now <= job.latest_start()
    }

    /// Counts the free slots on which the job's tasks would end in time, up to the number that
    /// wait.
    fn count_free_slots(&self, job: &JobRecord, now: UnixTime) -> u32 {
        if !self.faster.may_have_room(job, now) {
            return 0;
        }
        let resources = job.submission.work.resources;
        let mut count = 0;
        for worker in &self.workers {
            self.scored.set(self.scored.get() + 1);
            let is_candidate = worker.is_usable()
                && worker.health.suspended_until <= now
                && resources.fits_in(worker.free())
                && serves(worker, job)
                && !self.is_too_slow(worker, job, now);
            if is_candidate {
                count += resources.count_fitting(worker.free());
            }
            if count >= job.waiting {
                return job.waiting;
            }
        }
        count
    }
}

/// Returns the time by which the last task has to end to serve the job as admitted.
const fn end_limit(job: &JobRecord) -> UnixTime {
    match job.queue_class {
        QueueClass::InTime => job.objective_at,
        QueueClass::Late => job.useful_until,
    }
}

/// Returns the largest relative run time with which a task that starts now serves its job as
/// admitted.
fn max_relative_run_time(job: &JobRecord, now: UnixTime) -> f64 {
    let left = end_limit(job).since(now).as_secs_f64();
    left / job.expected.as_secs_f64().max(0.001)
}

/// Returns a relative run time in quarters.
fn time_step(relative_run_time: f64) -> usize {
    ((relative_run_time * 4.0).max(0.0) as usize).min(TIME_STEPS - 1)
}
