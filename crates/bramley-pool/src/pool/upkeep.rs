//! Renews leases, retries stops and ends what has lapsed.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use crate::job::{JobName, JobRecord};
use crate::message::JobOutcome;
use crate::refusal::Refusal;
use crate::run::{LiveRun, StopCause};
use crate::worker::{RunEnd, WorkerIndex, WorkerOrder};

/// Wait after a missed look; it grows by this much with each further one.
const MISSED_LOOK_WAIT: Duration = Duration::from_millis(60);

/// Time beyond its wait after which a look counts as overdue: many round trips.
const LOOK_SLACK: Duration = Duration::from_millis(40);

/// Largest multiple of the wait after missed looks.
const MISSED_LOOK_STEPS: u32 = 10;

/// Time for a worker to end what has lapsed or was stopped; the platform states 50 ms.
const END_MARGIN: Duration = Duration::from_millis(60);

impl Pool {
    /// Does what is due; called at least every 50 ms while the pool is busy.
    pub fn tick(&mut self, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        self.measure_contention(now);
        self.end_unwanted_jobs(now);
        self.forget_begun(now);
        for index in self.indices() {
            self.tend_worker(index, now);
        }
        self.place_all(now);
    }

    fn end_unwanted_jobs(&mut self, now: UnixTime) {
        let abandoned: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.relay.is_none() && job.abandoned_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in abandoned {
            self.cancel(&name, "relay_lost", now);
        }
        let waits_in_time = self.is_contended && self.waits_in_time(now);
        let expired: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.offered && self.is_expired(job, waits_in_time, now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            let wait = self.settings.suspend_first;
            self.refuse(&name, JobOutcome::Refused(Refusal::Expired), wait, now);
        }
    }

    /// Tells whether any job waits that can still be in time.
    fn waits_in_time(&self, now: UnixTime) -> bool {
        let waiting = self.queue.iter().filter_map(|name| self.jobs.get(name));
        waiting
            .filter(|job| !job.offered)
            .any(|job| job.latest_start() >= now)
    }

    /// Tells whether a job that has not started is given up: when it can no longer be in time and
    /// others that can wait for the same room, else when nobody would count its answer.
    fn is_expired(&self, job: &JobRecord, waits_in_time: bool, now: UnixTime) -> bool {
        if waits_in_time && job.latest_start() < now {
            return true;
        }
        let arrived = job.submission.arrived_at;
        let objective = job.objective_at.since(arrived);
        let given_up_at = arrived.after(objective.mul_f64(self.settings.give_up_factor));
        now >= given_up_at.min(job.submission.deadline)
    }

    fn tend_worker(&mut self, index: WorkerIndex, now: UnixTime) {
        if self.worker(index).runs.is_empty() {
            self.tend_idle_worker(index, now);
            return;
        }
        self.end_lapsed_runs(index, now);
        self.stop_unclaimed_runs(index, now);
        self.stop_stalled_runs(index, now);
        self.retry_stops(index, now);
        if self.is_look_overdue(index, now) {
            self.look_now(index, now);
        }
        self.look_if_needed(index, now);
    }

    fn tend_idle_worker(&mut self, index: WorkerIndex, now: UnixTime) {
        let idle_wait = self.settings.idle_acknowledgement;
        let is_adopting = self.adopting_until > now;
        let worker = self.worker_mut(index);
        if !is_adopting {
            worker.drop_unclaimed_ends();
        }
        let owes_acknowledgement = worker.acknowledged > worker.acknowledgement_sent
            && now.since(worker.last_end_at) >= idle_wait;
        let is_unknown = worker.listed && (!worker.synced || worker.missed_looks > 0);
        if owes_acknowledgement || is_unknown {
            self.look_now(index, now);
        }
    }

