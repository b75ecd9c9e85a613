//! Admission state that pools publish, as a relay keeps it, and the shares passed by it.
//!
//! Each pool's state replaces its previous one. A state that is stale or contradictory is not used,
//! and its pool is treated like one that has published nothing.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use crate::job::RouteName;
use crate::message::RouteAdmission;
use crate::retry::hash_below;

/// Share that passes everything, in thousandths.
pub const FULL_SHARE: u32 = 1_000;

/// Age from which a state is not used: five heartbeats have been missed.
pub const MAX_STATE_AGE: Duration = Duration::from_millis(1_000);

/// Time between two log lines on contradictions of one pool, so that a faulty pool cannot fill the
/// log.
const CONTRADICTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Passes a share of offers without a random draw.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassCounter {
    /// Thousandths of an offer that are not passed yet.
    credit: u32,
}

impl PassCounter {
    /// Returns whether the next offer passes.
    pub const fn passes(&mut self, permille: u32) -> bool {
        self.credit += permille;
        if self.credit < FULL_SHARE {
            return false;
        }
        self.credit -= FULL_SHARE;
        true
    }
}

/// Counters of one route at one pool.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCounters {
    in_time: PassCounter,
    late: PassCounter,
}

/// Last state published by one pool.
#[derive(Clone, Debug, Default)]
struct PoolAdmissions {
    states: FxHashMap<RouteName, RouteAdmission>,
    counters: FxHashMap<RouteName, RouteCounters>,
    next_log_at: UnixTime,
    /// Contradictory entries since the last log line.
    contradictions: u64,
}

/// Contradictory entries of a pool's state, to be logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateContradiction {
    /// Route of the last contradictory entry.
    pub route: RouteName,
    /// What is wrong with it.
    pub reason: &'static str,
    /// Published share of that entry in thousandths.
    pub pass_permille: u32,
    /// Contradictory entries since the previous log line.
    pub count: u64,
}

/// Published state of all pools, and what was passed by it.
#[derive(Clone, Debug, Default)]
pub struct RouteGate {
    pools: FxHashMap<DomainName, PoolAdmissions>,
    /// Routes of the configuration; empty until one is known.
    known_routes: Vec<RouteName>,
}

impl RouteGate {
    /// Sets the routes of the configuration. States of other routes are contradictory.
    pub fn set_known_routes(&mut self, routes: Vec<RouteName>) {
        self.known_routes = routes;
    }

    /// Drops the state of a pool that has connected, moved or was lost.
    pub fn forget_pool(&mut self, domain: &DomainName) {
        self.pools.remove(domain);
    }

    /// Replaces the state of a pool. Returns contradictions that are to be logged.
    pub fn update(
        &mut self,
        domain: &DomainName,
        admissions: Vec<RouteAdmission>,
        now: UnixTime,
    ) -> Option<StateContradiction> {
        if admissions.is_empty() && !self.pools.contains_key(domain) {
            return None;
        }
        let pool = self.pools.entry(domain.clone()).or_default();
        pool.states.clear();
        let mut found = None;
        for admission in admissions {
            let is_known =
                self.known_routes.is_empty() || self.known_routes.contains(&admission.route);
            let reason = if admission.pass_permille > FULL_SHARE {
                "share_above_full"
            } else if !is_known {
                "unknown_route"
            } else if let Some(earlier) = pool.states.get_mut(&admission.route) {
                // Neither entry is used: an entry of this age is stale.
                earlier.computed_at = UnixTime::default();
                "route_twice"
            } else {
                pool.states.insert(admission.route.clone(), admission);
                continue;
            };
            pool.contradictions += 1;
            found = Some((admission.route, reason, admission.pass_permille));
        }
        let (route, reason, pass_permille) = found?;
        if now < pool.next_log_at {
            return None;
        }
        pool.next_log_at = now.after(CONTRADICTION_LOG_INTERVAL);
        Some(StateContradiction {
            route,
            reason,
            pass_permille,
            count: std::mem::take(&mut pool.contradictions),
        })
    }

    /// Returns the state of a route at a pool if it can be used and passes less than everything.
    #[must_use]
    pub fn overload(
        &self,
        domain: &DomainName,
        route: &RouteName,
        now: UnixTime,
    ) -> Option<&RouteAdmission> {
        let state = self.pools.get(domain)?.states.get(route)?;
        let is_usable = now.since(state.computed_at) <= MAX_STATE_AGE;
        (is_usable && state.pass_permille < FULL_SHARE).then_some(state)
    }

    /// Counts an offer of a job and returns whether it passes to the pool. Without usable state,
    /// everything passes.
    pub fn passes(
        &mut self,
        domain: &DomainName,
        route: &RouteName,
        job: &str,
        now: UnixTime,
    ) -> bool {
        let Some(state) = self.overload(domain, route, now) else {
            return true;
        };
        let permille = state.pass_permille;
        self.counters(domain, route, job)
            .is_none_or(|counters| counters.in_time.passes(permille))
    }

    /// Returns whether a pool takes late jobs of a route and starts them before `latest_start`, as
    /// far as is known.
    #[must_use]
    pub fn leaves_time(
        &self,
        domain: &DomainName,
        route: &RouteName,
        latest_start: UnixTime,
        now: UnixTime,
    ) -> bool {
        let state = self.overload(domain, route, now);
        state.is_none_or(|state| {
            state
                .late_wait
                .is_some_and(|wait| now.after(wait) <= latest_start)
        })
    }

    /// Counts an offer of a late job and returns whether it passes to the pool: at the published
    /// share of what was not passed in time. Without usable state, everything passes.
    pub fn passes_late(
        &mut self,
        domain: &DomainName,
        route: &RouteName,
        job: &str,
        now: UnixTime,
    ) -> bool {
        let Some(state) = self.overload(domain, route, now) else {
            return true;
        };
        let permille = state.pass_permille;
        self.counters(domain, route, job)
            .is_none_or(|counters| counters.late.passes(permille))
    }

    /// Returns the counters of a route at a pool. They start at a point that depends on the job, so
    /// that the relays of a failure domain do not all pass their jobs at the same time.
    fn counters(
        &mut self,
        domain: &DomainName,
        route: &RouteName,
        job: &str,
    ) -> Option<&mut RouteCounters> {
        let pool = self.pools.get_mut(domain)?;
        if !pool.counters.contains_key(route) {
            let credit = hash_below(job, FULL_SHARE);
            let counter = PassCounter { credit };
            let counters = RouteCounters {
                in_time: counter,
                late: counter,
            };
            pool.counters.insert(route.clone(), counters);
        }
        pool.counters.get_mut(route)
    }
}
