//! Outages, rate limits and lost replies, and request counts.

use std::time::Duration;

use bramley_wire::platform::PlatformSwitch;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the fixed window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Numbers of requests since the start. Refused requests are also counted by their kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of a key without waiting.
    pub reads: u64,
    /// Writes of a key, applied or not.
    pub writes: u64,
    /// Reads of a key that wait for a change.
    pub watches: u64,
    /// Reads of the worker list.
    pub worker_lists: u64,
    /// Requests refused during an outage.
    pub refused_down: u64,
    /// Requests refused by the rate limit.
    pub refused_rate: u64,
    /// Writes that were processed but whose reply was lost.
    pub lost_answers: u64,
}

/// Kind of a counted request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestKind {
    /// A read of a key without waiting.
    Read,
    /// A write of a key.
    Write,
    /// A read of a key that waits for a change.
    Watch,
    /// A read of the worker list.
    WorkerList,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestRefusal {
    /// The service is down.
    Down,
    /// The rate limit is exceeded.
    RateLimited,
}

/// Currently injected faults, and request counts.
#[derive(Debug)]
pub(super) struct FaultState {
    switch: PlatformSwitch,
    rng: StdRng,
    window_end: Instant,
    window_requests: u32,
    counts: PlatformCounts,
}

impl FaultState {
    /// Creates a state without faults.
    pub(super) fn new(seed: u64, now: Instant) -> Self {
        Self {
            switch: PlatformSwitch::default(),
            rng: StdRng::seed_from_u64(seed),
            window_end: now + RATE_WINDOW,
            window_requests: 0,
            counts: PlatformCounts::default(),
        }
    }

    /// Sets the faults to inject.
    pub(super) fn switch(&mut self, switch: PlatformSwitch) {
        self.switch = switch;
    }

    /// Returns the number of requests so far.
    pub(super) fn counts(&self) -> PlatformCounts {
        self.counts
    }

    /// Counts a request and returns the delay to add to it.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub(super) fn admit(
        &mut self,
        kind: RequestKind,
        now: Instant,
    ) -> Result<Duration, RequestRefusal> {
        self.count(kind);
        self.check_rate(now)?;
        self.check_available()?;
        Ok(Duration::from_millis(self.switch.delay_ms))
    }

    /// Checks that the service is up.
    ///
    /// # Errors
    ///
    /// Returns and counts a refusal if the service is down.
    pub(super) fn check_available(&mut self) -> Result<(), RequestRefusal> {
        if self.switch.down {
            self.counts.refused_down += 1;
            return Err(RequestRefusal::Down);
        }
        Ok(())
    }

    /// Decides at random whether the reply to a write is lost, and counts a lost one.
    pub(super) fn drops_response(&mut self) -> bool {
        let is_lost = self.rng.random_range(0..100) < self.switch.lose_answer_percent;
        if is_lost {
            self.counts.lost_answers += 1;
        }
        is_lost
    }

    fn check_rate(&mut self, now: Instant) -> Result<(), RequestRefusal> {
        if now >= self.window_end {
            self.window_end = now + RATE_WINDOW;
            self.window_requests = 0;
        }
        self.window_requests = self.window_requests.saturating_add(1);
        let limit = self.switch.calls_per_second;
        if limit > 0 && self.window_requests > limit {
            self.counts.refused_rate += 1;
            return Err(RequestRefusal::RateLimited);
        }
        Ok(())
    }

    fn count(&mut self, kind: RequestKind) {
        let count = match kind {
            RequestKind::Read => &mut self.counts.reads,
            RequestKind::Write => &mut self.counts.writes,
            RequestKind::Watch => &mut self.counts.watches,
            RequestKind::WorkerList => &mut self.counts.worker_lists,
        };
        *count += 1;
    }
}
