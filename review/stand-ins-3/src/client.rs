//! Clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::deployment::{PREFIX, ROUTE_HOST};
use crate::http::{call, encode_request};
use crate::record::CaseRecord;

static NEXT_JOB: AtomicU64 = AtomicU64::new(0);

/// Returns a new job id of 16 hexadecimal digits.
#[must_use]
pub fn new_job() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let base = since_epoch.map_or(0, |span| span.as_nanos() as u64) & 0xffff_ffff;
    let number = NEXT_JOB.fetch_add(1, Ordering::Relaxed);
    format!("{base:08x}{number:08x}")
}

/// Returns the body of a best-effort job with one step.
#[must_use]
pub fn job_body(run_ms: u64, cpu: u64, step: &Value) -> Value {
    let mut step = step.clone();
    step["cpu"] = cpu.into();
    step["mem_mb"] = 64.into();
    step["estimate_ms"] = run_ms.into();
    json!({"spec": format!("{run_ms} {cpu}"), "best_effort": true, "steps": [step]})
}

/// Encodes the submission of a job.
#[must_use]
pub fn encode_submission(job: &str, body: &Value, deadline_ms: u64) -> Vec<u8> {
    encode_request(
        "POST",
        ROUTE_HOST,
        &format!("{PREFIX}{job}"),
        deadline_ms,
        body,
    )
}

/// Submits a job once. Returns the status and the state of the answer; the status is 0 if there is
/// none.
pub async fn submit(
    record: &CaseRecord,
    front: SocketAddr,
    job: &str,
    body: &Value,
    deadline_ms: u64,
) -> (u16, String) {
    record.line(format!("client sends job {job} to {front}: {body}"));
    let request = encode_submission(job, body, deadline_ms);
    let answer = call(front, &request, Duration::from_millis(deadline_ms)).await;
    let (status, state) = answer.map_or((0, String::new()), |answer| {
        let state = answer.body["state"].as_str().unwrap_or_default();
        (answer.status(), String::from(state))
    });
    record.line(format!("client is answered {status} {state} to job {job}"));
    (status, state)
}
