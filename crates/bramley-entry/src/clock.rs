//! The clock of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramley_core::units::UnixTime;
use tokio::time::Instant;

/// Derives the current time from the start time of the process and a monotonic clock.
///
/// The system clock is read only once, so the time never goes backwards within an incarnation.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: UnixTime,
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let started = UnixTime::default().after(since_epoch);
        Self {
            started,
            origin: Instant::now(),
        }
    }

    /// Returns the time at which the clock started.
    #[must_use]
    pub const fn started(&self) -> UnixTime {
        self.started
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> UnixTime {
        self.started.after(self.origin.elapsed())
    }

    /// Converts a time to an instant for timers.
    ///
    /// Times more than a day ahead are clamped to one day.
    #[must_use]
    pub fn instant_of(&self, time: UnixTime) -> Instant {
        const MAX_DELAY: Duration = Duration::from_secs(86_400);
        Instant::now() + time.since(self.now()).min(MAX_DELAY)
    }
}
