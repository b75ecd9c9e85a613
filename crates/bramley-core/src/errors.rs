//! The closed list of error kinds and the table from kind to answer.

use std::fmt;
use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// the request is malformed
    MalformedRequest,
    /// the request body is larger than the limit
    BodyTooLarge,
    /// the job has more tasks than the limit
    TooManyTasks,
    /// the resource does not exist
    NotFound,
    /// the team is not configured
    UnknownTeam,
    /// the ticket was issued to another team
    WrongTeam,
    /// the ticket was not issued by this deployment
    InvalidTicket,
    /// the ticket has expired and its outcome is no longer kept
    ExpiredTicket,
    /// another submission was made under this ticket or key
    ChangedBody,
    /// the team's quota is used up
    QuotaExceeded,
    /// the queue is full
    QueueFull,
    /// the deadline cannot be met at the present load
    DeadlineUnreachable,
    /// the deadline passed before every task was finished
    DeadlinePassed,
    /// no worker of the deployment could ever run the task
    NeverRunnable,
    /// no worker is known yet
    NoWorkers,
    /// no configuration is known yet
    NoConfiguration,
    /// the job was cancelled
    Cancelled,
    /// a task ran and failed
    TaskFailed,
    /// a worker did not answer, and the task may have run
    UnknownOutcome,
    /// the host that owns the ticket cannot be reached now
    OwnerUnreachable,
    /// the host that owned the ticket is gone
    OwnerGone,
    /// the host is shutting down
    Draining,
    /// the platform's store is needed for the key and cannot be reached
    StoreUnavailable,
    /// the host keeps as many outcomes as it may
    OutcomesFull,
    /// an earlier submission under this ticket was refused before any task started
    RefusedEarlier,
    /// the process met a fault of its own
    Internal,
}

/// What a caller may do after a refusal or failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// Asking again does not help.
    Never,
    /// The same ticket may be submitted again, unchanged.
    SameTicket,
    /// A new ticket may be taken for the same work.
    NewTicket,
}

impl RetryAdvice {
    /// Returns the word used in answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::SameTicket => "same_ticket",
            Self::NewTicket => "new_ticket",
        }
    }
}

/// What is known about the execution of a request that was refused or failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionClaim {
    /// No task ran, and none ever will under this ticket.
    NotRun,
    /// Some tasks may have run; the states of the tasks tell which.
    MayHaveRun,
    /// Nothing is known here; the same ticket leads to the truth.
    Undetermined,
}

impl ExecutionClaim {
    /// Returns the word used in answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Undetermined => "undetermined",
        }
    }
}

/// How one error kind is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct AnswerRow {
    /// Kind that the row is about.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable code.
    pub code: &'static str,
    /// What the caller may do, unless some task may have run, when no retry is advised.
    pub retry: RetryAdvice,
    /// What is known when the refusal comes before any task was accepted.
    pub execution: ExecutionClaim,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    code: &'static str,
    retry: RetryAdvice,
    execution: ExecutionClaim,
) -> AnswerRow {
    AnswerRow {
        kind,
        status,
        code,
        retry,
        execution,
    }
}

/// The table from error kind to answer, one row for each kind.
pub const ANSWER_TABLE: [AnswerRow; 26] = {
    use ErrorKind as Kind;
    use ExecutionClaim::{MayHaveRun, NotRun, Undetermined};
    use RetryAdvice::{Never, NewTicket, SameTicket};
    [
        row(
            Kind::MalformedRequest,
            400,
            "malformed_request",
            Never,
            NotRun,
        ),
        row(Kind::BodyTooLarge, 413, "body_too_large", Never, NotRun),
        row(Kind::TooManyTasks, 422, "too_many_tasks", Never, NotRun),
        row(Kind::NotFound, 404, "not_found", Never, Undetermined),
        row(Kind::UnknownTeam, 403, "unknown_team", Never, NotRun),
        row(Kind::WrongTeam, 403, "wrong_team", Never, Undetermined),
        row(
            Kind::InvalidTicket,
            400,
            "invalid_ticket",
            Never,
            Undetermined,
        ),
        row(
            Kind::ExpiredTicket,
            410,
            "expired_ticket",
            Never,
            Undetermined,
        ),
        row(Kind::ChangedBody, 409, "changed_body", Never, Undetermined),
        row(
            Kind::QuotaExceeded,
            429,
            "quota_exceeded",
            NewTicket,
            NotRun,
        ),
        row(Kind::QueueFull, 503, "queue_full", NewTicket, NotRun),
        row(
            Kind::DeadlineUnreachable,
            503,
            "deadline_unreachable",
            NewTicket,
            NotRun,
        ),
        row(
            Kind::DeadlinePassed,
            504,
            "deadline_passed",
            NewTicket,
            MayHaveRun,
        ),
        row(Kind::NeverRunnable, 422, "never_runnable", Never, NotRun),
        row(Kind::NoWorkers, 503, "no_workers", NewTicket, NotRun),
        row(
            Kind::NoConfiguration,
            503,
            "no_configuration",
            NewTicket,
            NotRun,
        ),
        row(Kind::Cancelled, 409, "cancelled", Never, MayHaveRun),
        row(Kind::TaskFailed, 502, "task_failed", NewTicket, MayHaveRun),
        row(
            Kind::UnknownOutcome,
            502,
            "unknown_outcome",
            NewTicket,
            MayHaveRun,
        ),
        row(
            Kind::OwnerUnreachable,
            503,
            "owner_unreachable",
            SameTicket,
            Undetermined,
        ),
        row(Kind::OwnerGone, 502, "owner_gone", NewTicket, MayHaveRun),
        row(Kind::Draining, 503, "draining", NewTicket, NotRun),
        row(
            Kind::StoreUnavailable,
            503,
            "store_unavailable",
            SameTicket,
            Undetermined,
        ),
        row(Kind::OutcomesFull, 503, "outcomes_full", NewTicket, NotRun),
        row(
            Kind::RefusedEarlier,
            409,
            "refused_earlier",
            NewTicket,
            NotRun,
        ),
        row(Kind::Internal, 500, "internal", SameTicket, Undetermined),
    ]
};

impl ErrorKind {
    /// Returns the row of the answer table.
    #[must_use]
    pub fn answer_row(self) -> AnswerRow {
        let row = ANSWER_TABLE[self as usize];
        debug_assert_eq!(row.kind, self, "the table follows the order of the kinds");
        row
    }
}

/// A refusal or failure with its details.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Details for a person, without secrets; may be empty.
    pub detail: String,
    /// Wait that the caller is asked to keep before a retry; zero when no retry helps.
    pub retry_after: Duration,
}

impl DispatchError {
    /// Makes an error without a retry time.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: Duration::ZERO,
        }
    }

    /// Makes an error that tells the caller when to come back.
    #[must_use]
    pub fn retry(kind: ErrorKind, detail: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after,
        }
    }
}

impl fmt::Display for DispatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.detail.is_empty() {
            return write!(f, "{}", self.kind);
        }
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for DispatchError {}
