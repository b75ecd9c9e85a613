//! Small stand-ins of the platform's services and of workers, with failure switches.
//!
//! Both stand-ins run inside any tokio runtime and listen on a port of their own, so that tests
//! and trial deployments can start several of them in one process. The binaries of this crate
//! wrap them as separate processes.
//!
//! - [`platform`]: key-value service and worker list.
//! - [`worker`]: a worker that runs tasks by sleeping and keeps a record of every start.
//! - `server`: the HTTP server that both share.

pub mod platform;
mod server;
pub mod worker;

pub use platform::{PlatformCounts, PlatformOptions, PlatformStandIn, StoreSnapshot};
pub use worker::{RefusalCounts, WorkerMode, WorkerOptions, WorkerStandIn};
