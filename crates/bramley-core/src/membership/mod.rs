//! Gossip-based membership of entry hosts, leaving workers and the latest configuration generation.
//!
//! Each host keeps its own view and exchanges bounded messages with a few peers in each round.
//! There is no coordinator, and no safety property depends on the views being equal.
//!
//! - [`action`] defines the actions requested from the driver.
//! - [`counts`] counts events and invariant violations.
//! - [`departures`] tracks which workers are leaving.
//! - [`early_rounds`] schedules early heartbeat rounds for urgent updates.
//! - [`generations`] tracks the generation in force and the fetch of a newer one.
//! - `gossip` selects the member records that a message carries.
//! - [`kernel`] processes events and returns actions.
//! - `merge` merges two records of one incarnation.
//! - [`peer_selector`] selects the receivers of heartbeats.
//! - [`record`] defines the messages between hosts.
//! - [`settings`] defines the settings.
//! - [`table`] holds the known incarnations of entry hosts.
//! - `worker_entry` holds the state of one worker.

pub mod action;
pub mod counts;
pub mod departures;
pub mod early_rounds;
pub mod generations;
mod gossip;
pub mod kernel;
mod merge;
pub mod peer_selector;
pub mod record;
pub mod settings;
pub mod table;
mod worker_entry;

pub use action::{MemberSnapshot, MembershipAction};
pub use counts::MembershipCounts;
pub use kernel::MembershipKernel;
pub use record::{HeartbeatMessage, MemberLoad, MemberRecord, MemberState, TeamDemand, WorkerNews};
pub use settings::{MembershipFaults, MembershipSettings};
