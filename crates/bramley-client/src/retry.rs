//! Retry delays with exponential backoff and jitter.

use rand::Rng;
use tokio::time::Instant;

use crate::clock::saturating_add_ms;
use crate::options::ClientOptions;

#[cfg(test)]
mod tests;

/// Maximum jitter added to a delay, in percent. Jitter keeps clients that were refused at the same
/// time from retrying at the same time.
const JITTER_PERCENT: u64 = 25;

/// Computes the retry times of one request up to its deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetrySchedule {
    deadline: Instant,
    /// Deadline plus the grace period in which a response in flight is still accepted.
    response_deadline: Instant,
    backoff_ms: u64,
    max_backoff_ms: u64,
}

impl RetrySchedule {
    /// Creates the schedule of a new request.
    pub(crate) fn new(options: &ClientOptions, deadline: Instant) -> Self {
        Self {
            deadline,
            response_deadline: saturating_add_ms(deadline, options.response_grace_ms),
            backoff_ms: options.initial_backoff_ms,
            max_backoff_ms: options.max_backoff_ms,
        }
    }

    /// Returns the time of the next attempt, or `None` if it would not start before the deadline.
    ///
    /// A delay requested by an entry host is a lower bound. Without one, the delay doubles with
    /// each retry.
    pub(crate) fn next_attempt(
        &mut self,
        now: Instant,
        retry_after_ms: Option<u64>,
        random: &mut impl Rng,
    ) -> Option<Instant> {
        let delay_ms = match retry_after_ms {
            Some(requested_ms) => requested_ms,
            None => self.next_backoff_ms(),
        };
        let jitter_ms = random.random_range(0..=delay_ms.saturating_mul(JITTER_PERCENT) / 100);
        let attempt = saturating_add_ms(now, delay_ms.saturating_add(jitter_ms));
        (attempt < self.deadline).then_some(attempt)
    }

    /// Sleeps until the next attempt. Returns `false` at once if the deadline leaves no time for one.
    pub(crate) async fn wait(&mut self, retry_after_ms: Option<u64>) -> bool {
        let attempt = self.next_attempt(Instant::now(), retry_after_ms, &mut rand::rng());
        let Some(attempt) = attempt else {
            return false;
        };
        tokio::time::sleep_until(attempt).await;
        true
    }

    /// Returns whether the deadline has not passed yet.
    pub(crate) fn has_time_left(&self) -> bool {
        Instant::now() < self.deadline
    }

    /// Returns the deadline of an attempt that starts now and times out after `timeout_ms`.
    pub(crate) fn attempt_deadline(&self, timeout_ms: u64) -> Instant {
        let attempt_deadline = saturating_add_ms(Instant::now(), timeout_ms);
        attempt_deadline.min(self.response_deadline)
    }

    fn next_backoff_ms(&mut self) -> u64 {
        let delay_ms = self.backoff_ms.min(self.max_backoff_ms);
        self.backoff_ms = delay_ms.saturating_mul(2);
        delay_ms
    }
}
