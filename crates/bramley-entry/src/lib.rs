//! The entry daemon: the I/O layer around the dispatch kernel.
//!
//! The kernels in `bramley-core` are state machines that do no I/O. The daemon turns network
//! input and timers into events for them and executes the actions that they return.
//!
//! - [`caller`] serves the HTTP API for callers.
//! - [`clock`] provides the current time.
//! - [`control`] serves the control service that `bramleyctl` calls.
//! - [`daemon`] starts and stops an entry process.
//! - [`dispatch`] drives the dispatch kernel.
//! - [`dump`] builds the state dump of a process.
//! - [`keys`] binds idempotency keys to tickets.
//! - [`member_channel`] carries messages to the membership task.
//! - [`member_loop`] drives the membership kernel and applies configurations.
//! - [`metrics`] collects and encodes metrics.
//! - [`peers`] holds the gRPC client and server for calls between entry processes.
//! - [`platform_loop`] watches the stored configuration and polls the worker list.
//! - [`shared`] holds the state that the request path shares between threads.
//! - [`worker_channels`] pools HTTP connections to workers.
//! - [`worker_client`] sends tasks to workers.

pub mod caller;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod dispatch;
pub mod dump;
pub mod keys;
pub mod member_channel;
pub mod member_loop;
pub mod metrics;
pub mod peers;
pub mod platform_loop;
pub mod shared;
pub mod worker_channels;
pub mod worker_client;

pub use daemon::{EntryDaemon, StopOutcome};
