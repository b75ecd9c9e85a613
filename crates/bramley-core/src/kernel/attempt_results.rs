//! Processes the results of attempts.

use std::time::Duration;

use crate::errors::{DispatchError, ErrorKind};
use crate::health::{HealthSample, HealthSignal, HealthTransition};
use crate::invariants::InvariantKind;
use crate::names::TeamName;
use crate::task::{Finished, NotStartedProof, Queued, RetryPermit, Sent, TaskPhase, TaskRecord};
use crate::units::{AttemptId, TaskKey, UnixTime};

use super::DispatchKernel;
use super::action::KernelAction;
use super::attempts::AttemptRecord;
use super::event::AttemptResult;
use super::quota::QuotaChange;

impl DispatchKernel {
    /// Applies the result of an attempt. A result that is no longer awaited is only counted.
    pub(super) fn on_attempt_ended(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let Some((attempt, record)) = self.remove_attempt(attempt) else {
            self.counters.late_answers += 1;
            return;
        };
        self.release_slots(attempt, &record, &result, now);
        self.update_worker_health(&record, &result, now);
        if let AttemptResult::NotStarted { leaving: true, .. } = result {
            let name = self.workers.get(record.worker).name.clone();
            self.on_worker_leaving(&name, now);
        }
        self.release_quota(&record.team);
        let Some(sent) = self.take_sent_task(record.task, attempt) else {
            return;
        };
        let run = now.since(record.sent_at);
        self.apply_attempt_result(record.task, sent, result, run, actions);
    }

    /// Removes an attempt from the table, or returns `None` if its result is no longer awaited.
    fn remove_attempt(&mut self, attempt: AttemptId) -> Option<(AttemptId, AttemptRecord)> {
        if let Some(record) = self.attempts.remove(attempt) {
            return Some((attempt, record));
        }
        if !self.settings.faults.accept_crossed_answers {
            return None;
        }
        let other = self.attempts.first_overdue(UnixTime::NEVER)?;
        let record = self.attempts.remove(other)?;
        Some((other, record))
    }

    /// Abandons the attempts whose deadlines have passed.
    pub(super) fn abandon_overdue_attempts(
        &mut self,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        while let Some(attempt) = self.attempts.first_overdue(now) {
            self.counters.abandoned_attempts += 1;
            actions.push(KernelAction::Abandon(attempt));
            self.on_attempt_ended(attempt, AttemptResult::Unknown, now, actions);
        }
    }

    /// Releases the slots of an attempt, with a cooldown unless the task ran.
    fn release_slots(
        &mut self,
        attempt: AttemptId,
        record: &AttemptRecord,
        result: &AttemptResult,
        now: UnixTime,
    ) {
        let cooldown_until = match result {
            AttemptResult::Finished(_) | AttemptResult::Failed => None,
            AttemptResult::NotStarted { .. } => {
                Some(now.after(self.settings.refused_slot_cooldown))
            }
            AttemptResult::Unknown => Some(now.after(self.settings.slot_cooldown)),
        };
        self.slots
            .release(record.worker, &record.slots, attempt, cooldown_until, now);
    }

    /// Updates the worker's health and ejects or restores the worker if needed.
    fn update_worker_health(
        &mut self,
        record: &AttemptRecord,
        result: &AttemptResult,
        now: UnixTime,
    ) {
        let signal = match result {
            AttemptResult::Finished(_) => HealthSignal::Success,
            AttemptResult::Failed | AttemptResult::Unknown => HealthSignal::Failure,
            AttemptResult::NotStarted {
                proof: NotStartedProof::ConnectFailed,
                ..
            } => HealthSignal::Unreachable,
            AttemptResult::NotStarted {
                proof: NotStartedProof::NotSent | NotStartedProof::RefusedByWorker,
                ..
            } => return,
        };
        let sample = HealthSample {
            worker: record.worker,
            job: record.task.serial,
            team: record.team.clone(),
            signal,
        };
        let listed = self.workers.len();
        match self.health.record(&sample, listed, now) {
            HealthTransition::Unchanged => {}
            HealthTransition::Eject(until) => {
                self.counters.ejections += 1;
                self.fleet.schedule_probe(record.worker, until);
                self.update_slot_access(record.worker);
            }
            HealthTransition::Restore => {
                self.fleet.cancel_probe(record.worker);
                self.update_slot_access(record.worker);
            }
        }
    }

