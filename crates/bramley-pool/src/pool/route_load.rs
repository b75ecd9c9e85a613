//! Offered and admitted jobs of each route, from which follows the share that relays should submit.
//!
//! Jobs that a pool would refuse cost its process a message in each direction. The pool therefore
//! publishes with each heartbeat which share of a route's jobs relays should submit, and adjusts it
//! so that a little more is offered than admitted: the pool can still choose, and notices when it
//! could admit more.

use std::time::Duration;

use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use super::Pool;
use super::admission::StartEstimate;
use crate::job::{JobRecord, QueueClass, RouteName};
use crate::mechanism::Mechanism;
use crate::message::RouteAdmission;

/// Share that passes all jobs, in thousandths.
const PASS_ALL: u32 = 1_000;

/// Smallest published share in thousandths. Four doublings lead from it to the full share, within a
/// second after a burst.
const MIN_PASS: u32 = 64;

/// Shortest time between two adjustments: three quarters of the interval between heartbeats, so
/// that each heartbeat has a new state and a relay that connects meanwhile gets the last one.
const MIN_ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of offered jobs from which a share is lowered; fewer say little about a route.
const MIN_OFFERED: u32 = 8;

/// Offered jobs in proportion to admitted ones at which a share is kept, in thousandths.
const OFFERED_TO_ADMITTED_PERMILLE: u32 = 1_250;

/// Growth of the share when all offered jobs were admitted, in thousandths.
const GROWTH_PERMILLE: u32 = 1_500;

/// Growth of the share when no task waits and slots are free as well, in thousandths.
const CALM_GROWTH_PERMILLE: u32 = 2_000;

/// Factor on the share in thousandths below which it is applied at once.
const STRONG_CORRECTION_PERMILLE: u32 = 600;

/// Jobs that callers ask for in proportion to admitted ones, in thousandths, from which relays refuse
/// a part: two of three evaluations would end in a refusal. Below it, a pool that sees every job
/// refuses none by a published state that is a heartbeat old.
const EXCESSIVE_DEMAND_PERMILLE: u32 = 3_000;

/// Time after the last offered job until a route is no longer published.
const ROUTE_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of routes that are tracked; a deployment has a few, and each takes room in every
/// heartbeat.
const MAX_ROUTES: usize = 64;

/// Load of one route since its share was last adjusted, and its published state.
#[derive(Clone, Debug)]
struct RouteLoad {
    offered: u32,
    admitted: u32,
    offered_at: UnixTime,
    /// A job of the route that stands for the next ones, without its tasks.
    sample: JobRecord,
    pass_permille: u32,
    wait: Duration,
    late_wait: Option<Duration>,
}

/// Load of all routes with recent traffic.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteLoads {
    routes: FxHashMap<RouteName, RouteLoad>,
    adjusted_at: UnixTime,
    /// Whether callers ask for so much that evaluating every job would take too much processor
    /// time.
    is_excessive: bool,
}

impl RouteLoads {
    /// Counts a decision on a job that was to be served in time.
    pub(super) fn count(&mut self, job: &JobRecord, is_admitted: bool, now: UnixTime) {
        let route = &job.submission.policy.route;
        if let Some(load) = self.routes.get_mut(route) {
            if load.offered == 0 {
                load.sample = sample_of(job);
            }
            load.offered += 1;
            load.admitted += u32::from(is_admitted);
            load.offered_at = now;
        } else if self.routes.len() < MAX_ROUTES {
            let load = RouteLoad {
                offered: 1,
                admitted: u32::from(is_admitted),
                offered_at: now,
                sample: sample_of(job),
                pass_permille: PASS_ALL,
                wait: Duration::ZERO,
                late_wait: Some(Duration::ZERO),
            };
            self.routes.insert(route.clone(), load);
        }
    }

    /// Returns the expected wait of a job of the route that is served in time, as last published.
    pub(super) fn wait(&self, route: &RouteName) -> Duration {
        self.routes
            .get(route)
            .map_or(Duration::ZERO, |load| load.wait)
    }

    /// Returns the published share of the route's jobs in thousandths.
    pub(super) fn pass_permille(&self, route: &RouteName) -> u32 {
        let load = self.routes.get(route);
        load.map_or(PASS_ALL, |load| load.pass_permille)
    }

    /// Returns whether callers ask for so much that relays have to refuse a part of it.
    pub(super) const fn is_excessive(&self) -> bool {
        self.is_excessive
    }

    /// Returns the jobs that callers have asked for since the last adjustment, including those that
    /// relays have refused by the published shares.
    fn demand(&self) -> f64 {
        let routes = self.routes.values();
        routes
            .map(|load| f64::from(load.offered) * 1_000.0 / f64::from(load.pass_permille.max(1)))
            .sum()
    }

