//! Discrete-event simulation of dispatchers and workers in virtual time.
//!
//! The kernel and the baseline dispatchers are driven with the same arrivals, delays, workers and
//! faults, so that their results are comparable. Arrivals are open-loop: they do not depend on
//! answers.
//!
//! - [`baseline`]: simple dispatchers to compare the kernel with.
//! - `deployment`: names, addresses and the configuration.
//! - [`dispatcher`]: the interface between the simulation and a dispatcher.
//! - `driver`: the event loop, which delivers events between callers, hosts and workers.
//! - `events`: the events and their order.
//! - `metrics`: collects results and checks invariants.
//! - `network`: delays and partitions.
//! - `simulated_worker`: runs tasks in virtual time.

pub mod baseline;
mod deployment;
pub mod dispatcher;
mod driver;
mod events;
mod metrics;
mod network;
mod simulated_worker;

pub use driver::run_scenario;
