//! Rights to the slots of workers.
//!
//! The entry hosts of a failure domain divide every worker's slots by a rule that each computes
//! alone. A host starts tasks only on slots that it owns or has borrowed, so hosts whose views
//! agree never collide and a refused start is the exception. Idle slots are lent to other hosts
//! until a stated deadline.
//!
//! - [`division`] computes which host owns a slot.
//! - [`ledger`] books which slots are idle, busy, lent or borrowed.
//! - `lending` lends slots and takes borrowed ones.
//! - [`rights`] holds the states of a right.

pub mod division;
pub mod ledger;
mod lending;
pub mod rights;

pub use division::owner_of_slot;
pub use ledger::SlotLedger;
pub use rights::{LoanedSlot, RightCounts, RightState, SlotAccess, SlotNumber};
