//! Job outcomes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bramley_client::{ClientError, JobAnswer};
use bramley_core::errors::{ErrorKind, ExecutionStatus};
use serde::Serialize;

/// Outcome of a job as seen by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// The complete answer arrived.
    Complete,
    /// No task ran.
    Refused,
    /// A task ran and failed.
    Failed,
    /// A task may have run.
    MayHaveRun,
    /// It is unknown whether any task ran.
    Undetermined,
}

/// Record of one submitted job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Index of the class in the user's workload.
    pub class: usize,
    /// Number of tasks.
    pub tasks: usize,
    /// Whether the tasks may run more than once.
    pub idempotent: bool,
    /// Ticket, if the client held one when the job ended.
    pub ticket: Option<Arc<str>>,
    /// Outcome.
    pub outcome: JobOutcome,
    /// False if an answer arrived that was incomplete or belonged to another job.
    pub answer_matches: bool,
    /// Task states in the report of a failed job.
    pub task_states: Vec<String>,
    /// Time from the intended send time to the answer.
    pub response: Duration,
    /// Shortest possible time to run the job on all slots.
    pub ideal: Duration,
}

/// Number of jobs by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OutcomeCounts {
    /// The complete answer arrived.
    pub complete: u64,
    /// No task ran.
    pub refused: u64,
    /// A task ran and failed.
    pub failed: u64,
    /// A task may have run.
    pub may_have_run: u64,
    /// It is unknown whether any task ran.
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

    /// Returns the total number of jobs.
    pub const fn total(&self) -> u64 {
        self.complete + self.refused + self.failed + self.may_have_run + self.undetermined
    }
}

/// Collects job records and sampled answers from concurrent senders.
#[derive(Debug, Default)]
pub struct OutcomeRecorder {
    records: Mutex<Vec<JobRecord>>,
    sampled_answers: Mutex<Vec<JobAnswer>>,
}

impl OutcomeRecorder {
    /// Adds a record.
    pub fn add(&self, record: JobRecord) {
        lock(&self.records).push(record);
    }

    /// Removes and returns all records.
    pub fn take_records(&self) -> Vec<JobRecord> {
        std::mem::take(&mut *lock(&self.records))
    }

    /// Stores an answer that is queried again at the end of the run.
    pub fn add_sampled_answer(&self, answer: JobAnswer) {
        lock(&self.sampled_answers).push(answer);
    }

    /// Removes and returns the sampled answers.
    pub fn take_sampled_answers(&self) -> Vec<JobAnswer> {
        std::mem::take(&mut *lock(&self.sampled_answers))
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

/// Returns the job outcome that a client error implies.
pub fn classify_error(error: &ClientError) -> JobOutcome {
    match error {
        ClientError::NoEntryHost
        | ClientError::NoTicket { .. }
        | ClientError::NotSubmitted { .. } => JobOutcome::Refused,
        ClientError::Undetermined { .. } | ClientError::MismatchedAnswer { .. } => {
            JobOutcome::Undetermined
        }
        ClientError::Failed { report, .. } => {
            if report.execution == ExecutionStatus::NotRun.as_str() {
                JobOutcome::Refused
            } else if report.execution == ExecutionStatus::Undetermined.as_str() {
                JobOutcome::Undetermined
            } else if report.code == ErrorKind::TaskFailed.error_response().code {
                JobOutcome::Failed
            } else {
                JobOutcome::MayHaveRun
            }
        }
    }
}

/// Returns the ticket in a client error, if there is one.
pub fn error_ticket(error: &ClientError) -> Option<Arc<str>> {
    match error {
        ClientError::NoEntryHost
        | ClientError::NoTicket { .. }
        | ClientError::NotSubmitted { .. } => None,
        ClientError::Undetermined { ticket, .. }
        | ClientError::MismatchedAnswer { ticket }
        | ClientError::Failed { ticket, .. } => Some(Arc::clone(ticket)),
    }
}
