//! Lending and borrowing of idle slots between hosts.
//!
//! Tasks are always started by the host that owns the ticket: a busy host borrows slots instead of
//! forwarding tasks. Borrowing from other failure domains is how load overflows between them.

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

/// Maximum number of concurrent loan requests.
const MAX_PENDING_REQUESTS: usize = 2;

/// Maximum number of slots of each kind per request.
const MAX_SLOTS_PER_REQUEST: u32 = 64;

/// Time before another request to a host that lent nothing.
const EMPTY_REPLY_BACKOFF: Duration = Duration::from_millis(300);

/// Expected queue wait from which borrowing justifies its messages.
const MIN_BORROW_WAIT: Duration = Duration::from_millis(100);

/// Duration of unmet demand after which slots are borrowed regardless of the expected wait.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum number of slots without an accelerator per request.
const MIN_SLOTS_PER_REQUEST: u32 = 8;

/// Upper bound of the number of idle slots that a peer must report to receive a request.
const MAX_LENDER_MIN_IDLE: u32 = 8;

/// Divisor of the number of owned slots that gives the idle slots a peer must report to receive a
/// request.
const LENDER_IDLE_DIVISOR: u32 = 6;

/// Timeout of a loan request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Cost of one loan request, in credit units.
const REQUEST_COST: u64 = 1_000;

/// Credit per start, which allows five requests per thousand starts.
const CREDIT_PER_START: u64 = 5;

/// Credit per second, so that a host with few starts can also borrow.
const CREDIT_PER_SECOND: u64 = 1_000;

/// Maximum credit.
const MAX_CREDIT: u64 = 16 * REQUEST_COST;

/// Token bucket that limits loan requests in proportion to starts, regardless of the number of hosts.
#[derive(Debug)]
struct LoanBudget {
    credit: u64,
    /// Number of starts at the last refill.
    last_starts: u64,
    refilled_at: Option<UnixTime>,
}

impl Default for LoanBudget {
    fn default() -> Self {
        Self {
            credit: MAX_CREDIT,
            last_starts: 0,
            refilled_at: None,
        }
    }
}

impl LoanBudget {
    fn refill(&mut self, starts: u64, now: UnixTime) {
        let new_starts = starts.saturating_sub(self.last_starts);
        self.last_starts = starts;
        let refilled_at = *self.refilled_at.get_or_insert(now);
        let elapsed = now.since(refilled_at);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let time_credit = millis.saturating_mul(CREDIT_PER_SECOND) / 1_000;
        self.refilled_at = Some(refilled_at.after(Duration::from_millis(millis)));
        let start_credit = new_starts.saturating_mul(CREDIT_PER_START);
        let credit = self
            .credit
            .saturating_add(time_credit)
            .saturating_add(start_credit);
        self.credit = credit.min(MAX_CREDIT);
    }

    const fn allows_request(&self) -> bool {
        self.credit >= REQUEST_COST
    }

    const fn spend(&mut self) {
        self.credit = self.credit.saturating_sub(REQUEST_COST);
    }
}

/// Pending loan requests and backoff per lender.
#[derive(Debug, Default)]
pub struct LoanRequestTracker {
    /// Hosts with a pending request and its timeout.
    pending: FxHashMap<HostName, UnixTime>,
    /// Hosts that must not receive another request before the given time.
    backoff_until: FxHashMap<HostName, UnixTime>,
    backlog_timer: BacklogTimer,
    budget: LoanBudget,
}

/// Tracks for how long demand has been unmet without interruption.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum BacklogTimer {
    /// There is no unmet demand.
    #[default]
    Idle,
    /// Demand is unmet; the timer expires at the given time.
    Running(UnixTime),
    /// Demand has been unmet for [`BACKLOG_TIMEOUT`].
    Expired,
}

