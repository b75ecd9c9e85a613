//! The incarnations of entry hosts that one host knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::counts::{MembershipCounts, check_invariant};
use super::merge::{is_older, merge_states};
use super::record::{MemberLoad, MemberRecord, MemberState};
use super::settings::MembershipSettings;
use crate::units::{IncarnationId, UnixTime};

/// What one host knows about one incarnation of another.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Newest record.
    pub record: MemberRecord,
    /// Time at which the heartbeat counter last rose here.
    pub heard_at: UnixTime,
    /// Time at which silence makes the incarnation suspect.
    pub suspect_at: UnixTime,
    /// Time at which the incarnation is forgotten unless it is heard of again.
    pub forget_at: UnixTime,
    /// Failed sendings since the counter last rose.
    pub failed_sends: u32,
    /// Generation in force when the incarnation last wrote itself.
    pub generation: u64,
    /// Load when the incarnation last wrote itself.
    pub load: MemberLoad,
    /// Number of messages that still carry the newest change.
    pub(super) sends_left: u32,
}

/// A change of one member's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// Record after the change.
    pub record: MemberRecord,
    /// State before the change, or `None` for a new member.
    pub previous: Option<MemberState>,
}

/// The incarnations of other entry hosts that one host knows, at most one entry for each.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    pub(super) entries: BTreeMap<IncarnationId, MemberEntry>,
    changes: Vec<MemberChange>,
    /// Incarnation that the rotation of rumours came to last.
    pub(super) rotation: IncarnationId,
}

