//! Explains what became of a request from the log lines of several hosts.
//!
//! The lines of a request name its job, and the lines of its job name the workers and pools that it
//! met. What hosts came to believe of these workers and pools while the job was open belongs to the
//! explanation as well.
//!
//! - [`finding`] derives causes from a timeline.
//! - [`line`] reads log lines.
//! - [`timeline`] collects the lines that belong to a request.

pub mod finding;
pub mod line;
pub mod timeline;

pub use finding::{Finding, find_causes};
pub use line::LogLine;
pub use timeline::Timeline;
