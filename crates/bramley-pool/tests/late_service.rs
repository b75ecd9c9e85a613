//! Jobs that no pool can serve in time: they are served late in capacity that nobody else wants, or
//! refused as soon as it is known that they cannot be.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::crash::CrashHistory;
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::{JobOutcome, PoolLoad, PoolMessage, RelayMessage};
use bramley_pool::pool_connection::{LossCause, PoolConnection, PoolLoss};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{JobAnswer, Relay, RelayAction};
use bramley_pool::resources::TaskResources;
use bramley_pool::settings::RelaySettings;

const NOW: UnixTime = UnixTime::from_millis(1_000_000);

/// Two tasks of 200 ms: the latency objective is 380 ms, and an answer has a value for 1,140 ms.
fn narrow_job(name: String) -> TestJob {
    TestJob {
        name,
        tasks: 2,
        run: Duration::from_millis(200),
        ..TestJob::default()
    }
}

fn started_world(workers: usize) -> World {
    let mut world = World::new(1, workers);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

/// Pattern: many jobs at once in a calm pool. 12 slots run the 48 tasks in four rounds of 200 ms,
/// so that all answers still have a value, although only the first two rounds are in time.
#[test]
fn a_short_burst_is_served_late_rather_than_refused() {
    let mut world = started_world(4);
    for number in 0..24 {
        world.submit(0, &narrow_job(format!("burst-{number}")));
    }
    world.run_for(Duration::from_secs(3));
    let refused: Vec<_> = world
        .answers
        .iter()
        .filter(|(_, (answer, _))| *answer != JobAnswer::Completed)
        .collect();
    assert!(refused.is_empty(), "{refused:?}\n{:#?}", world.log);
}

/// A late job must not take the place of one that can still be in time.
#[test]
fn late_jobs_run_behind_jobs_in_time() {
    let mut world = started_world(4);
    for number in 0..24 {
        world.submit(0, &narrow_job(format!("burst-{number}")));
    }
    world.run_for(Duration::from_millis(390));
    let sent_at = world.now;
    world.submit(0, &narrow_job(String::from("punctual")));
    world.run_for(Duration::from_secs(3));
    let (answer, answered_at) = world.answers["punctual"];
    assert_eq!(answer, JobAnswer::Completed, "{:#?}", world.log);
    let elapsed = answered_at.since(sent_at);
    assert!(
        elapsed <= Duration::from_millis(380),
        "answered after {elapsed:?}\n{:#?}",
        world.log
    );
}

/// Loss of a pool whose last message has just arrived.
const CUT_OFF: PoolLoss = PoolLoss {
    cause: LossCause::ConnectionEnded,
    last_message_at: NOW,
};

/// A relay of `home` that is connected to the pools of three domains with free capacity.
fn connected_relay() -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("home"));
    for domain in ["home", "east", "west"] {
        let domain = DomainName::from(domain);
        let connection = relay.pool_connected(&domain, Some(1), NOW);
        let load = PoolLoad {
            free_cpu_milli: 100_000,
            listed_workers: 12,
            usable_workers: 12,
            waiting_tasks: 0,
            evacuated: false,
        };
        relay.update_pool_load(&connection, load);
    }
    relay
}

fn submission() -> JobSubmission {
    JobSubmission {
        work: JobWork {
            job: JobName::from("job-1"),
            spec: "spec".into(),
            tasks: 2,
            resources: TaskResources {
                cpu_milli: 10_000,
                ..TaskResources::default()
            },
            declared: Duration::from_millis(200),
            required_label: "".into(),
            preferred_rack: "".into(),
            spread_limit: 0,
        },
        policy: JobPolicy {
            route: RouteName::from("releases"),
            service: ServiceName::from("service-1"),
            priority: 1,
            attempts: 2,
            stretch_factor: 1.6,
            target: Duration::from_millis(60),
            workers_are_guarded: true,
        },
        arrived_at: NOW,
        deadline: NOW.after(Duration::from_secs(2)),
        done: Vec::new(),
        placements: Vec::new(),
        crashes: CrashHistory::default(),
        acknowledged: false,
        earlier_workers: 0,
        earlier_runs_end_by: UnixTime::default(),
        resumed: false,
        accepts_late: false,
        part: Vec::new(),
    }
}

