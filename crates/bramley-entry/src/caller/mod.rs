//! HTTP API for callers.
//!
//! - [`replies`] encodes responses.
//! - [`requests`] decodes and validates requests.
//! - [`routes`] implements the endpoints.
//! - [`server`] accepts connections and dispatches requests to the endpoints.

pub mod replies;
pub mod requests;
pub mod routes;
pub mod server;
