//! gRPC between entry processes, implemented with `tonic`.
//!
//! - [`client`] calls other entry processes.
//! - [`convert`] converts between wire messages and the kernels' types.
//! - [`server`] serves calls from other entry processes.

pub mod client;
pub mod convert;
pub mod server;
