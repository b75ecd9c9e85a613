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

const RELAY: RelayId = RelayId(1);

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
        resumed: false,
        accepts_late: false,
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
    pool.become_leader(1, NOW);
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
            capacity,
            labels: Vec::new(),
        };
        pool.worker_listed(entry, NOW);
    }
    pool.worker_list_read(NOW);
    answer_probes(&mut pool, NOW);
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

/// Measures the time in which the pool handles submissions. Admitted jobs are cancelled outside the
/// measured time.
fn measure_submissions(pool: &mut Pool, target: Duration, iterations: u64) -> Duration {
    let mut total = Duration::ZERO;
    for iteration in 0..iterations {
        let name = format!("measured-{iteration}");
        let number = u32::try_from(iteration % 1_000).unwrap_or_default();
        let message = submission(name.clone(), target, cpu_milli(number));
        let started_at = Instant::now();
        pool.handle_relay_message(RELAY, message, NOW);
        total += started_at.elapsed();
        drop(black_box(pool.take_actions()));
        let cancel = RelayMessage::Cancel(JobName::from(name.as_str()));
        pool.handle_relay_message(RELAY, cancel, NOW);
        drop(pool.take_actions());
    }
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

criterion_group!(benches, decisions, ticks);
criterion_main!(benches);
