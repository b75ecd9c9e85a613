//! Growth of the kernel's cost with each dimension of the deployment.
//!
//! One dimension grows at a time in at least four steps. Each step gives a cost for each unit; the
//! least-squares line through the steps and its residual tell how the cost grows. Times depend on
//! the machine, so only the ratios between steps carry an argument.

use std::fmt::Write;
use std::time::{Duration, Instant};

use crate::kernel_harness::{HarnessSize, KernelHarness};
use crate::scenario::{DomainLayout, Scenario, Workload};
use crate::virtual_run::dispatcher::POLICIES;
use crate::virtual_run::run_scenario;

/// Starts made before the clock runs.
const WARMUP_STEPS: usize = 2_000;

/// Starts of one timed part.
const TIMED_STARTS: u64 = 10_000;

/// Timed parts of a step; the quickest counts, as it was disturbed least.
const TIMED_PARTS: usize = 5;

/// Repetitions of a heartbeat or a configuration change in one timed part.
const EVENT_REPETITIONS: u32 = 200;

/// Life of tickets whose outcomes are to be kept throughout a run.
const LONG_LIFE: Duration = Duration::from_secs(3_600);

/// Bytes in a kibibyte, the unit of the memory figures of the operating system.
const BYTES_PER_KIB: u64 = 1_024;

/// Failure domains of the runs with several hosts.
const DOMAIN_COUNT: usize = 3;

/// Workers for each entry host in the runs with several hosts.
const WORKERS_PER_HOST: usize = 7;

/// Starts to which messages are related.
const STARTS_PER_RATIO: f64 = 1_000.0;

/// One step of a dimension.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeStep {
    /// Size of the dimension.
    pub size: f64,
    /// Cost of one unit.
    pub cost: f64,
}

/// Steps of one dimension.
#[derive(Clone, Debug, PartialEq)]
pub struct SlopeSeries {
    /// Dimension that grows.
    pub dimension: &'static str,
    /// What is measured, with its unit.
    pub unit: &'static str,
    /// Steps in ascending size.
    pub steps: Vec<SlopeStep>,
}

/// A least-squares line through the steps of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Cost at size 0.
    pub intercept: f64,
    /// Growth of the cost for each unit of size.
    pub slope: f64,
    /// Largest distance of a step from the line, in percent of the mean cost.
    pub residual_percent: f64,
}

