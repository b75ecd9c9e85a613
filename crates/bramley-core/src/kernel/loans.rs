//! Lending and borrowing of idle slots between hosts.
//!
//! Starts are always made by the owner of the ticket: a busy host borrows slots, it does not hand
//! its tasks on. Borrowing across failure domains is the overflow between them.

use std::cmp::Reverse;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::names::HostName;
use crate::slots::{SlotId, SlotNumber};
use crate::units::UnixTime;

use super::DispatchKernel;
use super::action::KernelAction;
use super::event::{LoanReply, LoanRequest, NamedSlot, PeerView};
use super::places::PlaceDemand;
use super::waiting::SlotDemand;

/// Loan requests that may be under way at once.
const MAX_PENDING_REQUESTS: usize = 2;

/// Slots asked for in one request at most.
const MAX_SLOTS_PER_REQUEST: u32 = 64;

/// Wait before a host that lent nothing is asked again.
const EMPTY_REPLY_WAIT: Duration = Duration::from_millis(300);

/// Expected wait of the queue from which borrowing is worth its messages.
const MIN_BORROW_WAIT: Duration = Duration::from_millis(100);

/// Time without an empty queue after which slots are borrowed whatever wait is expected.
const MAX_QUEUE_PATIENCE: Duration = Duration::from_millis(500);

/// Slots asked for in one request at least.
const MIN_SLOTS_PER_REQUEST: u32 = 8;

/// Largest number of idle slots that a peer must report to be asked.
const MAX_LENDER_IDLE_FLOOR: u32 = 8;

/// Part of the own share, as one over this number, that a peer must report idle to be asked.
const LENDER_IDLE_DIVISOR: u32 = 6;

/// Wait for an answer to a loan request.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Credit that one loan request costs.
const REQUEST_COST: u64 = 1_000;

/// Credit that each start brings: five requests for every thousand starts.
const CREDIT_PER_START: u64 = 5;

/// Credit that each second brings, so that a host that starts little can borrow too.
const CREDIT_PER_SECOND: u64 = 1_000;

/// Largest credit.
const MAX_CREDIT: u64 = 16 * REQUEST_COST;

/// Bounds loan requests to a share of the starts, whatever the number of hosts.
#[derive(Debug)]
struct LoanBudget {
    credit: u64,
    counted_starts: u64,
    refilled_at: Option<UnixTime>,
}

impl Default for LoanBudget {
    fn default() -> Self {
        Self {
            credit: MAX_CREDIT,
            counted_starts: 0,
            refilled_at: None,
        }
    }
}

impl LoanBudget {
    fn refill(&mut self, starts: u64, now: UnixTime) {
        let fresh = starts.saturating_sub(self.counted_starts);
        self.counted_starts = starts;
        let refilled_at = *self.refilled_at.get_or_insert(now);
        let elapsed = now.since(refilled_at);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let of_time = millis.saturating_mul(CREDIT_PER_SECOND) / 1_000;
        self.refilled_at = Some(refilled_at.after(Duration::from_millis(millis)));
        let of_starts = fresh.saturating_mul(CREDIT_PER_START);
        let credit = self
            .credit
            .saturating_add(of_time)
            .saturating_add(of_starts);
        self.credit = credit.min(MAX_CREDIT);
    }

    const fn allows_request(&self) -> bool {
        self.credit >= REQUEST_COST
    }

    const fn spend(&mut self) {
        self.credit = self.credit.saturating_sub(REQUEST_COST);
    }
}

/// Loan requests under way and waits between them.
#[derive(Debug, Default)]
pub struct LoanDesk {
    pending: FxHashMap<HostName, UnixTime>,
    ask_again: FxHashMap<HostName, UnixTime>,
    patience: QueuePatience,
    budget: LoanBudget,
}

/// How long tasks have waited without a break.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum QueuePatience {
    /// No task waits.
    #[default]
    Idle,
    /// Tasks wait; borrowing is worthwhile from the stated time.
    Until(UnixTime),
    /// Tasks have waited long enough.
    Over,
}

impl QueuePatience {
    fn advance(self, tasks_wait: bool, now: UnixTime) -> Self {
        match self {
            _ if !tasks_wait => Self::Idle,
            Self::Idle => Self::Until(now.after(MAX_QUEUE_PATIENCE)),
            Self::Until(time) if time <= now => Self::Over,
            Self::Until(_) | Self::Over => self,
        }
    }
}

