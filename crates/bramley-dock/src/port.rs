//! What the driver needs of the platform.

use std::time::Duration;

use bramley_core::names::{DomainName, WorkerName};
use bramley_pool::claim::{ClaimGrant, ClaimView};
use bramley_pool::worker::{CallAnswer, WorkerCall, WorkerEntry};
use displaydoc::Display;

use crate::routes::RouteTable;

/// Why a call to the store did not succeed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StoreFault {
    /// the store was not reached; nothing was done
    Unreachable,
    /// the store did not answer; the call may have been carried out
    Unanswered,
    /// the store rejected the call; nothing was done
    Rejected,
    /// the condition of a write does not hold
    Conflict,
    /// the lease or the history that the call needs no longer exists
    Gone,
    /// the answer cannot be read
    Unreadable,
}

impl std::error::Error for StoreFault {}

impl StoreFault {
    /// Tells whether the store was heard, so that it counts as reachable.
    #[must_use]
    pub const fn was_heard(self) -> bool {
        matches!(self, Self::Conflict | Self::Gone)
    }

    /// Returns the word for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unanswered => "unanswered",
            Self::Rejected => "rejected",
            Self::Conflict => "conflict",
            Self::Gone => "gone",
            Self::Unreadable => "unreadable",
        }
    }
}

/// Items of the store with the revision up to which they are known.
#[derive(Clone, Debug, Default)]
pub struct Revised<T> {
    /// Items or changes.
    pub items: Vec<T>,
    /// Revision from which a watch continues.
    pub revision: u64,
}

/// A claim of a failure domain; none if it has ended.
#[derive(Clone, Debug)]
pub struct ClaimItem {
    /// Failure domain.
    pub domain: DomainName,
    /// Its claim.
    pub view: Option<ClaimView>,
}

/// A change of the list of workers.
#[derive(Clone, Debug)]
pub enum WorkerChange {
    /// The worker is listed with this entry.
    Listed(WorkerEntry),
    /// The worker is not listed, or its entry names no usable worker.
    Unlisted(WorkerName),
}

/// The platform as the driver uses it. Every call ends by itself after a bounded time.
pub trait PlatformPort: 'static {
    /// Calls a worker.
    fn call_worker(&self, call: &WorkerCall) -> impl Future<Output = CallAnswer>;

    /// Reads all claims.
    fn read_claims(&self) -> impl Future<Output = Result<Revised<ClaimItem>, StoreFault>>;

    /// Waits for changes of claims after a revision.
    fn watch_claims(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Revised<ClaimItem>, StoreFault>>;

    /// Writes the claim of a failure domain under a new lease if the key has the expected revision.
    fn write_claim(
        &self,
        domain: &DomainName,
        expected_revision: u64,
        view: &ClaimView,
        lease_life: Duration,
    ) -> impl Future<Output = Result<ClaimGrant, StoreFault>>;

    /// Renews the lease of a claim.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<(), StoreFault>>;

    /// Ends the lease of a claim.
    fn end_lease(&self, lease: u64) -> impl Future<Output = Result<(), StoreFault>>;

    /// Reads the entries of all workers.
    fn read_workers(&self) -> impl Future<Output = Result<Revised<WorkerChange>, StoreFault>>;

    /// Waits for changes of workers' entries after a revision.
    fn watch_workers(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Revised<WorkerChange>, StoreFault>>;

    /// Reads the configuration; the list is empty if there is none.
    fn read_routes(&self) -> impl Future<Output = Result<Revised<RouteTable>, StoreFault>>;

    /// Waits for a newer configuration.
    fn watch_routes(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Revised<RouteTable>, StoreFault>>;
}
