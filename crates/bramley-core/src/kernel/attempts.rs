//! Attempts in progress.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::names::TeamName;
use crate::slots::SlotNumber;
use crate::units::{AttemptId, TaskKey, UnixTime};
use crate::worker::WorkerIndex;

/// An attempt to run a task that has not ended yet.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Task.
    pub task: TaskKey,
    /// Team whose quota it counts against.
    pub team: TeamName,
    /// Worker.
    pub worker: WorkerIndex,
    /// Slots that it occupies on the worker.
    pub slots: SmallVec<[SlotNumber; 1]>,
    /// Time at which it was sent.
    pub sent_at: UnixTime,
    /// Deadline after which its result is no longer awaited.
    pub answer_by: UnixTime,
}

/// All attempts in progress, indexed by ID and by deadline.
#[derive(Debug, Default)]
pub struct AttemptTable {
    records: FxHashMap<AttemptId, AttemptRecord>,
    deadlines: BTreeSet<(UnixTime, AttemptId)>,
    last_id: u64,
}

impl AttemptTable {
    /// Allocates the next attempt ID.
    pub fn next_id(&mut self) -> AttemptId {
        self.last_id += 1;
        AttemptId(self.last_id)
    }

    /// Adds an attempt.
    pub fn insert(&mut self, attempt: AttemptId, record: AttemptRecord) {
        self.deadlines.insert((record.answer_by, attempt));
        self.records.insert(attempt, record);
    }

    /// Removes an attempt, or returns `None` if it has already ended.
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

    /// Returns the attempt with the earliest deadline if that deadline has passed.
    #[must_use]
    pub fn first_overdue(&self, now: UnixTime) -> Option<AttemptId> {
        let (deadline, attempt) = self.deadlines.first()?;
        (*deadline <= now).then_some(*attempt)
    }

    /// Returns the earliest deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<UnixTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of attempts in progress.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }
}
