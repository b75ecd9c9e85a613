//! Ticket requests and prefetching.

use std::sync::Arc;

use bramley_core::errors::RetryAdvice;
use bramley_wire::caller::{FailureReport, TicketRequest};
use tokio::time::Instant;

use crate::client::{ClientCore, to_body};
use crate::clock::RequestDeadline;
use crate::entry_hosts::EntryHost;
use crate::errors::ClientError;
use crate::reply::{CheckedTicketReply, check_ticket_reply, requested_delay_ms};
use crate::retry::RetrySchedule;

/// Request path for tickets.
const TICKETS_PATH: &str = "/v1/tickets";

/// A ticket for one submission and the host that issued it.
#[derive(Debug)]
pub(crate) struct IssuedTicket {
    /// Ticket to submit under.
    pub(crate) ticket: Arc<str>,
    /// Host that issued the ticket. It handles the submission without forwarding it.
    pub(crate) issuer: Arc<EntryHost>,
}

/// Error of a ticket request.
#[derive(Debug)]
struct TicketError {
    reason: String,
    /// Whether a retry may succeed.
    is_retryable: bool,
    retry_after_ms: Option<u64>,
}

impl TicketError {
    fn transient(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            is_retryable: true,
            retry_after_ms: None,
        }
    }

    fn refused(report: &FailureReport) -> Self {
        Self {
            reason: format!("{}: {}", report.code, report.message),
            is_retryable: report.retry != RetryAdvice::Never.as_str(),
            retry_after_ms: requested_delay_ms(report),
        }
    }
}

impl ClientCore {
    /// Returns a prefetched ticket of the next host, or requests tickets from it if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no host issues a ticket before the deadline or a refusal advises against a retry.
    pub(crate) async fn acquire_ticket(
        self: &Arc<Self>,
        schedule: &mut RetrySchedule,
    ) -> Result<IssuedTicket, ClientError> {
        loop {
            let issuer = self.hosts.next_host().ok_or(ClientError::NoEntryHost)?;
            let error = match self.acquire_from(&issuer, schedule).await {
                Ok(ticket) => return Ok(IssuedTicket { ticket, issuer }),
                Err(error) => error,
            };
            if !error.is_retryable || !self.wait_for_host(schedule, error.retry_after_ms).await {
                return Err(ClientError::NoTicket {
                    reason: error.reason,
                });
            }
        }
    }

    async fn acquire_from(
        self: &Arc<Self>,
        issuer: &Arc<EntryHost>,
        schedule: &RetrySchedule,
    ) -> Result<Arc<str>, TicketError> {
        if let Some(ticket) = self.take_pooled(issuer) {
            return Ok(ticket);
        }
        let attempt_deadline = schedule.attempt_deadline(self.options.ticket_timeout_ms);
        let locked = tokio::time::timeout_at(attempt_deadline, issuer.refill_lock.lock()).await;
        let Ok(_refill) = locked else {
            return Err(TicketError::transient(
                "timed out waiting for a concurrent ticket request",
            ));
        };
        if let Some(ticket) = self.take_pooled(issuer) {
            return Ok(ticket);
        }
        self.request_block(issuer, attempt_deadline).await?;
        self.take_pooled(issuer).ok_or_else(|| {
            TicketError::transient("the issued tickets expired or were used by concurrent requests")
        })
    }

    /// Takes a ticket from the pool and starts a refill in the background if the pool runs low.
    fn take_pooled(self: &Arc<Self>, issuer: &Arc<EntryHost>) -> Option<Arc<str>> {
        let ticket = issuer.with_tickets(|pool| pool.take(Instant::now()))?;
        if self.is_low(issuer) && issuer.refill_lock.try_lock().is_ok() {
            tokio::spawn(Arc::clone(self).refill_pool(Arc::clone(issuer)));
        }
        Some(ticket)
    }

    /// Returns whether at most half a block of tickets is left.
    fn is_low(&self, issuer: &EntryHost) -> bool {
        let low_watermark =
            usize::try_from(self.options.ticket_block_size / 2).unwrap_or(usize::MAX);
        issuer.with_tickets(|pool| pool.len()) <= low_watermark
    }

    /// Prefetches a block of tickets, unless another ticket request is in flight or has refilled the
    /// pool.
    async fn refill_pool(self: Arc<Self>, issuer: Arc<EntryHost>) {
        let Ok(_refill) = issuer.refill_lock.try_lock() else {
            return;
        };
        if !self.is_low(&issuer) {
            return;
        }
        let deadline = RequestDeadline::from_timeout_ms(self.options.ticket_timeout_ms);
        if let Err(error) = self.request_block(&issuer, deadline.instant).await {
            // A submission that finds the pool empty sends its own request and reports its error.
            drop(error);
        }
    }

    /// Requests a block of tickets. The host enters its cooldown if it issues none.
    async fn request_block(
        &self,
        issuer: &EntryHost,
        attempt_deadline: Instant,
    ) -> Result<(), TicketError> {
        let result = self.request_tickets(issuer, attempt_deadline).await;
        if let Err(error) = &result {
            issuer.start_cooldown(
                error
                    .retry_after_ms
                    .unwrap_or(self.options.host_cooldown_ms),
            );
        }
        result
    }

    /// Sends a ticket request and adds the issued tickets to the pool.
    async fn request_tickets(
        &self,
        issuer: &EntryHost,
        attempt_deadline: Instant,
    ) -> Result<(), TicketError> {
        let request = TicketRequest {
            team: self.options.team.to_string(),
            count: self.options.ticket_block_size.max(1),
        };
        let body = to_body(&request).map_err(TicketError::transient)?;
        let response = issuer
            .transport
            .post(TICKETS_PATH, body, attempt_deadline)
            .await;
        let response = response.map_err(|error| TicketError::transient(error.to_string()))?;
        match check_ticket_reply(&response) {
            CheckedTicketReply::Issued(reply) => {
                let expiry = RequestDeadline::from_unix_ms(reply.expires_unix_ms).instant;
                let margin_ms = self.options.ticket_expiry_margin_ms;
                let now = Instant::now();
                issuer.with_tickets(|pool| pool.add(reply.tickets, expiry, margin_ms, now));
                Ok(())
            }
            CheckedTicketReply::Refused(report) => Err(TicketError::refused(&report)),
            CheckedTicketReply::Malformed(reason) => Err(TicketError::transient(reason)),
        }
    }
}
