//! Counts of what membership did, and of violated invariants.

use serde::Serialize;

/// Counts since the start of the process.
///
/// The invariants are checked in release builds too. A violation is counted instead of ending the
/// process, which would cut off requests in flight; the change that would violate it is not made.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipCounts {
    /// Heartbeats that were handed out for sending.
    pub heartbeats_sent: u64,
    /// Rounds that were sent early because of urgent news.
    pub early_rounds: u64,
    /// Heartbeats and replies taken in.
    pub news_received: u64,
    /// Sendings that failed.
    pub sends_failed: u64,
    /// Changes to suspect.
    pub suspected: u64,
    /// Changes from suspect to alive.
    pub refuted: u64,
    /// Incarnations found to be gone.
    pub gone: u64,
    /// Incarnations forgotten after the retention time.
    pub forgotten: u64,
    /// Records that were refused because they contradict what is known or do not fit the bound.
    pub records_refused: u64,
    /// Lists of workers that were older than one seen before.
    pub lists_refused: u64,
    /// Generations that were older than the one in force.
    pub generations_refused: u64,
    /// Violations: an incarnation that was gone or leaving would have reverted.
    pub state_reverted: u64,
    /// Violations: a heartbeat counter would have fallen.
    pub heartbeat_reverted: u64,
    /// Violations: the generation in force went back.
    pub generation_reverted: u64,
    /// Violations: this incarnation was called gone without a newer one of its host.
    pub called_gone: u64,
}

impl MembershipCounts {
    /// Returns the sum of all violations.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.state_reverted + self.heartbeat_reverted + self.generation_reverted + self.called_gone
    }
}

/// Adds one to `violations` unless the invariant `holds`, and returns `holds`.
pub(super) const fn check_invariant(holds: bool, violations: &mut u64) -> bool {
    if !holds {
        *violations += 1;
    }
    holds
}
