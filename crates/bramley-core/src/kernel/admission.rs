//! Admission control: refuses jobs that cannot be served in time, with a retry delay where a retry
//! can succeed.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use crate::configuration::TeamConfiguration;
use crate::errors::{DispatchError, ErrorKind};
use crate::job::JobSpec;
use crate::places::PlaceId;
use crate::queue::{QueueEntry, WorkAhead};
use crate::units::{TicketSerial, UnixTime};
use crate::worker::TaskRequirements;

use super::DispatchKernel;

/// Factor applied to the expected wait, in percent, because actual waits vary.
const WAIT_FACTOR_PERCENT: u32 = 200;

/// Minimum retry delay of a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retry delay of a refused caller, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Retry delay after a refusal because workers or configuration are missing.
const NOT_READY_DELAY: Duration = Duration::from_secs(1);

impl DispatchKernel {
    /// Checks whether a job, whose deadline is resolved, can be accepted.
    pub(super) fn admit(&mut self, spec: &JobSpec, now: UnixTime) -> Result<(), DispatchError> {
        self.check_readiness()?;
        self.check_team(spec)?;
        self.check_runnable(spec)?;
        self.check_deadline(spec, now)?;
        self.check_capacity(spec, now)
    }

    fn check_readiness(&mut self) -> Result<(), DispatchError> {
        if self.draining {
            let retry_after = self.with_jitter(MIN_RETRY_DELAY);
            return Err(DispatchError::retry(
                ErrorKind::Draining,
                "use another host",
                retry_after,
            ));
        }
        if self.teams.configuration().is_none() {
            let retry_after = self.with_jitter(NOT_READY_DELAY);
            return Err(DispatchError::retry(
                ErrorKind::NoConfiguration,
                "",
                retry_after,
            ));
        }
        if !self.workers.any_listed() {
            let retry_after = self.with_jitter(NOT_READY_DELAY);
            return Err(DispatchError::retry(ErrorKind::NoWorkers, "", retry_after));
        }
        Ok(())
    }

    fn check_team(&self, spec: &JobSpec) -> Result<(), DispatchError> {
        if spec.tasks.is_empty() {
            return Err(DispatchError::new(
                ErrorKind::MalformedRequest,
                "the job has no tasks",
            ));
        }
        let Some(team) = self.teams.team(spec.team.as_str()) else {
            return Err(DispatchError::new(
                ErrorKind::UnknownTeam,
                spec.team.as_str(),
            ));
        };
        let limit = self.job_task_limit(team);
        if spec.tasks.len() > limit {
            let detail = format!("{} tasks, at most {limit}", spec.tasks.len());
            return Err(DispatchError::new(ErrorKind::TooManyTasks, detail));
        }
        Ok(())
    }

    fn job_task_limit(&self, team: &TeamConfiguration) -> usize {
        self.settings.max_job_tasks.min(team.max_job_tasks as usize)
    }

    fn check_runnable(&self, spec: &JobSpec) -> Result<(), DispatchError> {
        let place = self.places.team_place(&spec.team);
        let requirements: BTreeSet<TaskRequirements> = spec
            .tasks
            .iter()
            .map(|task| task.requirements(place))
            .collect();
        for required in requirements {
            if !self.workers.any_fits(required, &self.places) {
                let detail = describe_missing_worker(required);
                return Err(DispatchError::new(ErrorKind::NeverRunnable, detail));
            }
        }
        Ok(())
    }

    fn check_deadline(&self, spec: &JobSpec, now: UnixTime) -> Result<(), DispatchError> {
        if spec.deadline <= now {
            return Err(DispatchError::new(ErrorKind::DeadlinePassed, ""));
        }
        Ok(())
    }

    fn check_capacity(&mut self, spec: &JobSpec, now: UnixTime) -> Result<(), DispatchError> {
        let full = self.outcomes.len() >= self.settings.max_kept_outcomes
            || self.outcomes.kept_bytes() >= self.settings.max_kept_bytes;
        if full {
            let retry_after = self.with_jitter(MAX_RETRY_DELAY);
            return Err(DispatchError::retry(
                ErrorKind::OutcomesFull,
                "",
                retry_after,
            ));
        }
        let ahead = self.waiting.len() + spec.tasks.len();
        if ahead > self.settings.max_waiting_tasks {
            let counts = self.slots.counts();
            let slots = counts.owned + counts.borrowed;
            let retry_after = self.with_jitter(self.drain_time(ahead, slots));
            return Err(DispatchError::retry(ErrorKind::QueueFull, "", retry_after));
        }
        let response_time = self.expected_response_time(spec, now);
        if now.after(response_time) > spec.deadline {
            let excess = now.after(response_time).since(spec.deadline);
            let retry_after = self.with_jitter(excess);
            return Err(DispatchError::retry(
                ErrorKind::DeadlineUnreachable,
                "",
                retry_after,
            ));
        }
        Ok(())
    }

    /// Returns the expected time until a job accepted now is complete.
    fn expected_response_time(&self, spec: &JobSpec, now: UnixTime) -> Duration {
        let team = self.teams.team(spec.team.as_str());
        let weight = team.map_or(1, |team| team.weight);
        let declared = team.map_or(Duration::ZERO, |team| {
            team.declared_run(spec.class.as_str())
        });
        let expected_run = self.estimates.estimate(&spec.team, &spec.class, declared);
        let tasks = u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX);
        let entry = QueueEntry {
            serial: TicketSerial(u64::MAX),
            team: spec.team.clone(),
            weight,
            submitted: now,
            remaining: expected_run.saturating_mul(tasks),
        };
        // A job with tasks of different requirements is complete when its slowest queue is; this
        // estimate uses the requirements of the first task only.
        let place = self.places.team_place(&spec.team);
        let first = spec.tasks.first();
        let requirements = first
            .map(|task| task.requirements(place))
            .unwrap_or_default();
        let counts = self.slot_counts_at(place);
        let slots = f64::from(self.usable_slots_at(place).max(1));
        let (work, slots) = match self.waiting.work_ahead(requirements, &entry) {
            WorkAhead::AllTeams(work) => (work, slots),
            WorkAhead::OwnTeam(work) => {
                let usable = self
                    .recent_work
                    .available_slots_for(&spec.team, weight, slots, now);
                (work, usable)
            }
        };
        if work <= expected_run && counts.idle_plain > 0 {
            return expected_run;
        }
        let wait = work.div_f64(slots.max(1.0)) * WAIT_FACTOR_PERCENT / 100;
        wait + expected_run
    }

    /// Returns the expected time in which `slots` slots run `tasks` tasks.
    pub(super) fn drain_time(&self, tasks: usize, slots: u32) -> Duration {
        let slots = u64::from(slots.max(1));
        let mean = u64::try_from(self.estimates.overall_mean().as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(mean.saturating_mul(tasks as u64) / slots)
    }

    /// Clamps a retry delay and multiplies it by a random factor between 1 and 2, so that refused
    /// callers do not retry at the same time.
    pub(super) fn with_jitter(&mut self, delay: Duration) -> Duration {
        let base = delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        base.mul_f64(self.rng.random_range(1.0..2.0))
    }
}

/// Describes the worker that a task would need.
fn describe_missing_worker(requirements: TaskRequirements) -> String {
    let slots = match requirements.accelerators {
        0 => "a slot without an accelerator".to_owned(),
        count => format!("{count} accelerators"),
    };
    let place = if requirements.place == PlaceId::EVERYWHERE {
        ""
    } else {
        " in the team's failure domains"
    };
    format!(
        "no worker{place} has {slots} and {} MiB",
        requirements.memory_mib
    )
}
