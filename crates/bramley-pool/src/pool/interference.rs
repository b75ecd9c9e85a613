//! Pairs of routes whose tasks slow each other down on one worker.
//!
//! The pool learns how much longer a run of one route takes while another route runs on the same
//! worker, and prefers workers without such a neighbour. What is learned only changes the choice
//! among workers that can take a task now; nothing waits for it, and admission does not know it.

use std::cell::Cell;
use std::time::Duration;

use bramley_core::names::{ClassName, TeamName};
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::placement::expected_end;
use super::slowdown::{MAX_ROUTES, RouteShare, SlowdownEstimate, SlowdownStatistics};
use super::{Pool, run_time_key};
use crate::decision::Decision;
use crate::exposure::{RouteIndex, RunExposure};
use crate::job::{JobPolicy, JobRecord, RouteName};
use crate::run::RunDetails;
use crate::worker::{RunEnd, WorkerIndex, WorkerRecord};

/// Half-life of an observation: long enough for hundreds of jobs of a rare route, and short enough
/// to follow a release of a service.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Interval at which the slowdowns are estimated anew.
const JUDGE_INTERVAL: Duration = Duration::from_millis(500);

/// Slowdown factor above which a pair is worth keeping apart.
const INTERFERENCE_FACTOR: f64 = 1.1;

/// Slowdown factor below which an interfering pair ceases to count: halfway to none. Run times vary
/// too much for the upper bound to fall below [`INTERFERENCE_FACTOR`].
const CEASED_FACTOR: f64 = 1.05;

/// Distance of the lower bound from the mean in standard errors. With 3, one of 240 simulated
/// minutes without interference gave a false alarm, as pairs are judged twice a second; with 3.5,
/// none did.
const LOWER_BOUND_ERRORS: f64 = 3.5;

/// Distance of the upper bound from the mean in standard errors, for logs and dumps.
const UPPER_BOUND_ERRORS: f64 = 2.0;

/// Observations of a pair before it can count as interfering.
const MIN_OBSERVATIONS: f64 = 30.0;

/// Observations below which an interfering pair is forgotten. While it is kept apart, nothing shows
/// whether it still interferes, and a few shared runs are cheap.
const FORGOTTEN_OBSERVATIONS: f64 = 8.0;

/// Bounds of the logarithm of a single run's relative run time: a factor of three, so that tasks
/// that take seven times as long do not outweigh all others.
const LOG_RATIO_LIMIT: f64 = 1.1;

/// Runs of a route before its level is used.
const MIN_ROUTE_RUNS: f64 = 30.0;

/// Runs over which the level of a route is averaged. It has to follow delays that affect all
/// workers alike, such as reports that arrive late under load.
const LEVEL_RUNS: f64 = 64.0;

/// Runs of a worker before its runs count as observations.
const MIN_WORKER_RUNS: f64 = 10.0;

/// Runs over which the speed of a worker is averaged, so that a worker that becomes slow is
/// corrected for within a second.
const WORKER_RUNS: f64 = 16.0;

/// Weight of the declared run time in the prediction of a run time until it is learned: declared
/// run times are off by a factor of 1.4.
const INITIAL_DECLARED_SLOPE: f64 = 0.5;

/// Smallest variance of the logarithm of declared run times from which their weight is learned.
const MIN_DECLARED_VARIANCE: f64 = 0.001;

/// Shortest run time that is distinguished, in seconds.
const MIN_SECONDS: f64 = 0.001;

/// Share of the expected run time that counts as the first part of a run. Few runs end earlier.
const EARLY_SHARE: f64 = 0.5;

/// Largest slowdown by which a score or a run time is corrected.
const MAX_STRETCH: f64 = 8.0;

/// Smallest share of a run that a neighbour is assumed to overlap, because a neighbour that ends is
/// likely to be followed by another one of its route.
const MIN_OVERLAP_SHARE: f64 = 0.25;

