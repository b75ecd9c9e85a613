//! The HTTP/1.1 server used by both stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A response whose complete body is in memory.
pub(crate) type BufferedResponse = Response<Full<Bytes>>;

/// the connection is closed without a response
#[derive(Debug, displaydoc::Display)]
pub(crate) struct ConnectionAborted;

impl std::error::Error for ConnectionAborted {}

/// Error in a request.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum RequestError {
    /// malformed request: {0}
    Malformed(String),
    /// the value is larger than 1 MiB
    ValueTooLarge,
    /// failed to read the request body: {0}
    Unreadable(String),
}

impl std::error::Error for RequestError {}

impl RequestError {
    /// Builds the error response.
    pub(crate) fn to_response(&self) -> BufferedResponse {
        let status = match self {
            Self::Malformed(_) | Self::Unreadable(_) => StatusCode::BAD_REQUEST,
            Self::ValueTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        };
        text_response(status, self.to_string())
    }
}

/// Handles the requests on all connections of one server.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Registers an accepted connection and returns its ID.
    fn register_connection(&self) -> u64;

    /// Handles one request on the connection with the given ID.
    fn handle(
        self: Arc<Self>,
        connection_id: u64,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<BufferedResponse, ConnectionAborted>> + Send;
}

/// A running HTTP server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    stop: CancellationToken,
    connections: TaskTracker,
}

impl HttpServer {
    /// Binds `listen` and serves connections until the token is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub(crate) async fn start(
        listen: SocketAddr,
        handler: Arc<impl RequestHandler>,
        stop: CancellationToken,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let connections = TaskTracker::new();
        let accept_loop = accept_connections(listener, handler, stop.clone(), connections.clone());
        connections.spawn(accept_loop);
        Ok(Self {
            address,
            stop,
            connections,
        })
    }

    /// Returns the address on which the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and drops every connection.
    pub(crate) async fn stop(&self) {
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept_connections(
    listener: TcpListener,
    handler: Arc<impl RequestHandler>,
    stop: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                // File descriptors may be exhausted; yielding lets other connections close.
                tokio::task::yield_now().await;
                continue;
            }
        };
        let connection = serve_connection(stream, Arc::clone(&handler), stop.clone());
        connections.spawn(connection);
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<impl RequestHandler>,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let connection_id = handler.register_connection();
    let service = service_fn(move |request| Arc::clone(&handler).handle(connection_id, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        served = connection => {
            if let Err(error) = served {
                log::debug!("event=connection_ended connection={connection_id} error=\"{error}\"");
            }
        }
    }
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Fails if the body is too large, incomplete or not valid JSON for `T`.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, RequestError> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let bytes = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => return Err(RequestError::Unreadable(error.to_string())),
    };
    serde_json::from_slice(&bytes).map_err(|error| RequestError::Malformed(error.to_string()))
}

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> BufferedResponse {
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => bytes,
        Err(error) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Builds a plain text response.
pub(crate) fn text_response(status: StatusCode, body: impl Into<Bytes>) -> BufferedResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds the response for an unknown path or method.
pub(crate) fn not_found_response() -> BufferedResponse {
    text_response(StatusCode::NOT_FOUND, "unknown path or method")
}
