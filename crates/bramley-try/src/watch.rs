//! Follows generations and invariants while a run lasts.

use std::collections::HashMap;
use std::time::Duration;

use bramley_core::kernel::snapshot::KernelDump;
use bramley_entry::EntryDaemon;
use serde::Serialize;
use tokio::time::Instant;

use crate::deployment::{TryDeployment, TryHost};
use crate::violation::Violation;

/// Time within which a stored configuration must be in force everywhere.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(5);

/// Messages that did not lead to a useful start, by cause.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WastedMessages {
    /// Starts that a worker refused.
    pub refused_starts: u64,
    /// Starts for which no connection could be made.
    pub connect_failures: u64,
    /// Starts of tasks that may have run before.
    pub retries: u64,
    /// Requests to borrow slots.
    pub loan_requests: u64,
    /// Requests handed to the owner of their ticket.
    pub forwards: u64,
}

impl WastedMessages {
    /// Returns the sum over all causes.
    pub const fn total(&self) -> u64 {
        self.refused_starts
            + self.connect_failures
            + self.retries
            + self.loan_requests
            + self.forwards
    }

    fn add(&mut self, dump: &KernelDump, forwards: u64) {
        self.refused_starts += dump.counters.refused_starts;
        self.connect_failures += dump.counters.connect_failures;
        self.retries += dump.counters.retries;
        self.loan_requests += dump.counters.loan_requests;
        self.forwards += forwards;
    }
}

/// A configuration that was stored and is awaited everywhere.
#[derive(Clone, Copy, Debug)]
struct AwaitedGeneration {
    generation: u64,
    stored: Instant,
    deadline: Instant,
}

/// Follows the hosts of one deployment.
#[derive(Debug, Default)]
pub struct HostWatch {
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Wasted messages of the incarnations whose counts were taken.
    pub wasted: WastedMessages,
    /// Time that the last change of the configuration took to be in force everywhere.
    pub spread: Option<Duration>,
    generations: HashMap<u128, u64>,
    awaited: Option<AwaitedGeneration>,
}

impl HostWatch {
    /// Begins to wait for a generation that is about to be stored.
    pub fn await_generation(&mut self, generation: u64) {
        let stored = Instant::now();
        self.awaited = Some(AwaitedGeneration {
            generation,
            stored,
            deadline: stored + CONFIGURATION_LIMIT,
        });
    }

    /// Looks at the generations in force.
    pub fn look(&mut self, deployment: &TryDeployment) {
        let mut lowest = u64::MAX;
        for host in &deployment.hosts {
            if let Some(daemon) = &host.daemon {
                lowest = lowest.min(self.look_at(host, daemon));
            }
        }
        let Some(awaited) = self.awaited else {
            return;
        };
        if lowest >= awaited.generation {
            self.spread = Some(awaited.stored.elapsed());
            self.awaited = None;
        } else if Instant::now() >= awaited.deadline {
            let generation = awaited.generation;
            self.violations
                .push(Violation::ConfigurationLate { generation });
            self.awaited = None;
        }
    }

    /// Tells whether a stored generation is still awaited.
    pub const fn is_awaiting(&self) -> bool {
        self.awaited.is_some()
    }

    /// Takes the counts of an incarnation, at its loss or at the end of the run.
    pub async fn take_counts(&mut self, host: &TryHost) {
        let Some(daemon) = &host.daemon else {
            return;
        };
        let state = daemon.state();
        let Ok(dump) = state.kernel.dump().await else {
            return;
        };
        self.wasted.add(&dump, state.metrics.forwards.get());
        let count = dump.invariants.violations();
        if count > 0 {
            let first = dump.invariants.first_violation().unwrap_or_default();
            self.violations.push(Violation::InvariantViolated {
                host: host.settings.host.clone(),
                count,
                first: first.to_owned(),
            });
        }
    }

    fn look_at(&mut self, host: &TryHost, daemon: &EntryDaemon) -> u64 {
        let state = daemon.state();
        let generation = state.configuration.load().generation;
        let incarnation = state.issuer.incarnation().to_bits();
        let before = self.generations.insert(incarnation, generation);
        if let Some(before) = before.filter(|before| *before > generation) {
            self.violations.push(Violation::GenerationWentBack {
                host: host.settings.host.clone(),
                from: before,
                to: generation,
            });
        }
        generation
    }
}
