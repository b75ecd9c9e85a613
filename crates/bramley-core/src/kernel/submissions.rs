//! Handles submissions, queries and cancellations, and answers callers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::digest::ContentDigest;
use crate::errors::{DispatchError, ErrorKind, ExecutionStatus};
use crate::invariants::InvariantKind;
use crate::job::{
    ActiveJob, JobAnswer, JobFailure, JobRecord, JobSpec, ReplyToken, refused_earlier,
};
use crate::outcomes::OutcomeEntry;
use crate::queue::QueueEntry;
use crate::task::{TaskPhase, TaskReport};
use crate::units::{AttemptId, TicketSerial, UnixTime};
use crate::worker::TaskRequirements;

use super::DispatchKernel;
use super::action::KernelAction;
use super::event::JobSubmission;

/// Maximum number of callers waiting for one job; more are told that the job is running.
const MAX_JOB_WAITERS: usize = 64;

impl DispatchKernel {
    /// Accepts or refuses a submission.
    ///
    /// A resubmission under the same ticket gets the answer of the earlier submission.
    pub(super) fn on_submitted(
        &mut self,
        submission: JobSubmission,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let JobSubmission {
            serial,
            expiry,
            mut spec,
            digest,
            token,
        } = submission;
        if self.settings.faults.forget_answers {
            self.outcomes.remove_answer(serial);
        }
        if let Some(entry) = self.outcomes.get_mut(serial) {
            self.counters.resubmissions += 1;
            let reply = attach_or_reply(entry, digest == entry.digest, token);
            actions.extend(reply);
            return;
        }
        if let Err(error) = self.check_ticket(serial, expiry, now) {
            actions.push(refuse(token, error));
            return;
        }
        self.resolve_deadline(&mut spec, expiry, now);
        if let Err(error) = self.admit(&spec, now) {
            self.counters.refused_jobs += 1;
            self.close_ticket(serial, expiry);
            actions.push(refuse_not_run(token, error));
            return;
        }
        let mut job = Box::new(ActiveJob::new(serial, spec, now));
        job.waiters.push(token);
        self.accept(job, TicketTerms { digest, expiry });
    }

    /// Closes a ticket permanently, so that no task is ever started under it.
    fn close_ticket(&mut self, serial: TicketSerial, expiry: UnixTime) {
        if !self.settings.faults.forget_closed_tickets {
            self.outcomes.close(serial, expiry);
        }
    }

    /// Checks that a ticket without a job is neither closed nor expired.
    fn check_ticket(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
        now: UnixTime,
    ) -> Result<(), DispatchError> {
        if self.outcomes.is_closed(serial) {
            return Err(DispatchError::new(ErrorKind::RefusedEarlier, ""));
        }
        if now > expiry {
            return Err(DispatchError::new(ErrorKind::ExpiredTicket, ""));
        }
        Ok(())
    }

    /// Applies the default deadline if none is given, and limits the deadline to the expiry of the
    /// ticket.
    fn resolve_deadline(&self, spec: &mut JobSpec, expiry: UnixTime, now: UnixTime) {
        if spec.deadline == UnixTime::NEVER {
            let team = self.teams.team(spec.team.as_str());
            let within = team.map_or(Duration::ZERO, |team| {
                team.answer_within(spec.class.as_str())
            });
            spec.deadline = now.after(within);
        }
        spec.deadline = spec.deadline.min(expiry);
    }

    /// Records an accepted job and enqueues its tasks.
    fn accept(&mut self, mut job: Box<ActiveJob>, terms: TicketTerms) {
        let serial = job.serial;
        job.place = self.places.team_place(&job.team);
        job.expected_run = self.expected_run(&job);
        self.counters.accepted_jobs += 1;
        self.counters.accepted_tasks += job.inputs.len() as u64;
        self.active_jobs += 1;
        self.deadlines.insert((job.deadline, serial));
        self.enqueue_all(&job);
        let record = JobRecord::Active(job);
        self.outcomes.insert(
            serial,
            OutcomeEntry {
                digest: terms.digest,
                expiry: terms.expiry,
                record,
            },
        );
        let within = self.outcomes.len() <= self.settings.max_kept_outcomes;
        self.monitor
            .check(InvariantKind::OutcomesWithinBounds, within, || {
                "too many outcomes are kept".to_owned()
            });
    }

    fn expected_run(&self, job: &ActiveJob) -> Duration {
        let team = self.teams.team(job.team.as_str());
        let declared = team.map_or(Duration::ZERO, |team| team.declared_run(job.class.as_str()));
        self.estimates.estimate(&job.team, &job.class, declared)
    }

    fn enqueue_all(&mut self, job: &ActiveJob) {
        for (requirements, indices) in job.waiting_groups() {
            let entry = job.queue_entry(indices.len());
            self.push_waiting(requirements, &indices, entry);
        }
    }

