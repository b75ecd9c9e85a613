//! Outlier detection for workers, based on failures of different jobs compared with other workers.
//!
//! A worker is ejected when no connection to it can be made, or when it fails tasks of several jobs
//! that do not fail elsewhere, and other workers run the team's tasks successfully. A job or a team
//! that fails on most workers does not count against any of them. The cost of recording an outcome
//! does not depend on the number of workers.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};
use crate::worker::WorkerIndex;

/// Number of latest outcomes kept per worker.
const WORKER_WINDOW_LEN: usize = 16;

/// Minimum number of jobs that failed only on a worker for its ejection.
const MIN_FAILED_JOBS: usize = 4;

/// Minimum percentage of failures among the kept outcomes of a worker for its ejection.
const MIN_FAILURE_PERCENT: usize = 50;

/// Number of latest outcomes kept per team.
const TEAM_WINDOW_LEN: usize = 32;

/// Percentage of failing workers from which a team's failures are attributed to the team itself.
const TEAM_FAULT_PERCENT: usize = 50;

/// Maximum percentage of the listed workers that may be ejected at the same time.
const MAX_EJECTED_PERCENT: usize = 30;

/// Initial backoff before an ejected worker is probed.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff before an ejected worker is probed.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(30);

/// Result of an attempt, as relevant to the health of the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSignal {
    /// The task finished successfully.
    Success,
    /// The task failed, or its outcome is unknown.
    Failure,
    /// No connection to the worker could be made.
    Unreachable,
}

/// Change to a worker's ejection state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthTransition {
    /// Nothing changes.
    Unchanged,
    /// The worker receives no tasks until the given time.
    Eject(UnixTime),
    /// The worker receives tasks again.
    Restore,
}

/// Outcome of an attempt on a worker.
#[derive(Clone, Debug)]
pub struct HealthSample {
    /// Worker that ran the attempt.
    pub worker: WorkerIndex,
    /// Job of the task.
    pub job: TicketSerial,
    /// Team of the job.
    pub team: TeamName,
    /// Result of the attempt.
    pub signal: HealthSignal,
}

#[derive(Debug, Default)]
struct WorkerHealth {
    outcomes: VecDeque<(TicketSerial, bool)>,
    ejected: bool,
    probe_backoff: Duration,
}

/// Health of all workers.
#[derive(Debug, Default)]
pub struct HealthTable {
    workers: FxHashMap<WorkerIndex, WorkerHealth>,
    /// Number of kept failures of each job over all workers.
    failures: FxHashMap<TicketSerial, u32>,
    teams: FxHashMap<TeamName, VecDeque<(WorkerIndex, bool)>>,
    ejected: usize,
}

/// Counters for state dumps and metrics.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct HealthCounts {
    /// Number of workers with at least one recorded outcome.
    pub judged: usize,
    /// Number of currently ejected workers.
    pub ejected: usize,
}

impl HealthTable {
    /// Records the outcome of an attempt and returns the resulting change for the worker.
    pub fn record(
        &mut self,
        sample: &HealthSample,
        listed_workers: usize,
        now: UnixTime,
    ) -> HealthTransition {
        let worker = sample.worker;
        let succeeded = sample.signal == HealthSignal::Success;
        self.record_outcome(sample, succeeded);
        if succeeded {
            return self.restore(worker);
        }
        if self.is_ejected(worker) {
            return self.eject(worker, now);
        }
        let max_ejected = (listed_workers * MAX_EJECTED_PERCENT / 100).max(1);
        let at_fault =
            sample.signal == HealthSignal::Unreachable || self.is_worker_at_fault(sample);
        if at_fault && self.ejected < max_ejected {
            return self.eject(worker, now);
        }
        HealthTransition::Unchanged
    }

