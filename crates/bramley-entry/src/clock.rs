//! The present time of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bramley_core::units::UnixTime;
use tokio::time::Instant;

/// Derives the present time from the start of the process and a monotonic clock.
///
/// The system's clock is read once, so that the time never goes back within an incarnation.
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

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> UnixTime {
        self.started.after(self.origin.elapsed())
    }

    /// Returns the instant at which a time is reached, for timers.
    ///
    /// Times beyond a day are treated as a day ahead.
    #[must_use]
    pub fn instant_of(&self, time: UnixTime) -> Instant {
        const FARTHEST: Duration = Duration::from_secs(86_400);
        Instant::now() + time.since(self.now()).min(FARTHEST)
    }
}
