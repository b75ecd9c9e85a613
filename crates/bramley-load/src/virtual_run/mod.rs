//! Dispatchers with fake workers in virtual time.
//!
//! The same arrivals, delays, workers and faults drive the kernel and the baselines, so that
//! their figures can be compared. Jobs arrive at fixed times whether or not answers come.
//!
//! - [`baseline`] holds the simple dispatchers.
//! - `deployment` makes names, addresses and the configuration.
//! - [`dispatcher`] is what the driver sees of either.
//! - `driver` carries events between callers, hosts and workers.
//! - `events` holds what happens and when.
//! - `fake_worker` runs tasks.
//! - `network` tells delays and cuts.
//! - `tally` collects the figures.

pub mod baseline;
mod deployment;
pub mod dispatcher;
mod driver;
mod events;
mod fake_worker;
mod network;
mod tally;

pub use driver::run_scenario;
