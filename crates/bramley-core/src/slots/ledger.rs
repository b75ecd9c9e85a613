//! The ledger of slot rights of one host.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::places::DomainIndex;
use crate::units::{AttemptId, UnixTime};
use crate::worker::WorkerIndex;

use super::rights::{
    LoanedSlot, RightCounts, RightState, SlotAccess, SlotNumber, SlotRight, WorkerRights,
};

/// The ledger of slot rights of one host.
///
/// Idle slots are kept ordered by how busy their worker is with tasks of this host, so that
/// finding the least busy worker takes logarithmic time.
#[derive(Debug, Default)]
pub struct SlotLedger {
    pub(super) workers: Vec<WorkerRights>,
    pub(super) idle_plain: BTreeSet<(u32, WorkerIndex)>,
    pub(super) idle_accelerated: BTreeSet<(u32, WorkerIndex)>,
    pub(super) timers: BTreeMap<UnixTime, SmallVec<[LoanedSlot; 4]>>,
    pub(super) counts: RightCounts,
    /// Counts of each failure domain, by its number.
    pub(super) domain_counts: Vec<RightCounts>,
}

impl SlotLedger {
    /// Returns the counts of rights.
    #[must_use]
    pub const fn counts(&self) -> RightCounts {
        self.counts
    }

    /// Sets a worker's size and which of its slots the division gives to this host.
    ///
    /// Busy and lent slots keep their state; only their ownership changes.
    pub fn set_worker(&mut self, worker: WorkerIndex, accelerators: u32, owned: &[bool]) {
        let position = worker.0 as usize;
        if self.workers.len() <= position {
            self.workers
                .resize_with(position + 1, WorkerRights::default);
        }
        self.unlist(worker);
        let rights = &mut self.workers[position];
        rights.accelerators = accelerators;
        if rights.slots.len() < owned.len() {
            rights.slots.resize(owned.len(), SlotRight::FOREIGN);
        }
        for (number, right) in rights.slots.iter_mut().enumerate() {
            right.owned = owned.get(number).copied().unwrap_or(false);
            match right.state {
                RightState::Foreign if right.is_ours() => right.state = RightState::Idle,
                RightState::Idle if !right.is_ours() => right.state = RightState::Foreign,
                RightState::Foreign
                | RightState::Idle
                | RightState::Busy(_)
                | RightState::Resting(_)
                | RightState::Lent(_, _) => {}
            }
        }
        self.relist(worker);
    }

    /// Returns the counts of rights in the failure domains for which `allows` holds.
    pub fn counts_in(&self, allows: impl Fn(DomainIndex) -> bool) -> RightCounts {
        let mut total = RightCounts::default();
        for (domain, counts) in (0_u32..).zip(&self.domain_counts) {
            if allows(DomainIndex(domain)) {
                total.combine(*counts, u32::saturating_add);
            }
        }
        total
    }

    /// Sets the failure domain of a worker.
    pub fn set_domain(&mut self, worker: WorkerIndex, domain: DomainIndex) {
        self.unlist(worker);
        self.workers[worker.0 as usize].domain = domain;
        self.relist(worker);
    }

    /// Returns the failure domain of a worker.
    #[must_use]
    pub fn domain(&self, worker: WorkerIndex) -> DomainIndex {
        self.workers[worker.0 as usize].domain
    }

    /// Sets how far new tasks may start on a worker.
    pub fn set_access(&mut self, worker: WorkerIndex, access: SlotAccess) {
        if worker.0 as usize >= self.workers.len() {
            return;
        }
        self.unlist(worker);
        self.workers[worker.0 as usize].access = access;
        self.relist(worker);
    }

    /// Returns how far new tasks may start on a worker.
    #[must_use]
    pub fn access(&self, worker: WorkerIndex) -> SlotAccess {
        self.workers
            .get(worker.0 as usize)
            .map_or(SlotAccess::Closed, |rights| rights.access)
    }

    /// Returns the number of tasks of this host that run on a worker.
    #[must_use]
    pub fn busy_on(&self, worker: WorkerIndex) -> u32 {
        self.workers
            .get(worker.0 as usize)
            .map_or(0, |rights| rights.busy)
    }

    /// Returns the usable workers with idle slots, the least busy first.
    pub fn candidates(&self, accelerated: bool) -> impl Iterator<Item = WorkerIndex> {
        let set = if accelerated {
            &self.idle_accelerated
        } else {
            &self.idle_plain
        };
        set.iter().map(|(_, worker)| *worker)
    }

    /// Returns the number of idle slots of one kind on a worker.
    #[must_use]
    pub fn idle_on(&self, worker: WorkerIndex, accelerated: bool) -> u32 {
        let Some(rights) = self.workers.get(worker.0 as usize) else {
            return 0;
        };
        if accelerated {
            rights.idle_accelerated
        } else {
            rights.idle_plain
        }
    }

    /// Occupies idle slots of a worker for an attempt and returns them.
    ///
    /// Returns `None` and changes nothing if too few are idle. A slot whose loan ends before
    /// `needed_until` is passed over.
    pub fn occupy(
        &mut self,
        worker: WorkerIndex,
        accelerated: bool,
        count: u32,
        attempt: AttemptId,
        needed_until: UnixTime,
    ) -> Option<SmallVec<[SlotNumber; 1]>> {
        let rights = self.workers.get(worker.0 as usize)?;
        let mut chosen: SmallVec<[SlotNumber; 1]> = SmallVec::new();
        for (number, right) in (0_u32..).zip(&rights.slots) {
            let kind_fits = (number < rights.accelerators) == accelerated;
            let loan_fits = right
                .loan
                .as_ref()
                .is_none_or(|loan| needed_until <= loan.until);
            if kind_fits && loan_fits && right.state == RightState::Idle {
                chosen.push(SlotNumber(number));
            }
            if chosen.len() == count as usize {
                break;
            }
        }
        if chosen.len() < count as usize {
            return None;
        }
        self.unlist(worker);
        let rights = &mut self.workers[worker.0 as usize];
        for slot in &chosen {
            rights.slots[slot.0 as usize].state = RightState::Busy(attempt);
        }
        self.relist(worker);
        Some(chosen)
    }

