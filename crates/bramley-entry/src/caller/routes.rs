//! Implements the endpoints of the HTTP API.

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

use crate::caller::replies::EncodedResponse;
use crate::caller::requests::{
    build_job, parse_message, validate_job_reference, validate_ticket_request,
};
use crate::dispatch::channel::{JobStatus, SubmitRequest};
use crate::keys;
use crate::shared::SharedState;

/// Maximum number of times that a request is forwarded between hosts.
const MAX_HOPS: u32 = 2;

/// Delay before a caller retries a request whose owner was unreachable.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An operation on a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketOperation {
    /// Submit a job under the ticket.
    Submit,
    /// Query the status of the job.
    Query,
    /// Cancel the job.
    Cancel,
}

impl TicketOperation {
    /// Returns the name of the operation in the protocol between hosts.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Query => "query",
            Self::Cancel => "cancel",
        }
    }

    /// Parses the name of an operation in the protocol between hosts.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Submit, Self::Query, Self::Cancel]
            .into_iter()
            .find(|operation| operation.as_str() == name)
    }
}

/// Issues a block of tickets.
///
/// Issued tickets are not recorded, so a lost response leaves nothing behind.
pub fn issue_tickets(state: &SharedState, body: &[u8]) -> EncodedResponse {
    let issued = parse_message::<TicketRequest>(body).and_then(|request| {
        let team = validate_ticket_request(&request, &state.settings)?;
        if state.is_draining() {
            let wait = UNREACHABLE_RETRY_DELAY;
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
        Ok(reply) => EncodedResponse::from_message(StatusCode::OK, &reply),
        Err(error) => EncodedResponse::from_error("", error),
    }
}

/// Submits a job under its ticket or idempotency key.
pub async fn submit(state: &Arc<SharedState>, body: Bytes, hops: u32) -> EncodedResponse {
    let request = match parse_message::<JobRequest>(&body) {
        Ok(request) => request,
        Err(error) => return EncodedResponse::from_error("", error),
    };
    if let Err(error) = validate_job_reference(&request) {
        return EncodedResponse::from_error(&request.ticket, error);
    }
    if request.key.is_empty() {
        return submit_ticket(state, request, body, hops).await;
    }
    keys::submit_with_key(state, request).await
}

/// Submits a job under its ticket, forwarding it if another host owns the ticket.
pub async fn submit_ticket(
    state: &Arc<SharedState>,
    request: JobRequest,
    body: Bytes,
    hops: u32,
) -> EncodedResponse {
    let ticket_text = request.ticket.clone();
    let ticket = match parse_ticket(&ticket_text, &request.team) {
        Ok(ticket) => ticket,
        Err(error) => return EncodedResponse::from_error(&ticket_text, error),
    };
    match find_route(state, &ticket) {
        TicketRoute::Here => submit_locally(state, &ticket, request).await,
        route => {
            forward(
                state,
                route,
                TicketOperation::Submit,
                &ticket_text,
                body,
                hops,
            )
            .await
        }
    }
}

/// Submits a job whose ticket was issued by this incarnation, and logs the outcome.
async fn submit_locally(
    state: &SharedState,
    ticket: &JobTicket,
    request: JobRequest,
) -> EncodedResponse {
    let started = Instant::now();
    let ticket_text = request.ticket.clone();
    let result = submit_to_kernel(state, ticket, request).await;
    log::info!(
        "event=job_answered ticket={ticket_text} host={} {} ms={}",
        state.host,
        result_log_fields(&result),
        started.elapsed().as_millis()
    );
    match result {
        Ok(reply) => EncodedResponse::from_job_status(&ticket_text, &reply),
        Err(error) => EncodedResponse::from_error(&ticket_text, error),
    }
}

/// Formats the outcome and the error code of a result for the log.
fn result_log_fields(result: &Result<JobStatus, DispatchError>) -> String {
    let kind = match result {
        Ok(JobStatus::Running) => return "outcome=running code=none".to_owned(),
        Ok(JobStatus::Finished(answer)) => match answer.as_ref() {
            JobAnswer::Complete(_) => return "outcome=complete code=none".to_owned(),
            JobAnswer::Failed(failure) => failure.error.kind,
        },
        Err(error) => error.kind,
    };
    format!("outcome=failed code={}", kind.error_response().code)
}

async fn submit_to_kernel(
    state: &SharedState,
    ticket: &JobTicket,
    request: JobRequest,
) -> Result<JobStatus, DispatchError> {
    state.issuer.check(ticket)?;
    let ticket_text = request.ticket.clone();
    let spec = build_job(request, &state.settings)?;
    let digest = spec.digest();
    log::info!(
        "event=job_submitted ticket={ticket_text} host={} tasks={}",
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

/// Queries or cancels a job, forwarding the request if another host owns the ticket.
pub async fn query_or_cancel(
    state: &SharedState,
    operation: TicketOperation,
    body: Bytes,
    hops: u32,
) -> EncodedResponse {
    let reference = match parse_message::<JobReference>(&body) {
        Ok(reference) => reference,
        Err(error) => return EncodedResponse::from_error("", error),
    };
    let ticket_text = reference.ticket;
    let ticket = match parse_ticket(&ticket_text, &reference.team) {
        Ok(ticket) => ticket,
        Err(error) => return EncodedResponse::from_error(&ticket_text, error),
    };
    match find_route(state, &ticket) {
        TicketRoute::Here => query_or_cancel_locally(state, operation, &ticket, &ticket_text).await,
        route => forward(state, route, operation, &ticket_text, body, hops).await,
    }
}

async fn query_or_cancel_locally(
    state: &SharedState,
    operation: TicketOperation,
    ticket: &JobTicket,
    ticket_text: &str,
) -> EncodedResponse {
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
        Ok(reply) => EncodedResponse::from_job_status(ticket_text, &reply),
        Err(error) => EncodedResponse::from_error(ticket_text, error),
    }
}

fn parse_ticket(text: &str, team: &str) -> Result<JobTicket, DispatchError> {
    let ticket = JobTicket::parse(text)?;
    ticket.check_team(team)?;
    Ok(ticket)
}

fn find_route(state: &SharedState, ticket: &JobTicket) -> TicketRoute {
    let members = state.members.load();
    route_ticket(
        ticket,
        &state.host,
        state.issuer.incarnation(),
        &members.known_incarnations,
    )
}

/// Forwards a request to the owner of its ticket and returns the owner's response.
async fn forward(
    state: &SharedState,
    route: TicketRoute,
    operation: TicketOperation,
    ticket: &str,
    body: Bytes,
    hops: u32,
) -> EncodedResponse {
    let address = match route {
        TicketRoute::Forward(address) if hops < MAX_HOPS => address,
        TicketRoute::OwnerGone => {
            let detail = "the process that issued the ticket has ended";
            let error = DispatchError::new(ErrorKind::OwnerGone, detail);
            return EncodedResponse::from_error(ticket, error);
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

fn owner_unreachable(ticket: &str) -> EncodedResponse {
    let detail = "the outcome is undetermined; ask again under the same ticket";
    let error = DispatchError::retry(ErrorKind::OwnerUnreachable, detail, UNREACHABLE_RETRY_DELAY);
    EncodedResponse::from_error(ticket, error)
}
