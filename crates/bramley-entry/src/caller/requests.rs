//! Checks callers' messages and turns them into jobs.

use std::sync::Arc;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::JobSpec;
use bramley_core::names::{ClassName, TeamName, is_valid_name};
use bramley_core::task::TaskInput;
use bramley_core::units::UnixTime;
use bramley_settings::EntrySettings;
use bramley_wire::caller::{JobRequest, TaskSpec, TicketRequest};
use serde::de::DeserializeOwned;

/// Largest length of a caller's own key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Reads a JSON message.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] with the position of the fault.
pub fn parse_message<T: DeserializeOwned>(body: &[u8]) -> Result<T, DispatchError> {
    serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
}

/// Checks a request for tickets and returns the team.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] for a bad team name or count.
pub fn check_ticket_request(
    request: &TicketRequest,
    settings: &EntrySettings,
) -> Result<TeamName, DispatchError> {
    let most = settings.limits.max_ticket_block;
    if request.count == 0 || request.count > most {
        return Err(malformed(format!("count must be from 1 to {most}")));
    }
    check_team(&request.team)
}

/// Checks that a submission names a ticket or a well-formed key.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`].
pub fn check_reference(request: &JobRequest) -> Result<(), DispatchError> {
    if request.ticket.is_empty() == request.key.is_empty() {
        return Err(malformed("either a ticket or a key is needed"));
    }
    if request.key.is_empty() {
        return Ok(());
    }
    check_key(&request.key)
}

/// Checks a submission and turns it into a job.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedRequest`] or [`ErrorKind::TooManyTasks`].
pub fn make_job(request: JobRequest, settings: &EntrySettings) -> Result<JobSpec, DispatchError> {
    let team = check_team(&request.team)?;
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
        tasks: request.tasks.into_iter().map(make_task).collect(),
    })
}

fn make_task(spec: TaskSpec) -> TaskInput {
    TaskInput {
        payload: Arc::from(spec.payload),
        accelerators: spec.accelerators,
        memory_mib: spec.memory_mib,
        declared_ms: spec.declared_ms,
    }
}

fn check_team(team: &str) -> Result<TeamName, DispatchError> {
    if is_valid_name(team) {
        return Ok(TeamName::from(team));
    }
    Err(malformed(
        "team must be a name of 1 to 63 letters a-z, digits, - or _",
    ))
}

fn check_key(key: &str) -> Result<(), DispatchError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if key.len() <= MAX_KEY_BYTES && key.bytes().all(allowed) {
        return Ok(());
    }
    Err(malformed("key must be 1 to 128 letters, digits, -, _ or ."))
}

fn malformed(detail: impl Into<String>) -> DispatchError {
    DispatchError::new(ErrorKind::MalformedRequest, detail)
}
