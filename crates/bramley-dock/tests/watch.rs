//! Delay between reads of changed worker entries.

use std::time::Duration;

use bramley_dock::watch::{EntryRead, next_read_delay};

const USUAL_DELAY: Duration = Duration::from_millis(400);

/// Time that a call takes in addition to the delay.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Size of one change in a response.
const BYTES_PER_CHANGE: usize = 600;

/// A link of 1,000 Mbit/s.
const WIDE_LINK: u64 = 125_000_000;

/// A link of 2 Mbit/s.
const NARROW_LINK: u64 = 250_000;

/// Returns what a read finds after `delay` if `workers` write their entries every 1.5 s.
fn read_after(delay: Duration, workers: u32) -> EntryRead {
    let span = delay + CALL_TIME;
    let changes = (span.as_secs_f64() * f64::from(workers) / 1.5) as usize;
    EntryRead {
        changes,
        bytes: changes * BYTES_PER_CHANGE,
        span,
    }
}

/// Guards against responses that the store cuts off. With 3,000 workers that write their entries
/// every 1.5 s, 800 entries change during the usual delay, but the store puts only about 500
/// changes into one response.
#[test]
fn answers_stay_small_with_thousands_of_workers() {
    let mut delay = USUAL_DELAY;
    for number in 0..100 {
        let read = read_after(delay, 3_000);
        assert!(
            number == 0 || read.changes < 500,
            "read {number}: {} changes",
            read.changes
        );
        delay = next_read_delay(read, USUAL_DELAY, WIDE_LINK);
    }
}

/// Pattern: a small host leads. The entries of 120 workers that are read after the usual delay
/// occupy its link for 77 ms, and each start waits behind them.
#[test]
fn a_read_occupies_a_narrow_link_only_for_a_short_time() {
    let mut delay = USUAL_DELAY;
    for number in 0..100 {
        let read = read_after(delay, 120);
        let millis_on_link = read.bytes as u64 * 1_000 / NARROW_LINK;
        assert!(
            number == 0 || millis_on_link <= 25,
            "read {number}: {millis_on_link} ms"
        );
        delay = next_read_delay(read, USUAL_DELAY, NARROW_LINK);
    }
    assert!(delay >= Duration::from_millis(50), "{delay:?}");
}

#[test]
fn few_changes_are_read_with_pauses() {
    for changes in [0, 100] {
        let read = EntryRead {
            changes,
            bytes: changes * BYTES_PER_CHANGE,
            span: USUAL_DELAY,
        };
        assert_eq!(
            next_read_delay(read, USUAL_DELAY, WIDE_LINK),
            USUAL_DELAY,
            "{changes} changes"
        );
    }
}
