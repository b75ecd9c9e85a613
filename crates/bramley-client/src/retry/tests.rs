//! Tests of the retry schedule.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::RetrySchedule;
use crate::options::ClientOptions;

fn schedule(now: Instant) -> RetrySchedule {
    RetrySchedule::new(&ClientOptions::default(), now + Duration::from_secs(10))
}

#[test]
fn stated_time_is_kept() {
    let mut random = StdRng::seed_from_u64(1);
    let now = Instant::now();
    for requested_ms in [0, 1, 250, 7_000] {
        let attempt = schedule(now).next_attempt(now, Some(requested_ms), &mut random);
        let wait = attempt.expect("before the deadline") - now;
        assert!(wait >= Duration::from_millis(requested_ms));
        assert!(wait <= Duration::from_millis(requested_ms * 5 / 4));
    }
}

#[test]
fn unstated_waits_double_up_to_the_limit() {
    let mut random = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut schedule = schedule(now);
    for expected_ms in [10, 20, 40, 80, 160, 320, 640, 1_000, 1_000] {
        let attempt = schedule.next_attempt(now, None, &mut random);
        let wait = attempt.expect("before the deadline") - now;
        assert!(wait >= Duration::from_millis(expected_ms));
        assert!(wait <= Duration::from_millis(expected_ms * 5 / 4));
    }
}

#[test]
fn no_attempt_begins_at_or_after_the_deadline() {
    let mut random = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let attempt = schedule(now).next_attempt(now, Some(10_000), &mut random);
    assert_eq!(attempt, None);
    let attempt = schedule(now).next_attempt(now, Some(u64::MAX), &mut random);
    assert_eq!(attempt, None);
}