    /// Enqueues tasks of a job with the weight of its team.
    pub(super) fn push_waiting(
        &mut self,
        requirements: TaskRequirements,
        indices: &[u32],
        entry: QueueEntry,
    ) {
        let weight = self
            .teams
            .team(entry.team.as_str())
            .map_or(1, |team| team.weight);
        self.waiting
            .push(requirements, indices, QueueEntry { weight, ..entry });
    }

    /// Replies with the state of a job.
    pub(super) fn on_queried(
        &mut self,
        serial: TicketSerial,
        expiry: UnixTime,
        token: ReplyToken,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        if let Some(entry) = self.outcomes.get(serial) {
            actions.push(match &entry.record {
                JobRecord::Active(_) => KernelAction::ReplyRunning(token),
                JobRecord::Answered(answer) => reply(token, answer),
            });
            return;
        }
        let error = match self.check_ticket(serial, expiry, now) {
            Ok(()) => DispatchError::new(ErrorKind::NotFound, "nothing was submitted yet"),
            Err(error) => error,
        };
        actions.push(refuse(token, error));
    }

    /// Cancels a job, or closes the ticket if nothing was submitted under it.
    pub(super) fn on_cancelled(
        &mut self,
        serial: TicketSerial,
        expiry: UnixTime,
        token: ReplyToken,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let cancelled = DispatchError::new(ErrorKind::Cancelled, "");
        if let Some(entry) = self.outcomes.get_mut(serial) {
            match &mut entry.record {
                JobRecord::Answered(answer) => actions.push(reply(token, answer)),
                JobRecord::Active(job) => {
                    job.waiters.push(token);
                    self.counters.cancelled_jobs += 1;
                    self.fail_job(serial, cancelled, actions);
                }
            }
            return;
        }
        if let Err(error) = self.check_ticket(serial, expiry, now) {
            actions.push(refuse(token, error));
            return;
        }
        self.close_ticket(serial, expiry);
        actions.push(refuse_not_run(token, cancelled));
    }

    /// Answers a job with the outputs of its tasks.
    pub(super) fn complete_job(&mut self, serial: TicketSerial, actions: &mut Vec<KernelAction>) {
        let Some(job) = self.active_job(serial) else {
            return;
        };
        let outputs = job.outputs();
        let complete = outputs
            .as_ref()
            .is_some_and(|outputs| outputs.len() == job.inputs.len());
        self.monitor
            .check(InvariantKind::CompleteAnswerIsWhole, complete, || {
                format!("ticket {}", serial.0)
            });
        let Some(outputs) = outputs else {
            let error = DispatchError::new(ErrorKind::Internal, "an output is missing");
            self.fail_job(serial, error, actions);
            return;
        };
        self.counters.completed_jobs += 1;
        self.answer_job(serial, JobAnswer::Complete(outputs), actions);
    }

    /// Answers a job as failed at once and asks workers to stop the tasks that may be running.
    pub(super) fn fail_job(
        &mut self,
        serial: TicketSerial,
        error: DispatchError,
        actions: &mut Vec<KernelAction>,
    ) {
        let Some(job) = self.active_job(serial) else {
            return;
        };
        let mut failure = job.failure(error);
        let requirements = job.waiting_requirements();
        let all_queued = job.all_tasks_queued();
        let sent = job.sent_attempts();
        let consistent = sent.len() == job.in_flight;
        self.monitor
            .check(InvariantKind::NotRunWasNeverSent, consistent, || {
                format!("ticket {}", serial.0)
            });
        for attempt in sent {
            if let Some(record) = self.attempts.get(attempt) {
                let address = self.workers.get(record.worker).address;
                actions.push(KernelAction::Stop {
                    address,
                    task: record.task,
                });
            }
        }
        let faults = self.settings.faults;
        let retried = faults.report_retried_as_not_run && all_queued;
        if faults.report_sent_as_not_run || retried {
            failure.execution = ExecutionStatus::NotRun;
            failure.tasks.fill(TaskReport::NotRun);
        }
        self.counters.removal_steps += self.waiting.remove_job(serial, &requirements);
        self.counters.failed_jobs += 1;
        self.answer_job(serial, JobAnswer::Failed(failure), actions);
    }

    /// Stores the answer of a job and sends it to all waiting callers.
    fn answer_job(
        &mut self,
        serial: TicketSerial,
        answer: JobAnswer,
        actions: &mut Vec<KernelAction>,
    ) {
        let answer = Arc::new(answer);
        let previous = self.outcomes.answer(serial, Arc::clone(&answer));
        let Some(JobRecord::Active(job)) = previous else {
            self.monitor.check(InvariantKind::AnsweredOnce, false, || {
                format!("ticket {}", serial.0)
            });
            return;
        };
        self.deadlines.remove(&(job.deadline, serial));
        self.active_jobs -= 1;
        for token in &job.waiters {
            actions.push(reply(*token, &answer));
        }
    }

