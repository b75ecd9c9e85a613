//! Benchmarks one admission and one refusal by a pool with 350 workers and 1,000 waiting jobs.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bramley_core::units::UnixTime;
use bramley_pool::crash::CrashHistory;
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::{RelayId, RelayMessage};
use bramley_pool::pool::{Pool, PoolAction};
use bramley_pool::resources::TaskResources;
use bramley_pool::settings::PoolSettings;
use bramley_pool::worker::{
    CallAnswer, WorkerClock, WorkerEntry, WorkerName, WorkerReport, WorkerRequest,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Number of workers in a grown deployment.
const WORKERS: u32 = 350;

/// Numbers of waiting jobs to compare; the cost of a decision must not grow with them.
const WAITING_JOBS: [u32; 2] = [100, 1_000];

/// Constant part of the latency objective of a job that can wait for all others.
const PATIENT_TARGET: Duration = Duration::from_secs(20);

/// Constant part of the latency objective of the routes of a grown deployment.
const USUAL_TARGET: Duration = Duration::from_millis(60);

/// CPU requests of the first submissions after a tick, which are not measured: one for each number
/// of such tasks that fit on a worker.
const FIRST_SIZES: [u32; 3] = [7_500, 8_100, 9_000];

const RELAY: RelayId = RelayId(1);

/// Time at which the pool becomes leader: long enough before the measurement that no runs of an
/// earlier leader may still be adopted.
const STARTED_AT: UnixTime = UnixTime::from_millis(990_000);

const NOW: UnixTime = UnixTime::from_millis(1_000_000);

fn submission(name: String, target: Duration, cpu_milli: u32) -> RelayMessage {
    let submission = JobSubmission {
        work: JobWork {
            job: JobName::from(name.as_str()),
            spec: "spec".into(),
            tasks: 2,
            resources: TaskResources {
                accelerators: 0,
                cpu_milli,
                memory_mb: 64,
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
            target,
            workers_are_guarded: true,
        },
        arrived_at: NOW,
        deadline: NOW.after(Duration::from_secs(60)),
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
    RelayMessage::Submit(Box::new(submission))
}

/// Answers all probes with an empty report.
fn answer_probes(pool: &mut Pool, now: UnixTime) {
    for action in pool.take_actions() {
        if let PoolAction::Call(call) = action
            && matches!(call.request, WorkerRequest::Poll { .. })
        {
            let report = WorkerReport {
                born_unix_ms: Some(1),
                clock: WorkerClock(1_000),
                ..WorkerReport::default()
            };
            pool.handle_worker_answer(&call, CallAnswer::Report(report), now);
        }
    }
}

/// Returns CPU requests that differ from job to job: 8 cores with a deviation of 20 %.
const fn cpu_milli(number: u32) -> u32 {
    6_400 + number * 37 % 3_200
}

/// Returns a pool whose workers are busy and at which the given number of jobs waits.
fn busy_pool(waiting_jobs: u32) -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    pool.become_leader(1, STARTED_AT);
    for index in 0..WORKERS {
        let capacity = TaskResources {
            accelerators: 0,
            cpu_milli: [16_000, 24_000][index as usize % 2],
            memory_mb: 65_536,
        };
        let entry = WorkerEntry {
            name: WorkerName::new(format!("worker-{index}")),
            born_unix_ms: 1,
            service: ServiceName::from("service-1"),
            failure_domain: "domain-1".into(),
            address: "10.0.0.1:1".into(),
            leaving: false,
            cold_remaining: Duration::ZERO,
            capacity,
            labels: Vec::new(),
        };
        pool.worker_listed(entry, STARTED_AT);
    }
    pool.worker_list_read(STARTED_AT);
    pool.evacuation_read(false, STARTED_AT, STARTED_AT);
    answer_probes(&mut pool, STARTED_AT);
    let mut number = 0;
    while pool.load(NOW).waiting_tasks < waiting_jobs * 2 {
        let name = format!("waiting-{number}");
        let message = submission(name, PATIENT_TARGET, cpu_milli(number));
        pool.handle_relay_message(RELAY, message, NOW);
        drop(pool.take_actions());
        number += 1;
    }
    pool.tick(NOW);
    drop(pool.take_actions());
    pool
}

/// Number of submissions between two ticks.
const SUBMISSIONS_PER_TICK: u64 = 8;

/// Measures the time in which the pool handles submissions. Admitted jobs are cancelled and ticks
/// are performed outside the measured time.
fn measure_submissions(pool: &mut Pool, target: Duration, iterations: u64) -> Duration {
    let mut total = Duration::ZERO;
    let mut refused = 0;
    for iteration in 0..iterations {
        let name = format!("measured-{iteration}");
        let number = u32::try_from(iteration % 1_000).unwrap_or_default();
        let message = submission(name.clone(), target, cpu_milli(number));
        let refused_before = pool.counts().jobs_refused;
        let started_at = Instant::now();
        pool.handle_relay_message(RELAY, message, NOW);
        total += started_at.elapsed();
        refused += pool.counts().jobs_refused - refused_before;
        drop(black_box(pool.take_actions()));
        let cancel = RelayMessage::Cancel(JobName::from(name.as_str()));
        pool.handle_relay_message(RELAY, cancel, NOW);
        if iteration % SUBMISSIONS_PER_TICK == 0 {
            pool.tick(NOW);
            for cpu_milli in FIRST_SIZES {
                let name = String::from("first");
                let message = submission(name, USUAL_TARGET, cpu_milli);
                pool.handle_relay_message(RELAY, message, NOW);
            }
        }
        drop(pool.take_actions());
    }
    let expected = if target == USUAL_TARGET {
        iterations
    } else {
        0
    };
    assert_eq!(refused, expected, "refused of {iterations} jobs");
    total
}

fn decisions(criterion: &mut Criterion) {
    for (kind, target) in [("admission", PATIENT_TARGET), ("refusal", USUAL_TARGET)] {
        let mut group = criterion.benchmark_group(kind);
        for waiting_jobs in WAITING_JOBS {
            let mut pool = busy_pool(waiting_jobs);
            group.bench_function(BenchmarkId::from_parameter(waiting_jobs), |bencher| {
                bencher
                    .iter_custom(|iterations| measure_submissions(&mut pool, target, iterations));
            });
        }
        group.finish();
    }
}

/// Measures the periodic work, which a cheaper decision must not make more expensive.
fn ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for waiting_jobs in WAITING_JOBS {
        let mut pool = busy_pool(waiting_jobs);
        group.bench_function(BenchmarkId::from_parameter(waiting_jobs), |bencher| {
            bencher.iter(|| {
                pool.tick(black_box(NOW));
                drop(pool.take_actions());
            });
        });
    }
    group.finish();
}

/// Measures a tick together with the first refusal after it, which simulates the queue.
fn first_refusals(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick_and_first_refusal");
    for waiting_jobs in WAITING_JOBS {
        let mut pool = busy_pool(waiting_jobs);
        group.bench_function(BenchmarkId::from_parameter(waiting_jobs), |bencher| {
            bencher.iter(|| {
                pool.tick(black_box(NOW));
                measure_submissions(&mut pool, USUAL_TARGET, 1)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, ticks, first_refusals);
criterion_main!(benches);
