//! Carries out callers' calls.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::JobAnswer;
use bramley_core::ownership::{TicketRoute, route_ticket};
use bramley_core::ticket::JobTicket;
use bramley_wire::caller::{JobReference, JobRequest, TicketReply, TicketRequest};
use bramley_wire::peer::ForwardRequest;
use bytes::Bytes;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::caller::replies::EncodedAnswer;
use crate::caller::requests::{check_reference, check_ticket_request, make_job, parse_message};
use crate::dispatch::channel::{JobReplyState, SubmitRequest};
use crate::keys;
use crate::shared::SharedState;

/// Hosts that a request may pass before it is answered.
const MAX_HOPS: u32 = 2;

/// Wait before a request is repeated whose owner could not be reached.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(500);

/// A call about one ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketOperation {
    /// Submit a job.
    Submit,
    /// Ask for its state.
    Query,
    /// Cancel it.
    Cancel,
}

impl TicketOperation {
    /// Returns the word used between hosts.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Query => "query",
            Self::Cancel => "cancel",
        }
    }

    /// Reads the word used between hosts.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Submit, Self::Query, Self::Cancel]
            .into_iter()
            .find(|known| known.as_str() == text)
    }
}

/// Issues a block of tickets. Nothing is recorded, so losing the answer costs nothing.
pub fn issue_tickets(state: &SharedState, body: &[u8]) -> EncodedAnswer {
    let issued = parse_message::<TicketRequest>(body).and_then(|request| {
        let team = check_ticket_request(&request, &state.settings)?;
        if state.is_draining() {
            let wait = UNREACHABLE_WAIT;
            return Err(DispatchError::retry(
                ErrorKind::Draining,
                "use another host",
                wait,
            ));
        }
        let lifetime = Duration::from_millis(state.settings.limits.ticket_lifetime_ms);
        let expiry = state.clock.now().after(lifetime);
        let mut tickets = Vec::with_capacity(request.count as usize);
        for _ in 0..request.count {
            tickets.push(state.issuer.issue(team.clone(), expiry).to_string());
        }
        Ok(TicketReply {
            tickets,
            expires_unix_ms: expiry.as_millis(),
        })
    });
    match issued {
        Ok(reply) => EncodedAnswer::of_message(StatusCode::OK, &reply),
        Err(error) => EncodedAnswer::of_error("", error),
    }
}

/// Submits a job under its ticket or its caller's key.
pub async fn submit(state: &Arc<SharedState>, body: Bytes, hops: u32) -> EncodedAnswer {
    let request = match parse_message::<JobRequest>(&body) {
        Ok(request) => request,
        Err(error) => return EncodedAnswer::of_error("", error),
    };
    if let Err(error) = check_reference(&request) {
        return EncodedAnswer::of_error(&request.ticket, error);
    }
    if request.key.is_empty() {
        return submit_ticket(state, request, body, hops).await;
    }
    keys::submit_key(state, request).await
}

/// Submits a job under its ticket, here or at the owner of the ticket.
pub async fn submit_ticket(
    state: &Arc<SharedState>,
    request: JobRequest,
    body: Bytes,
    hops: u32,
) -> EncodedAnswer {
    let text = request.ticket.clone();
    let ticket = match read_ticket(&text, &request.team) {
        Ok(ticket) => ticket,
        Err(error) => return EncodedAnswer::of_error(&text, error),
    };
    match locate(state, &ticket) {
        TicketRoute::Here => submit_here(state, &ticket, request).await,
        route => forward(state, route, TicketOperation::Submit, &text, body, hops).await,
    }
}

/// Submits a job that this incarnation issued the ticket of, and logs how it was answered.
async fn submit_here(
    state: &SharedState,
    ticket: &JobTicket,
    request: JobRequest,
) -> EncodedAnswer {
    let begun = Instant::now();
    let text = request.ticket.clone();
    let result = submit_checked(state, ticket, request).await;
    log::info!(
        "event=job_answered ticket={text} host={} {} ms={}",
        state.host,
        describe_result(&result),
        begun.elapsed().as_millis()
    );
    match result {
        Ok(reply) => EncodedAnswer::of_state(&text, &reply),
        Err(error) => EncodedAnswer::of_error(&text, error),
    }
}

