//! Speed of each worker, estimated from the run times of its tasks.
//!
//! The estimate is a local-level filter on the logarithm of a run's time over that expected on a
//! worker of speed 1. A single run far from the estimate moves it by a bounded step only; three in
//! a row replace it. Speed 1 is that of the middle half of the workers.

use std::time::Duration;

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::{Pool, run_time_key};
use crate::mechanism::Mechanism;
use crate::run::{LiveRun, RunDetails};
use crate::worker::{WorkerIndex, WorkerRecord};

/// Number of runs whose median is the first estimate of a worker. Until then its speed counts as 1.
const MIN_RUNS: u32 = 3;

/// Number of consecutive outliers whose median replaces the estimate. With 3 % of long tasks, two in a row
/// occur about once a second in a failure domain with 1,000 runs per second, three every half
/// minute.
const OUTLIER_COUNT: usize = 3;

/// Difference from the estimate, as a logarithm, from which a run is an outlier: a factor of 2.
/// Declared times are wrong by a factor of 1.4, and long tasks take seven times as long.
const OUTLIER_DISTANCE: f64 = std::f64::consts::LN_2;

/// Difference that an outlier counts as until it is confirmed. It is below the largest one of other
/// runs, so that the estimate has not moved towards the outliers when the third one arrives.
const OUTLIER_STEP: f64 = OUTLIER_DISTANCE / 2.0;

/// Standard deviation of the logarithm of a single run's relative time, without long tasks: half
/// of the declared times' error of a factor of 1.4, and a variation of tasks of 20 %.
const RUN_DEVIATION: f64 = 0.25;

/// Growth of the variance with each run, as a worker's speed may drift. The weight of a run falls
/// to an eighth.
const DRIFT_VARIANCE: f64 = 0.0164 * RUN_DEVIATION * RUN_DEVIATION;

/// Number of standard deviations below which the estimate is not distinguished from speed 1, so
/// that workers of one speed are treated alike.
const SIGNIFICANCE: f64 = 2.0;

/// Smallest difference from speed 1, as a logarithm, that is used; one of 10 % decides nothing.
const MIN_DIFFERENCE: f64 = 0.1;

/// Multiple of a route's expected run time beyond which a longer run teaches no more about it.
const LONGEST_LEARNED: f64 = 2.0;

/// The fastest and slowest one in this many workers do not make a pool uneven, as some estimates of
/// equal workers differ by chance.
const TAIL_DIVISOR: usize = 20;

/// Relative run time from which a worker is counted as slow in the metrics: one step of the
/// placement score.
const SLOW_FACTOR: f64 = 1.25;

/// Bounds of the relative run time. An observation beyond them tells of something else than speed.
const RELATIVE_RUN_TIME_BOUNDS: (f64, f64) = (0.2, 10.0);

/// Estimate of a worker's run times relative to those on a worker of speed 1.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    /// Mean of the logarithm of the relative run time.
    log_mean: f64,
    /// Variance of `log_mean`.
    variance: f64,
    /// Latest observations, the last one first.
    latest: [f64; OUTLIER_COUNT],
    /// Number of runs observed.
    runs: u32,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            log_mean: 0.0,
            variance: RUN_DEVIATION * RUN_DEVIATION,
            latest: [0.0; OUTLIER_COUNT],
            runs: 0,
        }
    }
}

impl SpeedEstimate {
    /// Includes a run that took `ratio` times the time expected on a worker of speed 1. Returns
    /// whether the worker's speed has changed, so that the latest runs replace the estimate.
    pub fn observe(&mut self, ratio: f64) -> bool {
        let observed = log_ratio(ratio);
        self.latest.rotate_right(1);
        self.latest[0] = observed;
        self.runs = self.runs.saturating_add(1);
        if self.runs < MIN_RUNS {
            return false;
        }
        let distances = self.latest.map(|latest| latest - self.log_mean);
        let has_changed = distances.iter().all(|span| *span > OUTLIER_DISTANCE)
            || distances.iter().all(|span| *span < -OUTLIER_DISTANCE);
        if has_changed || self.runs == MIN_RUNS {
            self.log_mean = median(self.latest);
            self.variance = RUN_DEVIATION * RUN_DEVIATION;
            return has_changed;
        }
        let distance = if distances[0].abs() > OUTLIER_DISTANCE {
            OUTLIER_STEP.copysign(distances[0])
        } else {
            distances[0]
        };
        self.variance += DRIFT_VARIANCE;
        let weight = self.variance / (self.variance + RUN_DEVIATION * RUN_DEVIATION);
        self.log_mean += weight * distance;
        self.variance *= 1.0 - weight;
        false
    }

