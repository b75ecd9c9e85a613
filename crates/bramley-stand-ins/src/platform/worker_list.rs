//! The list of workers, in which changes become visible with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use bramley_wire::platform::{WorkerList, WorkerRecord, WorkerStateChange};
use tokio::time::Instant;

/// Error in a change of the worker list.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum WorkerListError {
    /// the worker {0:?} is not in the list
    UnknownWorker(String),
    /// unknown worker state {0:?}; expected live, leaving or removed
    UnknownState(String),
}

impl std::error::Error for WorkerListError {}

/// One version of the list.
#[derive(Debug)]
struct ListVersion {
    visible_from: Instant,
    list: WorkerList,
}

/// Versions of the list. Readers see the newest one whose delay has passed.
#[derive(Debug)]
pub(super) struct VersionedWorkerList {
    lag: Duration,
    /// Versions ordered by revision; never empty.
    versions: VecDeque<ListVersion>,
    newest: WorkerList,
}

impl VersionedWorkerList {
    /// Creates a list that is visible immediately.
    pub(super) fn new(workers: Vec<WorkerRecord>, lag: Duration, now: Instant) -> Self {
        let newest = WorkerList {
            revision: 1,
            workers,
        };
        let first_version = ListVersion {
            visible_from: now,
            list: newest.clone(),
        };
        Self {
            lag,
            versions: VecDeque::from([first_version]),
            newest,
        }
    }

    /// Returns the newest version visible at `now`.
    pub(super) fn visible_at(&mut self, now: Instant) -> WorkerList {
        while self.versions.len() > 1 && self.versions[1].visible_from <= now {
            self.versions.pop_front();
        }
        self.versions[0].list.clone()
    }

    /// Replaces the whole list.
    pub(super) fn replace(&mut self, workers: Vec<WorkerRecord>, now: Instant) {
        self.newest = WorkerList {
            revision: self.newest.revision + 1,
            workers,
        };
        self.versions.push_back(ListVersion {
            visible_from: now + self.lag,
            list: self.newest.clone(),
        });
    }

    /// Changes the state of one worker or removes it.
    ///
    /// # Errors
    ///
    /// Fails if the worker is not in the list or the state is unknown.
    pub(super) fn change_state(
        &mut self,
        change: &WorkerStateChange,
        now: Instant,
    ) -> Result<(), WorkerListError> {
        let mut workers = self.newest.workers.clone();
        let found = workers.iter().position(|worker| worker.name == change.name);
        let Some(position) = found else {
            return Err(WorkerListError::UnknownWorker(change.name.clone()));
        };
        match change.state.as_str() {
            "live" | "leaving" => workers[position].state.clone_from(&change.state),
            "removed" => {
                workers.remove(position);
            }
            _ => return Err(WorkerListError::UnknownState(change.state.clone())),
        }
        self.replace(workers, now);
        Ok(())
    }
}
