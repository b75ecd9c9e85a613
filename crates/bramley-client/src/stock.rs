//! Tickets taken ahead.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// One ticket that nothing was submitted under.
#[derive(Debug)]
struct StockedTicket {
    ticket: Arc<str>,
    /// Time from which the ticket is too near its expiry to be used.
    discard_at: Instant,
}

/// The tickets taken ahead from one entry host, in the order of their expiry.
#[derive(Debug, Default)]
pub(crate) struct TicketStock {
    tickets: VecDeque<StockedTicket>,
}

impl TicketStock {
    /// Adds a block of tickets.
    pub(crate) fn add(
        &mut self,
        tickets: Vec<String>,
        expiry: Instant,
        margin_ms: u64,
        now: Instant,
    ) {
        let lifetime = expiry.saturating_duration_since(now);
        let margin = Duration::from_millis(margin_ms).min(lifetime / 2);
        for ticket in tickets {
            self.tickets.push_back(StockedTicket {
                ticket: Arc::from(ticket),
                discard_at: expiry - margin,
            });
        }
    }

    /// Takes the oldest ticket and throws away those that are near their expiry.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Arc<str>> {
        while let Some(stocked) = self.tickets.pop_front() {
            if now < stocked.discard_at {
                return Some(stocked.ticket);
            }
        }
        None
    }

    /// Throws all tickets away.
    pub(crate) fn clear(&mut self) {
        self.tickets.clear();
    }

    /// Returns the number of tickets.
    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }
}
