//! To which pools a relay offers its jobs.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::PoolLoad;
use bramley_pool::relay::{Relay, RelayAction};
use bramley_pool::room::TaskRoom;
use bramley_pool::settings::RelaySettings;

fn now() -> UnixTime {
    UnixTime::from_millis(1_000_000)
}

/// Returns a job of two tasks on ten cores each.
fn submission(name: &str) -> JobSubmission {
    JobSubmission {
        work: JobWork {
            job: JobName::new(name),
            spec: "spec".into(),
            tasks: 2,
            room: TaskRoom {
                accelerators: 0,
                cpu_milli: 10_000,
                memory_mb: 64,
            },
            declared: Duration::from_millis(100),
            required_label: "".into(),
            preferred_rack: "".into(),
            spread_limit: 0,
        },
        policy: JobPolicy {
            route: RouteName::new("holds"),
            service: ServiceName::new("service-1"),
            priority: 0,
            attempts: 2,
            stretch_factor: 1.6,
            target: Duration::from_millis(60),
        },
        arrived_at: now(),
        deadline: now().after(Duration::from_secs(10)),
        done: Vec::new(),
        placements: Vec::new(),
        acknowledged: false,
        earlier_workers: 0,
        resumed: false,
    }
}

fn load(free_cpu_milli: u64, waiting_tasks: u32) -> PoolLoad {
    PoolLoad {
        free_cpu_milli,
        waiting_tasks,
        ..PoolLoad::default()
    }
}

/// Returns a relay whose own pool and another have told these loads.
fn relay_with(own: PoolLoad, other: PoolLoad) -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::new("own"));
    for (name, load) in [("own", own), ("other", other)] {
        let domain = DomainName::new(name);
        relay.pool_connected(&domain, now());
        relay.pool_loaded(&domain, load);
    }
    relay
}

/// Hands a job to a relay and returns the pool to which it is offered.
fn offered_to(relay: &mut Relay, job: &str) -> Option<String> {
    relay.accept(submission(job), now());
    relay
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            RelayAction::Send(domain, _) => Some(String::from(domain.as_str())),
            RelayAction::Answer(..) | RelayAction::Note(_) => None,
        })
}

/// Pattern: requests press on one failure domain while another has room.
#[test]
fn a_job_goes_where_room_is_while_tasks_wait_at_home() {
    let mut relay = relay_with(load(50_000, 3), load(200_000, 0));
    assert_eq!(offered_to(&mut relay, "job-1").as_deref(), Some("other"));
}

#[test]
fn a_job_stays_at_home_while_nothing_waits_there() {
    let mut relay = relay_with(load(10_000, 0), load(900_000, 0));
    assert_eq!(offered_to(&mut relay, "job-1").as_deref(), Some("own"));
}

#[test]
fn a_job_stays_at_home_while_tasks_wait_everywhere() {
    let mut relay = relay_with(load(10_000, 2), load(900_000, 1));
    assert_eq!(offered_to(&mut relay, "job-1").as_deref(), Some("own"));
}

/// Pattern: many jobs come between two heartbeats of the pool with room.
#[test]
fn room_that_was_given_away_is_not_given_twice() {
    let mut relay = relay_with(load(10_000, 2), load(120_000, 0));
    let offers: Vec<_> = (0..4)
        .map(|number| offered_to(&mut relay, &format!("job-{number}")))
        .collect();
    let elsewhere = offers.iter().flatten().filter(|pool| *pool == "other");
    assert_eq!(elsewhere.count(), 3, "{offers:?}");
}
