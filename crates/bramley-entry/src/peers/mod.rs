//! Talks to other entry processes by `tonic`.
//!
//! - [`client`] calls them.
//! - [`convert`] converts between messages and the kernel's types.
//! - [`server`] answers them.

pub mod client;
pub mod convert;
pub mod server;
