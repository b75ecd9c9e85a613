//! Which entry hosts exist, which workers leave and which generation is the newest.
//!
//! Each host keeps its own view and exchanges bounded news with a few others in each round. No
//! host decides for the others, and nothing that must hold depends on the views being equal.
//!
//! - [`counts`] counts events and violated invariants.
//! - [`generations`] decides from whom a newer configuration is fetched.
//! - [`kernel`] takes events and returns actions.
//! - [`record`] holds what hosts tell each other.
//! - [`settings`] holds the settings.
//! - [`signs`] holds the leaving signs of workers.
//! - [`table`] holds the incarnations of entry hosts.
//! - [`targets`] chooses to whom heartbeats go.

pub mod counts;
pub mod generations;
pub mod kernel;
pub mod record;
pub mod settings;
pub mod signs;
pub mod table;
pub mod targets;

pub use counts::MembershipCounts;
pub use kernel::{MemberSnapshot, MembershipAction, MembershipKernel};
pub use record::{HeartbeatNews, MemberLoad, MemberRecord, MemberState, TeamDemand, WorkerNews};
pub use settings::{MembershipFaults, MembershipSettings};
