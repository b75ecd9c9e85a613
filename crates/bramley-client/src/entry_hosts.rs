//! The entry hosts, each with its ticket pool and cooldown.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::saturating_add_ms;
use crate::options::ClientOptions;
use crate::ticket_pool::TicketPool;
use crate::transport::EntryTransport;

/// Mutable state of one entry host.
#[derive(Debug)]
struct HostState {
    tickets: TicketPool,
    /// End of the cooldown during which the host is skipped.
    cooldown_until: Option<Instant>,
}

/// An entry host with its connections and prefetched tickets.
#[derive(Debug)]
pub(crate) struct EntryHost {
    /// HTTP connections to the host.
    pub(crate) transport: EntryTransport,
    /// Held during a ticket request, so that at most one is in flight per host.
    pub(crate) refill_lock: tokio::sync::Mutex<()>,
    state: Mutex<HostState>,
}

impl EntryHost {
    fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            transport: EntryTransport::new(address, connect_timeout),
            refill_lock: tokio::sync::Mutex::new(()),
            state: Mutex::new(HostState {
                tickets: TicketPool::default(),
                cooldown_until: None,
            }),
        }
    }

    /// Calls a function with the locked ticket pool.
    pub(crate) fn with_tickets<T>(&self, f: impl FnOnce(&mut TicketPool) -> T) -> T {
        f(&mut self.lock().tickets)
    }

    /// Skips the host for `cooldown_ms` and discards its tickets, because the process that issued
    /// them may have exited.
    pub(crate) fn start_cooldown(&self, cooldown_ms: u64) {
        let mut state = self.lock();
        state.cooldown_until = Some(saturating_add_ms(Instant::now(), cooldown_ms));
        state.tickets.clear();
    }

    /// Discards all prefetched tickets of the host.
    pub(crate) fn discard_tickets(&self) {
        self.lock().tickets.clear();
    }

    fn is_cooling_down(&self, now: Instant) -> bool {
        let cooldown_until = self.lock().cooldown_until;
        cooldown_until.is_some_and(|until| now < until)
    }

    fn lock(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All entry hosts, selected round-robin.
#[derive(Debug)]
pub(crate) struct EntryHosts {
    hosts: Vec<Arc<EntryHost>>,
    next_index: AtomicUsize,
}

impl EntryHosts {
    /// Creates the hosts whose addresses are given in the options.
    pub(crate) fn new(options: &ClientOptions) -> Self {
        let connect_timeout = Duration::from_millis(options.connect_timeout_ms);
        let mut hosts = Vec::with_capacity(options.entry_addresses.len());
        for address in &options.entry_addresses {
            hosts.push(Arc::new(EntryHost::new(*address, connect_timeout)));
        }
        // A random first host spreads the load of clients that start at the same time.
        let first_index = rand::random_range(0..hosts.len().max(1));
        Self {
            hosts,
            next_index: AtomicUsize::new(first_index),
        }
    }

    /// Returns the next host in round-robin order. Hosts in their cooldown are skipped, unless all
    /// of them are.
    pub(crate) fn next_host(&self) -> Option<Arc<EntryHost>> {
        let now = Instant::now();
        let first_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        for offset in 0..self.hosts.len() {
            let host = self.host_at(first_index.wrapping_add(offset))?;
            if !host.is_cooling_down(now) {
                return Some(host);
            }
        }
        self.host_at(first_index)
    }

    /// Returns whether any host is outside of its cooldown.
    pub(crate) fn any_available(&self) -> bool {
        let now = Instant::now();
        self.hosts.iter().any(|host| !host.is_cooling_down(now))
    }

    /// Returns the host at `index` modulo the number of hosts.
    fn host_at(&self, index: usize) -> Option<Arc<EntryHost>> {
        let position = index.checked_rem(self.hosts.len())?;
        self.hosts.get(position).map(Arc::clone)
    }
}