/// Takes the only submission that the relay sends, as its domain and whether it accepts a late
/// answer.
fn sent_submission(relay: &mut Relay) -> Option<(String, bool)> {
    let actions = relay.take_actions();
    let mut sent = actions.into_iter().filter_map(|action| match action {
        RelayAction::Send(domain, RelayMessage::Submit(submission)) => {
            Some((String::from(domain.as_str()), submission.accepts_late))
        }
        _ => None,
    });
    let first = sent.next();
    assert!(sent.next().is_none(), "more than one submission was sent");
    first
}

fn end_job(relay: &mut Relay, domain: &str, refusal: Refusal, wait_ms: u64) {
    let message = PoolMessage::Ended {
        job: JobName::from("job-1"),
        outcome: JobOutcome::Refused(refusal),
        wait: Duration::from_millis(wait_ms),
    };
    let connection = connection_to(relay, domain);
    relay.handle_pool_message(&connection, message, NOW);
}

/// Returns the current connection of a relay to the pool of a failure domain.
fn connection_to(relay: &Relay, domain: &str) -> PoolConnection {
    let connection = relay.connection(&DomainName::from(domain));
    connection.expect("the pool is connected")
}

#[test]
fn a_job_that_no_pool_serves_in_time_goes_to_the_pool_that_serves_it_soonest() {
    let mut relay = connected_relay();
    relay.accept(submission(), NOW);
    let mut asked = vec![sent_submission(&mut relay).expect("the job is submitted")];
    end_job(&mut relay, "home", Refusal::Overloaded, 300);
    asked.push(sent_submission(&mut relay).expect("a second pool is asked"));
    let second = asked[1].0.clone();
    end_job(&mut relay, &second, Refusal::Overloaded, 120);
    asked.push(sent_submission(&mut relay).expect("a third pool is asked"));
    let third = asked[2].0.clone();
    end_job(&mut relay, &third, Refusal::Overloaded, 400);
    assert!(
        asked.iter().all(|(_, accepts_late)| !accepts_late),
        "{asked:?}"
    );
    assert_eq!(sent_submission(&mut relay), Some((second, true)));
}

#[test]
fn a_job_that_was_dropped_as_late_goes_to_another_pool() {
    let mut relay = connected_relay();
    relay.accept(submission(), NOW);
    assert_eq!(
        sent_submission(&mut relay),
        Some((String::from("home"), false))
    );
    end_job(&mut relay, "home", Refusal::Expired, 500);
    let (domain, accepts_late) = sent_submission(&mut relay).expect("another pool is asked");
    assert!(domain != "home" && accepts_late, "{domain} {accepts_late}");
}

/// The number of offers is bounded, so that overload does not multiply the messages.
#[test]
fn a_job_that_no_pool_can_serve_is_refused() {
    let mut relay = connected_relay();
    relay.accept(submission(), NOW);
    let mut offers = 0;
    while let Some((domain, _)) = sent_submission(&mut relay) {
        offers += 1;
        assert!(offers <= 5, "more than five offers");
        end_job(&mut relay, &domain, Refusal::Overloaded, 900);
    }
    assert_eq!(relay.open_jobs(), 0);
}

/// Pattern: some hosts of all domains are cut off together with the leader of one of them. Its pool
/// would get the callers of all of these hosts, so those of other domains must not take new ones.
#[test]
fn a_relay_cut_off_with_a_single_foreign_pool_takes_no_new_callers() {
    let mut relay = connected_relay();
    assert!(relay.is_well_connected(4));
    for domain in ["home", "west"] {
        let connection = connection_to(&relay, domain);
        relay.pool_lost(&connection, CUT_OFF);
    }
    assert!(!relay.is_well_connected(4));
    // With two domains, one foreign pool is all there is.
    assert!(relay.is_well_connected(2));
}

/// A whole domain that is cut off serves its own callers.
#[test]
fn a_relay_that_reaches_its_local_pool_takes_callers() {
    let mut relay = connected_relay();
    for domain in ["east", "west"] {
        let connection = connection_to(&relay, domain);
        relay.pool_lost(&connection, CUT_OFF);
    }
    assert!(relay.is_well_connected(4));
    let connection = connection_to(&relay, "home");
    relay.pool_lost(&connection, CUT_OFF);
    assert!(!relay.is_well_connected(4));
}
