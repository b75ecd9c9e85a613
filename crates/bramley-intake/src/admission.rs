//! Decides which connections are admitted and which are closed, without I/O.

use std::time::Duration;

use displaydoc::Display;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::settings::{CONNECTION_BYTES, IntakeSettings, PhaseTimes};

/// Divisor of the rank of a connection that has had a request answered.
const ANSWERED_DIVISOR: u128 = 4;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It waits for the first byte of a request.
    Idle,
    /// It receives the head of a request.
    Head,
    /// It receives the body of a request.
    Body,
    /// Its request is being served.
    Serving,
    /// It sends a response.
    Answering,
}

/// Reason why a connection was closed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum CloseCause {
    /// all connections are in use
    Connections,
    /// connections hold all bytes that they may
    HeldBytes,
    /// it was at rest for too long
    IdleTime,
    /// the head of a request took too long
    HeadTime,
    /// the client did not read a response
    AnswerTime,
    /// its requests may be long out of date
    Retired,
}

impl CloseCause {
    /// All causes, in declaration order.
    pub const ALL: [Self; 6] = [
        Self::Connections,
        Self::HeldBytes,
        Self::IdleTime,
        Self::HeadTime,
        Self::AnswerTime,
        Self::Retired,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::HeldBytes => "held_bytes",
            Self::IdleTime => "idle_time",
            Self::HeadTime => "head_time",
            Self::AnswerTime => "answer_time",
            Self::Retired => "retired",
        }
    }
}

/// Answer to a connection that asks for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// There is room, which is now taken.
    Granted,
    /// Another connection is to be closed first.
    Close(u64),
    /// Connections that are already being closed will make room.
    Closing,
    /// No connection can be closed to make room.
    Full,
}

/// Connection as the ledger sees it.
#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    phase: Phase,
    /// Bytes held besides those of every connection.
    held_bytes: usize,
    /// Start of what the connection occupies the host with: its acceptance, the end of its last
    /// response or the first byte of its request.
    occupied_since: Instant,
    /// Time at which it is closed unless its phase ends before.
    deadline: Option<Instant>,
    times: PhaseTimes,
    has_answered: bool,
    is_closing: bool,
}

impl ConnectionEntry {
    const fn bytes(&self) -> usize {
        CONNECTION_BYTES + self.held_bytes
    }

    /// Returns how early the connection is closed to make room, or `None` if it is not.
    fn close_rank(&self, now: Instant) -> Option<u128> {
        if self.is_closing || self.phase == Phase::Serving {
            return None;
        }
        let occupied = now.saturating_duration_since(self.occupied_since);
        let rank = self.bytes() as u128 * (occupied.as_micros() + 1);
        Some(match self.phase {
            Phase::Idle if self.has_answered => rank / ANSWERED_DIVISOR,
            _ => rank,
        })
    }
}

/// All connections to one address and what they hold.
///
/// A connection that was chosen to be closed counts until it is removed, so the limits hold for
/// what is really open.
#[derive(Debug)]
pub struct LedgerState {
    settings: IntakeSettings,
    entries: FxHashMap<u64, ConnectionEntry>,
    held_bytes: usize,
    closing: usize,
    closing_bytes: usize,
    /// Time at rest after which a connection is closed whatever its deadline.
    rest_limit: Option<Duration>,
}

