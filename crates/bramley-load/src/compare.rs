//! Comparison of two reports.

use std::fmt::Write;

use crate::report::RunReport;

/// Returns a table of the main figures of two runs, with the ratio of the second to the first.
#[must_use]
pub fn compare_reports(first: &RunReport, second: &RunReport) -> String {
    let mut text = String::new();
    let column_title = |report: &RunReport| format!("{}/{}", report.scenario, report.policy);
    writeln!(
        text,
        "{:<34} {:>26} {:>26} {:>8}",
        "figure",
        column_title(first),
        column_title(second),
        "ratio"
    )
    .expect("writing to a string");
    let mut write_row = |name: &str, left: f64, right: f64| {
        let ratio = if left == 0.0 { f64::NAN } else { right / left };
        writeln!(text, "{name:<34} {left:>26.4} {right:>26.4} {ratio:>8.2}")
            .expect("writing to a string");
    };
    write_row("goodput %", first.goodput_percent, second.goodput_percent);
    write_row(
        "wasted messages per useful start",
        first.wasted_per_start(),
        second.wasted_per_start(),
    );
    write_row("fairness", first.fairness, second.fairness);
    write_row(
        "violations",
        first.violations as f64,
        second.violations as f64,
    );
    for left in &first.rows {
        let is_same_workload =
            |row: &&crate::report::WorkloadRow| row.team == left.team && row.class == left.class;
        let Some(right) = second.rows.iter().find(is_same_workload) else {
            continue;
        };
        let name = |figure: &str| format!("{}/{} {figure}", left.team, left.class);
        write_row(&name("mean"), left.mean, right.mean);
        write_row(&name("p50"), left.p50, right.p50);
        write_row(&name("p99"), left.p99, right.p99);
        write_row(&name("p99.9"), left.p999, right.p999);
        write_row(
            &name("complete"),
            left.complete as f64,
            right.complete as f64,
        );
    }
    text
}
