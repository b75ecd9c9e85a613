//! Slot states, loans and counts.

use serde::Serialize;

use crate::names::HostName;
use crate::places::DomainIndex;
use crate::units::{AttemptId, UnixTime};
use crate::worker::WorkerIndex;

/// Zero-based number of a slot on its worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct SlotNumber(pub u32);

/// Identifies a slot by its worker and number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotId {
    /// Worker.
    pub worker: WorkerIndex,
    /// Slot on the worker.
    pub slot: SlotNumber,
}

/// State of a slot as seen by this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// This host has neither ownership nor a loan of the slot.
    NotHeld,
    /// This host may start a task on the slot.
    Idle,
    /// The slot runs a task of this host.
    Busy(AttemptId),
    /// The slot stays unused until the given time, after a refused start or an unknown outcome.
    CoolingDown(UnixTime),
    /// The slot is lent to another host until the given time.
    Lent(HostName, UnixTime),
}

/// Terms on which this host borrows a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanTerms {
    /// Host that owns the slot.
    pub lender: HostName,
    /// End of the loan; from then on the owner may use the slot again.
    pub until: UnixTime,
    /// Time at which the slot was borrowed or last released.
    pub idle_since: UnixTime,
}

/// State and ownership of one slot.
#[derive(Clone, Debug)]
pub(super) struct SlotEntry {
    pub(super) state: SlotState,
    /// Whether the slot is assigned to this host.
    pub(super) owned: bool,
    /// Loan terms while the slot is borrowed.
    pub(super) loan: Option<LoanTerms>,
}

impl SlotEntry {
    pub(super) const NOT_HELD: Self = Self {
        state: SlotState::NotHeld,
        owned: false,
        loan: None,
    };

    /// Returns whether this host owns or has borrowed the slot.
    pub(super) const fn is_held(&self) -> bool {
        self.owned || self.loan.is_some()
    }
}

/// Whether new tasks may start on a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotAccess {
    /// No new task may start.
    #[default]
    Closed,
    /// One task at a time may start, to test whether an ejected worker has recovered.
    Probing,
    /// Tasks may start on all slots.
    Open,
}

/// Slots of one worker and the counts derived from them.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerSlots {
    pub(super) slots: Vec<SlotEntry>,
    pub(super) accelerators: u32,
    pub(super) domain: DomainIndex,
    pub(super) access: SlotAccess,
    pub(super) busy: u32,
    pub(super) idle_plain: u32,
    pub(super) idle_accelerated: u32,
}

/// Slot counts by state, used in heartbeats and state dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SlotCounts {
    /// Idle slots without an accelerator on workers that accept tasks.
    pub idle_plain: u32,
    /// Idle slots with an accelerator on workers that accept tasks.
    pub idle_accelerated: u32,
    /// Slots that run a task of this host.
    pub busy: u32,
    /// Slots that this host owns on workers that accept tasks.
    pub owned: u32,
    /// Slots lent to other hosts.
    pub lent: u32,
    /// Slots borrowed from other hosts.
    pub borrowed: u32,
}

impl SlotCounts {
    /// Applies `combine` to each count and the corresponding count of `part`.
    pub(super) fn combine(&mut self, part: Self, combine: impl Fn(u32, u32) -> u32) {
        self.idle_plain = combine(self.idle_plain, part.idle_plain);
        self.idle_accelerated = combine(self.idle_accelerated, part.idle_accelerated);
        self.busy = combine(self.busy, part.busy);
        self.owned = combine(self.owned, part.owned);
        self.lent = combine(self.lent, part.lent);
        self.borrowed = combine(self.borrowed, part.borrowed);
    }
}

impl WorkerSlots {
    pub(super) fn counts(&self) -> SlotCounts {
        let mut counts = SlotCounts {
            idle_plain: self.idle_plain,
            idle_accelerated: self.idle_accelerated,
            busy: self.busy,
            ..SlotCounts::default()
        };
        for entry in &self.slots {
            if entry.owned && self.access != SlotAccess::Closed {
                counts.owned += 1;
            }
            if matches!(entry.state, SlotState::Lent(_, _)) {
                counts.lent += 1;
            }
            if entry.loan.is_some() {
                counts.borrowed += 1;
            }
        }
        counts
    }
}
