//! What two records of one incarnation show together.

use super::record::{MemberRecord, MemberState};

/// Returns the state that two records of one incarnation show together.
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

/// Tells whether `theirs` lacks a change of state that `ours` has.
pub(super) fn is_older(theirs: &MemberRecord, ours: &MemberRecord) -> bool {
    if theirs.state.rank() != ours.state.rank() {
        return theirs.state.rank() < ours.state.rank();
    }
    theirs.state != ours.state && theirs.heartbeat < ours.heartbeat
}
