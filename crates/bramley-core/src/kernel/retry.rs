//! Budget of retries.

use crate::task::RetryPermit;

/// Credit that one retry costs, in hundredths of a start.
const RETRY_COST: u32 = 100;

/// Largest credit, in hundredths of a start.
const MAX_CREDIT: u32 = 1_000;

/// Bounds retries to a share of first starts, so that they cannot grow an overload.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    credit: u32,
}

impl RetryBudget {
    /// Makes a budget that allows `percent` retries for every hundred first starts.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            credit: MAX_CREDIT,
        }
    }

    /// Records a first start.
    pub fn earn(&mut self) {
        self.credit = (self.credit + self.percent).min(MAX_CREDIT);
    }

    /// Takes the permission for one retry, or returns `None` if the budget is used up.
    pub fn take(&mut self) -> Option<RetryPermit> {
        self.credit = self.credit.checked_sub(RETRY_COST)?;
        Some(RetryPermit::grant())
    }
}
