//! Checks of answers.

use std::sync::Arc;

use bramley_core::errors::{ExecutionClaim, RetryAdvice};
use bramley_wire::caller::{FailureReport, JobReply, TicketReply};

use crate::job::{JobAnswer, JobState};

/// Outcome of a job whose tasks are all finished.
const COMPLETE: &str = "complete";
/// Outcome of a job that failed or was refused.
const FAILED: &str = "failed";
/// Outcome of a job that has no answer yet.
const RUNNING: &str = "running";

/// What an answer means for the request that it was received for.
#[derive(Debug, PartialEq)]
pub(crate) enum CheckedReply {
    /// The answer belongs to the request and states this.
    State(JobState),
    /// The answer belongs to another request.
    Crossed,
    /// The answer is not one of an entry host, but of something between, such as a balancer.
    Unreadable(String),
}

/// Checks an answer about a job against the ticket and the number of tasks, if that is known.
pub(crate) fn check_reply(body: &[u8], ticket: &Arc<str>, tasks: Option<usize>) -> CheckedReply {
    let reply: JobReply = match serde_json::from_slice(body) {
        Ok(reply) => reply,
        Err(error) => return CheckedReply::Unreadable(error.to_string()),
    };
    match (reply.outcome.as_str(), reply.failure) {
        (FAILED, Some(report)) => check_failure(&reply.ticket, report, ticket),
        (COMPLETE | RUNNING, None) if reply.ticket != **ticket => CheckedReply::Crossed,
        (RUNNING, None) => CheckedReply::State(JobState::Running),
        (COMPLETE, None) => {
            if tasks.is_some_and(|tasks| tasks != reply.results.len()) {
                return CheckedReply::Crossed;
            }
            CheckedReply::State(JobState::Complete(JobAnswer {
                ticket: Arc::clone(ticket),
                results: reply.results,
            }))
        }
        _ => CheckedReply::Unreadable(format!("unknown outcome {:?}", reply.outcome)),
    }
}

fn check_failure(named: &str, report: FailureReport, ticket: &Arc<str>) -> CheckedReply {
    // A request that can't be read is refused without naming its ticket. Such a refusal is no
    // ground for another ticket, so it is asked again about this one.
    if named.is_empty() && allows_new_ticket(&report) {
        let reason = format!("{} without a ticket", report.code);
        return CheckedReply::Unreadable(reason);
    }
    if !named.is_empty() && named != &**ticket {
        return CheckedReply::Crossed;
    }
    CheckedReply::State(JobState::Failed(report))
}

/// Says whether the same ticket may be submitted again.
pub(crate) fn allows_same_ticket(report: &FailureReport) -> bool {
    report.retry == RetryAdvice::SameTicket.as_str()
        && report.execution != ExecutionClaim::MayHaveRun.as_str()
}

/// Says whether another ticket may be taken for the same work.
pub(crate) fn allows_new_ticket(report: &FailureReport) -> bool {
    report.retry == RetryAdvice::NewTicket.as_str()
        && report.execution == ExecutionClaim::NotRun.as_str()
}

/// Returns the wait that an entry host states, if any.
pub(crate) fn stated_wait(report: &FailureReport) -> Option<u64> {
    match report.retry_after_ms {
        0 => None,
        stated_ms => Some(stated_ms),
    }
}

/// An answer to a request for tickets.
#[derive(Debug)]
pub(crate) enum TicketAnswer {
    /// Tickets were issued.
    Issued(TicketReply),
    /// The request was refused.
    Refused(FailureReport),
    /// The answer is not one of an entry host.
    Unreadable(String),
}

/// Reads an answer to a request for tickets.
pub(crate) fn read_tickets(body: &[u8]) -> TicketAnswer {
    if let Ok(reply) = serde_json::from_slice::<TicketReply>(body)
        && !reply.tickets.is_empty()
    {
        return TicketAnswer::Issued(reply);
    }
    let reply: JobReply = match serde_json::from_slice(body) {
        Ok(reply) => reply,
        Err(error) => return TicketAnswer::Unreadable(error.to_string()),
    };
    match reply.failure {
        Some(report) => TicketAnswer::Refused(report),
        None => TicketAnswer::Unreadable("neither tickets nor a failure".to_owned()),
    }
}
