//! Jobs: submissions, their progress and their answers.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::digest::ContentDigest;
use crate::errors::{DispatchError, ErrorKind, ErrorResponse, ExecutionStatus, RetryAdvice};
use crate::names::{ClassName, TeamName};
use crate::places::PlaceId;
use crate::task::{TaskInput, TaskPhase, TaskRecord, TaskReport};
use crate::units::{TicketSerial, UnixTime};

/// Identifies the caller that is waiting for the reply to a kernel request; assigned by the driver.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplyToken(pub u64);

/// A submission, as passed to the kernel.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Team that the job runs for.
    pub team: TeamName,
    /// Task class.
    pub class: ClassName,
    /// Deadline for the answer, or [`UnixTime::NEVER`] for the default of the class.
    pub deadline: UnixTime,
    /// Whether the task may run more than once; only effective for a job with a single task.
    pub idempotent: bool,
    /// Tasks, in the order of the results.
    pub tasks: Vec<TaskInput>,
}

impl JobSpec {
    /// Computes the digest of everything that a resubmission must repeat unchanged.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        let flags = [u8::from(self.idempotent)];
        let encoded: Vec<[u8; 8]> = self.tasks.iter().map(encode_requirements).collect();
        let mut fields = vec![
            self.team.as_str().as_bytes(),
            self.class.as_str().as_bytes(),
            &flags,
        ];
        for (task, requirements) in self.tasks.iter().zip(&encoded) {
            fields.push(task.payload.as_bytes());
            fields.push(requirements);
        }
        ContentDigest::of_fields(fields)
    }
}

fn encode_requirements(task: &TaskInput) -> [u8; 8] {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&task.accelerators.to_le_bytes());
    bytes[4..].copy_from_slice(&task.memory_mib.to_le_bytes());
    bytes
}

/// The final answer to a job.
#[derive(Debug)]
pub enum JobAnswer {
    /// Every task finished successfully; the outputs are in the order of the tasks.
    Complete(Vec<Arc<str>>),
    /// The job failed or was refused.
    Failed(JobFailure),
}

impl JobAnswer {
    /// Returns the estimated memory use of the retained answer, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        const BASE_BYTES: usize = 128;
        const PER_OUTPUT_BYTES: usize = 32;
        match self {
            Self::Complete(outputs) => {
                let texts: usize = outputs
                    .iter()
                    .map(|output| output.len() + PER_OUTPUT_BYTES)
                    .sum();
                BASE_BYTES + texts
            }
            Self::Failed(failure) => BASE_BYTES + failure.tasks.len() + failure.error.detail.len(),
        }
    }
}

/// Reason why a job failed, and what is known about its tasks.
#[derive(Debug)]
pub struct JobFailure {
    /// Error, including the delay before a retry.
    pub error: DispatchError,
    /// What is known about the execution of the job as a whole.
    pub execution: ExecutionStatus,
    /// What is known about each task; empty if the job was refused on submission.
    pub tasks: Vec<TaskReport>,
}

impl JobFailure {
    /// Creates the failure for a request that was refused before any task was accepted.
    #[must_use]
    pub fn refusal(error: DispatchError) -> Self {
        let execution = error.kind.error_response().execution;
        Self {
            error,
            execution,
            tasks: Vec::new(),
        }
    }

    /// Returns the response for the error kind of the failure.
    #[must_use]
    pub fn error_response(&self) -> ErrorResponse {
        self.error.kind.error_response()
    }

    /// Returns the retry advice for the caller.
    ///
    /// No retry is advised if a task may have run: only the caller can decide whether running it
    /// twice is acceptable.
    #[must_use]
    pub fn retry_advice(&self) -> RetryAdvice {
        match self.execution {
            ExecutionStatus::MayHaveRun => RetryAdvice::Never,
            ExecutionStatus::NotRun | ExecutionStatus::Undetermined => self.error_response().retry,
        }
    }
}