    /// Fails the jobs whose deadlines have passed.
    pub(super) fn fail_overdue_jobs(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        while let Some(&(deadline, serial)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.fail_job(
                serial,
                DispatchError::new(ErrorKind::DeadlinePassed, ""),
                actions,
            );
            self.deadlines.remove(&(deadline, serial));
        }
    }

    /// Fails all remaining jobs when the deadline of a graceful shutdown has passed.
    pub(super) fn fail_all_jobs(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        self.draining = true;
        let retry_after = self.with_jitter(Duration::ZERO);
        for serial in self.outcomes.active_serials() {
            let error =
                DispatchError::retry(ErrorKind::Draining, "the stop deadline passed", retry_after);
            self.fail_job(serial, error, actions);
        }
        self.expire(now, actions);
    }

    /// Returns the active job of a ticket.
    pub(super) fn active_job(&mut self, serial: TicketSerial) -> Option<&mut ActiveJob> {
        match &mut self.outcomes.get_mut(serial)?.record {
            JobRecord::Active(job) => Some(job),
            JobRecord::Answered(_) => None,
        }
    }
}

/// Ticket data that is stored with a job.
struct TicketTerms {
    digest: ContentDigest,
    expiry: UnixTime,
}

impl ActiveJob {
    /// Returns the queue entry of the job with the given number of waiting tasks.
    pub(super) fn queue_entry(&self, tasks: usize) -> QueueEntry {
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        QueueEntry {
            serial: self.serial,
            team: self.team.clone(),
            weight: 1,
            submitted: self.submitted,
            remaining: self.expected_run.saturating_mul(tasks),
        }
    }

    /// Returns the indices of the waiting tasks, grouped by their requirements.
    pub(super) fn waiting_groups(&self) -> BTreeMap<TaskRequirements, Vec<u32>> {
        let mut groups: BTreeMap<TaskRequirements, Vec<u32>> = BTreeMap::new();
        for ((index, phase), input) in (0_u32..).zip(&self.phases).zip(&self.inputs) {
            if let TaskPhase::Queued(_) = phase {
                groups
                    .entry(input.requirements(self.place))
                    .or_default()
                    .push(index);
            }
        }
        groups
    }

    /// Returns the distinct requirements of the waiting tasks.
    pub(super) fn waiting_requirements(&self) -> BTreeSet<TaskRequirements> {
        let mut requirements = BTreeSet::new();
        for (phase, input) in self.phases.iter().zip(&self.inputs) {
            if let TaskPhase::Queued(_) = phase {
                requirements.insert(input.requirements(self.place));
            }
        }
        requirements
    }

    /// Returns whether all tasks are waiting to be sent.
    fn all_tasks_queued(&self) -> bool {
        self.phases
            .iter()
            .all(|phase| matches!(phase, TaskPhase::Queued(_)))
    }

    /// Returns the attempts of the tasks that are sent and not answered.
    fn sent_attempts(&self) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        for phase in &self.phases {
            if let TaskPhase::Sent(task) = phase {
                attempts.push(task.attempt());
            }
        }
        attempts
    }
}

/// Adds a caller to the waiters of an earlier submission, or replies at once if the job is answered,
/// has too many waiters or was submitted with another body.
fn attach_or_reply(
    entry: &mut OutcomeEntry,
    same_body: bool,
    token: ReplyToken,
) -> Option<KernelAction> {
    if !same_body {
        return Some(refuse(
            token,
            DispatchError::new(ErrorKind::ChangedBody, ""),
        ));
    }
    match &mut entry.record {
        JobRecord::Active(job) => {
            if job.waiters.len() >= MAX_JOB_WAITERS {
                return Some(KernelAction::ReplyRunning(token));
            }
            job.waiters.push(token);
            None
        }
        JobRecord::Answered(answer) => Some(reply(token, answer)),
    }
}

fn reply(token: ReplyToken, answer: &Arc<JobAnswer>) -> KernelAction {
    KernelAction::Reply {
        token,
        answer: Arc::clone(answer),
    }
}

/// Refuses a request under a ticket that was just closed, so that no task has run or ever will.
fn refuse_not_run(token: ReplyToken, error: DispatchError) -> KernelAction {
    let mut failure = JobFailure::refusal(error);
    failure.execution = ExecutionStatus::NotRun;
    reply(token, &Arc::new(JobAnswer::Failed(failure)))
}

/// Refuses a request with the execution status that belongs to the kind of the error.
fn refuse(token: ReplyToken, error: DispatchError) -> KernelAction {
    let answer = if error.kind == ErrorKind::RefusedEarlier {
        refused_earlier()
    } else {
        JobAnswer::Failed(JobFailure::refusal(error))
    };
    KernelAction::Reply {
        token,
        answer: Arc::new(answer),
    }
}
