//! Conversion between wall-clock and monotonic deadlines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// One deadline on both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDeadline {
    /// Deadline in milliseconds since the Unix epoch, as it travels in messages.
    pub(crate) unix_ms: u64,
    /// The same time on the monotonic clock, by which this process waits.
    pub(crate) instant: Instant,
}

impl RequestDeadline {
    /// Converts a wall-clock time.
    pub(crate) fn from_unix_ms(unix_ms: u64) -> Self {
        let remaining_ms = unix_ms.saturating_sub(unix_now_ms());
        Self {
            unix_ms,
            instant: after(Instant::now(), remaining_ms),
        }
    }

    /// Returns the deadline of a request that begins now and may take `limit_ms`.
    pub(crate) fn from_limit_ms(limit_ms: u64) -> Self {
        Self::from_unix_ms(unix_now_ms().saturating_add(limit_ms))
    }
}

/// Returns the time `wait_ms` milliseconds after `start`, bounded to a year.
pub(crate) fn after(start: Instant, wait_ms: u64) -> Instant {
    const YEAR_MS: u64 = 365 * 24 * 3_600_000;
    start + Duration::from_millis(wait_ms.min(YEAR_MS))
}

fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