impl BacklogTimer {
    fn advance(self, has_unmet_demand: bool, now: UnixTime) -> Self {
        match self {
            _ if !has_unmet_demand => Self::Idle,
            Self::Idle => Self::Running(now.after(BACKLOG_TIMEOUT)),
            Self::Running(time) if time <= now => Self::Expired,
            Self::Running(_) | Self::Expired => self,
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

impl LoanRequestTracker {
    fn can_request_from(&self, host: &HostName, now: UnixTime) -> bool {
        let reply_pending = self
            .pending
            .get(host)
            .is_some_and(|reply_by| *reply_by > now);
        let backing_off = self.backoff_until.get(host).is_some_and(|time| *time > now);
        !reply_pending && !backing_off
    }

    fn pending_requests(&self, now: UnixTime) -> usize {
        self.pending
            .values()
            .filter(|reply_by| **reply_by > now)
            .count()
    }

    /// Returns the next time at which another request may be sent.
    pub fn next_wakeup(&self) -> Option<UnixTime> {
        let backlog_timer = match self.backlog_timer {
            BacklogTimer::Running(time) => Some(time),
            BacklogTimer::Idle | BacklogTimer::Expired => None,
        };
        let backoff_until = self.backoff_until.values().min().copied();
        backoff_until.into_iter().chain(backlog_timer).min()
    }
}

impl DispatchKernel {
    /// Requests slots from other hosts while demand is unmet.
    pub(super) fn request_loans(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        self.loans.backoff_until.retain(|_, time| *time > now);
        let mut unmet = self.unmet_demands();
        self.loans.backlog_timer = self.loans.backlog_timer.advance(!unmet.is_empty(), now);
        if unmet.is_empty() {
            return;
        }
        let borrow_now = unmet
            .iter()
            .any(|place_demand| self.is_borrowing_worthwhile(place_demand));
        if !borrow_now && self.loans.backlog_timer != BacklogTimer::Expired {
            return;
        }
        for place_demand in &mut unmet {
            if place_demand.demand.plain > 0 {
                place_demand.demand.plain = place_demand.demand.plain.max(MIN_SLOTS_PER_REQUEST);
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
            // Requested slots no longer count as idle until the next heartbeat of the peer.
            peer.idle_slots -= plain;
            peer.idle_accelerator_slots -= accelerated;
            let host = peer.host.clone();
            let requested = SlotDemand { plain, accelerated };
            self.subtract_demand(&mut unmet, &domain, requested);
            self.loans
                .pending
                .insert(host.clone(), now.after(REPLY_TIMEOUT));
            self.counters.loan_requests += 1;
            self.loans.budget.spend();
            actions.push(KernelAction::RequestLoan {
                lender: host,
                plain,
                accelerated,
            });
        }
    }

    /// Returns the number of idle slots that a peer must usually report to receive a request.
    ///
    /// A small number of idle slots is mostly gone when the request arrives, which wastes it.
    fn default_min_idle(&self) -> u32 {
        let owned = self.slots.counts().owned;
        (owned / LENDER_IDLE_DIVISOR).clamp(1, MAX_LENDER_MIN_IDLE)
    }

    /// Returns whether the expected wait of a place's tasks on the slots held by this host is long
    /// enough to borrow.
    fn is_borrowing_worthwhile(&self, place_demand: &PlaceDemand) -> bool {
        let counts = self.slot_counts_at(place_demand.place);
        let slots = counts.owned.saturating_add(counts.borrowed);
        let tasks = place_demand
            .demand
            .plain
            .saturating_add(place_demand.demand.accelerated);
        slots == 0 || self.drain_time(tasks as usize, slots) >= MIN_BORROW_WAIT
    }

    /// Returns the number of idle slots that a peer must report to receive a request for `unmet`.
    fn min_lender_idle(&self, unmet: &[PlaceDemand], peer: &PeerView) -> u32 {
        for place_demand in unmet {
            let is_unmet = place_demand.demand != SlotDemand::default();
            if !is_unmet || !self.places.allows_name(place_demand.place, &peer.domain) {
                continue;
            }
            // Even a few slots are worth a request where this host has no suitable ones of its own.
            let outside = !self
                .places
                .allows_name(place_demand.place, &self.identity.domain);
            if outside || place_demand.demand.accelerated > 0 {
                return 1;
            }
        }
        self.default_min_idle()
    }

    /// Returns the reachable peer with the most idle slots that satisfy the demands, preferring peers
    /// of this failure domain.
    fn best_lender(&self, unmet: &[PlaceDemand], now: UnixTime) -> Option<usize> {
        let mut best: Option<(usize, (bool, u32))> = None;
        for (position, peer) in self.fleet.peers().iter().enumerate() {
            if !peer.reachable || !self.loans.can_request_from(&peer.host, now) {
                continue;
            }
            let idle = usable_idle(peer, self.demand_in(unmet, &peer.domain));
            if idle < self.min_lender_idle(unmet, peer) {
                continue;
            }
            let score = (peer.domain == self.identity.domain, idle);
            if best.is_none_or(|(_, best_score)| score > best_score) {
                best = Some((position, score));
            }
        }
        best.map(|(position, _)| position)
    }

    /// Lends idle slots to another host, at most half of the idle slots of each kind, rounded up.
    ///
    /// Slots of a kind that waiting tasks of this host could use are not lent, and none are lent
    /// during a drain.
    pub(super) fn on_loan_requested(
        &mut self,
        request: &LoanRequest,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let until = now.after(self.settings.loan_duration);
        let counts = self.slots.counts();
        let demand = self.local_demand();
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

    /// Records slots lent by another host.
    pub(super) fn on_loan_replied(&mut self, reply: LoanReply, now: UnixTime) {
        self.loans.pending.remove(&reply.lender);
        let backoff = if reply.slots.is_empty() {
            EMPTY_REPLY_BACKOFF
        } else {
            self.settings.loan_request_interval
        };
        self.loans
            .backoff_until
            .insert(reply.lender.clone(), now.after(backoff));
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

    /// Reclaims slots that a borrower returned before the end of their loan.
    pub(super) fn on_loan_returned(&mut self, borrower: &HostName, slots: &[NamedSlot]) {
        for slot in slots {
            if let Some(slot_id) = self.find_slot(slot) {
                self.slots.reclaim(slot_id, borrower);
            }
        }
    }

    /// Returns all idle borrowed slots once one of them has been idle for `loan_idle_limit`.
    ///
    /// One idle slot indicates that the others are not needed either, and returning them together
    /// takes one message per lender.
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

    /// Returns the peers with their reported idle slots, most idle first, for dumps.
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