/// Returns the number of a peer's idle slots of the kinds in demand.
const fn usable_idle(peer: &PeerView, demand: SlotDemand) -> u32 {
    let plain = if demand.plain > 0 { peer.idle_slots } else { 0 };
    let accelerated = if demand.accelerated > 0 {
        peer.idle_accelerator_slots
    } else {
        0
    };
    plain.saturating_add(accelerated)
}

impl LoanDesk {
    fn may_ask(&self, host: &HostName, now: UnixTime) -> bool {
        let waiting = self
            .pending
            .get(host)
            .is_some_and(|answer_by| *answer_by > now);
        let resting = self.ask_again.get(host).is_some_and(|time| *time > now);
        !waiting && !resting
    }

    fn pending_requests(&self, now: UnixTime) -> usize {
        self.pending
            .values()
            .filter(|answer_by| **answer_by > now)
            .count()
    }

    /// Returns the time at which another request may be worthwhile.
    pub fn next_wakeup(&self) -> Option<UnixTime> {
        let patience = match self.patience {
            QueuePatience::Until(time) => Some(time),
            QueuePatience::Idle | QueuePatience::Over => None,
        };
        let ask_again = self.ask_again.values().min().copied();
        ask_again.into_iter().chain(patience).min()
    }
}

impl DispatchKernel {
    /// Asks other hosts for slots while tasks wait and no slot is idle.
    pub(super) fn ask_for_loans(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        self.loans.ask_again.retain(|_, time| *time > now);
        let mut unmet = self.unmet_demands();
        self.loans.patience = self.loans.patience.advance(!unmet.is_empty(), now);
        if unmet.is_empty() {
            return;
        }
        let slow = unmet.iter().any(|part| self.is_slow(part));
        if !slow && self.loans.patience != QueuePatience::Over {
            return;
        }
        for part in &mut unmet {
            if part.demand.plain > 0 {
                part.demand.plain = part.demand.plain.max(MIN_SLOTS_PER_REQUEST);
            }
        }
        self.loans.budget.refill(self.counters.starts, now);
        while self.loans.budget.allows_request()
            && self.loans.pending_requests(now) < MAX_PENDING_REQUESTS
        {
            let Some(lender) = self.best_lender(&unmet, now) else {
                break;
            };
            let domain = self.fleet.peers()[lender].domain.clone();
            let demand = self.demand_in(&unmet, &domain);
            let peer = &mut self.fleet.peers_mut()[lender];
            let plain = demand.plain.min(peer.idle_slots).min(MAX_SLOTS_PER_REQUEST);
            let accelerated = demand
                .accelerated
                .min(peer.idle_accelerator_slots)
                .min(MAX_SLOTS_PER_REQUEST);
            // What was asked for is no longer counted as idle until the next heartbeat.
            peer.idle_slots -= plain;
            peer.idle_accelerator_slots -= accelerated;
            let host = peer.host.clone();
            let asked = SlotDemand { plain, accelerated };
            self.settle_demands(&mut unmet, &domain, asked);
            self.loans
                .pending
                .insert(host.clone(), now.after(ANSWER_WAIT));
            self.counters.loan_requests += 1;
            self.loans.budget.spend();
            actions.push(KernelAction::AskLoan {
                lender: host,
                plain,
                accelerated,
            });
        }
    }

    /// Returns the number of idle slots that a peer must report to be asked.
    ///
    /// Few idle slots are mostly taken by the time of the request, which is then wasted.
    fn lender_idle_floor(&self) -> u32 {
        let share = self.slots.counts().owned;
        (share / LENDER_IDLE_DIVISOR).clamp(1, MAX_LENDER_IDLE_FLOOR)
    }

    /// Tells whether the slots at hand run the waiting tasks of a place so late that borrowing is
    /// worth its messages.
    fn is_slow(&self, part: &PlaceDemand) -> bool {
        let counts = self.counts_at(part.place);
        let slots = counts.owned.saturating_add(counts.borrowed);
        let tasks = part.demand.plain.saturating_add(part.demand.accelerated);
        slots == 0 || self.drain_time(tasks as usize, slots) >= MIN_BORROW_WAIT
    }

    /// Returns the number of idle slots that a peer must report to be asked for these demands.
    fn floor_for(&self, unmet: &[PlaceDemand], peer: &PeerView) -> u32 {
        for part in unmet {
            let lacks = part.demand != SlotDemand::default();
            if !lacks || !self.places.allows_name(part.place, &peer.domain) {
                continue;
            }
            // A few slots are worth asking for where the host has none of its own.
            let outside = !self.places.allows_name(part.place, &self.identity.domain);
            if outside || part.demand.accelerated > 0 {
                return 1;
            }
        }
        self.lender_idle_floor()
    }

