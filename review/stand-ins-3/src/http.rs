//! Minimal HTTP/1.1 messages with JSON bodies.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Received message.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// Request line or status line.
    pub first_line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, or null if there is none.
    pub body: Value,
}

impl HttpMessage {
    /// Returns a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    #[must_use]
    pub fn call(&self) -> String {
        let mut words = self.first_line.split(' ');
        let method = words.next().unwrap_or_default();
        format!("{method} {}", words.next().unwrap_or_default())
    }
}

/// Reads the next message of a connection; `None` if the connection has ended. `buffer` keeps what
/// follows the message.
///
/// # Errors
///
/// Returns the system's error if reading fails.
pub async fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<HttpMessage>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = String::from(lines.next().unwrap_or_default());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), String::from(value.trim())))
                .collect();
            let length = headers
                .iter()
                .find(|(name, _)| name == "content-length")
                .and_then(|(_, value)| value.parse::<usize>().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            if buffer.len() >= total {
                let body = serde_json::from_slice(&buffer[end + 4..total]).unwrap_or(Value::Null);
                buffer.drain(..total);
                return Ok(Some(HttpMessage {
                    first_line,
                    headers,
                    body,
                }));
            }
        }
        if buffer.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = [0; 16 * 1024];
        let count = stream.read(&mut bytes).await?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&bytes[..count]);
    }
}

/// Encodes a response.
#[must_use]
pub fn encode_response(status: u16, body: &Value) -> Vec<u8> {
    let text = body.to_string();
    let length = text.len();
    format!(
        "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{text}"
    )
    .into_bytes()
}

/// Encodes a request.
#[must_use]
pub fn encode_request(
    method: &str,
    host: &str,
    path: &str,
    deadline_ms: u64,
    body: &Value,
) -> Vec<u8> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let length = text.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n{text}"
    )
    .into_bytes()
}

/// Sends a request over a new connection and returns the response; `None` if there is none in time
/// or the connection breaks.
pub async fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Option<HttpMessage> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(request).await.ok()?;
        let mut buffer = Vec::new();
        read_message(&mut stream, &mut buffer).await.ok().flatten()
    };
    timeout(wait, exchange).await.ok().flatten()
}

/// Body of a response that states nothing.
#[must_use]
pub fn empty_body() -> Value {
    json!({})
}
