//! HTTP calls to entry hosts.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

/// Longest answer that the client reads, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Time for which an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time without traffic after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two probes of a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent data may stay unacknowledged before the connection is closed.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(4);

/// Why a call got no readable answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum TransportError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have arrived, but its answer was lost: {0}
    AnswerLost(String),
}

impl std::error::Error for TransportError {}

/// Connections to one entry host.
type ConnectionPool = Client<HttpConnector, Full<Bytes>>;

/// Calls one entry host over pooled connections.
#[derive(Debug)]
pub(crate) struct EntryTransport {
    address: SocketAddr,
    connect_timeout: Duration,
    pool: Mutex<ConnectionPool>,
}

impl EntryTransport {
    /// Creates a transport without connections.
    pub(crate) fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            pool: Mutex::new(new_pool(connect_timeout)),
        }
    }

    /// Posts a JSON body and returns the body of the answer, whatever its status.
    ///
    /// After a lost or late answer all unused connections are dropped, because they may have gone
    /// silent together; the next call opens a fresh one.
    ///
    /// # Errors
    ///
    /// Fails if the host can't be reached or the answer is lost or late.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: Bytes,
        attempt_end: Instant,
    ) -> Result<Bytes, TransportError> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| TransportError::NotSent(error.to_string()))?;
        let pool = self.lock().clone();
        let answer = match tokio::time::timeout_at(attempt_end, exchange(pool, request)).await {
            Ok(answer) => answer,
            Err(elapsed) => Err(TransportError::AnswerLost(elapsed.to_string())),
        };
        if matches!(answer, Err(TransportError::AnswerLost(_))) {
            *self.lock() = new_pool(self.connect_timeout);
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_pool(connect_timeout: Duration) -> ConnectionPool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_nodelay(true);
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(ACKNOWLEDGE_LIMIT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_LIMIT)
        .build(connector)
}

async fn exchange(
    pool: ConnectionPool,
    request: Request<Full<Bytes>>,
) -> Result<Bytes, TransportError> {
    let response = match pool.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return Err(TransportError::NotSent(error.to_string()));
        }
        Err(error) => return Err(TransportError::AnswerLost(error.to_string())),
    };
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(TransportError::AnswerLost(error.to_string())),
    }
}
