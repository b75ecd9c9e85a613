//! The ledger of slot rights of one host.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use smallvec::SmallVec;

use crate::names::HostName;
use crate::places::DomainIndex;
use crate::units::{AttemptId, UnixTime};
use crate::worker::WorkerIndex;

/// Number of a slot on its worker, from 0.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct SlotNumber(pub u32);

/// A slot of a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoanedSlot {
    /// Worker.
    pub worker: WorkerIndex,
    /// Slot on the worker.
    pub slot: SlotNumber,
}

/// Who may start a task on a slot, as this host sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RightState {
    /// Another host owns the slot.
    Foreign,
    /// The slot may be used for a start.
    Idle,
    /// The slot runs a task of this host.
    Busy(AttemptId),
    /// The slot rests after a refusal or an unknown outcome.
    Resting(UnixTime),
    /// The slot is lent to another host until the stated time.
    Lent(HostName, UnixTime),
}

/// A borrowed slot's lender and the end of its loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanTerms {
    /// Host that owns the slot.
    pub lender: HostName,
    /// Time from which the owner may use the slot again.
    pub until: UnixTime,
    /// Time at which the slot was last used or received.
    pub idle_since: UnixTime,
}

#[derive(Clone, Debug)]
struct SlotRight {
    state: RightState,
    /// Whether the division gives the slot to this host.
    owned: bool,
    /// Terms if the slot is borrowed.
    loan: Option<LoanTerms>,
}

impl SlotRight {
    const FOREIGN: Self = Self {
        state: RightState::Foreign,
        owned: false,
        loan: None,
    };

    const fn is_ours(&self) -> bool {
        self.owned || self.loan.is_some()
    }
}

/// How far new tasks may start on a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotAccess {
    /// No new task may start.
    #[default]
    Closed,
    /// One task at a time may start, to find out whether the worker is well again.
    Probing,
    /// Tasks may start on all slots.
    Open,
}

#[derive(Clone, Debug, Default)]
struct WorkerRights {
    slots: Vec<SlotRight>,
    accelerators: u32,
    domain: DomainIndex,
    access: SlotAccess,
    busy: u32,
    idle_plain: u32,
    idle_accelerated: u32,
}

/// Counts of rights by state, for heartbeats and dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RightCounts {
    /// Idle slots without an accelerator on usable workers.
    pub idle_plain: u32,
    /// Idle slots with an accelerator on usable workers.
    pub idle_accelerated: u32,
    /// Slots that run a task of this host.
    pub busy: u32,
    /// Slots of usable workers that the division gives to this host.
    pub owned: u32,
    /// Slots lent to other hosts.
    pub lent: u32,
    /// Slots borrowed from other hosts.
    pub borrowed: u32,
}

/// The ledger of slot rights of one host.
///
/// Idle slots are kept ordered by how busy their worker is with tasks of this host, so that
/// finding the least busy worker takes logarithmic time.
#[derive(Debug, Default)]
pub struct SlotLedger {
    workers: Vec<WorkerRights>,
    idle_plain: BTreeSet<(u32, WorkerIndex)>,
    idle_accelerated: BTreeSet<(u32, WorkerIndex)>,
    timers: BTreeMap<UnixTime, SmallVec<[LoanedSlot; 4]>>,
    counts: RightCounts,
    /// Counts of each failure domain, by its number.
    domain_counts: Vec<RightCounts>,
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

    /// Lends up to `count` idle owned slots of one kind and returns them.
    pub fn lend(
        &mut self,
        borrower: &HostName,
        accelerated: bool,
        count: u32,
        until: UnixTime,
    ) -> Vec<LoanedSlot> {
        let mut lent = Vec::new();
        let workers: Vec<WorkerIndex> = self.candidates(accelerated).collect();
        for worker in workers {
            if lent.len() >= count as usize {
                break;
            }
            self.lend_on(worker, borrower, accelerated, count, until, &mut lent);
        }
        lent
    }

    fn lend_on(
        &mut self,
        worker: WorkerIndex,
        borrower: &HostName,
        accelerated: bool,
        count: u32,
        until: UnixTime,
        lent: &mut Vec<LoanedSlot>,
    ) {
        self.unlist(worker);
        let rights = &mut self.workers[worker.0 as usize];
        let open = rights.access == SlotAccess::Open;
        for (number, right) in (0_u32..).zip(rights.slots.iter_mut()) {
            if !open || lent.len() >= count as usize {
                break;
            }
            let kind_fits = (number < rights.accelerators) == accelerated;
            if kind_fits && right.owned && right.state == RightState::Idle {
                right.state = RightState::Lent(borrower.clone(), until);
                let place = LoanedSlot {
                    worker,
                    slot: SlotNumber(number),
                };
                self.timers.entry(until).or_default().push(place);
                lent.push(place);
            }
        }
        self.relist(worker);
    }

