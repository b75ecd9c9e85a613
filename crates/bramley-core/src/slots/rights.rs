//! Rights to slots: their states, their loans and their counts.

use serde::Serialize;

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
pub(super) struct SlotRight {
    pub(super) state: RightState,
    /// Whether the division gives the slot to this host.
    pub(super) owned: bool,
    /// Terms if the slot is borrowed.
    pub(super) loan: Option<LoanTerms>,
}

impl SlotRight {
    pub(super) const FOREIGN: Self = Self {
        state: RightState::Foreign,
        owned: false,
        loan: None,
    };

    pub(super) const fn is_ours(&self) -> bool {
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
pub(super) struct WorkerRights {
    pub(super) slots: Vec<SlotRight>,
    pub(super) accelerators: u32,
    pub(super) domain: DomainIndex,
    pub(super) access: SlotAccess,
    pub(super) busy: u32,
    pub(super) idle_plain: u32,
    pub(super) idle_accelerated: u32,
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

impl RightCounts {
    pub(super) fn combine(&mut self, part: Self, combine: impl Fn(u32, u32) -> u32) {
        self.idle_plain = combine(self.idle_plain, part.idle_plain);
        self.idle_accelerated = combine(self.idle_accelerated, part.idle_accelerated);
        self.busy = combine(self.busy, part.busy);
        self.owned = combine(self.owned, part.owned);
        self.lent = combine(self.lent, part.lent);
        self.borrowed = combine(self.borrowed, part.borrowed);
    }
}

impl WorkerRights {
    pub(super) fn counts(&self) -> RightCounts {
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
