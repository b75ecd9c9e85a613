//! The error type of all requests.

use std::time::Duration;

use displaydoc::Display;

/// Reason why a request to the platform returned no valid response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// invalid key {0:?}: keys may contain only letters, digits, `-`, `_`, `.` and `/`
    InvalidKey(String),
    /// the platform could not be reached, and no request was sent: {0}
    Unreachable(String),
    /// the platform refused the request with status {status}, and nothing was changed
    Refused {
        /// HTTP status code: 429 if the rate limit was exceeded, 503 during an outage.
        status: u16,
        /// Delay from the `Retry-After` header, if present.
        retry_after: Option<Duration>,
    },
    /// the response was lost, and the request may have taken effect: {0}
    ResponseLost(String),
    /// the platform rejected the request with status {status}: {detail}
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Beginning of the response body.
        detail: String,
    },
    /// the response of the platform is malformed, and the request may have taken effect: {0}
    MalformedResponse(String),
}

impl StoreError {
    /// Returns whether the request may have taken effect although there was no valid response.
    #[must_use]
    pub const fn is_effect_unknown(&self) -> bool {
        match self {
            Self::ResponseLost(_) | Self::MalformedResponse(_) => true,
            Self::InvalidKey(_)
            | Self::Unreachable(_)
            | Self::Refused { .. }
            | Self::Rejected { .. } => false,
        }
    }

    /// Returns whether the same request may succeed later.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        match self {
            Self::Unreachable(_)
            | Self::Refused { .. }
            | Self::ResponseLost(_)
            | Self::MalformedResponse(_) => true,
            Self::InvalidKey(_) | Self::Rejected { .. } => false,
        }
    }
}

impl std::error::Error for StoreError {}
