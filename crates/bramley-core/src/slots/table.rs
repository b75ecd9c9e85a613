//! Table of worker slots as seen by one entry host.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::places::DomainIndex;
use crate::units::{AttemptId, UnixTime};
use crate::worker::WorkerIndex;

use super::state::{SlotAccess, SlotCounts, SlotEntry, SlotId, SlotNumber, SlotState, WorkerSlots};

/// State of every worker slot as seen by this host.
///
/// Workers with idle slots are indexed by the number of slots that this host occupies on them, so
/// that the least busy worker is found in logarithmic time.
#[derive(Debug, Default)]
pub struct SlotTable {
    pub(super) workers: Vec<WorkerSlots>,
    pub(super) idle_plain: BTreeSet<(u32, WorkerIndex)>,
    pub(super) idle_accelerated: BTreeSet<(u32, WorkerIndex)>,
    pub(super) timers: BTreeMap<UnixTime, SmallVec<[SlotId; 4]>>,
    pub(super) counts: SlotCounts,
    /// Slot counts per failure domain, indexed by [`DomainIndex`].
    pub(super) domain_counts: Vec<SlotCounts>,
}

impl SlotTable {
    /// Returns the slot counts over all failure domains.
    #[must_use]
    pub const fn counts(&self) -> SlotCounts {
        self.counts
    }

    /// Sets the number of accelerators of a worker and which of its slots this host owns.
    ///
    /// Busy and lent slots keep their state; only their ownership changes.
    pub fn set_worker(&mut self, worker: WorkerIndex, accelerators: u32, owned: &[bool]) {
        let position = worker.0 as usize;
        if self.workers.len() <= position {
            self.workers.resize_with(position + 1, WorkerSlots::default);
        }
        self.unindex_worker(worker);
        let worker_slots = &mut self.workers[position];
        worker_slots.accelerators = accelerators;
        if worker_slots.slots.len() < owned.len() {
            worker_slots.slots.resize(owned.len(), SlotEntry::NOT_HELD);
        }
        for (number, entry) in worker_slots.slots.iter_mut().enumerate() {
            entry.owned = owned.get(number).copied().unwrap_or(false);
            match entry.state {
                SlotState::NotHeld if entry.is_held() => entry.state = SlotState::Idle,
                SlotState::Idle if !entry.is_held() => entry.state = SlotState::NotHeld,
                SlotState::NotHeld
                | SlotState::Idle
                | SlotState::Busy(_)
                | SlotState::CoolingDown(_)
                | SlotState::Lent(_, _) => {}
            }
        }
        self.reindex_worker(worker);
    }

    /// Returns the slot counts summed over the failure domains for which `allows` returns `true`.
    pub fn counts_in(&self, allows: impl Fn(DomainIndex) -> bool) -> SlotCounts {
        let mut total = SlotCounts::default();
        for (domain, counts) in (0_u32..).zip(&self.domain_counts) {
            if allows(DomainIndex(domain)) {
                total.combine(*counts, u32::saturating_add);
            }
        }
        total
    }

    /// Sets the failure domain of a worker.
    pub fn set_domain(&mut self, worker: WorkerIndex, domain: DomainIndex) {
        self.unindex_worker(worker);
        self.workers[worker.0 as usize].domain = domain;
        self.reindex_worker(worker);
    }

    /// Returns the failure domain of a worker.
    #[must_use]
    pub fn domain(&self, worker: WorkerIndex) -> DomainIndex {
        self.workers[worker.0 as usize].domain
    }

    /// Sets whether new tasks may start on a worker.
    pub fn set_access(&mut self, worker: WorkerIndex, access: SlotAccess) {
        if worker.0 as usize >= self.workers.len() {
            return;
        }
        self.unindex_worker(worker);
        self.workers[worker.0 as usize].access = access;
        self.reindex_worker(worker);
    }

    /// Returns whether new tasks may start on a worker.
    #[must_use]
    pub fn access(&self, worker: WorkerIndex) -> SlotAccess {
        self.workers
            .get(worker.0 as usize)
            .map_or(SlotAccess::Closed, |worker_slots| worker_slots.access)
    }

