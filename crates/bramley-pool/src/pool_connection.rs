//! Connections of a relay to the pools of failure domains.

use bramley_core::units::UnixTime;

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
