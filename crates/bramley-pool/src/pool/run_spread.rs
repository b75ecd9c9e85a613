//! Spread of each route's run times around those expected.
//!
//! Quantiles are learned by stochastic approximation: each observation moves an estimate by a
//! small step, up or down, whatever its distance. A few tasks that take far longer than the others
//! therefore do not move the quantiles below their share.

use std::time::Duration;

use super::Pool;
use crate::job::{JobRecord, RouteName};

/// Step by which an observation moves a quantile's logarithm. Some 50 runs move it by the usual
/// difference between the two quantiles.
const QUANTILE_STEP: f64 = 0.03;

/// Upper quantile whose distance from the median is the spread. It is below the 97 % of tasks that
/// are not long, also for routes with few runs.
const UPPER_QUANTILE: f64 = 0.9;

/// Spread while nothing has been observed, as a logarithm; run times of tasks of one job vary by an
/// eighth.
const INITIAL_SPREAD: f64 = 0.118;

/// Smallest margin for admission as a share of the expected run time: half of the variation of the
/// tasks of one job.
const MIN_MARGIN: f64 = 0.0625;

/// Largest margin as a share of the expected run time: the variation of the tasks of one job. A
/// margin of a quarter refused jobs of long tasks although slots were free for them.
const MAX_MARGIN: f64 = 0.125;

/// Share of `longest` that remains with each run; half of it after 1,000 runs, which include 30
/// long ones if 3 % are long.
const LONGEST_KEPT: f64 = 0.999_3;

/// Runs of a route until its expected run time counts as known.
const MIN_OBSERVATIONS: u32 = 8;

/// Largest relative run time that is recorded for a route: tasks take at most nine times the usual
/// time.
const MAX_LONGEST: f64 = 10.0;

/// Distribution of a route's run times relative to those expected on their workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteSpread {
    /// Logarithm of the median.
    median: f64,
    /// Logarithm of the upper quantile.
    upper: f64,
    /// Logarithm of the longest recent relative run time.
    longest: f64,
    observations: u32,
}

impl Default for RouteSpread {
    fn default() -> Self {
        Self {
            median: 0.0,
            upper: INITIAL_SPREAD,
            longest: 0.0,
            observations: 0,
        }
    }
}

impl RouteSpread {
    /// Includes a run that took `ratio` times the time expected on its worker.
    pub(super) fn observe(&mut self, ratio: f64) {
        let observed = ratio.clamp(1.0 / MAX_LONGEST, MAX_LONGEST).ln();
        self.median = move_quantile(self.median, 0.5, observed);
        self.upper = move_quantile(self.upper, UPPER_QUANTILE, observed).max(self.median);
        self.longest = (self.longest * LONGEST_KEPT).max(observed);
        self.observations = self.observations.saturating_add(1);
    }

    /// Returns the margin for admission as a share of the expected run time.
    pub(super) fn margin(&self) -> f64 {
        ((self.upper - self.median).exp() - 1.0).clamp(MIN_MARGIN, MAX_MARGIN)
    }

    /// Returns the longest recent relative run time.
    pub(super) fn longest(&self) -> f64 {
        self.longest.exp()
    }

    /// Returns whether enough runs were observed to tell an unusual one.
    pub(super) const fn is_known(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS
    }
}

fn move_quantile(estimate: f64, quantile: f64, observed: f64) -> f64 {
    if observed > estimate {
        estimate + QUANTILE_STEP * quantile
    } else {
        estimate - QUANTILE_STEP * (1.0 - quantile)
    }
}

impl Pool {
    /// Returns the spread of a route's run times.
    pub(super) fn route_spread(&self, route: &RouteName) -> RouteSpread {
        self.spreads.get(route).copied().unwrap_or_default()
    }

    /// Returns the time by which a job's last task has to start before its latest start to be
    /// admitted, as its run may take longer than expected.
    pub(super) fn admission_margin(&self, job: &JobRecord) -> Duration {
        let spread = self.route_spread(&job.submission.policy.route);
        job.expected.mul_f64(spread.margin())
    }
}
