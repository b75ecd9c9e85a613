//! The closed list of refusals and the table from refusal to answer.

use displaydoc::Display;
use serde::Serialize;

/// Why a job was not run.
///
/// Every refusal states that no task of the job has started or can still start, except
/// [`Refusal::Unknown`].
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
}

/// Answer that a refusal becomes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalAnswer {
    /// Status code of the response.
    pub status: u16,
    /// Whether the response states when to come back.
    pub retry_after: bool,
    /// Word for logs and metrics.
    pub word: &'static str,
}

impl Refusal {
    /// All refusals, in the order of the table.
    pub const ALL: [Self; 10] = [
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
    ];

    /// Returns the answer to the caller.
    #[must_use]
    pub const fn answer(self) -> RefusalAnswer {
        let (status, retry_after, word) = match self {
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
        };
        RefusalAnswer {
            status,
            retry_after,
            word,
        }
    }

    /// Returns the number used between processes.
    #[must_use]
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// Returns the refusal of a number used between processes; unknown numbers claim nothing about
    /// whether the job ran.
    #[must_use]
    pub fn from_code(code: u32) -> Self {
        Self::ALL
            .into_iter()
            .find(|refusal| refusal.code() == code)
            .unwrap_or(Self::Unknown)
    }
}