    fn end_lapsed_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        let error = self.settings.clock_error_permille;
        let worker = self.worker(index);
        if !worker.clock.has_lapsed(now.before(END_MARGIN), error) {
            return;
        }
        while !self.worker(index).runs.is_empty() {
            let run = self.worker_mut(index).remove_run(0);
            self.settle(index, run.facts(), Some(RunEnd::LeaseEnded), now);
        }
        self.note_worker(index, "leases_ended", now);
    }

    fn stop_unclaimed_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        if self.adopting_until <= now {
            self.worker_mut(index).drop_unclaimed_ends();
        }
        if self.claiming_until > now {
            return;
        }
        for position in 0..self.worker(index).runs.len() {
            if !self.worker(index).runs[position].facts().wanted {
                self.stop_run(index, position, StopCause::Unclaimed, now);
            }
        }
    }

    fn stop_stalled_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        let ratio = self.settings.stall_ratio;
        let slow_ratio = self.settings.slow_ratio;
        let floor = self.settings.stall_floor;
        for position in 0..self.worker(index).runs.len() {
            let worker = self.worker(index);
            let LiveRun::Running(run) = &worker.runs[position] else {
                continue;
            };
            let job = self.jobs.get(&run.facts.task.job);
            let declared = job.map_or(Duration::ZERO, |job| job.submission.work.declared);
            let expected = run.facts.expected.max(declared);
            // A slower worker is a bad one: its tasks are better started elsewhere.
            let pace = worker.pace.clamp(1.0, slow_ratio);
            let limit = expected.mul_f64(ratio * pace).max(floor);
            if now.since(run.facts.started_at) > limit {
                let job = run.facts.task.job.clone();
                let longer = run.facts.expected * 2;
                self.stop_run(index, position, StopCause::Stalled, now);
                self.bad_sign(index, now);
                self.expect_longer(&job, longer);
            }
        }
    }

    /// Gives the next runs of a job more time, so that an estimate that is too short cannot stop its
    /// tasks again and again. Runs that are stopped together count once.
    fn expect_longer(&mut self, name: &JobName, longer: Duration) {
        if let Some(job) = self.jobs.get_mut(name) {
            job.expected = job.expected.max(longer);
        }
    }

    fn retry_stops(&mut self, index: WorkerIndex, now: UnixTime) {
        let retry_at = now.after(self.settings.stop_retry);
        for position in 0..self.worker(index).runs.len() {
            let LiveRun::Stopping(run) = &mut self.worker_mut(index).runs[position] else {
                continue;
            };
            if run.phase.retry_at > now {
                continue;
            }
            run.phase.retry_at = retry_at;
            let order = WorkerOrder::Stop {
                task: run.facts.task.clone(),
                number: run.facts.number,
            };
            if run.phase.answered_at.is_some() {
                self.look_now(index, now);
            } else {
                self.order(index, order, now);
            }
        }
    }

    /// Keeps one waiting look at a worker on its way while anything runs there; it renews the run
    /// lease while a run is wanted and the worker answers.
    pub(super) fn look_if_needed(&mut self, index: WorkerIndex, now: UnixTime) {
        let lease = self.settings.run_lease;
        let error = self.settings.clock_error_permille;
        let wait = self.settings.look_wait;
        let worker = self.worker_mut(index);
        if worker.looking || worker.runs.is_empty() || worker.next_look_at > now {
            return;
        }
        // The caller of a run that no relay has claimed may be gone and send its job again elsewhere.
        let is_kept = worker
            .runs
            .iter()
            .any(|run| !run.is_stopping() && run.facts().wanted);
        let renews = is_kept && worker.missed_looks == 0 && worker.clock.is_known();
        worker.looking = true;
        worker.look_sent_at = now;
        worker.acknowledgement_sent = worker.acknowledged;
        let order = WorkerOrder::Look {
            lease_end: renews.then(|| worker.clock.extend_lease(now, lease, error)),
            acknowledged: worker.acknowledged,
            wait,
        };
        self.order(index, order, now);
    }

    /// Tells whether the waiting look should have been answered by now, so that its answer is lost or
    /// the worker is silent.
    pub(super) fn is_look_overdue(&self, index: WorkerIndex, now: UnixTime) -> bool {
        let worker = self.worker(index);
        let due_at = worker.look_sent_at.after(self.settings.look_wait);
        worker.looking && now >= due_at.after(LOOK_SLACK)
    }

    /// Looks at a worker at once, without renewing its lease.
    pub(super) fn look_now(&mut self, index: WorkerIndex, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        let worker = self.worker_mut(index);
        if worker.next_probe_at > now {
            return;
        }
        worker.next_probe_at = now.after(MISSED_LOOK_WAIT);
        worker.acknowledgement_sent = worker.acknowledged;
        let order = WorkerOrder::Look {
            lease_end: None,
            acknowledged: worker.acknowledged,
            wait: Duration::ZERO,
        };
        self.order(index, order, now);
    }

    /// A look that was sent at `asked_at` had no answer.
    pub(super) fn look_missed(&mut self, index: WorkerIndex, asked_at: UnixTime, now: UnixTime) {
        let worker = self.worker_mut(index);
        if worker.reported_at > asked_at {
            return;
        }
        if worker.runs.is_empty() && worker.synced && !worker.rechecking {
            // Nothing is at stake on an idle worker, and a single answer may get lost.
            worker.rechecking = true;
            worker.next_probe_at = now;
            self.look_now(index, now);
            return;
        }
        let worker = self.worker_mut(index);
        worker.missed_looks += 1;
        let steps = worker.missed_looks.min(MISSED_LOOK_STEPS);
        worker.next_look_at = now.after(MISSED_LOOK_WAIT * steps);
        worker.next_probe_at = worker.next_look_at;
        if worker.missed_looks == 1 {
            self.note_worker(index, "silent", now);
        }
    }
}
