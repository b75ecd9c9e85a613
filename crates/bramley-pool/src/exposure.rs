//! Routes whose runs overlapped with a run on the same worker.

use std::time::Duration;

use bramley_core::units::UnixTime;
use smallvec::SmallVec;

/// Number of kinds of neighbours of a run that are kept without a heap allocation.
const INLINE_OVERLAPS: usize = 2;

/// Index of a route in a pool's table of routes, valid for one term of the leader.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteIndex(pub u8);

/// Time in which runs of one route overlapped with a run.
#[derive(Clone, Copy, Debug)]
pub struct RouteOverlap {
    /// Route of the neighbours.
    pub route: RouteIndex,
    /// Sum of the overlaps with each of its runs.
    pub total: Duration,
    /// Part of `total` within the first part of the run; see [`RunExposure::early_until`].
    pub early: Duration,
}

/// Exposure of a run to runs of other routes, and of its own, on the same worker.
#[derive(Clone, Debug)]
pub struct RunExposure {
    /// Route of the run; `None` if it is not known or not tracked.
    pub route: Option<RouteIndex>,
    /// Declared run time; zero if none was declared.
    pub declared: Duration,
    /// Weight of the run as an observation: the inverse of the number of tasks of its job, because
    /// they share the error of the declared run time.
    pub weight: f64,
    /// End of the first part of the run, which is fixed when the run starts and so does not depend
    /// on how long the run takes.
    pub early_until: UnixTime,
    /// Whether a run of an unknown route overlapped.
    pub has_unknown: bool,
    /// Overlaps by route, with those neighbours that have ended.
    pub overlaps: SmallVec<[RouteOverlap; INLINE_OVERLAPS]>,
}

impl RunExposure {
    /// Creates the exposure of a run that has no neighbours yet.
    #[must_use]
    pub fn new(
        route: Option<RouteIndex>,
        declared: Duration,
        weight: f64,
        early_until: UnixTime,
    ) -> Self {
        Self {
            route,
            declared,
            weight,
            early_until,
            has_unknown: false,
            overlaps: SmallVec::new(),
        }
    }

    /// Creates the exposure of a run whose start or route is not known.
    #[must_use]
    pub fn unknown() -> Self {
        Self::new(None, Duration::ZERO, 0.0, UnixTime::NEVER)
    }

    /// Records that a run of a route was on the same worker from `from` to `to`, both within the
    /// lifetime of this run.
    pub fn add(&mut self, route: Option<RouteIndex>, from: UnixTime, to: UnixTime) {
        let Some(route) = route else {
            self.has_unknown = true;
            return;
        };
        let total = to.since(from);
        let early = to.min(self.early_until).since(from);
        for overlap in &mut self.overlaps {
            if overlap.route == route {
                overlap.total += total;
                overlap.early += early;
                return;
            }
        }
        self.overlaps.push(RouteOverlap {
            route,
            total,
            early,
        });
    }
}
