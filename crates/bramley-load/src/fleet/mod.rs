//! Comparison of decisions on an emulated fleet: the real relays and pools, in virtual time.
//!
//! - [`comparison`]: differences between two variants, paired by seed, with their intervals.
//! - [`day`]: one emulated day.
//! - [`experiment`]: days of one scenario with several seeds.
//! - [`outcome`]: what became of the jobs of a day.
//! - [`scenario`]: scenario files of emulated fleets.

pub mod comparison;
pub mod day;
pub mod experiment;
pub mod outcome;
pub mod scenario;
