//! Randomised soak of the real programs as separate processes on one machine.
//!
//! The platform's store and workers are stand-ins inside the soak's own process; between them and
//! the programs stand loopback proxies. Faults come from outside the programs: signals, proxies,
//! and a store and workers that misbehave. The promises are checked from what callers and workers
//! see.
//!
//! - [`callers`] sends jobs over kept connections and sends them again as the platform's clients do.
//! - [`checks`] compares answers with the workers' records.
//! - [`deployment`] starts the programs and ends exactly these.
//! - [`faults`] draws faults from a seed.
//! - [`proxy`] delays, resets and silences connections.

pub mod callers;
pub mod checks;
pub mod deployment;
pub mod faults;
pub mod proxy;
