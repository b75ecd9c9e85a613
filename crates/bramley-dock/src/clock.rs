//! Reads the process's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bramley_core::units::UnixTime;

/// Steady clock that starts at the time of day and never jumps.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    started_at: UnixTime,
    origin: Instant,
}

impl Default for SteadyClock {
    fn default() -> Self {
        Self {
            started_at: time_of_day(),
            origin: Instant::now(),
        }
    }
}

impl SteadyClock {
    /// Returns the time that has passed since the start, counted from the time of day at the start.
    #[must_use]
    pub fn now(&self) -> UnixTime {
        self.started_at.after(self.origin.elapsed())
    }
}

/// Returns the time of day; it may jump, so it serves for logs and identities only.
#[must_use]
pub fn time_of_day() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(UnixTime::default(), |span| UnixTime::default().after(span))
}
