//! Taking tickets from the entry hosts.

use std::sync::Arc;

use bramley_core::errors::RetryAdvice;
use bramley_wire::caller::{FailureReport, TicketRequest};
use tokio::time::Instant;

use crate::client::{ClientCore, to_body};
use crate::clock::RequestDeadline;
use crate::entries::EntryHost;
use crate::errors::ClientError;
use crate::reply::{TicketAnswer, read_tickets, stated_wait};
use crate::retry::RetrySchedule;

/// Path of requests for tickets.
const TICKETS_PATH: &str = "/v1/tickets";

/// A ticket that was taken for a submission, and the host that issued it.
#[derive(Debug)]
pub(crate) struct TakenTicket {
    /// The ticket.
    pub(crate) ticket: Arc<str>,
    /// The host that issued it, which answers without forwarding.
    pub(crate) issuer: Arc<EntryHost>,
}

/// Why no ticket could be taken.
#[derive(Debug)]
struct TicketFault {
    reason: String,
    /// Whether another request may succeed.
    may_pass: bool,
    retry_after_ms: Option<u64>,
}

impl TicketFault {
    fn passing(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            may_pass: true,
            retry_after_ms: None,
        }
    }

    fn refused(report: &FailureReport) -> Self {
        Self {
            reason: format!("{}: {}", report.code, report.message),
            may_pass: report.retry != RetryAdvice::Never.as_str(),
            retry_after_ms: stated_wait(report),
        }
    }
}

impl ClientCore {
    /// Takes a ticket from the stock of the host whose turn it is, or from the host itself.
    ///
    /// # Errors
    ///
    /// Fails if no host issues a ticket before the deadline.
    pub(crate) async fn take_ticket(
        self: &Arc<Self>,
        schedule: &mut RetrySchedule,
    ) -> Result<TakenTicket, ClientError> {
        loop {
            let issuer = self.table.next_host().ok_or(ClientError::NoEntryHost)?;
            let fault = match self.take_from(&issuer, schedule).await {
                Ok(ticket) => return Ok(TakenTicket { ticket, issuer }),
                Err(fault) => fault,
            };
            if !fault.may_pass || !self.wait_for_host(schedule, fault.retry_after_ms).await {
                return Err(ClientError::NoTicket {
                    reason: fault.reason,
                });
            }
        }
    }

    async fn take_from(
        self: &Arc<Self>,
        issuer: &Arc<EntryHost>,
        schedule: &RetrySchedule,
    ) -> Result<Arc<str>, TicketFault> {
        if let Some(ticket) = self.take_stocked(issuer) {
            return Ok(ticket);
        }
        let attempt_end = schedule.attempt_end(self.options.ticket_timeout_ms);
        let locked = tokio::time::timeout_at(attempt_end, issuer.refill.lock()).await;
        let Ok(_refill) = locked else {
            return Err(TicketFault::passing("another request for tickets is slow"));
        };
        if let Some(ticket) = self.take_stocked(issuer) {
            return Ok(ticket);
        }
        self.request_block(issuer, attempt_end).await?;
        self.take_stocked(issuer)
            .ok_or_else(|| TicketFault::passing("the issued tickets have expired"))
    }

    /// Takes a ticket from the stock and orders the next block when little is left.
    fn take_stocked(self: &Arc<Self>, issuer: &Arc<EntryHost>) -> Option<Arc<str>> {
        let ticket = issuer.with_stock(|stock| stock.take(Instant::now()))?;
        if self.is_low(issuer) && issuer.refill.try_lock().is_ok() {
            tokio::spawn(Arc::clone(self).refill(Arc::clone(issuer)));
        }
        Some(ticket)
    }

    fn is_low(&self, issuer: &EntryHost) -> bool {
        let low_mark = usize::try_from(self.options.ticket_block / 2).unwrap_or(usize::MAX);
        issuer.with_stock(|stock| stock.len()) <= low_mark
    }

    /// Takes a block ahead, unless another request for tickets runs or has filled the stock.
    async fn refill(self: Arc<Self>, issuer: Arc<EntryHost>) {
        let Ok(_refill) = issuer.refill.try_lock() else {
            return;
        };
        if !self.is_low(&issuer) {
            return;
        }
        let deadline = RequestDeadline::from_limit_ms(self.options.ticket_timeout_ms);
        if let Err(fault) = self.request_block(&issuer, deadline.instant).await {
            // A submission that finds the stock empty asks again and reports what it meets.
            drop(fault);
        }
    }

    /// Adds a block of tickets to the stock. A host that issues none is passed over for a while.
    async fn request_block(
        &self,
        issuer: &EntryHost,
        attempt_end: Instant,
    ) -> Result<(), TicketFault> {
        let requested = self.request_tickets(issuer, attempt_end).await;
        if let Err(fault) = &requested {
            issuer.avoid(fault.retry_after_ms.unwrap_or(self.options.avoid_ms));
        }
        requested
    }

    async fn request_tickets(
        &self,
        issuer: &EntryHost,
        attempt_end: Instant,
    ) -> Result<(), TicketFault> {
        let request = TicketRequest {
            team: self.options.team.to_string(),
            count: self.options.ticket_block.max(1),
        };
        let body = to_body(&request).map_err(TicketFault::passing)?;
        let answer = issuer.transport.post(TICKETS_PATH, body, attempt_end).await;
        let answer = answer.map_err(|error| TicketFault::passing(error.to_string()))?;
        match read_tickets(&answer) {
            TicketAnswer::Issued(reply) => {
                let expiry = RequestDeadline::from_unix_ms(reply.expires_unix_ms).instant;
                let margin_ms = self.options.ticket_margin_ms;
                let now = Instant::now();
                issuer.with_stock(|stock| stock.add(reply.tickets, expiry, margin_ms, now));
                Ok(())
            }
            TicketAnswer::Refused(report) => Err(TicketFault::refused(&report)),
            TicketAnswer::Unreadable(reason) => Err(TicketFault::passing(reason)),
        }
    }
}
