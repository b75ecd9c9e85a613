//! Binds callers' own keys to tickets through the platform's key-value service.
//!
//! A key is bound to a ticket by one write that creates it only if it is absent. Whoever loses
//! the race, or loses the answer after the write took effect, reads back which ticket is bound
//! and goes there.
//!
//! A key is never bound a second time. If its ticket was closed as not run, a delayed copy of
//! the same request would run under a fresh ticket after its caller was told that it did not; the
//! caller takes a new key instead.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::names::TeamName;
use bramley_store::{StoreClient, StoreError};
use bramley_wire::caller::JobRequest;
use bramley_wire::platform::{KeyValue, PutRequest};
use bytes::Bytes;

use crate::caller::replies::EncodedAnswer;
use crate::caller::requests::make_job;
use crate::caller::routes;
use crate::shared::SharedState;

/// Folder of bound keys in the key-value service.
const KEY_FOLDER: &str = "bramley/keys";

/// Wait after a failure of the key-value service.
const STORE_WAIT: Duration = Duration::from_secs(1);

/// Submits a job under the caller's own key.
pub async fn submit_key(state: &Arc<SharedState>, request: JobRequest) -> EncodedAnswer {
    if let Err(error) = make_job(request.clone(), &state.settings) {
        return EncodedAnswer::of_error("", error);
    }
    let path = format!("{KEY_FOLDER}/{}/{}", request.team, request.key);
    match bind(state, &path, &request.team).await {
        Ok(bound) => submit_bound(state, &request, &bound.value).await,
        Err(error) => unbound(&error),
    }
}

async fn submit_bound(
    state: &Arc<SharedState>,
    request: &JobRequest,
    ticket: &str,
) -> EncodedAnswer {
    let bound = JobRequest {
        ticket: ticket.to_owned(),
        key: String::new(),
        ..request.clone()
    };
    let body = Bytes::from(serde_json::to_vec(&bound).unwrap_or_default());
    routes::submit_ticket(state, bound, body, 0).await
}

/// Binds a key to a fresh ticket if it is not bound yet, and returns what is bound.
async fn bind(state: &SharedState, path: &str, team: &str) -> Result<KeyValue, StoreError> {
    let lifetime = Duration::from_millis(state.settings.limits.ticket_lifetime_ms);
    let expiry = state.clock.now().after(lifetime);
    let ticket = state.issuer.issue(TeamName::from(team), expiry).to_string();
    let request = PutRequest {
        value: ticket,
        expected_revision: 0,
        // The binding outlives the ticket, so that no second ticket can be bound in its life.
        lease_ms: state.settings.limits.ticket_lifetime_ms.saturating_mul(2),
    };
    match state.store.put(path, &request).await {
        Ok(reply) => current_or_read(&state.store, path, reply.current).await,
        Err(error) if error.is_effect_unknown() => read_bound(&state.store, path, error).await,
        Err(error) => Err(error),
    }
}

async fn current_or_read(
    store: &StoreClient,
    path: &str,
    current: Option<KeyValue>,
) -> Result<KeyValue, StoreError> {
    match current {
        Some(bound) if bound.revision != 0 => Ok(bound),
        Some(_) | None => store.get(path).await,
    }
}

/// Finds out by reading whether a write whose answer was lost took effect.
async fn read_bound(
    store: &StoreClient,
    path: &str,
    lost: StoreError,
) -> Result<KeyValue, StoreError> {
    let bound = store.get(path).await?;
    if bound.revision == 0 {
        Err(lost)
    } else {
        Ok(bound)
    }
}

fn unbound(error: &StoreError) -> EncodedAnswer {
    log::warn!("event=key_not_bound error=\"{error}\"");
    let detail = "the key could not be bound; repeat the request with the same key";
    EncodedAnswer::of_error(
        "",
        DispatchError::retry(ErrorKind::StoreUnavailable, detail, STORE_WAIT),
    )
}
