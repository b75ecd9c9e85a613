//! Explains the outcome of a request from the logs of several hosts.
//!
//! The log lines of a request contain its job ID, and the lines of that job name the workers and
//! pools involved. State changes of these workers and pools while the job was open are part of the
//! explanation as well.
//!
//! - [`finding`] derives the causes of a failure from a timeline.
//! - [`line`] parses log lines.
//! - [`losses`] counts refused, late and failed jobs by cause.
//! - [`timeline`] collects the log lines that belong to a request.

pub mod finding;
pub mod line;
pub mod losses;
pub mod timeline;

pub use finding::{Finding, find_causes};
pub use line::LogLine;
pub use losses::{LossCause, LossTable};
pub use timeline::Timeline;