    /// Takes a lent slot back before the end of the loan.
    pub fn take_back(&mut self, place: LoanedSlot, borrower: &HostName) {
        let Some(right) = self.right_mut(place) else {
            return;
        };
        if !matches!(&right.state, RightState::Lent(host, _) if host == borrower) {
            return;
        }
        self.unlist(place.worker);
        let right = &mut self.workers[place.worker.0 as usize].slots[place.slot.0 as usize];
        right.state = if right.is_ours() {
            RightState::Idle
        } else {
            RightState::Foreign
        };
        self.relist(place.worker);
    }

    /// Enters a borrowed slot; a slot that is already ours is left alone.
    pub fn borrow_slot(
        &mut self,
        place: LoanedSlot,
        lender: HostName,
        until: UnixTime,
        now: UnixTime,
    ) -> bool {
        let Some(right) = self.right_mut(place) else {
            return false;
        };
        if right.state != RightState::Foreign {
            return false;
        }
        self.unlist(place.worker);
        let right = &mut self.workers[place.worker.0 as usize].slots[place.slot.0 as usize];
        right.loan = Some(LoanTerms {
            lender,
            until,
            idle_since: now,
        });
        right.state = RightState::Idle;
        self.timers.entry(until).or_default().push(place);
        self.relist(place.worker);
        true
    }

    /// Tells whether a borrowed slot has been idle since `idle_before`.
    #[must_use]
    pub fn any_loan_idle_since(&self, idle_before: UnixTime) -> bool {
        if self.counts.borrowed == 0 {
            return false;
        }
        let is_idle = |right: &SlotRight| {
            let loan = right.loan.as_ref();
            right.state == RightState::Idle
                && loan.is_some_and(|loan| loan.idle_since <= idle_before)
        };
        self.workers
            .iter()
            .any(|rights| rights.slots.iter().any(is_idle))
    }

    /// Gives up borrowed slots that have been idle since `idle_before`, by lender.
    pub fn return_idle_loans(
        &mut self,
        idle_before: UnixTime,
    ) -> BTreeMap<HostName, Vec<LoanedSlot>> {
        let mut returned: BTreeMap<HostName, Vec<LoanedSlot>> = BTreeMap::new();
        if self.counts.borrowed == 0 {
            return returned;
        }
        for position in 0..self.workers.len() {
            let worker = WorkerIndex(u32::try_from(position).expect("positions fit"));
            self.return_loans_on(worker, idle_before, &mut returned);
        }
        returned
    }

    fn return_loans_on(
        &mut self,
        worker: WorkerIndex,
        idle_before: UnixTime,
        returned: &mut BTreeMap<HostName, Vec<LoanedSlot>>,
    ) {
        let has_idle_loan = |right: &SlotRight| {
            let idle = right.state == RightState::Idle;
            idle && right
                .loan
                .as_ref()
                .is_some_and(|loan| loan.idle_since <= idle_before)
        };
        if !self.workers[worker.0 as usize]
            .slots
            .iter()
            .any(has_idle_loan)
        {
            return;
        }
        self.unlist(worker);
        for (number, right) in (0_u32..).zip(self.workers[worker.0 as usize].slots.iter_mut()) {
            if !has_idle_loan(right) {
                continue;
            }
            let place = LoanedSlot {
                worker,
                slot: SlotNumber(number),
            };
            if let Some(loan) = right.loan.take() {
                returned.entry(loan.lender).or_default().push(place);
            }
            right.state = if right.owned {
                RightState::Idle
            } else {
                RightState::Foreign
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

    fn right_mut(&mut self, place: LoanedSlot) -> Option<&mut SlotRight> {
        let rights = self.workers.get_mut(place.worker.0 as usize)?;
        rights.slots.get_mut(place.slot.0 as usize)
    }

    /// Removes a worker from the ordered sets and counts before its rights change.
    fn unlist(&mut self, worker: WorkerIndex) {
        let rights = &self.workers[worker.0 as usize];
        self.idle_plain.remove(&(rights.busy, worker));
        self.idle_accelerated.remove(&(rights.busy, worker));
        self.count(worker, |total, part| total - part);
    }

    /// Recounts a worker's rights and enters it into the ordered sets and counts.
    fn relist(&mut self, worker: WorkerIndex) {
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

impl RightCounts {
    fn combine(&mut self, part: Self, combine: impl Fn(u32, u32) -> u32) {
        self.idle_plain = combine(self.idle_plain, part.idle_plain);
        self.idle_accelerated = combine(self.idle_accelerated, part.idle_accelerated);
        self.busy = combine(self.busy, part.busy);
        self.owned = combine(self.owned, part.owned);
        self.lent = combine(self.lent, part.lent);
        self.borrowed = combine(self.borrowed, part.borrowed);
    }
}

impl WorkerRights {
    fn counts(&self) -> RightCounts {
        let mut counts = RightCounts {
            idle_plain: self.idle_plain,
            idle_accelerated: self.idle_accelerated,
            busy: self.busy,
            ..RightCounts::default()
        };
        for right in &self.slots {
            if right.owned && self.access != SlotAccess::Closed {
                counts.owned += 1;
            }
            if matches!(right.state, RightState::Lent(_, _)) {
                counts.lent += 1;
            }
            if right.loan.is_some() {
                counts.borrowed += 1;
            }
        }
        counts
    }
}
