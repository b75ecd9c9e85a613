//! What a run found, as a table and as JSON.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// Messages that did not lead to a useful start, by cause.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct WastedMessages {
    /// Starts that a worker refused.
    pub refused_starts: u64,
    /// Starts for which no connection could be made.
    pub unreachable: u64,
    /// Starts of tasks that had started before.
    pub retries: u64,
    /// Requests to stop a running task.
    pub late_cancels: u64,
    /// Messages about loans of slots.
    pub loans: u64,
}

impl WastedMessages {
    /// Returns the sum over all causes.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.refused_starts + self.unreachable + self.retries + self.late_cancels + self.loans
    }
}

/// Figures of one workload; quantiles are of the response time divided by the ideal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkloadRow {
    /// Team.
    pub team: String,
    /// Task class.
    pub class: String,
    /// Jobs sent in the measured time.
    pub offered: u64,
    /// Jobs answered as complete.
    pub complete: u64,
    /// Jobs refused at once.
    pub refused: u64,
    /// Jobs that were accepted and failed.
    pub failed: u64,
    /// Jobs that their callers cancelled.
    pub cancelled: u64,
    /// Complete jobs whose answers came after their deadlines.
    pub late: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// 99th percentile of the response time of accepted jobs, divided by the time allowed.
    pub deadline_p99: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunReport {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Figures by workload.
    pub rows: Vec<WorkloadRow>,
    /// Work of jobs answered in time, in percent of what all slots could run.
    pub goodput_percent: f64,
    /// Offered work in percent of what all slots could run.
    pub offered_percent: f64,
    /// Tasks whose results reached a caller within a complete answer.
    pub useful_starts: u64,
    /// Tasks that started.
    pub first_starts: u64,
    /// Wasted messages by cause.
    pub wasted: WastedMessages,
    /// Heartbeats.
    pub control_messages: u64,
    /// Jain's index of the served parts of the teams' offered work; 1 is even.
    pub fairness: f64,
    /// Starts on failing workers in percent, from two seconds after they began to fail.
    pub failing_share_percent: f64,
    /// Jobs that were never answered.
    pub unanswered: u64,
    /// Violations of what must always hold.
    pub violations: u64,
}

/// Computes Jain's fairness index.
#[must_use]
pub fn fairness_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

impl RunReport {
    /// Returns wasted messages for each useful start.
    #[must_use]
    pub fn wasted_per_start(&self) -> f64 {
        self.wasted.total() as f64 / self.useful_starts.max(1) as f64
    }

    /// Returns the report as text.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        let useful = self.useful_starts.max(1) as f64;
        let per_start = |count: u64| count as f64 / useful;
        writeln!(
            text,
            "scenario={} policy={} seed={} goodput={:.1}% offered={:.1}% fairness={:.3} \
             violations={} unanswered={}",
            self.scenario,
            self.policy,
            self.seed,
            self.goodput_percent,
            self.offered_percent,
            self.fairness,
            self.violations,
            self.unanswered,
        )
        .expect("writing to a string");
        writeln!(
            text,
            "useful_starts={} wasted_per_start={:.4} (refused={:.4} unreachable={:.4} \
             retry={:.4} late_cancel={:.4} loan={:.4}) heartbeats={:.4} failing_workers={:.2}%",
            self.useful_starts,
            self.wasted_per_start(),
            per_start(self.wasted.refused_starts),
            per_start(self.wasted.unreachable),
            per_start(self.wasted.retries),
            per_start(self.wasted.late_cancels),
            per_start(self.wasted.loans),
            per_start(self.control_messages),
            self.failing_share_percent,
        )
        .expect("writing to a string");
        text.push_str(&rows_to_table(&self.rows));
        text
    }
}

/// Returns the figures of workloads as a table.
#[must_use]
pub fn rows_to_table(rows: &[WorkloadRow]) -> String {
    let mut text = String::new();
    writeln!(
        text,
        "{:<24} {:>7} {:>7} {:>7} {:>6} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "team/class",
        "offered",
        "compl",
        "refused",
        "failed",
        "late",
        "mean",
        "p50",
        "p90",
        "p99",
        "p99.9",
        "dl_p99",
    )
    .expect("writing to a string");
    for row in rows {
        writeln!(
            text,
            "{:<24} {:>7} {:>7} {:>7} {:>6} {:>5} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>8.2} \
             {:>8.2}",
            format!("{}/{}", row.team, row.class),
            row.offered,
            row.complete,
            row.refused,
            row.failed,
            row.late,
            row.mean,
            row.p50,
            row.p90,
            row.p99,
            row.p999,
            row.deadline_p99,
        )
        .expect("writing to a string");
    }
    text
}
