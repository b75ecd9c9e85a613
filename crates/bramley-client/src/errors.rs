//! The closed list of errors.

use std::sync::Arc;

use bramley_wire::caller::FailureReport;
use displaydoc::Display;

/// Why a call has no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ClientError {
    /// the options name no entry host
    NoEntryHost,
    /// no ticket was issued in time, so no task runs: {reason}
    NoTicket {
        /// Last refusal or fault.
        reason: String,
    },
    /// no entry host could be reached in time, so no task runs: {reason}
    NotSubmitted {
        /// Last fault.
        reason: String,
    },
    /// the request under ticket {ticket} has no answer yet: {reason}
    Undetermined {
        /// Ticket to ask about later.
        ticket: Arc<str>,
        /// Last fault.
        reason: String,
    },
    /// the answer to the request under ticket {ticket} belongs to another request
    CrossedAnswer {
        /// Ticket of the request.
        ticket: Arc<str>,
    },
    /// the request under ticket {ticket} failed: {report:?}
    Failed {
        /// Ticket of the request.
        ticket: Arc<str>,
        /// The entry host's report, unchanged.
        report: Box<FailureReport>,
    },
}

impl std::error::Error for ClientError {}
