//! Calls to other entry processes.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bramley_wire::peer::peer_client::PeerClient;
use bramley_wire::peer::{
    BorrowReply, BorrowRequest, ConfigurationReply, ConfigurationRequest, ForwardRequest,
    HeartbeatReply, HeartbeatRequest, ReturnRequest,
};
use bytes::Bytes;
use hyper::StatusCode;
use std::collections::HashMap;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::caller::replies::EncodedAnswer;

/// Longest time that a short call between hosts may take.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Longest time that a forwarded request may take, by far more than any job's deadline.
const FORWARD_LIMIT: Duration = Duration::from_secs(180);

/// Time between keep-alive probes of a connection with calls under way.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for the answer to a keep-alive probe.
const KEEP_ALIVE_LIMIT: Duration = Duration::from_secs(2);

/// Largest message between hosts in bytes.
pub const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// Connections to other entry processes, one for each address.
#[derive(Debug)]
pub struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    connect_timeout: Duration,
}

impl PeerClients {
    /// Makes an empty set whose connections are opened within a number of milliseconds.
    #[must_use]
    pub fn new(connect_timeout_ms: u64) -> Self {
        let connect_timeout = Duration::from_millis(connect_timeout_ms);
        Self {
            channels: Mutex::default(),
            connect_timeout,
        }
    }

    /// Hands a request to the owner of its ticket.
    ///
    /// # Errors
    ///
    /// Returns the status of the call; the request may have reached the owner all the same.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequest,
    ) -> Result<EncodedAnswer, Status> {
        let result = self
            .client(address)
            .forward(limited(request, FORWARD_LIMIT))
            .await;
        let reply = self.settle(address, result)?;
        let status = u16::try_from(reply.status).unwrap_or_default();
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let retry_after = Duration::from_millis(reply.retry_after_ms);
        Ok(EncodedAnswer {
            status,
            body: Bytes::from(reply.body),
            retry_after,
        })
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns the status of the call.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        news: HeartbeatRequest,
    ) -> Result<HeartbeatReply, Status> {
        let result = self
            .client(address)
            .heartbeat(limited(news, CALL_LIMIT))
            .await;
        self.settle(address, result)
    }

    /// Asks for slots.
    ///
    /// # Errors
    ///
    /// Returns the status of the call.
    pub async fn borrow_slots(
        &self,
        address: SocketAddr,
        request: BorrowRequest,
    ) -> Result<BorrowReply, Status> {
        let result = self
            .client(address)
            .borrow_slots(limited(request, CALL_LIMIT))
            .await;
        self.settle(address, result)
    }

    /// Gives slots back.
    ///
    /// # Errors
    ///
    /// Returns the status of the call.
    pub async fn return_slots(
        &self,
        address: SocketAddr,
        request: ReturnRequest,
    ) -> Result<(), Status> {
        let result = self
            .client(address)
            .return_slots(limited(request, CALL_LIMIT))
            .await;
        self.settle(address, result).map(|_| ())
    }

    /// Fetches the newest configuration that a host knows.
    ///
    /// # Errors
    ///
    /// Returns the status of the call.
    pub async fn fetch_configuration(
        &self,
        address: SocketAddr,
    ) -> Result<ConfigurationReply, Status> {
        let request = limited(ConfigurationRequest {}, CALL_LIMIT);
        let result = self.client(address).fetch_configuration(request).await;
        self.settle(address, result)
    }

    fn client(&self, address: SocketAddr) -> PeerClient<Channel> {
        let mut channels = self.channels.lock().expect("no holder of the lock panics");
        let channel = channels
            .entry(address)
            .or_insert_with(|| self.open(address));
        PeerClient::new(channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    fn open(&self, address: SocketAddr) -> Channel {
        Endpoint::from_shared(format!("http://{address}"))
            .expect("a socket address makes a URI")
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_LIMIT)
            .connect_lazy()
    }

    /// Unwraps a result; after a failure the next call opens a fresh connection, because the
    /// present one may have gone silent.
    fn settle<T>(
        &self,
        address: SocketAddr,
        result: Result<tonic::Response<T>, Status>,
    ) -> Result<T, Status> {
        match result {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => {
                self.channels
                    .lock()
                    .expect("no holder of the lock panics")
                    .remove(&address);
                Err(status)
            }
        }
    }
}

fn limited<T>(message: T, limit: Duration) -> Request<T> {
    let mut request = Request::new(message);
    request.set_timeout(limit);
    request
}
