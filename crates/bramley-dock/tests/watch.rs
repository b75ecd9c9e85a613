//! How fast changes of the workers' entries are read.

use std::time::Duration;

use bramley_dock::watch::pause_after;

const USUAL: Duration = Duration::from_millis(400);

/// Pattern: 3,000 workers write their entries every 1.5 s, which is 800 changes in each usual pause, and the
/// store puts about 500 into one answer.
#[test]
fn answers_stay_small_with_thousands_of_workers() {
    let changes_per_s = 3_000.0 / 1.5;
    let call = Duration::from_millis(20);
    let mut pause = USUAL;
    for read in 0..100 {
        let span = pause + call;
        let changes = (span.as_secs_f64() * changes_per_s) as usize;
        assert!(read == 0 || changes < 500, "read {read}: {changes} changes");
        pause = pause_after(changes, span, USUAL);
    }
}

#[test]
fn few_changes_are_read_with_pauses() {
    assert_eq!(pause_after(0, USUAL, USUAL), USUAL);
    assert_eq!(pause_after(100, USUAL, USUAL), USUAL);
}