/// What is known of the slowdown of one route's runs by another route on the same worker.
#[derive(Clone, Debug)]
pub struct RoutePair {
    /// Route that is slowed down.
    pub route: RouteName,
    /// Route that runs beside it.
    pub neighbour: RouteName,
    /// Estimated factor on the run time.
    pub slowdown: f64,
    /// Lower bound of the factor.
    pub lower: f64,
    /// Upper bound of the factor.
    pub upper: f64,
    /// Decayed number of observations, in jobs.
    pub observations: f64,
    /// Whether the pair counts as interfering.
    pub is_interfering: bool,
}

/// A pair that begins or ceases to count as interfering.
#[derive(Clone, Copy, Debug)]
struct PairChange {
    route: RouteIndex,
    neighbour: RouteIndex,
}

#[derive(Clone, Copy, Debug, Default)]
struct PairRecord {
    estimate: SlowdownEstimate,
    is_interfering: bool,
}

impl PairRecord {
    fn lower(&self) -> f64 {
        self.estimate.mean - LOWER_BOUND_ERRORS * self.estimate.error
    }

    fn upper(&self) -> f64 {
        self.estimate.mean + UPPER_BOUND_ERRORS * self.estimate.error
    }

    /// Returns the factor beyond 1 by which an interfering neighbour prolongs a run; 0 if the pair
    /// does not count.
    fn excess(&self) -> f64 {
        if self.is_interfering {
            (self.estimate.mean.exp() - 1.0).clamp(0.0, MAX_STRETCH - 1.0)
        } else {
            0.0
        }
    }

    /// Judges the pair anew; returns whether it begins or ceases to count.
    fn judge(&mut self, estimate: SlowdownEstimate) -> bool {
        self.estimate = estimate;
        let threshold = INTERFERENCE_FACTOR.ln();
        let was_interfering = self.is_interfering;
        self.is_interfering = if was_interfering {
            estimate.mean > CEASED_FACTOR.ln() && estimate.observations >= FORGOTTEN_OBSERVATIONS
        } else {
            self.lower() > threshold && estimate.observations >= MIN_OBSERVATIONS
        };
        self.is_interfering != was_interfering
    }
}

/// Decayed sums from which the weight of the declared run time is learned.
#[derive(Clone, Copy, Debug, Default)]
struct DeclaredRegression {
    weight: f64,
    declared: f64,
    ran: f64,
    declared_squares: f64,
    products: f64,
}

impl DeclaredRegression {
    fn observe(&mut self, declared: f64, ran: f64) {
        self.weight += 1.0;
        self.declared += declared;
        self.ran += ran;
        self.declared_squares += declared * declared;
        self.products += declared * ran;
    }

    fn decay(&mut self, kept: f64) {
        self.weight *= kept;
        self.declared *= kept;
        self.ran *= kept;
        self.declared_squares *= kept;
        self.products *= kept;
    }

    fn slope(&self) -> f64 {
        if self.weight < MIN_ROUTE_RUNS {
            return INITIAL_DECLARED_SLOPE;
        }
        let mean = self.declared / self.weight;
        let variance = self.declared_squares / self.weight - mean * mean;
        if variance < MIN_DECLARED_VARIANCE {
            return INITIAL_DECLARED_SLOPE;
        }
        let covariance = self.products / self.weight - mean * self.ran / self.weight;
        (covariance / variance).clamp(0.0, 1.0)
    }
}

/// Average over the last runs of a route or a worker.
#[derive(Clone, Copy, Debug, Default)]
struct RunAverage {
    mean: f64,
    runs: f64,
}

