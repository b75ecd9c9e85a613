//! Error kinds and the response for each kind.

use std::fmt;
use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;

/// Reason why a request was refused or failed.
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
    /// the host has no memory or connection left for the request
    HostFull,
    /// an earlier submission under this ticket was refused before any task started
    RefusedEarlier,
    /// the process met a fault of its own
    Internal,
}

/// Retry advice to the caller after a refusal or failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// A retry cannot succeed.
    Never,
    /// The same submission may be retried under the same ticket.
    SameTicket,
    /// The same work may be submitted under a new ticket.
    NewTicket,
}

impl RetryAdvice {
    /// Returns the name used in responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::SameTicket => "same_ticket",
            Self::NewTicket => "new_ticket",
        }
    }
}

/// What is known about the execution of a refused or failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No task ran, and none ever will under this ticket.
    NotRun,
    /// Some tasks may have run; the reported task states show which.
    MayHaveRun,
    /// Nothing is known at this host; a request under the same ticket can still determine it.
    Undetermined,
}

impl ExecutionStatus {
    /// Returns the name used in responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Undetermined => "undetermined",
        }
    }
}

/// Response for one error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct ErrorResponse {
    /// Error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Retry advice; replaced by [`RetryAdvice::Never`] if a task may have run.
    pub retry: RetryAdvice,
    /// Execution status for a request refused before any task was accepted.
    pub execution: ExecutionStatus,
}

const fn response(
    kind: ErrorKind,
    status: u16,
    code: &'static str,
    retry: RetryAdvice,
    execution: ExecutionStatus,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        status,
        code,
        retry,
        execution,
    }
}

/// Responses for all error kinds, in the order of [`ErrorKind`].
pub const ERROR_RESPONSES: [ErrorResponse; 27] = {
    use ErrorKind as Kind;
    use ExecutionStatus::{MayHaveRun, NotRun, Undetermined};
    use RetryAdvice::{Never, NewTicket, SameTicket};
    [
        response(
            Kind::MalformedRequest,
            400,
            "malformed_request",
            Never,
            NotRun,
        ),
        response(Kind::BodyTooLarge, 413, "body_too_large", Never, NotRun),
        response(Kind::TooManyTasks, 422, "too_many_tasks", Never, NotRun),
        response(Kind::NotFound, 404, "not_found", Never, Undetermined),
        response(Kind::UnknownTeam, 403, "unknown_team", Never, NotRun),
        response(Kind::WrongTeam, 403, "wrong_team", Never, Undetermined),
        response(
            Kind::InvalidTicket,
            400,
            "invalid_ticket",
            Never,
            Undetermined,
        ),
        response(
            Kind::ExpiredTicket,
            410,
            "expired_ticket",
            Never,
            Undetermined,
        ),
        response(Kind::ChangedBody, 409, "changed_body", Never, Undetermined),
        response(
            Kind::QuotaExceeded,
            429,
            "quota_exceeded",
            NewTicket,
            NotRun,
        ),
        response(Kind::QueueFull, 503, "queue_full", NewTicket, NotRun),
        response(
            Kind::DeadlineUnreachable,
            503,
            "deadline_unreachable",
            NewTicket,
            NotRun,
        ),
        response(
            Kind::DeadlinePassed,
            504,
            "deadline_passed",
            NewTicket,
            MayHaveRun,
        ),
        response(Kind::NeverRunnable, 422, "never_runnable", Never, NotRun),
        response(Kind::NoWorkers, 503, "no_workers", NewTicket, NotRun),
        response(
            Kind::NoConfiguration,
            503,
            "no_configuration",
            NewTicket,
            NotRun,
        ),
        response(Kind::Cancelled, 409, "cancelled", Never, MayHaveRun),
        response(Kind::TaskFailed, 502, "task_failed", NewTicket, MayHaveRun),
        response(
            Kind::UnknownOutcome,
            502,
            "unknown_outcome",
            NewTicket,
            MayHaveRun,
        ),
        response(
            Kind::OwnerUnreachable,
            503,
            "owner_unreachable",
            SameTicket,
            Undetermined,
        ),
        response(Kind::OwnerGone, 502, "owner_gone", NewTicket, MayHaveRun),
        response(Kind::Draining, 503, "draining", NewTicket, NotRun),
        response(
            Kind::StoreUnavailable,
            503,
            "store_unavailable",
            SameTicket,
            Undetermined,
        ),
        response(Kind::OutcomesFull, 503, "outcomes_full", NewTicket, NotRun),
        response(Kind::HostFull, 503, "host_full", SameTicket, Undetermined),
        response(
            Kind::RefusedEarlier,
            409,
            "refused_earlier",
            NewTicket,
            NotRun,
        ),
        response(Kind::Internal, 500, "internal", SameTicket, Undetermined),
    ]
};

impl ErrorKind {
    /// Returns the response for this kind.
    #[must_use]
    pub fn error_response(self) -> ErrorResponse {
        let response = ERROR_RESPONSES[self as usize];
        debug_assert_eq!(
            response.kind, self,
            "the responses are in the order of the error kinds"
        );
        response
    }
}

/// A refusal or failure with its details.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable details without secrets; may be empty.
    pub detail: String,
    /// Delay that the caller should keep before a retry; zero if a retry does not help.
    pub retry_after: Duration,
}

impl DispatchError {
    /// Creates an error without a retry delay.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: Duration::ZERO,
        }
    }

    /// Creates an error with a retry delay.
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
