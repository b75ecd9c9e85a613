//! Reasons for refusing a job and the responses they map to.

use displaydoc::Display;
use serde::Serialize;

/// Reason why a job was refused.
///
/// Every refusal except [`Refusal::Unknown`] guarantees that no task of the job was started or can
/// still start.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// the job could not start before its latency objective
    Overloaded,
    /// no worker could ever hold a task of the job
    NeverFits,
    /// no pool can be reached
    NoPool,
    /// no configuration is known yet
    NoConfiguration,
    /// no route serves the host name and path
    NoRoute,
    /// the request cannot be read
    Malformed,
    /// the body is larger than the limit
    TooLarge,
    /// this version does not run jobs of this kind
    Unsupported,
    /// the deadline passed before a task started
    Expired,
    /// the job may have run, and its outcome is unknown
    Unknown,
    /// the failure domain is evacuated
    Evacuated,
    /// the host has no memory or connection left for the request
    HostFull,
    /// the request did not arrive in time
    TooSlow,
    /// the host has paused since the connection was set up, and the request may be long out of date
    OutOfDate,
}

/// Response to a refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the response has a `Retry-After` time.
    pub retry_after: bool,
    /// Label for logs and metrics.
    pub reason: &'static str,
}

impl Refusal {
    /// All refusals, in declaration order.
    pub const ALL: [Self; 14] = [
        Self::Overloaded,
        Self::NeverFits,
        Self::NoPool,
        Self::NoConfiguration,
        Self::NoRoute,
        Self::Malformed,
        Self::TooLarge,
        Self::Unsupported,
        Self::Expired,
        Self::Unknown,
        Self::Evacuated,
        Self::HostFull,
        Self::TooSlow,
        Self::OutOfDate,
    ];

    /// Returns the response for the caller.
    #[must_use]
    pub const fn answer(self) -> RefusalAnswer {
        let (status, retry_after, reason) = match self {
            Self::Overloaded => (503, true, "overloaded"),
            Self::NeverFits => (503, false, "never_fits"),
            Self::NoPool => (503, true, "no_pool"),
            Self::NoConfiguration => (503, true, "no_configuration"),
            Self::NoRoute => (404, false, "no_route"),
            Self::Malformed => (400, false, "malformed"),
            Self::TooLarge => (413, false, "too_large"),
            Self::Unsupported => (503, false, "unsupported"),
            Self::Expired => (503, true, "expired"),
            Self::Unknown => (502, false, "unknown"),
            Self::Evacuated => (503, true, "evacuated"),
            Self::HostFull => (503, true, "host_full"),
            Self::TooSlow => (408, false, "too_slow"),
            Self::OutOfDate => (503, true, "out_of_date"),
        };
        RefusalAnswer {
            status,
            retry_after,
            reason,
        }
    }

    /// Returns the code used on the wire between processes.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Decodes a wire code. Unrecognized codes map to [`Refusal::Unknown`], which makes no
    /// statement on whether the job ran.
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        Self::ALL
            .into_iter()
            .find(|refusal| refusal.code() == code)
            .unwrap_or(Self::Unknown)
    }
}
