//! First in, first out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use super::{JobOrder, OrderDescriptor, OrderRegistry, QueueEntry, WorkAhead};
use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};

const DESCRIPTOR: OrderDescriptor = OrderDescriptor {
    name: "fifo",
    summary: "Serves jobs in the order of their acceptance.",
    create: || Box::new(FifoOrder::default()),
};

/// Enters the order into a registry.
pub(super) fn register(registry: &mut OrderRegistry) {
    registry.register(DESCRIPTOR);
}

type FifoKey = (UnixTime, TicketSerial);

/// Jobs in the order of their acceptance.
#[derive(Debug, Default)]
struct FifoOrder {
    ready: BTreeSet<FifoKey>,
    parked: BTreeMap<TeamName, BTreeSet<FifoKey>>,
    blocked: FxHashSet<TeamName>,
    entries: FxHashMap<TicketSerial, QueueEntry>,
    backlog: Duration,
}

impl JobOrder for FifoOrder {
    fn insert(&mut self, entry: QueueEntry) {
        let key = (entry.submitted, entry.serial);
        if self.blocked.contains(&entry.team) {
            self.parked
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
        if let Some(parked) = self.parked.get_mut(&entry.team) {
            parked.remove(&key);
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
        WorkAhead::OfAll(self.backlog + entry.remaining)
    }

    fn set_blocked(&mut self, team: &TeamName, blocked: bool) {
        if !blocked {
            self.blocked.remove(team);
            self.ready
                .extend(self.parked.remove(team).unwrap_or_default());
            return;
        }
        if !self.blocked.insert(team.clone()) {
            return;
        }
        let entries = &self.entries;
        let (parked, ready) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(|(_, serial)| entries[serial].team == *team);
        self.ready = ready;
        self.parked.insert(team.clone(), parked);
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