    fn record_outcome(&mut self, sample: &HealthSample, succeeded: bool) {
        let health = self.workers.entry(sample.worker).or_default();
        if health.outcomes.len() == WORKER_WINDOW_LEN
            && let Some((job, false)) = health.outcomes.pop_front()
        {
            remove_failure(&mut self.failures, job);
        }
        health.outcomes.push_back((sample.job, succeeded));
        if !succeeded {
            *self.failures.entry(sample.job).or_default() += 1;
        }
        let outcomes = match self.teams.get_mut(&sample.team) {
            Some(outcomes) => outcomes,
            None => self.teams.entry(sample.team.clone()).or_default(),
        };
        if outcomes.len() == TEAM_WINDOW_LEN {
            outcomes.pop_front();
        }
        outcomes.push_back((sample.worker, succeeded));
    }

    /// Returns whether a worker's failures are attributable to the worker rather than to the jobs
    /// or the team.
    fn is_worker_at_fault(&self, sample: &HealthSample) -> bool {
        let Some(health) = self.workers.get(&sample.worker) else {
            return false;
        };
        let mut own_failures: FxHashMap<TicketSerial, u32> = FxHashMap::default();
        for (job, succeeded) in &health.outcomes {
            if !succeeded {
                *own_failures.entry(*job).or_default() += 1;
            }
        }
        let failed: u32 = own_failures.values().sum();
        let attributed_jobs = own_failures
            .iter()
            .filter(|(job, count)| self.failures.get(*job).is_none_or(|all| all <= *count))
            .count();
        let scaled_failures = failed as usize * 100;
        let exceeds_failure_rate = scaled_failures >= health.outcomes.len() * MIN_FAILURE_PERCENT;
        attributed_jobs >= MIN_FAILED_JOBS
            && exceeds_failure_rate
            && !self.is_team_at_fault(&sample.team)
    }

    /// Returns whether [`TEAM_FAULT_PERCENT`] or more of the workers that ran the team's latest
    /// tasks failed most of them.
    fn is_team_at_fault(&self, team: &TeamName) -> bool {
        let Some(outcomes) = self.teams.get(team) else {
            return false;
        };
        let mut scores: FxHashMap<WorkerIndex, i32> = FxHashMap::default();
        for (worker, succeeded) in outcomes {
            *scores.entry(*worker).or_default() += if *succeeded { 1 } else { -1 };
        }
        let failing = scores.values().filter(|score| **score < 0).count();
        scores.len() > 1 && failing * 100 >= scores.len() * TEAM_FAULT_PERCENT
    }

    fn eject(&mut self, worker: WorkerIndex, now: UnixTime) -> HealthTransition {
        let health = self.workers.entry(worker).or_default();
        if !health.ejected {
            health.ejected = true;
            self.ejected += 1;
        }
        let backoff = health.probe_backoff.max(MIN_PROBE_BACKOFF);
        health.probe_backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
        HealthTransition::Eject(now.after(backoff))
    }

    fn restore(&mut self, worker: WorkerIndex) -> HealthTransition {
        let health = self.workers.entry(worker).or_default();
        if !health.ejected {
            return HealthTransition::Unchanged;
        }
        health.ejected = false;
        health.probe_backoff = Duration::ZERO;
        for (job, succeeded) in health.outcomes.drain(..) {
            if !succeeded {
                remove_failure(&mut self.failures, job);
            }
        }
        self.ejected -= 1;
        HealthTransition::Restore
    }

    /// Returns counters for state dumps and metrics.
    #[must_use]
    pub fn counts(&self) -> HealthCounts {
        HealthCounts {
            judged: self.workers.len(),
            ejected: self.ejected,
        }
    }

    /// Returns whether a worker is ejected.
    #[must_use]
    pub fn is_ejected(&self, worker: WorkerIndex) -> bool {
        self.workers
            .get(&worker)
            .is_some_and(|health| health.ejected)
    }
}

fn remove_failure(failures: &mut FxHashMap<TicketSerial, u32>, job: TicketSerial) {
    let Some(count) = failures.get_mut(&job) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        failures.remove(&job);
    }
}
