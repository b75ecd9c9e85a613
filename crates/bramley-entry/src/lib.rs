//! The entry daemon: a thin driver around the dispatch kernel.
//!
//! The daemon reads sockets and clocks, turns what it sees into events for the kernels of
//! `bramley-core` and carries out the actions that come back.
//!
//! - [`caller`] serves callers by HTTP.
//! - [`clock`] derives the present time.
//! - [`control`] serves the operators' command.
//! - [`daemon`] starts and stops everything.
//! - [`dispatch`] drives the dispatch kernel.
//! - [`dump`] holds the state dump of a process.
//! - [`keys`] binds callers' own keys to tickets.
//! - [`member_channel`] carries messages to the task of the membership kernel.
//! - [`member_loop`] drives the membership kernel.
//! - [`metrics`] counts for operators.
//! - [`peers`] talks to other entry processes.
//! - [`platform_loop`] follows the platform's list and configuration.
//! - [`shared`] holds what the request path reads.
//! - [`worker_channels`] holds connections to workers.
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
