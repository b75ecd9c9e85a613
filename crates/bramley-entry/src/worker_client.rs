//! Sends tasks to workers and tells what is proved when no answer comes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::action::TaskStart;
use bramley_core::kernel::event::AttemptEnd;
use bramley_core::task::NotStartedProof;
use bramley_core::units::{IncarnationId, TaskKey};
use bramley_wire::worker::{StartReply, StartRequest, StopRequest};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::worker_channels::{HttpClient, WorkerChannels};

/// Largest answer of a worker in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time allowed for a stop request.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Status of a task that ran to its end.
const FINISHED: &str = "finished";

/// Status of a task that ran and failed.
const FAILED: &str = "failed";

/// Status of a task that was refused before its start.
const REFUSED: &str = "refused";

/// How an attempt ended, and whether the worker said that it is leaving.
#[derive(Debug)]
pub struct StartOutcome {
    /// End of the attempt.
    pub end: AttemptEnd,
    /// Whether the worker said that it is leaving.
    pub leaving: bool,
}

impl From<AttemptEnd> for StartOutcome {
    fn from(end: AttemptEnd) -> Self {
        Self {
            end,
            leaving: false,
        }
    }
}

/// Times that bound one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// Instant from which the connection counts as silent.
    pub silent_after: Instant,
    /// Instant after which the end is no longer waited for.
    pub answer_by: Instant,
}

/// Sends tasks to workers over pooled connections.
#[derive(Debug)]
pub struct WorkerClient {
    channels: WorkerChannels,
    incarnation: IncarnationId,
}

impl WorkerClient {
    /// Makes a client whose connections are opened within `connect_timeout`.
    #[must_use]
    pub fn new(incarnation: IncarnationId, connect_timeout: Duration) -> Self {
        Self {
            channels: WorkerChannels::new(connect_timeout),
            incarnation,
        }
    }

    /// Sends a task and waits for its end, at most until the last of the times.
    pub async fn start(&self, start: TaskStart, times: AttemptTimes) -> StartOutcome {
        let task = self.name_task(start.task);
        let body = StartRequest {
            task: task.clone(),
            attempt: start.attempt.0,
            team: start.team.as_str().to_owned(),
            class: start.class.as_str().to_owned(),
            payload: start.payload.to_string(),
            accelerators: start.accelerators,
            start_before_unix_ms: start.start_before.as_millis(),
        };
        let Some(request) = post(start.address, "/tasks", &body) else {
            return AttemptEnd::NotStarted {
                proof: NotStartedProof::HandedBack,
                leaving: false,
            }
            .into();
        };
        let channel = self.channels.channel(start.address);
        let exchange = exchange(&channel.client, request, times.answer_by);
        tokio::pin!(exchange);
        let answer = tokio::select! {
            answer = &mut exchange => answer,
            () = tokio::time::sleep_until(times.silent_after) => {
                // The task may only be slow, so its end is still waited for.
                self.channels.replace(start.address, &channel);
                exchange.await
            }
        };
        match answer {
            Ok((status, body)) => judge(status, &body, &task, start.attempt.0),
            Err(end) => end.into(),
        }
    }

    /// Drops the connections to workers that are no longer listed.
    pub fn retain_listed(&self, addresses: &HashSet<SocketAddr>) {
        self.channels.retain(|address| addresses.contains(&address));
    }

    /// Asks a worker to stop a task; nothing depends on the answer.
    pub async fn stop(&self, address: SocketAddr, task: TaskKey) {
        let body = StopRequest {
            task: self.name_task(task),
        };
        let Some(request) = post(address, "/tasks/stop", &body) else {
            return;
        };
        let deadline = Instant::now() + STOP_LIMIT;
        let result = timeout_at(
            deadline,
            self.channels.channel(address).client.request(request),
        )
        .await;
        if !matches!(result, Ok(Ok(_))) {
            log::debug!("event=stop_failed worker={address} task={}", task.serial.0);
        }
    }

    /// Names a task uniquely among all incarnations.
    fn name_task(&self, task: TaskKey) -> String {
        format!("{}.{:x}.{}", self.incarnation, task.serial.0, task.index)
    }
}

/// Sends a request and reads the whole answer; an error tells how the attempt ended.
async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    answer_by: Instant,
) -> Result<(StatusCode, Bytes), AttemptEnd> {
    let response = match timeout_at(answer_by, client.request(request)).await {
        Ok(Ok(response)) => response,
        // Only a failure to connect proves that nothing left.
        Ok(Err(error)) if error.is_connect() => {
            let proof = NotStartedProof::ConnectFailed;
            return Err(AttemptEnd::NotStarted {
                proof,
                leaving: false,
            });
        }
        Ok(Err(_)) | Err(_) => return Err(AttemptEnd::Unknown),
    };
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    match timeout_at(answer_by, body.collect()).await {
        Ok(Ok(body)) => Ok((status, body.to_bytes())),
        Ok(Err(_)) | Err(_) => Err(AttemptEnd::Unknown),
    }
}

fn post(
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

/// Tells from a worker's answer how the attempt ended.
///
/// An answer that belongs to another task or attempt proves nothing about this one.
fn judge(status: StatusCode, body: &[u8], task: &str, attempt: u64) -> StartOutcome {
    let Ok(reply) = serde_json::from_slice::<StartReply>(body) else {
        return AttemptEnd::Unknown.into();
    };
    if reply.task != task || reply.attempt != attempt {
        log::error!(
            "event=crossed_worker_answer task={task} answered={}",
            reply.task
        );
        return AttemptEnd::Unknown.into();
    }
    let leaving = reply.leaving;
    let end = match (status, reply.status.as_str()) {
        (StatusCode::OK, FINISHED) => AttemptEnd::Finished(Arc::from(reply.output)),
        (StatusCode::OK, FAILED) => AttemptEnd::Failed,
        (StatusCode::CONFLICT, REFUSED) => AttemptEnd::NotStarted {
            proof: NotStartedProof::RefusedByWorker,
            leaving,
        },
        _ => AttemptEnd::Unknown,
    };
    StartOutcome { end, leaving }
}