    /// Includes a run that was stopped after `ratio` times the expected time and would have taken
    /// longer. If the estimate explains it, it tells nothing; counting it in full would favour
    /// workers whose runs are stopped early.
    pub fn observe_stopped(&mut self, ratio: f64) -> bool {
        log_ratio(ratio) > self.log_mean && self.observe(ratio)
    }

    /// Returns the expected run time relative to a worker of speed 1: exactly 1 until three runs,
    /// and while the difference is within the uncertainty. `overdue` are the ratios that the
    /// current runs have exceeded; together with the latest runs, three outliers suffice to take
    /// the worker for slow before any of them ends.
    #[must_use]
    pub fn relative_run_time(&self, overdue: &[f64]) -> f64 {
        let outliers = overdue.iter().map(|ratio| log_ratio(*ratio));
        let outliers = outliers.filter(|observed| observed - self.log_mean > OUTLIER_DISTANCE);
        let mut outliers: SmallVec<[f64; OUTLIER_COUNT]> = outliers.collect();
        let ended = self.latest.iter().take(self.runs as usize);
        let ended = ended.take_while(|observed| **observed - self.log_mean > OUTLIER_DISTANCE);
        if !outliers.is_empty() {
            outliers.extend(ended.copied());
        }
        if outliers.len() >= OUTLIER_COUNT {
            outliers.sort_unstable_by(f64::total_cmp);
            return outliers[outliers.len() / 2].exp();
        }
        let uncertainty = SIGNIFICANCE * self.variance.sqrt();
        let is_significant = self.log_mean.abs() > uncertainty.max(MIN_DIFFERENCE);
        if self.runs < MIN_RUNS || !is_significant {
            return 1.0;
        }
        self.log_mean.exp()
    }

    /// Returns the number of runs observed since the worker's start or the change of leader.
    #[must_use]
    pub const fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the standard deviation of the logarithm of the relative run time.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }
}

fn log_ratio(ratio: f64) -> f64 {
    let (min, max) = RELATIVE_RUN_TIME_BOUNDS;
    ratio.clamp(min, max).ln()
}

fn median(mut values: [f64; OUTLIER_COUNT]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[OUTLIER_COUNT / 2]
}

/// Returns the ratio of a run's time so far to the time expected on a worker of speed 1.
pub(super) fn run_ratio(details: &RunDetails, now: UnixTime) -> f64 {
    let expected = details.expected.as_secs_f64().max(0.001);
    now.since(details.started_at).as_secs_f64() / expected
}

impl Pool {
    /// Learns from a completed run: its worker's speed, and the run time and spread of its route on
    /// a worker of speed 1. A run that takes far longer than the route's others counts as
    /// [`LONGEST_LEARNED`] times their time. `stretch` is the factor by which interfering neighbours
    /// have prolonged the run, which is not the worker's speed. The run time and spread of the route
    /// include it, so that admission does not depend on what is known of interference.
    pub(super) fn observe_run(
        &mut self,
        index: WorkerIndex,
        details: &RunDetails,
        stretch: f64,
        now: UnixTime,
    ) {
        let ratio = run_ratio(details, now);
        let earlier_factor = self.worker(index).relative_run_time;
        let worker = self.worker_mut(index);
        let has_changed = worker.speed.observe(ratio / stretch);
        self.update_relative_run_time(index, now);
        let new_factor = self.worker(index).relative_run_time;
        if has_changed {
            self.log_speed_change(index, earlier_factor, now);
        }
        let normalizing_factor = new_factor / self.common_run_time;
        let Some(job) = self.jobs.get(&details.task.job) else {
            return;
        };
        let policy = &job.submission.policy;
        let (team, class) = run_time_key(policy);
        let spread = self.spreads.entry(policy.route.clone()).or_default();
        let mut normalized = now.since(details.started_at).div_f64(normalizing_factor);
        if spread.is_known() {
            let usual = self.run_times.estimate(&team, &class, Duration::ZERO);
            normalized = normalized.min(usual.mul_f64(LONGEST_LEARNED));
        }
        spread.observe(ratio / earlier_factor);
        self.run_times.observe(&team, &class, normalized);
    }

