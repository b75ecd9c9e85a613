//! Times of retries.

use rand::Rng;
use tokio::time::Instant;

use crate::clock::after;
use crate::options::ClientOptions;

#[cfg(test)]
mod tests;

/// Largest addition to a wait, in percent, so that callers refused together do not return
/// together.
const JITTER_PERCENT: u64 = 25;

/// The retries of one request, which end at its deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetrySchedule {
    deadline: Instant,
    /// End of the grace in which an answer that is on its way is still waited for.
    last_answer: Instant,
    next_wait_ms: u64,
    limit_ms: u64,
}

impl RetrySchedule {
    /// Creates the schedule of a request that was not retried yet.
    pub(crate) fn new(options: &ClientOptions, deadline: Instant) -> Self {
        Self {
            deadline,
            last_answer: after(deadline, options.answer_grace_ms),
            next_wait_ms: options.backoff_start_ms,
            limit_ms: options.backoff_limit_ms,
        }
    }

    /// Returns the time of the next attempt, or none if the deadline comes first.
    ///
    /// An attempt is never earlier than an entry host stated. Waits that no host stated double
    /// from one to the next.
    pub(crate) fn next_attempt(
        &mut self,
        now: Instant,
        retry_after_ms: Option<u64>,
        random: &mut impl Rng,
    ) -> Option<Instant> {
        let wait_ms = match retry_after_ms {
            Some(stated_ms) => stated_ms,
            None => self.back_off(),
        };
        let jitter_ms = random.random_range(0..=wait_ms.saturating_mul(JITTER_PERCENT) / 100);
        let attempt = after(now, wait_ms.saturating_add(jitter_ms));
        (attempt < self.deadline).then_some(attempt)
    }

    /// Waits for the next attempt and says whether there is one.
    pub(crate) async fn wait(&mut self, retry_after_ms: Option<u64>) -> bool {
        let attempt = self.next_attempt(Instant::now(), retry_after_ms, &mut rand::rng());
        let Some(attempt) = attempt else {
            return false;
        };
        tokio::time::sleep_until(attempt).await;
        true
    }

    /// Says whether the deadline is still to come.
    pub(crate) fn is_open(&self) -> bool {
        Instant::now() < self.deadline
    }

    /// Returns the end of an attempt that begins now and may take `timeout_ms`.
    pub(crate) fn attempt_end(&self, timeout_ms: u64) -> Instant {
        let attempt_end = after(Instant::now(), timeout_ms);
        attempt_end.min(self.last_answer)
    }

    fn back_off(&mut self) -> u64 {
        let wait_ms = self.next_wait_ms.min(self.limit_ms);
        self.next_wait_ms = wait_ms.saturating_mul(2);
        wait_ms
    }
}
