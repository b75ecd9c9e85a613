//! Estimate of a worker's speed from single runs.

use bramley_pool::pool::SpeedEstimate;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns the estimate of a worker after `runs` runs at `factor`, with declared times wrong by up
/// to a factor of 1.2 and every 33rd task seven times as long.
fn observed_speed(factor: f64, runs: usize) -> SpeedEstimate {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut estimate = SpeedEstimate::default();
    for run in 1..=runs {
        let length = if run % 33 == 0 { 7.0 } else { 1.0 };
        estimate.observe(factor * length * 1.2_f64.powf(rng.random_range(-1.0..1.0)));
    }
    estimate
}

/// A worker whose first run is a long task would count as slow, and get no urgent work.
#[test]
fn a_single_long_run_makes_no_worker_slow() {
    for before in [0, 1, 2, 10, 100] {
        let mut estimate = observed_speed(1.0, before.min(32));
        estimate.observe(7.0);
        let relative = estimate.relative_run_time(&[]);
        assert!(relative < 1.25, "{relative} after {before} runs");
        estimate.observe(1.0);
        estimate.observe(1.0);
        let relative = estimate.relative_run_time(&[]);
        assert!(relative < 1.25, "{relative} after two more runs");
    }
}

/// A worker that becomes three times slower, or recovers, must not be taken for what it was.
#[test]
fn a_change_of_speed_is_seen_within_three_runs() {
    for (before, after) in [(1.0, 3.0), (3.0, 1.0), (1.0, 2.5)] {
        let mut estimate = observed_speed(before, 30);
        for _ in 0..3 {
            estimate.observe(after);
        }
        let relative = estimate.relative_run_time(&[]);
        assert!(
            (relative / after - 1.0_f64).abs() < 0.2,
            "{relative} for {after}"
        );
    }
}

/// Slow runs that have not ended count too, but one alone may be a long task.
#[test]
fn runs_that_are_still_going_count_as_evidence() {
    let mut estimate = observed_speed(1.0, 30);
    assert!(estimate.relative_run_time(&[6.0, 1.0]) < 1.25);
    assert!(estimate.relative_run_time(&[2.6, 2.8, 3.0]) > 2.0);
    estimate.observe(3.0);
    assert!(estimate.relative_run_time(&[2.6, 2.8]) > 2.0);
}

/// Slow runs that are stopped early would make a slow worker look faster.
#[test]
fn stopped_runs_do_not_make_a_worker_look_faster() {
    let mut estimate = observed_speed(3.0, 30);
    let before = estimate.relative_run_time(&[]);
    for _ in 0..10 {
        estimate.observe_stopped(1.2);
    }
    let after = estimate.relative_run_time(&[]);
    assert!((after - before).abs() < 0.01, "{before} {after}");
    let mut unknown = SpeedEstimate::default();
    for _ in 0..3 {
        unknown.observe_stopped(3.0);
    }
    assert!(unknown.relative_run_time(&[]) > 2.0);
}

/// Workers of one speed must be treated alike, and moderately different ones told apart.
#[test]
fn speeds_are_told_apart_and_equal_ones_are_not() {
    for factor in [1.0 / 1.7, 0.8, 1.0, 1.25, 1.0 / 0.7, 3.0] {
        let relative = observed_speed(factor, 60).relative_run_time(&[]);
        assert!(
            (relative / factor - 1.0).abs() < 0.15,
            "{relative} for {factor}"
        );
    }
    assert!((observed_speed(1.0, 60).relative_run_time(&[]) - 1.0).abs() < f64::EPSILON);
    assert!((observed_speed(3.0, 2).relative_run_time(&[]) - 1.0).abs() < f64::EPSILON);
}
