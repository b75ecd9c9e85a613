//! Outages, rate limits and lost answers, and the counts of calls.

use std::time::Duration;

use bramley_wire::platform::PlatformSwitch;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the window over which calls are limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Numbers of calls since the start. A refused call is counted by its kind as well.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of a key that returned at once.
    pub reads: u64,
    /// Writes of a key, applied or not.
    pub writes: u64,
    /// Reads of a key that waited for a change.
    pub watches: u64,
    /// Reads of the worker list.
    pub worker_lists: u64,
    /// Calls refused during an outage.
    pub refused_down: u64,
    /// Calls refused for their rate.
    pub refused_rate: u64,
    /// Writes whose answer was lost after they were processed.
    pub lost_answers: u64,
}

/// Kind of a counted call.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallKind {
    /// A read of a key that returns at once.
    Read,
    /// A write of a key.
    Write,
    /// A read of a key that waits for a change.
    Watch,
    /// A read of the worker list.
    WorkerList,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallRefusal {
    /// The service is down.
    Down,
    /// The calls of this second are used up.
    Rate,
}

/// The present failure behaviour.
#[derive(Debug)]
pub(super) struct FaultState {
    switch: PlatformSwitch,
    random: StdRng,
    window_end: Instant,
    window_calls: u32,
    counts: PlatformCounts,
}

impl FaultState {
    /// Creates a service without faults.
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            switch: PlatformSwitch::default(),
            random: StdRng::seed_from_u64(seed),
            window_end: now + RATE_WINDOW,
            window_calls: 0,
            counts: PlatformCounts::default(),
        }
    }

    /// Changes the failure behaviour.
    pub(super) fn switch(&mut self, switch: PlatformSwitch) {
        self.switch = switch;
    }

    /// Returns the calls counted so far.
    pub(super) fn counts(&self) -> PlatformCounts {
        self.counts
    }

    /// Counts an arriving call and returns the delay to add to it.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub(super) fn admit(&mut self, kind: CallKind, now: Instant) -> Result<Duration, CallRefusal> {
        self.count(kind);
        self.check_rate(now)?;
        self.check_up()?;
        Ok(Duration::from_millis(self.switch.delay_ms))
    }

    /// Checks that the service is up.
    ///
    /// # Errors
    ///
    /// Returns the refusal, and counts it, if the service is down.
    pub(super) fn check_up(&mut self) -> Result<(), CallRefusal> {
        if self.switch.down {
            self.counts.refused_down += 1;
            return Err(CallRefusal::Down);
        }
        Ok(())
    }

    /// Decides whether the answer to a write is lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        let lost = self.random.random_range(0..100) < self.switch.lose_answer_percent;
        if lost {
            self.counts.lost_answers += 1;
        }
        lost
    }

    fn check_rate(&mut self, now: Instant) -> Result<(), CallRefusal> {
        if now >= self.window_end {
            self.window_end = now + RATE_WINDOW;
            self.window_calls = 0;
        }
        self.window_calls = self.window_calls.saturating_add(1);
        let limit = self.switch.calls_per_second;
        if limit > 0 && self.window_calls > limit {
            self.counts.refused_rate += 1;
            return Err(CallRefusal::Rate);
        }
        Ok(())
    }

    fn count(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Read => &mut self.counts.reads,
            CallKind::Write => &mut self.counts.writes,
            CallKind::Watch => &mut self.counts.watches,
            CallKind::WorkerList => &mut self.counts.worker_lists,
        };
        *count += 1;
    }
}
