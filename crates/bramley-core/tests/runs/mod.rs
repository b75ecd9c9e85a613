//! Randomised simulation of several kernels with their callers, workers and store.
//!
//! Time is virtual, and the seed fully determines a run.
//!
//! - [`callers`] submits, resubmits, queries and cancels jobs.
//! - [`checks`] compares the answers to callers with the starts that the workers recorded.
//! - [`faults`] injects faults, two at a time.
//! - [`hosts`] drives one kernel per incarnation of an entry host.
//! - [`keys`] binds callers' keys to tickets in the store.
//! - [`messages`] defines the messages and timers.
//! - [`report`] defines the result of a run.
//! - [`requests`] routes requests of callers.
//! - [`simulation`] holds the state and the event queue.
//! - [`workers`] runs tasks and reports their starts to the checks.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod hosts;
pub mod keys;
pub mod messages;
pub mod report;
pub mod requests;
pub mod simulation;
pub mod workers;

use bramley_core::kernel::settings::KernelFaults;

use report::RunReport;
use simulation::Simulation;

/// Deliberate defects of the simulated hosts, which the checks must detect.
#[derive(Clone, Copy, Debug, Default)]
pub struct BrokenParts {
    /// A host accepts submissions under tickets that another incarnation of it issued.
    pub adopt_tickets: bool,
    /// A key whose ticket was closed as not run is bound to a new ticket.
    pub rebind_refused_keys: bool,
    /// A host that cannot reach the store reports that the job of a key was not run.
    pub report_keys_not_run: bool,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSettings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of events to process before the settling phase.
    pub steps: u64,
    /// Deliberate defects of the kernels.
    pub kernel_faults: KernelFaults,
    /// Deliberate defects of the simulated hosts.
    pub broken_parts: BrokenParts,
}

/// Performs a run and returns its report.
pub fn run(settings: RunSettings) -> RunReport {
    let mut simulation = Simulation::new(settings);
    simulation.run();
    simulation.report
}
