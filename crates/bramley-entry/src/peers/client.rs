//! Client for other entry processes.

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

use crate::caller::replies::EncodedResponse;

/// Timeout for all calls between hosts except forwarded requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for a forwarded request, far longer than any job's deadline.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(180);

/// Interval between HTTP/2 keep-alive pings on a connection with open calls.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time allowed for the reply to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message between hosts in bytes.
pub const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// Connections to other entry processes, one per address.
#[derive(Debug)]
pub struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    connect_timeout: Duration,
}

impl PeerClients {
    /// Creates an empty set of connections with the given connect timeout.
    #[must_use]
    pub fn new(connect_timeout_ms: u64) -> Self {
        let connect_timeout = Duration::from_millis(connect_timeout_ms);
        Self {
            channels: Mutex::default(),
            connect_timeout,
        }
    }

    /// Forwards a request to the owner of its ticket.
    ///
    /// # Errors
    ///
    /// Returns the gRPC status of the call. The owner may have received the request even so.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequest,
    ) -> Result<EncodedResponse, Status> {
        let result = self
            .client(address)
            .forward(with_timeout(request, FORWARD_TIMEOUT))
            .await;
        let reply = self.finish_call(address, result)?;
        let status = u16::try_from(reply.status).unwrap_or_default();
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let retry_after = Duration::from_millis(reply.retry_after_ms);
        Ok(EncodedResponse {
            status,
            body: Bytes::from(reply.body),
            retry_after,
        })
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns the gRPC status of the call.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        request: HeartbeatRequest,
    ) -> Result<HeartbeatReply, Status> {
        let result = self
            .client(address)
            .heartbeat(with_timeout(request, CALL_TIMEOUT))
            .await;
        self.finish_call(address, result)
    }

    /// Asks a host to lend slots.
    ///
    /// # Errors
    ///
    /// Returns the gRPC status of the call.
    pub async fn borrow_slots(
        &self,
        address: SocketAddr,
        request: BorrowRequest,
    ) -> Result<BorrowReply, Status> {
        let result = self
            .client(address)
            .borrow_slots(with_timeout(request, CALL_TIMEOUT))
            .await;
        self.finish_call(address, result)
    }

    /// Returns borrowed slots to their lender.
    ///
    /// # Errors
    ///
    /// Returns the gRPC status of the call.
    pub async fn return_slots(
        &self,
        address: SocketAddr,
        request: ReturnRequest,
    ) -> Result<(), Status> {
        let result = self
            .client(address)
            .return_slots(with_timeout(request, CALL_TIMEOUT))
            .await;
        self.finish_call(address, result).map(|_| ())
    }

    /// Fetches the newest configuration and worker list that a host knows.
    ///
    /// # Errors
    ///
    /// Returns the gRPC status of the call.
    pub async fn fetch_configuration(
        &self,
        address: SocketAddr,
    ) -> Result<ConfigurationReply, Status> {
        let request = with_timeout(ConfigurationRequest {}, CALL_TIMEOUT);
        let result = self.client(address).fetch_configuration(request).await;
        self.finish_call(address, result)
    }

    fn client(&self, address: SocketAddr) -> PeerClient<Channel> {
        let mut channels = self.channels.lock().expect("the lock is never poisoned");
        let channel = channels
            .entry(address)
            .or_insert_with(|| self.open(address));
        PeerClient::new(channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    fn open(&self, address: SocketAddr) -> Channel {
        Endpoint::from_shared(format!("http://{address}"))
            .expect("a socket address forms a valid URI")
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .connect_lazy()
    }

    /// Unwraps the result of a call. After a failure the connection is discarded, because it may be
    /// half-open, and the next call opens a new one.
    fn finish_call<T>(
        &self,
        address: SocketAddr,
        result: Result<tonic::Response<T>, Status>,
    ) -> Result<T, Status> {
        match result {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => {
                self.channels
                    .lock()
                    .expect("the lock is never poisoned")
                    .remove(&address);
                Err(status)
            }
        }
    }
}

fn with_timeout<T>(message: T, timeout: Duration) -> Request<T> {
    let mut request = Request::new(message);
    request.set_timeout(timeout);
    request
}
