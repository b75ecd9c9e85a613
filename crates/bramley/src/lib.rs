//! The parts of bramleydock that others embed, behind one name.
//!
//! Each part is a feature, and all are on by default. The folder `examples` holds one runnable
//! program for each common use.
//!
//! - [`client`] (feature `client`) submits jobs to entry hosts and resubmits them safely.
//! - [`core`] (feature `core`) takes every decision of an entry host without input or output.
//! - [`settings`] (feature `settings`) checks settings files and generates configurations.
//! - [`wire`] (feature `client`) holds the messages of the caller interface.

#[cfg(feature = "client")]
pub use bramley_client as client;
#[cfg(feature = "core")]
pub use bramley_core as core;
#[cfg(feature = "settings")]
pub use bramley_settings as settings;
#[cfg(feature = "client")]
pub use bramley_wire as wire;
