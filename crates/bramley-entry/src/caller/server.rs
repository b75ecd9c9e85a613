//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_intake::{
    BodyError, ConnectionLedger, IntakeListener, IntakeSettings, ListenSettings, OpenConnection,
    PhaseTimes, Receiving, RequestIntake, discard_body,
};
use bramley_settings::EntryLimits;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::caller::replies::{EncodedResponse, ResponseBody};
use crate::caller::routes::{self, TicketOperation};
use crate::dump;
use crate::shared::SharedState;

/// Timeout for reading the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of bytes of an oversized body that are read and discarded before the
/// connection is closed.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// Largest head of a request in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Largest read buffer of a connection in bytes.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Times that a connection may spend in a phase.
const PHASE_TIMES: PhaseTimes = PhaseTimes {
    idle: Duration::from_secs(60),
    head: HEADER_READ_TIMEOUT,
    answer: Duration::from_secs(60),
};

/// Response to a connection for which there is no room.
const FULL_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Serves callers until `stop` is cancelled, then lets requests in progress finish.
///
/// Returns when all connections are closed. Cancelling `abort` drops open connections at once.
pub async fn serve(
    listener: TcpListener,
    state: Arc<SharedState>,
    stop: CancellationToken,
    abort: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    let ledger = ConnectionLedger::new("caller", intake_settings(&state.settings.limits));
    let watch = tokio::spawn(watch_connections(Arc::clone(&state), ledger.clone()));
    let _watch = AbortOnDropHandle::new(watch);
    let sockets = ListenSettings::default();
    let mut listener = IntakeListener::new(listener, ledger, FULL_RESPONSE, sockets);
    loop {
        let (stream, connection) = tokio::select! {
            accepted = listener.accept(|| PHASE_TIMES) => accepted,
            () = stop.cancelled() => break,
        };
        serve_connection(stream, connection, &state, &graceful, abort.clone());
    }
    drop(listener);
    graceful.shutdown().await;
}

fn intake_settings(limits: &EntryLimits) -> IntakeSettings {
    IntakeSettings {
        connections: limits.max_connections as usize,
        held_bytes: usize::try_from(limits.max_intake_bytes).unwrap_or(usize::MAX),
    }
}

async fn watch_connections(state: Arc<SharedState>, ledger: ConnectionLedger) {
    let publish = |_, report| state.metrics.record_intake(report);
    ledger.watch(publish).await;
}

fn serve_connection(
    stream: TcpStream,
    connection: OpenConnection,
    state: &Arc<SharedState>,
    graceful: &GracefulShutdown,
    abort: CancellationToken,
) {
    if let Err(error) = configure_stream(&stream) {
        log::debug!("event=connection_setup_failed error=\"{error}\"");
    }
    let state = Arc::clone(state);
    let handle = connection.handle();
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        let intake = RequestIntake::new(handle.clone());
        async move { Ok::<_, Infallible>(handle_request(&state, request, intake).await) }
    });
    let http = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // The ledger keeps the deadlines.
        .header_read_timeout(None)
        .max_header_size(MAX_HEADER_BYTES)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(connection.meter(stream)), service);
    let http = graceful.watch(http);
    tokio::spawn(async move {
        tokio::select! {
            result = http => {
                if let Err(error) = result {
                    log::debug!("event=caller_connection_ended error=\"{error}\"");
                }
            }
            () = connection.closed() => {}
            () = abort.cancelled() => {}
        }
    });
}

fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

async fn handle_request(
    state: &Arc<SharedState>,
    request: Request<Incoming>,
    intake: RequestIntake<Receiving>,
) -> Response<ResponseBody> {
    let received_at = Instant::now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    if method == Method::GET {
        return handle_get(state, &path).await;
    }
    if method != Method::POST {
        return not_found();
    }
    let body = match read_body(state, request, &intake).await {
        Ok(body) => body,
        Err(error) => return EncodedResponse::from_error("", error).into_response(),
    };
    let _serving = intake.serve(body.len());
    let response = match path.as_str() {
        "/v1/tickets" => routes::issue_tickets(state, &body),
        "/v1/jobs" => {
            let response = routes::submit(state, body, 0).await;
            state
                .metrics
                .observe_job(received_at.elapsed(), response.status);
            response
        }
        "/v1/jobs/query" => routes::query_or_cancel(state, TicketOperation::Query, body, 0).await,
        "/v1/jobs/cancel" => routes::query_or_cancel(state, TicketOperation::Cancel, body, 0).await,
        _ => return not_found(),
    };
    response.into_response()
}

async fn handle_get(state: &SharedState, path: &str) -> Response<ResponseBody> {
    match path {
        "/health" => health_response(state),
        "/metrics" => {
            let text = match state.kernel.dump().await {
                Ok(dump) => state.metrics.encode(&dump, state),
                Err(_) => String::new(),
            };
            text_response(
                StatusCode::OK,
                "application/openmetrics-text; version=1.0.0",
                text,
            )
        }
        "/state" => {
            let text = dump::dump_state(state).await;
            text_response(StatusCode::OK, "application/json", text)
        }
        _ => not_found(),
    }
}

fn health_response(state: &SharedState) -> Response<ResponseBody> {
    if state.is_draining() {
        return text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "draining\n".to_owned(),
        );
    }
    if state.configuration.load().generation == 0 {
        return text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "no configuration\n".to_owned(),
        );
    }
    text_response(StatusCode::OK, "text/plain", "ok\n".to_owned())
}

/// Reads the body of a request, up to the limit in the settings.
async fn read_body(
    state: &SharedState,
    request: Request<Incoming>,
    intake: &RequestIntake<Receiving>,
) -> Result<Bytes, DispatchError> {
    let limit = state.settings.limits.max_body_bytes as usize;
    let deadline = Instant::now() + BODY_READ_TIMEOUT;
    let mut body = request.into_body();
    let error = match intake.read_body(&mut body, limit, deadline).await {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    Err(match error {
        BodyError::TooLarge => {
            discard_rest(&mut body, deadline).await;
            DispatchError::new(ErrorKind::BodyTooLarge, format!("at most {limit} bytes"))
        }
        BodyError::TimedOut => {
            DispatchError::new(ErrorKind::MalformedRequest, "the body came too slowly")
        }
        BodyError::NoMemory => DispatchError::new(ErrorKind::HostFull, error.to_string()),
        BodyError::Unreadable(error) => {
            DispatchError::new(ErrorKind::MalformedRequest, error.to_string())
        }
    })
}

/// Reads and discards the rest of an oversized body.
///
/// Closing a connection with unread data resets it, and the caller could lose the response.
async fn discard_rest(body: &mut Incoming, deadline: Instant) {
    let is_read = timeout_at(deadline, discard_body(body, MAX_DISCARDED_BYTES)).await;
    if !matches!(is_read, Ok(true)) {
        log::debug!("event=caller_connection_ended error=\"a refused body did not end\"");
    }
}

fn not_found() -> Response<ResponseBody> {
    let error = DispatchError::new(ErrorKind::NotFound, "no such resource");
    EncodedResponse::from_error("", error).into_response()
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
