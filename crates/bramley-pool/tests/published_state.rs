//! Relays that refuse by themselves what pools could not serve, by the state that pools publish.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::{JobName, RouteName};
use bramley_pool::message::{
    JobOutcome, PoolLoad, PoolMessage, RelayMessage, RouteAdmission, TaskPlacement,
};
use bramley_pool::pool_connection::PoolConnection;
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{JobAnswer, Relay, RelayAction, RouteOffer};
use bramley_pool::settings::RelaySettings;

const ROUTE: &str = "holds";

/// What happened to a job when it was accepted.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Submitted(String, bool),
    Refused(Refusal, Duration),
}

struct RelayBench {
    relay: Relay,
    world: World,
    now: UnixTime,
    jobs: u32,
}

impl RelayBench {
    /// A relay of `home` that is connected to the pools of three domains.
    fn new() -> Self {
        let world = World::new(1, 0);
        let mut bench = Self {
            relay: Relay::new(RelaySettings::default(), DomainName::from("home")),
            now: world.now,
            world,
            jobs: 0,
        };
        for domain in ["home", "east", "west"] {
            bench
                .relay
                .pool_connected(&DomainName::from(domain), Some(1), bench.now);
        }
        bench.set_free_cpu("east", 100_000);
        bench.set_free_cpu("west", 90_000);
        bench
    }

    fn set_free_cpu(&mut self, domain: &str, free_cpu_milli: u64) {
        let load = PoolLoad {
            free_cpu_milli,
            listed_workers: 12,
            ..PoolLoad::default()
        };
        let connection = self.connection(domain);
        self.relay.update_pool_load(&connection, load);
    }

    /// Returns the current connection to the pool of a domain.
    fn connection(&self, domain: &str) -> PoolConnection {
        let connection = self.relay.connection(&DomainName::from(domain));
        connection.expect("the pool is connected")
    }

    fn publish(&mut self, domain: &str, pass_permille: u32, late_wait_ms: Option<u64>) {
        let state = self.state(ROUTE, pass_permille, late_wait_ms);
        self.publish_all(domain, vec![state]);
    }

    fn publish_all(&mut self, domain: &str, states: Vec<RouteAdmission>) {
        let connection = self.connection(domain);
        self.relay
            .update_route_admissions(&connection, states, self.now);
    }

    fn state(&self, route: &str, pass_permille: u32, late_wait_ms: Option<u64>) -> RouteAdmission {
        RouteAdmission {
            route: RouteName::from(route),
            pass_permille,
            wait: Duration::from_millis(40),
            late_wait: late_wait_ms.map(Duration::from_millis),
            computed_at: self.now,
        }
    }

    fn publish_everywhere(&mut self, pass_permille: u32) {
        for domain in ["home", "east", "west"] {
            self.publish(domain, pass_permille, None);
        }
    }

    /// Accepts a new job of two tasks of 200 ms, whose answer has a value for 1,140 ms.
    fn accept(&mut self) -> Outcome {
        self.jobs += 1;
        let job = TestJob {
            name: format!("job-{}", self.jobs),
            tasks: 2,
            run: Duration::from_millis(200),
            ..TestJob::default()
        };
        self.world.now = self.now;
        let submission = self.world.submission(&job);
        self.relay.accept(submission, self.now);
        self.outcome()
    }

    fn accept_many(&mut self, count: u32) -> Vec<Outcome> {
        (0..count).map(|_| self.accept()).collect()
    }

    /// Returns what the relay did since the last call.
    fn outcome(&mut self) -> Outcome {
        let mut outcomes =
            self.relay
                .take_actions()
                .into_iter()
                .filter_map(|action| match action {
                    RelayAction::Send(domain, RelayMessage::Submit(submission)) => Some(
                        Outcome::Submitted(String::from(domain.as_str()), submission.accepts_late),
                    ),
                    RelayAction::Answer(
                        _,
                        JobAnswer::Refused {
                            refusal,
                            retry_after,
                        },
                    ) => Some(Outcome::Refused(refusal, retry_after)),
                    _ => None,
                });
        let outcome = outcomes.next().expect("the job is submitted or refused");
        assert_eq!(outcomes.next(), None);
        outcome
    }

    /// The pool of a domain refuses the last job.
    fn refuse_last(&mut self, domain: &str) -> Outcome {
        let ended = PoolMessage::Ended {
            job: JobName::new(format!("job-{}", self.jobs)),
            outcome: JobOutcome::Refused(Refusal::Overloaded),
            wait: Duration::from_millis(300),
        };
        let connection = self.connection(domain);
        self.relay.handle_pool_message(&connection, ended, self.now);
        self.outcome()
    }
}

fn submitted_to(outcomes: &[Outcome], domain: &str) -> usize {
    outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Submitted(at, _) if at == domain))
        .count()
}

