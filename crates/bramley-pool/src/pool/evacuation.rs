//! Evacuation of the pool's failure domain and its gradual return to use.

use bramley_core::units::UnixTime;

use super::Pool;
use crate::decision::Decision;
use crate::job::{JobName, JobRecord, TaskState};
use crate::message::{JobOutcome, PoolMessage};
use crate::refusal::Refusal;
use crate::worker::{WorkerIndex, WorkerRecord};

/// Divisor of the bound that gives the time in which jobs that have begun may still start tasks.
/// The other half covers the delay of the news.
const BEGUN_JOBS_DIVISOR: u32 = 2;

/// Divisor of the number of usable workers that gives those in use as soon as the domain is taken
/// back. The load comes back within a heartbeat, and a part of the workers may be cold.
const FIRST_WORKERS_DIVISOR: usize = 5;

/// Evacuation of the domain, as far as it was read from the store in this term.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EvacuationState {
    /// Whether the evacuations are still to be read since the pool became leader.
    awaits_read: bool,
    /// Latest time at which the domain is known not to have been evacuated.
    normal_at: UnixTime,
    /// The evacuation in force.
    current: Option<CurrentEvacuation>,
}

/// An evacuation in force.
#[derive(Clone, Copy, Debug)]
struct CurrentEvacuation {
    /// Time at which the pool learned of it.
    known_since: UnixTime,
    /// Time until which jobs that have begun may start tasks.
    starts_until: UnixTime,
}

impl EvacuationState {
    /// Returns the state at the beginning of a term.
    pub(super) fn at_term_start() -> Self {
        Self {
            awaits_read: true,
            ..Self::default()
        }
    }

    /// Returns whether the evacuations are still to be read since the pool became leader.
    pub(super) const fn awaits_read(&self) -> bool {
        self.awaits_read
    }

    /// Returns whether the domain is evacuated.
    pub(super) const fn is_evacuated(&self) -> bool {
        self.current.is_some()
    }

    /// Returns whether tasks of jobs that have begun may be started.
    pub(super) fn allows_starts(&self, now: UnixTime) -> bool {
        !self.awaits_read
            && self
                .current
                .is_none_or(|current| now < current.starts_until)
    }
}

impl Pool {
    /// Returns whether the pool is the leader and its failure domain is evacuated.
    #[must_use]
    pub const fn is_evacuated(&self) -> bool {
        self.evacuation.is_evacuated()
    }

    /// Records whether the failure domain is evacuated, as the store answered to a request that was
    /// sent at `requested_at`. The first read of a term has to be one of the whole state.
    pub fn evacuation_read(&mut self, is_evacuated: bool, requested_at: UnixTime, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        let was_awaited = std::mem::take(&mut self.evacuation.awaits_read);
        match (self.evacuation.current, is_evacuated) {
            (None, true) => self.begin_evacuation(now),
            (Some(current), false) => {
                self.evacuation.normal_at = requested_at;
                self.end_evacuation(current, now);
            }
            (None, false) => self.evacuation.normal_at = requested_at,
            (Some(_), true) => {}
        }
        if was_awaited {
            self.place_all(now);
        }
    }

    fn begin_evacuation(&mut self, now: UnixTime) {
        let bound = self.settings.evacuation_bound;
        // The operator may have written the key at any time since the domain was last known not to
        // be evacuated, and a start that is delayed on its way takes effect until its lease ends.
        let latest_start = self.evacuation.normal_at.after(bound);
        let latest_start = latest_start.before(self.settings.max_lease);
        let starts_until = now.after(bound / BEGUN_JOBS_DIVISOR).min(latest_start);
        self.evacuation.current = Some(CurrentEvacuation {
            known_since: now,
            starts_until,
        });
        let runs: usize = self.workers.iter().map(|worker| worker.runs.len()).sum();
        let text = format!(
            "event=evacuation_began jobs={} waiting={} runs={runs} starts_left_ms={}",
            self.jobs.len(),
            self.queue.waiting_tasks(),
            starts_until.since(now).as_millis(),
        );
        self.log(Decision::Text { job: None, text });
        self.move_evacuated_jobs(now);
    }

