//! Stand-ins for the platform's services and for workers, with fault injection.
//!
//! A stand-in runs in any Tokio runtime and listens on its own port, so that tests and trial
//! deployments can start several of them in one process. The binaries of this crate run them as
//! separate processes.
//!
//! - [`platform`]: the key-value service and the worker list.
//! - [`worker`]: a worker that simulates tasks by sleeping and records every start.
//! - `server`: the HTTP server used by both.

pub mod platform;
mod server;
pub mod worker;

pub use platform::{PlatformCounts, PlatformOptions, PlatformStandIn, StoreSnapshot};
pub use worker::{RefusalCounts, WorkerMode, WorkerOptions, WorkerStandIn};
