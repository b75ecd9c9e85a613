//! The entry hosts and the stock of tickets of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::after;
use crate::options::ClientOptions;
use crate::stock::TicketStock;
use crate::transport::EntryTransport;

/// What the client knows about one entry host.
#[derive(Debug)]
struct EntryState {
    stock: TicketStock,
    /// Time until which the host is passed over.
    avoid_until: Option<Instant>,
}

/// One entry host.
#[derive(Debug)]
pub(crate) struct EntryHost {
    /// Connections to the host.
    pub(crate) transport: EntryTransport,
    /// Held by the one request for tickets that runs at a time.
    pub(crate) refill: tokio::sync::Mutex<()>,
    state: Mutex<EntryState>,
}

impl EntryHost {
    fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            transport: EntryTransport::new(address, connect_timeout),
            refill: tokio::sync::Mutex::new(()),
            state: Mutex::new(EntryState {
                stock: TicketStock::default(),
                avoid_until: None,
            }),
        }
    }

    /// Calls a function on the stock of tickets.
    pub(crate) fn with_stock<T>(&self, call: impl FnOnce(&mut TicketStock) -> T) -> T {
        call(&mut self.lock().stock)
    }

    /// Passes the host over for a while and throws away its tickets, as the process that issued
    /// them may be gone.
    pub(crate) fn avoid(&self, avoid_ms: u64) {
        let mut state = self.lock();
        state.avoid_until = Some(after(Instant::now(), avoid_ms));
        state.stock.clear();
    }

    /// Throws away the tickets of a host whose process may be gone.
    pub(crate) fn forget_tickets(&self) {
        self.lock().stock.clear();
    }

    fn is_avoided(&self, now: Instant) -> bool {
        let avoid_until = self.lock().avoid_until;
        avoid_until.is_some_and(|until| now < until)
    }

    fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All entry hosts, which take turns.
#[derive(Debug)]
pub(crate) struct EntryTable {
    hosts: Vec<Arc<EntryHost>>,
    turn: AtomicUsize,
}

impl EntryTable {
    /// Creates the table of the addresses in the options.
    pub(crate) fn new(options: &ClientOptions) -> Self {
        let connect_timeout = Duration::from_millis(options.connect_timeout_ms);
        let mut hosts = Vec::with_capacity(options.entry_addresses.len());
        for address in &options.entry_addresses {
            hosts.push(Arc::new(EntryHost::new(*address, connect_timeout)));
        }
        // Clients that start together begin at different hosts.
        let first_turn = rand::random_range(0..hosts.len().max(1));
        Self {
            hosts,
            turn: AtomicUsize::new(first_turn),
        }
    }

    /// Returns the host whose turn it is, passing over hosts to avoid unless all are.
    pub(crate) fn next_host(&self) -> Option<Arc<EntryHost>> {
        let now = Instant::now();
        let first_turn = self.turn.fetch_add(1, Ordering::Relaxed);
        for offset in 0..self.hosts.len() {
            let host = self.host_at(first_turn.wrapping_add(offset))?;
            if !host.is_avoided(now) {
                return Some(host);
            }
        }
        self.host_at(first_turn)
    }

    /// Says whether some host is not to be avoided now.
    pub(crate) fn any_ready(&self) -> bool {
        let now = Instant::now();
        self.hosts.iter().any(|host| !host.is_avoided(now))
    }

    fn host_at(&self, turn: usize) -> Option<Arc<EntryHost>> {
        let position = turn.checked_rem(self.hosts.len())?;
        self.hosts.get(position).map(Arc::clone)
    }
}