/// Returns the outcome and the error code of an answer for the log.
fn describe_result(result: &Result<JobReplyState, DispatchError>) -> String {
    let kind = match result {
        Ok(JobReplyState::Running) => return "outcome=running code=none".to_owned(),
        Ok(JobReplyState::Answered(answer)) => match answer.as_ref() {
            JobAnswer::Complete(_) => return "outcome=complete code=none".to_owned(),
            JobAnswer::Failed(failure) => failure.error.kind,
        },
        Err(error) => error.kind,
    };
    format!("outcome=failed code={}", kind.answer_row().code)
}

async fn submit_checked(
    state: &SharedState,
    ticket: &JobTicket,
    request: JobRequest,
) -> Result<JobReplyState, DispatchError> {
    state.issuer.check(ticket)?;
    let text = request.ticket.clone();
    let spec = make_job(request, &state.settings)?;
    let digest = spec.digest();
    log::info!(
        "event=job_submitted ticket={text} host={} tasks={}",
        state.host,
        spec.tasks.len()
    );
    let job = SubmitRequest {
        serial: ticket.serial,
        expiry: ticket.expiry,
        spec,
        digest,
    };
    state.kernel.submit(job).await
}

/// Asks for the state of a job or cancels it, here or at the owner of its ticket.
pub async fn refer(
    state: &SharedState,
    operation: TicketOperation,
    body: Bytes,
    hops: u32,
) -> EncodedAnswer {
    let reference = match parse_message::<JobReference>(&body) {
        Ok(reference) => reference,
        Err(error) => return EncodedAnswer::of_error("", error),
    };
    let text = reference.ticket;
    let ticket = match read_ticket(&text, &reference.team) {
        Ok(ticket) => ticket,
        Err(error) => return EncodedAnswer::of_error(&text, error),
    };
    match locate(state, &ticket) {
        TicketRoute::Here => refer_here(state, operation, &ticket, &text).await,
        route => forward(state, route, operation, &text, body, hops).await,
    }
}

async fn refer_here(
    state: &SharedState,
    operation: TicketOperation,
    ticket: &JobTicket,
    text: &str,
) -> EncodedAnswer {
    let result = async {
        state.issuer.check(ticket)?;
        match operation {
            TicketOperation::Cancel => state.kernel.cancel(ticket.serial, ticket.expiry).await,
            TicketOperation::Query | TicketOperation::Submit => {
                state.kernel.query(ticket.serial, ticket.expiry).await
            }
        }
    };
    match result.await {
        Ok(reply) => EncodedAnswer::of_state(text, &reply),
        Err(error) => EncodedAnswer::of_error(text, error),
    }
}

fn read_ticket(text: &str, team: &str) -> Result<JobTicket, DispatchError> {
    let ticket = JobTicket::parse(text)?;
    ticket.check_team(team)?;
    Ok(ticket)
}

fn locate(state: &SharedState, ticket: &JobTicket) -> TicketRoute {
    let members = state.members.load();
    route_ticket(
        ticket,
        &state.host,
        state.issuer.incarnation(),
        &members.candidates,
    )
}

/// Hands a request to the owner of its ticket and returns the owner's answer.
async fn forward(
    state: &SharedState,
    route: TicketRoute,
    operation: TicketOperation,
    ticket: &str,
    body: Bytes,
    hops: u32,
) -> EncodedAnswer {
    let address = match route {
        TicketRoute::Forward(address) if hops < MAX_HOPS => address,
        TicketRoute::OwnerGone => {
            let detail = "the process that issued the ticket has ended";
            let error = DispatchError::new(ErrorKind::OwnerGone, detail);
            return EncodedAnswer::of_error(ticket, error);
        }
        TicketRoute::Here | TicketRoute::Forward(_) | TicketRoute::OwnerUnknown => {
            return owner_unreachable(ticket);
        }
    };
    let request = ForwardRequest {
        operation: operation.as_str().to_owned(),
        ticket: ticket.to_owned(),
        body: body.to_vec(),
        hops: hops + 1,
    };
    state.metrics.forwards.inc();
    log::info!(
        "event=job_forwarded ticket={ticket} host={} owner={address} operation={}",
        state.host,
        operation.as_str()
    );
    match state.peers.forward(address, request).await {
        Ok(reply) => reply,
        Err(status) => {
            log::warn!(
                "event=forward_failed ticket={ticket} owner={address} code={:?}",
                status.code()
            );
            owner_unreachable(ticket)
        }
    }
}

fn owner_unreachable(ticket: &str) -> EncodedAnswer {
    let detail = "the outcome is undetermined; ask again under the same ticket";
    let error = DispatchError::retry(ErrorKind::OwnerUnreachable, detail, UNREACHABLE_WAIT);
    EncodedAnswer::of_error(ticket, error)
}
