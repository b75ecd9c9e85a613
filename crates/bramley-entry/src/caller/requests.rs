//! Decodes and validates requests from callers.

use std::sync::Arc;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::JobSpec;
use bramley_core::names::{ClassName, TeamName, is_valid_name};
use bramley_core::task::TaskInput;
use bramley_core::units::UnixTime;
use bramley_settings::EntrySettings;
use bramley_wire::caller::{JobRequest, TaskSpec, TicketRequest};
use serde::de::DeserializeOwned;

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Decodes a JSON message.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] with the position of the syntax error.
pub fn parse_message<T: DeserializeOwned>(body: &[u8]) -> Result<T, DispatchError> {
    serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
}

/// Validates a request for tickets and returns its team.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] if the team name or the count is invalid.
pub fn validate_ticket_request(
    request: &TicketRequest,
    settings: &EntrySettings,
) -> Result<TeamName, DispatchError> {
    let max_count = settings.limits.max_ticket_block;
    if request.count == 0 || request.count > max_count {
        return Err(malformed(format!("count must be from 1 to {max_count}")));
    }
    validate_team(&request.team)
}

/// Checks that a submission has either a ticket or a valid idempotency key.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] if it has neither or both, or the key is invalid.
pub fn validate_job_reference(request: &JobRequest) -> Result<(), DispatchError> {
    if request.ticket.is_empty() == request.key.is_empty() {
        return Err(malformed("either a ticket or a key is needed"));
    }
    if request.key.is_empty() {
        return Ok(());
    }
    validate_key(&request.key)
}

/// Validates a submission and converts it to a job.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] or [`ErrorKind::TooManyTasks`].
pub fn build_job(request: JobRequest, settings: &EntrySettings) -> Result<JobSpec, DispatchError> {
    let team = validate_team(&request.team)?;
    if !request.class.is_empty() && !is_valid_name(&request.class) {
        return Err(malformed("class must be a name"));
    }
    let limit = settings.limits.max_job_tasks as usize;
    if request.tasks.len() > limit {
        let detail = format!("{} tasks, at most {limit}", request.tasks.len());
        return Err(DispatchError::new(ErrorKind::TooManyTasks, detail));
    }
    if request.idempotent && request.tasks.len() > 1 {
        return Err(malformed("only a job of one task may be idempotent"));
    }
    let deadline = match request.deadline_unix_ms {
        0 => UnixTime::NEVER,
        millis => UnixTime::from_millis(millis),
    };
    Ok(JobSpec {
        team,
        class: ClassName::from(request.class.as_str()),
        deadline,
        idempotent: request.idempotent,
        tasks: request.tasks.into_iter().map(build_task).collect(),
    })
}

fn build_task(spec: TaskSpec) -> TaskInput {
    TaskInput {
        payload: Arc::from(spec.payload),
        accelerators: spec.accelerators,
        memory_mib: spec.memory_mib,
        declared_ms: spec.declared_ms,
    }
}

fn validate_team(team: &str) -> Result<TeamName, DispatchError> {
    if is_valid_name(team) {
        return Ok(TeamName::from(team));
    }
    Err(malformed(
        "team must be a name of 1 to 63 letters a-z, digits, - or _",
    ))
}

fn validate_key(key: &str) -> Result<(), DispatchError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if key.len() <= MAX_KEY_BYTES && key.bytes().all(allowed) {
        return Ok(());
    }
    Err(malformed("key must be 1 to 128 letters, digits, -, _ or ."))
}

fn malformed(detail: impl Into<String>) -> DispatchError {
    DispatchError::new(ErrorKind::MalformedRequest, detail)
}
