//! Validation of response bodies.

use std::sync::Arc;

use bramley_core::errors::{ExecutionStatus, RetryAdvice};
use bramley_wire::caller::{FailureReport, JobReply, TicketReply};

use crate::job::{JobAnswer, JobState};

/// `outcome` of a job whose tasks all finished.
const COMPLETE: &str = "complete";
/// `outcome` of a job that failed or was refused.
const FAILED: &str = "failed";
/// `outcome` of a job that has not finished yet.
const RUNNING: &str = "running";

/// Result of matching a response against its request.
#[derive(Debug, PartialEq)]
pub(crate) enum CheckedReply {
    /// The response belongs to the request and contains this state.
    State(JobState),
    /// The response belongs to another request.
    Mismatched,
    /// The response is not a valid entry host reply; it may come from an intermediary such as a
    /// load balancer.
    Malformed(String),
}

/// Checks a job reply against the ticket and, if known, the number of tasks of its request.
pub(crate) fn check_reply(
    body: &[u8],
    ticket: &Arc<str>,
    expected_results: Option<usize>,
) -> CheckedReply {
    let reply: JobReply = match serde_json::from_slice(body) {
        Ok(reply) => reply,
        Err(error) => return CheckedReply::Malformed(error.to_string()),
    };
    match (reply.outcome.as_str(), reply.failure) {
        (FAILED, Some(report)) => check_failure(&reply.ticket, report, ticket),
        (COMPLETE | RUNNING, None) if reply.ticket != **ticket => CheckedReply::Mismatched,
        (RUNNING, None) => CheckedReply::State(JobState::Running),
        (COMPLETE, None) => {
            if expected_results.is_some_and(|expected| expected != reply.results.len()) {
                return CheckedReply::Mismatched;
            }
            CheckedReply::State(JobState::Complete(JobAnswer {
                ticket: Arc::clone(ticket),
                results: reply.results,
            }))
        }
        _ => CheckedReply::Malformed(format!("unknown outcome {:?}", reply.outcome)),
    }
}

fn check_failure(reply_ticket: &str, report: FailureReport, ticket: &Arc<str>) -> CheckedReply {
    // A host that can't parse a request refuses it without a ticket. Such a refusal doesn't prove
    // that this ticket is unused, so the same ticket is submitted again.
    if reply_ticket.is_empty() && allows_new_ticket(&report) {
        let reason = format!("{} in a reply without a ticket", report.code);
        return CheckedReply::Malformed(reason);
    }
    if !reply_ticket.is_empty() && reply_ticket != &**ticket {
        return CheckedReply::Mismatched;
    }
    CheckedReply::State(JobState::Failed(report))
}

/// Returns whether the same ticket may be submitted again.
pub(crate) fn allows_same_ticket(report: &FailureReport) -> bool {
    report.retry == RetryAdvice::SameTicket.as_str()
        && report.execution != ExecutionStatus::MayHaveRun.as_str()
}

/// Returns whether the same work may be submitted under a new ticket.
pub(crate) fn allows_new_ticket(report: &FailureReport) -> bool {
    report.retry == RetryAdvice::NewTicket.as_str()
        && report.execution == ExecutionStatus::NotRun.as_str()
}

/// Returns the retry delay requested by the entry host, if any.
pub(crate) fn requested_delay_ms(report: &FailureReport) -> Option<u64> {
    match report.retry_after_ms {
        0 => None,
        requested_ms => Some(requested_ms),
    }
}

/// Result of checking the response to a ticket request.
#[derive(Debug)]
pub(crate) enum CheckedTicketReply {
    /// The host issued tickets.
    Issued(TicketReply),
    /// The host refused the request.
    Refused(FailureReport),
    /// The response is not a valid entry host reply.
    Malformed(String),
}

/// Parses the response to a ticket request.
pub(crate) fn check_ticket_reply(body: &[u8]) -> CheckedTicketReply {
    if let Ok(reply) = serde_json::from_slice::<TicketReply>(body)
        && !reply.tickets.is_empty()
    {
        return CheckedTicketReply::Issued(reply);
    }
    let reply: JobReply = match serde_json::from_slice(body) {
        Ok(reply) => reply,
        Err(error) => return CheckedTicketReply::Malformed(error.to_string()),
    };
    match reply.failure {
        Some(report) => CheckedTicketReply::Refused(report),
        None => CheckedTicketReply::Malformed(
            "the reply contains neither tickets nor a failure".to_owned(),
        ),
    }
}
