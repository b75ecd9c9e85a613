//! Conversion between wall-clock and monotonic deadlines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A deadline on both the wall clock and the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDeadline {
    /// Deadline in milliseconds since the Unix epoch, as sent in requests.
    pub(crate) unix_ms: u64,
    /// The same deadline on the monotonic clock, used for timers of this process.
    pub(crate) instant: Instant,
}

impl RequestDeadline {
    /// Converts a wall-clock deadline.
    pub(crate) fn from_unix_ms(unix_ms: u64) -> Self {
        let remaining_ms = unix_ms.saturating_sub(unix_now_ms());
        Self {
            unix_ms,
            instant: saturating_add_ms(Instant::now(), remaining_ms),
        }
    }

    /// Returns the deadline of a request that starts now and times out after `timeout_ms`.
    pub(crate) fn from_timeout_ms(timeout_ms: u64) -> Self {
        Self::from_unix_ms(unix_now_ms().saturating_add(timeout_ms))
    }
}

/// Adds `duration_ms` milliseconds to `start`. The duration is limited to a year, because adding a
/// larger one could overflow [`Instant`] and panic.
pub(crate) fn saturating_add_ms(start: Instant, duration_ms: u64) -> Instant {
    const YEAR_MS: u64 = 365 * 24 * 3_600_000;
    start + Duration::from_millis(duration_ms.min(YEAR_MS))
}

fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
