//! Settings of a client.

use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Addresses of the entry hosts, or of a balancer before them.
    pub entry_addresses: Vec<SocketAddr>,
    /// Team on whose behalf jobs run.
    pub team: Arc<str>,
    /// Number of tickets taken at once from one entry host.
    pub ticket_block: u32,
    /// Time before its expiry at which a ticket is thrown away, in milliseconds; at most half of
    /// the ticket's lifetime.
    pub ticket_margin_ms: u64,
    /// Time in which a request without a deadline of its own has to be answered, in milliseconds.
    pub request_deadline_ms: u64,
    /// Time after a request's deadline for which the client still waits for an answer that is on
    /// its way, in milliseconds.
    pub answer_grace_ms: u64,
    /// Time to connect, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without an answer after which a request is repeated on another connection, in
    /// milliseconds.
    pub attempt_timeout_ms: u64,
    /// Time in which an entry host has to issue tickets before another host is asked, in
    /// milliseconds.
    pub ticket_timeout_ms: u64,
    /// Wait before the first retry that no entry host timed, in milliseconds.
    pub backoff_start_ms: u64,
    /// Longest wait before a retry that no entry host timed, in milliseconds.
    pub backoff_limit_ms: u64,
    /// Time for which an entry host that could not be reached, or refused without a time, is
    /// passed over, in milliseconds.
    pub avoid_ms: u64,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            entry_addresses: Vec::new(),
            team: Arc::from(""),
            ticket_block: 32,
            ticket_margin_ms: 10_000,
            request_deadline_ms: 30_000,
            answer_grace_ms: 500,
            connect_timeout_ms: 1_000,
            attempt_timeout_ms: 5_000,
            ticket_timeout_ms: 1_000,
            backoff_start_ms: 10,
            backoff_limit_ms: 1_000,
            avoid_ms: 1_000,
        }
    }
}
