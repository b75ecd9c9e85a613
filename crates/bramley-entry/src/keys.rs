//! Binds idempotency keys, chosen by callers, to tickets in the platform's key-value store.
//!
//! A key is bound to a ticket by a single create-if-absent write. A host that loses the race, or
//! loses the reply after its write took effect, looks up which ticket is bound and submits the
//! job under that ticket.
//!
//! A key is never rebound. If its ticket was closed as not run and the key were bound to a new
//! ticket, a delayed copy of the request could still run after the caller was told that it did
//! not. To try again, the caller uses a new key.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::names::TeamName;
use bramley_store::{StoreClient, StoreError};
use bramley_wire::caller::JobRequest;
use bramley_wire::platform::{KeyValue, PutRequest};
use bytes::Bytes;

use crate::caller::replies::EncodedResponse;
use crate::caller::requests::build_job;
use crate::caller::routes;
use crate::shared::SharedState;

/// Prefix of idempotency keys in the key-value store.
const KEY_PREFIX: &str = "bramley/keys";

/// Delay before a caller retries after a failure of the key-value store.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Submits a job under an idempotency key.
pub async fn submit_with_key(state: &Arc<SharedState>, request: JobRequest) -> EncodedResponse {
    if let Err(error) = build_job(request.clone(), &state.settings) {
        return EncodedResponse::from_error("", error);
    }
    let path = format!("{KEY_PREFIX}/{}/{}", request.team, request.key);
    match bind_ticket(state, &path, &request.team).await {
        Ok(binding) => submit_with_bound_ticket(state, &request, &binding.value).await,
        Err(error) => binding_failed(&error),
    }
}

async fn submit_with_bound_ticket(
    state: &Arc<SharedState>,
    request: &JobRequest,
    ticket: &str,
) -> EncodedResponse {
    let job = JobRequest {
        ticket: ticket.to_owned(),
        key: String::new(),
        ..request.clone()
    };
    let body = Bytes::from(serde_json::to_vec(&job).unwrap_or_default());
    routes::submit_ticket(state, job, body, 0).await
}

/// Binds a key to a new ticket if it is not bound yet, and returns the effective binding.
async fn bind_ticket(state: &SharedState, path: &str, team: &str) -> Result<KeyValue, StoreError> {
    let lifetime = Duration::from_millis(state.settings.limits.ticket_lifetime_ms);
    let expiry = state.clock.now().after(lifetime);
    let ticket = state.issuer.issue(TeamName::from(team), expiry).to_string();
    let request = PutRequest {
        value: ticket,
        expected_revision: 0,
        // The lease outlasts the ticket, so no second ticket can be bound while the first is valid.
        lease_ms: state.settings.limits.ticket_lifetime_ms.saturating_mul(2),
    };
    match state.store.put(path, &request).await {
        Ok(reply) => binding_from_reply(&state.store, path, reply.current).await,
        Err(error) if error.is_effect_unknown() => recover_binding(&state.store, path, error).await,
        Err(error) => Err(error),
    }
}

async fn binding_from_reply(
    store: &StoreClient,
    path: &str,
    current: Option<KeyValue>,
) -> Result<KeyValue, StoreError> {
    match current {
        Some(binding) if binding.revision != 0 => Ok(binding),
        Some(_) | None => store.get(path).await,
    }
}

/// Reads the binding back after a write whose effect is unknown.
async fn recover_binding(
    store: &StoreClient,
    path: &str,
    write_error: StoreError,
) -> Result<KeyValue, StoreError> {
    let binding = store.get(path).await?;
    if binding.revision == 0 {
        Err(write_error)
    } else {
        Ok(binding)
    }
}

fn binding_failed(error: &StoreError) -> EncodedResponse {
    log::warn!("event=key_not_bound error=\"{error}\"");
    let detail = "the key could not be bound; repeat the request with the same key";
    EncodedResponse::from_error(
        "",
        DispatchError::retry(ErrorKind::StoreUnavailable, detail, STORE_RETRY_DELAY),
    )
}
