//! Life cycle of a task, as a typestate.
//!
//! A task is queued, then sent, then finished, failed or unknown. Being sent is one-way: a sent
//! task returns to the queue only with a [`NotStartedProof`], or with a [`RetryPermit`] if its
//! job is a single idempotent request. A task that returned with a permit may have run, and is
//! never reported as not run afterwards.

use std::sync::Arc;

use crate::places::PlaceId;
use crate::units::AttemptId;
use crate::worker::TaskNeeds;

/// Input and needs of one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskInput {
    /// Opaque input handed to the worker unchanged.
    pub payload: Arc<str>,
    /// Number of accelerators that the task occupies on one worker.
    pub accelerators: u32,
    /// Memory that the task needs in mebibytes; 0 means unstated.
    pub memory_mib: u32,
    /// Run time that the caller expects in milliseconds; 0 means unstated.
    pub declared_ms: u32,
}

impl TaskInput {
    /// Returns the needs of the task; its team decides the place.
    #[must_use]
    pub const fn needs(&self, place: PlaceId) -> TaskNeeds {
        TaskNeeds {
            accelerators: self.accelerators,
            memory_mib: self.memory_mib,
            place,
        }
    }
}

/// Evidence that a sent task did not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotStartedProof {
    /// No connection to the worker was made, so nothing left the process.
    ConnectFailed,
    /// The HTTP library returned the request before writing any of it.
    HandedBack,
    /// The worker answered that it refused the task before its start.
    RefusedByWorker,
}

/// Permission to run an idempotent task again, paid from the retry budget.
#[derive(Debug)]
pub struct RetryPermit {
    _private: (),
}

impl RetryPermit {
    /// Grants the permission; only the retry budget calls this.
    pub(crate) const fn grant() -> Self {
        Self { _private: () }
    }
}

/// State of a task that waits to be sent.
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
    /// Attempt that carries the task.
    pub attempt: AttemptId,
    /// Whether an earlier attempt may have run the task.
    may_have_run: bool,
}

/// State of a task that ran to its end.
#[derive(Debug)]
pub struct Finished {
    /// Output of the task.
    pub output: Arc<str>,
}

/// State of a task that ran and failed.
#[derive(Debug)]
pub struct Failed;

/// State of a task that was sent and whose outcome will not be learned.
#[derive(Debug)]
pub struct Unknown;

/// A task in one state of its life cycle.
#[derive(Debug)]
pub struct TaskRecord<State> {
    state: State,
}

impl TaskRecord<Queued> {
    /// Makes a task that was never sent.
    #[must_use]
    pub const fn new() -> Self {
        let state = Queued {
            sent_before: false,
            may_have_run: false,
        };
        Self { state }
    }

    /// Tells whether the task was sent before.
    #[must_use]
    pub const fn was_sent_before(&self) -> bool {
        self.state.sent_before
    }

    /// Tells whether an earlier attempt may have run the task.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.state.may_have_run
    }

    /// Records that the task leaves for a worker.
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
    /// Returns the attempt that carries the task.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.state.attempt
    }

    /// Returns the task to the queue on proof that it did not start.
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

    /// Records the output of the task.
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

    /// Records that the outcome will not be learned.
    #[must_use]
    pub fn lose(self) -> TaskRecord<Unknown> {
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
    /// The task waits to be sent.
    Queued(TaskRecord<Queued>),
    /// A worker may be running the task.
    Sent(TaskRecord<Sent>),
    /// The task ran to its end.
    Finished(TaskRecord<Finished>),
    /// The task ran and failed.
    Failed(TaskRecord<Failed>),
    /// The task was sent and its outcome will not be learned.
    Unknown(TaskRecord<Unknown>),
}

impl TaskPhase {
    /// Returns what may truthfully be said of the task now.
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

/// What a failed job's answer says of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskReport {
    /// The task did not run and never will.
    NotRun,
    /// The task may have run.
    MayHaveRun,
    /// The task ran and failed.
    RanFailed,
    /// The task ran to its end; its output is withheld with the failed job.
    Finished,
}

impl TaskReport {
    /// Returns the word used in answers.
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
