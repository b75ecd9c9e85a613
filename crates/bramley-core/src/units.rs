//! Time and identifier types.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// A point in time, in microseconds since the Unix epoch.
///
/// Each process derives it from its start time and a monotonic clock, so it never decreases within
/// one incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixTime(u64);

impl UnixTime {
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the Unix epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Returns microseconds since the Unix epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns whole milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the time `span` later, at most [`UnixTime::NEVER`].
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time `span` earlier, at least the Unix epoch.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Identifier of one run of an entry process: 128 random bits, drawn at its start.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct IncarnationId(u128);

impl IncarnationId {
    /// Creates an incarnation from random bits.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits.
    #[must_use]
    pub const fn to_bits(self) -> u128 {
        self.0
    }

    /// Parses 32 hexadecimal digits, or returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<IncarnationId> for String {
    fn from(id: IncarnationId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for IncarnationId {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text).ok_or("expected 32 hexadecimal digits")
    }
}

/// Serial number of a ticket within its incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TicketSerial(pub u64);

/// Identifier of one attempt to run a task on a worker, unique within an incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// Identifier of a task within an incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TaskKey {
    /// Ticket of the submission.
    pub serial: TicketSerial,
    /// Index of the task in the submission, starting at 0.
    pub index: u32,
}
