//! Benchmarks one refusal at a relay by the published state, before and after the body is read.

use std::hint::black_box;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::crash::CrashHistory;
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::{PoolLoad, RouteAdmission};
use bramley_pool::relay::Relay;
use bramley_pool::resources::TaskResources;
use bramley_pool::settings::RelaySettings;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const NOW: UnixTime = UnixTime::from_millis(1_000_000);

/// Routes whose state each pool publishes.
const ROUTES: [&str; 3] = ["urgent", "usual", "long"];

/// A relay that is connected to four pools which pass nothing.
fn overloaded_relay() -> Relay {
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("domain-0"));
    for number in 0..4 {
        let domain = DomainName::new(format!("domain-{number}"));
        let connection = relay.pool_connected(&domain, Some(1), NOW);
        let load = PoolLoad {
            free_cpu_milli: 100_000,
            listed_workers: 117,
            ..PoolLoad::default()
        };
        relay.update_pool_load(&connection, load);
        let admissions = ROUTES.map(|route| RouteAdmission {
            route: RouteName::from(route),
            pass_permille: 0,
            wait: Duration::from_millis(100),
            late_wait: Some(Duration::from_millis(900)),
            computed_at: NOW,
        });
        relay.update_route_admissions(&connection, admissions.to_vec(), NOW);
    }
    relay
}

fn submission() -> JobSubmission {
    JobSubmission {
        work: JobWork {
            job: JobName::from("0123456789abcdef"),
            spec: "spec".into(),
            tasks: 2,
            resources: TaskResources {
                accelerators: 0,
                cpu_milli: 8_000,
                memory_mb: 64,
            },
            declared: Duration::from_millis(200),
            required_label: "".into(),
            preferred_rack: "".into(),
            spread_limit: 0,
        },
        policy: JobPolicy {
            route: RouteName::from(ROUTES[1]),
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

fn refuse_before_body(criterion: &mut Criterion) {
    let mut relay = overloaded_relay();
    let route = RouteName::from(ROUTES[1]);
    let deadline = NOW.after(Duration::from_secs(2));
    criterion.bench_function("refuse_before_body", |bencher| {
        bencher.iter(|| relay.offer_early(black_box("0123456789abcdef"), &route, deadline, NOW));
    });
}

fn refuse_after_body(criterion: &mut Criterion) {
    let mut relay = overloaded_relay();
    criterion.bench_function("refuse_after_body", |bencher| {
        bencher.iter_batched(
            submission,
            |submission| {
                relay.accept(submission, NOW);
                relay.take_actions()
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, refuse_before_body, refuse_after_body);
criterion_main!(benches);
