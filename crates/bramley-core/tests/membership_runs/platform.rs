//! Simulated platform: its lagging list of workers and its configuration store.

use std::time::Duration;

use bramley_core::membership::MembershipKernel;
use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;
use rand::Rng;

use crate::simulation::{Simulation, worker_name};

/// A revision of the list of workers.
struct ListVersion {
    at: UnixTime,
    leaving: Vec<Vec<bool>>,
}

/// State of the platform. All revisions are kept with their times, so that reads can lag.
pub struct Platform {
    pub is_up: bool,
    pub lag: Duration,
    /// Whether the store returns older generations.
    pub returns_older: bool,
    /// Whether each failure domain is cut off from the platform.
    pub unreachable: Vec<bool>,
    pub lagging_reads: u64,
    pub refused_reads: u64,
    pub older_reads: u64,
    versions: Vec<ListVersion>,
    /// Publication time of each generation.
    published: Vec<UnixTime>,
}

impl Platform {
    pub fn new(domains: usize, workers: usize, now: UnixTime) -> Self {
        let first = ListVersion {
            at: now,
            leaving: vec![vec![false; workers]; domains],
        };
        Self {
            is_up: true,
            lag: Duration::ZERO,
            returns_older: false,
            unreachable: vec![false; domains],
            lagging_reads: 0,
            refused_reads: 0,
            older_reads: 0,
            versions: vec![first],
            published: vec![now],
        }
    }

    /// Publishes a new generation and returns it.
    pub fn publish(&mut self, now: UnixTime) -> u64 {
        self.published.push(now);
        self.published.len() as u64
    }

    /// Returns whether the newest list shows a worker as leaving.
    pub fn is_leaving(&self, domain: usize, worker: usize) -> bool {
        let newest = self.versions.last().expect("there is an initial version");
        newest.leaving[domain][worker]
    }

    /// Lists a worker as leaving or live, in a new revision.
    pub fn set_leaving(&mut self, domain: usize, worker: usize, leaving: bool, now: UnixTime) {
        let newest = self.versions.last().expect("there is an initial version");
        let mut states = newest.leaving.clone();
        states[domain][worker] = leaving;
        self.versions.push(ListVersion {
            at: now,
            leaving: states,
        });
    }

    /// Sends the list and the configuration generation to a host, if the platform is reachable.
    pub fn serve(&mut self, simulation: &mut Simulation, host: usize) {
        let domain = simulation.hosts[host].domain;
        if !self.is_up || self.unreachable[domain] {
            self.refused_reads += 1;
            return;
        }
        let lag_us = u64::try_from(self.lag.as_micros()).expect("lags are short");
        let lag = Duration::from_micros(simulation.rng.random_range(0..=lag_us));
        if !lag.is_zero() {
            self.lagging_reads += 1;
        }
        self.serve_list(simulation, host, simulation.now.before(lag));
        self.serve_generation(simulation, host);
    }

    /// Sends the revision of the list that was the newest at time `visible_until`.
    fn serve_list(&self, simulation: &mut Simulation, host: usize, visible_until: UnixTime) {
        let visible = self
            .versions
            .partition_point(|version| version.at <= visible_until);
        let index = visible.max(1) - 1;
        let domain = simulation.hosts[host].domain;
        let mut live: Vec<WorkerName> = Vec::new();
        let mut leaving: Vec<WorkerName> = Vec::new();
        for (worker, is_leaving) in self.versions[index].leaving[domain].iter().enumerate() {
            let names = if *is_leaving { &mut leaving } else { &mut live };
            names.push(worker_name(domain, worker));
        }
        let revision = index as u64 + 1;
        simulation.drive(host, |kernel, now| {
            kernel.on_worker_list(revision, &live, &leaving, now)
        });
    }

    fn serve_generation(&mut self, simulation: &mut Simulation, host: usize) {
        let newest = self.published.len() as u64;
        let mut generation = newest;
        if self.returns_older && newest > 3 {
            self.older_reads += 1;
            generation = newest - simulation.rng.random_range(1..=3);
        }
        simulation.drive(host, |kernel: &mut MembershipKernel, now| {
            kernel.set_generation(generation, now)
        });
    }
}
