//! Retry budget.

use crate::task::RetryPermit;

/// Cost of one retry, in hundredths of a start.
const RETRY_COST: u32 = 100;

/// Maximum credit, in hundredths of a start.
const MAX_CREDIT: u32 = 1_000;

/// Limits retries to a fraction of first starts, so that retries cannot amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    credit: u32,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries per hundred first starts.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            credit: MAX_CREDIT,
        }
    }

    /// Adds the credit for one first start.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + self.percent).min(MAX_CREDIT);
    }

    /// Withdraws the cost of one retry, or returns `None` if the budget is exhausted.
    pub fn withdraw(&mut self) -> Option<RetryPermit> {
        self.credit = self.credit.checked_sub(RETRY_COST)?;
        Some(RetryPermit::grant())
    }
}
