//! Which entry hosts exist, which workers leave and which generation is the newest.
//!
//! Each host keeps its own view and exchanges bounded news with a few others in each round. No
//! host decides for the others, and nothing that must hold depends on the views being equal.
//!
//! - [`action`] holds what the daemon has to do.
//! - [`counts`] counts events and violated invariants.
//! - [`early`] plans early rounds of heartbeats for urgent news.
//! - [`generations`] decides from whom a newer configuration is fetched.
//! - [`kernel`] takes events and returns actions.
//! - `merge` compares two records of one incarnation.
//! - [`record`] holds what hosts tell each other.
//! - `rumours` chooses the records that a message carries.
//! - [`settings`] holds the settings.
//! - [`signs`] holds the leaving signs of workers.
//! - [`table`] holds the incarnations of entry hosts.
//! - [`targets`] chooses to whom heartbeats go.
//! - `worker_entry` holds what is known about one worker.

pub mod action;
pub mod counts;
pub mod early;
pub mod generations;
pub mod kernel;
mod merge;
pub mod record;
mod rumours;
pub mod settings;
pub mod signs;
pub mod table;
pub mod targets;
mod worker_entry;

pub use action::{MemberSnapshot, MembershipAction};
pub use counts::MembershipCounts;
pub use kernel::MembershipKernel;
pub use record::{HeartbeatNews, MemberLoad, MemberRecord, MemberState, TeamDemand, WorkerNews};
pub use settings::{MembershipFaults, MembershipSettings};
