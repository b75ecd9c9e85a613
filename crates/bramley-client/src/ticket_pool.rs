//! Prefetched tickets of one entry host.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// A ticket that was not used for a submission yet.
#[derive(Debug)]
struct PooledTicket {
    ticket: Arc<str>,
    /// Time from which the ticket is too close to its expiry to be used.
    discard_at: Instant,
}

/// Queue of prefetched tickets of one entry host, ordered by expiry.
#[derive(Debug, Default)]
pub(crate) struct TicketPool {
    tickets: VecDeque<PooledTicket>,
}

impl TicketPool {
    /// Adds a block of tickets with a common expiry.
    ///
    /// Each ticket is discarded `margin_ms` before its expiry. The margin is limited to half of the
    /// remaining lifetime, so that tickets with a short lifetime stay usable.
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
            self.tickets.push_back(PooledTicket {
                ticket: Arc::from(ticket),
                discard_at: expiry - margin,
            });
        }
    }

    /// Removes and returns the oldest usable ticket. Tickets too close to their expiry are discarded.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Arc<str>> {
        while let Some(pooled) = self.tickets.pop_front() {
            if now < pooled.discard_at {
                return Some(pooled.ticket);
            }
        }
        None
    }

    /// Discards all tickets.
    pub(crate) fn clear(&mut self) {
        self.tickets.clear();
    }

    /// Returns the number of tickets.
    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }
}
