//! Serves callers by HTTP.
//!
//! - [`replies`] turns answers into messages.
//! - [`requests`] checks messages and turns them into jobs.
//! - [`routes`] carries out the calls.
//! - [`server`] accepts connections.

pub mod replies;
pub mod requests;
pub mod routes;
pub mod server;
