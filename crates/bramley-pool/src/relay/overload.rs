//! Refusal of jobs that no pool can serve according to the published admission state.

use std::fmt;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use smallvec::SmallVec;

use super::{Relay, RelayAction, RelayJob};
use crate::decision::Decision;
use crate::job::{JobName, RouteName};
use crate::message::RouteAdmission;
use crate::refusal::Refusal;
use crate::relay::JobAnswer;
use crate::retry::retry_time;

/// Multiple of the latency objective after which an answer has no value on the platform.
const USEFUL_OBJECTIVES: u32 = 3;

/// Time for which the name of a job is kept whose caller has left after a task started. A client
/// that sends it again within its deadline must not be told that it has not run.
const STARTED_JOB_RETENTION: Duration = Duration::from_secs(10);

/// Pools kept in place in the list of those that were passed over; there are three or four.
const INLINE_POOLS: usize = 4;

/// Basis of a refusal before a job is submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalSource {
    /// Admission state that a pool has published.
    PublishedState,
    /// The host is short of processor time.
    HostShedding,
}

impl RefusalSource {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PublishedState => "published_state",
            Self::HostShedding => "host_shedding",
        }
    }
}

/// Refusal before a job is submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRefusal {
    /// Reason for the refusal.
    pub refusal: Refusal,
    /// What the refusal is based on.
    pub source: RefusalSource,
    /// Time after which the caller may retry, in whole seconds.
    pub retry_after: Duration,
    /// Share that is passed, in thousandths.
    pub pass_permille: u32,
    /// Expected wait of a job that is served in time.
    pub wait: Duration,
    /// Age of the state that decided; zero for shedding.
    pub state_age: Duration,
}

impl fmt::Display for RouteRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            refusal,
            source,
            retry_after,
            pass_permille,
            wait,
            state_age,
        } = self;
        write!(
            f,
            "reason={} by={} pass_permille={pass_permille} wait_ms={} \
             retry_after_ms={} state_age_ms={}",
            refusal.answer().reason,
            source.as_str(),
            wait.as_millis(),
            retry_after.as_millis(),
            state_age.as_millis(),
        )
    }
}

/// Decision on the first offer of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteOffer {
    /// The job is submitted as without published state.
    Ordinary,
    /// The job is offered to the pool of a failure domain to be served in time.
    InTime(DomainName),
    /// The job is offered to the pool of a failure domain to be served late.
    Late(DomainName),
    /// The job is refused.
    Refused(RouteRefusal),
}

/// What a job needs, known once its body was read.
#[derive(Clone, Copy, Debug)]
struct JobDemand {
    /// CPU of one task in thousandths of a core.
    cpu_milli: u64,
    /// Time at which a task has to start for the answer to have a value.
    latest_start: UnixTime,
}

impl Relay {
    /// Decides on a request of a route before its body is read. A job that is open here, or that
    /// began here and whose caller has left, is always submitted.
    pub fn offer_early(
        &mut self,
        job: &str,
        route: &RouteName,
        deadline: UnixTime,
        now: UnixTime,
    ) -> RouteOffer {
        if now < self.sending_paused_until || self.may_run(job) {
            return RouteOffer::Ordinary;
        }
        // The body tells how much CPU a task needs; any free CPU may suffice.
        let demand = JobDemand {
            cpu_milli: 1,
            latest_start: deadline,
        };
        self.decide_offer(job, route, demand, now)
    }

    /// Returns whether a job is open here, or began here before its caller left.
    #[must_use]
    pub fn may_run(&self, job: &str) -> bool {
        self.jobs.contains_key(job) || self.started_jobs.contains_key(job)
    }

