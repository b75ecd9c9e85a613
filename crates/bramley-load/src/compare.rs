//! Two reports side by side.

use std::fmt::Write;

use crate::report::RunReport;

/// Returns a table of the main figures of two runs and the second divided by the first.
#[must_use]
pub fn compare_reports(first: &RunReport, second: &RunReport) -> String {
    let mut text = String::new();
    let title = |report: &RunReport| format!("{}/{}", report.scenario, report.policy);
    writeln!(
        text,
        "{:<34} {:>26} {:>26} {:>8}",
        "figure",
        title(first),
        title(second),
        "ratio"
    )
    .expect("writing to a string");
    let mut line = |name: &str, left: f64, right: f64| {
        let ratio = if left == 0.0 { f64::NAN } else { right / left };
        writeln!(text, "{name:<34} {left:>26.4} {right:>26.4} {ratio:>8.2}")
            .expect("writing to a string");
    };
    line("goodput %", first.goodput_percent, second.goodput_percent);
    line(
        "wasted messages per useful start",
        first.wasted_per_start(),
        second.wasted_per_start(),
    );
    line("fairness", first.fairness, second.fairness);
    line(
        "violations",
        first.violations as f64,
        second.violations as f64,
    );
    for left in &first.rows {
        let same =
            |row: &&crate::report::WorkloadRow| row.team == left.team && row.class == left.class;
        let Some(right) = second.rows.iter().find(same) else {
            continue;
        };
        let name = |figure: &str| format!("{}/{} {figure}", left.team, left.class);
        line(&name("mean"), left.mean, right.mean);
        line(&name("p50"), left.p50, right.p50);
        line(&name("p99"), left.p99, right.p99);
        line(&name("p99.9"), left.p999, right.p999);
        line(
            &name("complete"),
            left.complete as f64,
            right.complete as f64,
        );
    }
    text
}
