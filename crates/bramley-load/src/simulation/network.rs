//! Network delays and partitions between failure domains.

use bramley_core::units::UnixTime;

use crate::scenario::{FaultKind, Scenario};

/// Failure domains of hosts and workers, and the network faults between them.
#[derive(Debug)]
pub struct NetworkModel {
    scenario: Scenario,
    host_domains: Vec<usize>,
    worker_domains: Vec<usize>,
}

impl NetworkModel {
    /// Assigns hosts and workers to failure domains as the scenario specifies.
    pub fn new(scenario: &Scenario) -> Self {
        let mut host_domains = Vec::new();
        let mut worker_domains = Vec::new();
        for (position, domain) in scenario.domains.iter().enumerate() {
            host_domains.extend(std::iter::repeat_n(position, domain.hosts));
            worker_domains.extend(std::iter::repeat_n(position, domain.workers));
        }
        Self {
            scenario: scenario.clone(),
            host_domains,
            worker_domains,
        }
    }

    /// Returns the index of each host's failure domain.
    pub fn host_domains(&self) -> &[usize] {
        &self.host_domains
    }

    /// Returns the index of each worker's failure domain.
    pub fn worker_domains(&self) -> &[usize] {
        &self.worker_domains
    }

    /// Returns the one-way delay between two failure domains, or `None` while either is partitioned.
    pub fn delay_us(&self, from: usize, to: usize, now: UnixTime) -> Option<u64> {
        if from == to {
            return Some(self.scenario.local_delay_us);
        }
        let is_isolated = |domain| self.has_fault(FaultKind::DomainCutOff, domain, now);
        if is_isolated(from) || is_isolated(to) {
            return None;
        }
        Some(self.scenario.domain_delay_us)
    }

    /// Returns whether a fault of a kind currently affects the host, worker or domain at an index.
    pub fn has_fault(&self, kind: FaultKind, position: usize, now: UnixTime) -> bool {
        let time_us = now.as_micros() - super::driver::START_TIME_US;
        self.scenario
            .faults
            .iter()
            .any(|fault| fault.kind == kind && fault.is_active_for(position, time_us))
    }

    /// Returns the time until which a host is frozen, if it currently is.
    pub fn frozen_until(&self, host: usize, now: UnixTime) -> Option<UnixTime> {
        let time_us = now.as_micros() - super::driver::START_TIME_US;
        for fault in &self.scenario.faults {
            if fault.kind == FaultKind::HostFrozen && fault.is_active_for(host, time_us) {
                let end = super::driver::START_TIME_US + fault.until_ms * 1_000;
                return Some(UnixTime::from_micros(end));
            }
        }
        None
    }
}
