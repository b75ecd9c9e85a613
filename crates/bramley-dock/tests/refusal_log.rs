//! Refusals under load must not fill the log.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_dock::refusal_log::{OmittedRefusals, RefusalLog};

/// Load guarded against: thousands of refusals per second, of which each host would write a line.
#[test]
fn refusals_beyond_twenty_in_a_second_are_counted_in_one_line() {
    let mut log = RefusalLog::default();
    let mut now = UnixTime::from_millis(1_000_000);
    let mut lines = 0;
    let mut reports = Vec::new();
    for _ in 0..3_000 {
        lines += u32::from(log.should_log("overloaded", now));
        now = now.after(Duration::from_millis(1));
        while let Some(omitted) = log.take_omitted(now) {
            reports.push(omitted);
        }
    }
    let expected = OmittedRefusals {
        reason: "overloaded",
        count: 980,
    };
    assert_eq!((lines, reports), (60, vec![expected; 3]));
    assert!(
        log.should_log("no_pool", now),
        "reasons are counted separately"
    );
    assert_eq!(log.take_omitted(now), None);
}
