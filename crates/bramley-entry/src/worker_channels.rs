//! Pools of HTTP connections to workers.
//!
//! Each worker has its own pool, so that the connections of an unresponsive worker can be
//! replaced without affecting the other workers.

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

/// Time after which an idle connection is closed. It is short, so that no firewall or other
/// device on the path drops the connection's state first.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections kept per worker.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Interval between TCP keep-alive probes on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is considered dead.
const KEEP_ALIVE_PROBES: u32 = 3;

/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client with a connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Connection pool of one worker.
#[derive(Debug)]
pub struct ConnectionPool {
    /// Client that owns the pool.
    pub client: HttpClient,
}

/// Connection pools by worker address.
type PoolMap = HashMap<SocketAddr, Arc<ConnectionPool>>;

/// Connection pools of all workers.
///
/// Readers take a snapshot of the map; changes replace the whole map (copy on write).
#[derive(Debug)]
pub struct ConnectionPools {
    pools: ArcSwap<PoolMap>,
    connect_timeout: Duration,
}

impl ConnectionPools {
    /// Creates an empty set of pools with the given connect timeout.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            pools: ArcSwap::default(),
            connect_timeout,
        }
    }

    /// Returns the pool for a worker's address, creating it if necessary.
    #[must_use]
    pub fn pool(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        if let Some(pool) = self.pools.load().get(&address) {
            return Arc::clone(pool);
        }
        let new_pool = self.open();
        self.pools.rcu(|current| {
            let mut pools = PoolMap::clone(current);
            pools
                .entry(address)
                .or_insert_with(|| Arc::clone(&new_pool));
            pools
        });
        // If another thread has inserted a pool in the meantime, both use that one.
        self.pools.load().get(&address).map_or(new_pool, Arc::clone)
    }

    /// Replaces the `unresponsive` pool, so that new attempts open new connections.
    ///
    /// Attempts in progress keep their connections. Does nothing if another caller has already
    /// replaced that pool.
    pub fn replace(&self, address: SocketAddr, unresponsive: &Arc<ConnectionPool>) {
        let is_current = |pools: &PoolMap| {
            pools
                .get(&address)
                .is_some_and(|current| Arc::ptr_eq(current, unresponsive))
        };
        if !is_current(&self.pools.load()) {
            return;
        }
        log::info!("event=connections_replaced worker={address}");
        self.pools.rcu(|current| {
            let mut pools = PoolMap::clone(current);
            if is_current(current) {
                pools.remove(&address);
            }
            pools
        });
    }

    /// Drops the pools whose addresses do not satisfy `is_listed`.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.pools.rcu(|current| {
            let mut pools = PoolMap::clone(current);
            pools.retain(|address, _| is_listed(*address));
            pools
        });
    }

    fn open(&self) -> Arc<ConnectionPool> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(self.connect_timeout));
        connector.set_keepalive(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEP_ALIVE_PROBES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Arc::new(ConnectionPool { client })
    }
}
