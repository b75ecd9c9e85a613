//! Waits for results until a deadline, also in a process that is short of processor time.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

/// Delay of a timer from which the process counts as short of processor time; timers tick in
/// milliseconds.
const TIMER_NOISE: Duration = Duration::from_millis(5);

/// Turns of the event loop that an exchange takes: the connection opens, the request goes out, the
/// response comes in.
const EXCHANGE_TURNS: u32 = 3;

/// Longest extension of a deadline: half of a run lease.
const LONGEST_EXTENSION: Duration = Duration::from_millis(400);

/// The deadline has passed without a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlinePassed;

/// Waits for a result until `ends_at`.
///
/// Where the event loop notices the deadline late, the result may be there and wait to be read: the
/// deadline then moves by a few turns of the loop.
///
/// # Errors
///
/// Returns [`DeadlinePassed`] if there is no result by then.
pub async fn before<F: Future>(ends_at: Instant, future: F) -> Result<F::Output, DeadlinePassed> {
    let mut future = pin!(future);
    let mut ends_at = ends_at;
    let mut last = None;
    loop {
        if let Ok(output) = timeout_at(ends_at, &mut future).await {
            return Ok(output);
        }
        let now = Instant::now();
        let delay = now.saturating_duration_since(ends_at);
        let last = *last.get_or_insert(now + LONGEST_EXTENSION);
        if delay < TIMER_NOISE || now >= last {
            return Err(DeadlinePassed);
        }
        ends_at = (now + delay * EXCHANGE_TURNS).min(last);
    }
}
