//! Settings, and how they are derived from the limits of a host.

use std::time::Duration;

/// Memory in bytes that a connection occupies besides what it sends: the read and write buffers of
/// the HTTP library and its state.
pub const CONNECTION_BYTES: usize = 20 * 1024;

/// Descriptors that are reserved for files and the runtime.
const RESERVED_DESCRIPTORS: usize = 200;

/// Smallest receive buffer of a socket in bytes.
const MIN_RECEIVE_BUFFER: usize = 8 * 1024;

/// Largest receive buffer of a socket in bytes.
const MAX_RECEIVE_BUFFER: usize = 256 * 1024;

/// Largest number of connections to each address that serves health checks.
const HEALTH_CONNECTIONS: usize = 32;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCapacity {
    /// Memory of the process in bytes.
    pub memory_bytes: usize,
    /// Open descriptors of the process.
    pub descriptors: usize,
}

impl Default for HostCapacity {
    fn default() -> Self {
        Self {
            memory_bytes: 256_000_000,
            descriptors: 4_096,
        }
    }
}

impl HostCapacity {
    /// Returns the number of descriptors for sockets.
    const fn sockets(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }

    /// Returns the limits of connections from callers: a quarter of the sockets and a fifth of the
    /// memory, of which the allocator takes about twice as much. The leader of a large failure
    /// domain needs more than half of the sockets for its workers.
    #[must_use]
    pub fn caller_intake(&self) -> IntakeSettings {
        IntakeSettings {
            connections: (self.sockets() / 4).max(1),
            held_bytes: self.memory_bytes / 5,
        }
    }

    /// Returns the limits of connections from relays, of which each host has one: three eighths of
    /// the sockets less those of the addresses that serve health checks. Their number alone is
    /// limited, as a refused relay could not submit its jobs.
    #[must_use]
    pub fn relay_intake(&self) -> IntakeSettings {
        let share = self.sockets() * 3 / 8;
        let connections = share.saturating_sub(2 * self.health_connections()).max(1);
        IntakeSettings {
            connections,
            held_bytes: connections * CONNECTION_BYTES,
        }
    }

    /// Returns the limits of connections to one address that serves health checks.
    #[must_use]
    pub fn health_intake(&self) -> IntakeSettings {
        IntakeSettings {
            connections: self.health_connections(),
            held_bytes: self.memory_bytes / 32,
        }
    }

    /// Returns the bytes that responses of the store and of workers may occupy while they are
    /// received.
    #[must_use]
    pub const fn response_bytes(&self) -> usize {
        self.memory_bytes / 8
    }

    fn health_connections(&self) -> usize {
        (self.sockets() / 32).clamp(2, HEALTH_CONNECTIONS)
    }

    /// Returns the size in bytes of a socket's receive buffer with which the unread bytes of all
    /// connections from callers fit into an eighth of the memory.
    #[must_use]
    pub fn receive_buffer(&self) -> usize {
        let connections = self.caller_intake().connections;
        (self.memory_bytes / 8 / connections).clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER)
    }
}

/// Limits over all connections to one address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeSettings {
    /// Largest number of open connections.
    pub connections: usize,
    /// Largest number of bytes that all connections hold together.
    pub held_bytes: usize,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            connections: 1_024,
            held_bytes: 64_000_000,
        }
    }
}

/// How an address is listened on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Size of each connection's receive buffer in bytes; `None` for the system's default. Bytes that
    /// were received and not read yet count towards the memory of the process.
    pub receive_buffer: Option<usize>,
    /// Length of the queue of connections that wait to be accepted; the system drops connections beyond
    /// it.
    pub backlog: u32,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            receive_buffer: None,
            backlog: 1_024,
        }
    }
}

/// Times from which the deadlines of a connection's phases are computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PhaseTimes {
    /// Time for a connection at rest, before its first request or between two.
    pub idle: Duration,
    /// Time from the first byte of a request's head to its last.
    pub head: Duration,
    /// Time for the client to read a response.
    pub answer: Duration,
}

impl Default for PhaseTimes {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(15),
            head: Duration::from_secs(3),
            answer: Duration::from_secs(5),
        }
    }
}
