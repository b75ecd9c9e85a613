//! Sends starts and reads their answers.

use std::sync::Arc;

use bramley_core::units::UnixTime;

use super::Pool;
use super::placement::report_age;
use crate::decision::{Decision, StartFailure};
use crate::job::{JobName, TaskName, TaskStanding};
use crate::run::{LiveRun, Run, RunFacts, StopCause};
use crate::worker::{CallAnswer, CallRefusal, RunEnd, WorkerIndex, WorkerOrder};

/// Step of a start's number after a worker has refused one as old: another pool may have given
/// numbers that are not known here.
const OLD_NUMBER_STEP: u32 = 8;

impl Pool {
    /// Starts a task on a worker and books its room.
    pub(super) fn start_task(
        &mut self,
        name: &JobName,
        position: usize,
        index: WorkerIndex,
        now: UnixTime,
    ) {
        let lease = self.settings.run_lease;
        let error = self.settings.clock_error_permille;
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let task = &mut job.tasks[position];
        task.last_number += 1;
        task.standing = TaskStanding::Placed(index);
        task.placed_number = task.last_number;
        job.waiting -= 1;
        job.offered = true;
        let number = task.last_number;
        let age = now.since(job.submission.arrived_at);
        let spec = Arc::clone(&job.submission.work.spec);
        let facts = RunFacts {
            task: TaskName::single_step(name.clone(), u32::try_from(position).unwrap_or(u32::MAX)),
            number,
            room: job.submission.work.room,
            started_at: now,
            expected: job.expected,
            wanted: true,
            sent_again: false,
        };
        let task = facts.task.clone();
        let worker = self.worker_mut(index);
        worker.add_run(LiveRun::Starting(Run::new(facts)));
        let lease_end = worker.clock.extend_lease(now, lease, error);
        let decision = Decision::Placed {
            task: task.clone(),
            number,
            worker: worker.entry.name.clone(),
            free_cpu_milli: worker.free().cpu_milli,
            report_age: report_age(worker, now),
            age,
        };
        self.note(decision);
        let order = WorkerOrder::Start {
            task,
            number,
            spec,
            lease_end,
        };
        self.order(index, order, now);
        self.look_if_needed(index, now);
    }

    /// Handles the answer to a start.
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
            CallAnswer::NotSent => None,
            CallAnswer::Refused(refusal, _) => Some(*refusal),
        };
        let failure = refusal.map_or(StartFailure::NotSent, StartFailure::Refused);
        self.note_start_refused(index, task, number, failure);
        let run = &self.worker(index).runs[position];
        if run.facts().sent_again {
            // The first start may have been carried out, or may be later.
            if matches!(run, LiveRun::Starting(_)) {
                self.stop_run(index, position, StopCause::StartUnanswered, now);
                self.look_now(index, now);
            }
            return;
        }
        let run = self.worker_mut(index).remove_run(position);
        match refusal {
            Some(CallRefusal::NoRoom) => {
                self.counts.starts_without_room += 1;
                self.worker_mut(index).synced = false;
                self.look_now(index, now);
            }
            Some(CallRefusal::TooLate) => self.look_now(index, now),
            Some(CallRefusal::Malformed) => {
                self.settle(index, run.facts(), Some(RunEnd::Failed), now);
                return;
            }
            Some(CallRefusal::Unhealthy) | None => {
                self.bad_sign(index, now);
            }
            Some(CallRefusal::Fenced | CallRefusal::OldNumber | CallRefusal::OtherIncarnation) => {}
        }
        self.settle(index, run.facts(), None, now);
        if refusal == Some(CallRefusal::OldNumber)
            && let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(record) = job.tasks.get_mut(task.index as usize)
        {
            record.last_number += OLD_NUMBER_STEP;
        }
    }

    /// A start had no answer: the run goes on if a report has shown it since. Else the same start is
    /// sent once more, which a worker that has carried it out accepts without a second run; then it is
    /// stopped.
    fn start_unanswered(&mut self, index: WorkerIndex, position: usize, now: UnixTime) {
        let worker = self.worker(index);
        let LiveRun::Starting(run) = &worker.runs[position] else {
            return;
        };
        let is_silent = worker.reported_at < run.facts.started_at;
        let may_send_again = !run.facts.sent_again && worker.is_usable();
        let (task, number) = (run.facts.task.clone(), run.facts.number);
        self.note_start_refused(index, &task, number, StartFailure::Unanswered);
        if !may_send_again || !self.send_start_again(index, position, now) {
            self.stop_run(index, position, StopCause::StartUnanswered, now);
            self.bad_sign(index, now);
        }
        if is_silent {
            // A look tells whether the worker is silent or the answer was lost.
            self.look_now(index, now);
        }
    }

    fn note_start_refused(
        &mut self,
        index: WorkerIndex,
        task: &TaskName,
        number: u32,
        failure: StartFailure,
    ) {
        let worker = self.worker(index).entry.name.clone();
        self.note(Decision::StartRefused {
            task: task.clone(),
            number,
            worker,
            failure,
        });
    }

    /// Sends a start that had no answer a second time, under the same number; returns false if its caller
    /// may be gone.
    fn send_start_again(&mut self, index: WorkerIndex, position: usize, now: UnixTime) -> bool {
        let lease = self.settings.run_lease;
        let error = self.settings.clock_error_permille;
        let facts = self.worker(index).runs[position].facts();
        let (task, number) = (facts.task.clone(), facts.number);
        let job = self.jobs.get(&task.job);
        let Some(job) = job.filter(|job| job.relay.is_some() && now >= self.placing_from) else {
            return false;
        };
        let spec = Arc::clone(&job.submission.work.spec);
        let worker = self.worker_mut(index);
        worker.runs[position].facts_mut().sent_again = true;
        let lease_end = worker.clock.extend_lease(now, lease, error);
        let decision = Decision::StartSentAgain {
            task: task.clone(),
            number,
            worker: worker.entry.name.clone(),
            report_age: report_age(worker, now),
        };
        self.note(decision);
        let order = WorkerOrder::Start {
            task,
            number,
            spec,
            lease_end,
        };
        self.order(index, order, now);
        true
    }
}
