//! HTTP client for the tests of the stand-ins.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// A connection that sends one request at a time.
#[derive(Debug)]
pub struct TestConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl TestConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("the connection is accepted");
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the HTTP handshake succeeds");
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a request and returns the status and the body.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &impl Serialize,
    ) -> hyper::Result<(StatusCode, Bytes)> {
        let bytes = serde_json::to_vec(body).expect("the body has a JSON form");
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "stand-in")
            .body(Full::new(Bytes::from(bytes)))
            .expect("the request is valid");
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, body))
    }

    /// Sends a request and parses the response body as JSON.
    pub async fn send_json<T: DeserializeOwned>(
        &mut self,
        method: &str,
        path: &str,
        body: &impl Serialize,
    ) -> (StatusCode, T) {
        let (status, body) = self
            .send(method, path, body)
            .await
            .expect("the request is answered");
        let body = serde_json::from_slice(&body).expect("the response is valid JSON");
        (status, body)
    }
}
