//! Client of the platform's key-value service and worker list.
//!
//! The client distinguishes three kinds of failure, because callers have to handle them
//! differently: the platform refused the request before it had any effect, the platform could not
//! be reached, or the response was lost after the request was sent, so that the effect is unknown.
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