impl RunAverage {
    fn correct(&mut self, error: f64, max_runs: f64) {
        self.runs += 1.0;
        self.mean += error / self.runs.min(max_runs);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkerOffset {
    born_unix_ms: u64,
    average: RunAverage,
}

#[derive(Clone, Debug)]
struct TrackedRoute {
    name: RouteName,
    /// Logarithm of the run time in seconds on an average worker without neighbours.
    level: RunAverage,
    declared: DeclaredRegression,
    /// Logarithm of the first declared run time, relative to which the others are taken.
    reference: f64,
    statistics: SlowdownStatistics,
    /// Slowdown of this route by each route, by index.
    pairs: [PairRecord; MAX_ROUTES],
}

/// Learns which routes slow each other down.
#[derive(Clone, Debug, Default)]
pub(super) struct InterferenceModel {
    routes: Vec<TrackedRoute>,
    by_key: FxHashMap<(TeamName, ClassName), RouteIndex>,
    workers: Vec<WorkerOffset>,
    /// Number of pairs that count as interfering.
    interfering_pairs: u32,
    judged_at: UnixTime,
    /// Placements for which another worker was chosen because of interference.
    kept_apart: Cell<u64>,
}

impl InterferenceModel {
    /// Forgets what was learned; for the start of a term as leader.
    pub(super) fn reset(&mut self) {
        *self = Self {
            kept_apart: self.kept_apart.clone(),
            ..Self::default()
        };
    }

    /// Returns the index of a route; `None` if too many are tracked.
    fn track(&mut self, policy: &JobPolicy) -> Option<RouteIndex> {
        let key = run_time_key(policy);
        if let Some(index) = self.by_key.get(&key) {
            return Some(*index);
        }
        if self.routes.len() >= MAX_ROUTES {
            return None;
        }
        let index = RouteIndex(u8::try_from(self.routes.len()).ok()?);
        self.routes.push(TrackedRoute {
            name: policy.route.clone(),
            level: RunAverage::default(),
            declared: DeclaredRegression::default(),
            reference: 0.0,
            statistics: SlowdownStatistics::default(),
            pairs: [PairRecord::default(); MAX_ROUTES],
        });
        self.by_key.insert(key, index);
        Some(index)
    }

    /// Returns whether any pair counts as interfering.
    pub(super) const fn is_active(&self) -> bool {
        self.interfering_pairs > 0
    }

    /// Counts a placement on another worker than the one that would have been chosen without
    /// interference.
    pub(super) fn count_kept_apart(&self) {
        self.kept_apart.set(self.kept_apart.get() + 1);
    }

    /// Returns the number of placements counted.
    pub(super) const fn kept_apart(&self) -> u64 {
        self.kept_apart.get()
    }

    fn pair(&self, route: RouteIndex, neighbour: RouteIndex) -> PairRecord {
        self.routes
            .get(usize::from(route.0))
            .and_then(|tracked| tracked.pairs.get(usize::from(neighbour.0)))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the factor by which interfering neighbours have prolonged a run.
    fn stretch_of(&self, exposure: &RunExposure, ran: Duration) -> f64 {
        let (true, Some(route)) = (self.is_active(), exposure.route) else {
            return 1.0;
        };
        let mut stretch = 1.0;
        for overlap in &exposure.overlaps {
            let share = share_of(overlap.total, ran);
            stretch += self.pair(route, overlap.route).excess() * share;
        }
        stretch.min(MAX_STRETCH)
    }

    /// Includes a successful run of known exposure.
    fn observe(
        &mut self,
        worker: WorkerIndex,
        born_unix_ms: u64,
        details: &RunDetails,
        exposure: &RunExposure,
        ran: Duration,
    ) {
        let Some(route) = exposure.route else {
            return;
        };
        let position = worker.0 as usize;
        if self.workers.len() <= position {
            self.workers.resize(position + 1, WorkerOffset::default());
        }
        let offset = &mut self.workers[position];
        if offset.born_unix_ms != born_unix_ms {
            *offset = WorkerOffset {
                born_unix_ms,
                ..WorkerOffset::default()
            };
        }
        let Some(tracked) = self.routes.get_mut(usize::from(route.0)) else {
            return;
        };
        let early_span = exposure.early_until.since(details.started_at).min(ran);
        let mut explained = 0.0;
        let mut shares: SmallVec<[RouteShare; 4]> = SmallVec::new();
        for overlap in &exposure.overlaps {
            let share = RouteShare {
                route: overlap.route,
                total: share_of(overlap.total, ran),
                early: share_of(overlap.early, early_span),
            };
            let pair = tracked.pairs.get(usize::from(share.route.0));
            explained += pair.map_or(0.0, |pair| pair.estimate.mean) * share.total;
            shares.push(share);
        }
        let log_ran = ran.as_secs_f64().max(MIN_SECONDS).ln();
        let log_declared = exposure.declared.as_secs_f64().max(MIN_SECONDS).ln();
        if tracked.level.runs < 1.0 {
            tracked.level.mean = log_ran;
            tracked.reference = log_declared;
        }
        let declared = log_declared - tracked.reference;
        let predicted = tracked.level.mean + tracked.declared.slope() * declared;
        let log_ratio = log_ran - predicted - offset.average.mean;
        let unexplained = (log_ratio - explained).clamp(-LOG_RATIO_LIMIT, LOG_RATIO_LIMIT);
        let is_route_known = tracked.level.runs >= MIN_ROUTE_RUNS;
        if is_route_known && offset.average.runs >= MIN_WORKER_RUNS && !exposure.has_unknown {
            let log_ratio = log_ratio.clamp(-LOG_RATIO_LIMIT, LOG_RATIO_LIMIT);
            tracked
                .statistics
                .observe(log_ratio, unexplained, exposure.weight, &shares);
        }
        tracked
            .declared
            .observe(declared, log_ran - offset.average.mean - explained);
        tracked.level.correct(unexplained, LEVEL_RUNS);
        if is_route_known {
            offset.average.correct(unexplained, WORKER_RUNS);
        }
    }

    /// Estimates all slowdowns anew and returns the pairs that begin or cease to count.
    fn judge(&mut self, now: UnixTime) -> Vec<PairChange> {
        let elapsed = now.since(self.judged_at);
        if elapsed < JUDGE_INTERVAL {
            return Vec::new();
        }
        self.judged_at = now;
        let kept = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let count = self.routes.len();
        let mut changes = Vec::new();
        for (tracked, route) in self.routes.iter_mut().zip(0_u8..) {
            tracked.statistics.decay(kept);
            tracked.declared.decay(kept);
            let mut estimates = tracked.statistics.estimate(count).unwrap_or_default();
            estimates.by_route.resize_with(count, Default::default);
            // Earlier runs were compared with a level that included slowdowns not known then. On
            // one level with later runs, which are kept apart, they keep their meaning.
            tracked.statistics.rebase(estimates.constant);
            tracked.level.mean += estimates.constant;
            let pairs = tracked.pairs.iter_mut().zip(estimates.by_route);
            for ((pair, estimate), neighbour) in pairs.zip(0_u8..) {
                if !pair.judge(estimate) {
                    continue;
                }
                if pair.is_interfering {
                    self.interfering_pairs += 1;
                } else {
                    self.interfering_pairs -= 1;
                }
                changes.push(PairChange {
                    route: RouteIndex(route),
                    neighbour: RouteIndex(neighbour),
                });
            }
        }
        changes
    }

    fn describe(&self, route: RouteIndex, neighbour: RouteIndex) -> Option<RoutePair> {
        let pair = self.pair(route, neighbour);
        Some(RoutePair {
            route: self.routes.get(usize::from(route.0))?.name.clone(),
            neighbour: self.routes.get(usize::from(neighbour.0))?.name.clone(),
            slowdown: pair.estimate.mean.exp(),
            lower: pair.lower().exp(),
            upper: pair.upper().exp(),
            observations: pair.estimate.observations,
            is_interfering: pair.is_interfering,
        })
    }
}

/// Returns the share of `whole` that `part` takes up, at most 1.
fn share_of(part: Duration, whole: Duration) -> f64 {
    if whole.is_zero() {
        return 0.0;
    }
    (part.as_secs_f64() / whole.as_secs_f64()).min(1.0)
}

impl Pool {
    /// Returns the pairs of routes about which something has been observed, in order of their
    /// first submission.
    #[must_use]
    pub fn route_pairs(&self) -> Vec<RoutePair> {
        let count = u8::try_from(self.interference.routes.len()).unwrap_or(u8::MAX);
        let mut pairs = Vec::new();
        for route in 0..count {
            for neighbour in 0..count {
                let pair = self
                    .interference
                    .describe(RouteIndex(route), RouteIndex(neighbour));
                pairs.extend(pair.filter(|pair| pair.observations > 0.0));
            }
        }
        pairs
    }

    /// Returns the index under which slowdowns of a job's route are learned; `None` if they are
    /// not.
    pub(super) fn track_route(&mut self, policy: &JobPolicy) -> Option<RouteIndex> {
        if self.settings.keeps_interfering_apart {
            self.interference.track(policy)
        } else {
            None
        }
    }

    /// Returns the exposure of a run of a job that starts now.
    pub(super) fn new_exposure(
        job: &JobRecord,
        worker: &WorkerRecord,
        now: UnixTime,
    ) -> RunExposure {
        let work = &job.submission.work;
        let early_span = job.expected.mul_f64(worker.relative_run_time * EARLY_SHARE);
        let weight = 1.0 / f64::from(work.tasks.max(1));
        RunExposure::new(job.route, work.declared, weight, now.after(early_span))
    }

    /// Records the overlaps of a run that has ended with the other runs on its worker, and returns
    /// its whole exposure.
    pub(super) fn end_exposure(
        &mut self,
        index: WorkerIndex,
        details: &RunDetails,
        end: Option<RunEnd>,
        now: UnixTime,
    ) -> RunExposure {
        let mut exposure = details.exposure.clone();
        // Without an end, the run was refused or is missing, and may never have run.
        if !self.settings.keeps_interfering_apart || end.is_none() {
            return exposure;
        }
        let ended_at = details.started_at;
        for run in &mut self.worker_mut(index).runs {
            let other = run.details_mut();
            let from = other.started_at.max(ended_at);
            other.exposure.add(exposure.route, from, now);
            exposure.add(other.exposure.route, from, now);
        }
        exposure
    }

    /// Learns from a successful run, and returns the factor by which interfering neighbours have
    /// prolonged it.
    pub(super) fn observe_neighbours(
        &mut self,
        index: WorkerIndex,
        details: &RunDetails,
        exposure: &RunExposure,
        now: UnixTime,
    ) -> f64 {
        let ran = now.since(details.started_at);
        let born_unix_ms = self.worker(index).entry.born_unix_ms;
        self.interference
            .observe(index, born_unix_ms, details, exposure, ran);
        self.interference.stretch_of(exposure, ran)
    }

    /// Estimates the slowdowns anew when that is due, and logs what changes.
    pub(super) fn judge_interference(&mut self, now: UnixTime) {
        for change in self.interference.judge(now) {
            let pair = self.interference.describe(change.route, change.neighbour);
            if let Some(pair) = pair {
                self.log(Decision::InterferenceChanged { pair });
            }
        }
    }

    /// Returns the factor by which a task and its neighbours on a worker are expected to slow each
    /// other down: the prolongation of the task, and that of each neighbour relative to the
    /// neighbour's own run time. It is 1 if there is no interfering neighbour.
    pub(super) fn neighbour_stretch(
        &self,
        worker: &WorkerRecord,
        job: &JobRecord,
        now: UnixTime,
    ) -> f64 {
        let (true, Some(route)) = (self.interference.is_active(), job.route) else {
            return 1.0;
        };
        let own_span = job.expected.mul_f64(worker.relative_run_time);
        let mut stretch = 1.0;
        for run in &worker.runs {
            let details = run.details();
            let Some(other) = details.exposure.route else {
                continue;
            };
            let other_span = details.expected.mul_f64(worker.relative_run_time);
            let overlap = expected_end(worker, details, now).since(now).min(own_span);
            let own_share = share_of(overlap, own_span).max(MIN_OVERLAP_SHARE);
            let other_share = share_of(overlap, other_span).max(MIN_OVERLAP_SHARE);
            stretch += self.interference.pair(route, other).excess() * own_share;
            stretch += self.interference.pair(other, route).excess() * other_share;
        }
        stretch.min(MAX_STRETCH)
    }

    /// Returns the factor by which the present neighbours of a run prolong it.
    pub(super) fn run_stretch(&self, worker: &WorkerRecord, details: &RunDetails) -> f64 {
        let (true, Some(route)) = (self.interference.is_active(), details.exposure.route) else {
            return 1.0;
        };
        let mut stretch = 1.0;
        for run in &worker.runs {
            let other = run.details();
            let is_same = other.number == details.number && other.task == details.task;
            if let (false, Some(neighbour)) = (is_same, other.exposure.route) {
                stretch += self.interference.pair(route, neighbour).excess();
            }
        }
        stretch.min(MAX_STRETCH)
    }
}
