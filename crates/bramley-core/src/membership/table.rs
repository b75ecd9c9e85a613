//! Table of the known incarnations of other entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::counts::{MembershipCounts, check_invariant};
use super::merge::{is_older, merge_states};
use super::record::{MemberLoad, MemberRecord, MemberState};
use super::settings::MembershipSettings;
use crate::units::{IncarnationId, UnixTime};

/// State of one incarnation of another host, as known to this host.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Latest known record.
    pub record: MemberRecord,
    /// Time at which this host last saw the heartbeat counter increase.
    pub heard_at: UnixTime,
    /// Time at which the incarnation becomes suspect unless its heartbeat counter increases.
    pub suspect_at: UnixTime,
    /// Time at which the entry is removed unless the heartbeat counter increases.
    pub expires_at: UnixTime,
    /// Number of failed heartbeats since the counter last increased.
    pub failed_sends: u32,
    /// Generation in force at the incarnation, from its latest direct message.
    pub generation: u64,
    /// Load of the incarnation, from its latest direct message.
    pub load: MemberLoad,
    /// Number of messages that still have to carry the latest change.
    pub(super) sends_left: u32,
}

/// A state change of one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// Record after the change.
    pub record: MemberRecord,
    /// State before the change, or `None` for a new member.
    pub previous: Option<MemberState>,
}

/// The known incarnations of other entry hosts, with at most one entry each.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    pub(super) entries: BTreeMap<IncarnationId, MemberEntry>,
    changes: Vec<MemberChange>,
    /// Incarnation that the round-robin selection of records returned last.
    pub(super) rotation_cursor: IncarnationId,
}

