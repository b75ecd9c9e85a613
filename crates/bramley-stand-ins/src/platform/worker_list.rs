//! The lagging list of workers.

use std::collections::VecDeque;
use std::time::Duration;

use bramley_wire::platform::{WorkerList, WorkerRecord, WorkerStateChange};
use tokio::time::Instant;

/// Why a change of the worker list was refused.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum ListError {
    /// no worker named {0:?} is listed
    UnknownWorker(String),
    /// the worker state {0:?} is none of live, leaving and removed
    UnknownState(String),
}

impl std::error::Error for ListError {}

/// One version of the list.
#[derive(Debug)]
struct ListVersion {
    visible_from: Instant,
    list: WorkerList,
}

/// The list's versions, of which readers see the newest that is old enough.
#[derive(Debug)]
pub(super) struct WorkerTable {
    lag: Duration,
    /// Versions in the order of their revisions; never empty.
    versions: VecDeque<ListVersion>,
    newest: WorkerList,
}

impl WorkerTable {
    /// Creates a list that is visible at once.
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

    /// Returns the newest visible version.
    pub(super) fn visible(&mut self, now: Instant) -> WorkerList {
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
    /// Fails if no such worker is listed or the state is unknown.
    pub(super) fn change_state(
        &mut self,
        change: &WorkerStateChange,
        now: Instant,
    ) -> Result<(), ListError> {
        let mut workers = self.newest.workers.clone();
        let listed = workers.iter().position(|worker| worker.name == change.name);
        let Some(position) = listed else {
            return Err(ListError::UnknownWorker(change.name.clone()));
        };
        match change.state.as_str() {
            "live" | "leaving" => workers[position].state.clone_from(&change.state),
            "removed" => {
                workers.remove(position);
            }
            _ => return Err(ListError::UnknownState(change.state.clone())),
        }
        self.replace(workers, now);
        Ok(())
    }
}