impl MemberTable {
    /// Makes an empty table of the host with the given record.
    #[must_use]
    pub const fn new(own: MemberRecord) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            rotation: IncarnationId::from_bits(0),
        }
    }

    /// Returns the entries in the order of their incarnations.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the entry of an incarnation.
    #[must_use]
    pub fn entry(&self, incarnation: IncarnationId) -> Option<&MemberEntry> {
        self.entries.get(&incarnation)
    }

    /// Returns the entry that is not gone at an address, the newest first.
    #[must_use]
    pub fn entry_at(&self, address: SocketAddr) -> Option<&MemberEntry> {
        let at_address = self.entries.values().filter(|entry| {
            entry.record.peer_address == address && entry.record.state != MemberState::Gone
        });
        at_address.max_by_key(|entry| entry.record.started)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in the record of another incarnation.
    pub fn merge(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        if self.entries.contains_key(&record.incarnation) {
            self.merge_known(record, settings, counts, now);
        } else {
            self.admit(record, settings, counts, now);
        }
    }

    /// Remembers what an incarnation wrote itself.
    pub fn note_direct(&mut self, incarnation: IncarnationId, generation: u64, load: MemberLoad) {
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.generation = entry.generation.max(generation);
            entry.load = load;
        }
    }

    /// Counts a failed sending to an incarnation and returns how many failed in a row.
    ///
    /// The incarnation becomes suspect at the limit.
    pub fn note_failed_send(
        &mut self,
        incarnation: IncarnationId,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) -> u32 {
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return 0;
        };
        entry.failed_sends = entry.failed_sends.saturating_add(1);
        let failed_sends = entry.failed_sends;
        if failed_sends >= settings.failed_sends_limit {
            self.suspect(incarnation, settings, counts, now);
        }
        failed_sends
    }

    /// Suspects silent incarnations and forgets those past their retention time.
    pub fn expire(
        &mut self,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let mut silent = Vec::new();
        for (incarnation, entry) in &self.entries {
            if entry.record.state == MemberState::Alive && entry.suspect_at <= now {
                silent.push(*incarnation);
            }
        }
        for incarnation in silent {
            self.suspect(incarnation, settings, counts, now);
        }
        let known = self.entries.len();
        self.entries
            .retain(|_, entry| entry.record.state == MemberState::Alive || entry.forget_at > now);
        counts.forgotten += (known - self.entries.len()) as u64;
    }

    /// Counts the silence of every member anew, after this process itself was paused.
    pub fn restart_silence(&mut self, settings: &MembershipSettings, now: UnixTime) {
        let incarnations: Vec<IncarnationId> = self.entries.keys().copied().collect();
        for incarnation in incarnations {
            let deadline = self.suspect_deadline(incarnation, settings, now);
            if let Some(entry) = self.entries.get_mut(&incarnation) {
                entry.suspect_at = entry.suspect_at.max(deadline);
            }
        }
    }

    /// Spreads a change again because another host still tells something older.
    fn repeat(&mut self, incarnation: IncarnationId) {
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.sends_left = entry.sends_left.max(1);
        }
    }

    fn merge_known(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let incarnation = record.incarnation;
        let entry = &self.entries[&incarnation];
        if entry.record.host != record.host {
            counts.records_refused += 1;
            return;
        }
        let state = merge_states(&entry.record, record);
        if is_older(record, &entry.record) {
            self.repeat(incarnation);
        }
        if record.heartbeat > self.entries[&incarnation].record.heartbeat {
            self.raise_heartbeat(incarnation, record.heartbeat, settings, counts, now);
        }
        self.set_state(incarnation, state, settings, counts, now);
    }

    fn admit(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        // A suspect that is not known here tells nothing that could be used. Admitting it would
        // let two hosts remind each other of a dead one for ever.
        if record.state == MemberState::Suspect {
            return;
        }
        if self.entries.len() >= settings.max_members && !self.make_room(settings, now) {
            counts.records_refused += 1;
            return;
        }
        let entry = MemberEntry {
            record: record.clone(),
            heard_at: now,
            suspect_at: UnixTime::NEVER,
            forget_at: now.after(settings.retention()),
            failed_sends: 0,
            generation: 0,
            load: MemberLoad::default(),
            sends_left: 0,
        };
        let incarnation = record.incarnation;
        self.entries.insert(incarnation, entry);
        let deadline = self.suspect_deadline(incarnation, settings, now);
        let sends_left = self.change_sends();
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.suspect_at = deadline;
            entry.sends_left = sends_left;
        }
        self.changes.push(MemberChange {
            record: record.clone(),
            previous: None,
        });
        if record.state == MemberState::Gone {
            counts.gone += 1;
        }
        self.retire_superseded(record, settings, counts, now);
    }

    /// Makes every incarnation gone that `record` shows to be replaced, or `record` itself.
    fn retire_superseded(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let mut retired = Vec::new();
        for entry in self.entries.values() {
            if record.supersedes(&entry.record) {
                retired.push(entry.record.incarnation);
            }
            if entry.record.supersedes(record) {
                retired.push(record.incarnation);
            }
        }
        if self.own.supersedes(record) {
            retired.push(record.incarnation);
        }
        for incarnation in retired {
            self.set_state(incarnation, MemberState::Gone, settings, counts, now);
        }
    }

    /// Forgets the incarnation that was heard of longest ago and that no ticket can name any more.
    fn make_room(&mut self, settings: &MembershipSettings, now: UnixTime) -> bool {
        let horizon = now.before(settings.ticket_lifetime());
        let forgettable = self.entries.values().filter(|entry| {
            let in_use = matches!(
                entry.record.state,
                MemberState::Alive | MemberState::Leaving
            );
            let retained_from = entry.forget_at.before(settings.retention());
            !in_use && retained_from < horizon
        });
        let oldest = forgettable
            .min_by_key(|entry| entry.forget_at)
            .map(|entry| entry.record.incarnation);
        match oldest {
            Some(incarnation) => self.entries.remove(&incarnation).is_some(),
            None => false,
        }
    }

    fn raise_heartbeat(
        &mut self,
        incarnation: IncarnationId,
        heartbeat: u64,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let deadline = self.suspect_deadline(incarnation, settings, now);
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let rises = heartbeat >= entry.record.heartbeat;
        if !check_invariant(rises, &mut counts.heartbeat_reverted) {
            return;
        }
        entry.record.heartbeat = heartbeat;
        entry.heard_at = now;
        entry.failed_sends = 0;
        entry.suspect_at = deadline;
        if entry.record.state != MemberState::Gone {
            entry.forget_at = now.after(settings.retention());
        }
    }

    fn suspect(
        &mut self,
        incarnation: IncarnationId,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let is_alive = self
            .entries
            .get(&incarnation)
            .is_some_and(|entry| entry.record.state == MemberState::Alive);
        if !is_alive {
            return;
        }
        let state = if settings.faults.gone_from_silence {
            MemberState::Gone
        } else {
            MemberState::Suspect
        };
        self.set_state(incarnation, state, settings, counts, now);
    }

    fn set_state(
        &mut self,
        incarnation: IncarnationId,
        state: MemberState,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let sends_left = self.change_sends();
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let previous = entry.record.state;
        if previous == state {
            return;
        }
        let rises = state.rank() >= previous.rank();
        if !check_invariant(rises, &mut counts.state_reverted) {
            return;
        }
        match state {
            MemberState::Alive => counts.refuted += 1,
            MemberState::Suspect => counts.suspected += 1,
            MemberState::Leaving => {}
            MemberState::Gone => {
                counts.gone += 1;
                entry.forget_at = now.after(settings.retention());
            }
        }
        entry.record.state = state;
        entry.sends_left = sends_left;
        self.changes.push(MemberChange {
            record: entry.record.clone(),
            previous: Some(previous),
        });
    }

    /// Returns the number of messages that carry a change: enough to reach every host with a
    /// margin for lost messages.
    fn change_sends(&self) -> u32 {
        let hosts = self.entries.len() as u64 + 2;
        2 + 2 * hosts.ilog2()
    }

    fn suspect_deadline(
        &self,
        incarnation: IncarnationId,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> UnixTime {
        let Some(subject) = self.entries.get(&incarnation) else {
            return UnixTime::NEVER;
        };
        let same_domain = subject.record.domain == self.own.domain;
        let mut sharers = 1;
        for entry in self.entries.values() {
            let counts_here = !same_domain || entry.record.domain == self.own.domain;
            if counts_here && entry.record.state == MemberState::Alive {
                sharers += 1;
            }
        }
        let rounds = if same_domain {
            settings.domain_silence_rounds
        } else {
            settings.cross_silence_rounds
        };
        now.after(settings.silence_limit(sharers, rounds))
    }
}
