//! Timed work: polls, lease renewal and expiry, stalled runs and repeated stop requests.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use super::admission::LateStart;
use super::placement::usual_end;
use crate::crash::CrashEvidence;
use crate::decision::Decision;
use crate::job::{JobName, QueueClass};
use crate::mechanism::Mechanism;
use crate::message::JobOutcome;
use crate::refusal::Refusal;
use crate::run::{LiveRun, RunDetails, StopCause};
use crate::worker::{WorkerIndex, WorkerRecord, WorkerRequest};

/// Backoff after a missed poll, which grows by this much with each further one; also the minimum
/// interval between probes.
const MISSED_POLL_BACKOFF: Duration = Duration::from_millis(60);

/// Divisor of a run's time that gives the margin by which a poll outlasts its expected end.
const POLL_MARGIN_DIVISOR: u32 = 4;

/// Maximum multiple of the backoff after missed polls.
const MAX_BACKOFF_STEPS: u32 = 10;

/// Multiple of the expected run time after which a run counts as stalled although its worker has
/// ended later ones. The longest tasks take nine times the usual time.
const LONG_TASK_RATIO: f64 = 12.0;

/// Longest time for which a run is taken for a long task. Long tasks of known routes take up to
/// 8.1 s, on a worker of speed 0.7 11.6 s; a run that hangs alone is started elsewhere after that.
const MAX_LONG_TASK: Duration = Duration::from_secs(12);

/// Factor on a route's longest recent run beyond which a run counts as stalled.
const LONGEST_MARGIN: f64 = 1.5;

/// Time that a worker takes to end runs that were stopped or whose lease expired; the platform
/// specifies 50 ms.
const RUN_END_MARGIN: Duration = Duration::from_millis(60);

impl Pool {
    /// Performs timed work; to be called at least every 50 ms while the pool is busy.
    pub fn tick(&mut self, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        self.begin_summary(now);
        self.update_speeds(now);
        self.update_contention(now);
        self.log_suppressed_refusals(now);
        self.shares.update(now);
        let usable = self
            .workers
            .iter()
            .filter(|worker| worker.is_usable() && worker.health.suspended_until <= now);
        self.utilization.sample(usable, now);
        self.end_adoption(now);
        self.drop_abandoned_and_expired_jobs(now);
        self.expire_started_jobs(now);
        self.judge_interference(now);
        for index in self.indices() {
            self.maintain_worker(index, now);
        }
        self.move_evacuated_jobs(now);
        self.place_all(now);
    }

