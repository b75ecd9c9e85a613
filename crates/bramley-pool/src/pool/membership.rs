//! Relays that hold jobs at the pool, as each leader passes them on to the next one.
//!
//! A leader publishes the relays that are connected to it, and the relay of each host keeps the last
//! list. A new leader thus knows which relays will resubmit their jobs. Once they all have, no relay
//! is left that could adopt one of the remaining runs, and these are stopped without waiting any
//! longer. If one of the relays is gone, the wait ends with the bounds of
//! [`Pool::observe_caller_loss`].

use std::collections::BTreeSet;
use std::time::Duration;

use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use super::Pool;
use crate::message::RelayId;

/// Relays of a pool, by the incarnation of their processes.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayMembership {
    connected: FxHashMap<RelayId, u64>,
    /// Times of the last messages of relays of other processes.
    heard_at: FxHashMap<RelayId, UnixTime>,
    /// Relays of the last leader that have not resubmitted their jobs yet; `None` if they are not
    /// known.
    awaited: Option<BTreeSet<u64>>,
    /// Lost relays whose jobs are kept for a while, with the time at which these are cancelled.
    leaving: Vec<(u64, UnixTime)>,
    /// Time at which all relays of the last leader had resubmitted their jobs.
    all_resumed_at: Option<UnixTime>,
    has_changed: bool,
    /// Whether runs of earlier leaders may still be adopted.
    is_adopting: bool,
}

impl RelayMembership {
    /// Forgets what concerns an earlier leader, at the beginning or end of a term.
    pub(super) fn reset(&mut self, is_leader: bool) {
        self.is_adopting = is_leader;
        self.awaited = None;
        self.all_resumed_at = None;
        self.leaving.clear();
        self.has_changed = true;
    }

    /// Returns the time at which all relays of the last leader had resubmitted their jobs.
    pub(super) const fn all_resumed_at(&self) -> Option<UnixTime> {
        self.all_resumed_at
    }

    /// Returns whether runs of earlier leaders may still be adopted.
    pub(super) const fn is_adopting(&self) -> bool {
        self.is_adopting
    }

    /// Returns the number of known relays of the last leader that have not resubmitted their jobs.
    pub(super) fn missing(&self) -> usize {
        self.awaited.as_ref().map_or(0, BTreeSet::len)
    }

    /// Stops waiting for relays that have not resubmitted their jobs.
    pub(super) fn end_adoption(&mut self) {
        self.is_adopting = false;
        self.has_changed |= self
            .awaited
            .take()
            .is_some_and(|awaited| !awaited.is_empty());
    }

    pub(super) fn relay_resumed(&mut self, relay: RelayId, now: UnixTime) {
        let (Some(awaited), Some(incarnation)) = (&mut self.awaited, self.connected.get(&relay))
        else {
            return;
        };
        if awaited.remove(incarnation) && awaited.is_empty() {
            self.all_resumed_at = Some(now);
        }
    }

    pub(super) fn relay_lost(&mut self, relay: RelayId, cancelled_at: UnixTime) {
        self.heard_at.remove(&relay);
        if let Some(incarnation) = self.connected.remove(&relay) {
            self.leaving.push((incarnation, cancelled_at));
            self.has_changed = true;
        }
    }

    /// Returns the time of the last message of a relay; `None` for the relay of this process.
    pub(super) fn heard_at(&self, relay: RelayId) -> Option<UnixTime> {
        self.heard_at.get(&relay).copied()
    }

    /// Handles time that the process's clock did not count.
    pub(super) fn clock_skipped(&mut self, span: Duration) {
        for heard_at in self.heard_at.values_mut() {
            *heard_at = heard_at.before(span);
        }
    }

    fn members(&self) -> Vec<u64> {
        let connected = self.connected.values().copied();
        let awaited = self.awaited.iter().flatten().copied();
        let leaving = self.leaving.iter().map(|(incarnation, _)| *incarnation);
        let members: BTreeSet<u64> = connected.chain(awaited).chain(leaving).collect();
        members.into_iter().collect()
    }
}

impl Pool {
    /// Records the incarnation of the process of a relay, to be called when the relay connects.
    pub fn relay_introduced(&mut self, relay: RelayId, incarnation: u64) {
        self.membership.connected.insert(relay, incarnation);
        self.membership.has_changed = true;
    }

    /// Records that a message of a relay of another process has arrived that it sent just before.
    pub fn relay_heard(&mut self, relay: RelayId, now: UnixTime) {
        self.membership.heard_at.insert(relay, now);
    }

    /// Sets the relays that held jobs at the last leader, to be called when the pool becomes leader.
    pub fn await_relays(&mut self, incarnations: impl IntoIterator<Item = u64>) {
        self.membership.awaited = Some(incarnations.into_iter().collect());
    }

    /// Returns the incarnations of the processes whose relays may hold jobs here, in ascending order.
    #[must_use]
    pub fn members(&self) -> Vec<u64> {
        self.membership.members()
    }

    /// Returns the members if they have changed since the last call.
    pub fn take_changed_members(&mut self, now: UnixTime) -> Option<Vec<u64>> {
        let membership = &mut self.membership;
        let before = membership.leaving.len();
        membership
            .leaving
            .retain(|(_, cancelled_at)| *cancelled_at > now);
        membership.has_changed |= membership.leaving.len() < before;
        let has_changed = std::mem::take(&mut membership.has_changed);
        has_changed.then(|| membership.members())
    }
}
