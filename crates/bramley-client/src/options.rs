//! Client configuration.

use std::net::SocketAddr;
use std::sync::Arc;

/// Configuration of a [`CallerClient`](crate::CallerClient).
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Addresses of the entry hosts, or of a load balancer in front of them.
    pub entry_addresses: Vec<SocketAddr>,
    /// Team on whose behalf jobs run.
    pub team: Arc<str>,
    /// Number of tickets requested from an entry host at once.
    pub ticket_block_size: u32,
    /// Time before its expiry at which an unused ticket is discarded, in milliseconds. Limited to
    /// half of the ticket's lifetime.
    pub ticket_expiry_margin_ms: u64,
    /// Time limit for requests that don't set their own deadline, in milliseconds.
    pub request_timeout_ms: u64,
    /// Additional time after a request's deadline for which the client waits for a response in
    /// flight, in milliseconds.
    pub response_grace_ms: u64,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without a response after which a request is retried on a new connection, in
    /// milliseconds.
    pub attempt_timeout_ms: u64,
    /// Timeout for a ticket request before another entry host is tried, in milliseconds.
    pub ticket_timeout_ms: u64,
    /// Delay before the first retry if the entry host requested no delay, in milliseconds.
    pub initial_backoff_ms: u64,
    /// Maximum delay before a retry if the entry host requested no delay, in milliseconds.
    pub max_backoff_ms: u64,
    /// Time for which an entry host is skipped after it could not be reached, or after it refused
    /// a request without requesting a delay, in milliseconds.
    pub host_cooldown_ms: u64,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            entry_addresses: Vec::new(),
            team: Arc::from(""),
            ticket_block_size: 32,
            ticket_expiry_margin_ms: 10_000,
            request_timeout_ms: 30_000,
            response_grace_ms: 500,
            connect_timeout_ms: 1_000,
            attempt_timeout_ms: 5_000,
            ticket_timeout_ms: 1_000,
            initial_backoff_ms: 10,
            max_backoff_ms: 1_000,
            host_cooldown_ms: 1_000,
        }
    }
}
