//! Lending of idle slots to other hosts and borrowing from them.

use std::collections::BTreeMap;

use crate::names::HostName;
use crate::units::UnixTime;
use crate::worker::WorkerIndex;

use super::ledger::SlotLedger;
use super::rights::{LoanTerms, LoanedSlot, RightState, SlotAccess, SlotNumber, SlotRight};

impl SlotLedger {
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
}
