//! Connections of a relay to the pools of failure domains.

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;

/// One connection of a relay to the pool of a failure domain, as given out by
/// [`Relay::pool_connected`](crate::relay::Relay::pool_connected).
///
/// A failure domain has several leaders one after the other, and two processes may take themselves
/// for its leader at the same time. What a pool reports therefore comes with the connection over which
/// it was reported, and a relay applies it to that connection alone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolConnection {
    domain: DomainName,
    /// Number of the connection, which the relay has given to no other one.
    number: u64,
}

impl PoolConnection {
    pub(crate) const fn new(domain: DomainName, number: u64) -> Self {
        Self { domain, number }
    }

    /// Returns the failure domain of the pool.
    #[must_use]
    pub const fn domain(&self) -> &DomainName {
        &self.domain
    }
}

/// Reason for which a connection to a pool was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// Another process has claimed the failure domain.
    ClaimChanged,
    /// The connection has ended or was silent for too long.
    ConnectionEnded,
    /// The pool of this process met a higher fencing token.
    Fenced,
    /// The pool of this process has stepped down.
    SteppedDown,
}

impl LossCause {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ClaimChanged => "claim_changed",
            Self::ConnectionEnded => "connection_ended",
            Self::Fenced => "fenced",
            Self::SteppedDown => "stepped_down",
        }
    }
}

/// Loss of a connection to a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolLoss {
    /// Reason for the loss.
    pub cause: LossCause,
    /// Time at which the last message of the pool arrived.
    pub last_message_at: UnixTime,
}
