//! HTTP server that can be stopped like a process that crashes.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// Received request.
#[derive(Clone, Debug)]
pub struct JsonRequest {
    /// Path.
    pub path: String,
    /// Value of the header `Target-Instance`.
    pub target: Option<String>,
    /// Body, or null.
    pub body: Value,
}

/// Running server. Dropping it closes its port and all of its connections.
#[derive(Debug)]
pub struct Server {
    accept_task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        // The connections belong to a set that is dropped with the task.
        self.accept_task.abort();
    }
}

/// Serves requests on `address`. `handle` returns `None` to leave a request without an answer.
pub async fn serve<F, R>(address: SocketAddr, handle: F) -> std::io::Result<Server>
where
    F: Fn(JsonRequest) -> R + Send + Sync + 'static,
    R: Future<Output = Option<(u16, Value)>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let handle = Arc::new(handle);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream.set_nodelay(true));
            let handle = Arc::clone(&handle);
            connections.spawn(async move {
                let service = service_fn(move |request| respond(Arc::clone(&handle), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                drop(connection.await);
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server {
        accept_task: task.abort_handle(),
    })
}

async fn respond<F, R>(
    handle: Arc<F>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::convert::Infallible>
where
    F: Fn(JsonRequest) -> R,
    R: Future<Output = Option<(u16, Value)>>,
{
    let path = String::from(request.uri().path());
    let target = request
        .headers()
        .get("target-instance")
        .and_then(|value| value.to_str().ok())
        .map(String::from);
    let bytes = request.into_body().collect().await;
    let bytes = bytes.map_or_else(|_| Bytes::new(), |body| body.to_bytes());
    let request = JsonRequest {
        path,
        target,
        body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    };
    let Some((status, body)) = handle(request).await else {
        return std::future::pending().await;
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    Ok(response)
}
