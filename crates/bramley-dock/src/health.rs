//! HTTP endpoints for readiness, metrics, a state dump and explanations of placements.

use std::convert::Infallible;
use std::rc::Rc;

use bramley_intake::{
    ConnectionLedger, IntakeListener, ListenSettings, OpenConnection, PhaseTimes, RequestIntake,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::engine::Engine;
use crate::intake::watch_connections;
use crate::placement_query::{PlacementQuery, QUERY_PATH};
use crate::platform::Platform;

/// Largest head of a request in bytes.
const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Response to a connection for which there is no room.
const FULL_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Serves `/ready`, `/metrics`, `/state` and `/where` until the process ends. `interface` names the
/// address in logs and metrics.
pub async fn serve_health<P: Platform>(
    engine: Rc<Engine<P>>,
    listener: TcpListener,
    interface: &'static str,
) {
    let settings = engine.settings().host.capacity.health_intake();
    let ledger = ConnectionLedger::new(interface, settings);
    spawn_local(watch_connections(Rc::clone(&engine), ledger.clone()));
    let sockets = ListenSettings::default();
    let mut listener = IntakeListener::new(listener, ledger, FULL_RESPONSE, sockets);
    loop {
        let (stream, connection) = listener.accept(PhaseTimes::default).await;
        spawn_local(serve_connection(
            Rc::clone(&engine),
            stream,
            connection,
            interface,
        ));
    }
}

async fn serve_connection<P: Platform>(
    engine: Rc<Engine<P>>,
    stream: TcpStream,
    connection: OpenConnection,
    interface: &'static str,
) {
    let handle = connection.handle();
    let service = service_fn(|request| {
        let engine = Rc::clone(&engine);
        let intake = RequestIntake::new(handle.clone());
        async move {
            let response = respond(&engine, &request);
            drop(intake);
            Ok::<_, Infallible>(response)
        }
    });
    let http = http1::Builder::new()
        .timer(TokioTimer::new())
        // The ledger keeps the deadlines.
        .header_read_timeout(None)
        .max_header_size(MAX_HEADER_BYTES)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(connection.meter(stream)), service);
    tokio::select! {
        result = http => {
            if let Err(error) = result {
                log::trace!("event=connection_ended interface={interface} error=\"{error}\"");
            }
        }
        () = connection.closed() => {}
    }
}

fn respond<P: Platform>(
    engine: &Rc<Engine<P>>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        "/ready" if engine.is_ready() => (StatusCode::OK, String::from("ready\n")),
        "/ready" => (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n")),
        "/metrics" => (StatusCode::OK, engine.metrics().encode()),
        "/state" => (StatusCode::OK, engine.dump().to_string()),
        QUERY_PATH => explain(engine, request.uri().query().unwrap_or_default()),
        _ => (StatusCode::NOT_FOUND, String::from("not found\n")),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Answers a question where a request would go now.
fn explain<P: Platform>(engine: &Rc<Engine<P>>, query: &str) -> (StatusCode, String) {
    let answer = PlacementQuery::parse(query).and_then(|query| engine.explain_placement(&query));
    match answer {
        Ok(answer) => (StatusCode::OK, answer.to_string()),
        Err(error) => {
            let (status, label) = error.answer();
            let body = serde_json::json!({"error": label, "message": error.to_string()});
            (status, body.to_string())
        }
    }
}