    /// Releases the slots of an attempt that has ended.
    ///
    /// They are idle at once, or rest until the stated time if one is given.
    pub fn release(
        &mut self,
        worker: WorkerIndex,
        slots: &[SlotNumber],
        attempt: AttemptId,
        rest_until: Option<UnixTime>,
        now: UnixTime,
    ) {
        self.unlist(worker);
        let rights = &mut self.workers[worker.0 as usize];
        for slot in slots {
            let right = &mut rights.slots[slot.0 as usize];
            if right.state != RightState::Busy(attempt) {
                continue;
            }
            if right.loan.as_ref().is_some_and(|loan| loan.until <= now) {
                right.loan = None;
            }
            if let Some(loan) = &mut right.loan {
                loan.idle_since = now;
            }
            right.state = match (right.is_ours(), rest_until) {
                (false, _) => RightState::Foreign,
                (true, None) => RightState::Idle,
                (true, Some(until)) => {
                    let place = LoanedSlot {
                        worker,
                        slot: *slot,
                    };
                    self.timers.entry(until).or_default().push(place);
                    RightState::Resting(until)
                }
            };
        }
        self.relist(worker);
    }

    /// Ends the rests and loans whose time has come.
    pub fn expire(&mut self, now: UnixTime) {
        while let Some(entry) = self.timers.first_entry() {
            if *entry.key() > now {
                break;
            }
            for place in entry.remove() {
                self.expire_right(place, now);
            }
        }
    }

    fn expire_right(&mut self, place: LoanedSlot, now: UnixTime) {
        self.unlist(place.worker);
        let right = &mut self.workers[place.worker.0 as usize].slots[place.slot.0 as usize];
        let loan_over = right.loan.as_ref().is_some_and(|loan| loan.until <= now);
        if loan_over && !matches!(right.state, RightState::Busy(_)) {
            right.loan = None;
        }
        let time_over = match &right.state {
            RightState::Resting(until) | RightState::Lent(_, until) => *until <= now,
            RightState::Idle => true,
            RightState::Busy(_) | RightState::Foreign => false,
        };
        if time_over {
            right.state = if right.is_ours() {
                RightState::Idle
            } else {
                RightState::Foreign
            };
        }
        self.relist(place.worker);
    }

    /// Returns the time of the first rest or loan to end.
    #[must_use]
    pub fn next_timer(&self) -> Option<UnixTime> {
        self.timers.first_key_value().map(|(time, _)| *time)
    }

    /// Returns the state of a right.
    #[must_use]
    pub fn right_state(&self, place: LoanedSlot) -> Option<&RightState> {
        let rights = self.workers.get(place.worker.0 as usize)?;
        rights
            .slots
            .get(place.slot.0 as usize)
            .map(|right| &right.state)
    }

    pub(super) fn right_mut(&mut self, place: LoanedSlot) -> Option<&mut SlotRight> {
        let rights = self.workers.get_mut(place.worker.0 as usize)?;
        rights.slots.get_mut(place.slot.0 as usize)
    }

    /// Removes a worker from the ordered sets and counts before its rights change.
    pub(super) fn unlist(&mut self, worker: WorkerIndex) {
        let rights = &self.workers[worker.0 as usize];
        self.idle_plain.remove(&(rights.busy, worker));
        self.idle_accelerated.remove(&(rights.busy, worker));
        self.count(worker, |total, part| total - part);
    }

    /// Recounts a worker's rights and enters it into the ordered sets and counts.
    pub(super) fn relist(&mut self, worker: WorkerIndex) {
        let rights = &mut self.workers[worker.0 as usize];
        rights.busy = 0;
        rights.idle_plain = 0;
        rights.idle_accelerated = 0;
        for (number, right) in (0_u32..).zip(&rights.slots) {
            match right.state {
                RightState::Busy(_) => rights.busy += 1,
                RightState::Idle if number < rights.accelerators => rights.idle_accelerated += 1,
                RightState::Idle => rights.idle_plain += 1,
                RightState::Foreign | RightState::Resting(_) | RightState::Lent(_, _) => {}
            }
        }
        match rights.access {
            SlotAccess::Open => {}
            SlotAccess::Probing => {
                let free = 1_u32.saturating_sub(rights.busy);
                rights.idle_plain = rights.idle_plain.min(free);
                rights.idle_accelerated = rights.idle_accelerated.min(free);
            }
            SlotAccess::Closed => {
                rights.idle_plain = 0;
                rights.idle_accelerated = 0;
            }
        }
        if rights.idle_plain > 0 {
            self.idle_plain.insert((rights.busy, worker));
        }
        if rights.idle_accelerated > 0 {
            self.idle_accelerated.insert((rights.busy, worker));
        }
        self.count(worker, |total, part| total + part);
    }

    fn count(&mut self, worker: WorkerIndex, combine: impl Fn(u32, u32) -> u32) {
        let rights = &self.workers[worker.0 as usize];
        let part = rights.counts();
        let domain = rights.domain.0 as usize;
        if self.domain_counts.len() <= domain {
            self.domain_counts
                .resize(domain + 1, RightCounts::default());
        }
        self.counts.combine(part, &combine);
        self.domain_counts[domain].combine(part, &combine);
    }
}
