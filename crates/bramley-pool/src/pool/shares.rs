//! Shares of the capacity by route and by the relay's failure domain, and by size of jobs.
//!
//! Under contention, jobs with a long slack keep out those with a short one, and jobs of a few tasks
//! keep out those of many. Each route and each failure domain is therefore entitled to a part of
//! what is admitted. While one of them gets less than that, those that get more are refused. What
//! one of them does not ask for goes to the others.

use std::hash::Hash;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use super::Pool;
use super::summary::{URGENCY_LEVELS, urgency_level};
use crate::job::{JobPolicy, JobRecord, RouteName};
use crate::mechanism::Mechanism;
use crate::message::RelayId;

/// Time constant of the decaying sums, which stand for the last second.
const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// Part of the max-min fair share that is guaranteed.
const GUARANTEED_PART: f64 = 0.5;

/// Part of its entitlement below which a group counts as short; random arrivals vary by this much.
const SHORT_PART: f64 = 0.8;

/// Part of the work that callers have asked for that has to be refused, here or at relays, for a
/// group to count as short. Below it, the queue order spreads the refusals; giving way already then
/// refused jobs with a long slack although slots were free for them.
const REFUSED_PART: f64 = 0.3;

/// Multiple of its entitlement up to which a group is admitted while another is short. Above 1, so
/// that the admitted work grows when there is more room.
const EXCESS_FACTOR: f64 = 1.1;

/// Factor of the part of excessive jobs that is admitted, per update while another group is short.
const YIELD_FACTOR: f64 = 0.9;

/// Growth of that part per update while no group is short.
const RECOVERY_FACTOR: f64 = 1.1;

/// Smallest part of excessive jobs that is admitted.
const MIN_EXCESS_PART: f64 = 0.05;

/// Utilization up to which nobody is refused in favour of others, as slots would stay free.
const CONSERVING_UTILIZATION: f64 = 0.93;

/// Maximum number of groups of one kind; further ones are not limited.
const MAX_GROUPS: usize = 64;

/// Largest part of the admitted work that is expected to go before a less urgent job.
const MAX_MORE_URGENT_PART: f64 = 0.9;

/// Work below which a group is forgotten, in CPU seconds of one core.
const MIN_WORK: f64 = 0.001;

/// Ratio of the served part of a size class to that of its route below which its jobs go first. The
/// requirement is a half; the rest is a margin for jobs that are admitted and end late.
const SIZE_RATIO: f64 = 0.75;

/// Difference to the median in a logarithmic scale below which a job is not large: a fifth. Jobs of
/// one size differ by the error of their expected run time, and were put before each other.
const MIN_SIZE_DIFFERENCE: f64 = 0.2;

/// Step of the size limits in a logarithmic scale; they follow the jobs of about the last hundred.
const LIMIT_STEP: f64 = 0.05;

/// Work of a route or a failure domain in the last second, in CPU seconds of one core.
#[derive(Clone, Copy, Debug, Default)]
struct GroupShare {
    /// Most urgent priority of its jobs.
    priority: u32,
    /// Work that callers have asked for, including what relays have refused for this pool.
    offered: f64,
    admitted: f64,
    /// Part of the capacity to which the group is entitled.
    entitlement: f64,
    is_short: bool,
}

/// Shares of groups of one kind.
#[derive(Clone, Debug)]
struct ShareTable<K> {
    groups: FxHashMap<K, GroupShare>,
    short_groups: u32,
    /// Part of the excessive jobs that is admitted.
    excess_part: f64,
    /// Sum of that part over the excessive jobs since one was admitted.
    excess_sum: f64,
}

impl<K> Default for ShareTable<K> {
    fn default() -> Self {
        Self {
            groups: FxHashMap::default(),
            short_groups: 0,
            excess_part: 1.0,
            excess_sum: 0.0,
        }
    }
}

impl<K: Clone + Eq + Hash> ShareTable<K> {
    /// Counts a decision on a job.
    fn count(&mut self, key: &K, priority: u32, work: OfferedWork, is_admitted: bool) {
        if !self.groups.contains_key(key) {
            if self.groups.len() >= MAX_GROUPS {
                return;
            }
            let group = GroupShare {
                priority,
                ..GroupShare::default()
            };
            self.groups.insert(key.clone(), group);
        }
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        group.priority = group.priority.min(priority);
        group.offered += work.demand;
        if is_admitted {
            group.admitted += work.cpu_seconds;
        }
    }

