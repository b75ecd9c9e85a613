//! Benchmarks the kernel's cost per task start for growing numbers of workers and teams.

use std::hint::black_box;

use bramley_load::kernel_harness::{HarnessSize, KernelHarness};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn start_by_workers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("start_by_workers");
    for workers in [50, 100, 200, 400, 700] {
        let mut harness = KernelHarness::new(HarnessSize {
            workers,
            ..HarnessSize::default()
        });
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| black_box(&mut harness).step());
        });
    }
    group.finish();
}

fn start_by_teams(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("start_by_teams");
    for teams in [1, 4, 20, 95, 380] {
        let mut harness = KernelHarness::new(HarnessSize {
            teams,
            ..HarnessSize::default()
        });
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| black_box(&mut harness).step());
        });
    }
    group.finish();
}

criterion_group!(benches, start_by_workers, start_by_teams);
criterion_main!(benches);
