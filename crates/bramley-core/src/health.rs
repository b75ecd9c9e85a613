//! Health of workers, judged by failures across different jobs against their peers.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;

use crate::units::{TicketSerial, UnixTime};
use crate::worker::WorkerIndex;

/// Outcomes that are remembered of each worker.
const WINDOW_OUTCOMES: usize = 16;

/// Failed outcomes of different jobs from which a worker may be ejected.
const EJECT_JOBS: usize = 4;

/// Failed share of the remembered outcomes, in percent, from which a worker may be ejected.
const EJECT_PERCENT: usize = 50;

/// Largest share of the workers that may be ejected at once, in percent.
const EJECT_CAP_PERCENT: usize = 30;

/// First wait before an ejected worker is probed.
const FIRST_PROBE_WAIT: Duration = Duration::from_millis(500);

/// Longest wait before an ejected worker is probed.
const LONGEST_PROBE_WAIT: Duration = Duration::from_secs(30);

/// How an attempt on a worker ended, as far as the worker's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSign {
    /// The task ran to its end.
    Good,
    /// The task failed, or its outcome is unknown.
    Bad,
    /// No connection could be made.
    Unreachable,
}

/// Change of a worker's standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthVerdict {
    /// Nothing changes.
    Unchanged,
    /// The worker gets no more tasks until the stated time.
    Eject(UnixTime),
    /// The worker gets tasks again.
    Restore,
}

#[derive(Debug, Default)]
struct WorkerHealth {
    outcomes: VecDeque<(TicketSerial, bool)>,
    ejected: bool,
    probe_wait: Duration,
}

/// Health of all workers.
#[derive(Debug, Default)]
pub struct HealthTable {
    workers: FxHashMap<WorkerIndex, WorkerHealth>,
    ejected: usize,
}

/// Counts for dumps and metrics.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct HealthCounts {
    /// Workers with at least one outcome.
    pub judged: usize,
    /// Workers ejected now.
    pub ejected: usize,
}

impl HealthTable {
    /// Records how an attempt ended and returns what follows for the worker.
    pub fn record(
        &mut self,
        worker: WorkerIndex,
        job: TicketSerial,
        sign: HealthSign,
        listed_workers: usize,
        now: UnixTime,
    ) -> HealthVerdict {
        let others_fail = self.others_fail_too(worker, job);
        let health = self.workers.entry(worker).or_default();
        if health.outcomes.len() == WINDOW_OUTCOMES {
            health.outcomes.pop_front();
        }
        health.outcomes.push_back((job, sign == HealthSign::Good));
        if sign == HealthSign::Good {
            return self.restore(worker);
        }
        if health.ejected {
            return self.eject(worker, now);
        }
        let cap = (listed_workers * EJECT_CAP_PERCENT / 100).max(1);
        let evident = sign == HealthSign::Unreachable || is_evident(&health.outcomes);
        if evident && !others_fail && self.ejected < cap {
            return self.eject(worker, now);
        }
        HealthVerdict::Unchanged
    }

    /// Tells whether the job failed on other workers as well, which clears this one.
    fn others_fail_too(&self, worker: WorkerIndex, job: TicketSerial) -> bool {
        self.workers.iter().any(|(other, health)| {
            *other != worker
                && health
                    .outcomes
                    .iter()
                    .any(|(seen, good)| *seen == job && !good)
        })
    }

    fn eject(&mut self, worker: WorkerIndex, now: UnixTime) -> HealthVerdict {
        let health = self.workers.entry(worker).or_default();
        if !health.ejected {
            health.ejected = true;
            self.ejected += 1;
        }
        let wait = health.probe_wait.max(FIRST_PROBE_WAIT);
        health.probe_wait = (wait * 2).min(LONGEST_PROBE_WAIT);
        HealthVerdict::Eject(now.after(wait))
    }

    fn restore(&mut self, worker: WorkerIndex) -> HealthVerdict {
        let health = self.workers.entry(worker).or_default();
        if !health.ejected {
            return HealthVerdict::Unchanged;
        }
        health.ejected = false;
        health.probe_wait = Duration::ZERO;
        health.outcomes.clear();
        self.ejected -= 1;
        HealthVerdict::Restore
    }

    /// Returns counts for dumps and metrics.
    #[must_use]
    pub fn counts(&self) -> HealthCounts {
        HealthCounts {
            judged: self.workers.len(),
            ejected: self.ejected,
        }
    }

    /// Tells whether a worker is ejected.
    #[must_use]
    pub fn is_ejected(&self, worker: WorkerIndex) -> bool {
        self.workers
            .get(&worker)
            .is_some_and(|health| health.ejected)
    }
}

fn is_evident(outcomes: &VecDeque<(TicketSerial, bool)>) -> bool {
    let failed: Vec<TicketSerial> = outcomes
        .iter()
        .filter(|(_, good)| !good)
        .map(|(job, _)| *job)
        .collect();
    let jobs: FxHashSet<TicketSerial> = failed.iter().copied().collect();
    jobs.len() >= EJECT_JOBS && failed.len() * 100 >= outcomes.len() * EJECT_PERCENT
}
