//! Driver of relays and pools.
//!
//! One process holds a relay, a pool and the claim of its failure domain on a single thread: the
//! hosts that it is made for have less than one core. What speaks to the platform is behind
//! [`port::PlatformPort`].
//!
//! - [`clock`] reads the process's clock.
//! - [`deadline`] waits for results until a deadline.
//! - [`engine`] feeds events to the kernels and carries their actions out.
//! - [`health`] answers whether the process is ready.
//! - [`links`] connects relays and pools of different processes.
//! - [`logging`] writes bounded logs that never block the caller.
//! - [`metrics`] counts for operators.
//! - [`port`] names what the driver needs of the platform.
//! - [`routes`] finds the route of a request.
//! - [`settings`] holds the settings of the driver.
//! - [`watch`] follows the store: claims, routes and workers.

pub mod clock;
pub mod deadline;
pub mod engine;
pub mod health;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod port;
pub mod routes;
pub mod settings;
pub mod watch;