impl LedgerState {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings,
            entries: FxHashMap::default(),
            held_bytes: 0,
            closing: 0,
            closing_bytes: 0,
            rest_limit: None,
        }
    }

    /// Closes connections from now on that have been at rest for this long, as before the end of the
    /// process.
    pub const fn limit_rest(&mut self, limit: Duration) {
        self.rest_limit = Some(limit);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Admits a new connection if there is room for it.
    pub fn admit(&mut self, connection: u64, times: PhaseTimes, now: Instant) -> Admission {
        let fits = self.entries.len() < self.settings.connections;
        if !fits || self.lacks(CONNECTION_BYTES) {
            let is_enough = self.entries.len() - self.closing < self.settings.connections
                && !self.will_lack(CONNECTION_BYTES);
            return self.make_room(is_enough, now);
        }
        let entry = ConnectionEntry {
            phase: Phase::Idle,
            held_bytes: 0,
            occupied_since: now,
            deadline: Some(now + times.idle),
            times,
            has_answered: false,
            is_closing: false,
        };
        self.held_bytes += entry.bytes();
        self.entries.insert(connection, entry);
        Admission::Granted
    }

    /// Gives a connection room for more bytes.
    pub fn hold(&mut self, connection: u64, bytes: usize, now: Instant) -> Admission {
        if self.lacks(bytes) {
            let is_enough = !self.will_lack(bytes);
            return self.make_room(is_enough, now);
        }
        self.take(connection, bytes);
        Admission::Granted
    }

    fn lacks(&self, bytes: usize) -> bool {
        self.held_bytes + bytes > self.settings.held_bytes
    }

    /// Returns whether room is lacking even when all chosen connections are closed.
    fn will_lack(&self, bytes: usize) -> bool {
        self.held_bytes + bytes > self.settings.held_bytes + self.closing_bytes
    }

    fn make_room(&mut self, is_enough: bool, now: Instant) -> Admission {
        if is_enough {
            return Admission::Closing;
        }
        let ranked = self
            .entries
            .iter()
            .filter_map(|(connection, entry)| Some((entry.close_rank(now)?, *connection)));
        match ranked.max() {
            Some((_, connection)) => {
                self.mark_closing(connection);
                Admission::Close(connection)
            }
            None => Admission::Full,
        }
    }

    fn mark_closing(&mut self, connection: u64) {
        if let Some(entry) = self.entries.get_mut(&connection)
            && !entry.is_closing
        {
            entry.is_closing = true;
            self.closing += 1;
            self.closing_bytes += entry.bytes();
        }
    }

    fn take(&mut self, connection: u64, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            entry.held_bytes += bytes;
            self.held_bytes += bytes;
            if entry.is_closing {
                self.closing_bytes += bytes;
            }
        }
    }

    /// Records received bytes. Those of a head are held until the request is served. Returns the
    /// connection to close if they exceed the limit.
    pub fn receive(&mut self, connection: u64, bytes: usize, now: Instant) -> Option<u64> {
        let entry = self.entries.get_mut(&connection)?;
        if entry.phase == Phase::Idle {
            entry.phase = Phase::Head;
            entry.occupied_since = now;
            entry.deadline = Some(now + entry.times.head);
        }
        if entry.phase != Phase::Head {
            return None;
        }
        self.take(connection, bytes);
        if !self.will_lack(0) {
            return None;
        }
        match self.make_room(false, now) {
            Admission::Close(victim) => Some(victim),
            Admission::Granted | Admission::Closing | Admission::Full => None,
        }
    }

    /// Records that the head of a request is complete. The reader of its body keeps the deadline.
    pub fn begin_body(&mut self, connection: u64) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            entry.phase = Phase::Body;
            entry.deadline = None;
        }
    }

    /// Records that a request is being served, for which `held_bytes` are kept.
    pub fn begin_serving(&mut self, connection: u64, held_bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            entry.phase = Phase::Serving;
            entry.deadline = None;
        }
        self.set_held(connection, held_bytes);
    }

    /// Records that the response to a request is known.
    pub fn begin_answer(&mut self, connection: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            entry.phase = Phase::Answering;
            entry.occupied_since = now;
            entry.deadline = Some(now + entry.times.answer);
        }
        self.set_held(connection, 0);
    }

    /// Records that everything written so far was sent.
    pub fn finish_answer(&mut self, connection: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&connection)
            && entry.phase == Phase::Answering
        {
            entry.phase = Phase::Idle;
            entry.has_answered = true;
            entry.occupied_since = now;
            entry.deadline = Some(now + entry.times.idle);
        }
    }

    /// Returns whether a response of the connection is being sent.
    #[must_use]
    pub fn is_answering(&self, connection: u64) -> bool {
        let entry = self.entries.get(&connection);
        entry.is_some_and(|entry| entry.phase == Phase::Answering)
    }

    fn set_held(&mut self, connection: u64, held_bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            let before = std::mem::replace(&mut entry.held_bytes, held_bytes);
            self.held_bytes = self.held_bytes + held_bytes - before;
            if entry.is_closing {
                self.closing_bytes = self.closing_bytes + held_bytes - before;
            }
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, connection: u64) {
        if let Some(entry) = self.entries.remove(&connection) {
            self.held_bytes -= entry.bytes();
            if entry.is_closing {
                self.closing -= 1;
                self.closing_bytes -= entry.bytes();
            }
        }
    }

    /// Chooses the connections whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<(u64, CloseCause)> {
        let overdue = self.entries.iter().filter_map(|(connection, entry)| {
            let rested = now.saturating_duration_since(entry.occupied_since);
            let has_rested =
                entry.phase == Phase::Idle && self.rest_limit.is_some_and(|limit| rested >= limit);
            if entry.is_closing || (entry.deadline? > now && !has_rested) {
                return None;
            }
            let cause = match entry.phase {
                Phase::Idle => CloseCause::IdleTime,
                Phase::Head => CloseCause::HeadTime,
                Phase::Answering => CloseCause::AnswerTime,
                Phase::Body | Phase::Serving => return None,
            };
            Some((*connection, cause))
        });
        let overdue: Vec<(u64, CloseCause)> = overdue.collect();
        for (connection, _) in &overdue {
            self.mark_closing(*connection);
        }
        overdue
    }

    /// Returns the longest time that a connection other than one being served has occupied the host.
    #[must_use]
    pub fn longest_occupied(&self, now: Instant) -> Duration {
        let entries = self.entries.values();
        let occupied = entries
            .filter(|entry| entry.phase != Phase::Serving)
            .map(|entry| now.saturating_duration_since(entry.occupied_since));
        occupied.max().unwrap_or_default()
    }
}
