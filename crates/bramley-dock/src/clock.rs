//! Monotonic and wall clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bramley_core::units::UnixTime;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock whose readings start at the wall-clock time of its creation and never jump.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started_at: UnixTime,
    origin: Instant,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self {
            started_at: wall_clock_now(),
            origin: Instant::now(),
        }
    }
}

impl MonotonicClock {
    /// Returns the wall-clock time at creation plus the time elapsed since.
    #[must_use]
    pub fn now(&self) -> UnixTime {
        self.started_at.after(self.origin.elapsed())
    }
}

/// Returns the time since boot, including time in which the machine was suspended, which
/// [`MonotonicClock`] does not count.
#[must_use]
pub fn time_since_boot() -> Duration {
    let elapsed = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(elapsed.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(elapsed.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Returns the wall-clock time. It may jump, so it is only used for logs and identifiers.
#[must_use]
pub fn wall_clock_now() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(UnixTime::default(), |span| UnixTime::default().after(span))
}