/// A job that has been accepted and not yet answered.
#[derive(Debug)]
pub struct ActiveJob {
    /// Serial number of the ticket.
    pub serial: TicketSerial,
    /// Team.
    pub team: TeamName,
    /// Task class.
    pub class: ClassName,
    /// Deadline for the answer; the job is abandoned at this time.
    pub deadline: UnixTime,
    /// Time at which the job was accepted.
    pub submitted: UnixTime,
    /// Whether the job has a single task that may run more than once.
    pub idempotent: bool,
    /// Inputs of the tasks.
    pub inputs: Vec<TaskInput>,
    /// Life cycle phases of the tasks.
    pub phases: Vec<TaskPhase>,
    /// Failure domains whose workers may run the tasks.
    pub place: PlaceId,
    /// Expected run time of one task.
    pub expected_run: Duration,
    /// Number of tasks that finished successfully.
    pub finished: usize,
    /// Number of attempts in progress.
    pub in_flight: usize,
    /// Callers that are waiting for the answer.
    pub waiters: SmallVec<[ReplyToken; 2]>,
}

impl ActiveJob {
    /// Creates a newly accepted job with all tasks queued.
    #[must_use]
    pub fn new(serial: TicketSerial, spec: JobSpec, submitted: UnixTime) -> Self {
        let phases = spec
            .tasks
            .iter()
            .map(|_| TaskPhase::Queued(TaskRecord::new()))
            .collect();
        Self {
            serial,
            team: spec.team,
            class: spec.class,
            deadline: spec.deadline,
            submitted,
            idempotent: spec.idempotent && spec.tasks.len() == 1,
            inputs: spec.tasks,
            phases,
            place: PlaceId::EVERYWHERE,
            expected_run: Duration::ZERO,
            finished: 0,
            in_flight: 0,
            waiters: SmallVec::new(),
        }
    }

    /// Returns the estimated memory use of the job when it was accepted, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        const BASE_BYTES: usize = 256;
        const PER_TASK_BYTES: usize = 96;
        let payloads: usize = self
            .inputs
            .iter()
            .map(|input| input.payload.len() + PER_TASK_BYTES)
            .sum();
        BASE_BYTES + payloads
    }

    /// Returns whether every task finished successfully.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.finished == self.phases.len()
    }

    /// Returns the outputs of all tasks, or `None` if a task has not finished.
    #[must_use]
    pub fn outputs(&self) -> Option<Vec<Arc<str>>> {
        let mut outputs = Vec::with_capacity(self.phases.len());
        for phase in &self.phases {
            let TaskPhase::Finished(task) = phase else {
                return None;
            };
            outputs.push(Arc::clone(task.output()));
        }
        Some(outputs)
    }

    /// Creates the failure of the job for the given error, with the current state of its tasks.
    #[must_use]
    pub fn failure(&self, error: DispatchError) -> JobFailure {
        let tasks: Vec<TaskReport> = self.phases.iter().map(TaskPhase::report).collect();
        let none_ran = tasks.iter().all(|report| *report == TaskReport::NotRun);
        let execution = if none_ran {
            ExecutionStatus::NotRun
        } else {
            ExecutionStatus::MayHaveRun
        };
        JobFailure {
            error,
            execution,
            tasks,
        }
    }
}

/// A job as stored by its owner.
#[derive(Debug)]
pub enum JobRecord {
    /// The job is not yet answered.
    Active(Box<ActiveJob>),
    /// The job was answered; the answer is retained until the ticket expires.
    Answered(Arc<JobAnswer>),
}

impl JobRecord {
    /// Returns the estimated memory use of the record, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Active(job) => job.kept_bytes(),
            Self::Answered(answer) => answer.kept_bytes(),
        }
    }
}

/// Creates the answer to a resubmission under a ticket whose submission was refused earlier.
#[must_use]
pub fn refused_earlier() -> JobAnswer {
    let error = DispatchError::new(ErrorKind::RefusedEarlier, "");
    JobAnswer::Failed(JobFailure::refusal(error))
}
