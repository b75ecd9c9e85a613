//! Start requests and their answers.

use std::sync::Arc;

use bramley_core::units::UnixTime;

use super::Pool;
use super::placement::report_age;
use crate::decision::{Decision, StartFailure};
use crate::job::{JobName, TaskName, TaskState};
use crate::run::{LiveRun, Run, RunDetails, StopCause};
use crate::worker::{CallAnswer, CallRefusal, RunEnd, WorkerCall, WorkerIndex, WorkerRequest};

/// Increment of the run number after a worker refused it as old, because another pool may have
/// assigned numbers that are not known here.
const OLD_NUMBER_STEP: u32 = 8;

impl Pool {
    /// Starts a task on a worker and allocates its resources.
    pub(super) fn start_task(
        &mut self,
        name: &JobName,
        position: usize,
        index: WorkerIndex,
        now: UnixTime,
    ) {
        let clock_error = self.settings.clock_error_permille;
        let worker = &self.workers[index.0 as usize];
        let born_unix_ms = worker.entry.born_unix_ms;
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let resources = job.resources_on(worker, position);
        let task = &mut job.tasks[position];
        task.last_number = task.last_number.saturating_add(1);
        task.state = TaskState::Placed(index);
        task.placed_number = task.last_number;
        job.waiting -= 1;
        job.may_have_started = true;
        let number = task.last_number;
        let age = now.since(job.submission.arrived_at);
        let spec = Arc::clone(&job.submission.work.spec);
        let details = RunDetails {
            task: TaskName::single_step(name.clone(), u32::try_from(position).unwrap_or(u32::MAX)),
            number,
            resources,
            is_sized: true,
            started_at: now,
            expected: job.expected,
            needed: true,
            resent: false,
            is_confirmed: false,
            end_by: UnixTime::NEVER,
            pending_starts: 1,
            born_unix_ms,
            incarnation_end: None,
            exposure: Self::new_exposure(job, worker, now),
        };
        let task = details.task.clone();
        self.update_queued(name);
        self.worker_mut(index)
            .add_run(LiveRun::Starting(Run::new(details)));
        let lease = self.allowed_lease(index, now);
        let worker = self.worker_mut(index);
        let lease_end = worker.clock.extend_lease(now, lease, clock_error);
        let decision = Decision::Placed {
            task: task.clone(),
            number,
            worker: worker.entry.name.clone(),
            free_cpu_milli: worker.free().cpu_milli,
            report_age: report_age(worker, now),
            age,
        };
        self.log(decision);
        let request = WorkerRequest::Start {
            task,
            number,
            spec,
            lease_end,
        };
        self.send_request(index, request, now);
        self.poll_if_needed(index, now);
    }

    /// Handles the answer to a start request.
    pub(super) fn start_answered(
        &mut self,
        index: WorkerIndex,
        task: &TaskName,
        number: u32,
        answer: &CallAnswer,
        now: UnixTime,
    ) {
        let Some(position) = self.worker(index).find_run(task, number) else {
            return;
        };
        let details = self.worker_mut(index).runs[position].details_mut();
        details.pending_starts = details.pending_starts.saturating_sub(1);
        let refusal = match answer {
            CallAnswer::Accepted(_) => {
                let worker = self.worker_mut(index);
                let run = worker.runs[position].clone();
                worker.runs[position] = run.confirmed(now);
                return;
            }
            CallAnswer::Unanswered | CallAnswer::Report(_) => {
                self.counts.starts_unanswered += 1;
                self.start_unanswered(index, position, now);
                return;
            }
            CallAnswer::ConnectionRefused | CallAnswer::NotSent => None,
            CallAnswer::Refused(refusal, _) => Some(*refusal),
        };
        let failure = match (answer, refusal) {
            (_, Some(refusal)) => StartFailure::Refused(refusal),
            (CallAnswer::ConnectionRefused, None) => StartFailure::ConnectionRefused,
            (_, None) => StartFailure::NotSent,
        };
        self.log_start_refused(index, task, number, failure);
        let run = &self.worker(index).runs[position];
        if run.details().resent {
            // The first request may have been carried out or may still be.
            if matches!(run, LiveRun::Starting(_)) {
                self.stop_run(index, position, StopCause::StartUnanswered, now);
                self.probe(index, now);
            }
            return;
        }
        let run = self.worker_mut(index).remove_run(position);
        match refusal {
            Some(CallRefusal::NoRoom) => {
                self.counts.starts_without_room += 1;
                self.worker_mut(index).synced = false;
                self.probe(index, now);
            }
            Some(CallRefusal::TooLate) => self.probe(index, now),
            Some(CallRefusal::Malformed) => {
                self.handle_run_end(index, run.details(), Some(RunEnd::Failed), now);
                return;
            }
            Some(CallRefusal::Unhealthy) | None => {
                self.record_fault(index, now);
            }
            Some(CallRefusal::Fenced | CallRefusal::OldNumber | CallRefusal::OtherIncarnation) => {}
        }
        self.handle_run_end(index, run.details(), None, now);
        if refusal == Some(CallRefusal::OldNumber)
            && let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(record) = job.tasks.get_mut(task.index as usize)
        {
            record.last_number = record.last_number.saturating_add(OLD_NUMBER_STEP);
        }
    }

