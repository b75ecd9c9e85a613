//! Client of the platform's key-value service and worker list.
//!
//! Each error tells whether the request may have taken effect, because callers have to handle the
//! two cases differently. A request had no effect if the platform could not be reached, or if it
//! refused or rejected the request. The effect is unknown if the response was lost or is malformed.
//!
//! - [`client`]: the client and its requests.
//! - [`counters`]: counters of requests and transferred bytes.
//! - [`error`]: the error type of all requests.
//! - [`retry`]: retry delays with exponential backoff and jitter.

pub mod client;
pub mod counters;
pub mod error;
pub mod retry;

pub use client::{StoreClient, StoreSettings};
pub use counters::{CountersSnapshot, StoreCounters};
pub use error::StoreError;
pub use retry::{BackoffSettings, RetryBackoff};
