//! Client that sends one request over a connection of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Host name of the route.
pub const ROUTE_HOST: &str = "booking.example";

/// Path prefix of the route.
pub const ROUTE_PREFIX: &str = "/holds/";

/// Request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Job, which follows the path prefix of the route.
    pub job: String,
    /// Body of a submission.
    pub body: Option<Value>,
    /// Time for which the client waits.
    pub deadline: Duration,
}

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub struct ClientOutcome {
    /// Time at which the response was complete or the client gave up.
    pub ended_at: Instant,
    /// Status and body of a complete response.
    pub response: Option<(u16, String)>,
}

/// Sends a request and closes the connection after the response or the deadline.
pub async fn send(address: SocketAddr, request: ClientRequest) -> ClientOutcome {
    let response = timeout(request.deadline, exchange(address, &request)).await;
    ClientOutcome {
        ended_at: Instant::now(),
        response: response.ok().flatten(),
    }
}

async fn exchange(address: SocketAddr, request: &ClientRequest) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let body = request
        .body
        .as_ref()
        .map_or_else(String::new, Value::to_string);
    let head = format!(
        "{} {ROUTE_PREFIX}{} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nDeadline-Ms: {}\r\nConnection: close\r\n\r\n",
        request.method,
        request.job,
        body.len(),
        request.deadline.as_millis(),
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let text = String::from_utf8(response).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some((status, String::from(body)))
}
