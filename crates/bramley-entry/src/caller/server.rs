//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

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

/// Delay after a connection could not be accepted, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, &state, &graceful, abort.clone()),
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(
    stream: TcpStream,
    state: &Arc<SharedState>,
    graceful: &GracefulShutdown,
    abort: CancellationToken,
) {
    if let Err(error) = configure_stream(&stream) {
        log::debug!("event=connection_setup_failed error=\"{error}\"");
    }
    let state = Arc::clone(state);
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handle_request(&state, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            result = connection => {
                if let Err(error) = result {
                    log::debug!("event=caller_connection_ended error=\"{error}\"");
                }
            }
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
    let body = match read_body(state, request).await {
        Ok(body) => body,
        Err(error) => return EncodedResponse::from_error("", error).into_response(),
    };
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
) -> Result<Bytes, DispatchError> {
    let limit = state.settings.limits.max_body_bytes as usize;
    let deadline = Instant::now() + BODY_READ_TIMEOUT;
    let mut incoming = request.into_body();
    let body = Limited::new(&mut incoming, limit);
    match timeout_at(deadline, body.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            discard_rest(incoming, deadline).await;
            let detail = format!("at most {limit} bytes");
            Err(DispatchError::new(ErrorKind::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(DispatchError::new(
            ErrorKind::MalformedRequest,
            error.to_string(),
        )),
        Err(_) => Err(DispatchError::new(
            ErrorKind::MalformedRequest,
            "the body came too slowly",
        )),
    }
}

/// Reads and discards the rest of an oversized body.
///
/// Closing a connection with unread data resets it, and the caller could lose the response.
async fn discard_rest(mut body: Incoming, deadline: Instant) {
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES {
        let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await else {
            return;
        };
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
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
