//! Measures how the kernel's cost scales with each dimension of a deployment.
//!
//! One dimension is varied at a time, over at least four sizes. The cost per unit is measured at
//! each size; a least-squares line through the points and its residual describe the growth.
//! Absolute times depend on the machine, so only the ratios between points are meaningful.

use std::fmt::Write;
use std::time::{Duration, Instant};

use crate::kernel_harness::{HarnessSize, KernelHarness};
use crate::scenario::{DomainLayout, Scenario, Workload};
use crate::simulation::dispatcher::POLICIES;
use crate::simulation::run_scenario;

/// Task starts before timing begins.
const WARMUP_STARTS: usize = 2_000;

/// Task starts in one timed batch.
const STARTS_PER_BATCH: u64 = 10_000;

/// Timed batches per point. The fastest is used, as it was disturbed least by other processes.
const TIMED_BATCHES: usize = 5;

/// Heartbeats or configuration changes in one timed batch.
const EVENTS_PER_BATCH: u32 = 200;

/// Ticket lifetime that retains all outcomes throughout a run.
const LONG_TICKET_LIFETIME: Duration = Duration::from_secs(3_600);

/// Bytes per kibibyte, the unit of the memory figures in `/proc`.
const BYTES_PER_KIB: u64 = 1_024;

/// Number of failure domains in the simulations with several hosts.
const DOMAIN_COUNT: usize = 3;

/// Workers per entry host in the simulations with several hosts.
const WORKERS_PER_HOST: usize = 7;

/// Message counts are reported per this many useful starts.
const STARTS_PER_RATE_UNIT: f64 = 1_000.0;

/// The cost measured at one size of a dimension.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingPoint {
    /// Size of the dimension.
    pub size: f64,
    /// Cost per unit.
    pub cost: f64,
}

/// The costs measured over the sizes of one dimension.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSeries {
    /// Dimension that is varied.
    pub dimension: &'static str,
    /// Measured quantity with its unit.
    pub unit: &'static str,
    /// Measured points in ascending order of size.
    pub points: Vec<ScalingPoint>,
}

/// A least-squares line through the points of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Extrapolated cost at size 0.
    pub intercept: f64,
    /// Increase of the cost per unit of size.
    pub slope: f64,
    /// Largest absolute deviation of a point from the line, in percent of the mean cost.
    pub residual_percent: f64,
}

