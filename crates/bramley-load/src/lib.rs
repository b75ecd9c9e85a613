//! Open-loop load generator and experiments for bramleydock.
//!
//! - [`compare`]: tabulates two reports side by side.
//! - [`fleet`]: compares decisions of relays and pools on an emulated fleet.
//! - [`kernel_harness`]: drives a single kernel in steady state.
//! - [`offer`]: sends load over HTTP to running entry hosts.
//! - [`overhead`]: measures the latency and CPU time that an entry host adds to a call.
//! - [`plot`]: plots reports as SVG.
//! - [`report`]: results of a run.
//! - [`scenario`]: scenario files.
//! - [`scaling`]: measures how the kernel's cost grows with each dimension of a deployment.
//! - [`simulation`]: discrete-event simulation of dispatchers and workers in virtual time.

pub mod compare;
pub mod fleet;
pub mod kernel_harness;
pub mod offer;
pub mod overhead;
pub mod plot;
pub mod report;
pub mod scaling;
pub mod scenario;
pub mod simulation;
