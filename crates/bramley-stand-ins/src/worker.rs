//! A worker that simulates tasks by sleeping and records every start.
//!
//! - `handler`: the HTTP request handler.
//! - `mode`: failure modes and unresponsive connections.
//! - `payload`: the format of task payloads.
//! - `ledger`: slots, starts and refusals.

mod handler;
mod ledger;
mod mode;
mod payload;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bramley_wire::worker::LedgerReply;
use tokio_util::sync::CancellationToken;

use self::handler::WorkerHandler;
pub use self::ledger::RefusalCounts;
pub use self::mode::WorkerMode;
use crate::server::HttpServer;

/// Settings of a worker stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Maximum number of concurrently running tasks.
    pub slots: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether a leaving worker refuses new tasks; if not, it runs and counts them.
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
    handler: Arc<WorkerHandler>,
}

impl WorkerStandIn {
    /// Starts a worker stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(options: WorkerOptions) -> io::Result<Self> {
        let stop = CancellationToken::new();
        let handler = Arc::new(WorkerHandler::new(&options, stop.clone()));
        let server = HttpServer::start(options.listen, Arc::clone(&handler), stop).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address on which the worker listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the failure mode and the scaling of run times in percent; 0 means 100.
    pub fn switch(&self, mode: WorkerMode, run_time_percent: u32) {
        self.handler.switch(mode, run_time_percent);
    }

    /// Returns the worker's record of starts, ordered by task ID.
    #[must_use]
    pub fn ledger(&self) -> LedgerReply {
        self.handler.ledger()
    }

    /// Returns the numbers of refused starts by reason.
    #[must_use]
    pub fn refusals(&self) -> RefusalCounts {
        self.handler.refusals()
    }

    /// Returns the number of currently running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.handler.running()
    }

    /// Stops immediately, drops every connection and cancels every running task.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
