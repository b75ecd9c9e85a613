//! Open-loop load and experiments with bramleydock.
//!
//! - [`compare`] sets two reports side by side.
//! - [`plot`] draws reports.
//! - [`report`] holds what a run found.
//! - [`scenario`] reads scenario files.
//! - [`virtual_run`] drives dispatchers with fake workers in virtual time.

pub mod compare;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod virtual_run;
