//! The platform's key-value service and worker list, with failure switches.
//!
//! - `calls`: the HTTP calls.
//! - `faults`: outages, rate limits and lost answers.
//! - `store`: values, revisions and leases.
//! - `watch_query`: the parameters of a watch.
//! - `worker_list`: the lagging list of workers.

mod calls;
mod faults;
mod store;
mod watch_query;
mod worker_list;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bramley_wire::platform::{KeyValue, PlatformSwitch, WorkerRecord, WorkerStateChange};
use tokio_util::sync::CancellationToken;

use self::calls::PlatformCalls;
pub use self::faults::PlatformCounts;
pub use self::store::StoreSnapshot;
pub use self::worker_list::ListError;
use crate::server::HttpServer;

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Time by which `GET /workers` lags behind changes, in milliseconds.
    pub list_lag_ms: u64,
    /// Seed of the choice of lost answers.
    pub seed: u64,
    /// Workers listed from the start.
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
    calls: Arc<PlatformCalls>,
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
        let calls = Arc::new(PlatformCalls::new(options.workers, list_lag, options.seed));
        let stop = CancellationToken::new();
        let server = HttpServer::start(listen, Arc::clone(&calls), stop).await?;
        Ok(Self { server, calls })
    }

    /// Address on which the platform listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the failure behaviour.
    pub fn switch(&self, switch: PlatformSwitch) {
        self.calls.switch(switch);
    }

    /// Returns the calls counted so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.calls.counts()
    }

    /// Reads a key without a counted call.
    #[must_use]
    pub fn read(&self, key: &str) -> KeyValue {
        self.calls.read(key)
    }

    /// Copies the whole store, to be restored later.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        self.calls.snapshot()
    }

    /// Sets the whole store back to a copy taken earlier, revisions included, as a service does
    /// that was restored from a backup. Leases keep the deadlines that they had in the copy.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        self.calls.restore(snapshot);
    }

    /// Replaces the list of workers.
    pub fn replace_workers(&self, workers: Vec<WorkerRecord>) {
        self.calls.replace_workers(workers);
    }

    /// Changes the state of one listed worker.
    ///
    /// # Errors
    ///
    /// Fails if no such worker is listed or the state is unknown.
    pub fn change_worker_state(&self, change: &WorkerStateChange) -> Result<(), ListError> {
        self.calls.change_worker_state(change)
    }

    /// Stops at once and cuts every connection.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
