//! Tracks which workers of a failure domain are leaving.
//!
//! A worker is leaving if the latest platform list seen by any host of the domain says so, or if
//! the worker sent a leave notice itself. Lists are ordered by revision. The platform's list lags
//! behind, so a notice takes precedence over later lists. It ends when a list has shown the worker
//! as leaving and a newer one shows it as live, or when its hold time has expired and a newer list
//! shows the worker as live.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use rustc_hash::FxHashSet;

use super::counts::MembershipCounts;
use super::record::WorkerNews;
use super::settings::MembershipSettings;
use super::worker_entry::WorkerEntry;
use crate::names::WorkerName;
use crate::units::UnixTime;

/// Number of messages that carry a changed entry.
const SENDS_PER_CHANGE: u32 = 8;

/// A worker that started leaving, returned, or was listed as live for the first time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerChange {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// Leaving state of the workers of one failure domain.
#[derive(Debug, Default)]
pub struct DepartureTracker {
    entries: BTreeMap<WorkerName, WorkerEntry>,
    /// Revision of the latest list applied on this host.
    list_revision: u64,
    /// Highest revision of a list seen by this host or received from a peer.
    seen_revision: u64,
    changes: Vec<WorkerChange>,
    rotation_cursor: Option<WorkerName>,
}

impl DepartureTracker {
    /// Returns whether a worker is leaving.
    #[must_use]
    pub fn is_leaving(&self, worker: &WorkerName) -> bool {
        self.entries
            .get(worker)
            .is_some_and(WorkerEntry::is_leaving)
    }

    /// Returns the names of the leaving workers.
    pub fn leaving(&self) -> impl Iterator<Item = &WorkerName> {
        let leaving = self.entries.iter().filter(|(_, entry)| entry.is_leaving());
        leaving.map(|(worker, _)| worker)
    }

