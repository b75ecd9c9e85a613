//! The platform's key-value service and worker list, with fault injection.
//!
//! - `handler`: the HTTP request handler.
//! - `faults`: outages, rate limits and lost replies.
//! - `store`: values, revisions and leases.
//! - `watch_query`: the query parameters of a watch.
//! - `worker_list`: the list of workers, in which changes become visible with a delay.

mod faults;
mod handler;
mod store;
mod watch_query;
mod worker_list;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bramley_wire::platform::{KeyValue, PlatformSwitch, WorkerRecord, WorkerStateChange};
use tokio_util::sync::CancellationToken;

pub use self::faults::PlatformCounts;
use self::handler::PlatformHandler;
pub use self::store::StoreSnapshot;
pub use self::worker_list::WorkerListError;
use crate::server::HttpServer;

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Delay after which a change is visible in `GET /workers`, in milliseconds.
    pub list_lag_ms: u64,
    /// Seed for the random choice of lost replies.
    pub seed: u64,
    /// Initial list of workers.
    pub workers: Vec<WorkerRecord>,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            list_lag_ms: 0,
            seed: 1,
            workers: Vec::new(),
        }
    }
}

/// A running platform stand-in, which stops when it is dropped.
///
/// ```
/// use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let platform = PlatformStandIn::start(PlatformOptions::default()).await?;
/// assert_eq!(platform.read("settings").revision, 0);
/// platform.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct PlatformStandIn {
    server: HttpServer,
    handler: Arc<PlatformHandler>,
}

impl PlatformStandIn {
    /// Starts a platform stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let listen = options.listen;
        let list_lag = Duration::from_millis(options.list_lag_ms);
        let handler = Arc::new(PlatformHandler::new(
            options.workers,
            list_lag,
            options.seed,
        ));
        let stop = CancellationToken::new();
        let server = HttpServer::start(listen, Arc::clone(&handler), stop).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address on which the platform listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults to inject.
    pub fn switch(&self, switch: PlatformSwitch) {
        self.handler.switch(switch);
    }

    /// Returns the number of requests so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.handler.counts()
    }

    /// Reads a key without counting a request.
    #[must_use]
    pub fn read(&self, key: &str) -> KeyValue {
        self.handler.read(key)
    }

    /// Takes a snapshot of the whole store.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        self.handler.snapshot()
    }

    /// Restores a snapshot of the whole store, including its revisions, like a service that is
    /// restored from a backup. Leases keep the deadlines recorded in the snapshot.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        self.handler.restore(snapshot);
    }

    /// Replaces the list of workers.
    pub fn replace_workers(&self, workers: Vec<WorkerRecord>) {
        self.handler.replace_workers(workers);
    }

    /// Changes the state of one listed worker.
    ///
    /// # Errors
    ///
    /// Fails if no such worker is listed or the state is unknown.
    pub fn change_worker_state(&self, change: &WorkerStateChange) -> Result<(), WorkerListError> {
        self.handler.change_worker_state(change)
    }

    /// Stops immediately and drops every connection.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
