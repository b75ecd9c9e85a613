//! Driver of the pool and relay state machines: sockets, timers, store access, logs and metrics.
//!
//! Each process runs a relay, a pool and the leader claim of its failure domain on a single thread,
//! because the target hosts have less than one core. Access to the platform goes through the
//! [`platform::Platform`] trait.
//!
//! - [`clock`] provides the monotonic and wall clocks.
//! - [`deadline`] waits for results until a deadline.
//! - [`engine`] feeds events to the state machines and executes their actions.
//! - [`health`] serves readiness, metrics and a state dump over HTTP.
//! - [`links`] connects relays and pools of different processes.
//! - [`logging`] writes bounded logs without blocking the caller.
//! - [`metrics`] collects metrics for operators.
//! - [`placement_query`] reads and limits questions where a request would go now.
//! - [`platform`] defines the interface to the platform.
//! - [`refusal_log`] limits the log lines on refused requests.
//! - [`routes`] matches requests to routes.
//! - [`settings`] defines the settings.
//! - [`supervisor`] restarts parts of the process that end unexpectedly.
//! - [`watch`] keeps claims, routes and workers in sync with the store.

pub mod clock;
pub mod deadline;
pub mod engine;
pub mod health;
pub mod intake;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod placement_query;
pub mod platform;
pub mod refusal_log;
pub mod routes;
pub mod settings;
pub mod supervisor;
pub mod watch;
