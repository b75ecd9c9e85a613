//! Ownership, lending and state of worker slots.
//!
//! The entry hosts of a failure domain partition every worker's slots by a deterministic rule that
//! each host evaluates locally. A host starts tasks only on slots that it owns or has borrowed, so
//! hosts with the same view never contend for a slot and workers rarely refuse a start. Idle slots
//! are lent to other hosts for a limited time.
//!
//! - [`assignment`] computes which host owns a slot.
//! - [`table`] tracks which slots are idle, busy, lent or borrowed.
//! - `lending` lends owned slots and records borrowed ones.
//! - [`state`] defines slot states and counts.

pub mod assignment;
mod lending;
pub mod state;
pub mod table;

pub use assignment::owner_of_slot;
pub use state::{SlotAccess, SlotCounts, SlotId, SlotNumber, SlotState};
pub use table::SlotTable;
