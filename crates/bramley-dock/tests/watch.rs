//! Delay between reads of changed worker entries.

use std::time::Duration;

use bramley_dock::watch::next_read_delay;

const USUAL_DELAY: Duration = Duration::from_millis(400);

/// Guards against responses that the store cuts off. With 3,000 workers that write their entries
/// every 1.5 s, 800 entries change during the usual delay, but the store puts only about 500
/// changes into one response.
#[test]
fn answers_stay_small_with_thousands_of_workers() {
    let changes_per_s = 3_000.0 / 1.5;
    let call = Duration::from_millis(20);
    let mut delay = USUAL_DELAY;
    for read in 0..100 {
        let span = delay + call;
        let changes = (span.as_secs_f64() * changes_per_s) as usize;
        assert!(read == 0 || changes < 500, "read {read}: {changes} changes");
        delay = next_read_delay(changes, span, USUAL_DELAY);
    }
}

#[test]
fn few_changes_are_read_with_pauses() {
    assert_eq!(next_read_delay(0, USUAL_DELAY, USUAL_DELAY), USUAL_DELAY);
    assert_eq!(next_read_delay(100, USUAL_DELAY, USUAL_DELAY), USUAL_DELAY);
}