    /// Returns whether a job of a group gives way to others because the group has more than it is
    /// entitled to. Part of such jobs do, evenly spread.
    fn gives_way(&mut self, key: &K) -> bool {
        let is_excessive = self
            .groups
            .get(key)
            .is_some_and(|group| group.admitted > group.entitlement * EXCESS_FACTOR);
        if !is_excessive {
            return false;
        }
        self.excess_sum += self.excess_part;
        if self.excess_sum < 1.0 {
            return true;
        }
        self.excess_sum -= 1.0;
        false
    }

    /// Lets the sums decay and computes the entitlements.
    fn update(&mut self, kept: f64, remainder: RemainderRule) {
        for group in self.groups.values_mut() {
            group.offered *= kept;
            group.admitted *= kept;
        }
        self.groups.retain(|_, group| group.offered > MIN_WORK);
        let capacity: f64 = self.groups.values().map(|group| group.admitted).sum();
        let fair = self.max_min_share(capacity);
        let guaranteed_part = match remainder {
            RemainderRule::ByPriority => GUARANTEED_PART,
            RemainderRule::Fair => 1.0,
        };
        let mut left = capacity;
        for group in self.groups.values_mut() {
            group.entitlement = group.offered.min(fair) * guaranteed_part;
            left -= group.entitlement;
        }
        let mut by_priority: Vec<&mut GroupShare> = self.groups.values_mut().collect();
        by_priority.sort_by_key(|group| group.priority);
        for group in by_priority {
            let more = (group.offered - group.entitlement).min(left).max(0.0);
            group.entitlement += more;
            left -= more;
            let limit = match remainder {
                RemainderRule::ByPriority => group.entitlement * SHORT_PART,
                RemainderRule::Fair => group.entitlement * GUARANTEED_PART,
            };
            let served_limit = group.offered * (1.0 - REFUSED_PART);
            group.is_short = group.admitted < limit.min(served_limit);
        }
        let short_groups = self.groups.values().filter(|group| group.is_short).count();
        self.short_groups = u32::try_from(short_groups).unwrap_or(u32::MAX);
        let factor = if short_groups > 0 {
            YIELD_FACTOR
        } else {
            RECOVERY_FACTOR
        };
        self.excess_part = (self.excess_part * factor).clamp(MIN_EXCESS_PART, 1.0);
    }

    /// Returns the largest share such that all groups together, each with at most that share and
    /// with what it asks for, use the capacity.
    fn max_min_share(&self, capacity: f64) -> f64 {
        let mut offered: Vec<f64> = self.groups.values().map(|group| group.offered).collect();
        offered.sort_by(f64::total_cmp);
        let mut left = capacity;
        let mut groups_left = offered.len() as f64;
        for demand in offered {
            let share = left / groups_left;
            if demand >= share {
                return share;
            }
            left -= demand;
            groups_left -= 1.0;
        }
        f64::INFINITY
    }
}

/// Who gets what a group does not use of its fair share, and what is not guaranteed.
#[derive(Clone, Copy, Debug)]
enum RemainderRule {
    /// The most urgent priority that asks for it.
    ByPriority,
    /// All alike. Only a group with less than the guaranteed part counts as short.
    Fair,
}

/// Work of an offered job in CPU seconds of one core.
#[derive(Clone, Copy, Debug)]
struct OfferedWork {
    cpu_seconds: f64,
    /// Work that callers have asked for when one such job arrives here.
    demand: f64,
}

/// Decaying numbers of offered and admitted jobs.
#[derive(Clone, Copy, Debug, Default)]
struct ServedPart {
    offered: f64,
    admitted: f64,
}

impl ServedPart {
    fn count(&mut self, is_admitted: bool) {
        self.offered += 1.0;
        self.admitted += f64::from(u8::from(is_admitted));
    }

    fn decay(&mut self, kept: f64) {
        self.offered *= kept;
        self.admitted *= kept;
    }
}

