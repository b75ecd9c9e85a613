//! Attempts under way.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::names::TeamName;
use crate::slots::SlotNumber;
use crate::units::{AttemptId, TaskKey, UnixTime};
use crate::worker::WorkerIndex;

/// One sending of a task that has not ended.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Task.
    pub task: TaskKey,
    /// Team whose quota it uses.
    pub team: TeamName,
    /// Worker.
    pub worker: WorkerIndex,
    /// Slots that it occupies.
    pub slots: SmallVec<[SlotNumber; 1]>,
    /// Time at which it was sent.
    pub sent_at: UnixTime,
    /// Time after which its end is no longer waited for.
    pub answer_by: UnixTime,
}

/// All attempts under way, by number and by deadline.
#[derive(Debug, Default)]
pub struct AttemptTable {
    records: FxHashMap<AttemptId, AttemptRecord>,
    deadlines: BTreeSet<(UnixTime, AttemptId)>,
    last_id: u64,
}

impl AttemptTable {
    /// Draws the next attempt number.
    pub fn next_id(&mut self) -> AttemptId {
        self.last_id += 1;
        AttemptId(self.last_id)
    }

    /// Enters an attempt.
    pub fn insert(&mut self, attempt: AttemptId, record: AttemptRecord) {
        self.deadlines.insert((record.answer_by, attempt));
        self.records.insert(attempt, record);
    }

    /// Removes an attempt; `None` if it has ended already.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<AttemptRecord> {
        let record = self.records.remove(&attempt)?;
        self.deadlines.remove(&(record.answer_by, attempt));
        Some(record)
    }

    /// Returns an attempt.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&AttemptRecord> {
        self.records.get(&attempt)
    }

    /// Returns the first attempt whose deadline has passed.
    #[must_use]
    pub fn first_overdue(&self, now: UnixTime) -> Option<AttemptId> {
        let (deadline, attempt) = self.deadlines.first()?;
        (*deadline <= now).then_some(*attempt)
    }

    /// Returns the first deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<UnixTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of attempts under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }
}
