//! Life cycle of a run: one start of a task on a worker.

use std::time::Duration;

use bramley_core::units::UnixTime;

use crate::crash::CrashEvidence;
use crate::exposure::RunExposure;
use crate::job::TaskName;
use crate::resources::TaskResources;

/// Reason why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopCause {
    /// The caller disconnected or the job ended.
    NotNeeded,
    /// The start was not answered, so the run may or may not exist.
    StartUnanswered,
    /// No relay adopted the run after a change of leader.
    Orphaned,
    /// The run took far longer than expected.
    Stalled,
}

impl StopCause {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotNeeded => "not_wanted",
            Self::StartUnanswered => "start_unanswered",
            Self::Orphaned => "unclaimed",
            Self::Stalled => "stalled",
        }
    }
}

/// Phase: the start was sent and is not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// Phase: the worker has confirmed the run.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Time at which the run was confirmed.
    pub confirmed_at: UnixTime,
}

/// Phase: a stop was requested and the run has not ended as far as is known.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// Reason for the stop.
    pub cause: StopCause,
    /// Time at which the worker acknowledged the stop.
    pub answered_at: Option<UnixTime>,
    /// Time of the next stop attempt.
    pub retry_at: UnixTime,
}

/// End of the incarnation of a worker to which a start was sent.
#[derive(Clone, Copy, Debug)]
pub struct IncarnationEnd {
    /// Number of other runs on the worker.
    pub beside: u32,
    /// Evidence that the worker crashed.
    pub evidence: CrashEvidence,
}

/// Data common to all phases of a run.
#[derive(Clone, Debug)]
pub struct RunDetails {
    /// Task that is run.
    pub task: TaskName,
    /// Run number, which increases with each start of the task.
    pub number: u32,
    /// Resources allocated to the run until it is known to have ended.
    pub resources: TaskResources,
    /// Time at which the start was sent or the run was discovered.
    pub started_at: UnixTime,
    /// Whether `resources` are those of the task and not a guess.
    pub is_sized: bool,
    /// Expected run time on a healthy worker.
    pub expected: Duration,
    /// Whether an open job needs the result of the run.
    pub needed: bool,
    /// Whether the start was resent because the first request was not answered.
    pub resent: bool,
    /// Whether the worker has accepted the start or has reported the run.
    pub is_confirmed: bool,
    /// Time by which the run has to have ended, because its caller may then have resent the job to
    /// another failure domain; [`UnixTime::NEVER`] while the caller is connected. Set by
    /// [`crate::worker::WorkerRecord::limit_run`].
    pub end_by: UnixTime,
    /// Number of start requests without an answer yet.
    pub pending_starts: u32,
    /// Time at which the incarnation of the worker started to which the start was sent, in
    /// milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// What was seen of the end of that incarnation; `None` while it lives as far as is known. A
    /// start in flight may still reach the next incarnation.
    pub incarnation_end: Option<IncarnationEnd>,
    /// Neighbours of the run that have ended.
    pub exposure: RunExposure,
}

/// A run in phase `P`.
#[derive(Clone, Debug)]
pub struct Run<P> {
    /// Data common to all phases.
    pub details: RunDetails,
    /// Data of the current phase.
    pub phase: P,
}

impl Run<Starting> {
    /// Creates a run whose start request is about to be sent.
    #[must_use]
    pub const fn new(details: RunDetails) -> Self {
        Self {
            details,
            phase: Starting,
        }
    }

    /// Moves to the running phase after the worker confirmed the start.
    #[must_use]
    pub fn confirm(self, now: UnixTime) -> Run<Running> {
        Run {
            details: self.details,
            phase: Running { confirmed_at: now },
        }
    }
}

impl<P> Run<P> {
    /// Moves to the stopping phase.
    #[must_use]
    pub fn stop(self, cause: StopCause, retry_at: UnixTime) -> Run<Stopping> {
        let phase = Stopping {
            cause,
            answered_at: None,
            retry_at,
        };
        Run {
            details: self.details,
            phase,
        }
    }
}

/// A run in any phase, not known to have ended.
#[derive(Clone, Debug)]
pub enum LiveRun {
    /// The start was sent and is not answered yet.
    Starting(Run<Starting>),
    /// The worker has confirmed the run.
    Running(Run<Running>),
    /// A stop was requested.
    Stopping(Run<Stopping>),
}

impl LiveRun {
    /// Returns the data common to all phases.
    #[must_use]
    pub const fn details(&self) -> &RunDetails {
        match self {
            Self::Starting(run) => &run.details,
            Self::Running(run) => &run.details,
            Self::Stopping(run) => &run.details,
        }
    }

    /// Returns the data common to all phases, mutably.
    pub const fn details_mut(&mut self) -> &mut RunDetails {
        match self {
            Self::Starting(run) => &mut run.details,
            Self::Running(run) => &mut run.details,
            Self::Stopping(run) => &mut run.details,
        }
    }

    /// Returns whether a stop was requested.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        matches!(self, Self::Stopping(_))
    }

    /// Records that the worker has confirmed the run. A run being stopped stays in its phase.
    #[must_use]
    pub fn confirmed(mut self, now: UnixTime) -> Self {
        self.details_mut().is_confirmed = true;
        match self {
            Self::Starting(run) => Self::Running(run.confirm(now)),
            Self::Running(_) | Self::Stopping(_) => self,
        }
    }

    /// Moves the run to the stopping phase; a run already being stopped keeps its cause.
    #[must_use]
    pub fn stopped(self, cause: StopCause, retry_at: UnixTime) -> Self {
        match self {
            Self::Starting(run) => Self::Stopping(run.stop(cause, retry_at)),
            Self::Running(run) => Self::Stopping(run.stop(cause, retry_at)),
            Self::Stopping(_) => self,
        }
    }
}