    /// Resends a start request that is overdue; its answer may still arrive. The worker accepts the
    /// repeated request without a second run.
    ///
    /// The request only counts as lost if another one that was not sent before it has been
    /// answered. Else the network or the host is short of capacity, and a repetition would make
    /// that worse.
    pub fn start_overdue(&mut self, call: &WorkerCall, now: UnixTime) {
        let known = self.workers.get(call.worker.0 as usize);
        let is_current = known.is_some_and(|worker| worker.epoch == call.epoch);
        let WorkerRequest::Start { task, number, .. } = &call.request else {
            return;
        };
        let is_lost = self.latest_answered_call >= call.sent_at;
        if self.token != Some(call.token) || !is_current || !is_lost {
            return;
        }
        let worker = self.worker(call.worker);
        let Some(position) = worker.find_run(task, *number) else {
            return;
        };
        let run = &worker.runs[position];
        let may_resend =
            matches!(run, LiveRun::Starting(_)) && !run.details().resent && worker.is_usable();
        if may_resend {
            self.resend_start(call.worker, position, now);
        }
    }

    /// Handles a start request without an answer. If a report has confirmed the run meanwhile, it
    /// goes on. Else the request is resent unless it was before; if that fails, too, the run is
    /// stopped.
    fn start_unanswered(&mut self, index: WorkerIndex, position: usize, now: UnixTime) {
        let worker = self.worker(index);
        let LiveRun::Starting(run) = &worker.runs[position] else {
            return;
        };
        if run.details.pending_starts > 0 {
            return;
        }
        let is_silent = worker.report_requested_at < run.details.started_at;
        let may_resend = !run.details.resent && worker.is_usable();
        let (task, number) = (run.details.task.clone(), run.details.number);
        self.log_start_refused(index, &task, number, StartFailure::Unanswered);
        if !may_resend || !self.resend_start(index, position, now) {
            self.stop_run(index, position, StopCause::StartUnanswered, now);
            self.record_fault(index, now);
        }
        if is_silent {
            // A probe shows whether the worker is unresponsive or the answer was lost.
            self.probe(index, now);
        }
    }

    fn log_start_refused(
        &mut self,
        index: WorkerIndex,
        task: &TaskName,
        number: u32,
        failure: StartFailure,
    ) {
        let worker = self.worker(index).entry.name.clone();
        self.log(Decision::StartRefused {
            task: task.clone(),
            number,
            worker,
            failure,
        });
    }

    /// Resends an unanswered start request with the same run number; returns false if the caller
    /// may be gone or the failure domain is evacuated.
    fn resend_start(&mut self, index: WorkerIndex, position: usize, now: UnixTime) -> bool {
        let lease = self.allowed_lease(index, now);
        let clock_error = self.settings.clock_error_permille;
        let details = self.worker(index).runs[position].details();
        let (task, number) = (details.task.clone(), details.number);
        let job = self.jobs.get(&task.job);
        let is_allowed = now >= self.placement_paused_until && self.evacuation.allows_starts(now);
        let Some(job) = job.filter(|job| job.relay.is_some() && is_allowed) else {
            return false;
        };
        let spec = Arc::clone(&job.submission.work.spec);
        let worker = self.worker_mut(index);
        let details = worker.runs[position].details_mut();
        details.resent = true;
        details.pending_starts += 1;
        let lease_end = worker.clock.extend_lease(now, lease, clock_error);
        let decision = Decision::StartSentAgain {
            task: task.clone(),
            number,
            worker: worker.entry.name.clone(),
            report_age: report_age(worker, now),
        };
        self.log(decision);
        let request = WorkerRequest::Start {
            task,
            number,
            spec,
            lease_end,
        };
        self.send_request(index, request, now);
        true
    }
}
