//! A frame of a relay, whatever it contains, neither ends the process of a pool nor keeps the pool
//! from serving the next job.

use std::time::Duration;

use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;
use bramley_dock::links::convert::decode_submission;
use bramley_pool::job::ServiceName;
use bramley_pool::message::{JobOutcome, PoolMessage, RelayId, RelayMessage};
use bramley_pool::pool::{Pool, PoolAction};
use bramley_pool::refusal::Refusal;
use bramley_pool::resources::TaskResources;
use bramley_pool::settings::PoolSettings;
use bramley_pool::worker::{CallAnswer, WorkerClock, WorkerEntry, WorkerReport, WorkerRequest};
use bramley_wire::pool::{RelayFrame, SubmitJob, relay_frame};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use prost::Message;

const NOW: UnixTime = UnixTime::from_millis(1_000_000);

const RELAY: RelayId = RelayId(1);

/// Returns a pool that leads and has read the runs of a large worker.
fn leading_pool() -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    pool.become_leader(1, NOW);
    let entry = WorkerEntry {
        name: WorkerName::from("worker-1"),
        born_unix_ms: 1,
        service: ServiceName::from("service-1"),
        failure_domain: "domain-1".into(),
        address: "10.0.0.9:80".into(),
        leaving: false,
        capacity: TaskResources {
            accelerators: 0,
            cpu_milli: 32_000,
            memory_mb: 65_536,
        },
        cold_remaining: std::time::Duration::ZERO,
        labels: Vec::new(),
    };
    pool.worker_listed(entry, NOW);
    pool.worker_list_read(NOW);
    pool.evacuation_read(false, NOW, NOW);
    for action in pool.take_actions() {
        if let PoolAction::Call(call) = action {
            let report = WorkerReport {
                clock: WorkerClock(5_000),
                ..WorkerReport::default()
            };
            pool.handle_worker_answer(&call, CallAnswer::Report(report), NOW);
        }
    }
    pool
}

fn valid_submit(job: &str) -> SubmitJob {
    SubmitJob {
        job: String::from(job),
        spec: String::from("payload"),
        tasks: 2,
        cpu_milli: 6_800,
        memory_mb: 64,
        declared_us: 60_000,
        route: String::from("route-1"),
        service: String::from("service-1"),
        attempts: 2,
        stretch_factor: 1.6,
        target_us: 60_000,
        left_us: 1_500_000,
        ..SubmitJob::default()
    }
}

fn submit(pool: &mut Pool, submit: SubmitJob) {
    let submission = decode_submission(submit, NOW);
    pool.handle_relay_message(RELAY, RelayMessage::Submit(Box::new(submission)), NOW);
}

/// Returns the number of starts that the pool sends for a job.
fn count_starts(pool: &mut Pool, job: &str) -> usize {
    let starts = pool
        .take_actions()
        .into_iter()
        .filter(|action| match action {
            PoolAction::Call(call) => match &call.request {
                WorkerRequest::Start { task, .. } => task.job.as_str() == job,
                WorkerRequest::Stop { .. } | WorkerRequest::Poll { .. } => false,
            },
            _ => false,
        });
    starts.count()
}

fn refusal_of(pool: &mut Pool, job: &str) -> Option<Refusal> {
    pool.take_actions()
        .into_iter()
        .find_map(|action| match action {
            PoolAction::Send(
                _,
                PoolMessage::Ended {
                    job: ended,
                    outcome: JobOutcome::Refused(refusal),
                    ..
                },
            ) if ended.as_str() == job => Some(refusal),
            _ => None,
        })
}

#[test]
fn a_job_with_too_many_tasks_is_refused() {
    let mut pool = leading_pool();
    let large = SubmitJob {
        tasks: u32::MAX,
        ..valid_submit("large")
    };
    submit(&mut pool, large);
    assert_eq!(refusal_of(&mut pool, "large"), Some(Refusal::Malformed));
}

#[test]
fn a_job_with_an_impossible_policy_is_refused() {
    for stretch_factor in [f64::NAN, f64::INFINITY, 1e300, -1.0] {
        let mut pool = leading_pool();
        let job = SubmitJob {
            stretch_factor,
            ..valid_submit("stretched")
        };
        submit(&mut pool, job);
        assert_eq!(
            refusal_of(&mut pool, "stretched"),
            Some(Refusal::Malformed),
            "{stretch_factor}"
        );
    }
}

/// A task that needs next to nothing fits a worker thousands of times, but the estimate of a job's
/// start must not take a slot for each.
#[test]
fn tiny_tasks_do_not_exhaust_the_memory() {
    let mut pool = leading_pool();
    let job = SubmitJob {
        cpu_milli: 0,
        memory_mb: 0,
        ..valid_submit("tiny")
    };
    submit(&mut pool, job);
    assert_eq!(count_starts(&mut pool, "tiny"), 2);
}

fn any_submit() -> impl Strategy<Value = SubmitJob> {
    let sizes = (any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>());
    let times = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let policy = (any::<u32>(), any::<u32>(), any::<f64>(), any::<bool>());
    let done = proptest::collection::vec(any::<u32>(), 0..4);
    (sizes, times, policy, done, any::<bool>()).prop_map(
        |((tasks, cpu, memory, spread), times, policy, done, is_small)| SubmitJob {
            // Half of the jobs are valid in size, so that the other fields are reached.
            tasks: if is_small { tasks % 40 } else { tasks },
            cpu_milli: if is_small { cpu % 20_000 } else { cpu },
            memory_mb: if is_small { memory % 100 } else { memory },
            spread_limit: spread % 4,
            declared_us: times.0,
            target_us: times.1,
            age_us: times.2,
            left_us: times.3,
            priority: policy.0,
            attempts: policy.1,
            stretch_factor: policy.2,
            resumed: policy.3,
            done,
            ..valid_submit("hostile")
        },
    )
}

fn deterministic_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let algorithm = config.rng_algorithm;
    TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(algorithm),
    )
}

#[test]
fn a_pool_survives_any_submission() {
    let result = deterministic_runner(2_000).run(&any_submit(), |hostile| {
        let mut pool = leading_pool();
        submit(&mut pool, hostile);
        for millis in [0, 50, 2_000] {
            pool.tick(NOW.after(Duration::from_millis(millis)));
        }
        let cancel = RelayMessage::Cancel("hostile".into());
        pool.handle_relay_message(RELAY, cancel, NOW);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn any_bytes_are_decoded_or_refused() {
    let valid = RelayFrame {
        body: Some(relay_frame::Body::Submit(valid_submit("job-1"))),
    };
    let valid = valid.encode_to_vec();
    let changes = proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6);
    let result = deterministic_runner(4_000).run(&changes, |changes| {
        let mut bytes = valid.clone();
        for (position, value) in changes {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        let Ok(frame) = RelayFrame::decode(bytes.as_slice()) else {
            return Ok(());
        };
        if let Some(relay_frame::Body::Submit(changed)) = frame.body {
            let mut pool = leading_pool();
            submit(&mut pool, changed);
            pool.tick(NOW.after(Duration::from_millis(50)));
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
