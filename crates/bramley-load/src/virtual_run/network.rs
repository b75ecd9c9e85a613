//! Delays between places, and cuts between them.

use bramley_core::units::UnixTime;

use crate::scenario::{FaultKind, Scenario};

/// Places of hosts and workers by position, and the delays between them.
#[derive(Debug)]
pub struct NetworkModel {
    scenario: Scenario,
    host_domains: Vec<usize>,
    worker_domains: Vec<usize>,
}

impl NetworkModel {
    /// Lays hosts and workers out as the scenario says.
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

    /// Returns the domain of each host.
    pub fn host_domains(&self) -> &[usize] {
        &self.host_domains
    }

    /// Returns the domain of each worker.
    pub fn worker_domains(&self) -> &[usize] {
        &self.worker_domains
    }

    /// Returns the one-way delay between two domains, or `None` while they are cut off.
    pub fn delay_us(&self, from: usize, to: usize, now: UnixTime) -> Option<u64> {
        if from == to {
            return Some(self.scenario.local_delay_us);
        }
        let cut = |domain| self.is_faulty(FaultKind::DomainCutOff, domain, now);
        if cut(from) || cut(to) {
            return None;
        }
        Some(self.scenario.domain_delay_us)
    }

    /// Tells whether a fault of a kind concerns a position now.
    pub fn is_faulty(&self, kind: FaultKind, position: usize, now: UnixTime) -> bool {
        let time_us = now.as_micros() - super::driver::START_US;
        self.scenario
            .faults
            .iter()
            .any(|fault| fault.kind == kind && fault.concerns(position, time_us))
    }

    /// Returns the end of a host's freeze, if it is frozen now.
    pub fn frozen_until(&self, host: usize, now: UnixTime) -> Option<UnixTime> {
        let time_us = now.as_micros() - super::driver::START_US;
        for fault in &self.scenario.faults {
            if fault.kind == FaultKind::HostFrozen && fault.concerns(host, time_us) {
                let end = super::driver::START_US + fault.until_ms * 1_000;
                return Some(UnixTime::from_micros(end));
            }
        }
        None
    }
}