    fn drop_abandoned_and_expired_jobs(&mut self, now: UnixTime) {
        let abandoned: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.relay.is_none() && job.abandoned_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in abandoned {
            self.cancel(&name, "relay_lost", now);
        }
        self.defer_late_jobs(now);
        let expired: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.may_have_started && job.latest_useful_start() < now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.refuse_expired(&name, now);
        }
    }

    /// Moves jobs that can no longer meet their objective behind those that can, if both are
    /// waiting for contended capacity. A job that could not be served there in time to be of use is
    /// refused.
    fn defer_late_jobs(&mut self, now: UnixTime) {
        if !self.allows(Mechanism::Deferral) || !self.is_contended || !self.has_job_in_time(now) {
            return;
        }
        // Refused jobs leave their slots to those behind them.
        let mut refused_work = Duration::ZERO;
        for LateStart { name, start, slots } in self.late_starts(now) {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let work = job.expected * job.waiting;
            let start = start.before(refused_work / slots.max(1));
            if !self.defer(&name, start, now) {
                refused_work += work;
            }
        }
    }

    /// Moves a job that has not started, and whose last task is expected to start at `start`, behind
    /// those that can meet their objective, or refuses it if its answer would come too late to be of
    /// use. Returns whether it is still open.
    pub(super) fn defer(&mut self, name: &JobName, start: UnixTime, now: UnixTime) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        if !self.can_serve_late(job, start, now) {
            self.refuse_expired(name, now);
            return false;
        }
        let decision = Decision::Deferred {
            job: name.clone(),
            left: job.latest_useful_start().since(now),
            waiting: self.queue.waiting_tasks(),
            age: now.since(job.submission.arrived_at),
        };
        self.log(decision);
        if let Some(job) = self.jobs.get_mut(name) {
            job.queue_class = QueueClass::Late;
        }
        self.update_queued(name);
        true
    }

    fn refuse_expired(&mut self, name: &JobName, now: UnixTime) {
        let wait = self.settings.min_suspension;
        if let Some(job) = self.jobs.remove(name) {
            self.count_displaced(&job);
            self.jobs.insert(name.clone(), job);
        }
        self.refuse(name, JobOutcome::Refused(Refusal::Expired), wait, now);
    }

    /// Returns whether any waiting job that has not started can still meet its objective.
    fn has_job_in_time(&self, now: UnixTime) -> bool {
        let names = self.queue.in_order(self.is_contended, now);
        names
            .filter_map(|name| self.jobs.get(name))
            .filter(|job| !job.may_have_started && job.queue_class == QueueClass::InTime)
            .any(|job| job.latest_start() >= now)
    }

    fn maintain_worker(&mut self, index: WorkerIndex, now: UnixTime) {
        if self.worker(index).runs.is_empty() {
            self.maintain_idle_worker(index, now);
            return;
        }
        self.end_expired_runs(index, now);
        self.stop_orphaned_runs(index, now);
        self.stop_stalled_runs(index, now);
        self.retry_stops(index, now);
        if self.is_poll_overdue(index, now) {
            self.probe(index, now);
        }
        self.poll_if_needed(index, now);
    }

    fn maintain_idle_worker(&mut self, index: WorkerIndex, now: UnixTime) {
        let delay = self.settings.idle_acknowledgement;
        let keeps_orphaned_ends = self.orphaned_ends_kept_until > now;
        let worker = self.worker_mut(index);
        if !keeps_orphaned_ends {
            worker.drop_orphaned_ends();
        }
        let acknowledgement_due = worker.acknowledged > worker.acknowledgement_sent
            && now.since(worker.last_end_at) >= delay;
        let needs_probe = worker.listed && (!worker.synced || worker.missed_polls > 0);
        if acknowledgement_due || needs_probe {
            self.probe(index, now);
        }
    }

    fn end_expired_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        let clock_error = self.settings.clock_error_permille;
        let worker = self.worker(index);
        if !worker
            .clock
            .has_expired(now.before(RUN_END_MARGIN), clock_error)
        {
            return;
        }
        let worker = self.worker(index);
        let evidence = if worker.has_ended_suddenly {
            CrashEvidence::ConnectionRefused
        } else {
            CrashEvidence::Silent
        };
        let mut runs = Vec::with_capacity(worker.runs.len());
        while !self.worker(index).runs.is_empty() {
            runs.push(self.worker_mut(index).remove_run(0));
        }
        self.lose_runs(index, &runs, evidence, now);
        self.log_worker_change(index, "leases_ended", now);
    }

    fn stop_orphaned_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        if self.orphaned_ends_kept_until <= now {
            self.worker_mut(index).drop_orphaned_ends();
        }
        if self.orphans_kept_until() > now {
            return;
        }
        for position in 0..self.worker(index).runs.len() {
            if !self.worker(index).runs[position].details().needed {
                self.stop_run(index, position, StopCause::Orphaned, now);
            }
        }
    }

    /// Stops runs that take far longer than their worker's speed and their route's longest runs
    /// explain, to start their tasks elsewhere.
    fn stop_stalled_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        for position in 0..self.worker(index).runs.len() {
            let worker = self.worker(index);
            let LiveRun::Running(run) = &worker.runs[position] else {
                continue;
            };
            let details = &run.details;
            if now.since(details.started_at) <= self.stall_limit(worker, details) {
                continue;
            }
            // A worker that has ended a later run is not to blame.
            let has_ended_later_run = worker.health.latest_success_start > details.started_at;
            let job = details.task.job.clone();
            let raised = details.expected * 2;
            self.stop_run(index, position, StopCause::Stalled, now);
            if !has_ended_later_run {
                self.record_fault(index, now);
            }
            self.raise_expected_run_time(&job, raised);
        }
    }

    /// Returns the time after which a run counts as stalled.
    fn stall_limit(&self, worker: &WorkerRecord, details: &RunDetails) -> Duration {
        let job = self.jobs.get(&details.task.job);
        let declared = job.map_or(Duration::ZERO, |job| job.submission.work.declared);
        let expected = details.expected.max(declared);
        let longest = job.map_or(1.0, |job| {
            self.route_spread(&job.submission.policy.route).longest()
        });
        // A worker that ends other runs works, so the task itself is long, and would be as long
        // elsewhere.
        let long_task_ratio = if worker.health.latest_success_start > details.started_at {
            LONG_TASK_RATIO
        } else {
            longest * LONGEST_MARGIN
        };
        // The limit is not raised beyond `slow_ratio`, because a worker that is even slower is
        // unhealthy, and its tasks are better restarted elsewhere.
        let stretch = self.run_stretch(worker, details);
        let relative_run_time =
            (worker.relative_run_time * stretch).clamp(1.0, self.settings.slow_ratio);
        let expected = expected.mul_f64(relative_run_time);
        let long_task_limit = expected.mul_f64(long_task_ratio).min(MAX_LONG_TASK);
        expected
            .mul_f64(self.settings.stall_ratio)
            .max(self.settings.min_stall_time)
            .max(long_task_limit)
    }

    /// Raises the expected run time of a job, so that an estimate that is too short does not get
    /// its tasks stopped again and again. Runs that are stopped together raise it only once.
    fn raise_expected_run_time(&mut self, name: &JobName, raised: Duration) {
        if let Some(job) = self.jobs.get_mut(name) {
            job.expected = job.expected.max(raised);
        }
        self.update_queued(name);
    }

    /// Resends unanswered stop requests. If the worker has acknowledged a stop, requests a report
    /// instead, which shows whether the run has ended.
    fn retry_stops(&mut self, index: WorkerIndex, now: UnixTime) {
        let retry_at = now.after(self.settings.stop_retry_interval);
        for position in 0..self.worker(index).runs.len() {
            let LiveRun::Stopping(run) = &mut self.worker_mut(index).runs[position] else {
                continue;
            };
            if run.phase.retry_at > now {
                continue;
            }
            run.phase.retry_at = retry_at;
            let request = WorkerRequest::Stop {
                task: run.details.task.clone(),
                number: run.details.number,
            };
            if run.phase.answered_at.is_some() {
                self.probe(index, now);
            } else {
                self.send_request(index, request, now);
            }
        }
    }

    /// Keeps one long poll in flight to a worker with active runs. The poll renews the run lease
    /// while a run is needed and the worker answers.
    pub(super) fn poll_if_needed(&mut self, index: WorkerIndex, now: UnixTime) {
        let lease = self.allowed_lease(index, now);
        let clock_error = self.settings.clock_error_permille;
        let wait = self.choose_poll_wait(index, now);
        let overdue_at = now.after(wait).after(self.resend_delay());
        let worker = self.worker_mut(index);
        if worker.poll_in_flight || worker.runs.is_empty() || worker.next_poll_at > now {
            return;
        }
        // Orphaned runs do not renew the lease, because their callers may be gone and may resend
        // the jobs elsewhere.
        let has_needed_run = worker
            .runs
            .iter()
            .any(|run| !run.is_stopping() && run.details().needed);
        let may_renew = has_needed_run && !lease.is_zero();
        let renews = may_renew && worker.missed_polls == 0 && worker.clock.is_known();
        worker.poll_in_flight = true;
        worker.poll_sent_at = now;
        worker.poll_overdue_at = overdue_at;
        worker.acknowledgement_sent = worker.acknowledged;
        let request = WorkerRequest::Poll {
            lease_end: renews.then(|| worker.clock.extend_lease(now, lease, clock_error)),
            acknowledged: worker.acknowledged,
            wait,
        };
        self.send_request(index, request, now);
    }

    /// Returns whether the long poll is overdue, so that its answer was lost or the worker is
    /// unresponsive.
    pub(super) fn is_poll_overdue(&self, index: WorkerIndex, now: UnixTime) -> bool {
        let worker = self.worker(index);
        worker.poll_in_flight && now >= worker.poll_overdue_at
    }

    /// Returns the timeout of the next long poll. It ends soon after the next run is expected to
    /// end, so that a lost answer is noticed in time; if that run takes longer, the polls become
    /// rarer.
    fn choose_poll_wait(&self, index: WorkerIndex, now: UnixTime) -> Duration {
        let worker = self.worker(index);
        let longest = self.settings.poll_wait;
        let waits = worker.runs.iter().map(|run| {
            let details = run.details();
            let remaining = usual_end(worker, details, now).since(now);
            let elapsed = now.since(details.started_at);
            remaining + (remaining + elapsed) / POLL_MARGIN_DIVISOR
        });
        let soonest = waits.min().unwrap_or(longest);
        soonest.clamp(self.settings.min_poll_wait, longest)
    }

    /// Requests an immediate report from a worker without renewing its lease.
    pub(super) fn probe(&mut self, index: WorkerIndex, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        let worker = self.worker_mut(index);
        if worker.next_probe_at > now {
            return;
        }
        worker.next_probe_at = now.after(MISSED_POLL_BACKOFF);
        worker.acknowledgement_sent = worker.acknowledged;
        let request = WorkerRequest::Poll {
            lease_end: None,
            acknowledged: worker.acknowledged,
            wait: Duration::ZERO,
        };
        self.send_request(index, request, now);
    }

    /// Handles a poll sent at `requested_at` that was not answered.
    pub(super) fn poll_missed(
        &mut self,
        index: WorkerIndex,
        requested_at: UnixTime,
        now: UnixTime,
    ) {
        let worker = self.worker_mut(index);
        let has_answered_since =
            worker.report_requested_at.max(worker.latest_answered_call) > requested_at;
        if has_answered_since {
            return;
        }
        if worker.runs.is_empty() && worker.synced && !worker.retrying_probe {
            // An idle worker has no lease to lose, and a single answer may get lost, so retry once.
            worker.retrying_probe = true;
            worker.next_probe_at = now;
            self.probe(index, now);
            return;
        }
        let worker = self.worker_mut(index);
        worker.missed_polls += 1;
        let backoff_steps = worker.missed_polls.min(MAX_BACKOFF_STEPS);
        worker.next_poll_at = now.after(MISSED_POLL_BACKOFF * backoff_steps);
        worker.next_probe_at = worker.next_poll_at;
        if worker.missed_polls == 1 {
            self.log_worker_change(index, "silent", now);
        }
    }
}