    /// Returns the highest revision of the platform's list seen by this host or received from a
    /// peer.
    #[must_use]
    pub const fn seen_revision(&self) -> u64 {
        self.seen_revision
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<WorkerChange> {
        std::mem::take(&mut self.changes)
    }

    /// Applies a complete list from the platform; a known worker missing from it is leaving.
    ///
    /// A list older than the last applied one is refused and counted.
    pub fn apply_list(
        &mut self,
        revision: u64,
        live: &[WorkerName],
        leaving: &[WorkerName],
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
        now: UnixTime,
    ) {
        if revision < self.list_revision {
            counts.lists_refused += 1;
            return;
        }
        self.list_revision = revision;
        self.seen_revision = self.seen_revision.max(revision);
        for worker in self.unlisted_workers(live, leaving) {
            self.apply_listed(&worker, true, revision, settings, now);
        }
        for worker in live {
            self.apply_listed(worker, false, revision, settings, now);
        }
        for worker in leaving {
            self.apply_listed(worker, true, revision, settings, now);
            self.extend_retention(worker, settings, now);
        }
    }

    /// Records a leave notice that a worker sent to this host.
    pub fn record_local_notice(
        &mut self,
        worker: &WorkerName,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let ended_notice = match self.entries.get(worker) {
            Some(entry) => entry.ended_notice,
            None => UnixTime::default(),
        };
        let next_given = ended_notice.after(Duration::from_millis(1));
        let given = UnixTime::from_millis(now.as_millis()).max(next_given);
        let base_revision = self.seen_revision;
        self.apply_notice(worker, given, base_revision, settings, now);
    }

    /// Merges an update received from a peer.
    pub fn merge_update(
        &mut self,
        update: &WorkerNews,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        self.seen_revision = self.seen_revision.max(update.revision);
        if !update.is_self_reported() {
            self.apply_listed(
                &update.worker,
                update.leaving,
                update.revision,
                settings,
                now,
            );
            return;
        }
        let has_ended = self
            .entries
            .get(&update.worker)
            .is_some_and(|entry| update.given <= entry.ended_notice);
        if update.leaving && !has_ended {
            self.apply_notice(&update.worker, update.given, update.revision, settings, now);
        }
    }

    /// Removes workers that disappeared from the platform's list longer ago than the lifetime of a
    /// ticket.
    ///
    /// A leave notice is kept until a list confirms or ends it.
    pub fn expire(&mut self, now: UnixTime) {
        self.entries
            .retain(|_, entry| !entry.listed_leaving || entry.expires_at > now);
    }

    /// Selects updates for one message: recent changes, least often sent first, then the next
    /// leaving worker in round-robin order.
    pub fn select_updates(
        &mut self,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> Vec<WorkerNews> {
        let limit = settings.max_worker_updates;
        let mut recent = Vec::new();
        for (worker, entry) in &self.entries {
            if entry.sends_left > 0 {
                recent.push((entry.sends_left, worker.clone()));
            }
        }
        recent.sort_unstable_by(|left, right| right.cmp(left));
        recent.truncate(limit.saturating_sub(1));
        let mut selected: Vec<WorkerName> = Vec::with_capacity(recent.len() + 1);
        for (_, worker) in recent {
            if let Some(entry) = self.entries.get_mut(&worker) {
                entry.sends_left -= 1;
            }
            selected.push(worker);
        }
        if let Some(worker) = self.next_in_rotation(settings, now)
            && !selected.contains(&worker)
        {
            selected.push(worker);
        }
        let mut updates = Vec::with_capacity(selected.len());
        for worker in selected {
            self.entries[&worker].push_updates(&worker, &mut updates);
        }
        updates
    }

    fn unlisted_workers(&self, live: &[WorkerName], leaving: &[WorkerName]) -> Vec<WorkerName> {
        let listed: FxHashSet<&WorkerName> = live.iter().chain(leaving).collect();
        let known = self.entries.keys();
        known
            .filter(|worker| !listed.contains(worker))
            .cloned()
            .collect()
    }

    /// Retains a worker for the lifetime of a ticket from now on.
    fn extend_retention(
        &mut self,
        worker: &WorkerName,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        if let Some(entry) = self.entries.get_mut(worker) {
            entry.expires_at = now.after(settings.ticket_lifetime());
        }
    }

    /// Returns the next leaving worker that is still in the first half of its retention time.
    ///
    /// Hosts stop spreading an entry well before they remove it; otherwise they would reintroduce
    /// it to each other forever.
    fn next_in_rotation(
        &mut self,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> Option<WorkerName> {
        let horizon = now.after(settings.ticket_lifetime() / 2);
        let start = match &self.rotation_cursor {
            Some(worker) => Bound::Excluded(worker.clone()),
            None => Bound::Unbounded,
        };
        let later = self.entries.range((start, Bound::Unbounded));
        let next = later
            .chain(self.entries.iter())
            .find(|(_, entry)| entry.is_leaving() && entry.expires_at > horizon)
            .map(|(worker, _)| worker.clone())?;
        self.rotation_cursor = Some(next.clone());
        Some(next)
    }

    fn apply_listed(
        &mut self,
        worker: &WorkerName,
        leaving: bool,
        revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let is_new = !self.entries.contains_key(worker);
        let entry = self.entry(worker, settings, now);
        let was_leaving = entry.is_leaving();
        entry.apply_listed(leaving, revision, settings, now);
        self.record_change(worker, was_leaving, settings, now);
        if is_new && !leaving {
            self.changes.push(WorkerChange {
                worker: worker.clone(),
                leaving,
            });
        }
    }

    fn apply_notice(
        &mut self,
        worker: &WorkerName,
        given: UnixTime,
        base_revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let entry = self.entry(worker, settings, now);
        let was_leaving = entry.is_leaving();
        if entry.apply_notice(given, base_revision, settings, now) {
            entry.sends_left = SENDS_PER_CHANGE;
        }
        self.record_change(worker, was_leaving, settings, now);
    }

    fn entry(
        &mut self,
        worker: &WorkerName,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> &mut WorkerEntry {
        let expires_at = now.after(settings.ticket_lifetime());
        self.entries
            .entry(worker.clone())
            .or_insert_with(|| WorkerEntry::new(expires_at))
    }

    fn record_change(
        &mut self,
        worker: &WorkerName,
        was_leaving: bool,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let Some(entry) = self.entries.get_mut(worker) else {
            return;
        };
        let leaving = entry.is_leaving();
        if leaving == was_leaving {
            return;
        }
        entry.sends_left = SENDS_PER_CHANGE;
        entry.expires_at = now.after(settings.ticket_lifetime());
        self.changes.push(WorkerChange {
            worker: worker.clone(),
            leaving,
        });
    }
}
