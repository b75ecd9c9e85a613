//! HTTP endpoints for readiness, metrics, a state dump and explanations of placements.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::engine::Engine;
use crate::placement_query::{PlacementQuery, QUERY_PATH};
use crate::platform::Platform;

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves `/ready`, `/metrics`, `/state` and `/where` until the process ends.
pub async fn serve_health<P: Platform>(engine: Rc<Engine<P>>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed interface=health error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let engine = Rc::clone(&engine);
        spawn_local(async move {
            let service = service_fn(|request| {
                let response = respond(&engine, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::trace!("event=connection_ended interface=health error=\"{error}\"");
            }
        });
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
