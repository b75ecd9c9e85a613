//! Dispatch decisions without input or output.
//!
//! The crate takes events together with the present time and returns actions. It opens no
//! sockets, reads no clocks and starts no threads, so that it can be embedded anywhere and driven
//! for millions of steps by randomised runs.
//!
//! - [`configuration`] holds the deployment's configuration document and its generation.
//! - [`digest`] fingerprints submissions.
//! - [`errors`] holds the closed list of error kinds and the table from kind to answer.
//! - [`membership`] holds entry hosts, leaving signs of workers and the spread of generations.
//! - [`names`] holds the shared immutable names.
//! - [`ticket`] issues and checks tickets.
//! - [`units`] holds time and identifiers.

pub mod configuration;
pub mod digest;
pub mod errors;
pub mod membership;
pub mod names;
pub mod ticket;
pub mod units;