    /// Picks the reachable peer with most idle slots that meet the demands, in the own failure
    /// domain if possible.
    fn best_lender(&self, unmet: &[PlaceDemand], now: UnixTime) -> Option<usize> {
        let mut best: Option<(usize, (bool, u32))> = None;
        for (position, peer) in self.fleet.peers().iter().enumerate() {
            if !peer.reachable || !self.loans.may_ask(&peer.host, now) {
                continue;
            }
            let idle = usable_idle(peer, self.demand_in(unmet, &peer.domain));
            if idle < self.floor_for(unmet, peer) {
                continue;
            }
            let score = (peer.domain == self.identity.domain, idle);
            if best.is_none_or(|(_, best_score)| score > best_score) {
                best = Some((position, score));
            }
        }
        best.map(|(position, _)| position)
    }

    /// Lends idle slots to another host, at most half of what is idle here.
    pub(super) fn on_loan_asked(
        &mut self,
        request: &LoanRequest,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let until = now.after(self.settings.loan_term);
        let counts = self.slots.counts();
        let demand = self.own_demand();
        let mut lent = Vec::new();
        if demand.plain == 0 && !self.draining {
            let plain = request.plain.min(counts.idle_plain.div_ceil(2));
            lent.extend(self.slots.lend(&request.borrower, false, plain, until));
        }
        if demand.accelerated == 0 && !self.draining {
            let accelerated = request.accelerated.min(counts.idle_accelerated.div_ceil(2));
            lent.extend(self.slots.lend(&request.borrower, true, accelerated, until));
        }
        self.counters.lent_slots += lent.len() as u64;
        let slots = self.named_slots(&lent);
        actions.push(KernelAction::GrantLoan {
            token: request.token,
            slots,
            until,
        });
    }

    /// Enters slots that another host lent.
    pub(super) fn on_loan_answered(&mut self, reply: LoanReply, now: UnixTime) {
        self.loans.pending.remove(&reply.lender);
        let wait = if reply.slots.is_empty() {
            EMPTY_REPLY_WAIT
        } else {
            self.settings.loan_request_interval
        };
        self.loans
            .ask_again
            .insert(reply.lender.clone(), now.after(wait));
        if reply.until <= now {
            return;
        }
        for slot in &reply.slots {
            let Some(slot_id) = self.find_slot(slot) else {
                continue;
            };
            if self
                .slots
                .borrow_slot(slot_id, reply.lender.clone(), reply.until, now)
            {
                self.counters.borrowed_slots += 1;
            }
        }
    }

    /// Takes back slots before the end of their loan.
    pub(super) fn on_loan_returned(&mut self, borrower: &HostName, slots: &[NamedSlot]) {
        for slot in slots {
            if let Some(slot_id) = self.find_slot(slot) {
                self.slots.reclaim(slot_id, borrower);
            }
        }
    }

    /// Gives all idle borrowed slots back once one of them has been idle for a while.
    ///
    /// One slot that idles shows that the others are not needed either, and giving them back
    /// together takes one message for each lender.
    pub(super) fn return_idle_loans(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        let idle_before = now.before(self.settings.loan_idle_limit);
        if !self.slots.any_loan_idle_since(idle_before) {
            return;
        }
        for (lender, slot_ids) in self.slots.return_idle_loans(now) {
            let slots = self.named_slots(&slot_ids);
            actions.push(KernelAction::ReturnLoan { lender, slots });
        }
    }

    fn named_slots(&self, slot_ids: &[SlotId]) -> Vec<NamedSlot> {
        let mut slots = Vec::with_capacity(slot_ids.len());
        for slot_id in slot_ids {
            let worker = self.workers.get(slot_id.worker).name.clone();
            slots.push(NamedSlot {
                worker,
                slot: slot_id.slot.0,
            });
        }
        slots
    }

    fn find_slot(&self, slot: &NamedSlot) -> Option<SlotId> {
        let worker = self.workers.find(slot.worker.as_str())?;
        Some(SlotId {
            worker,
            slot: SlotNumber(slot.slot),
        })
    }

    /// Returns the hosts that could be asked for slots, the most idle last, for dumps.
    pub(super) fn lenders(&self) -> Vec<(HostName, u32)> {
        let mut lenders: Vec<(HostName, u32)> = self
            .fleet
            .peers()
            .iter()
            .map(|peer| (peer.host.clone(), peer.idle_slots))
            .collect();
        lenders.sort_by_key(|(host, idle)| (Reverse(*idle), host.clone()));
        lenders
    }
}
