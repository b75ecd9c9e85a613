//! The closed list of failures of a call to the platform.

use std::time::Duration;

use displaydoc::Display;

/// Why a call to the platform gave no usable answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// the key {0:?} may hold only letters, digits, `-`, `_`, `.` and `/`
    InvalidKey(String),
    /// the platform was not reached, and nothing was sent: {0}
    Unreachable(String),
    /// the platform refused the call with status {status}, and nothing was changed
    Refused {
        /// HTTP status code: 429 for a refusal for rate, 503 for an outage.
        status: u16,
        /// Wait that the platform asked for, if it named one.
        retry_after: Option<Duration>,
    },
    /// the answer was lost, and the call may have taken effect: {0}
    AnswerLost(String),
    /// the platform rejected the call with status {status}: {detail}
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Beginning of the answer's body.
        detail: String,
    },
    /// the platform's answer could not be read, and the call may have taken effect: {0}
    UnreadableAnswer(String),
}

impl StoreError {
    /// Tells whether the call may have taken effect although no usable answer came.
    #[must_use]
    pub const fn is_effect_unknown(&self) -> bool {
        match self {
            Self::AnswerLost(_) | Self::UnreadableAnswer(_) => true,
            Self::InvalidKey(_)
            | Self::Unreachable(_)
            | Self::Refused { .. }
            | Self::Rejected { .. } => false,
        }
    }

    /// Tells whether the same call may succeed later.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        match self {
            Self::Unreachable(_)
            | Self::Refused { .. }
            | Self::AnswerLost(_)
            | Self::UnreadableAnswer(_) => true,
            Self::InvalidKey(_) | Self::Rejected { .. } => false,
        }
    }
}

impl std::error::Error for StoreError {}