impl ScalingSeries {
    /// Fits a least-squares line through the points.
    #[must_use]
    pub fn fit(&self) -> LineFit {
        let count = self.points.len().max(1) as f64;
        let mean_size = self.points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_cost = self.points.iter().map(|point| point.cost).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for point in &self.points {
            covariance += (point.size - mean_size) * (point.cost - mean_cost);
            variance += (point.size - mean_size).powi(2);
        }
        let slope = if variance == 0.0 {
            0.0
        } else {
            covariance / variance
        };
        let intercept = mean_cost - slope * mean_size;
        let distances = self
            .points
            .iter()
            .map(|point| (point.cost - intercept - slope * point.size).abs());
        let largest = distances.fold(0.0, f64::max);
        LineFit {
            intercept,
            slope,
            residual_percent: 100.0 * largest / mean_cost.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the ratio of the last point's cost to the first's.
    #[must_use]
    pub fn growth_ratio(&self) -> f64 {
        match (self.points.first(), self.points.last()) {
            (Some(first), Some(last)) if first.cost > 0.0 => last.cost / first.cost,
            _ => 1.0,
        }
    }
}

/// Measures the scaling of every dimension.
#[must_use]
pub fn measure_all() -> Vec<ScalingSeries> {
    let workers = [50, 100, 200, 400, 700];
    let teams = [1, 4, 20, 95, 380];
    let tasks = [1, 5, 50, 200, 500];
    let running_tasks = [350, 700, 1_400, 2_800, 5_600];
    let accelerators = [125, 250, 500, 1_000];
    let queued_tasks = [100, 1_000, 5_000, 20_000, 50_000];
    vec![
        // Memory is measured first: later, the allocator could reuse freed memory, and the resident
        // size would not show the growth.
        measure_retained_tickets(&[20_000, 40_000, 80_000, 160_000]),
        measure_starts("workers", &workers, |workers| HarnessSize {
            workers,
            ..HarnessSize::default()
        }),
        measure_starts("teams", &teams, |teams| HarnessSize {
            teams,
            ..HarnessSize::default()
        }),
        measure_starts("tasks per job", &tasks, |tasks_per_job| HarnessSize {
            tasks_per_job,
            ..HarnessSize::default()
        }),
        measure_starts("running tasks", &running_tasks, |running_tasks| {
            HarnessSize {
                workers: 700,
                running_tasks,
                ..HarnessSize::default()
            }
        }),
        measure_starts("queued tasks", &queued_tasks, |queued_tasks| HarnessSize {
            queued_tasks,
            teams: 20,
            running_tasks: 400,
            ticket_lifetime: LONG_TICKET_LIFETIME,
            ..HarnessSize::default()
        }),
        measure_starts("accelerators", &accelerators, |accelerators| HarnessSize {
            workers: 700,
            accelerators,
            ..HarnessSize::default()
        }),
        measure_events(
            "entry hosts",
            "ns per heartbeat",
            &[7, 14, 28, 56, 100],
            |hosts| HarnessSize {
                hosts,
                running_tasks: 10,
                ..HarnessSize::default()
            },
            KernelHarness::refresh_peers,
        ),
        measure_loan_messages(&[6, 12, 24, 48, 99]),
        measure_events(
            "teams",
            "ns per configuration change",
            &[5, 20, 95, 190, 380],
            |teams| HarnessSize {
                teams,
                ..HarnessSize::default()
            },
            KernelHarness::configure,
        ),
    ]
}

/// Measures the time per task start, as the fastest of several batches.
fn measure_starts(
    dimension: &'static str,
    sizes: &[usize],
    size_of: impl Fn(usize) -> HarnessSize,
) -> ScalingSeries {
    let mut points = Vec::new();
    for size in sizes {
        let mut harness = KernelHarness::new(size_of(*size));
        for _ in 0..WARMUP_STARTS.div_ceil(size_of(*size).tasks_per_job) {
            harness.step();
        }
        let batches = (0..TIMED_BATCHES).map(|_| time_starts(&mut harness));
        points.push(ScalingPoint {
            size: *size as f64,
            cost: batches.fold(f64::INFINITY, f64::min),
        });
    }
    ScalingSeries {
        dimension,
        unit: "ns per task start",
        points,
    }
}

fn time_starts(harness: &mut KernelHarness) -> f64 {
    let first = harness.starts();
    let begin = Instant::now();
    while harness.starts() - first < STARTS_PER_BATCH {
        harness.step();
    }
    let elapsed = begin.elapsed().as_nanos() as f64;
    elapsed / (harness.starts() - first) as f64
}

/// Measures the time that the kernel needs for one event, as the fastest of several batches.
fn measure_events(
    dimension: &'static str,
    unit: &'static str,
    sizes: &[usize],
    size_of: impl Fn(usize) -> HarnessSize,
    event: impl Fn(&mut KernelHarness),
) -> ScalingSeries {
    let mut points = Vec::new();
    for size in sizes {
        let mut harness = KernelHarness::new(size_of(*size));
        let mut fastest = f64::INFINITY;
        for _ in 0..TIMED_BATCHES {
            let begin = Instant::now();
            for _ in 0..EVENTS_PER_BATCH {
                event(&mut harness);
            }
            let cost = begin.elapsed().as_nanos() as f64 / f64::from(EVENTS_PER_BATCH);
            fastest = fastest.min(cost);
        }
        points.push(ScalingPoint {
            size: *size as f64,
            cost: fastest,
        });
    }
    ScalingSeries {
        dimension,
        unit,
        points,
    }
}

/// Counts slot loan messages in simulations at 90 % load, with seven workers per host.
fn measure_loan_messages(hosts: &[usize]) -> ScalingSeries {
    let mut points = Vec::new();
    for hosts in hosts {
        let domain = |number: usize| DomainLayout {
            name: format!("domain-{number}"),
            hosts: hosts / DOMAIN_COUNT,
            workers: hosts / DOMAIN_COUNT * WORKERS_PER_HOST,
        };
        let scenario = Scenario {
            name: "loan-messages".to_owned(),
            duration_ms: 6_000,
            warmup_ms: 1_000,
            domains: (0..DOMAIN_COUNT).map(domain).collect(),
            workloads: vec![
                Workload {
                    team: "holds".to_owned(),
                    class: "hold".to_owned(),
                    share_percent: 40,
                    max_run_ms: 300,
                    ..Workload::default()
                },
                Workload {
                    team: "organisers".to_owned(),
                    class: "allocation".to_owned(),
                    share_percent: 60,
                    min_tasks: 10,
                    max_tasks: 100,
                    ..Workload::default()
                },
            ],
            ..Scenario::default()
        };
        let report = run_scenario(&scenario, &POLICIES[0]);
        let messages = report.wasted.loans as f64 * STARTS_PER_RATE_UNIT;
        points.push(ScalingPoint {
            size: *hosts as f64,
            cost: messages / report.useful_starts.max(1) as f64,
        });
    }
    ScalingSeries {
        dimension: "entry hosts with seven workers each",
        unit: "loan messages per 1,000 useful starts (simulation)",
        points,
    }
}

/// Measures the growth of resident memory per retained outcome in one kernel.
fn measure_retained_tickets(sizes: &[usize]) -> ScalingSeries {
    let mut harness = KernelHarness::new(HarnessSize {
        ticket_lifetime: LONG_TICKET_LIFETIME,
        ..HarnessSize::default()
    });
    let baseline_bytes = resident_bytes();
    let mut points = Vec::new();
    for size in sizes {
        while harness.kernel().dump().kept_outcomes < *size {
            for _ in 0..1_000 {
                harness.step();
            }
        }
        let growth_bytes = resident_bytes().saturating_sub(baseline_bytes);
        points.push(ScalingPoint {
            size: *size as f64,
            cost: growth_bytes as f64 / *size as f64,
        });
    }
    ScalingSeries {
        dimension: "retained tickets",
        unit: "resident bytes per ticket",
        points,
    }
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * BYTES_PER_KIB
}

/// Formats the series as Markdown tables.
#[must_use]
pub fn to_markdown(series: &[ScalingSeries]) -> String {
    let mut text = String::from(
        "# Measured scaling of the kernel\n\n\
         Generated by `bramley-load slopes --out docs/measurements/slopes.md`. Absolute times\n\
         depend on the machine and its load; only the ratios between sizes are meaningful. The\n\
         residual is the largest deviation of a size from the fitted line, in percent of the\n\
         mean cost.\n",
    );
    for series in series {
        let fit = series.fit();
        writeln!(text, "\n## {}: {}\n", series.dimension, series.unit)
            .expect("writing to a string");
        writeln!(
            text,
            "| {} | cost | ratio to first |\n|---:|---:|---:|",
            series.dimension
        )
        .expect("writing to a string");
        let first = series.points.first().map_or(1.0, |point| point.cost);
        for point in &series.points {
            writeln!(
                text,
                "| {:.0} | {:.0} | {:.2} |",
                point.size,
                point.cost,
                point.cost / first
            )
            .expect("writing to a string");
        }
        writeln!(
            text,
            "\nLine: {:.1} + {:.5} x size, residual {:.1} %; last / first {:.2}.",
            fit.intercept,
            fit.slope,
            fit.residual_percent,
            series.growth_ratio()
        )
        .expect("writing to a string");
    }
    text
}
