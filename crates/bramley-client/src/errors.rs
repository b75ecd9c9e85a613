//! The error type of all client methods.

use std::sync::Arc;

use bramley_wire::caller::FailureReport;
use displaydoc::Display;

/// Reason why a client method returned no result.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ClientError {
    /// the client options contain no entry host address
    NoEntryHost,
    /// no entry host issued a ticket, so no task runs: {reason}
    NoTicket {
        /// Last refusal or transport error.
        reason: String,
    },
    /// the job was not submitted before the deadline, so no task runs: {reason}
    NotSubmitted {
        /// Last serialisation or connection error.
        reason: String,
    },
    /// the outcome of the request under ticket {ticket} is unknown: {reason}
    Undetermined {
        /// Ticket under which the state of the job can be queried later.
        ticket: Arc<str>,
        /// Error of the last attempt.
        reason: String,
    },
    /// the response to the request under ticket {ticket} belongs to another request
    MismatchedAnswer {
        /// Ticket of the request.
        ticket: Arc<str>,
    },
    /// the request under ticket {ticket} failed: {report:?}
    Failed {
        /// Ticket of the request.
        ticket: Arc<str>,
        /// Failure report of the entry host, unchanged.
        report: Box<FailureReport>,
    },
}

impl std::error::Error for ClientError {}
