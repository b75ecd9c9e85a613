//! How jobs ended.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bramley_client::{ClientError, JobAnswer};
use bramley_core::errors::{ErrorKind, ExecutionClaim};
use serde::Serialize;

/// How one job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// The whole answer came.
    Complete,
    /// No task ran.
    Refused,
    /// A task ran and failed.
    Failed,
    /// Some task may have run.
    MayHaveRun,
    /// Nothing is known.
    Undetermined,
}

/// What is recorded of one job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Position of the class in the user's work.
    pub class: usize,
    /// Number of tasks.
    pub tasks: usize,
    /// Whether the task may run more than once.
    pub idempotent: bool,
    /// Ticket; absent if the client had none at the end.
    pub ticket: Option<Arc<str>>,
    /// How the job ended.
    pub outcome: JobOutcome,
    /// Whether the answer, if one came, was the whole answer to this job.
    pub answer_fits: bool,
    /// Reported states of the tasks of a failed job.
    pub task_states: Vec<String>,
    /// Time from the intended sending to the answer.
    pub response: Duration,
    /// Time that the work alone would take.
    pub ideal: Duration,
}

/// Numbers of jobs by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OutcomeCounts {
    /// The whole answer came.
    pub complete: u64,
    /// No task ran.
    pub refused: u64,
    /// A task ran and failed.
    pub failed: u64,
    /// Some task may have run.
    pub may_have_run: u64,
    /// Nothing is known.
    pub undetermined: u64,
}

impl OutcomeCounts {
    /// Counts one job.
    pub fn add(&mut self, outcome: JobOutcome) {
        let count = match outcome {
            JobOutcome::Complete => &mut self.complete,
            JobOutcome::Refused => &mut self.refused,
            JobOutcome::Failed => &mut self.failed,
            JobOutcome::MayHaveRun => &mut self.may_have_run,
            JobOutcome::Undetermined => &mut self.undetermined,
        };
        *count += 1;
    }

    /// Returns the number of all jobs.
    pub const fn total(&self) -> u64 {
        self.complete + self.refused + self.failed + self.may_have_run + self.undetermined
    }
}

/// Records of jobs, shared by the tasks that send them.
#[derive(Debug, Default)]
pub struct OutcomeLog {
    records: Mutex<Vec<JobRecord>>,
    answers: Mutex<Vec<JobAnswer>>,
}

impl OutcomeLog {
    /// Adds a record.
    pub fn add(&self, record: JobRecord) {
        lock(&self.records).push(record);
    }

    /// Takes all records.
    pub fn take(&self) -> Vec<JobRecord> {
        std::mem::take(&mut *lock(&self.records))
    }

    /// Keeps an answer to ask for it again.
    pub fn keep_answer(&self, answer: JobAnswer) {
        lock(&self.answers).push(answer);
    }

    /// Takes the kept answers.
    pub fn take_answers(&self) -> Vec<JobAnswer> {
        std::mem::take(&mut *lock(&self.answers))
    }

    /// Counts the jobs by outcome.
    pub fn counts(&self) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for record in lock(&self.records).iter() {
            counts.add(record.outcome);
        }
        counts
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns what an error of the client says about its job.
pub fn outcome_of(error: &ClientError) -> JobOutcome {
    match error {
        ClientError::NoEntryHost
        | ClientError::NoTicket { .. }
        | ClientError::NotSubmitted { .. } => JobOutcome::Refused,
        ClientError::Undetermined { .. } | ClientError::CrossedAnswer { .. } => {
            JobOutcome::Undetermined
        }
        ClientError::Failed { report, .. } => {
            if report.execution == ExecutionClaim::NotRun.as_str() {
                JobOutcome::Refused
            } else if report.execution == ExecutionClaim::Undetermined.as_str() {
                JobOutcome::Undetermined
            } else if report.code == ErrorKind::TaskFailed.answer_row().code {
                JobOutcome::Failed
            } else {
                JobOutcome::MayHaveRun
            }
        }
    }
}

/// Returns the ticket that an error of the client names.
pub fn ticket_of(error: &ClientError) -> Option<Arc<str>> {
    match error {
        ClientError::NoEntryHost
        | ClientError::NoTicket { .. }
        | ClientError::NotSubmitted { .. } => None,
        ClientError::Undetermined { ticket, .. }
        | ClientError::CrossedAnswer { ticket }
        | ClientError::Failed { ticket, .. } => Some(Arc::clone(ticket)),
    }
}
