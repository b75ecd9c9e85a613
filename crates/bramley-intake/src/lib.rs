//! Limits of inbound connections.
//!
//! A server that faces clients it does not control bounds what all of them hold together: the
//! number of connections, which take descriptors, and the bytes of incomplete requests and of
//! requests being served. [`ConnectionLedger`] takes these decisions without I/O of its own;
//! [`IntakeListener`], [`MeteredStream`] and [`RequestIntake`] report to it what connections do.
//!
//! When a limit is reached, the connection that has occupied the most memory for the longest time
//! is closed to make room. Ordinary clients send a small request at once, so clients that
//! hold connections or send without end are closed before them.
//!
//! A server that has stood still cannot tell when a request was sent that it reads over an earlier
//! connection. [`ConnectionLedger::retire_connections`] ends all of these.

mod admission;
mod body;
mod ledger;
mod listener;
mod report;
mod request;
mod settings;
mod stream;

pub use crate::admission::{Admission, CloseCause, LedgerState, Phase};
pub use crate::body::{BodyError, BodyMemory, collect_body, discard_body};
pub use crate::ledger::{ConnectionHandle, ConnectionLedger, OpenConnection};
pub use crate::listener::IntakeListener;
pub use crate::report::IntakeReport;
pub use crate::request::{Receiving, RequestIntake, Serving};
pub use crate::settings::{HostCapacity, IntakeSettings, ListenSettings, PhaseTimes};
pub use crate::stream::MeteredStream;