    /// Returns the number of slots of a worker that run tasks of this host.
    #[must_use]
    pub fn busy_slots_on(&self, worker: WorkerIndex) -> u32 {
        self.workers
            .get(worker.0 as usize)
            .map_or(0, |worker_slots| worker_slots.busy)
    }

    /// Returns the workers that have idle slots and accept tasks, least busy first.
    pub fn candidates(&self, accelerated: bool) -> impl Iterator<Item = WorkerIndex> {
        let set = if accelerated {
            &self.idle_accelerated
        } else {
            &self.idle_plain
        };
        set.iter().map(|(_, worker)| *worker)
    }

    /// Returns the number of idle slots on a worker, with or without an accelerator.
    #[must_use]
    pub fn idle_slots_on(&self, worker: WorkerIndex, accelerated: bool) -> u32 {
        let Some(worker_slots) = self.workers.get(worker.0 as usize) else {
            return 0;
        };
        if accelerated {
            worker_slots.idle_accelerated
        } else {
            worker_slots.idle_plain
        }
    }

    /// Occupies idle slots of a worker for an attempt and returns them.
    ///
    /// Returns `None` and changes nothing if fewer than `count` slots qualify. Borrowed slots whose
    /// loan ends before `needed_until` are skipped.
    pub fn occupy(
        &mut self,
        worker: WorkerIndex,
        accelerated: bool,
        count: u32,
        attempt: AttemptId,
        needed_until: UnixTime,
    ) -> Option<SmallVec<[SlotNumber; 1]>> {
        let worker_slots = self.workers.get(worker.0 as usize)?;
        let mut chosen: SmallVec<[SlotNumber; 1]> = SmallVec::new();
        for (number, entry) in (0_u32..).zip(&worker_slots.slots) {
            let kind_matches = (number < worker_slots.accelerators) == accelerated;
            let loan_covers = entry
                .loan
                .as_ref()
                .is_none_or(|loan| needed_until <= loan.until);
            if kind_matches && loan_covers && entry.state == SlotState::Idle {
                chosen.push(SlotNumber(number));
            }
            if chosen.len() == count as usize {
                break;
            }
        }
        if chosen.len() < count as usize {
            return None;
        }
        self.unindex_worker(worker);
        let worker_slots = &mut self.workers[worker.0 as usize];
        for slot in &chosen {
            worker_slots.slots[slot.0 as usize].state = SlotState::Busy(attempt);
        }
        self.reindex_worker(worker);
        Some(chosen)
    }

    /// Releases the slots of an attempt that has ended.
    ///
    /// The slots become idle at once, or stay unused until `cooldown_until` if it is given.
    pub fn release(
        &mut self,
        worker: WorkerIndex,
        slots: &[SlotNumber],
        attempt: AttemptId,
        cooldown_until: Option<UnixTime>,
        now: UnixTime,
    ) {
        self.unindex_worker(worker);
        let worker_slots = &mut self.workers[worker.0 as usize];
        for slot in slots {
            let entry = &mut worker_slots.slots[slot.0 as usize];
            if entry.state != SlotState::Busy(attempt) {
                continue;
            }
            if entry.loan.as_ref().is_some_and(|loan| loan.until <= now) {
                entry.loan = None;
            }
            if let Some(loan) = &mut entry.loan {
                loan.idle_since = now;
            }
            entry.state = match (entry.is_held(), cooldown_until) {
                (false, _) => SlotState::NotHeld,
                (true, None) => SlotState::Idle,
                (true, Some(until)) => {
                    let slot_id = SlotId {
                        worker,
                        slot: *slot,
                    };
                    self.timers.entry(until).or_default().push(slot_id);
                    SlotState::CoolingDown(until)
                }
            };
        }
        self.reindex_worker(worker);
    }

    /// Ends the cooldowns and loans that are due at `now`.
    pub fn expire(&mut self, now: UnixTime) {
        while let Some(entry) = self.timers.first_entry() {
            if *entry.key() > now {
                break;
            }
            for slot_id in entry.remove() {
                self.expire_slot(slot_id, now);
            }
        }
    }