/// Failure guarded against: a pool that asks for a fifth of the jobs and gets all or none.
#[test]
fn the_published_share_is_passed_and_the_rest_is_refused_at_once() {
    for permille in [0, 1, 125, 500, 999, 1_000] {
        let mut bench = RelayBench::new();
        bench.publish("home", permille, None);
        bench.publish("east", 0, None);
        bench.publish("west", 0, None);
        let outcomes = bench.accept_many(2_000);
        let passed = submitted_to(&outcomes, "home");
        assert!(
            passed.abs_diff(permille as usize * 2) <= 1,
            "{permille}: {passed}"
        );
        let refused = outcomes.len() - passed;
        assert_eq!(
            refused,
            outcomes
                .iter()
                .filter(|outcome| { matches!(outcome, Outcome::Refused(Refusal::Overloaded, _)) })
                .count()
        );
    }
}

/// Failure guarded against: jobs refused although another failure domain is idle.
#[test]
fn what_the_local_pool_does_not_pass_goes_to_a_foreign_pool_with_free_cpu() {
    let mut bench = RelayBench::new();
    bench.publish("home", 0, None);
    bench.publish("east", 500, None);
    bench.publish("west", 0, None);
    let outcomes = bench.accept_many(100);
    assert_eq!(submitted_to(&outcomes, "east"), 50);
    assert_eq!(submitted_to(&outcomes, "west"), 0);
    bench.set_free_cpu("east", 5_000);
    bench.publish("west", 1_000, None);
    let outcomes = bench.accept_many(100);
    assert_eq!(
        submitted_to(&outcomes, "west"),
        100,
        "a task needs 10 cores"
    );
}

/// Failure guarded against: late jobs offered where their answer would come too late, and refused
/// where it would still have a value.
#[test]
fn a_job_is_offered_late_only_where_time_is_left() {
    let mut bench = RelayBench::new();
    bench.publish_everywhere(0);
    bench.publish("home", 0, Some(100));
    assert!(
        matches!(bench.accept(), Outcome::Refused(..)),
        "a share of 0 takes nothing"
    );
    bench.publish("home", 999, Some(941));
    let outcomes = bench.accept_many(1_000);
    assert!(
        outcomes
            .iter()
            .any(|outcome| matches!(outcome, Outcome::Refused(..)))
    );
    assert!(!outcomes.contains(&Outcome::Submitted(String::from("home"), true)));
    bench.publish("home", 500, Some(939));
    let outcomes = bench.accept_many(400);
    let late = Outcome::Submitted(String::from("home"), true);
    let late = outcomes.iter().filter(|outcome| **outcome == late).count();
    assert!(
        late.abs_diff(100) <= 1,
        "half of the 200 that do not pass: {late}"
    );
}

/// Failure guarded against: a job refused by its pool is offered to each pool in turn, although
/// they have stated that they refuse it.
#[test]
fn a_refused_job_is_offered_on_only_where_it_has_a_chance() {
    let mut bench = RelayBench::new();
    assert_eq!(
        bench.accept(),
        Outcome::Submitted(String::from("home"), false)
    );
    bench.publish("east", 0, None);
    assert_eq!(
        bench.refuse_last("home"),
        Outcome::Submitted(String::from("west"), false)
    );
    bench.publish("home", 0, None);
    bench.publish("west", 0, None);
    let refused = bench.refuse_last("west");
    assert!(
        matches!(refused, Outcome::Refused(Refusal::Overloaded, _)),
        "{refused:?}"
    );
}

/// Failure guarded against: state that is stale, missing or contradictory shuts out a route.
#[test]
fn state_that_cannot_be_used_changes_nothing() {
    let mut bench = RelayBench::new();
    let home = |count| (0..count).map(|_| Outcome::Submitted(String::from("home"), false));
    assert!(bench.accept_many(20).into_iter().eq(home(20)), "missing");
    bench.relay.set_known_routes(vec![RouteName::from(ROUTE)]);
    let twice = vec![bench.state(ROUTE, 0, None), bench.state(ROUTE, 100, None)];
    for states in [
        vec![bench.state(ROUTE, 1_001, None)],
        vec![bench.state("other", 0, None)],
        twice,
    ] {
        bench.publish_all("home", states);
        assert!(
            bench.accept_many(20).into_iter().eq(home(20)),
            "contradictory"
        );
    }
    bench.publish_everywhere(0);
    assert!(matches!(bench.accept(), Outcome::Refused(..)));
    bench.now = bench.now.after(Duration::from_millis(1_001));
    assert!(bench.accept_many(20).into_iter().eq(home(20)), "stale");
    bench.publish_everywhere(0);
    bench
        .relay
        .pool_connected(&DomainName::from("home"), Some(1), bench.now);
    // The jobs that the earlier connection held are submitted over the new one.
    drop(bench.relay.take_actions());
    assert!(
        bench.accept_many(20).into_iter().eq(home(20)),
        "the pool has moved"
    );
}

