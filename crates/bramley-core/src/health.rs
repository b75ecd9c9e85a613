//! Health of workers, judged by failures across different jobs against their peers.
//!
//! A worker is ejected when it fails tasks of several jobs that do not fail elsewhere and of teams
//! whose tasks other workers run well. A job or a team that fails on most workers counts against
//! none of them. Every sign is recorded in constant time, whatever the number of workers.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};
use crate::worker::WorkerIndex;

/// Outcomes that are remembered of each worker.
const WINDOW_OUTCOMES: usize = 16;

/// Failed outcomes of different jobs from which a worker may be ejected.
const EJECT_JOBS: usize = 4;

/// Failed share of the remembered outcomes, in percent, from which a worker may be ejected.
const EJECT_PERCENT: usize = 50;

/// Latest outcomes that are remembered of each team.
const TEAM_OUTCOMES: usize = 32;

/// Share of the workers that fail a team's tasks, in percent, from which the team is at fault.
const TEAM_FAULT_PERCENT: usize = 50;

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

/// One outcome on a worker.
#[derive(Clone, Debug)]
pub struct HealthEvidence {
    /// Worker.
    pub worker: WorkerIndex,
    /// Job of the task.
    pub job: TicketSerial,
    /// Team of the job.
    pub team: TeamName,
    /// How the attempt ended.
    pub sign: HealthSign,
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
    /// Remembered failures of each job over all workers.
    failures: FxHashMap<TicketSerial, u32>,
    teams: FxHashMap<TeamName, VecDeque<(WorkerIndex, bool)>>,
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
        evidence: &HealthEvidence,
        listed_workers: usize,
        now: UnixTime,
    ) -> HealthVerdict {
        let worker = evidence.worker;
        let good = evidence.sign == HealthSign::Good;
        self.remember(evidence, good);
        if good {
            return self.restore(worker);
        }
        if self.is_ejected(worker) {
            return self.eject(worker, now);
        }
        let cap = (listed_workers * EJECT_CAP_PERCENT / 100).max(1);
        let evident = evidence.sign == HealthSign::Unreachable || self.is_evident(evidence);
        if evident && self.ejected < cap {
            return self.eject(worker, now);
        }
        HealthVerdict::Unchanged
    }

    fn remember(&mut self, evidence: &HealthEvidence, good: bool) {
        let health = self.workers.entry(evidence.worker).or_default();
        if health.outcomes.len() == WINDOW_OUTCOMES
            && let Some((job, false)) = health.outcomes.pop_front()
        {
            forget_failure(&mut self.failures, job);
        }
        health.outcomes.push_back((evidence.job, good));
        if !good {
            *self.failures.entry(evidence.job).or_default() += 1;
        }
        let outcomes = match self.teams.get_mut(&evidence.team) {
            Some(outcomes) => outcomes,
            None => self.teams.entry(evidence.team.clone()).or_default(),
        };
        if outcomes.len() == TEAM_OUTCOMES {
            outcomes.pop_front();
        }
        outcomes.push_back((evidence.worker, good));
    }

    /// Tells whether a worker's failures speak against it and not against jobs or the team.
    fn is_evident(&self, evidence: &HealthEvidence) -> bool {
        let Some(health) = self.workers.get(&evidence.worker) else {
            return false;
        };
        let mut own: FxHashMap<TicketSerial, u32> = FxHashMap::default();
        for (job, good) in &health.outcomes {
            if !good {
                *own.entry(*job).or_default() += 1;
            }
        }
        let failed: u32 = own.values().sum();
        let blamed = own
            .iter()
            .filter(|(job, count)| self.failures.get(*job).is_none_or(|all| all <= *count))
            .count();
        let share = failed as usize * 100;
        let fails_often = share >= health.outcomes.len() * EJECT_PERCENT;
        blamed >= EJECT_JOBS && fails_often && !self.is_team_at_fault(&evidence.team)
    }

    /// Tells whether most workers that ran the team's latest tasks failed most of them.
    fn is_team_at_fault(&self, team: &TeamName) -> bool {
        let Some(outcomes) = self.teams.get(team) else {
            return false;
        };
        let mut balances: FxHashMap<WorkerIndex, i32> = FxHashMap::default();
        for (worker, good) in outcomes {
            *balances.entry(*worker).or_default() += if *good { 1 } else { -1 };
        }
        let failing = balances.values().filter(|balance| **balance < 0).count();
        balances.len() > 1 && failing * 100 >= balances.len() * TEAM_FAULT_PERCENT
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
        for (job, good) in health.outcomes.drain(..) {
            if !good {
                forget_failure(&mut self.failures, job);
            }
        }
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

fn forget_failure(failures: &mut FxHashMap<TicketSerial, u32>, job: TicketSerial) {
    let Some(count) = failures.get_mut(&job) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        failures.remove(&job);
    }
}
