//! Results of a run, formatted as a table or as JSON.

use std::fmt::Write;
use std::time::Duration;

use bramley_core::configuration::ClassConfiguration;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::monitor::WastedMessages;
use crate::outcome::{JobOutcome, JobRecord, OutcomeCounts};
use crate::violation::Violation;

/// Histograms hold integers, so ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// Largest recorded ratio, in thousandths; larger ones are clamped to it.
const MAX_SCALED_RATIO: u64 = 10_000_000;

/// Maximum number of violations that the table lists individually.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Results of one class. The quantiles are of response time divided by the ideal response time.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Task class.
    pub class: String,
    /// Jobs by outcome.
    pub outcomes: OutcomeCounts,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Results of one user.
#[derive(Clone, Debug, Serialize)]
pub struct UserReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Tasks whose results reached a caller as part of a complete answer.
    pub useful_starts: u64,
    /// Wasted messages by cause.
    pub wasted: WastedMessages,
    /// Time until the changed configuration was in force on every host, in milliseconds.
    pub configuration_spread_ms: Option<u64>,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Period in which jobs were sent, in seconds.
    pub seconds: u32,
    /// Seed.
    pub seed: u64,
    /// Results by user.
    pub users: Vec<UserReport>,
}

impl UserReport {
    /// Creates the report of one user.
    pub fn new(
        deployment: &str,
        classes: &[ClassConfiguration],
        records: &[JobRecord],
        wasted: WastedMessages,
        propagation_time: Option<Duration>,
        violations: Vec<Violation>,
    ) -> Self {
        let mut reports = Vec::new();
        for (position, class) in classes.iter().enumerate() {
            reports.push(report_class(class, position, records));
        }
        let complete = records
            .iter()
            .filter(|record| record.outcome == JobOutcome::Complete);
        Self {
            deployment: deployment.to_owned(),
            classes: reports,
            useful_starts: complete.map(|record| record.tasks as u64).sum(),
            wasted,
            configuration_spread_ms: propagation_time
                .map(|propagation_time| propagation_time.as_millis() as u64),
            violations,
        }
    }

    fn write_table(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "\n{:<26} {:>7} {:>8} {:>7} {:>6} {:>8} {:>7} | {:>6} {:>6} {:>6} {:>6}",
            self.deployment,
            "jobs",
            "complete",
            "refused",
            "failed",
            "may have",
            "undeter",
            "p50",
            "p90",
            "p99",
            "p99.9"
        )?;
        for class in &self.classes {
            let outcomes = &class.outcomes;
            writeln!(
                text,
                "  {:<24} {:>7} {:>8} {:>7} {:>6} {:>8} {:>7} | {:>6.2} {:>6.2} {:>6.2} {:>6.2}",
                class.class,
                outcomes.total(),
                outcomes.complete,
                outcomes.refused,
                outcomes.failed,
                outcomes.may_have_run,
                outcomes.undetermined,
                class.p50,
                class.p90,
                class.p99,
                class.p999
            )?;
        }
        self.write_messages(text)
    }

    fn write_messages(&self, text: &mut String) -> std::fmt::Result {
        let useful = self.useful_starts.max(1) as f64;
        let per_start = |count: u64| count as f64 / useful;
        let wasted = &self.wasted;
        writeln!(
            text,
            "  useful starts {}; wasted messages per useful start {:.4} (refused starts {:.4}, \
             connect failures {:.4}, retries {:.4}, loan requests {:.4}, forwards {:.4})",
            self.useful_starts,
            per_start(wasted.total()),
            per_start(wasted.refused_starts),
            per_start(wasted.connect_failures),
            per_start(wasted.retries),
            per_start(wasted.loan_requests),
            per_start(wasted.forwards)
        )?;
        if let Some(spread_ms) = self.configuration_spread_ms {
            writeln!(
                text,
                "  changed configuration in force on every host after {spread_ms} ms"
            )?;
        }
        writeln!(text, "  violations {}", self.violations.len())?;
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            writeln!(text, "    {violation}")?;
        }
        Ok(())
    }
}

impl RunReport {
    /// Returns the total number of violations.
    pub fn violations(&self) -> usize {
        self.users.iter().map(|user| user.violations.len()).sum()
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Formats the report as a table.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "\nseconds={} seed={}; quantiles are of response time / ideal, complete jobs only, \
             measured from the intended send time\n",
            self.seconds, self.seed
        );
        for user in &self.users {
            user.write_table(&mut text).expect("writing to a string");
        }
        let summary = match self.violations() {
            0 => "no violations".to_owned(),
            count => format!("{count} violations"),
        };
        text.push_str(&format!("\n{summary}"));
        text
    }
}

fn report_class(class: &ClassConfiguration, position: usize, records: &[JobRecord]) -> ClassReport {
    let mut outcomes = OutcomeCounts::default();
    let mut ratios =
        Histogram::<u64>::new_with_max(MAX_SCALED_RATIO, 3).expect("the bounds are valid");
    for record in records.iter().filter(|record| record.class == position) {
        outcomes.add(record.outcome);
        if record.outcome == JobOutcome::Complete {
            let ratio = record.response.as_secs_f64() / record.ideal.as_secs_f64();
            ratios.saturating_record((ratio * RATIO_SCALE) as u64);
        }
    }
    let quantile = |q| ratios.value_at_quantile(q) as f64 / RATIO_SCALE;
    ClassReport {
        class: class.name.to_string(),
        outcomes,
        p50: quantile(0.5),
        p90: quantile(0.9),
        p99: quantile(0.99),
        p999: quantile(0.999),
    }
}