/// Failure guarded against: a faulty pool fills the log with five lines a second from each relay.
#[test]
fn contradictions_are_logged_once_in_ten_seconds() {
    let mut bench = RelayBench::new();
    let mut lines = Vec::new();
    for _ in 0..100 {
        bench.publish("home", 4_000, None);
        bench.now = bench.now.after(Duration::from_millis(200));
        for action in bench.relay.take_actions() {
            if let RelayAction::LogDecision(decision) = action {
                lines.push(decision.to_string());
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    event=admission_state_ignored pool=home route=holds reason=share_above_full pass_permille=4000 count=1
    event=admission_state_ignored pool=home route=holds reason=share_above_full pass_permille=4000 count=50
    ");
}

/// Failure guarded against: a relay that passed nothing goes on refusing after the burst.
#[test]
fn a_relay_that_passed_nothing_passes_all_once_the_share_is_full() {
    let mut bench = RelayBench::new();
    bench.publish_everywhere(0);
    let outcomes = bench.accept_many(500);
    assert!(
        outcomes
            .iter()
            .all(|outcome| matches!(outcome, Outcome::Refused(..)))
    );
    bench.publish_everywhere(1_000);
    assert_eq!(submitted_to(&bench.accept_many(500), "home"), 500);
}

/// Failure guarded against: callers refused in one moment come back in one moment, and as many of
/// them however few are passed.
#[test]
fn callers_that_come_back_when_told_do_not_come_all_at_once() {
    let mut shares = BTreeMap::new();
    for permille in [1, 250, 500, 900] {
        let mut bench = RelayBench::new();
        bench.publish_everywhere(0);
        bench.publish("home", permille, None);
        let mut times: BTreeMap<u64, usize> = BTreeMap::new();
        for outcome in bench.accept_many(1_000) {
            if let Outcome::Refused(_, retry_after) = outcome {
                assert_eq!(retry_after.subsec_nanos(), 0, "whole seconds");
                *times.entry(retry_after.as_secs()).or_default() += 1;
            }
        }
        let refused: usize = times.values().sum();
        let largest = times.values().max().copied().unwrap_or_default();
        assert!(refused >= 100, "{permille}: {times:?}");
        assert!(largest * 3 <= refused * 2, "{permille}: {times:?}");
        shares.insert(permille, times.keys().copied().collect::<Vec<_>>());
    }
    insta::assert_compact_debug_snapshot!(shares, @"{1: [4, 5], 250: [4, 5], 500: [2, 3], 900: [1, 2]}");
}

/// Failure guarded against: a job that is open here, or began here before its caller sent it again,
/// is refused as not run.
#[test]
fn a_job_that_may_run_is_never_refused_by_published_state() {
    let mut bench = RelayBench::new();
    bench.accept();
    let job = JobName::from("job-1");
    let placed = PoolMessage::Placed {
        job: job.clone(),
        placements: vec![TaskPlacement {
            index: 0,
            worker: "worker-1".into(),
            born_unix_ms: 1,
        }],
    };
    let connection = bench.connection("home");
    bench
        .relay
        .handle_pool_message(&connection, placed, bench.now);
    bench.publish_everywhere(0);
    let route = RouteName::from(ROUTE);
    let deadline = bench.now.after(Duration::from_secs(2));
    let offer = bench
        .relay
        .offer_early("job-1", &route, deadline, bench.now);
    assert_eq!(offer, RouteOffer::Ordinary, "open");
    bench.relay.caller_disconnected(&job);
    let offer = bench
        .relay
        .offer_early("job-1", &route, deadline, bench.now);
    assert_eq!(offer, RouteOffer::Ordinary, "began here");
    let offer = bench
        .relay
        .offer_early("job-2", &route, deadline, bench.now);
    assert!(matches!(offer, RouteOffer::Refused(_)), "{offer:?}");
    bench.relay.tick(bench.now.after(Duration::from_secs(11)));
    let offer = bench
        .relay
        .offer_early("job-1", &route, deadline, bench.now);
    assert!(matches!(offer, RouteOffer::Refused(_)), "{offer:?}");
}

/// Failure guarded against: an offer decided before the body was read is counted twice, or kept
/// although the body shows that the pool cannot serve the job.
#[test]
fn an_early_offer_counts_once_and_is_checked_against_the_body() {
    let mut bench = RelayBench::new();
    bench.publish_everywhere(0);
    bench.publish("home", 500, None);
    let route = RouteName::from(ROUTE);
    let deadline = bench.now.after(Duration::from_secs(2));
    let mut passed = 0;
    for number in 0..200 {
        let name = format!("early-{number}");
        let offer = bench.relay.offer_early(&name, &route, deadline, bench.now);
        if offer == RouteOffer::Ordinary {
            let job = TestJob {
                name,
                ..TestJob::default()
            };
            let submission = bench.world.submission(&job);
            bench
                .relay
                .accept_offered(submission, Some(offer), bench.now);
            assert!(matches!(bench.outcome(), Outcome::Submitted(..)));
            passed += 1;
        }
    }
    assert_eq!(passed, 100);
    bench.publish_everywhere(0);
    bench.publish("east", 1_000, None);
    bench.set_free_cpu("east", 5_000);
    let offer = bench.relay.offer_early("wide", &route, deadline, bench.now);
    assert_eq!(offer, RouteOffer::InTime(DomainName::from("east")));
    let submission = bench.world.submission(&TestJob::default());
    bench
        .relay
        .accept_offered(submission, Some(offer), bench.now);
    assert!(
        matches!(bench.outcome(), Outcome::Refused(..)),
        "a task needs 10 cores"
    );
}
