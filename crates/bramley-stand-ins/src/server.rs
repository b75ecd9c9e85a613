//! The HTTP/1.1 server that both stand-ins share.

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

/// Longest request body that a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// A response whose body is held in memory.
pub(crate) type WholeResponse = Response<Full<Bytes>>;

/// The connection is to be closed without an answer.
#[derive(Debug, displaydoc::Display)]
pub(crate) struct AnswerLost;

impl std::error::Error for AnswerLost {}

/// Why a request can't be processed.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum RequestError {
    /// malformed request: {0}
    Malformed(String),
    /// the value is longer than a megabyte
    TooLong,
    /// unreadable body: {0}
    Unreadable(String),
}

impl std::error::Error for RequestError {}

impl RequestError {
    /// Builds the response that refuses the request.
    pub(crate) fn to_response(&self) -> WholeResponse {
        let status = match self {
            Self::Malformed(_) | Self::Unreadable(_) => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        };
        text(status, self.to_string())
    }
}

/// Answers the requests of all connections of one server.
pub(crate) trait CallHandler: Send + Sync + 'static {
    /// Registers an accepted connection and returns its number.
    fn open_connection(&self) -> u64;

    /// Answers one request that arrived on the numbered connection.
    fn answer(
        self: Arc<Self>,
        connection: u64,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<WholeResponse, AnswerLost>> + Send;
}

/// A running server.
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
        handler: Arc<impl CallHandler>,
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

    /// Address on which the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and cuts every connection.
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
    handler: Arc<impl CallHandler>,
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
                // Descriptors may be exhausted; yielding lets other connections close.
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
    handler: Arc<impl CallHandler>,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let number = handler.open_connection();
    let service = service_fn(move |request| Arc::clone(&handler).answer(number, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        served = connection => {
            if let Err(error) = served {
                log::debug!("event=connection_ended connection={number} error=\"{error}\"");
            }
        }
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails for a body that is over the limit, cut short or of another form.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, RequestError> {
    let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES);
    let bytes = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => return Err(RequestError::Unreadable(error.to_string())),
    };
    serde_json::from_slice(&bytes).map_err(|error| RequestError::Malformed(error.to_string()))
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> WholeResponse {
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => bytes,
        Err(error) => return text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Builds a plain text response.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> WholeResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds the response to an unknown path or method.
pub(crate) fn not_found() -> WholeResponse {
    text(StatusCode::NOT_FOUND, "unknown call")
}