    /// Includes a run that is about to be stopped.
    pub(super) fn observe_stopped_run(
        &mut self,
        index: WorkerIndex,
        position: usize,
        now: UnixTime,
    ) {
        let worker = self.worker_mut(index);
        if let LiveRun::Running(run) = &worker.runs[position] {
            let ratio = run_ratio(&run.details, now);
            let earlier_factor = worker.relative_run_time;
            let has_changed = worker.speed.observe_stopped(ratio);
            self.update_relative_run_time(index, now);
            if has_changed {
                self.log_speed_change(index, earlier_factor, now);
            }
        }
    }

    /// Updates a worker's relative run time from the ended runs and those that are still going, each
    /// without what interfering neighbours may have prolonged it by.
    fn update_relative_run_time(&mut self, index: WorkerIndex, now: UnixTime) {
        let worker = self.worker(index);
        let mut overdue: SmallVec<[f64; OUTLIER_COUNT]> = SmallVec::new();
        for run in &worker.runs {
            if let LiveRun::Running(run) = run {
                let stretch = self.run_stretch(worker, &run.details);
                overdue.push(run_ratio(&run.details, now) / stretch);
            }
        }
        let worker = self.worker_mut(index);
        worker.relative_run_time = worker.speed.relative_run_time(&overdue);
    }

    fn log_speed_change(&mut self, index: WorkerIndex, earlier_factor: f64, now: UnixTime) {
        let is_slower = self.worker(index).relative_run_time > earlier_factor;
        let belief = if is_slower { "slower" } else { "faster" };
        self.log_worker_change(index, belief, now);
    }

    /// Returns the number of listed workers that take a quarter longer than one of speed 1, or more.
    #[must_use]
    pub fn slow_workers(&self) -> usize {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        listed
            .filter(|worker| worker.relative_run_time >= SLOW_FACTOR)
            .count()
    }

    /// Updates the relative run times for runs that are still going, and the speed that counts as
    /// 1: the value nearest to that of the declared run times within the middle half of the workers. So a part of the
    /// workers that is slow or fast does not change the expected run times of routes, and a change
    /// of all workers does.
    pub(super) fn update_speeds(&mut self, now: UnixTime) {
        let mut listed: Vec<f64> = Vec::with_capacity(self.workers.len());
        for index in self.indices() {
            if !self.worker(index).runs.is_empty() {
                self.update_relative_run_time(index, now);
            }
            let worker = self.worker(index);
            if worker.listed {
                listed.push(worker.relative_run_time);
            }
        }
        if listed.is_empty() {
            return;
        }
        listed.sort_unstable_by(f64::total_cmp);
        let last = listed.len() - 1;
        let quartile = listed.len() / 4;
        let tail = listed.len() / TAIL_DIVISOR;
        self.common_run_time = 1.0_f64.clamp(listed[quartile], listed[last - quartile]);
        if self.allows(Mechanism::SpeedPlans) {
            self.faster.set_bounds(listed[tail], listed[last - tail]);
        }
    }
}

impl WorkerRecord {
    /// Forgets the speed, as the worker has restarted or another pool may have led since.
    pub(super) fn forget_speed(&mut self) {
        self.speed = SpeedEstimate::default();
        self.relative_run_time = 1.0;
    }
}