    /// Returns the workers to use, first a fifth of them, warm ones before cold ones.
    fn end_evacuation(&mut self, ended: CurrentEvacuation, now: UnixTime) {
        self.evacuation.current = None;
        let mut order: Vec<(bool, UnixTime, WorkerIndex)> = self
            .indices()
            .map(|index| {
                let worker = self.worker(index);
                (!worker.is_usable(), worker.cold_until.max(now), index)
            })
            .collect();
        order.sort_unstable();
        let is_counted = |(is_unusable, ..): &&(bool, UnixTime, WorkerIndex)| !is_unusable;
        let usable = order.iter().filter(is_counted).count();
        let cold = order
            .iter()
            .filter(is_counted)
            .filter(|(_, cold_until, _)| *cold_until > now)
            .count();
        let first = usable.div_ceil(FIRST_WORKERS_DIVISOR);
        let steps = u32::try_from(usable.saturating_sub(first)).unwrap_or(u32::MAX);
        let return_time = self.settings.evacuation_return_time;
        for ((_, _, index), position) in order.into_iter().zip(1_usize..) {
            let step = position
                .saturating_sub(first)
                .min(usable.saturating_sub(first));
            let step = u32::try_from(step).unwrap_or(u32::MAX);
            let returns_at = now.after(return_time * step / steps.max(1));
            let health = &mut self.worker_mut(index).health;
            health.suspended_until = health.suspended_until.max(returns_at);
        }
        let text = format!(
            "event=evacuation_ended lasted_ms={} workers={usable} first={first} cold={cold}",
            now.since(ended.known_since).as_millis(),
        );
        self.log(Decision::Text { job: None, text });
    }

    /// Moves all jobs elsewhere that must not be started here any more.
    pub(super) fn move_evacuated_jobs(&mut self, now: UnixTime) {
        if !self.is_evacuated() {
            return;
        }
        let waiting = self.jobs.iter().filter(|(_, job)| job.waiting > 0);
        let names: Vec<JobName> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.move_if_evacuated(&name, now);
        }
    }

    /// If the domain is evacuated, refuses a job that has not started, and returns one that has
    /// begun to its relay once it may start nothing here and has no active runs.
    pub(super) fn move_if_evacuated(&mut self, name: &JobName, now: UnixTime) {
        let Some(evacuation) = self.evacuation.current else {
            return;
        };
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        if job.waiting == 0 || job.relay.is_none() || !self.knows_earlier_runs(now) {
            return;
        }
        if !job.may_have_started {
            let wait = self.settings.min_suspension;
            self.refuse(name, JobOutcome::Refused(Refusal::Evacuated), wait, now);
        } else if now >= evacuation.starts_until && self.has_no_runs(job, now) {
            self.return_job(name, now);
        }
    }

    /// Returns whether runs that an earlier leader has started are known by now, so that a job
    /// without a known run has not run.
    fn knows_earlier_runs(&self, now: UnixTime) -> bool {
        now >= self.orphaned_ends_kept_until || self.has_synced_workers(0)
    }

    /// Returns whether all runs of a job have certainly ended, so that another pool may run it.
    fn has_no_runs(&self, job: &JobRecord, now: UnixTime) -> bool {
        let name = &job.submission.work.job;
        let has_known_run = |worker: &WorkerRecord| {
            let mut runs = worker.runs.iter();
            runs.any(|run| run.details().task.job == *name)
        };
        let have_ended = job
            .tasks
            .iter()
            .zip(0..)
            .all(|(task, index)| match task.state {
                TaskState::Waiting => self.is_safe_to_start(job, index, now),
                TaskState::Placed(_) => false,
                TaskState::Done | TaskState::Elsewhere => true,
            });
        have_ended && !self.workers.iter().any(has_known_run)
    }

    /// Returns a job without active runs to its relay, which knows the tasks that are done.
    fn return_job(&mut self, name: &JobName, now: UnixTime) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        self.queue.remove(name);
        self.counts.jobs_returned += 1;
        self.remember_started(name, now);
        let decision = Decision::JobReturned {
            job: name.clone(),
            left: job.unfinished,
            age: now.since(job.submission.arrived_at),
        };
        self.log(decision);
        let message = PoolMessage::Ended {
            job: name.clone(),
            outcome: JobOutcome::Returned,
            wait: std::time::Duration::ZERO,
        };
        self.send(job.relay, message);
    }
}