    /// Makes the first offer of a job. A decision that was taken before the body was read is kept
    /// if the job fits it.
    pub(super) fn make_first_offer(
        &mut self,
        name: &JobName,
        early_offer: Option<RouteOffer>,
        now: UnixTime,
    ) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let demand = job.demand();
        let route = job.submission.policy.route.clone();
        let offer = match early_offer {
            Some(RouteOffer::Late(domain))
                if !self
                    .gate
                    .leaves_time(&domain, &route, demand.latest_start, now) =>
            {
                self.refuse_offer(name.as_str(), &route, now)
            }
            Some(offer) if self.is_valid_offer(&offer, demand) => offer,
            Some(_) | None => self.decide_offer(name.as_str(), &route, demand, now),
        };
        match offer {
            RouteOffer::Ordinary => self.submit_to_first_pool(name),
            RouteOffer::InTime(domain) => self.submit_to(name, domain),
            RouteOffer::Late(domain) => {
                if let Some(job) = self.jobs.get_mut(name) {
                    job.late_offers += 1;
                    job.submission.accepts_late = true;
                }
                self.submit_to(name, domain);
            }
            RouteOffer::Refused(refusal) => self.refuse_by_state(name, &route, refusal),
        }
    }

    fn is_valid_offer(&self, offer: &RouteOffer, demand: JobDemand) -> bool {
        match offer {
            RouteOffer::Ordinary => true,
            RouteOffer::InTime(domain) => self.pools.get(domain).is_some_and(|pool| {
                pool.is_connected() && pool.load.free_cpu_milli >= demand.cpu_milli
            }),
            RouteOffer::Late(domain) => self.is_connected(domain),
            RouteOffer::Refused(_) => false,
        }
    }

    fn decide_offer(
        &mut self,
        job: &str,
        route: &RouteName,
        demand: JobDemand,
        now: UnixTime,
    ) -> RouteOffer {
        if self.started_jobs.contains_key(job) {
            return RouteOffer::Ordinary;
        }
        let local_domain = self.local_domain.clone();
        let is_local_usable = self
            .pools
            .get(&local_domain)
            .is_some_and(|pool| pool.is_connected() && !pool.load.evacuated);
        if is_local_usable {
            if self.gate.passes(&local_domain, route, job, now) {
                return RouteOffer::Ordinary;
            }
        } else if self.overload_anywhere(route, now).is_none() {
            return RouteOffer::Ordinary;
        }
        if let Some(domain) = self.pass_to_foreign_pool(job, route, demand.cpu_milli, now) {
            return RouteOffer::InTime(domain);
        }
        if let Some(domain) = self.pass_late(job, route, demand.latest_start, now) {
            return RouteOffer::Late(domain);
        }
        self.refuse_offer(job, route, now)
    }

    /// Refuses a job by the local pool's state, or that of another pool.
    fn refuse_offer(&self, job: &str, route: &RouteName, now: UnixTime) -> RouteOffer {
        let state = self.gate.overload(&self.local_domain, route, now);
        let Some(state) = state.or_else(|| self.overload_anywhere(route, now)) else {
            return RouteOffer::Ordinary;
        };
        RouteOffer::Refused(RouteRefusal {
            refusal: Refusal::Overloaded,
            source: RefusalSource::PublishedState,
            retry_after: retry_time(&self.settings, state.wait, state.pass_permille, job),
            pass_permille: state.pass_permille,
            wait: state.wait,
            state_age: now.since(state.computed_at),
        })
    }

    /// Returns the state of a connected pool that does not pass all jobs of a route.
    fn overload_anywhere(&self, route: &RouteName, now: UnixTime) -> Option<&RouteAdmission> {
        self.pools
            .iter()
            .filter(|(_, pool)| pool.is_connected())
            .find_map(|(domain, _)| self.gate.overload(domain, route, now))
    }

    /// Returns the pool of another failure domain with the most free CPU that passes the job.
    fn pass_to_foreign_pool(
        &mut self,
        job: &str,
        route: &RouteName,
        cpu_milli: u64,
        now: UnixTime,
    ) -> Option<DomainName> {
        let mut passed_over: SmallVec<[DomainName; INLINE_POOLS]> = SmallVec::new();
        loop {
            let domain = self.pool_with_most_free_cpu(|domain, pool| {
                *domain != self.local_domain
                    && !pool.load.evacuated
                    && pool.load.free_cpu_milli >= cpu_milli
                    && !passed_over.contains(domain)
            })?;
            if self.gate.passes(&domain, route, job, now) {
                return Some(domain);
            }
            passed_over.push(domain);
        }
    }

    /// Returns the pool that expects to serve a late job soonest, if it passes the job.
    fn pass_late(
        &mut self,
        job: &str,
        route: &RouteName,
        latest_start: UnixTime,
        now: UnixTime,
    ) -> Option<DomainName> {
        let (_, domain) = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.is_connected() && !pool.load.evacuated)
            .filter_map(|(domain, _)| {
                let state = self.gate.overload(domain, route, now)?;
                Some((state.late_wait?, domain))
            })
            .min()?;
        let domain = domain.clone();
        let passes = self.gate.leaves_time(&domain, route, latest_start, now)
            && self.gate.passes_late(&domain, route, job, now);
        passes.then_some(domain)
    }

    /// Returns whether a refused job may be offered to a pool to be served in time.
    pub(super) fn passes_on(&mut self, name: &JobName, domain: &DomainName, now: UnixTime) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        let route = &job.submission.policy.route;
        self.gate.passes(domain, route, name.as_str(), now)
    }

    /// Returns whether a refused job may be offered to a pool to be served late.
    pub(super) fn passes_on_late(
        &mut self,
        name: &JobName,
        domain: &DomainName,
        now: UnixTime,
    ) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        let route = &job.submission.policy.route;
        let latest_start = job.demand().latest_start;
        self.gate.leaves_time(domain, route, latest_start, now)
            && self.gate.passes_late(domain, route, name.as_str(), now)
    }

    /// Returns how many pools may be asked to serve a job late: one if the local pool does not pass
    /// all jobs of its route.
    pub(super) fn max_late_offers(&self, route: &RouteName, now: UnixTime) -> usize {
        if self.gate.overload(&self.local_domain, route, now).is_some() {
            1
        } else {
            self.settings.max_late_offers
        }
    }

    /// Returns the retry time of a job that the last pool has refused.
    pub(super) fn retry_after_refusal(
        &self,
        name: &JobName,
        wait: Duration,
        now: UnixTime,
    ) -> Duration {
        let state = self.jobs.get(name).and_then(|job| {
            let route = &job.submission.policy.route;
            self.gate.overload(&self.local_domain, route, now)
        });
        match state {
            Some(state) => retry_time(&self.settings, wait, state.pass_permille, name.as_str()),
            None => wait.clamp(self.settings.min_retry_after, self.settings.max_retry_after),
        }
    }

    fn refuse_by_state(&mut self, name: &JobName, route: &RouteName, refusal: RouteRefusal) {
        self.jobs.remove(name);
        let decision = Decision::RefusedByState {
            job: name.clone(),
            route: route.clone(),
            refusal,
        };
        self.actions.push(RelayAction::LogDecision(decision));
        let answer = JobAnswer::Refused {
            refusal: refusal.refusal,
            retry_after: refusal.retry_after,
        };
        self.actions.push(RelayAction::Answer(name.clone(), answer));
    }

    /// Remembers a job whose caller has left after a task started.
    pub(super) fn remember_started(&mut self, name: &JobName) {
        let expires_at = self.ticked_at.after(STARTED_JOB_RETENTION);
        self.started_jobs.insert(name.clone(), expires_at);
    }

    /// Forgets started jobs whose clients have stopped waiting.
    pub(super) fn expire_started_jobs(&mut self, now: UnixTime) {
        self.ticked_at = now;
        self.started_jobs.retain(|_, expires_at| *expires_at > now);
    }
}

impl RelayJob {
    fn demand(&self) -> JobDemand {
        let submission = &self.submission;
        let declared = submission.work.declared;
        let objective = if submission.is_valid() {
            declared.mul_f64(submission.policy.stretch_factor) + submission.policy.target
        } else {
            Duration::ZERO
        };
        let useful_until = submission
            .arrived_at
            .after(objective * USEFUL_OBJECTIVES)
            .min(submission.deadline);
        JobDemand {
            cpu_milli: u64::from(submission.work.resources.cpu_milli),
            latest_start: useful_until.before(declared),
        }
    }
}
