//! Randomised simulation of the membership in virtual time.
//!
//! `cargo test --release -p bramley-core --test membership_runs -- --ignored --nocapture` performs
//! the long runs.

mod platform;
mod runner;
mod simulation;
mod spread;
mod traffic;
mod wire;

use bramley_core::membership::{MembershipFaults, MembershipSettings};

use runner::{RunReport, Runner};

fn run(seed: u64, cycles: u64, faults: MembershipFaults) -> RunReport {
    let settings = MembershipSettings {
        faults,
        ..MembershipSettings::default()
    };
    Runner::new(seed, settings).run(cycles)
}

/// Performs a run and checks that it injected every kind of fault and detected no violation.
fn check_run(seed: u64, cycles: u64) {
    let report = run(seed, cycles, MembershipFaults::default());
    println!(
        "seed={seed} steps={} sign_checks={} spread_checks={} views={} heal_percent={} injected={:?} violations={}",
        report.steps,
        report.departure_checks,
        report.generation_checks,
        report.views_checked,
        report.max_recovery_percent,
        report.injected,
        report.violations.len(),
    );
    assert_eq!(
        report.injected.len(),
        12,
        "not every kind of fault was injected"
    );
    assert!(
        report.departure_checks > 0 && report.generation_checks > 0 && report.views_checked > 0
    );
    assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
}

/// Checks that a run with a deliberately defective kernel reports a violation that contains
/// `expected`.
fn check_detected(faults: MembershipFaults, expected: &str) {
    let report = run(1, 1, faults);
    println!(
        "{} violations, first: {:?}",
        report.violations.len(),
        report.violations.first()
    );
    let found = report
        .violations
        .iter()
        .any(|violation| violation.contains(expected));
    assert!(found, "the checks did not detect the fault");
}

#[test]
fn invariants_hold_under_faults_two_at_a_time() {
    for seed in 1..=4 {
        check_run(seed, 1);
    }
}

#[test]
#[ignore = "long run"]
fn invariants_hold_in_the_long_run() {
    for seed in 100..140 {
        check_run(seed, 5);
    }
}

#[test]
fn run_notices_gone_from_silence() {
    let faults = MembershipFaults {
        mark_silent_as_gone: true,
        ..MembershipFaults::default()
    };
    check_detected(faults, "runs and is called gone");
}

#[test]
fn run_notices_obeyed_older_generation() {
    let faults = MembershipFaults {
        accept_older_generation: true,
        ..MembershipFaults::default()
    };
    check_detected(faults, "went from generation");
}

#[test]
fn run_notices_obeyed_lagging_list() {
    let faults = MembershipFaults {
        accept_stale_list: true,
        ..MembershipFaults::default()
    };
    check_detected(faults, "does not know that");
}
