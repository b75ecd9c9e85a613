//! Limits the log lines on refused requests.

use bramley_core::units::UnixTime;

/// Refusals logged in full in one second for one reason. More of them do not explain more, and
/// writing a line costs about as much processor time as a refusal.
const FULL_LINES_PER_S: u32 = 20;

/// Lines on refusals for one reason.
#[derive(Clone, Copy, Debug)]
struct ReasonLines {
    reason: &'static str,
    second: u64,
    lines: u32,
    /// Refusals without a line since the last report.
    omitted: u64,
}

/// Refusals that were not logged in full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OmittedRefusals {
    /// Reason for the refusals.
    pub reason: &'static str,
    /// Number of refusals.
    pub count: u64,
}

/// Decides which refusals are logged in full and counts the others.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    /// Reasons seen so far; there are about ten.
    reasons: Vec<ReasonLines>,
}

impl RefusalLog {
    /// Returns whether a refusal is logged in full, and counts it if not.
    pub fn should_log(&mut self, reason: &'static str, now: UnixTime) -> bool {
        let second = whole_seconds(now);
        let found = self.reasons.iter().position(|known| known.reason == reason);
        let position = found.unwrap_or(self.reasons.len());
        if found.is_none() {
            self.reasons.push(ReasonLines {
                reason,
                second,
                lines: 0,
                omitted: 0,
            });
        }
        let known = &mut self.reasons[position];
        if known.second != second {
            known.second = second;
            known.lines = 0;
        }
        if known.lines < FULL_LINES_PER_S {
            known.lines += 1;
            return true;
        }
        known.omitted += 1;
        false
    }

    /// Returns the next reason with omitted refusals whose last line is from an earlier second.
    /// To be called until it returns `None`.
    pub fn take_omitted(&mut self, now: UnixTime) -> Option<OmittedRefusals> {
        let second = whole_seconds(now);
        let known = self
            .reasons
            .iter_mut()
            .find(|known| known.omitted > 0 && known.second < second)?;
        // Refusals that follow in this second are reported with the next one.
        known.second = second;
        known.lines = 0;
        Some(OmittedRefusals {
            reason: known.reason,
            count: std::mem::take(&mut known.omitted),
        })
    }
}

const fn whole_seconds(now: UnixTime) -> u64 {
    now.as_millis() / 1_000
}
