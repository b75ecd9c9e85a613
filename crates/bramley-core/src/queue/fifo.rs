//! First-in, first-out queue policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use super::{QueueEntry, QueuePolicy, QueuePolicyDescriptor, QueuePolicyRegistry, WorkAhead};
use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};

const DESCRIPTOR: QueuePolicyDescriptor = QueuePolicyDescriptor {
    name: "fifo",
    summary: "Serves jobs in the order of their acceptance.",
    create: || Box::new(FifoPolicy::default()),
};

/// Registers the policy.
pub(super) fn register(registry: &mut QueuePolicyRegistry) {
    registry.register(DESCRIPTOR);
}

type FifoKey = (UnixTime, TicketSerial);

/// Serves jobs in the order of their acceptance.
#[derive(Debug, Default)]
struct FifoPolicy {
    /// Jobs of teams within their quota.
    ready: BTreeSet<FifoKey>,
    /// Jobs of teams that have reached their quota.
    blocked_jobs: BTreeMap<TeamName, BTreeSet<FifoKey>>,
    blocked_teams: FxHashSet<TeamName>,
    entries: FxHashMap<TicketSerial, QueueEntry>,
    /// Expected run time of all tasks that are not sent yet.
    backlog: Duration,
}

impl QueuePolicy for FifoPolicy {
    fn insert(&mut self, entry: QueueEntry) {
        let key = (entry.submitted, entry.serial);
        if self.blocked_teams.contains(&entry.team) {
            self.blocked_jobs
                .entry(entry.team.clone())
                .or_default()
                .insert(key);
        } else {
            self.ready.insert(key);
        }
        self.backlog += entry.remaining;
        self.entries.insert(entry.serial, entry);
    }

    fn remove(&mut self, serial: TicketSerial) {
        let Some(entry) = self.entries.remove(&serial) else {
            return;
        };
        self.backlog = self.backlog.saturating_sub(entry.remaining);
        let key = (entry.submitted, serial);
        self.ready.remove(&key);
        if let Some(blocked_jobs) = self.blocked_jobs.get_mut(&entry.team) {
            blocked_jobs.remove(&key);
        }
    }

    fn next(&self) -> Option<TicketSerial> {
        self.ready.first().map(|(_, serial)| *serial)
    }

    fn charge(&mut self, serial: TicketSerial, work: Duration) {
        if let Some(entry) = self.entries.get_mut(&serial) {
            let sent = work.min(entry.remaining);
            entry.remaining -= sent;
            self.backlog = self.backlog.saturating_sub(sent);
        }
    }

    fn work_ahead(&self, entry: &QueueEntry) -> WorkAhead {
        WorkAhead::AllTeams(self.backlog + entry.remaining)
    }

    fn set_blocked(&mut self, team: &TeamName, blocked: bool) {
        if !blocked {
            self.blocked_teams.remove(team);
            self.ready
                .extend(self.blocked_jobs.remove(team).unwrap_or_default());
            return;
        }
        if !self.blocked_teams.insert(team.clone()) {
            return;
        }
        let entries = &self.entries;
        let (blocked_jobs, ready) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(|(_, serial)| entries[serial].team == *team);
        self.ready = ready;
        self.blocked_jobs.insert(team.clone(), blocked_jobs);
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
