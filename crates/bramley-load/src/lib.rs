//! Open-loop load and experiments with bramleydock.
//!
//! - [`compare`] sets two reports side by side.
//! - [`kernel_harness`] drives one kernel at a steady state.
//! - [`offer`] offers load over HTTP to running entry hosts.
//! - [`overhead`] measures what an entry process adds to a call.
//! - [`plot`] draws reports.
//! - [`report`] holds what a run found.
//! - [`scenario`] reads scenario files.
//! - [`slopes`] measures how the kernel's cost grows with each dimension.
//! - [`virtual_run`] drives dispatchers with fake workers in virtual time.

pub mod compare;
pub mod kernel_harness;
pub mod offer;
pub mod overhead;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod slopes;
pub mod virtual_run;
