//! Rights to the slots of workers.
//!
//! The entry hosts of a failure domain divide every worker's slots by a rule that each computes
//! alone ([`division`]). A host starts tasks only on slots that it owns or has borrowed, so hosts
//! whose views agree never collide and a refused start is the exception. Idle slots are lent to
//! other hosts until a stated deadline ([`ledger`]).

pub mod division;
pub mod ledger;

pub use division::owner_of_slot;
pub use ledger::{LoanedSlot, RightState, SlotAccess, SlotLedger, SlotNumber};
