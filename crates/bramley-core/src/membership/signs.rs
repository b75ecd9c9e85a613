//! Leaving signs of workers.
//!
//! A worker leaves when the newest list of the platform that any host of the domain has seen says
//! so, or when it said so itself. Lists are ordered by their revisions. The platform's list lags,
//! so a worker's own sign stands against later lists until one shows the worker leaving and a
//! newer one shows it back, or until its hold time has passed and a newer list shows it live.

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

/// Number of messages that carry a new sign.
const SIGN_SENDS: u32 = 8;

/// A worker that started to leave, came back or was seen live for the first time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerChange {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// Leaving signs of the workers of one failure domain.
#[derive(Debug, Default)]
pub struct WorkerSigns {
    entries: BTreeMap<WorkerName, WorkerEntry>,
    /// Newest list taken in here.
    list_revision: u64,
    /// Newest list taken in here or at a sibling.
    seen_revision: u64,
    changes: Vec<WorkerChange>,
    rotation: Option<WorkerName>,
}

impl WorkerSigns {
    /// Tells whether a worker is leaving.
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

    /// Returns the newest revision of the platform's list seen here or passed on by a sibling.
    #[must_use]
    pub const fn seen_revision(&self) -> u64 {
        self.seen_revision
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<WorkerChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in a whole list of the platform; a known worker that it lacks is leaving.
    ///
    /// An older list than one seen before is refused and counted.
    pub fn take_list(
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
        for worker in self.missing_workers(live, leaving) {
            self.apply_listed(&worker, true, revision, settings, now);
        }
        for worker in live {
            self.apply_listed(worker, false, revision, settings, now);
        }
        for worker in leaving {
            self.apply_listed(worker, true, revision, settings, now);
            self.keep(worker, settings, now);
        }
    }

    /// Takes in a sign that a worker gave itself, here.
    pub fn take_own_sign(
        &mut self,
        worker: &WorkerName,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let ended_sign = match self.entries.get(worker) {
            Some(entry) => entry.ended_sign,
            None => UnixTime::default(),
        };
        let next_given = ended_sign.after(Duration::from_millis(1));
        let given = UnixTime::from_millis(now.as_millis()).max(next_given);
        let base_revision = self.seen_revision;
        self.apply_own_sign(worker, given, base_revision, settings, now);
    }

    /// Takes in a sign that a sibling passed on.
    pub fn take_news(&mut self, news: &WorkerNews, settings: &MembershipSettings, now: UnixTime) {
        self.seen_revision = self.seen_revision.max(news.revision);
        if !news.is_own_sign() {
            self.apply_listed(&news.worker, news.leaving, news.revision, settings, now);
            return;
        }
        let has_ended = self
            .entries
            .get(&news.worker)
            .is_some_and(|entry| news.given <= entry.ended_sign);
        if news.leaving && !has_ended {
            self.apply_own_sign(&news.worker, news.given, news.revision, settings, now);
        }
    }

    /// Forgets workers that left the platform's list longer ago than the lifetime of a ticket.
    ///
    /// A worker's own sign is kept until a list confirms or ends it.
    pub fn expire(&mut self, now: UnixTime) {
        self.entries
            .retain(|_, entry| !entry.listed_leaving || entry.forget_at > now);
    }

    /// Chooses signs for one message: new ones, least often sent first, then the next leaving
    /// worker of a rotation.
    pub fn pick_news(&mut self, settings: &MembershipSettings, now: UnixTime) -> Vec<WorkerNews> {
        let limit = settings.max_worker_news;
        let mut recent = Vec::new();
        for (worker, entry) in &self.entries {
            if entry.sends_left > 0 {
                recent.push((entry.sends_left, worker.clone()));
            }
        }
        recent.sort_unstable_by(|left, right| right.cmp(left));
        recent.truncate(limit.saturating_sub(1));
        let mut picked: Vec<WorkerName> = Vec::with_capacity(recent.len() + 1);
        for (_, worker) in recent {
            if let Some(entry) = self.entries.get_mut(&worker) {
                entry.sends_left -= 1;
            }
            picked.push(worker);
        }
        if let Some(worker) = self.next_in_rotation(settings, now)
            && !picked.contains(&worker)
        {
            picked.push(worker);
        }
        let mut news = Vec::with_capacity(picked.len());
        for worker in picked {
            self.entries[&worker].push_news(&worker, &mut news);
        }
        news
    }

    fn missing_workers(&self, live: &[WorkerName], leaving: &[WorkerName]) -> Vec<WorkerName> {
        let listed: FxHashSet<&WorkerName> = live.iter().chain(leaving).collect();
        let known = self.entries.keys();
        known
            .filter(|worker| !listed.contains(worker))
            .cloned()
            .collect()
    }

    /// Remembers a worker for the lifetime of a ticket from now on.
    fn keep(&mut self, worker: &WorkerName, settings: &MembershipSettings, now: UnixTime) {
        if let Some(entry) = self.entries.get_mut(worker) {
            entry.forget_at = now.after(settings.ticket_lifetime());
        }
    }

    /// Returns the next worker that leaves and has not been kept for half of its time.
    ///
    /// Hosts stop telling early what they are about to forget; else they would remind each other
    /// for ever.
    fn next_in_rotation(
        &mut self,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> Option<WorkerName> {
        let horizon = now.after(settings.ticket_lifetime() / 2);
        let start = match &self.rotation {
            Some(worker) => Bound::Excluded(worker.clone()),
            None => Bound::Unbounded,
        };
        let later = self.entries.range((start, Bound::Unbounded));
        let next = later
            .chain(self.entries.iter())
            .find(|(_, entry)| entry.is_leaving() && entry.forget_at > horizon)
            .map(|(worker, _)| worker.clone())?;
        self.rotation = Some(next.clone());
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
        self.note_change(worker, was_leaving, settings, now);
        if is_new && !leaving {
            self.changes.push(WorkerChange {
                worker: worker.clone(),
                leaving,
            });
        }
    }

    fn apply_own_sign(
        &mut self,
        worker: &WorkerName,
        given: UnixTime,
        base_revision: u64,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        let entry = self.entry(worker, settings, now);
        let was_leaving = entry.is_leaving();
        if entry.apply_own_sign(given, base_revision, settings, now) {
            entry.sends_left = SIGN_SENDS;
        }
        self.note_change(worker, was_leaving, settings, now);
    }

    fn entry(
        &mut self,
        worker: &WorkerName,
        settings: &MembershipSettings,
        now: UnixTime,
    ) -> &mut WorkerEntry {
        let forget_at = now.after(settings.ticket_lifetime());
        self.entries
            .entry(worker.clone())
            .or_insert_with(|| WorkerEntry::new(forget_at))
    }

    fn note_change(
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
        entry.sends_left = SIGN_SENDS;
        entry.forget_at = now.after(settings.ticket_lifetime());
        self.changes.push(WorkerChange {
            worker: worker.clone(),
            leaving,
        });
    }
}