/// Size class of a job among the jobs of its route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobSize {
    /// The smaller seven tenths.
    Usual,
    /// The two tenths below the largest tenth.
    Upper,
    /// The largest tenth.
    Large,
}

/// Served parts of a route by size class.
#[derive(Clone, Copy, Debug)]
struct SizeShares {
    /// Natural logarithms of the work of the median job, and of that from which a job is of the
    /// upper and of the large class.
    limits: [f64; 3],
    all: ServedPart,
    classes: [ServedPart; 3],
}

impl SizeShares {
    /// Shares of the route's jobs above the limits.
    const SHARES_ABOVE: [f64; 3] = [0.5, 0.3, 0.1];

    fn new(work: f64) -> Self {
        Self {
            limits: [work.ln(); 3],
            all: ServedPart::default(),
            classes: [ServedPart::default(); 3],
        }
    }

    fn size_of(&self, work: f64) -> JobSize {
        let work = work.ln();
        let [median, upper, large] = self.limits;
        if work < median + MIN_SIZE_DIFFERENCE {
            JobSize::Usual
        } else if work > large {
            JobSize::Large
        } else if work > upper {
            JobSize::Upper
        } else {
            JobSize::Usual
        }
    }

    fn count(&mut self, work: f64, is_admitted: bool) {
        self.all.count(is_admitted);
        self.classes[self.size_of(work) as usize].count(is_admitted);
        for (limit, above) in self.limits.iter_mut().zip(Self::SHARES_ABOVE) {
            *limit += if work.ln() > *limit {
                LIMIT_STEP * (1.0 - above)
            } else {
                -LIMIT_STEP * above
            };
        }
    }

    /// Returns whether jobs of this size are refused far more often than others of the route.
    fn is_short(&self, work: f64) -> bool {
        let size = self.size_of(work);
        let class = self.classes[size as usize];
        size != JobSize::Usual
            && class.admitted * self.all.offered < SIZE_RATIO * self.all.admitted * class.offered
    }
}

/// Shares by route, by the relay's failure domain and by size.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityShares {
    routes: ShareTable<RouteName>,
    domains: ShareTable<DomainName>,
    sizes: FxHashMap<RouteName, SizeShares>,
    /// Failure domains of the connected relays, as far as they are known.
    relay_domains: FxHashMap<RelayId, DomainName>,
    updated_at: UnixTime,
}

impl CapacityShares {
    /// Forgets what was offered and admitted.
    pub(super) fn clear(&mut self) {
        self.routes = ShareTable::default();
        self.domains = ShareTable::default();
        self.sizes.clear();
    }

    /// Forgets a relay.
    pub(super) fn relay_lost(&mut self, relay: RelayId) {
        self.relay_domains.remove(&relay);
    }

    /// Lets the sums decay and computes the entitlements.
    pub(super) fn update(&mut self, now: UnixTime) {
        let passed = now.since(self.updated_at);
        let kept = (-passed.as_secs_f64() / SHARE_WINDOW.as_secs_f64()).exp();
        self.updated_at = now;
        self.routes.update(kept, RemainderRule::ByPriority);
        self.domains.update(kept, RemainderRule::Fair);
        for sizes in self.sizes.values_mut() {
            sizes.all.decay(kept);
            for class in &mut sizes.classes {
                class.decay(kept);
            }
        }
        self.sizes.retain(|_, sizes| sizes.all.offered > MIN_WORK);
    }

    /// Returns whether the failure domain of the job's relay gets less than is guaranteed.
    fn is_short_domain(&self, job: &JobRecord) -> bool {
        self.domain_of(job)
            .and_then(|domain| self.domains.groups.get(domain))
            .is_some_and(|group| group.is_short)
    }

    fn domain_of(&self, job: &JobRecord) -> Option<&DomainName> {
        self.relay_domains.get(&job.relay?)
    }
}

impl Pool {
    /// Records the failure domain of a relay, to be called when the relay connects.
    pub fn relay_connected(&mut self, relay: RelayId, domain: DomainName) {
        self.shares.relay_domains.insert(relay, domain);
    }

