//! Clients' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Host name of the route.
pub const ROUTE_HOST: &str = "nony24.example";

/// Path prefix of the route.
pub const PREFIX: &str = "/lohu930/";

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: String,
    /// Body; empty for none.
    pub body: String,
    /// Time for which the client waits.
    pub deadline: Duration,
}

/// Sends a request over a new connection. Returns the status and the body, or why there is none.
/// Dropping the future closes the connection.
pub async fn send(address: SocketAddr, call: Call<'_>) -> Result<(u16, String), String> {
    let deadline = call.deadline;
    let exchange = async {
        let text = |error: &dyn std::fmt::Display| error.to_string();
        let stream = TcpStream::connect(address).await.map_err(|e| text(&e))?;
        drop(stream.set_nodelay(true));
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| text(&e))?;
        let request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header("Host", ROUTE_HOST)
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", deadline.as_millis().to_string())
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|e| text(&e))?;
        let answer = async {
            let response = sender.send_request(request).await.map_err(|e| text(&e))?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|e| text(&e))?;
            Ok((
                status,
                String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            ))
        };
        let mut connection = std::pin::pin!(connection);
        let mut answer = std::pin::pin!(answer);
        tokio::select! {
            answer = &mut answer => answer,
            ended = &mut connection => match ended {
                // The answer may have been read just before the connection ended.
                Ok(()) => answer.await,
                Err(error) => Err(text(&error)),
            },
        }
    };
    match timeout(deadline, exchange).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(String::from("no answer in time")),
    }
}
