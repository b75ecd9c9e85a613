//! Long randomised runs that check reported outcomes while hosts, workers, the network and the
//! store fail.

mod runs;
mod support;

use bramley_core::kernel::settings::KernelFaults;
use runs::report::{RunReport, ViolationKind};
use runs::{BrokenParts, RunSettings, run};

/// Number of events in a run with a fixed seed.
const RUN_STEPS: u64 = 300_000;

/// Seeds of the runs in CI.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// Checks that a run detected no violation and injected every kind of fault.
fn assert_no_violations(seed: u64, report: &RunReport) {
    println!("seed={seed} {report}");
    assert!(report.violations.is_empty(), "seed={seed} {report}");
    assert_eq!(report.missing_faults(), [], "seed={seed}");
}

#[test]
fn outcomes_stay_true_under_failure() {
    for seed in SEEDS {
        let steps = RUN_STEPS;
        let report = run(RunSettings {
            seed,
            steps,
            ..RunSettings::default()
        });
        assert_no_violations(seed, &report);
    }
}

/// Processes `BRAMLEY_RUN_STEPS` events with the seed `BRAMLEY_RUN_SEED`.
#[test]
#[ignore = "takes minutes; run it by the command in docs/PROOFS.md"]
fn outcomes_stay_true_in_a_long_run() {
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
    };
    let seed = number("BRAMLEY_RUN_SEED", 1);
    let steps = number("BRAMLEY_RUN_STEPS", 3_000_000);
    let report = run(RunSettings {
        seed,
        steps,
        ..RunSettings::default()
    });
    assert_no_violations(seed, &report);
}

/// Runs a deliberately defective version with the seeds of CI and checks that each expected
/// violation is detected.
fn assert_detected(
    kernel_faults: KernelFaults,
    broken_parts: BrokenParts,
    expected: &[ViolationKind],
) {
    let mut missing = expected.to_vec();
    for seed in SEEDS {
        let report = run(RunSettings {
            seed,
            steps: RUN_STEPS,
            kernel_faults,
            broken_parts,
        });
        println!("seed={seed} {kernel_faults:?} {broken_parts:?} {report}");
        missing.retain(|kind| !report.violations.contains_key(kind));
        if missing.is_empty() {
            return;
        }
    }
    panic!("not detected with any seed of CI: {missing:?}");
}

#[test]
fn resending_after_an_unknown_outcome_is_caught() {
    let faults = KernelFaults {
        resend_unknown: true,
        ..KernelFaults::default()
    };
    let expected = [ViolationKind::StartedTwice, ViolationKind::KernelMonitor];
    assert_detected(faults, BrokenParts::default(), &expected);
}

#[test]
fn reporting_sent_tasks_as_not_run_is_caught() {
    let faults = KernelFaults {
        report_sent_as_not_run: true,
        ..KernelFaults::default()
    };
    let expected = [
        ViolationKind::NotRunHadStarted,
        ViolationKind::StartedAfterNotRun,
    ];
    assert_detected(faults, BrokenParts::default(), &expected);
}

#[test]
fn reporting_retried_tasks_as_not_run_is_caught() {
    let faults = KernelFaults {
        report_retried_as_not_run: true,
        ..KernelFaults::default()
    };
    let expected = [ViolationKind::NotRunHadStarted];
    assert_detected(faults, BrokenParts::default(), &expected);
}

#[test]
fn forgetting_closed_tickets_is_caught() {
    let faults = KernelFaults {
        forget_closed_tickets: true,
        ..KernelFaults::default()
    };
    let expected = [
        ViolationKind::StartedAfterNotRun,
        ViolationKind::DifferentAnswers,
    ];
    assert_detected(faults, BrokenParts::default(), &expected);
}

#[test]
fn forgetting_answers_early_is_caught() {
    let faults = KernelFaults {
        forget_answers: true,
        ..KernelFaults::default()
    };
    let expected = [ViolationKind::StartedTwice, ViolationKind::DifferentAnswers];
    assert_detected(faults, BrokenParts::default(), &expected);
}

#[test]
fn accepting_crossed_answers_is_caught() {
    let faults = KernelFaults {
        accept_crossed_answers: true,
        ..KernelFaults::default()
    };
    assert_detected(
        faults,
        BrokenParts::default(),
        &[ViolationKind::ForeignOutput],
    );
}

#[test]
fn adopting_the_tickets_of_a_former_incarnation_is_caught() {
    let broken_parts = BrokenParts {
        adopt_tickets: true,
        ..BrokenParts::default()
    };
    assert_detected(
        KernelFaults::default(),
        broken_parts,
        &[ViolationKind::StartedTwice],
    );
}

#[test]
fn binding_a_refused_key_again_is_caught() {
    let broken_parts = BrokenParts {
        rebind_refused_keys: true,
        ..BrokenParts::default()
    };
    assert_detected(
        KernelFaults::default(),
        broken_parts,
        &[ViolationKind::StartedAfterNotRun],
    );
}

#[test]
fn claiming_without_the_store_that_a_key_was_not_run_is_caught() {
    let broken_parts = BrokenParts {
        report_keys_not_run: true,
        ..BrokenParts::default()
    };
    assert_detected(
        KernelFaults::default(),
        broken_parts,
        &[ViolationKind::NotRunHadStarted],
    );
}
