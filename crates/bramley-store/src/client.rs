//! Calls to the platform over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_wire::platform::{KeyValue, PutReply, PutRequest, WorkerList};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, IF_NONE_MATCH, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use crate::counts::{CallKind, StoreCounts};
use crate::error::StoreError;

/// Largest body of an answer in bytes; a value of one megabyte may double by JSON escapes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Largest part of a rejection's body that is kept, in bytes.
const MAX_DETAIL_BYTES: usize = 200;

/// Idle connections kept to the platform.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Settings of a store client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Longest time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time from sending a call to its whole answer, in milliseconds; a watch may take
    /// its waiting time longer.
    pub answer_timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7_400)),
            connect_timeout_ms: 300,
            answer_timeout_ms: 2_000,
        }
    }
}

/// Sends calls to the platform's key-value service; clones share connections and counts.
#[derive(Clone, Debug)]
pub struct StoreClient {
    settings: StoreSettings,
    http: Client<HttpConnector, Full<Bytes>>,
    counts: Arc<StoreCounts>,
}

impl StoreClient {
    /// Makes a client; connections are opened by the calls.
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
            counts: Arc::default(),
        }
    }

    /// Returns the counts of the calls.
    #[must_use]
    pub fn counts(&self) -> &StoreCounts {
        &self.counts
    }

    /// Reads a key; a key that does not exist has revision 0.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no usable answer comes.
    pub async fn get(&self, key: &str) -> Result<KeyValue, StoreError> {
        check_key(key)?;
        let call = PlatformCall::read(format!("/kv/{key}"));
        self.send(call).await
    }

    /// Waits until the revision of a key differs from `revision`, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no usable answer comes.
    pub async fn watch(
        &self,
        key: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<KeyValue, StoreError> {
        check_key(key)?;
        let path = format!("/kv/{key}?after={revision}&wait_ms={}", wait.as_millis());
        let call = PlatformCall {
            kind: CallKind::Watch,
            extra_wait: wait,
            ..PlatformCall::read(path)
        };
        self.send(call).await
    }

    /// Writes a key if its revision is the expected one.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no usable answer comes. [`StoreError::is_effect_unknown`]
    /// tells whether the write may have taken effect all the same.
    pub async fn put(&self, key: &str, request: &PutRequest) -> Result<PutReply, StoreError> {
        check_key(key)?;
        let body = serde_json::to_vec(request)
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let call = PlatformCall {
            kind: CallKind::Write,
            method: Method::PUT,
            body: Bytes::from(body),
            ..PlatformCall::read(format!("/kv/{key}"))
        };
        self.send(call).await
    }

    /// Reads the platform's lagging list of workers, or returns `None` if its revision is still
    /// `known`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no usable answer comes.
    pub async fn workers(&self, known: u64) -> Result<Option<WorkerList>, StoreError> {
        let call = PlatformCall {
            known_revision: Some(known),
            ..PlatformCall::read(String::from("/workers"))
        };
        self.send_conditional(call).await
    }

    async fn send<T: DeserializeOwned>(&self, call: PlatformCall) -> Result<T, StoreError> {
        let value = self.send_conditional(call).await?;
        value.ok_or_else(|| StoreError::UnreadableAnswer(String::from("an answer without a value")))
    }

    /// Sends a call whose answer may say that nothing has changed.
    async fn send_conditional<T: DeserializeOwned>(
        &self,
        call: PlatformCall,
    ) -> Result<Option<T>, StoreError> {
        self.counts
            .record_call(call.kind, call.path.len() + call.body.len());
        let result = self.exchange(call).await;
        if result.is_err() {
            self.counts.record_failure();
        }
        result
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        call: PlatformCall,
    ) -> Result<Option<T>, StoreError> {
        let time_limit = Duration::from_millis(self.settings.answer_timeout_ms) + call.extra_wait;
        let deadline = Instant::now() + time_limit;
        let request = self.build_request(call)?;
        let response = match timeout_at(deadline, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return Err(StoreError::Unreachable(describe(&error)));
            }
            Ok(Err(error)) => return Err(StoreError::AnswerLost(describe(&error))),
            Err(_) => return Err(StoreError::AnswerLost(String::from("no answer in time"))),
        };
        check_refusal(&response)?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let body = match timeout_at(deadline, self.read_body(response)).await {
            Ok(body) => body?,
            Err(_) => return Err(StoreError::AnswerLost(String::from("half an answer"))),
        };
        if status != StatusCode::OK {
            return Err(reject(status, &body));
        }
        serde_json::from_slice(&body)
            .map(Some)
            .map_err(|error| StoreError::UnreadableAnswer(error.to_string()))
    }

    fn build_request(&self, call: PlatformCall) -> Result<Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{}{}", self.settings.address, call.path);
        let mut builder = Request::builder()
            .method(call.method)
            .uri(uri)
            .header(CONTENT_TYPE, "application/json");
        if let Some(revision) = call.known_revision {
            builder = builder.header(IF_NONE_MATCH, format!("\"{revision}\""));
        }
        builder
            .body(Full::new(call.body))
            .map_err(|error| StoreError::Unreachable(error.to_string()))
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, StoreError> {
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|error| StoreError::AnswerLost(error.to_string()))?
            .to_bytes();
        self.counts.record_received(body.len());
        Ok(body)
    }
}

/// One call before it is sent.
#[derive(Clone, Debug)]
struct PlatformCall {
    kind: CallKind,
    method: Method,
    path: String,
    body: Bytes,
    /// Time that the platform may wait beyond the usual limit.
    extra_wait: Duration,
    /// Revision that is known already and need not be sent again.
    known_revision: Option<u64>,
}

impl PlatformCall {
    fn read(path: String) -> Self {
        Self {
            kind: CallKind::Read,
            method: Method::GET,
            path,
            body: Bytes::new(),
            extra_wait: Duration::ZERO,
            known_revision: None,
        }
    }
}

fn check_key(key: &str) -> Result<(), StoreError> {
    let is_key_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if !key.is_empty() && key.bytes().all(is_key_byte) {
        return Ok(());
    }
    Err(StoreError::InvalidKey(String::from(key)))
}

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

fn reject(status: StatusCode, body: &[u8]) -> StoreError {
    let beginning = &body[..body.len().min(MAX_DETAIL_BYTES)];
    // A server error does not prove that the call had no effect.
    if status.is_server_error() {
        return StoreError::AnswerLost(format!("status {}", status.as_u16()));
    }
    StoreError::Rejected {
        status: status.as_u16(),
        detail: String::from_utf8_lossy(beginning).into_owned(),
    }
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