    /// Returns whether a job is to be refused in favour of a route that gets less than it is
    /// entitled to.
    pub(super) fn yields_to_others(&mut self, job: &JobRecord) -> bool {
        let is_exempt = !self.allows(Mechanism::RouteShares)
            || !self.route_loads.is_excessive()
            || self.utilization.share() < CONSERVING_UTILIZATION
            || self.shares.is_short_domain(job);
        if is_exempt {
            return false;
        }
        self.shares.routes.gives_way(&job.submission.policy.route)
    }

    /// Returns whether a job may go before those of which no task has started: the failure domain
    /// of its relay gets less than is guaranteed, or jobs of its size are refused far more often
    /// than others of its route.
    pub(super) fn is_underserved(&self, job: &JobRecord) -> bool {
        if !self.allows(Mechanism::Guarantees) {
            return false;
        }
        let sizes = self.shares.sizes.get(&job.submission.policy.route);
        let is_short_size = sizes.is_some_and(|sizes| sizes.is_short(work_of(job)));
        is_short_size || self.shares.is_short_domain(job)
    }

    /// Returns the least urgent level of jobs that a new job may not make late: its own, or all levels
    /// while a route gets less than it is entitled to or relays refuse a part of the jobs.
    pub(super) fn protected_level(&self, job: &JobRecord) -> usize {
        if self.shares.routes.short_groups > 0 || self.route_loads.is_excessive() {
            URGENCY_LEVELS - 1
        } else {
            urgency_level(job)
        }
    }

    /// Returns the part of the admitted work that belongs to more urgent routes, below 1; zero for a
    /// route that gets less than it is entitled to.
    pub(super) fn more_urgent_part(&self, job: &JobRecord) -> f64 {
        let JobPolicy {
            priority, route, ..
        } = &job.submission.policy;
        let own = self.shares.routes.groups.get(route);
        if own.is_some_and(|group| group.is_short) {
            return 0.0;
        }
        let (mut more_urgent, mut all) = (0.0, 0.0);
        for group in self.shares.routes.groups.values() {
            all += group.admitted;
            if group.priority < *priority {
                more_urgent += group.admitted;
            }
        }
        if all > MIN_WORK {
            (more_urgent / all).min(MAX_MORE_URGENT_PART)
        } else {
            0.0
        }
    }

    /// Takes an admitted job that is refused before its start out of the shares.
    pub(super) fn count_displaced(&mut self, job: &JobRecord) {
        let cpu_seconds = work_of(job);
        let route = &job.submission.policy.route;
        if let Some(group) = self.shares.routes.groups.get_mut(route) {
            group.admitted = (group.admitted - cpu_seconds).max(0.0);
        }
        if let Some(domain) = self.shares.domain_of(job).cloned()
            && let Some(group) = self.shares.domains.groups.get_mut(&domain)
        {
            group.admitted = (group.admitted - cpu_seconds).max(0.0);
        }
    }

    /// Counts a decision on a job in the shares.
    pub(super) fn count_share(&mut self, job: &JobRecord, is_admitted: bool) {
        let cpu_seconds = work_of(job);
        let policy = &job.submission.policy;
        let passed = f64::from(self.route_loads.pass_permille(&policy.route)) / 1_000.0;
        let work = OfferedWork {
            cpu_seconds,
            demand: cpu_seconds / passed,
        };
        if let Some(domain) = self.shares.domain_of(job).cloned() {
            let domains = &mut self.shares.domains;
            domains.count(&domain, policy.priority, work, is_admitted);
        }
        let routes = &mut self.shares.routes;
        routes.count(&policy.route, policy.priority, work, is_admitted);
        if let Some(sizes) = self.shares.sizes.get_mut(&policy.route) {
            sizes.count(cpu_seconds, is_admitted);
        } else if self.shares.sizes.len() < MAX_GROUPS {
            let mut sizes = SizeShares::new(cpu_seconds);
            sizes.count(cpu_seconds, is_admitted);
            self.shares.sizes.insert(policy.route.clone(), sizes);
        }
    }
}

/// Returns the work of a job in CPU seconds of one core.
fn work_of(job: &JobRecord) -> f64 {
    let work = &job.submission.work;
    let cores = f64::from(work.resources.cpu_milli.max(1)) / 1_000.0;
    let tasks = f64::from(work.tasks);
    cores * tasks * job.expected.as_secs_f64().max(f64::EPSILON)
}