impl MemberTable {
    /// Creates an empty table for the host with the given record.
    #[must_use]
    pub const fn new(own: MemberRecord) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            rotation_cursor: IncarnationId::from_bits(0),
        }
    }

    /// Returns the entries ordered by incarnation.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the entry of an incarnation.
    #[must_use]
    pub fn entry(&self, incarnation: IncarnationId) -> Option<&MemberEntry> {
        self.entries.get(&incarnation)
    }

    /// Returns the latest started incarnation at an address, ignoring those that are gone.
    #[must_use]
    pub fn entry_by_address(&self, address: SocketAddr) -> Option<&MemberEntry> {
        let at_address = self.entries.values().filter(|entry| {
            entry.record.peer_address == address && entry.record.state != MemberState::Gone
        });
        at_address.max_by_key(|entry| entry.record.started)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Merges a record of another incarnation into the table.
    pub fn merge(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        if self.entries.contains_key(&record.incarnation) {
            self.merge_existing(record, settings, counts, now);
        } else {
            self.insert_new(record, settings, counts, now);
        }
    }

    /// Stores the generation and load from a direct message of an incarnation.
    pub fn update_from_sender(
        &mut self,
        incarnation: IncarnationId,
        generation: u64,
        load: MemberLoad,
    ) {
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.generation = entry.generation.max(generation);
            entry.load = load;
        }
    }

    /// Counts a failed heartbeat to an incarnation and returns the number since its counter last
    /// increased.
    ///
    /// The incarnation becomes suspect at the configured limit.
    pub fn record_failed_send(
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
            self.mark_suspect(incarnation, settings, counts, now);
        }
        failed_sends
    }

    /// Marks silent incarnations as suspect and removes those past their retention time.
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
            self.mark_suspect(incarnation, settings, counts, now);
        }
        let known = self.entries.len();
        self.entries
            .retain(|_, entry| entry.record.state == MemberState::Alive || entry.expires_at > now);
        counts.forgotten += (known - self.entries.len()) as u64;
    }

    /// Restarts the suspicion timer of every member after this process was paused.
    pub fn reset_suspicion_timers(&mut self, settings: &MembershipSettings, now: UnixTime) {
        let incarnations: Vec<IncarnationId> = self.entries.keys().copied().collect();
        for incarnation in incarnations {
            let deadline = self.suspect_deadline(incarnation, settings, now);
            if let Some(entry) = self.entries.get_mut(&incarnation) {
                entry.suspect_at = entry.suspect_at.max(deadline);
            }
        }
    }

    /// Sends the latest change at least once more, because a peer still has an older record.
    fn rebroadcast(&mut self, incarnation: IncarnationId) {
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.sends_left = entry.sends_left.max(1);
        }
    }

    fn merge_existing(
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
            self.rebroadcast(incarnation);
        }
        if record.heartbeat > self.entries[&incarnation].record.heartbeat {
            self.advance_heartbeat(incarnation, record.heartbeat, settings, counts, now);
        }
        self.set_state(incarnation, state, settings, counts, now);
    }

    fn insert_new(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        // An unknown incarnation that is already suspect is of no use. Inserting it would let two
        // hosts reintroduce a dead one to each other forever.
        if record.state == MemberState::Suspect {
            return;
        }
        if self.entries.len() >= settings.max_members && !self.evict_oldest(settings, now) {
            counts.records_refused += 1;
            return;
        }
        let entry = MemberEntry {
            record: record.clone(),
            heard_at: now,
            suspect_at: UnixTime::NEVER,
            expires_at: now.after(settings.retention()),
            failed_sends: 0,
            generation: 0,
            load: MemberLoad::default(),
            sends_left: 0,
        };
        let incarnation = record.incarnation;
        self.entries.insert(incarnation, entry);
        let deadline = self.suspect_deadline(incarnation, settings, now);
        let sends_left = self.sends_per_change();
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
        self.mark_superseded_gone(record, settings, counts, now);
    }

    /// Marks every incarnation that `record` supersedes as gone, or `record` itself if it is
    /// superseded.
    fn mark_superseded_gone(
        &mut self,
        record: &MemberRecord,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        let mut superseded = Vec::new();
        for entry in self.entries.values() {
            if record.supersedes(&entry.record) {
                superseded.push(entry.record.incarnation);
            }
            if entry.record.supersedes(record) {
                superseded.push(record.incarnation);
            }
        }
        if self.own.supersedes(record) {
            superseded.push(record.incarnation);
        }
        for incarnation in superseded {
            self.set_state(incarnation, MemberState::Gone, settings, counts, now);
        }
    }

    /// Removes the least recently updated incarnation that no unexpired ticket can name, and
    /// returns whether there was one.
    fn evict_oldest(&mut self, settings: &MembershipSettings, now: UnixTime) -> bool {
        let oldest_usable = now.before(settings.ticket_lifetime());
        let evictable = self.entries.values().filter(|entry| {
            let is_active = matches!(
                entry.record.state,
                MemberState::Alive | MemberState::Leaving
            );
            let retention_start = entry.expires_at.before(settings.retention());
            !is_active && retention_start < oldest_usable
        });
        let oldest = evictable
            .min_by_key(|entry| entry.expires_at)
            .map(|entry| entry.record.incarnation);
        match oldest {
            Some(incarnation) => self.entries.remove(&incarnation).is_some(),
            None => false,
        }
    }

    fn advance_heartbeat(
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
        let is_monotonic = heartbeat >= entry.record.heartbeat;
        if !check_invariant(is_monotonic, &mut counts.heartbeat_reverted) {
            return;
        }
        entry.record.heartbeat = heartbeat;
        entry.heard_at = now;
        entry.failed_sends = 0;
        entry.suspect_at = deadline;
        if entry.record.state != MemberState::Gone {
            entry.expires_at = now.after(settings.retention());
        }
    }

    fn mark_suspect(
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
        let state = if settings.faults.mark_silent_as_gone {
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
        let sends_left = self.sends_per_change();
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let previous = entry.record.state;
        if previous == state {
            return;
        }
        let is_monotonic = state.rank() >= previous.rank();
        if !check_invariant(is_monotonic, &mut counts.state_reverted) {
            return;
        }
        match state {
            MemberState::Alive => counts.refuted += 1,
            MemberState::Suspect => counts.suspected += 1,
            MemberState::Leaving => {}
            MemberState::Gone => {
                counts.gone += 1;
                entry.expires_at = now.after(settings.retention());
            }
        }
        entry.record.state = state;
        entry.sends_left = sends_left;
        self.changes.push(MemberChange {
            record: entry.record.clone(),
            previous: Some(previous),
        });
    }

    /// Returns the number of messages that carry a change. It grows logarithmically with the number
    /// of hosts, enough to reach every host with a margin for lost messages.
    fn sends_per_change(&self) -> u32 {
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
        let mut probing_members = 1;
        for entry in self.entries.values() {
            let probes_subject = !same_domain || entry.record.domain == self.own.domain;
            if probes_subject && entry.record.state == MemberState::Alive {
                probing_members += 1;
            }
        }
        let rounds = if same_domain {
            settings.domain_suspicion_rounds
        } else {
            settings.cross_domain_suspicion_rounds
        };
        now.after(settings.suspicion_timeout(probing_members, rounds))
    }
}
