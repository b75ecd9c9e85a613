//! The client and its HTTP requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_intake::collect_body;
use bramley_wire::platform::{KeyValue, PutReply, PutRequest, WorkerList};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, IF_NONE_MATCH, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::counters::{RequestKind, StoreCounters};
use crate::error::StoreError;

/// Maximum size of a response body in bytes. A value has at most one megabyte, and JSON escapes may
/// double its size.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of bytes of a rejection's body that are kept in the error.
const MAX_DETAIL_BYTES: usize = 200;

/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Settings of a store client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout from sending a request to receiving its whole response, in milliseconds. For a watch
    /// its wait time is added.
    pub response_timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7_400)),
            connect_timeout_ms: 300,
            response_timeout_ms: 2_000,
        }
    }
}

/// Sends requests to the platform's key-value service. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct StoreClient {
    settings: StoreSettings,
    http: Client<HttpConnector, Full<Bytes>>,
    counters: Arc<StoreCounters>,
}

impl StoreClient {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect_timeout_ms)));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self {
            settings,
            http,
            counters: Arc::default(),
        }
    }

    /// Returns the request counters.
    #[must_use]
    pub fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// Reads a key. A key that does not exist has revision 0.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no valid response.
    pub async fn get(&self, key: &str) -> Result<KeyValue, StoreError> {
        check_key(key)?;
        let request = StoreRequest::read(format!("/kv/{key}"));
        self.send(request).await
    }

    /// Reads a key by long polling: waits up to `wait` for its revision to differ from `revision`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no valid response.
    pub async fn watch(
        &self,
        key: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<KeyValue, StoreError> {
        check_key(key)?;
        let path = format!("/kv/{key}?after={revision}&wait_ms={}", wait.as_millis());
        let request = StoreRequest {
            kind: RequestKind::Watch,
            long_poll_wait: wait,
            ..StoreRequest::read(path)
        };
        self.send(request).await
    }

    /// Writes a key if its current revision is the expected revision of the request.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no valid response. [`StoreError::is_effect_unknown`]
    /// returns whether the write may have taken effect nevertheless.
    pub async fn put(&self, key: &str, request: &PutRequest) -> Result<PutReply, StoreError> {
        check_key(key)?;
        let body = serde_json::to_vec(request)
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let request = StoreRequest {
            kind: RequestKind::Write,
            method: Method::PUT,
            body: Bytes::from(body),
            ..StoreRequest::read(format!("/kv/{key}"))
        };
        self.send(request).await
    }

    /// Reads the platform's worker list, which may be stale. Returns `None` if its revision is still
    /// `known_revision`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there is no valid response.
    pub async fn worker_list(&self, known_revision: u64) -> Result<Option<WorkerList>, StoreError> {
        let request = StoreRequest {
            known_revision: Some(known_revision),
            ..StoreRequest::read(String::from("/workers"))
        };
        self.send_conditional(request).await
    }

    async fn send<T: DeserializeOwned>(&self, request: StoreRequest) -> Result<T, StoreError> {
        let value = self.send_conditional(request).await?;
        value.ok_or_else(|| {
            StoreError::MalformedResponse(String::from(
                "304 Not Modified for an unconditional request",
            ))
        })
    }

    /// Sends a request and returns `None` if the platform responds with 304 Not Modified.
    async fn send_conditional<T: DeserializeOwned>(
        &self,
        request: StoreRequest,
    ) -> Result<Option<T>, StoreError> {
        self.counters
            .record_request(request.kind, request.path.len() + request.body.len());
        let result = self.exchange(request).await;
        if result.is_err() {
            self.counters.record_failure();
        }
        result
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: StoreRequest,
    ) -> Result<Option<T>, StoreError> {
        let timeout =
            Duration::from_millis(self.settings.response_timeout_ms) + request.long_poll_wait;
        let deadline = Instant::now() + timeout;
        let request = self.build_request(request)?;
        let response = match timeout_at(deadline, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return Err(StoreError::Unreachable(describe_error_chain(&error)));
            }
            Ok(Err(error)) => return Err(StoreError::ResponseLost(describe_error_chain(&error))),
            Err(_) => return Err(StoreError::ResponseLost(String::from("response timeout"))),
        };
        check_refusal(&response)?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let body = match timeout_at(deadline, self.read_body(response)).await {
            Ok(body) => body?,
            Err(_) => return Err(StoreError::ResponseLost(String::from("body timeout"))),
        };
        if status != StatusCode::OK {
            return Err(error_from_status(status, &body));
        }
        serde_json::from_slice(&body)
            .map(Some)
            .map_err(|error| StoreError::MalformedResponse(error.to_string()))
    }

    fn build_request(&self, request: StoreRequest) -> Result<Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{}{}", self.settings.address, request.path);
        let mut builder = Request::builder()
            .method(request.method)
            .uri(uri)
            .header(CONTENT_TYPE, "application/json");
        if let Some(revision) = request.known_revision {
            builder = builder.header(IF_NONE_MATCH, format!("\"{revision}\""));
        }
        builder
            .body(Full::new(request.body))
            .map_err(|error| StoreError::Unreachable(error.to_string()))
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, StoreError> {
        let mut body = response.into_body();
        let body = collect_body(&mut body, MAX_RESPONSE_BYTES, &())
            .await
            .map_err(|error| StoreError::ResponseLost(error.to_string()))?;
        self.counters.record_received(body.len());
        Ok(body)
    }
}

/// A request to the platform.
#[derive(Clone, Debug)]
struct StoreRequest {
    kind: RequestKind,
    method: Method,
    path: String,
    body: Bytes,
    /// Long-polling time of the platform, added to the timeout.
    long_poll_wait: Duration,
    /// Revision known to the client, sent in `If-None-Match`.
    known_revision: Option<u64>,
}

impl StoreRequest {
    fn read(path: String) -> Self {
        Self {
            kind: RequestKind::Read,
            method: Method::GET,
            path,
            body: Bytes::new(),
            long_poll_wait: Duration::ZERO,
            known_revision: None,
        }
    }
}

fn check_key(key: &str) -> Result<(), StoreError> {
    let is_valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if !key.is_empty() && key.bytes().all(is_valid_byte) {
        return Ok(());
    }
    Err(StoreError::InvalidKey(String::from(key)))
}

/// Returns an error if the platform refused the request because of its rate limit or an outage.
fn check_refusal(response: &Response<Incoming>) -> Result<(), StoreError> {
    let status = response.status();
    let is_refusal =
        status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    if !is_refusal {
        return Ok(());
    }
    let seconds = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    Err(StoreError::Refused {
        status: status.as_u16(),
        retry_after: seconds.map(Duration::from_secs),
    })
}

fn error_from_status(status: StatusCode, body: &[u8]) -> StoreError {
    let prefix = &body[..body.len().min(MAX_DETAIL_BYTES)];
    // A server error does not prove that the request had no effect.
    if status.is_server_error() {
        return StoreError::ResponseLost(format!("status {}", status.as_u16()));
    }
    StoreError::Rejected {
        status: status.as_u16(),
        detail: String::from_utf8_lossy(prefix).into_owned(),
    }
}

/// Joins the messages of an error and all of its sources.
fn describe_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
