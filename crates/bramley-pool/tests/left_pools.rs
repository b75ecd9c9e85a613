//! Pools that a job has left and that may not know it.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::JobName;
use bramley_pool::message::{
    JobOutcome, PoolLoad, PoolMessage, RelayId, RelayMessage, TaskPlacement,
};
use bramley_pool::pool_connection::{LossCause, PoolLoss};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{Relay, RelayAction};
use bramley_pool::settings::RelaySettings;

/// Time after which the runs of a job that a pool has given up have certainly ended.
const RUNS_ENDED_AFTER: Duration = Duration::from_millis(2_501);

/// A relay whose job was started by the pool of `east`, which then gave it up.
fn relay_with_job_in_doubt(world: &World) -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("home"));
    for (domain, free_cpu_milli) in [("east", 90_000), ("west", 50_000)] {
        let connection = relay.pool_connected(&DomainName::from(domain), Some(1), world.now);
        let load = PoolLoad {
            free_cpu_milli,
            ..PoolLoad::default()
        };
        relay.update_pool_load(&connection, load);
    }
    relay.accept(world.submission(&TestJob::default()), world.now);
    report_start(&mut relay, "east", world);
    let given_up = PoolMessage::Ended {
        job: JobName::from("job-1"),
        outcome: JobOutcome::Refused(Refusal::NoPool),
        wait: Duration::ZERO,
    };
    let east = relay.connection(&DomainName::from("east"));
    let east = east.expect("the pool is connected");
    relay.handle_pool_message(&east, given_up, world.now);
    relay.update_pool_load(&east, PoolLoad::default());
    relay
}

fn report_start(relay: &mut Relay, domain: &str, world: &World) {
    let placed = PoolMessage::Placed {
        job: JobName::from("job-1"),
        placements: vec![TaskPlacement {
            index: 0,
            worker: "worker-1".into(),
            born_unix_ms: 1,
        }],
    };
    let connection = relay.connection(&DomainName::from(domain));
    let connection = connection.expect("the pool is connected");
    relay.handle_pool_message(&connection, placed, world.now);
}

/// Returns the messages that a relay sends, as domain and kind.
fn sent(relay: &mut Relay) -> Vec<String> {
    let actions = relay.take_actions().into_iter();
    let sent = actions.filter_map(|action| match action {
        RelayAction::Send(domain, RelayMessage::Submit(_)) => Some(format!("{domain} submit")),
        RelayAction::Send(domain, RelayMessage::Cancel(_)) => Some(format!("{domain} cancel")),
        _ => None,
    });
    sent.collect()
}

/// Guards against a job that two pools run because the first one is not told that the job has left.
#[test]
fn a_job_that_moves_is_cancelled_at_the_pool_that_it_leaves() {
    let world = World::new(1, 0);
    let mut relay = relay_with_job_in_doubt(&world);
    assert_eq!(sent(&mut relay), ["east submit"]);
    relay.tick(world.now.after(RUNS_ENDED_AFTER));
    assert_eq!(sent(&mut relay), ["east cancel", "west submit"]);
}

/// Guards against runs that go on at a pool that does not know that the job has left.
#[test]
fn a_pool_that_starts_a_job_held_elsewhere_is_told_to_cancel_it() {
    let world = World::new(1, 0);
    let mut relay = relay_with_job_in_doubt(&world);
    relay.tick(world.now.after(RUNS_ENDED_AFTER));
    drop(sent(&mut relay));
    report_start(&mut relay, "west", &world);
    assert_eq!(sent(&mut relay), Vec::<String>::new());
    report_start(&mut relay, "east", &world);
    assert_eq!(sent(&mut relay), ["east cancel"]);
}

/// Guards against runs that go on for a caller who leaves while its job is in doubt.
#[test]
fn a_job_in_doubt_whose_caller_leaves_is_cancelled_where_it_was() {
    let world = World::new(1, 0);
    let mut relay = relay_with_job_in_doubt(&world);
    drop(sent(&mut relay));
    relay.caller_disconnected(&JobName::from("job-1"));
    assert_eq!(sent(&mut relay), ["east cancel"]);
}

/// Guards against a task that is started after its end: a relay comes back to a pool that still holds
/// the job, and tells of tasks that another pool has completed meanwhile.
#[test]
fn a_pool_that_still_holds_a_job_starts_no_task_that_is_done_elsewhere() {
    let mut world = World::new(1, 1);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    // The worker has room for three of the tasks.
    let job = TestJob {
        tasks: 5,
        run: Duration::from_millis(600),
        ..TestJob::default()
    };
    world.submit_to_pool(0, &job);
    world.run_for(Duration::from_millis(100));
    assert_eq!(world.runs(), 3, "{:#?}", world.log);
    let mut again = world.submission(&job);
    again.resumed = true;
    again.done = vec![0, 3];
    let message = RelayMessage::Submit(Box::new(again));
    let now = world.now;
    world.hosts[0]
        .pool
        .handle_relay_message(RelayId(0), message, now);
    world.run_for(Duration::from_secs(3));
    let starts = world.starts_by_task();
    assert_eq!(starts.get("job-1.0.0.3"), None, "{:#?}", world.log);
    assert_eq!(starts.get("job-1.0.0.4"), Some(&1), "{:#?}", world.log);
    assert_eq!(world.hosts[0].pool.open_jobs(), 0, "{:#?}", world.log);
}

/// Guards against an answer to a job that has not run: the former leader has released all of its tasks to
/// another pool, and what it kept of the job is complete.
#[test]
fn a_job_whose_tasks_the_former_leader_has_released_is_not_answered() {
    let world = World::new(1, 0);
    let east = DomainName::from("east");
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("home"));
    let former = relay.pool_connected(&east, Some(1), world.now);
    relay.accept(world.submission(&TestJob::default()), world.now);
    let loss = PoolLoss {
        cause: LossCause::ClaimChanged,
        last_message_at: world.now,
    };
    relay.pool_lost(&former, loss);
    relay.pool_connected(&east, Some(2), world.now);
    let released = PoolMessage::Released {
        job: JobName::from("job-1"),
        tasks: vec![0],
        requester: DomainName::from("west"),
    };
    let completed = PoolMessage::Ended {
        job: JobName::from("job-1"),
        outcome: JobOutcome::Completed,
        wait: Duration::ZERO,
    };
    relay.handle_pool_message(&former, released, world.now);
    relay.handle_pool_message(&former, completed, world.now);
    assert_eq!(relay.open_jobs(), 1);
    assert_eq!(sent(&mut relay), ["east submit", "east submit"]);
}
