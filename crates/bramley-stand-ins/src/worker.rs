//! A worker that runs tasks by sleeping and keeps a record of every start.
//!
//! - `calls`: the HTTP calls.
//! - `mode`: failure modes and the connections that stay silent.
//! - `payload`: the form of a task's payload.
//! - `record`: slots, starts and refusals.

mod calls;
mod mode;
mod payload;
mod record;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bramley_wire::worker::LedgerReply;
use tokio_util::sync::CancellationToken;

use self::calls::WorkerCalls;
pub use self::mode::WorkerMode;
pub use self::record::RefusalCounts;
use crate::server::HttpServer;

/// Settings of a worker stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Number of tasks that run at once.
    pub slots: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether a leaving worker refuses new tasks; otherwise it runs and counts them.
    pub refuse_new_when_leaving: bool,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 8,
            accelerators: 0,
            refuse_new_when_leaving: false,
        }
    }
}

/// A running worker stand-in, which stops when it is dropped.
///
/// ```
/// use bramley_stand_ins::{WorkerOptions, WorkerStandIn};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let options = WorkerOptions { slots: 2, ..WorkerOptions::default() };
/// let worker = WorkerStandIn::start(options).await?;
/// assert_eq!(worker.ledger().entries.len(), 0);
/// worker.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct WorkerStandIn {
    server: HttpServer,
    calls: Arc<WorkerCalls>,
}

impl WorkerStandIn {
    /// Starts a worker stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(options: WorkerOptions) -> io::Result<Self> {
        let stop = CancellationToken::new();
        let calls = Arc::new(WorkerCalls::new(&options, stop.clone()));
        let server = HttpServer::start(options.listen, Arc::clone(&calls), stop).await?;
        Ok(Self { server, calls })
    }

    /// Address on which the worker listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the failure mode and the factor on run times, in percent.
    pub fn switch(&self, mode: WorkerMode, run_time_percent: u32) {
        self.calls.switch(mode, run_time_percent);
    }

    /// Returns the worker's own record of starts, in the order of the task identities.
    #[must_use]
    pub fn ledger(&self) -> LedgerReply {
        self.calls.ledger()
    }

    /// Returns the number of refused starts by reason.
    #[must_use]
    pub fn refusals(&self) -> RefusalCounts {
        self.calls.refusals()
    }

    /// Returns the number of tasks that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.calls.running()
    }

    /// Stops at once: cuts every connection and ends every running task.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
