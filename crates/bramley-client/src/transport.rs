//! HTTP requests to entry hosts.

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

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time after which an idle connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent data may remain unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Reason why a request got no response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum TransportError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have been received, but its response was lost: {0}
    ResponseLost(String),
}

impl std::error::Error for TransportError {}

/// HTTP connection pool of one entry host.
type ConnectionPool = Client<HttpConnector, Full<Bytes>>;

/// Sends requests to one entry host over pooled connections.
#[derive(Debug)]
pub(crate) struct EntryTransport {
    address: SocketAddr,
    connect_timeout: Duration,
    pool: Mutex<ConnectionPool>,
}

impl EntryTransport {
    /// Creates a transport. Connections are opened on demand.
    pub(crate) fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            pool: Mutex::new(new_pool(connect_timeout)),
        }
    }

    /// Sends a JSON body in a POST request and returns the response body, whatever the status code.
    ///
    /// After a lost response or a timeout all idle connections are dropped, because they may have
    /// failed together; the next request opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if the host can't be reached, the response is lost or the attempt times out.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: Bytes,
        attempt_deadline: Instant,
    ) -> Result<Bytes, TransportError> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| TransportError::NotSent(error.to_string()))?;
        let pool = self.lock().clone();
        let response =
            match tokio::time::timeout_at(attempt_deadline, exchange(pool, request)).await {
                Ok(response) => response,
                Err(elapsed) => Err(TransportError::ResponseLost(elapsed.to_string())),
            };
        if matches!(response, Err(TransportError::ResponseLost(_))) {
            *self.lock() = new_pool(self.connect_timeout);
        }
        response
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
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
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
        Err(error) => return Err(TransportError::ResponseLost(error.to_string())),
    };
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(TransportError::ResponseLost(error.to_string())),
    }
}
