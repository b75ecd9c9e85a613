//! Borrows slots from other entry processes and returns them.

use std::time::Duration;

use bramley_core::kernel::event::{KernelEvent, LoanReply, NamedSlot};
use bramley_core::names::HostName;
use bramley_core::units::UnixTime;
use bramley_wire::peer::{BorrowRequest, ReturnRequest};
use tokio::time::Instant;

use crate::peers::convert::{slots_from_wire, slots_to_wire};
use crate::shared::SharedState;

/// Asks another host to lend slots and reports its reply to the kernel.
///
/// A failed call is reported as a loan of no slots.
pub async fn request_loan(state: &SharedState, lender: HostName, plain: u32, accelerated: u32) {
    let sent = Instant::now();
    let mut slots = Vec::new();
    let mut until = UnixTime::default();
    let address = state.members.load().address_of(&lender);
    if let Some(address) = address {
        let request = BorrowRequest {
            host: state.host.as_str().to_owned(),
            incarnation: state.issuer.incarnation().to_string(),
            count: plain,
            accelerator_count: accelerated,
        };
        state.metrics.count_control_message(&request);
        if let Ok(reply) = state.peers.borrow_slots(address, request).await {
            state.metrics.count_control_message(&reply);
            slots = slots_from_wire(&reply.slots);
            // The term counts from when the request was sent, so the loan expires here before it
            // expires at the lender.
            let term = Duration::from_millis(u64::from(reply.term_ms));
            until = state.clock.now().before(sent.elapsed()).after(term);
        }
    }
    state
        .kernel
        .report(KernelEvent::LoanReplied(LoanReply {
            lender,
            slots,
            until,
        }))
        .await;
}

/// Returns borrowed slots to their lender.
pub async fn return_loan(state: &SharedState, lender: &HostName, slots: &[NamedSlot]) {
    let Some(address) = state.members.load().address_of(lender) else {
        return;
    };
    let request = ReturnRequest {
        host: state.host.as_str().to_owned(),
        incarnation: state.issuer.incarnation().to_string(),
        slots: slots_to_wire(slots),
    };
    state.metrics.count_control_message(&request);
    if let Err(status) = state.peers.return_slots(address, request).await {
        // The lender reclaims the slots when the loan expires.
        log::debug!(
            "event=return_failed lender={lender} code={:?}",
            status.code()
        );
    }
}
