//! Counters of membership events and invariant violations.

use serde::Serialize;

/// Counters since the start of the process.
///
/// Invariants are also checked in release builds. A violation is counted rather than panicking,
/// because a panic would abort requests in flight; the violating change is not applied.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipCounts {
    /// Heartbeats that were passed to the driver for sending.
    pub heartbeats_sent: u64,
    /// Early rounds, which are sent ahead of schedule to spread an urgent update.
    pub early_rounds: u64,
    /// Heartbeats and replies received.
    pub news_received: u64,
    /// Heartbeats that could not be delivered or were not answered.
    pub sends_failed: u64,
    /// Transitions to suspect.
    pub suspected: u64,
    /// Transitions from suspect back to alive.
    pub refuted: u64,
    /// Incarnations that became gone.
    pub gone: u64,
    /// Incarnations removed after the retention time.
    pub forgotten: u64,
    /// Records refused because they contradict known state or the table is full.
    pub records_refused: u64,
    /// Worker lists refused because a newer revision had already been applied.
    pub lists_refused: u64,
    /// Generations refused because they were older than the one in force.
    pub generations_refused: u64,
    /// Violations: a gone or leaving incarnation would have returned to an earlier state.
    pub state_reverted: u64,
    /// Violations: a heartbeat counter would have decreased.
    pub heartbeat_reverted: u64,
    /// Violations: the generation in force decreased.
    pub generation_reverted: u64,
    /// Violations: a peer reported this incarnation as gone although it had not ended and no newer
    /// incarnation of this host was seen.
    pub called_gone: u64,
}

impl MembershipCounts {
    /// Returns the sum of all violations.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.state_reverted + self.heartbeat_reverted + self.generation_reverted + self.called_gone
    }
}

/// Increments `violations` unless the invariant `holds`, and returns `holds`.
pub(super) const fn check_invariant(holds: bool, violations: &mut u64) -> bool {
    if !holds {
        *violations += 1;
    }
    holds
}
