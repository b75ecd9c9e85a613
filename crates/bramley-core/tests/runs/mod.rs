//! Seeded randomised runs of several kernels with fake workers, callers and a fake store.
//!
//! Time is virtual, and everything follows from the seed.
//!
//! - [`callers`] submits, resubmits, asks and cancels.
//! - [`checks`] compares what callers are told with the ledgers of the workers.
//! - [`faults`] injects faults, two at a time.
//! - [`hosts`] drives one kernel for each incarnation of an entry host.
//! - [`keys`] binds callers' keys to tickets through the store.
//! - [`messages`] holds what travels between them.
//! - [`report`] holds the result of a run.
//! - [`requests`] routes requests of callers.
//! - [`workers`] runs tasks and keeps the ledgers.
//! - [`world`] holds the state and the queue of events.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod hosts;
pub mod keys;
pub mod messages;
pub mod report;
pub mod requests;
pub mod workers;
pub mod world;

use bramley_core::kernel::settings::KernelFaults;

use report::RunReport;
use world::World;

/// Parts of the drivers that a run breaks on purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct BrokenParts {
    /// A host starts submissions under tickets that another incarnation of it issued.
    pub adopt_tickets: bool,
    /// A key whose ticket was closed as not run is bound to a fresh ticket.
    pub rebind_refused_keys: bool,
    /// A host that cannot reach the store says that a key was not run.
    pub claim_keys_not_run: bool,
}

/// What a run does.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSettings {
    /// Seed of everything random.
    pub seed: u64,
    /// Events to handle before the run settles.
    pub steps: u64,
    /// Deliberate faults of the kernels.
    pub kernel_faults: KernelFaults,
    /// Deliberate faults of the drivers.
    pub broken: BrokenParts,
}

/// Runs to the end and reports.
pub fn run(settings: RunSettings) -> RunReport {
    let mut world = World::new(settings);
    world.run();
    world.report
}
