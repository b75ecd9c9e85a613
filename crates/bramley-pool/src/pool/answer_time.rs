//! Time that workers take to answer start requests.

use std::time::Duration;

/// Share of the answers that arrive within the estimate. Lost answers count as later, so that fewer
/// than one in five of them do not raise it.
const QUANTILE: f64 = 0.8;

/// Relative step by which one answer moves the estimate.
const STEP: f64 = 0.25;

/// Bounds of the estimate: a round trip within a failure domain, and the time after which an answer
/// is of no use to most jobs.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(200));

/// Estimate of a high quantile of the answer time, which follows both faster answers and a network
/// or a host that is short of capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTime {
    quantile: Duration,
}

impl Default for AnswerTime {
    fn default() -> Self {
        Self {
            quantile: Duration::from_millis(10),
        }
    }
}

impl AnswerTime {
    /// Includes the time after which an answer arrived, or `None` if it was lost or came too late.
    pub(super) fn observe(&mut self, elapsed: Option<Duration>) {
        let is_within = elapsed.is_some_and(|elapsed| elapsed <= self.quantile);
        let factor = if is_within {
            1.0 - STEP * (1.0 - QUANTILE)
        } else {
            1.0 + STEP * QUANTILE
        };
        self.quantile = self.quantile.mul_f64(factor).clamp(BOUNDS.0, BOUNDS.1);
    }

    /// Returns the estimate.
    pub(super) const fn quantile(&self) -> Duration {
        self.quantile
    }
}
