//! Results of a run, formatted as a table or as JSON.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// Messages that did not lead to a useful start, by cause.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct WastedMessages {
    /// Starts that a worker refused.
    pub refused_starts: u64,
    /// Starts for which the connection failed.
    pub unreachable: u64,
    /// Starts of tasks that had already started before.
    pub retries: u64,
    /// Requests to stop a running task.
    pub late_cancels: u64,
    /// Messages that request, grant or return slot loans.
    pub loans: u64,
}

impl WastedMessages {
    /// Returns the sum over all causes.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.refused_starts + self.unreachable + self.retries + self.late_cancels + self.loans
    }
}

/// Results of one workload. The mean and the quantiles are of response time divided by the ideal
/// response time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkloadRow {
    /// Team.
    pub team: String,
    /// Task class.
    pub class: String,
    /// Jobs sent within the measurement period.
    pub offered: u64,
    /// Jobs that completed.
    pub complete: u64,
    /// Jobs that were refused without running any task.
    pub refused: u64,
    /// Accepted jobs that failed.
    pub failed: u64,
    /// Jobs cancelled by their callers.
    pub cancelled: u64,
    /// Completed jobs whose answers arrived after the deadline.
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
    /// 99th percentile of the response time of accepted jobs, divided by their time limit.
    pub deadline_p99: f64,
}

/// Results of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunReport {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Results by workload.
    pub rows: Vec<WorkloadRow>,
    /// Work of jobs answered in time, in percent of the capacity of all slots.
    pub goodput_percent: f64,
    /// Offered work in percent of the capacity of all slots.
    pub offered_percent: f64,
    /// Tasks whose results reached a caller as part of a complete answer.
    pub useful_starts: u64,
    /// Tasks that started at least once.
    pub first_starts: u64,
    /// Wasted messages by cause.
    pub wasted: WastedMessages,
    /// Heartbeats sent.
    pub control_messages: u64,
    /// Jain's fairness index over the fraction of each team's offered work that was served; 1 is
    /// perfectly fair.
    pub fairness: f64,
    /// Percentage of starts that went to failing workers, from two seconds after the workers began
    /// to fail.
    pub failing_share_percent: f64,
    /// Jobs that were never answered.
    pub unanswered: u64,
    /// Invariant violations.
    pub violations: u64,
}

/// Computes Jain's fairness index of the shares; 1 if there are none or all are 0.
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
    /// Returns the number of wasted messages per useful start.
    #[must_use]
    pub fn wasted_per_start(&self) -> f64 {
        self.wasted.total() as f64 / self.useful_starts.max(1) as f64
    }

    /// Formats the report as text.
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

/// Formats the results of workloads as a table.
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