impl SlopeSeries {
    /// Fits a line through the steps.
    #[must_use]
    pub fn fit(&self) -> LineFit {
        let count = self.steps.len().max(1) as f64;
        let mean_size = self.steps.iter().map(|step| step.size).sum::<f64>() / count;
        let mean_cost = self.steps.iter().map(|step| step.cost).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for step in &self.steps {
            covariance += (step.size - mean_size) * (step.cost - mean_cost);
            variance += (step.size - mean_size).powi(2);
        }
        let slope = if variance == 0.0 {
            0.0
        } else {
            covariance / variance
        };
        let intercept = mean_cost - slope * mean_size;
        let distances = self
            .steps
            .iter()
            .map(|step| (step.cost - intercept - slope * step.size).abs());
        let largest = distances.fold(0.0, f64::max);
        LineFit {
            intercept,
            slope,
            residual_percent: 100.0 * largest / mean_cost.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the cost of the last step divided by that of the first.
    #[must_use]
    pub fn growth(&self) -> f64 {
        match (self.steps.first(), self.steps.last()) {
            (Some(first), Some(last)) if first.cost > 0.0 => last.cost / first.cost,
            _ => 1.0,
        }
    }
}

/// Measures every dimension.
#[must_use]
pub fn measure_all() -> Vec<SlopeSeries> {
    let workers = [50, 100, 200, 400, 700];
    let teams = [1, 4, 20, 95, 380];
    let tasks = [1, 5, 50, 200, 500];
    let under_way = [350, 700, 1_400, 2_800, 5_600];
    let accelerators = [125, 250, 500, 1_000];
    let waiting = [100, 1_000, 5_000, 20_000, 50_000];
    vec![
        // Memory goes first, while nothing freed can be used again.
        kept_tickets(&[20_000, 40_000, 80_000, 160_000]),
        starts("workers", &workers, |workers| HarnessSize {
            workers,
            ..HarnessSize::default()
        }),
        starts("teams", &teams, |teams| HarnessSize {
            teams,
            ..HarnessSize::default()
        }),
        starts("tasks a job", &tasks, |tasks_per_job| HarnessSize {
            tasks_per_job,
            ..HarnessSize::default()
        }),
        starts("tasks under way", &under_way, |under_way| HarnessSize {
            workers: 700,
            under_way,
            ..HarnessSize::default()
        }),
        starts("waiting tasks", &waiting, |waiting| HarnessSize {
            waiting,
            teams: 20,
            under_way: 400,
            ticket_life: LONG_LIFE,
            ..HarnessSize::default()
        }),
        starts("accelerators", &accelerators, |accelerators| HarnessSize {
            workers: 700,
            accelerators,
            ..HarnessSize::default()
        }),
        events(
            "entry hosts",
            "ns for each heartbeat",
            &[7, 14, 28, 56, 100],
            |hosts| HarnessSize {
                hosts,
                under_way: 10,
                ..HarnessSize::default()
            },
            KernelHarness::hear_peers,
        ),
        loan_messages(&[6, 12, 24, 48, 99]),
        events(
            "teams",
            "ns for each configuration change",
            &[5, 20, 95, 190, 380],
            |teams| HarnessSize {
                teams,
                ..HarnessSize::default()
            },
            KernelHarness::configure,
        ),
    ]
}

fn starts(
    dimension: &'static str,
    sizes: &[usize],
    size_of: impl Fn(usize) -> HarnessSize,
) -> SlopeSeries {
    let mut steps = Vec::new();
    for size in sizes {
        let mut harness = KernelHarness::new(size_of(*size));
        for _ in 0..WARMUP_STEPS.div_ceil(size_of(*size).tasks_per_job) {
            harness.step();
        }
        let parts = (0..TIMED_PARTS).map(|_| time_starts(&mut harness));
        steps.push(SlopeStep {
            size: *size as f64,
            cost: parts.fold(f64::INFINITY, f64::min),
        });
    }
    SlopeSeries {
        dimension,
        unit: "ns for each start",
        steps,
    }
}

fn time_starts(harness: &mut KernelHarness) -> f64 {
    let first = harness.starts();
    let begin = Instant::now();
    while harness.starts() - first < TIMED_STARTS {
        harness.step();
    }
    let elapsed = begin.elapsed().as_nanos() as f64;
    elapsed / (harness.starts() - first) as f64
}

fn events(
    dimension: &'static str,
    unit: &'static str,
    sizes: &[usize],
    size_of: impl Fn(usize) -> HarnessSize,
    event: impl Fn(&mut KernelHarness),
) -> SlopeSeries {
    let mut steps = Vec::new();
    for size in sizes {
        let mut harness = KernelHarness::new(size_of(*size));
        let mut quickest = f64::INFINITY;
        for _ in 0..TIMED_PARTS {
            let begin = Instant::now();
            for _ in 0..EVENT_REPETITIONS {
                event(&mut harness);
            }
            let cost = begin.elapsed().as_nanos() as f64 / f64::from(EVENT_REPETITIONS);
            quickest = quickest.min(cost);
        }
        steps.push(SlopeStep {
            size: *size as f64,
            cost: quickest,
        });
    }
    SlopeSeries {
        dimension,
        unit,
        steps,
    }
}

/// Counts messages about loans in virtual runs at 90 % load, with seven workers for each host.
fn loan_messages(hosts: &[usize]) -> SlopeSeries {
    let mut steps = Vec::new();
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
        let messages = report.wasted.loans as f64 * STARTS_PER_RATIO;
        steps.push(SlopeStep {
            size: *hosts as f64,
            cost: messages / report.useful_starts.max(1) as f64,
        });
    }
    SlopeSeries {
        dimension: "entry hosts, seven workers each",
        unit: "loan messages for each 1,000 useful starts (virtual run)",
        steps,
    }
}

/// Measures the resident memory that one kernel takes as it keeps more and more outcomes.
fn kept_tickets(sizes: &[usize]) -> SlopeSeries {
    let mut harness = KernelHarness::new(HarnessSize {
        ticket_life: LONG_LIFE,
        ..HarnessSize::default()
    });
    let empty = resident_bytes();
    let mut steps = Vec::new();
    for size in sizes {
        while harness.kernel().dump().kept_outcomes < *size {
            for _ in 0..1_000 {
                harness.step();
            }
        }
        let grown = resident_bytes().saturating_sub(empty);
        steps.push(SlopeStep {
            size: *size as f64,
            cost: grown as f64 / *size as f64,
        });
    }
    SlopeSeries {
        dimension: "kept tickets",
        unit: "resident bytes for each ticket",
        steps,
    }
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * BYTES_PER_KIB
}

/// Returns the series as tables in Markdown.
#[must_use]
pub fn to_markdown(series: &[SlopeSeries]) -> String {
    let mut text = String::from(
        "# Measured slopes of the kernel\n\n\
         Written by `bramley-load slopes --out docs/measurements/slopes.md`. Times depend on the\n\
         machine and its load at the time; the ratios between steps carry the argument. The\n\
         residual is the largest distance of a step from the fitted line, in percent of the mean.\n",
    );
    for series in series {
        let fit = series.fit();
        writeln!(text, "\n## {}: {}\n", series.dimension, series.unit)
            .expect("writing to a string");
        writeln!(
            text,
            "| {} | cost | ratio to the first |\n|---:|---:|---:|",
            series.dimension
        )
        .expect("writing to a string");
        let first = series.steps.first().map_or(1.0, |step| step.cost);
        for step in &series.steps {
            writeln!(
                text,
                "| {:.0} | {:.0} | {:.2} |",
                step.size,
                step.cost,
                step.cost / first
            )
            .expect("writing to a string");
        }
        writeln!(
            text,
            "\nLine: {:.1} + {:.5} x size, residual {:.1} %; last step / first step {:.2}.",
            fit.intercept,
            fit.slope,
            fit.residual_percent,
            series.growth()
        )
        .expect("writing to a string");
    }
    text
}
