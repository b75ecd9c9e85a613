//! Short simulations with a fixed seed.

use bramley_load::report::RunReport;
use bramley_load::scenario::Scenario;
use bramley_load::simulation::dispatcher::{POLICIES, find_policy};
use bramley_load::simulation::run_scenario;

const SMALL: &str = include_str!("small.jsonc");

fn run(policy: &str, load_percent: u32) -> RunReport {
    let mut scenario: Scenario =
        bramley_settings::load_text("small.jsonc", SMALL).expect("the scenario is valid");
    scenario.load_percent = load_percent;
    run_scenario(&scenario, find_policy(policy).expect("the policy exists"))
}

/// Formats the counts of a report, without response times.
fn format_counts(report: &RunReport) -> String {
    let mut lines = Vec::new();
    for row in &report.rows {
        lines.push(format!(
            "{}/{} offered={} complete={} refused={} failed={}",
            row.team, row.class, row.offered, row.complete, row.refused, row.failed
        ));
    }
    lines.push(format!("violations={}", report.violations));
    lines.push(format!("unanswered={}", report.unanswered));
    lines.join("\n")
}

#[test]
fn small_run_ends_with_the_same_counts() {
    insta::assert_snapshot!(format_counts(&run("fair", 80)));
}

#[test]
fn every_policy_answers_every_job_without_violations() {
    for policy in POLICIES {
        let report = run(policy.name, 80);
        assert_eq!(report.violations, 0, "{}", policy.name);
        assert_eq!(report.unanswered, 0, "{}", policy.name);
        assert!(report.useful_starts > 0, "{}", policy.name);
    }
}

#[test]
fn same_seed_gives_the_same_report() {
    let first = serde_json::to_string(&run("fair", 90)).expect("a report is JSON");
    let second = serde_json::to_string(&run("fair", 90)).expect("a report is JSON");
    assert_eq!(first, second);
}

#[test]
fn kernel_wastes_a_fifth_of_the_best_baseline_that_pools_all_slots() {
    let kernel = run("fair", 90).wasted_per_start();
    let pooled = ["random", "round-robin", "least-outstanding"]
        .map(|policy| run(policy, 90).wasted_per_start());
    let best = pooled.into_iter().fold(f64::INFINITY, f64::min);
    assert!(kernel * 5.0 <= best, "{kernel} against {best}");
}
