//! Timed work: polls, lease renewal and expiry, stalled runs and repeated stop requests.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use super::placement::expected_end;
use crate::crash::CrashEvidence;
use crate::decision::Decision;
use crate::job::{JobName, QueueClass};
use crate::message::JobOutcome;
use crate::refusal::Refusal;
use crate::run::{LiveRun, StopCause};
use crate::worker::{WorkerIndex, WorkerRequest};

/// Backoff after a missed poll, which grows by this much with each further one; also the minimum
/// interval between probes.
const MISSED_POLL_BACKOFF: Duration = Duration::from_millis(60);

/// Divisor of a run's time that gives the margin by which a poll outlasts its expected end.
const POLL_MARGIN_DIVISOR: u32 = 4;

/// Maximum multiple of the backoff after missed polls.
const MAX_BACKOFF_STEPS: u32 = 10;

/// Time that a worker takes to end runs that were stopped or whose lease expired; the platform
/// specifies 50 ms.
const RUN_END_MARGIN: Duration = Duration::from_millis(60);

impl Pool {
    /// Performs timed work; to be called at least every 50 ms while the pool is busy.
    pub fn tick(&mut self, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        self.update_contention(now);
        let usable = self
            .workers
            .iter()
            .filter(|worker| worker.is_usable() && worker.health.suspended_until <= now);
        self.utilization.sample(usable, now);
        self.drop_abandoned_and_expired_jobs(now);
        self.expire_started_jobs(now);
        self.judge_interference(now);
        for index in self.indices() {
            self.maintain_worker(index, now);
        }
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
        if !self.is_contended || !self.has_job_in_time(now) {
            return;
        }
        let late: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let is_late = job.latest_start() < now && job.queue_class == QueueClass::InTime;
                is_late && !job.may_have_started
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in late {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            if self.can_serve_late(job, now) {
                let decision = Decision::Deferred {
                    job: name.clone(),
                    left: job.latest_useful_start().since(now),
                    waiting: self.waiting_tasks(),
                    age: now.since(job.submission.arrived_at),
                };
                self.log(decision);
                if let Some(job) = self.jobs.get_mut(&name) {
                    job.queue_class = QueueClass::Late;
                }
            } else {
                self.refuse_expired(&name, now);
            }
        }
    }

    fn refuse_expired(&mut self, name: &JobName, now: UnixTime) {
        let wait = self.settings.min_suspension;
        self.refuse(name, JobOutcome::Refused(Refusal::Expired), wait, now);
    }

    /// Returns whether any waiting job that has not started can still meet its objective.
    fn has_job_in_time(&self, now: UnixTime) -> bool {
        let waiting = self.queue.iter().filter_map(|name| self.jobs.get(name));
        waiting
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
        if self.orphaned_runs_kept_until > now {
            return;
        }
        for position in 0..self.worker(index).runs.len() {
            if !self.worker(index).runs[position].details().needed {
                self.stop_run(index, position, StopCause::Orphaned, now);
            }
        }
    }

    fn stop_stalled_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        let ratio = self.settings.stall_ratio;
        let slow_ratio = self.settings.slow_ratio;
        let floor = self.settings.min_stall_time;
        for position in 0..self.worker(index).runs.len() {
            let worker = self.worker(index);
            let LiveRun::Running(run) = &worker.runs[position] else {
                continue;
            };
            let job = self.jobs.get(&run.details.task.job);
            let declared = job.map_or(Duration::ZERO, |job| job.submission.work.declared);
            let expected = run.details.expected.max(declared);
            // The limit is not raised beyond `slow_ratio`, because a worker that is even slower is
            // unhealthy, and its tasks are better restarted elsewhere.
            let stretch = self.run_stretch(worker, &run.details);
            let relative_run_time = (worker.relative_run_time * stretch).clamp(1.0, slow_ratio);
            let limit = expected.mul_f64(ratio * relative_run_time).max(floor);
            if now.since(run.details.started_at) > limit {
                let job = run.details.task.job.clone();
                let raised = run.details.expected * 2;
                self.stop_run(index, position, StopCause::Stalled, now);
                self.record_fault(index, now);
                self.raise_expected_run_time(&job, raised);
            }
        }
    }

    /// Raises the expected run time of a job, so that an estimate that is too short does not get
    /// its tasks stopped again and again. Runs that are stopped together raise it only once.
    fn raise_expected_run_time(&mut self, name: &JobName, raised: Duration) {
        if let Some(job) = self.jobs.get_mut(name) {
            job.expected = job.expected.max(raised);
        }
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
        let lease = self.settings.run_lease;
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
        let renews = has_needed_run && worker.missed_polls == 0 && worker.clock.is_known();
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
            let remaining = expected_end(worker, details, now).since(now);
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
