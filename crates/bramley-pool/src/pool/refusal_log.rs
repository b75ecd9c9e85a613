//! Bounded logging of refused jobs.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use crate::decision::Decision;
use crate::refusal::Refusal;

/// Number of refusals per reason and interval that are logged in full. Under overload a pool
/// refuses thousands in a second, and each line costs the host processor time.
const FULL_LINES: u32 = 20;

/// Interval of the limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Refusals of the current interval for one reason.
#[derive(Clone, Copy, Debug, Default)]
struct ReasonCount {
    logged: u32,
    suppressed: u32,
}

/// Number of logged refusals in the current interval.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusalLog {
    began_at: UnixTime,
    reasons: [ReasonCount; Refusal::ALL.len()],
}

impl RefusalLog {
    /// Returns whether a refusal is logged in full; otherwise it is included in the next line with
    /// their number.
    fn allows_line(&mut self, refusal: Refusal) -> bool {
        let Some(count) = self.reasons.get_mut(refusal.code() as usize) else {
            return true;
        };
        if count.logged < FULL_LINES {
            count.logged += 1;
            return true;
        }
        count.suppressed += 1;
        false
    }
}

impl Pool {
    /// Returns whether a refusal is logged in full.
    pub(super) fn allows_refusal_line(&mut self, refusal: Refusal, now: UnixTime) -> bool {
        self.log_suppressed_refusals(now);
        self.refusal_log.allows_line(refusal)
    }

    /// Logs the number of refusals that were not logged in full, once their interval is over.
    pub(super) fn log_suppressed_refusals(&mut self, now: UnixTime) {
        let log = self.refusal_log;
        if now.since(log.began_at) < LOG_INTERVAL {
            return;
        }
        self.refusal_log = RefusalLog {
            began_at: now,
            ..RefusalLog::default()
        };
        for (refusal, count) in Refusal::ALL.into_iter().zip(log.reasons) {
            if count.suppressed > 0 {
                self.log(Decision::RefusalsCounted {
                    refusal,
                    count: count.suppressed,
                    span: now.since(log.began_at),
                });
            }
        }
    }
}
