//! Life cycle of a task, modelled as a typestate.
//!
//! A task is queued, then sent, then finished, failed or unknown. A sent task returns to the queue
//! only with a [`NotStartedProof`], or with a [`RetryPermit`] if its job consists of a single
//! idempotent task. A task that was requeued with a permit may have run, and is never reported as
//! not run afterwards.

use std::sync::Arc;

use crate::places::PlaceId;
use crate::units::AttemptId;
use crate::worker::TaskRequirements;

/// Input and requirements of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskInput {
    /// Opaque input, passed to the worker unchanged.
    pub payload: Arc<str>,
    /// Number of accelerators that the task occupies on one worker.
    pub accelerators: u32,
    /// Memory that the task needs, in mebibytes; 0 means unspecified.
    pub memory_mib: u32,
    /// Run time that the caller expects, in milliseconds; 0 means unspecified.
    pub declared_ms: u32,
}

impl TaskInput {
    /// Returns the requirements of the task. The place depends on its team.
    #[must_use]
    pub const fn requirements(&self, place: PlaceId) -> TaskRequirements {
        TaskRequirements {
            accelerators: self.accelerators,
            memory_mib: self.memory_mib,
            place,
        }
    }
}

/// Proof that a sent task did not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotStartedProof {
    /// No connection to the worker was established, so nothing was sent.
    ConnectFailed,
    /// The HTTP library returned the request before writing any of it.
    NotSent,
    /// The worker replied that it refused the task before starting it.
    RefusedByWorker,
}

/// Permission to run an idempotent task again, taken from the retry budget.
#[derive(Debug)]
pub struct RetryPermit {
    _private: (),
}

impl RetryPermit {
    /// Grants a permit. Only the retry budget may call this.
    pub(crate) const fn grant() -> Self {
        Self { _private: () }
    }
}

/// State of a task that is waiting to be sent.
#[derive(Debug, Default)]
pub struct Queued {
    /// Whether the task was sent before.
    sent_before: bool,
    /// Whether an earlier attempt may have run the task.
    may_have_run: bool,
}

/// State of a task that a worker may be running.
#[derive(Debug)]
pub struct Sent {
    /// Current attempt to run the task.
    pub attempt: AttemptId,
    /// Whether an earlier attempt may have run the task.
    may_have_run: bool,
}

/// State of a task that finished successfully.
#[derive(Debug)]
pub struct Finished {
    /// Output of the task.
    pub output: Arc<str>,
}

/// State of a task that ran and failed.
#[derive(Debug)]
pub struct Failed;

/// State of a task that was sent and whose outcome will never be known.
#[derive(Debug)]
pub struct Unknown;

/// A task in one state of its life cycle.
#[derive(Debug)]
pub struct TaskRecord<State> {
    state: State,
}

impl TaskRecord<Queued> {
    /// Creates a task that has not been sent.
    #[must_use]
    pub const fn new() -> Self {
        let state = Queued {
            sent_before: false,
            may_have_run: false,
        };
        Self { state }
    }

    /// Returns whether the task was sent before.
    #[must_use]
    pub const fn was_sent_before(&self) -> bool {
        self.state.sent_before
    }

    /// Returns whether an earlier attempt may have run the task.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.state.may_have_run
    }

    /// Records that the task is being sent to a worker.
    #[must_use]
    pub fn send(self, attempt: AttemptId) -> TaskRecord<Sent> {
        TaskRecord {
            state: Sent {
                attempt,
                may_have_run: self.state.may_have_run,
            },
        }
    }
}

impl Default for TaskRecord<Queued> {
    fn default() -> Self {
        Self::new()
    }
}

impl TaskRecord<Sent> {
    /// Returns the current attempt to run the task.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.state.attempt
    }

    /// Returns the task to the queue, given proof that it did not start.
    #[must_use]
    pub fn requeue(self, _proof: NotStartedProof) -> TaskRecord<Queued> {
        TaskRecord {
            state: Queued {
                sent_before: true,
                may_have_run: self.state.may_have_run,
            },
        }
    }

    /// Returns an idempotent task to the queue although it may have run.
    #[must_use]
    pub fn retry(self, _permit: RetryPermit) -> TaskRecord<Queued> {
        TaskRecord {
            state: Queued {
                sent_before: true,
                may_have_run: true,
            },
        }
    }

    /// Records that the task finished with the given output.
    #[must_use]
    pub fn finish(self, output: Arc<str>) -> TaskRecord<Finished> {
        TaskRecord {
            state: Finished { output },
        }
    }

    /// Records that the task ran and failed.
    #[must_use]
    pub fn fail(self) -> TaskRecord<Failed> {
        TaskRecord { state: Failed }
    }

    /// Records that the outcome will never be known.
    #[must_use]
    pub fn mark_unknown(self) -> TaskRecord<Unknown> {
        TaskRecord { state: Unknown }
    }
}

impl TaskRecord<Finished> {
    /// Returns the output.
    #[must_use]
    pub const fn output(&self) -> &Arc<str> {
        &self.state.output
    }
}

/// A task in any state of its life cycle.
#[derive(Debug)]
pub enum TaskPhase {
    /// The task is waiting to be sent.
    Queued(TaskRecord<Queued>),
    /// A worker may be running the task.
    Sent(TaskRecord<Sent>),
    /// The task finished successfully.
    Finished(TaskRecord<Finished>),
    /// The task ran and failed.
    Failed(TaskRecord<Failed>),
    /// The task was sent and its outcome will never be known.
    Unknown(TaskRecord<Unknown>),
}

impl TaskPhase {
    /// Returns the strongest statement about the task that is certain at this point.
    #[must_use]
    pub const fn report(&self) -> TaskReport {
        match self {
            Self::Queued(task) if task.may_have_run() => TaskReport::MayHaveRun,
            Self::Queued(_) => TaskReport::NotRun,
            Self::Sent(_) | Self::Unknown(_) => TaskReport::MayHaveRun,
            Self::Finished(_) => TaskReport::Finished,
            Self::Failed(_) => TaskReport::RanFailed,
        }
    }
}

/// State of one task, as reported in the answer of a failed job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskReport {
    /// The task did not run and will never run.
    NotRun,
    /// The task may have run.
    MayHaveRun,
    /// The task ran and failed.
    RanFailed,
    /// The task finished successfully; its output is not returned because the job failed.
    Finished,
}

impl TaskReport {
    /// Returns the name used in responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::RanFailed => "ran_failed",
            Self::Finished => "finished",
        }
    }
}
