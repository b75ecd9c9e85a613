//! Relays whose process has just resumed from a pause, in which a caller may have left and sent its job
//! again to another host.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::JobName;
use bramley_pool::message::{JobOutcome, PoolLoad, PoolMessage, RelayMessage};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{JobAnswer, Relay, RelayAction};
use bramley_pool::settings::RelaySettings;

/// Pause after which no caller can have sent its job elsewhere before the end of its connection is read.
const SHORT_PAUSE: Duration = Duration::from_millis(350);

/// Time after which a resumed relay submits jobs again.
const RESUMED_AFTER: Duration = Duration::from_millis(101);

/// A relay whose job is at the pool of `home`, after a pause of its process.
fn resumed_relay(world: &World, job: &TestJob) -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("home"));
    for domain in ["home", "east"] {
        let connection = relay.pool_connected(&DomainName::from(domain), Some(1), world.now);
        let load = PoolLoad {
            free_cpu_milli: 90_000,
            ..PoolLoad::default()
        };
        relay.update_pool_load(&connection, load);
    }
    relay.accept(world.submission(job), world.now);
    assert_eq!(submitted_to(&mut relay), ["home"]);
    relay.process_resumed(SHORT_PAUSE, world.now);
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
        let mut relay = resumed_relay(&world, &TestJob::default());
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
        let mut relay = resumed_relay(&world, &TestJob::default());
        receive(&mut relay, message.clone(), world.now);
        relay.tick(world.now.after(RESUMED_AFTER));
        assert_eq!(submitted_to(&mut relay), ["east"], "{message:?}");
    }
}

/// A job of four tasks.
fn wide_job() -> TestJob {
    TestJob {
        tasks: 4,
        ..TestJob::default()
    }
}

/// Messages of a pool that has released all tasks of such a job but one during the pause, and has run
/// that one.
fn messages_of_divided_job(outcome: JobOutcome) -> [PoolMessage; 3] {
    let job = JobName::from("job-1");
    [
        PoolMessage::Released {
            job: job.clone(),
            tasks: vec![1, 2, 3],
            requester: DomainName::from("east"),
        },
        PoolMessage::TaskDone {
            job: job.clone(),
            index: 0,
        },
        PoolMessage::Ended {
            job,
            outcome,
            wait: Duration::ZERO,
        },
    ]
}

/// Returns the answers to callers and the failure domains to whose pools tasks were submitted.
fn take_results(relay: &mut Relay) -> (Vec<JobAnswer>, Vec<String>) {
    let mut answers = Vec::new();
    let mut targets = Vec::new();
    for action in relay.take_actions() {
        match action {
            RelayAction::Answer(_, answer) => answers.push(answer),
            RelayAction::Send(domain, RelayMessage::Submit(_)) => targets.push(domain.to_string()),
            RelayAction::Send(..) | RelayAction::LogDecision(_) => {}
        }
    }
    (answers, targets)
}

/// Outcomes with which a pool ends its part; those of earlier versions do not tell it from the job.
const ENDS_OF_PARTS: [JobOutcome; 2] = [JobOutcome::Completed, JobOutcome::PartCompleted];

/// Guards against a job that is answered as completed although some of its tasks never ran: the end of
/// the pool's part overtakes the release of the other tasks, which is held after the pause.
#[test]
fn the_end_of_a_part_does_not_overtake_the_release_of_the_rest() {
    for outcome in ENDS_OF_PARTS {
        let world = World::new(1, 0);
        let mut relay = resumed_relay(&world, &wide_job());
        for message in messages_of_divided_job(outcome) {
            receive(&mut relay, message, world.now);
        }
        assert_eq!(take_results(&mut relay), (vec![], vec![]));
        relay.tick(world.now.after(RESUMED_AFTER));
        let targets = vec![String::from("east")];
        assert_eq!(take_results(&mut relay), (vec![], targets));
    }
}

/// Guards against the same fault between the end of the wait and the next tick: the release is still
/// held, and the end of the part is not.
#[test]
fn held_messages_are_not_overtaken_before_the_next_tick() {
    for outcome in ENDS_OF_PARTS {
        let world = World::new(1, 0);
        let [release, done, ended] = messages_of_divided_job(outcome);
        let mut relay = resumed_relay(&world, &wide_job());
        receive(&mut relay, release, world.now);
        let later = world.now.after(RESUMED_AFTER);
        receive(&mut relay, done, later);
        receive(&mut relay, ended, later);
        let targets = vec![String::from("east")];
        assert_eq!(take_results(&mut relay), (vec![], targets));
        assert_eq!(relay.open_jobs(), 1);
    }
}

/// Guards against a completed part that is taken for the whole job where the release of its other tasks
/// was not applied: a part is told by its outcome.
#[test]
fn a_completed_part_answers_no_caller() {
    let world = World::new(1, 0);
    let mut relay = resumed_relay(&world, &wide_job());
    let later = world.now.after(RESUMED_AFTER);
    relay.tick(later);
    let [release, done, ended] = messages_of_divided_job(JobOutcome::PartCompleted);
    receive(&mut relay, done, later);
    receive(&mut relay, ended, later);
    assert_eq!(take_results(&mut relay), (vec![], vec![]));
    receive(&mut relay, release, later);
    let targets = vec![String::from("east")];
    assert_eq!(take_results(&mut relay), (vec![], targets));
    for index in 1..4 {
        let job = JobName::from("job-1");
        receive(&mut relay, PoolMessage::TaskDone { job, index }, later);
    }
    let answers = vec![JobAnswer::Completed];
    assert_eq!(take_results(&mut relay), (answers, vec![]));
}
