//! Client of the platform's key-value service and worker list.
//!
//! The client tells three failures apart, because they call for different answers: a refusal
//! before any effect, a platform that was not reached, and an answer that was lost after the
//! request left, whose effect is unknown.
//!
//! - [`client`] sends the calls.
//! - [`counts`] counts the calls and their bytes.
//! - [`error`] holds the closed list of failures.
//! - [`retry`] spreads retries over time with random delays.

pub mod client;
pub mod counts;
pub mod error;
pub mod retry;

pub use client::{StoreClient, StoreSettings};
pub use counts::{CountsSnapshot, StoreCounts};
pub use error::StoreError;
pub use retry::{BackoffSettings, RetryBackoff};
