//! Explains to operators where a request would go now.

use std::net::SocketAddr;
use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_pool::crash::CrashHistory;
use bramley_pool::explanation::{
    OfferEnding, PoolAnswer, PoolExplanation, PoolState, RelayExplanation,
};
use bramley_pool::job::{JobName, JobSubmission, JobWork, RouteName};
use bramley_pool::refusal::Refusal;
use serde_json::{Value, json};

use super::{Engine, EngineState};
use crate::placement_query::{PlacementQuery, PoolAge, QueryError, check_ages};
use crate::platform::Platform;

/// Time that the caller of an explained request is assumed to wait, as for one that states none.
const CALLER_PATIENCE: Duration = Duration::from_secs(10);

impl<P: Platform> Engine<P> {
    /// Explains where a request would go now. Nothing is sent or changed except for the count of
    /// explanations.
    ///
    /// # Errors
    ///
    /// Returns an error if the route is unknown, the state of the pools is too old, or too many
    /// questions were asked in this second.
    pub fn explain_placement(&self, query: &PlacementQuery) -> Result<Value, QueryError> {
        let now = self.now();
        let mut limit = self.explanation_limit.get();
        let is_within_limit = limit.take(now);
        self.explanation_limit.set(limit);
        if !is_within_limit {
            return Err(QueryError::TooManyQuestions);
        }
        let state = self.state.borrow();
        let version = state.routes.version;
        if version == 0 {
            return Err(QueryError::NoConfiguration);
        }
        let Some((route, _)) = state.routes.find(&query.host, &query.path) else {
            return Err(QueryError::UnknownRoute {
                version,
                host: query.host.clone(),
                path: query.path.clone(),
            });
        };
        let submission = JobSubmission {
            work: JobWork {
                job: JobName::new(""),
                spec: "".into(),
                tasks: query.tasks,
                resources: query.resources,
                declared: query.declared,
                required_label: "".into(),
                preferred_rack: "".into(),
                spread_limit: 0,
            },
            policy: route.policy.clone(),
            arrived_at: now,
            deadline: now.after(CALLER_PATIENCE),
            done: Vec::new(),
            placements: Vec::new(),
            crashes: CrashHistory::default(),
            acknowledged: false,
            earlier_workers: 0,
            earlier_runs_end_by: UnixTime::default(),
            resumed: false,
            accepts_late: false,
            part: Vec::new(),
        };
        let plan = state.relay.explain(&submission, now);
        let ages: Vec<PoolAge> = plan
            .pools
            .iter()
            .map(|pool| PoolAge {
                domain: pool.domain.clone(),
                is_connected: pool.is_connected,
                age: self.pool_age(&state, pool, now),
            })
            .collect();
        check_ages(&ages)?;
        let local_domain = &self.settings.host.domain;
        let leader = state.pools.get(local_domain);
        let leader_ip = leader
            .and_then(|link| link.claim.address.parse().ok())
            .map(|address: SocketAddr| address.ip());
        let is_leader = state.pool.token().is_some();
        let (answer, late_answer) = if is_leader {
            explain_pool(&state, &submission, now)
        } else {
            (Value::Null, Value::Null)
        };
        let pools: Vec<Value> = plan
            .pools
            .iter()
            .map(|pool| self.describe_pool(&state, pool, &plan.route, now))
            .collect();
        Ok(json!({
            "host": self.settings.host.host.as_str(),
            "domain": local_domain.as_str(),
            "leader": is_leader,
            "leader_ip": leader_ip,
            "configuration": version,
            "route": plan.route.as_str(),
            "tasks": query.tasks,
            "cpu_milli": query.resources.cpu_milli,
            "memory_mb": query.resources.memory_mb,
            "run_ms": query.declared.as_millis(),
            "pools": pools,
            "offers": describe_offers(&plan),
            "ending": describe_ending(plan.ending),
            "answer": answer,
            "late_answer": late_answer,
        }))
    }

    /// Returns the time since a pool was heard from; zero for the own pool while it is the leader.
    fn pool_age(&self, state: &EngineState, pool: &PoolState, now: UnixTime) -> Duration {
        if pool.is_local && state.pool.token().is_some() {
            return Duration::ZERO;
        }
        let link = state.pools.get(&pool.domain);
        link.map_or(Duration::MAX, |link| now.since(link.last_heard_at))
    }

    fn describe_pool(
        &self,
        state: &EngineState,
        pool: &PoolState,
        route: &RouteName,
        now: UnixTime,
    ) -> Value {
        let published = state.relay.published_overload(&pool.domain, route, now);
        json!({
            "domain": pool.domain.as_str(),
            "local": pool.is_local,
            "connected": pool.is_connected,
            "evacuated": pool.load.evacuated,
            "age_ms": self.pool_age(state, pool, now).as_millis(),
            "free_cpu_milli": pool.load.free_cpu_milli,
            "waiting_tasks": pool.load.waiting_tasks,
            "pass_permille": published.map_or(1_000, |published| published.pass_permille),
            "wait_ms": published.map(|published| published.wait.as_millis()),
            "late_wait_ms": published
                .and_then(|published| published.late_wait)
                .map(|wait| wait.as_millis()),
        })
    }
}

/// Returns the local pool's answer, and its answer to a late job if it cannot serve the job in time.
fn explain_pool(state: &EngineState, submission: &JobSubmission, now: UnixTime) -> (Value, Value) {
    let explanation = state.pool.explain(submission, now);
    let answer = describe_answer(&explanation);
    if explanation.answer != PoolAnswer::Refused(Refusal::Overloaded) {
        return (answer, Value::Null);
    }
    let late_submission = JobSubmission {
        accepts_late: true,
        part: Vec::new(),
        ..submission.clone()
    };
    let late_answer = describe_answer(&state.pool.explain(&late_submission, now));
    (answer, late_answer)
}

fn describe_answer(explanation: &PoolExplanation) -> Value {
    let (answer, reason) = match explanation.answer {
        PoolAnswer::Admitted(queue_class) => (queue_class.as_str(), None),
        PoolAnswer::Refused(refusal) => ("refused", Some(refusal.answer().reason)),
    };
    let starts: Vec<Value> = explanation
        .starts
        .iter()
        .map(|start| {
            json!({
                "task": start.index,
                "worker": start.worker.as_str(),
                "pace": start.relative_run_time,
                "slowdown": start.neighbour_stretch,
                "free_cpu_milli": start.free_cpu_milli,
            })
        })
        .collect();
    json!({
        "answer": answer,
        "reason": reason,
        "wait_ms": explanation.wait.as_millis(),
        "slack_ms": explanation.slack.as_millis(),
        "expected_ms": explanation.expected.as_millis(),
        "list_age_ms": explanation.list_age.as_millis(),
        "free_cpu_milli": explanation.load.free_cpu_milli,
        "waiting_tasks": explanation.load.waiting_tasks,
        "starts": starts,
    })
}

fn describe_offers(plan: &RelayExplanation) -> Vec<Value> {
    let offers = plan.offers.iter();
    offers
        .map(|offer| json!({"pool": offer.domain.as_str(), "reason": offer.reason.as_str()}))
        .collect()
}

fn describe_ending(ending: OfferEnding) -> Value {
    match ending {
        OfferEnding::Refused {
            refusal,
            retry_after,
        } => json!({
            "ending": "refused",
            "reason": refusal.answer().reason,
            "retry_after_ms": retry_after.as_millis(),
        }),
        OfferEnding::Held => json!({"ending": "held"}),
        OfferEnding::MoreOffers => json!({"ending": "more_offers"}),
    }
}
