//! Relays whose process has just resumed from a pause, in which a caller may have left and sent its job
//! again to another host.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::JobName;
use bramley_pool::message::{JobOutcome, PoolLoad, PoolMessage, RelayMessage};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{Relay, RelayAction};
use bramley_pool::settings::RelaySettings;

/// Time after which a resumed relay submits jobs again.
const RESUMED_AFTER: Duration = Duration::from_millis(101);

/// A relay whose job is at the pool of `home`, after a pause of its process.
fn resumed_relay(world: &World) -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("home"));
    for domain in ["home", "east"] {
        let connection = relay.pool_connected(&DomainName::from(domain), world.now);
        let load = PoolLoad {
            free_cpu_milli: 90_000,
            ..PoolLoad::default()
        };
        relay.update_pool_load(&connection, load);
    }
    relay.accept(world.submission(&TestJob::default()), world.now);
    assert_eq!(submitted_to(&mut relay), ["home"]);
    relay.process_resumed(world.now);
    relay
}

fn submitted_to(relay: &mut Relay) -> Vec<String> {
    let actions = relay.take_actions().into_iter();
    let domains = actions.filter_map(|action| match action {
        RelayAction::Send(domain, RelayMessage::Submit(_)) => Some(domain.to_string()),
        _ => None,
    });
    domains.collect()
}

fn receive(relay: &mut Relay, message: PoolMessage, now: UnixTime) {
    let connection = relay.connection(&DomainName::from("home"));
    let connection = connection.expect("the pool is connected");
    relay.handle_pool_message(&connection, message, now);
}

/// Messages that a pool has sent during the pause and after which the relay submits the job elsewhere.
fn moving_messages() -> [PoolMessage; 3] {
    let ended = |outcome| PoolMessage::Ended {
        job: JobName::from("job-1"),
        outcome,
        wait: Duration::from_millis(300),
    };
    [
        ended(JobOutcome::Refused(Refusal::Overloaded)),
        ended(JobOutcome::Returned),
        PoolMessage::Released {
            job: JobName::from("job-1"),
            tasks: vec![0],
            requester: DomainName::from("east"),
        },
    ]
}

/// Guards against a job that is started in another domain for a caller who has left during the pause
/// and sent it again: the end of its connection is read after the pool's message.
#[test]
fn a_resumed_relay_moves_no_job_before_it_has_read_what_it_missed() {
    for message in moving_messages() {
        let world = World::new(1, 0);
        let mut relay = resumed_relay(&world);
        receive(&mut relay, message.clone(), world.now);
        assert_eq!(
            submitted_to(&mut relay),
            Vec::<String>::new(),
            "{message:?}"
        );
        relay.caller_disconnected(&JobName::from("job-1"));
        relay.tick(world.now.after(RESUMED_AFTER));
        assert_eq!(
            submitted_to(&mut relay),
            Vec::<String>::new(),
            "{message:?}"
        );
    }
}

/// A job whose caller is still there is moved after the wait.
#[test]
fn a_resumed_relay_moves_the_jobs_of_callers_who_have_stayed() {
    for message in moving_messages() {
        let world = World::new(1, 0);
        let mut relay = resumed_relay(&world);
        receive(&mut relay, message.clone(), world.now);
        relay.tick(world.now.after(RESUMED_AFTER));
        assert_eq!(submitted_to(&mut relay), ["east"], "{message:?}");
    }
}
