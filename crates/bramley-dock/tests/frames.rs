//! Messages between relays and pools are unchanged after encoding and decoding.

use std::time::Duration;

use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;
use bramley_dock::links::convert::{
    PoolHeartbeat, decode_admissions, decode_age, decode_load, decode_pool_message,
    decode_submission, encode_heartbeat, encode_pool_message, encode_relay_message,
};
use bramley_pool::crash::{CrashEvidence, TaskCrash};
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::{
    JobOutcome, PoolLoad, PoolMessage, RelayMessage, RouteAdmission, TaskPlacement,
};
use bramley_pool::refusal::Refusal;
use bramley_pool::resources::TaskResources;
use bramley_wire::pool::{pool_frame, relay_frame};

fn crash(evidence: CrashEvidence) -> TaskCrash {
    TaskCrash {
        index: evidence.code(),
        worker: WorkerName::from("worker-5"),
        born_unix_ms: 1_770_000_000_001,
        number: 3,
        alone: evidence == CrashEvidence::Restarted,
        evidence,
    }
}

fn submission() -> JobSubmission {
    let now = UnixTime::from_millis(50_000);
    JobSubmission {
        work: JobWork {
            job: JobName::from("0123456789abcdef"),
            spec: "payload".into(),
            tasks: 3,
            resources: TaskResources {
                accelerators: 1,
                cpu_milli: 14_000,
                memory_mb: 64,
            },
            declared: Duration::from_millis(60),
            required_label: "a".into(),
            preferred_rack: "r1-2".into(),
            spread_limit: 2,
        },
        policy: JobPolicy {
            route: RouteName::from("route-1"),
            service: ServiceName::from("service-1"),
            priority: 2,
            attempts: 4,
            stretch_factor: 1.6,
            target: Duration::from_millis(60),
            workers_are_guarded: false,
        },
        arrived_at: now.before(Duration::from_millis(30)),
        deadline: now.after(Duration::from_millis(1_470)),
        done: vec![1],
        placements: vec![TaskPlacement {
            index: 2,
            worker: WorkerName::from("worker-7"),
            born_unix_ms: 1_770_000_000_123,
        }],
        crashes: CrashEvidence::ALL.into_iter().map(crash).collect(),
        acknowledged: true,
        earlier_workers: 16,
        earlier_runs_end_by: now.after(Duration::from_millis(900)),
        resumed: true,
        accepts_late: true,
        part: Vec::new(),
    }
}

#[test]
fn a_submission_arrives_as_it_was_sent() {
    let sent = submission();
    let now = UnixTime::from_millis(50_000);
    let frame = encode_relay_message(RelayMessage::Submit(Box::new(sent.clone())), now);
    let Some(relay_frame::Body::Submit(submit)) = frame.body else {
        panic!("the frame does not hold a submission");
    };
    // The clocks of two processes differ, so frames carry ages and remaining times, not timestamps.
    let receiver_now = UnixTime::from_millis(90_000);
    let received = decode_submission(submit, receiver_now);
    let mut expected = sent;
    expected.arrived_at = receiver_now.before(Duration::from_millis(30));
    expected.deadline = receiver_now.after(Duration::from_millis(1_470));
    expected.earlier_runs_end_by = receiver_now.after(Duration::from_millis(900));
    assert_eq!(format!("{received:?}"), format!("{expected:?}"));
}

#[test]
fn every_evidence_of_a_crash_arrives_as_it_was_sent() {
    for evidence in CrashEvidence::ALL {
        let sent = PoolMessage::TaskCrashed {
            job: JobName::from("job-1"),
            crash: crash(evidence),
        };
        let frame = encode_pool_message(sent.clone());
        let received = frame.body.and_then(decode_pool_message);
        assert_eq!(received, Some(sent));
    }
}

#[test]
fn every_outcome_arrives_as_it_was_sent() {
    let mut outcomes = vec![
        JobOutcome::Completed,
        JobOutcome::PartCompleted,
        JobOutcome::Failed,
        JobOutcome::Returned,
    ];
    outcomes.extend(Refusal::ALL.map(JobOutcome::Refused));
    for outcome in outcomes {
        let sent = PoolMessage::Ended {
            job: JobName::from("job-1"),
            outcome,
            wait: Duration::from_millis(250),
        };
        let body = encode_pool_message(sent.clone())
            .body
            .expect("a frame has a body");
        assert_eq!(decode_pool_message(body), Some(sent));
    }
}

#[test]
fn placements_and_ends_of_tasks_arrive_as_they_were_sent() {
    let placed = PoolMessage::Placed {
        job: JobName::from("job-1"),
        placements: submission().placements,
    };
    let done = PoolMessage::TaskDone {
        job: JobName::from("job-1"),
        index: 4,
    };
    for sent in [placed, done] {
        let body = encode_pool_message(sent.clone())
            .body
            .expect("a frame has a body");
        assert_eq!(decode_pool_message(body), Some(sent));
    }
}

fn admission(
    route: &str,
    pass_permille: u32,
    late_wait: Option<Duration>,
    now: UnixTime,
) -> RouteAdmission {
    RouteAdmission {
        route: RouteName::from(route),
        pass_permille,
        wait: Duration::from_millis(30),
        late_wait,
        computed_at: now.before(Duration::from_millis(25)),
    }
}

#[test]
fn a_heartbeat_tells_the_load() {
    let load = PoolLoad {
        free_cpu_milli: 123_000,
        listed_workers: 16,
        usable_workers: 0,
        waiting_tasks: 5,
        evacuated: true,
    };
    let now = UnixTime::from_micros(5_000_000);
    let admissions = [
        admission("in-time", 1_000, Some(Duration::from_millis(70)), now),
        admission("refused", 0, None, now),
    ];
    let callers_lost_at = UnixTime::from_micros(4_700_500);
    let frame = encode_heartbeat(&PoolHeartbeat {
        load,
        admissions: &admissions,
        token: Some(17),
        gives_way: false,
        callers_lost_at: Some(callers_lost_at),
        members: Some(&[7, u64::MAX]),
        sent_at: now,
    });
    let Some(pool_frame::Body::Beat(beat)) = frame.body else {
        panic!("the frame does not hold a heartbeat");
    };
    assert_eq!(decode_load(&beat), load);
    assert_eq!(decode_admissions(&beat, now), admissions);
    assert!(beat.commands && !beat.gives_way);
    let lost_at = decode_age(beat.caller_loss_age_ms, now).expect("an age");
    let early = callers_lost_at.since(lost_at);
    assert!(lost_at <= callers_lost_at && early <= Duration::from_millis(2));
    let members = beat.members.expect("the members");
    assert_eq!(members.incarnations, [7, u64::MAX]);
}

/// Guards against a job of a relay of an earlier version, which does not tell when the runs of the last
/// leader end, that is started beside them.
#[test]
fn runs_of_earlier_leaders_are_waited_for_if_a_relay_does_not_tell_their_end() {
    let now = UnixTime::from_millis(50_000);
    for (resumed, wait_ms) in [(true, 2_500), (false, 0)] {
        let sent = JobSubmission {
            resumed,
            ..submission()
        };
        let frame = encode_relay_message(RelayMessage::Submit(Box::new(sent)), now);
        let Some(relay_frame::Body::Submit(mut submit)) = frame.body else {
            panic!("the frame does not hold a submission");
        };
        submit.earlier_runs_left_us = None;
        let received = decode_submission(submit, now);
        let expected = now.after(Duration::from_millis(wait_ms));
        assert_eq!(received.earlier_runs_end_by, expected);
    }
}
