//! Admission: refuses at once what cannot be served, with when to come back.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use crate::configuration::TeamConfiguration;
use crate::errors::{DispatchError, ErrorKind};
use crate::job::JobSpec;
use crate::places::PlaceId;
use crate::queue::{QueueEntry, WorkAhead};
use crate::units::{TicketSerial, UnixTime};
use crate::worker::TaskNeeds;

use super::DispatchKernel;

/// Wait that is planned for each hundred parts of the expected wait, as waits scatter.
const WAIT_MARGIN_PERCENT: u32 = 200;

/// Shortest wait that a refused caller is asked to keep.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Longest wait that a refused caller is asked to keep, before the random spread.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(10);

/// Wait after a refusal for lack of workers or configuration.
const NOT_READY_WAIT: Duration = Duration::from_secs(1);

impl DispatchKernel {
    /// Decides whether a job with a settled deadline may be accepted.
    pub(super) fn admit(&mut self, spec: &JobSpec, now: UnixTime) -> Result<(), DispatchError> {
        self.check_readiness()?;
        self.check_team(spec)?;
        self.check_runnable(spec)?;
        self.check_deadline(spec, now)?;
        self.check_capacity(spec, now)
    }

    fn check_readiness(&mut self) -> Result<(), DispatchError> {
        if self.draining {
            let wait = self.spread(MIN_RETRY_WAIT);
            return Err(DispatchError::retry(
                ErrorKind::Draining,
                "use another host",
                wait,
            ));
        }
        if self.teams.configuration().is_none() {
            let wait = self.spread(NOT_READY_WAIT);
            return Err(DispatchError::retry(ErrorKind::NoConfiguration, "", wait));
        }
        if !self.workers.has_listed() {
            let wait = self.spread(NOT_READY_WAIT);
            return Err(DispatchError::retry(ErrorKind::NoWorkers, "", wait));
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
        let place = self.places.place_of(&spec.team);
        let needs: BTreeSet<TaskNeeds> = spec.tasks.iter().map(|task| task.needs(place)).collect();
        for need in needs {
            if !self.workers.any_fits(need, &self.places) {
                let detail = missing_worker(need);
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
        let full = self.book.len() >= self.settings.max_kept_outcomes
            || self.book.kept_bytes() >= self.settings.max_kept_bytes;
        if full {
            let wait = self.spread(MAX_RETRY_WAIT);
            return Err(DispatchError::retry(ErrorKind::OutcomesFull, "", wait));
        }
        let ahead = self.waiting.len() + spec.tasks.len();
        if ahead > self.settings.max_waiting_tasks {
            let counts = self.slots.counts();
            let slots = counts.owned + counts.borrowed;
            let wait = self.spread(self.drain_time(ahead, slots));
            return Err(DispatchError::retry(ErrorKind::QueueFull, "", wait));
        }
        let finish = self.expected_response(spec, now);
        if now.after(finish) > spec.deadline {
            let excess = now.after(finish).since(spec.deadline);
            let wait = self.spread(excess);
            return Err(DispatchError::retry(
                ErrorKind::DeadlineUnreachable,
                "",
                wait,
            ));
        }
        Ok(())
    }

    /// Returns the expected time until a job that is accepted now has ended.
    fn expected_response(&self, spec: &JobSpec, now: UnixTime) -> Duration {
        let declared = self.teams.team(spec.team.as_str());
        let weight = declared.map_or(1, |team| team.weight);
        let declared = declared.map_or(Duration::ZERO, |team| {
            team.declared_run(spec.class.as_str())
        });
        let expected_run = self.estimates.expect(&spec.team, &spec.class, declared);
        let tasks = u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX);
        let entry = QueueEntry {
            serial: TicketSerial(u64::MAX),
            team: spec.team.clone(),
            weight,
            submitted: now,
            remaining: expected_run.saturating_mul(tasks),
        };
        // A job with tasks of different needs ends with its slowest lane; the first stands for all.
        let place = self.places.place_of(&spec.team);
        let first = spec.tasks.first();
        let needs = first.map(|task| task.needs(place)).unwrap_or_default();
        let counts = self.counts_at(place);
        let slots = f64::from(self.slots_at(place).max(1));
        let (work, slots) = match self.waiting.work_ahead(needs, &entry) {
            WorkAhead::AllTeams(work) => (work, slots),
            WorkAhead::OwnTeam(work) => {
                let usable = self.demand.slots_for(&spec.team, weight, slots, now);
                (work, usable)
            }
        };
        if work <= expected_run && counts.idle_plain > 0 {
            return expected_run;
        }
        let wait = work.div_f64(slots.max(1.0)) * WAIT_MARGIN_PERCENT / 100;
        wait + expected_run
    }

    /// Returns the expected time in which a number of slots run a number of tasks.
    pub(super) fn drain_time(&self, tasks: usize, slots: u32) -> Duration {
        let slots = u64::from(slots.max(1));
        let mean = u64::try_from(self.estimates.overall_mean().as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(mean.saturating_mul(tasks as u64) / slots)
    }

    /// Spreads a wait at random between one and two times itself, so that refused callers do not
    /// come back together.
    pub(super) fn spread(&mut self, wait: Duration) -> Duration {
        let base = wait.clamp(MIN_RETRY_WAIT, MAX_RETRY_WAIT);
        base.mul_f64(self.random.random_range(1.0..2.0))
    }
}

/// Says which worker would be needed.
fn missing_worker(needs: TaskNeeds) -> String {
    let slots = match needs.accelerators {
        0 => "a slot without an accelerator".to_owned(),
        count => format!("{count} accelerators"),
    };
    let place = if needs.place == PlaceId::EVERYWHERE {
        ""
    } else {
        " in the team's failure domains"
    };
    format!("no worker{place} has {slots} and {} MiB", needs.memory_mib)
}