    fn expire_slot(&mut self, slot_id: SlotId, now: UnixTime) {
        self.unindex_worker(slot_id.worker);
        let entry = &mut self.workers[slot_id.worker.0 as usize].slots[slot_id.slot.0 as usize];
        let loan_expired = entry.loan.as_ref().is_some_and(|loan| loan.until <= now);
        if loan_expired && !matches!(entry.state, SlotState::Busy(_)) {
            entry.loan = None;
        }
        let expired = match &entry.state {
            SlotState::CoolingDown(until) | SlotState::Lent(_, until) => *until <= now,
            SlotState::Idle => true,
            SlotState::Busy(_) | SlotState::NotHeld => false,
        };
        if expired {
            entry.state = if entry.is_held() {
                SlotState::Idle
            } else {
                SlotState::NotHeld
            };
        }
        self.reindex_worker(slot_id.worker);
    }

    /// Returns the earliest end of a cooldown or loan.
    #[must_use]
    pub fn next_timer(&self) -> Option<UnixTime> {
        self.timers.first_key_value().map(|(time, _)| *time)
    }

    /// Returns the state of a slot.
    #[must_use]
    pub fn slot_state(&self, slot_id: SlotId) -> Option<&SlotState> {
        let worker_slots = self.workers.get(slot_id.worker.0 as usize)?;
        worker_slots
            .slots
            .get(slot_id.slot.0 as usize)
            .map(|entry| &entry.state)
    }

    pub(super) fn slot_mut(&mut self, slot_id: SlotId) -> Option<&mut SlotEntry> {
        let worker_slots = self.workers.get_mut(slot_id.worker.0 as usize)?;
        worker_slots.slots.get_mut(slot_id.slot.0 as usize)
    }

    /// Removes a worker from the idle indexes and the counts; call before its slots change.
    pub(super) fn unindex_worker(&mut self, worker: WorkerIndex) {
        let worker_slots = &self.workers[worker.0 as usize];
        self.idle_plain.remove(&(worker_slots.busy, worker));
        self.idle_accelerated.remove(&(worker_slots.busy, worker));
        self.update_counts(worker, |total, count| total - count);
    }

    /// Recounts a worker's slots and adds it to the idle indexes and the counts.
    pub(super) fn reindex_worker(&mut self, worker: WorkerIndex) {
        let worker_slots = &mut self.workers[worker.0 as usize];
        worker_slots.busy = 0;
        worker_slots.idle_plain = 0;
        worker_slots.idle_accelerated = 0;
        for (number, entry) in (0_u32..).zip(&worker_slots.slots) {
            match entry.state {
                SlotState::Busy(_) => worker_slots.busy += 1,
                SlotState::Idle if number < worker_slots.accelerators => {
                    worker_slots.idle_accelerated += 1
                }
                SlotState::Idle => worker_slots.idle_plain += 1,
                SlotState::NotHeld | SlotState::CoolingDown(_) | SlotState::Lent(_, _) => {}
            }
        }
        match worker_slots.access {
            SlotAccess::Open => {}
            SlotAccess::Probing => {
                let free = 1_u32.saturating_sub(worker_slots.busy);
                worker_slots.idle_plain = worker_slots.idle_plain.min(free);
                worker_slots.idle_accelerated = worker_slots.idle_accelerated.min(free);
            }
            SlotAccess::Closed => {
                worker_slots.idle_plain = 0;
                worker_slots.idle_accelerated = 0;
            }
        }
        if worker_slots.idle_plain > 0 {
            self.idle_plain.insert((worker_slots.busy, worker));
        }
        if worker_slots.idle_accelerated > 0 {
            self.idle_accelerated.insert((worker_slots.busy, worker));
        }
        self.update_counts(worker, |total, count| total + count);
    }

    fn update_counts(&mut self, worker: WorkerIndex, combine: impl Fn(u32, u32) -> u32) {
        let worker_slots = &self.workers[worker.0 as usize];
        let worker_counts = worker_slots.counts();
        let domain = worker_slots.domain.0 as usize;
        if self.domain_counts.len() <= domain {
            self.domain_counts.resize(domain + 1, SlotCounts::default());
        }
        self.counts.combine(worker_counts, &combine);
        self.domain_counts[domain].combine(worker_counts, &combine);
    }
}
