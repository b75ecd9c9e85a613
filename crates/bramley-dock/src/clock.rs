//! Reads the process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bramley_core::units::UnixTime;
use rustix::time::{ClockId, clock_gettime};

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

/// Returns the time since the machine's start, also while the machine was suspended, which the steady
/// clock does not count.
#[must_use]
pub fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Returns the time of day; it may jump, so it serves for logs and identities only.
#[must_use]
pub fn time_of_day() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(UnixTime::default(), |span| UnixTime::default().after(span))
}
