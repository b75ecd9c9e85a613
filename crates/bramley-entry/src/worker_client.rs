//! HTTP client for workers.
//!
//! When an attempt fails, the client reports whether the task is known not to have started.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::action::TaskStart;
use bramley_core::kernel::event::AttemptResult;
use bramley_core::task::NotStartedProof;
use bramley_core::units::{IncarnationId, TaskKey};
use bramley_intake::collect_body;
use bramley_wire::worker::{StartReply, StartRequest, StopRequest};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::worker_channels::{ConnectionPools, HttpClient};

/// Maximum size of a worker's reply in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Timeout for a stop request.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of a task that ran to completion.
const STATUS_FINISHED: &str = "finished";

/// Status of a task that ran and failed.
const STATUS_FAILED: &str = "failed";

/// Status of a task that the worker refused to start.
const STATUS_REFUSED: &str = "refused";

/// Result of an attempt to run a task.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// How the attempt ended.
    pub result: AttemptResult,
    /// Whether the worker reported that it is leaving.
    pub leaving: bool,
}

impl From<AttemptResult> for AttemptOutcome {
    fn from(result: AttemptResult) -> Self {
        Self {
            result,
            leaving: false,
        }
    }
}

/// Deadlines of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// Instant from which the worker's connections are considered unresponsive and are replaced.
    pub reconnect_at: Instant,
    /// Instant after which the reply is no longer awaited.
    pub reply_deadline: Instant,
}

/// Client that sends tasks to workers over pooled connections.
#[derive(Debug)]
pub struct WorkerClient {
    pools: ConnectionPools,
    incarnation: IncarnationId,
}

impl WorkerClient {
    /// Creates a client with the given connect timeout.
    #[must_use]
    pub fn new(incarnation: IncarnationId, connect_timeout: Duration) -> Self {
        Self {
            pools: ConnectionPools::new(connect_timeout),
            incarnation,
        }
    }

    /// Sends a task and waits for its result, at most until the reply deadline.
    pub async fn start(&self, start: TaskStart, deadlines: AttemptDeadlines) -> AttemptOutcome {
        let task = self.task_name(start.task);
        let body = StartRequest {
            task: task.clone(),
            attempt: start.attempt.0,
            team: start.team.as_str().to_owned(),
            class: start.class.as_str().to_owned(),
            payload: start.payload.to_string(),
            accelerators: start.accelerators,
            start_before_unix_ms: start.start_deadline.as_millis(),
        };
        let Some(request) = build_post_request(start.address, "/tasks", &body) else {
            return AttemptResult::NotStarted {
                proof: NotStartedProof::NotSent,
                leaving: false,
            }
            .into();
        };
        let pool = self.pools.pool(start.address);
        let reply = send_request(&pool.client, request, deadlines.reply_deadline);
        tokio::pin!(reply);
        let result = tokio::select! {
            result = &mut reply => result,
            () = tokio::time::sleep_until(deadlines.reconnect_at) => {
                // The task may merely be slow, so keep waiting for its reply.
                self.pools.replace(start.address, &pool);
                reply.await
            }
        };
        match result {
            Ok((status, body)) => classify_reply(status, &body, &task, start.attempt.0),
            Err(result) => result.into(),
        }
    }

    /// Drops the connection pools of workers whose addresses are not in `addresses`.
    pub fn retain_listed(&self, addresses: &HashSet<SocketAddr>) {
        self.pools.retain(|address| addresses.contains(&address));
    }

    /// Asks a worker to stop a task, without waiting for confirmation that it stopped.
    pub async fn stop(&self, address: SocketAddr, task: TaskKey) {
        let body = StopRequest {
            task: self.task_name(task),
        };
        let Some(request) = build_post_request(address, "/tasks/stop", &body) else {
            return;
        };
        let deadline = Instant::now() + STOP_TIMEOUT;
        let result = timeout_at(deadline, self.pools.pool(address).client.request(request)).await;
        if !matches!(result, Ok(Ok(_))) {
            log::debug!("event=stop_failed worker={address} task={}", task.serial.0);
        }
    }

    /// Returns a name of the task that is unique across all incarnations.
    fn task_name(&self, task: TaskKey) -> String {
        format!("{}.{:x}.{}", self.incarnation, task.serial.0, task.index)
    }
}

/// Sends a request and reads the whole reply.
///
/// If there is no reply, the error says how the attempt ended.
async fn send_request(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    reply_deadline: Instant,
) -> Result<(StatusCode, Bytes), AttemptResult> {
    let response = match timeout_at(reply_deadline, client.request(request)).await {
        Ok(Ok(response)) => response,
        // Only a failure to connect proves that nothing was sent.
        Ok(Err(error)) if error.is_connect() => {
            let proof = NotStartedProof::ConnectFailed;
            return Err(AttemptResult::NotStarted {
                proof,
                leaving: false,
            });
        }
        Ok(Err(_)) | Err(_) => return Err(AttemptResult::Unknown),
    };
    let status = response.status();
    let mut body = response.into_body();
    let read = collect_body(&mut body, MAX_REPLY_BYTES, &());
    match timeout_at(reply_deadline, read).await {
        Ok(Ok(body)) => Ok((status, body)),
        Ok(Err(_)) | Err(_) => Err(AttemptResult::Unknown),
    }
}

fn build_post_request(
    address: SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(body).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()
}

/// Determines from a worker's reply how the attempt ended.
///
/// A reply that names another task or attempt says nothing about this one, so the outcome is
/// unknown.
fn classify_reply(status: StatusCode, body: &[u8], task: &str, attempt: u64) -> AttemptOutcome {
    let Ok(reply) = serde_json::from_slice::<StartReply>(body) else {
        return AttemptResult::Unknown.into();
    };
    if reply.task != task || reply.attempt != attempt {
        log::error!(
            "event=crossed_worker_answer task={task} answered={}",
            reply.task
        );
        return AttemptResult::Unknown.into();
    }
    let leaving = reply.leaving;
    let result = match (status, reply.status.as_str()) {
        (StatusCode::OK, STATUS_FINISHED) => AttemptResult::Finished(Arc::from(reply.output)),
        (StatusCode::OK, STATUS_FAILED) => AttemptResult::Failed,
        (StatusCode::CONFLICT, STATUS_REFUSED) => AttemptResult::NotStarted {
            proof: NotStartedProof::RefusedByWorker,
            leaving,
        },
        _ => AttemptResult::Unknown,
    };
    AttemptOutcome { result, leaving }
}
