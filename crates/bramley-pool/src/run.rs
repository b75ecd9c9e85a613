//! Life cycle of a run: one start of a task on a worker.

use std::time::Duration;

use bramley_core::units::UnixTime;

use crate::job::TaskName;
use crate::room::TaskRoom;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopCause {
    /// The caller left or the job has ended.
    NotWanted,
    /// The start had no answer, so it is unknown whether the run is there.
    StartUnanswered,
    /// No relay claimed the run after a change of command.
    Unclaimed,
    /// The run took much longer than expected.
    Stalled,
}

impl StopCause {
    /// Returns the word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotWanted => "not_wanted",
            Self::StartUnanswered => "start_unanswered",
            Self::Unclaimed => "unclaimed",
            Self::Stalled => "stalled",
        }
    }
}

/// The start was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// The worker has confirmed the run.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Time at which the worker was known to run it.
    pub confirmed_at: UnixTime,
}

/// The run is to end, and its end is not known yet.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// Why it is stopped.
    pub cause: StopCause,
    /// Time at which the worker confirmed the stop.
    pub answered_at: Option<UnixTime>,
    /// Next try to stop it.
    pub retry_at: UnixTime,
}

/// Facts that hold in every phase of a run.
#[derive(Clone, Debug)]
pub struct RunFacts {
    /// Task that runs.
    pub task: TaskName,
    /// Number of the start, rising for each task.
    pub number: u32,
    /// Room that the run takes until its end is known.
    pub room: TaskRoom,
    /// Time at which the start was sent or the run was found.
    pub started_at: UnixTime,
    /// Expected run time on a sound worker.
    pub expected: Duration,
    /// Whether a known job wants the run's result.
    pub wanted: bool,
    /// Whether the start was sent a second time, because the first one had no answer.
    pub sent_again: bool,
}

/// A run in one phase of its life.
#[derive(Clone, Debug)]
pub struct Run<P> {
    /// Facts of the run.
    pub facts: RunFacts,
    /// State of the phase.
    pub phase: P,
}

impl Run<Starting> {
    /// Makes a run whose start is being sent.
    #[must_use]
    pub const fn new(facts: RunFacts) -> Self {
        Self {
            facts,
            phase: Starting,
        }
    }

    /// The worker has confirmed the start.
    #[must_use]
    pub fn confirm(self, now: UnixTime) -> Run<Running> {
        Run {
            facts: self.facts,
            phase: Running { confirmed_at: now },
        }
    }
}

impl<P> Run<P> {
    /// The run is to end.
    #[must_use]
    pub fn stop(self, cause: StopCause, retry_at: UnixTime) -> Run<Stopping> {
        let phase = Stopping {
            cause,
            answered_at: None,
            retry_at,
        };
        Run {
            facts: self.facts,
            phase,
        }
    }
}

/// A run in any phase before its end is known.
#[derive(Clone, Debug)]
pub enum LiveRun {
    /// The start was sent.
    Starting(Run<Starting>),
    /// The worker has confirmed the run.
    Running(Run<Running>),
    /// The run is to end.
    Stopping(Run<Stopping>),
}

impl LiveRun {
    /// Returns the facts of the run.
    #[must_use]
    pub const fn facts(&self) -> &RunFacts {
        match self {
            Self::Starting(run) => &run.facts,
            Self::Running(run) => &run.facts,
            Self::Stopping(run) => &run.facts,
        }
    }

    /// Returns the facts of the run for a change.
    pub const fn facts_mut(&mut self) -> &mut RunFacts {
        match self {
            Self::Starting(run) => &mut run.facts,
            Self::Running(run) => &mut run.facts,
            Self::Stopping(run) => &mut run.facts,
        }
    }

    /// Tells whether the run is to end.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        matches!(self, Self::Stopping(_))
    }

    /// The worker is known to run it.
    #[must_use]
    pub fn confirmed(self, now: UnixTime) -> Self {
        match self {
            Self::Starting(run) => Self::Running(run.confirm(now)),
            Self::Running(_) | Self::Stopping(_) => self,
        }
    }

    /// The run is to end; a run that is already to end keeps its cause.
    #[must_use]
    pub fn stopped(self, cause: StopCause, retry_at: UnixTime) -> Self {
        match self {
            Self::Starting(run) => Self::Stopping(run.stop(cause, retry_at)),
            Self::Running(run) => Self::Stopping(run.stop(cause, retry_at)),
            Self::Stopping(_) => self,
        }
    }
}
