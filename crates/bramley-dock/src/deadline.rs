//! Timeouts that tolerate an event loop delayed by lack of processor time.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

/// Timer delay from which the process counts as short of processor time; timers have a resolution
/// of one millisecond.
const STALL_THRESHOLD: Duration = Duration::from_millis(5);

/// Event loop iterations of one exchange: the connection opens, the request is sent, the response
/// is received.
const EXCHANGE_ITERATIONS: u32 = 3;

/// Longest extension of a deadline, equal to half of a run lease.
const MAX_EXTENSION: Duration = Duration::from_millis(400);

/// The deadline passed without a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineExceeded;

/// Waits for a result until `deadline`.
///
/// If the event loop notices the deadline late, the result may already be waiting to be read. The
/// deadline is then extended by a few iterations of the loop.
///
/// # Errors
///
/// Returns [`DeadlineExceeded`] if there is no result by then.
pub async fn timeout_at_with_grace<F: Future>(
    deadline: Instant,
    future: F,
) -> Result<F::Output, DeadlineExceeded> {
    let mut future = pin!(future);
    let mut deadline = deadline;
    let mut latest_end = None;
    loop {
        if let Ok(output) = timeout_at(deadline, &mut future).await {
            return Ok(output);
        }
        let now = Instant::now();
        let delay = now.saturating_duration_since(deadline);
        let latest_end = *latest_end.get_or_insert(now + MAX_EXTENSION);
        if delay < STALL_THRESHOLD || now >= latest_end {
            return Err(DeadlineExceeded);
        }
        deadline = (now + delay * EXCHANGE_ITERATIONS).min(latest_end);
    }
}
