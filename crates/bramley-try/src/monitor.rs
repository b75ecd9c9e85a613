//! Checks configuration generations and invariants during a run.

use std::collections::HashMap;
use std::time::Duration;

use bramley_core::kernel::snapshot::KernelDump;
use bramley_entry::EntryDaemon;
use serde::Serialize;
use tokio::time::Instant;

use crate::deployment::{TestDeployment, TestHost};
use crate::violation::Violation;

/// Time within which a stored configuration must be in force on every host.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages that did not lead to a useful start, by cause.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WastedMessages {
    /// Starts that a worker refused.
    pub refused_starts: u64,
    /// Starts for which the connection failed.
    pub connect_failures: u64,
    /// Repeated starts of tasks that may have run before.
    pub retries: u64,
    /// Requests to borrow slots.
    pub loan_requests: u64,
    /// Requests forwarded to the host that owns the ticket.
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

/// A stored configuration generation that is not yet in force on every host.
#[derive(Clone, Copy, Debug)]
struct PendingGeneration {
    generation: u64,
    stored_at: Instant,
    deadline: Instant,
}

/// Monitors the hosts of one deployment.
#[derive(Debug, Default)]
pub struct HostMonitor {
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Wasted messages of the incarnations whose counters were collected.
    pub wasted: WastedMessages,
    /// Time until the last configuration change was in force on every host.
    pub propagation_time: Option<Duration>,
    generations: HashMap<u128, u64>,
    pending: Option<PendingGeneration>,
}

impl HostMonitor {
    /// Starts waiting for a generation that is about to be stored.
    pub fn expect_generation(&mut self, generation: u64) {
        let stored_at = Instant::now();
        self.pending = Some(PendingGeneration {
            generation,
            stored_at,
            deadline: stored_at + CONFIGURATION_TIMEOUT,
        });
    }

    /// Checks the generations in force on all hosts.
    pub fn check_generations(&mut self, deployment: &TestDeployment) {
        let mut lowest = u64::MAX;
        for host in &deployment.hosts {
            if let Some(daemon) = &host.daemon {
                lowest = lowest.min(self.check_host_generation(host, daemon));
            }
        }
        let Some(pending) = self.pending else {
            return;
        };
        if lowest >= pending.generation {
            self.propagation_time = Some(pending.stored_at.elapsed());
            self.pending = None;
        } else if Instant::now() >= pending.deadline {
            let generation = pending.generation;
            self.violations
                .push(Violation::ConfigurationLate { generation });
            self.pending = None;
        }
    }

    /// Returns whether a stored generation is not yet in force on every host.
    pub const fn has_pending_generation(&self) -> bool {
        self.pending.is_some()
    }

    /// Collects the counters of a host's current incarnation, before the host is lost or at the end
    /// of the run.
    pub async fn collect_counters(&mut self, host: &TestHost) {
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

    /// Returns the generation in force on a host; a decrease within an incarnation is a violation.
    fn check_host_generation(&mut self, host: &TestHost, daemon: &EntryDaemon) -> u64 {
        let state = daemon.state();
        let generation = state.configuration.load().generation;
        let incarnation = state.issuer.incarnation().to_bits();
        let previous = self.generations.insert(incarnation, generation);
        if let Some(previous) = previous.filter(|previous| *previous > generation) {
            self.violations.push(Violation::GenerationWentBack {
                host: host.settings.host.clone(),
                from: previous,
                to: generation,
            });
        }
        generation
    }
}
