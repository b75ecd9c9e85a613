//! Connections to workers.
//!
//! Every worker has a pool of its own, so that one whose connections went silent can be given
//! fresh ones without touching the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time after which an idle connection is closed, before anything between the ends forgets it.
const IDLE_CONNECTION_LIFE: Duration = Duration::from_secs(2);

/// Idle connections kept to one worker.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Time between keep-alive probes on a connection without traffic.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection counts as dead.
const KEEP_ALIVE_PROBES: u32 = 3;

/// Time for sent data to be acknowledged by the other end's network stack.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(3);

/// HTTP client with a pool of connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Pool of connections to one worker.
#[derive(Debug)]
pub struct WorkerChannel {
    /// Client that owns the pool.
    pub client: HttpClient,
}

/// Pools by the address of their worker.
type ChannelMap = HashMap<SocketAddr, Arc<WorkerChannel>>;

/// Pools of connections, one for each worker's address.
///
/// Readers take a snapshot of the map; a change replaces the map as a whole.
#[derive(Debug)]
pub struct WorkerChannels {
    channels: ArcSwap<ChannelMap>,
    connect_timeout: Duration,
}

impl WorkerChannels {
    /// Makes an empty set whose connections are opened within `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            channels: ArcSwap::default(),
            connect_timeout,
        }
    }

    /// Returns the pool of a worker.
    #[must_use]
    pub fn channel(&self, address: SocketAddr) -> Arc<WorkerChannel> {
        if let Some(channel) = self.channels.load().get(&address) {
            return Arc::clone(channel);
        }
        let fresh = self.open();
        self.channels.rcu(|present| {
            let mut channels = ChannelMap::clone(present);
            channels
                .entry(address)
                .or_insert_with(|| Arc::clone(&fresh));
            channels
        });
        // Another thread may have come first; both then share its pool.
        self.channels.load().get(&address).map_or(fresh, Arc::clone)
    }

    /// Lets what follows take fresh connections, because one of `silent` gave no answer.
    ///
    /// Attempts under way keep their connections. A pool that was replaced meanwhile stays.
    pub fn replace(&self, address: SocketAddr, silent: &Arc<WorkerChannel>) {
        let is_silent = |channels: &ChannelMap| {
            channels
                .get(&address)
                .is_some_and(|present| Arc::ptr_eq(present, silent))
        };
        if !is_silent(&self.channels.load()) {
            return;
        }
        log::info!("event=connections_replaced worker={address}");
        self.channels.rcu(|present| {
            let mut channels = ChannelMap::clone(present);
            if is_silent(present) {
                channels.remove(&address);
            }
            channels
        });
    }

    /// Drops the pools of workers that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.channels.rcu(|present| {
            let mut channels = ChannelMap::clone(present);
            channels.retain(|address, _| is_listed(*address));
            channels
        });
    }

    fn open(&self) -> Arc<WorkerChannel> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(self.connect_timeout));
        connector.set_keepalive(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEP_ALIVE_PROBES));
        connector.set_tcp_user_timeout(Some(ACKNOWLEDGE_LIMIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION_LIFE)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Arc::new(WorkerChannel { client })
    }
}
