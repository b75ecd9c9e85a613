//! Random delays between retries.

use std::time::Duration;

use rand::Rng;

/// Settings of the delays between retries.
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

/// Draws delays whose upper bound doubles with every failure in a row.
///
/// A delay is drawn between half of the bound and the whole bound, so that the callers of a
/// platform that comes back do not all return at once.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    settings: BackoffSettings,
    failures: u32,
}

impl RetryBackoff {
    /// Makes a backoff without failures.
    #[must_use]
    pub const fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            failures: 0,
        }
    }

    /// Draws the delay after one more failure.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(20);
        let bound_ms = self.settings.first_delay_ms.saturating_mul(1 << doublings);
        let bound_ms = bound_ms.min(self.settings.max_delay_ms);
        self.failures = self.failures.saturating_add(1);
        Duration::from_millis(rng.random_range(bound_ms / 2..=bound_ms))
    }

    /// Forgets the failures after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
