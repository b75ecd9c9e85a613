//! Merge rules for two records of one incarnation.

use super::record::{MemberRecord, MemberState};

/// Returns the merged state of two records of one incarnation.
///
/// The higher rank wins, then the higher heartbeat counter; with equal counters `Suspect` wins.
pub(super) fn merge_states(ours: &MemberRecord, theirs: &MemberRecord) -> MemberState {
    if theirs.state.rank() != ours.state.rank() {
        if theirs.state.rank() > ours.state.rank() {
            return theirs.state;
        }
        return ours.state;
    }
    if theirs.heartbeat > ours.heartbeat {
        return theirs.state;
    }
    let same_counter = theirs.heartbeat == ours.heartbeat;
    if same_counter && theirs.state == MemberState::Suspect {
        return MemberState::Suspect;
    }
    ours.state
}

/// Returns whether `theirs` lacks a state change that `ours` contains.
pub(super) fn is_older(theirs: &MemberRecord, ours: &MemberRecord) -> bool {
    if theirs.state.rank() != ours.state.rank() {
        return theirs.state.rank() < ours.state.rank();
    }
    theirs.state != ours.state && theirs.heartbeat < ours.heartbeat
}