    /// Moves a task to its next phase according to the result of its attempt.
    fn apply_attempt_result(
        &mut self,
        task: TaskKey,
        sent: TaskRecord<Sent>,
        result: AttemptResult,
        run: Duration,
        actions: &mut Vec<KernelAction>,
    ) {
        match result {
            AttemptResult::Finished(output) => {
                self.record_run_time(task, run);
                self.finish_task(task, sent.finish(output), actions);
            }
            AttemptResult::NotStarted { proof, .. } => {
                self.count_not_started(proof);
                self.requeue(task, sent.requeue(proof));
            }
            AttemptResult::Failed => {
                self.counters.failed_tasks += 1;
                match self.acquire_retry_permit(task) {
                    Some(permit) => self.requeue(task, sent.retry(permit)),
                    None => {
                        let phase = TaskPhase::Failed(sent.fail());
                        self.fail_task(task, phase, ErrorKind::TaskFailed, actions);
                    }
                }
            }
            AttemptResult::Unknown => {
                self.counters.unknown_tasks += 1;
                match self.acquire_retry_permit(task) {
                    Some(permit) => self.requeue(task, sent.retry(permit)),
                    None => {
                        let phase = TaskPhase::Unknown(sent.mark_unknown());
                        self.fail_task(task, phase, ErrorKind::UnknownOutcome, actions);
                    }
                }
            }
        }
    }

    /// Takes a sent task out of its job; the caller must store the task's next phase.
    ///
    /// Returns `None` if the job was already answered or the task was sent with another attempt.
    fn take_sent_task(&mut self, task: TaskKey, attempt: AttemptId) -> Option<TaskRecord<Sent>> {
        let job = self.active_job(task.serial)?;
        let phase = &mut job.phases[task.index as usize];
        match std::mem::replace(phase, TaskPhase::Queued(TaskRecord::new())) {
            TaskPhase::Sent(sent) if sent.attempt() == attempt => {
                job.in_flight -= 1;
                Some(sent)
            }
            other => {
                *phase = other;
                self.monitor
                    .check(InvariantKind::StartedAtMostOnce, false, || {
                        format!("{task:?}")
                    });
                None
            }
        }
    }

    /// Returns a permit to run a task again if its job is a single idempotent task and the retry
    /// budget allows it.
    fn acquire_retry_permit(&mut self, task: TaskKey) -> Option<RetryPermit> {
        if self.settings.faults.resend_unknown {
            return Some(RetryPermit::grant());
        }
        if !self.active_job(task.serial)?.idempotent {
            return None;
        }
        let permit = self.retry_budget.withdraw()?;
        self.counters.retries += 1;
        Some(permit)
    }

    /// Updates the run time estimate of the task's team and class.
    fn record_run_time(&mut self, task: TaskKey, run: Duration) {
        self.counters.finished_tasks += 1;
        if let Some(job) = self.active_job(task.serial) {
            let (team, class) = (job.team.clone(), job.class.clone());
            self.estimates.observe(&team, &class, run);
        }
    }

    fn release_quota(&mut self, team: &TeamName) {
        if self.quotas.record_end(team) == QuotaChange::Cleared {
            self.waiting.set_blocked(team, false);
        }
    }

    fn finish_task(
        &mut self,
        task: TaskKey,
        record: TaskRecord<Finished>,
        actions: &mut Vec<KernelAction>,
    ) {
        let Some(job) = self.active_job(task.serial) else {
            return;
        };
        job.phases[task.index as usize] = TaskPhase::Finished(record);
        job.finished += 1;
        if job.is_complete() {
            self.complete_job(task.serial, actions);
        }
    }

    fn fail_task(
        &mut self,
        task: TaskKey,
        phase: TaskPhase,
        kind: ErrorKind,
        actions: &mut Vec<KernelAction>,
    ) {
        if let Some(job) = self.active_job(task.serial) {
            job.phases[task.index as usize] = phase;
        }
        let detail = format!("task {}", task.index);
        self.fail_job(task.serial, DispatchError::new(kind, detail), actions);
    }

    /// Puts a task back at the front of its job's waiting tasks.
    fn requeue(&mut self, task: TaskKey, record: TaskRecord<Queued>) {
        let Some(job) = self.active_job(task.serial) else {
            return;
        };
        job.phases[task.index as usize] = TaskPhase::Queued(record);
        let requirements = job.inputs[task.index as usize].requirements(job.place);
        let entry = job.queue_entry(1);
        self.push_waiting(requirements, &[task.index], entry);
    }

    fn count_not_started(&mut self, proof: NotStartedProof) {
        match proof {
            NotStartedProof::ConnectFailed => self.counters.connect_failures += 1,
            NotStartedProof::NotSent => self.counters.handed_back += 1,
            NotStartedProof::RefusedByWorker => self.counters.refused_starts += 1,
        }
    }
}