    /// Returns whether callers ask for so much that most evaluations would end in a refusal. A few
    /// jobs say too little for a change.
    fn demand_is_excessive(&self) -> bool {
        let sum = |count: fn(&RouteLoad) -> u32| self.routes.values().map(count).sum::<u32>();
        let (offered, admitted) = (sum(|load| load.offered), sum(|load| load.admitted));
        if offered < MIN_OFFERED {
            return self.is_excessive;
        }
        let limit = f64::from(admitted) * f64::from(EXCESSIVE_DEMAND_PERMILLE) / 1_000.0;
        self.demand() > limit
    }

    /// Forgets all routes, as another pool may have led since.
    pub(super) fn clear(&mut self) {
        self.routes.clear();
    }
}

/// Copies what the estimate of a job needs.
fn sample_of(job: &JobRecord) -> JobRecord {
    JobRecord {
        submission: job.submission.clone(),
        tasks: Vec::new(),
        ..*job
    }
}

impl RouteLoad {
    /// Raises the share, as the pool can evaluate all that is asked for.
    fn reopen(&mut self) {
        self.pass_permille = (self.pass_permille * CALM_GROWTH_PERMILLE / 1_000).min(PASS_ALL);
        self.offered = 0;
        self.admitted = 0;
    }

    /// Adjusts the share to what was offered and admitted.
    fn adjust(&mut self, is_calm: bool, now: UnixTime) {
        let grown = |permille: u32| (self.pass_permille * permille / 1_000).min(PASS_ALL);
        let is_idle = now.since(self.offered_at) >= MIN_ADJUSTMENT_INTERVAL;
        self.pass_permille = if is_calm && (is_idle || self.offered == self.admitted) {
            grown(CALM_GROWTH_PERMILLE)
        } else if is_idle {
            return;
        } else if self.offered == self.admitted {
            grown(GROWTH_PERMILLE)
        } else if self.offered < MIN_OFFERED {
            return;
        } else {
            let admitted = self.admitted.saturating_mul(OFFERED_TO_ADMITTED_PERMILLE);
            let factor = admitted / self.offered;
            // Half of a small correction, as the numbers of one interval are random.
            let damped = if factor < STRONG_CORRECTION_PERMILLE {
                factor
            } else {
                u32::midpoint(factor, 1_000)
            };
            grown(damped).max(MIN_PASS)
        };
        self.offered = 0;
        self.admitted = 0;
    }
}

impl Pool {
    /// Returns the admission state of the routes with recent traffic, to be published. To be called
    /// for each heartbeat; adjusts the shares unless that was done just before.
    pub fn route_admissions(&mut self, now: UnixTime) -> Vec<RouteAdmission> {
        if self.token.is_none() {
            return Vec::new();
        }
        if now.since(self.route_loads.adjusted_at) >= MIN_ADJUSTMENT_INTERVAL {
            self.adjust_routes(now);
        }
        let routes = self.route_loads.routes.iter();
        let mut admissions: Vec<RouteAdmission> = routes
            .map(|(route, load)| RouteAdmission {
                route: route.clone(),
                pass_permille: load.pass_permille,
                wait: load.wait,
                late_wait: load.late_wait,
                computed_at: self.route_loads.adjusted_at,
            })
            .collect();
        admissions.sort_unstable_by(|a, b| a.route.cmp(&b.route));
        admissions
    }

    fn adjust_routes(&mut self, now: UnixTime) {
        self.update_contention(now);
        let is_excessive =
            self.allows(Mechanism::PublishedShares) && self.route_loads.demand_is_excessive();
        let mut routes = std::mem::take(&mut self.route_loads.routes);
        routes.retain(|_, load| now.since(load.offered_at) < ROUTE_RETENTION);
        for load in routes.values_mut() {
            let sample = &mut load.sample;
            sample.shift_to(now);
            sample.queue_class = QueueClass::InTime;
            let start = self.estimate_from_summary(sample, now);
            let slack = sample.latest_start().since(now);
            load.wait = match start {
                StartEstimate::At(start) | StartEstimate::DelaysOtherJobs(start) => {
                    start.since(now).min(slack)
                }
                StartEstimate::NoWorker | StartEstimate::NeverFits => slack,
            };
            let is_calm = self.queue.is_empty() && start == StartEstimate::At(now);
            sample.queue_class = QueueClass::Late;
            load.late_wait = match self.estimate_from_summary(sample, now) {
                StartEstimate::At(start) => self.utilization.stretch_wait(start.since(now)),
                StartEstimate::DelaysOtherJobs(_)
                | StartEstimate::NoWorker
                | StartEstimate::NeverFits => None,
            };
            if is_excessive {
                load.adjust(is_calm, now);
            } else {
                load.reopen();
            }
        }
        self.route_loads = RouteLoads {
            routes,
            adjusted_at: now,
            is_excessive,
        };
    }
}

impl JobRecord {
    /// Makes the record one of a job that arrives at `now`.
    fn shift_to(&mut self, now: UnixTime) {
        let age = now.since(self.submission.arrived_at);
        self.submission.arrived_at = now;
        self.objective_at = self.objective_at.after(age);
        self.useful_until = self.useful_until.after(age);
    }
}
