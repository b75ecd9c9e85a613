//! Facade that re-exports the bramleydock crates for embedding in other programs.
//!
//! Each crate is enabled by a feature, and all features are on by default. The `examples` directory
//! has one runnable program for each common use.
//!
//! - [`client`] (feature `client`) submits jobs to entry hosts and resubmits them safely.
//! - [`core`] (feature `core`) implements all decisions of an entry host and performs no I/O.
//! - [`settings`] (feature `settings`) validates settings files and generates configurations.
//! - [`wire`] (feature `client`) defines the messages of the caller API.

#[cfg(feature = "client")]
pub use bramley_client as client;
#[cfg(feature = "core")]
pub use bramley_core as core;
#[cfg(feature = "settings")]
pub use bramley_settings as settings;
#[cfg(feature = "client")]
pub use bramley_wire as wire;
