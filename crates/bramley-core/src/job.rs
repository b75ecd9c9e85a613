//! Jobs: what was submitted, how far it is and how it was answered.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::digest::BodyDigest;
use crate::errors::{AnswerRow, DispatchError, ErrorKind, ExecutionClaim, RetryAdvice};
use crate::names::{ClassName, TeamName};
use crate::places::PlaceId;
use crate::task::{TaskInput, TaskPhase, TaskRecord, TaskReport};
use crate::units::{TicketSerial, UnixTime};

/// Names the waiting caller of a request to the kernel; the driver chooses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplyToken(pub u64);

/// A submission as the kernel takes it.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Team on whose behalf the job runs.
    pub team: TeamName,
    /// Task class.
    pub class: ClassName,
    /// Latest useful answer time, or [`UnixTime::NEVER`] for the default of the class.
    pub deadline: UnixTime,
    /// Whether a single-task job may be run more than once.
    pub idempotent: bool,
    /// Tasks in the order of the results.
    pub tasks: Vec<TaskInput>,
}

impl JobSpec {
    /// Fingerprints everything that a resubmission must repeat.
    #[must_use]
    pub fn digest(&self) -> BodyDigest {
        let head = [u8::from(self.idempotent)];
        let needs: Vec<[u8; 8]> = self.tasks.iter().map(pack_needs).collect();
        let mut fields = vec![
            self.team.as_str().as_bytes(),
            self.class.as_str().as_bytes(),
            &head,
        ];
        for (task, need) in self.tasks.iter().zip(&needs) {
            fields.push(task.payload.as_bytes());
            fields.push(need);
        }
        BodyDigest::of_fields(fields)
    }
}

fn pack_needs(task: &TaskInput) -> [u8; 8] {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&task.accelerators.to_le_bytes());
    bytes[4..].copy_from_slice(&task.memory_mib.to_le_bytes());
    bytes
}

/// The whole and only answer to a job.
#[derive(Debug)]
pub enum JobAnswer {
    /// Every task ran to its end; the outputs stand in the order of the tasks.
    Complete(Vec<Arc<str>>),
    /// The job failed or was refused.
    Failed(JobFailure),
}

impl JobAnswer {
    /// Returns an estimate of the memory that keeping the answer takes, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        const OUTPUT_BYTES: usize = 32;
        match self {
            Self::Complete(outputs) => {
                let texts: usize = outputs
                    .iter()
                    .map(|output| output.len() + OUTPUT_BYTES)
                    .sum();
                FIXED_BYTES + texts
            }
            Self::Failed(failure) => FIXED_BYTES + failure.tasks.len() + failure.error.detail.len(),
        }
    }
}

/// Why a job failed and what is known of its tasks.
#[derive(Debug)]
pub struct JobFailure {
    /// Error with the wait before a retry.
    pub error: DispatchError,
    /// What is known of the job as a whole.
    pub execution: ExecutionClaim,
    /// What is known of each task; empty if the job was refused before it was accepted.
    pub tasks: Vec<TaskReport>,
}

impl JobFailure {
    /// Makes the answer of a request that was refused before any task was accepted.
    #[must_use]
    pub fn refusal(error: DispatchError) -> Self {
        let execution = error.kind.answer_row().execution;
        Self {
            error,
            execution,
            tasks: Vec::new(),
        }
    }

    /// Returns the row of the answer table for the kind of the failure.
    #[must_use]
    pub fn answer_row(&self) -> AnswerRow {
        self.error.kind.answer_row()
    }

    /// Returns what the caller may do next.
    ///
    /// No retry is advised when a task may have run: only the caller can weigh that.
    #[must_use]
    pub fn retry_advice(&self) -> RetryAdvice {
        match self.execution {
            ExecutionClaim::MayHaveRun => RetryAdvice::Never,
            ExecutionClaim::NotRun | ExecutionClaim::Undetermined => self.answer_row().retry,
        }
    }
}

/// A job that was accepted and is not answered yet.
#[derive(Debug)]
pub struct ActiveJob {
    /// Serial of the ticket.
    pub serial: TicketSerial,
    /// Team.
    pub team: TeamName,
    /// Task class.
    pub class: ClassName,
    /// Latest useful answer time; the job is given up then.
    pub deadline: UnixTime,
    /// Time at which the job was accepted.
    pub submitted: UnixTime,
    /// Whether the only task may be run more than once.
    pub idempotent: bool,
    /// Inputs of the tasks.
    pub inputs: Vec<TaskInput>,
    /// Phases of the tasks.
    pub phases: Vec<TaskPhase>,
    /// Failure domains whose workers may run the tasks.
    pub place: PlaceId,
    /// Expected run time of one task.
    pub expected_run: Duration,
    /// Number of tasks that ran to their end.
    pub finished: usize,
    /// Number of attempts under way.
    pub under_way: usize,
    /// Callers that wait for the answer.
    pub waiters: SmallVec<[ReplyToken; 2]>,
}

impl ActiveJob {
    /// Makes the record of an accepted job.
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
            under_way: 0,
            waiters: SmallVec::new(),
        }
    }

    /// Returns an estimate of the memory that the job took when it was accepted, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 256;
        const TASK_BYTES: usize = 96;
        let payloads: usize = self
            .inputs
            .iter()
            .map(|input| input.payload.len() + TASK_BYTES)
            .sum();
        FIXED_BYTES + payloads
    }

    /// Tells whether every task ran to its end.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.finished == self.phases.len()
    }

    /// Collects the outputs, or returns `None` if a task has none.
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

    /// Describes the job as failed for the given reason, in its present state.
    #[must_use]
    pub fn failure(&self, error: DispatchError) -> JobFailure {
        let tasks: Vec<TaskReport> = self.phases.iter().map(TaskPhase::report).collect();
        let untouched = tasks.iter().all(|report| *report == TaskReport::NotRun);
        let execution = if untouched {
            ExecutionClaim::NotRun
        } else {
            ExecutionClaim::MayHaveRun
        };
        JobFailure {
            error,
            execution,
            tasks,
        }
    }
}

/// A job in the books of its owner.
#[derive(Debug)]
pub enum JobRecord {
    /// The job is being worked on.
    Active(Box<ActiveJob>),
    /// The job was answered; the answer is kept until the ticket expires.
    Answered(Arc<JobAnswer>),
}

impl JobRecord {
    /// Returns an estimate of the memory that the record takes, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Active(job) => job.kept_bytes(),
            Self::Answered(answer) => answer.kept_bytes(),
        }
    }
}

/// Makes the answer that a kept refusal gives to a resubmission.
#[must_use]
pub fn refused_earlier() -> JobAnswer {
    let error = DispatchError::new(ErrorKind::RefusedEarlier, "");
    JobAnswer::Failed(JobFailure::refusal(error))
}
