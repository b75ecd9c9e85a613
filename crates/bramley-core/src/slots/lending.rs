//! Lends idle slots to other hosts and records borrowed slots.

use std::collections::BTreeMap;

use crate::names::HostName;
use crate::units::UnixTime;
use crate::worker::WorkerIndex;

use super::state::{LoanTerms, SlotAccess, SlotEntry, SlotId, SlotNumber, SlotState};
use super::table::SlotTable;

impl SlotTable {
    /// Lends up to `count` idle owned slots, with or without an accelerator, and returns them.
    pub fn lend(
        &mut self,
        borrower: &HostName,
        accelerated: bool,
        count: u32,
        until: UnixTime,
    ) -> Vec<SlotId> {
        let mut lent = Vec::new();
        let workers: Vec<WorkerIndex> = self.candidates(accelerated).collect();
        for worker in workers {
            if lent.len() >= count as usize {
                break;
            }
            self.lend_from_worker(worker, borrower, accelerated, count, until, &mut lent);
        }
        lent
    }

    fn lend_from_worker(
        &mut self,
        worker: WorkerIndex,
        borrower: &HostName,
        accelerated: bool,
        count: u32,
        until: UnixTime,
        lent: &mut Vec<SlotId>,
    ) {
        self.unindex_worker(worker);
        let worker_slots = &mut self.workers[worker.0 as usize];
        let open = worker_slots.access == SlotAccess::Open;
        for (number, entry) in (0_u32..).zip(worker_slots.slots.iter_mut()) {
            if !open || lent.len() >= count as usize {
                break;
            }
            let kind_matches = (number < worker_slots.accelerators) == accelerated;
            if kind_matches && entry.owned && entry.state == SlotState::Idle {
                entry.state = SlotState::Lent(borrower.clone(), until);
                let slot_id = SlotId {
                    worker,
                    slot: SlotNumber(number),
                };
                self.timers.entry(until).or_default().push(slot_id);
                lent.push(slot_id);
            }
        }
        self.reindex_worker(worker);
    }

    /// Ends the loan of a lent slot early.
    pub fn reclaim(&mut self, slot_id: SlotId, borrower: &HostName) {
        let Some(entry) = self.slot_mut(slot_id) else {
            return;
        };
        if !matches!(&entry.state, SlotState::Lent(host, _) if host == borrower) {
            return;
        }
        self.unindex_worker(slot_id.worker);
        let entry = &mut self.workers[slot_id.worker.0 as usize].slots[slot_id.slot.0 as usize];
        entry.state = if entry.is_held() {
            SlotState::Idle
        } else {
            SlotState::NotHeld
        };
        self.reindex_worker(slot_id.worker);
    }

    /// Records a slot borrowed until `until`.
    ///
    /// Returns `false` and changes nothing if the slot is unknown or this host already holds it.
    pub fn borrow_slot(
        &mut self,
        slot_id: SlotId,
        lender: HostName,
        until: UnixTime,
        now: UnixTime,
    ) -> bool {
        let Some(entry) = self.slot_mut(slot_id) else {
            return false;
        };
        if entry.state != SlotState::NotHeld {
            return false;
        }
        self.unindex_worker(slot_id.worker);
        let entry = &mut self.workers[slot_id.worker.0 as usize].slots[slot_id.slot.0 as usize];
        entry.loan = Some(LoanTerms {
            lender,
            until,
            idle_since: now,
        });
        entry.state = SlotState::Idle;
        self.timers.entry(until).or_default().push(slot_id);
        self.reindex_worker(slot_id.worker);
        true
    }

    /// Returns whether any borrowed slot has been idle since `idle_before` or earlier.
    #[must_use]
    pub fn any_loan_idle_since(&self, idle_before: UnixTime) -> bool {
        if self.counts.borrowed == 0 {
            return false;
        }
        let is_idle = |entry: &SlotEntry| {
            let loan = entry.loan.as_ref();
            entry.state == SlotState::Idle
                && loan.is_some_and(|loan| loan.idle_since <= idle_before)
        };
        self.workers
            .iter()
            .any(|worker_slots| worker_slots.slots.iter().any(is_idle))
    }

    /// Ends the loans of all borrowed slots that have been idle since `idle_before` or earlier, and
    /// returns those slots by lender.
    pub fn return_idle_loans(&mut self, idle_before: UnixTime) -> BTreeMap<HostName, Vec<SlotId>> {
        let mut returned: BTreeMap<HostName, Vec<SlotId>> = BTreeMap::new();
        if self.counts.borrowed == 0 {
            return returned;
        }
        for position in 0..self.workers.len() {
            let worker = WorkerIndex(u32::try_from(position).expect("fewer than 2^32 workers"));
            self.return_loans_of_worker(worker, idle_before, &mut returned);
        }
        returned
    }

    fn return_loans_of_worker(
        &mut self,
        worker: WorkerIndex,
        idle_before: UnixTime,
        returned: &mut BTreeMap<HostName, Vec<SlotId>>,
    ) {
        let has_idle_loan = |entry: &SlotEntry| {
            let idle = entry.state == SlotState::Idle;
            idle && entry
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
        self.unindex_worker(worker);
        for (number, entry) in (0_u32..).zip(self.workers[worker.0 as usize].slots.iter_mut()) {
            if !has_idle_loan(entry) {
                continue;
            }
            let slot_id = SlotId {
                worker,
                slot: SlotNumber(number),
            };
            if let Some(loan) = entry.loan.take() {
                returned.entry(loan.lender).or_default().push(slot_id);
            }
            entry.state = if entry.owned {
                SlotState::Idle
            } else {
                SlotState::NotHeld
            };
        }
        self.reindex_worker(worker);
    }
}
