//! Retry delays with exponential backoff and jitter.

use std::time::Duration;

use rand::Rng;

/// Settings of the retry delays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffSettings {
    /// Upper bound of the first delay, in milliseconds.
    pub first_delay_ms: u64,
    /// Upper bound of every delay, in milliseconds.
    pub max_delay_ms: u64,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first_delay_ms: 50,
            max_delay_ms: 2_000,
        }
    }
}

/// Computes random retry delays whose upper bound doubles with each consecutive failure.
///
/// A delay is drawn uniformly between half of the bound and the bound, so that clients do not all
/// retry at the same time when the platform recovers.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    settings: BackoffSettings,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff with no recorded failures.
    #[must_use]
    pub const fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(20);
        let bound_ms = self.settings.first_delay_ms.saturating_mul(1 << doublings);
        let bound_ms = bound_ms.min(self.settings.max_delay_ms);
        self.failures = self.failures.saturating_add(1);
        Duration::from_millis(rng.random_range(bound_ms / 2..=bound_ms))
    }

    /// Resets the delay after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
