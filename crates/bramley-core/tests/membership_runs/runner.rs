//! Randomised run that injects two faults at a time, with quiet periods in between, and checks the
//! invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bramley_core::membership::{MemberState, MembershipAction, MembershipSettings};
use bramley_core::units::{IncarnationId, UnixTime};
use rand::Rng;
use rand::seq::SliceRandom;

use crate::platform::Platform;
use crate::simulation::Simulation;
use crate::simulation::worker_name;

pub const DOMAINS: usize = 3;
pub const HOSTS: usize = 12;
const WORKERS: usize = 16;
/// Minimum time before a returned worker leaves again; longer than the lag of the platform's list.
const LEAVE_AGAIN_DELAY: Duration = Duration::from_secs(8);
const STEP_DURATION: Duration = Duration::from_millis(50);
const FAULT_DURATION: Duration = Duration::from_secs(20);
const QUIET_DURATION: Duration = Duration::from_secs(30);
const MAX_DEPARTURE_LATENCY: Duration = Duration::from_secs(3);
const MAX_GENERATION_LATENCY: Duration = Duration::from_secs(5);
const RECOVERY_DURATION: Duration = Duration::from_secs(10);
/// Maximum number of messages after the end of faults, in percent of a quiet period of the same
/// run.
const MAX_RECOVERY_PERCENT: u64 = 200;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// A failure domain is partitioned from the others.
    Cut,
    /// All hosts of a failure domain are killed.
    DomainLoss,
    Duplicates,
    Freeze,
    Kill,
    /// Messages are lost.
    Loss,
    PlannedStop,
    PlatformLag,
    PlatformOutage,
    Reordering,
    /// A host's process is killed and a new incarnation starts at once.
    Replace,
    /// The configuration store returns older generations.
    StoreOlder,
}

const FAULTS: [Fault; 12] = [
    Fault::Cut,
    Fault::DomainLoss,
    Fault::Duplicates,
    Fault::Freeze,
    Fault::Kill,
    Fault::Loss,
    Fault::PlannedStop,
    Fault::PlatformLag,
    Fault::PlatformOutage,
    Fault::Reordering,
    Fault::Replace,
    Fault::StoreOlder,
];

/// A check that is due at a later time.
enum Check {
    /// All hosts of a failure domain know that a worker is leaving.
    Departure {
        domain: usize,
        worker: usize,
        observer: usize,
        returns: u64,
        since: UnixTime,
    },
    /// All hosts have applied the generation that their failure domain could reach.
    Generation {
        since: UnixTime,
        newest: Vec<u64>,
        network_changes: u64,
    },
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    pub steps: u64,
    pub injected: BTreeMap<Fault, u64>,
    pub departure_checks: u64,
    pub generation_checks: u64,
    pub views_checked: u64,
    pub max_recovery_percent: u64,
    pub violations: Vec<String>,
}

pub struct Runner {
    pub simulation: Simulation,
    platform: Platform,
    report: RunReport,
    checks: Vec<(UnixTime, Check)>,
    /// Pairs of an observing incarnation and one that it has seen as gone.
    gone: BTreeSet<(IncarnationId, IncarnationId)>,
    /// Number of times that each worker returned.
    returns: BTreeMap<(usize, usize), u64>,
    /// Workers that sent a leave notice, with the time at which the platform will list it.
    leave_notices: BTreeMap<(usize, usize), UnixTime>,
    /// Earliest time of the next change of each worker.
    next_change_at: BTreeMap<(usize, usize), UnixTime>,
    /// Last known incarnation and generation of each host.
    generations: Vec<(IncarnationId, u64)>,
    network_changes: u64,
    quiet_messages: u64,
    step: u64,
}

impl Runner {
    pub fn new(seed: u64, settings: MembershipSettings) -> Self {
        let simulation = Simulation::new(seed, DOMAINS, HOSTS, settings);
        Self {
            platform: Platform::new(DOMAINS, WORKERS, simulation.now),
            report: RunReport::default(),
            checks: Vec::new(),
            gone: BTreeSet::new(),
            returns: BTreeMap::new(),
            leave_notices: BTreeMap::new(),
            next_change_at: BTreeMap::new(),
            generations: vec![(IncarnationId::default(), 0); HOSTS],
            network_changes: 0,
            quiet_messages: 0,
            step: 0,
            simulation,
        }
    }

    /// Injects all kinds of faults `cycles` times, two at a time and in random order.
    pub fn run(mut self, cycles: u64) -> RunReport {
        self.run_for(QUIET_DURATION);
        self.quiet_messages = self.count_messages(RECOVERY_DURATION);
        for _ in 0..cycles {
            let mut kinds = FAULTS;
            kinds.shuffle(&mut self.simulation.rng);
            for pair in kinds.chunks(2) {
                self.inject_pair(pair);
            }
        }
        self.report.steps = self.simulation.counts.steps;
        self.report
    }

    fn inject_pair(&mut self, pair: &[Fault]) {
        for fault in pair {
            self.inject(*fault);
            let gap = self.simulation.rng.random_range(0..5_000);
            self.run_for(Duration::from_millis(gap));
        }
        self.run_for(FAULT_DURATION);
        self.end_faults();
        let messages = self.count_messages(RECOVERY_DURATION);
        let percent = messages * 100 / self.quiet_messages;
        self.report.max_recovery_percent = self.report.max_recovery_percent.max(percent);
        if percent > MAX_RECOVERY_PERCENT {
            self.record_violation(format!(
                "after the end of the faults: {percent} % of the messages of a quiet period"
            ));
        }
        self.run_for(QUIET_DURATION);
        self.check_views();
    }

    fn count_messages(&mut self, duration: Duration) -> u64 {
        let messages = self.simulation.counts.messages;
        self.run_for(duration);
        self.simulation.counts.messages - messages
    }

    fn inject(&mut self, fault: Fault) {
        let host = self.simulation.rng.random_range(0..HOSTS);
        let before = self.effect_count(fault);
        match fault {
            Fault::Cut => self.partition_domain(host % DOMAINS),
            Fault::DomainLoss => {
                for member in (0..HOSTS).filter(|member| member % DOMAINS == host % DOMAINS) {
                    self.simulation.kill(member);
                }
            }
            Fault::Duplicates => self.simulation.faults.duplicates = 0.2,
            Fault::Freeze => {
                let duration =
                    Duration::from_millis(self.simulation.rng.random_range(1_000..20_000));
                self.simulation.freeze(host, duration);
            }
            Fault::Kill => self.simulation.kill(host),
            Fault::Loss => self.simulation.faults.loss = 0.1,
            Fault::PlannedStop => {
                self.simulation.drive(host, |kernel, now| {
                    kernel.begin_leaving(now);
                    Vec::new()
                });
                self.run_for(Duration::from_secs(2));
                self.simulation.shut_down(host);
            }
            Fault::PlatformLag => self.platform.lag = Duration::from_secs(6),
            Fault::PlatformOutage => self.platform.is_up = false,
            Fault::Reordering => self.simulation.faults.reordering = 0.2,
            Fault::Replace => self.simulation.start(host),
            Fault::StoreOlder => self.platform.returns_older = true,
        }
        self.network_changes += 1;
        self.run_for(Duration::from_secs(2));
        if before.is_none() || self.effect_count(fault) > before {
            *self.report.injected.entry(fault).or_default() += 1;
        }
    }

    /// Returns how often a lasting fault took effect, or `None` for a fault that acts immediately.
    fn effect_count(&self, fault: Fault) -> Option<u64> {
        match fault {
            Fault::Cut => Some(self.simulation.counts.blocked),
            Fault::Duplicates => Some(self.simulation.counts.duplicated),
            Fault::Loss => Some(self.simulation.counts.lost),
            Fault::Reordering => Some(self.simulation.counts.reordered),
            Fault::PlatformLag => Some(self.platform.lagging_reads),
            Fault::PlatformOutage => Some(self.platform.refused_reads),
            Fault::StoreOlder => Some(self.platform.older_reads),
            Fault::DomainLoss
            | Fault::Freeze
            | Fault::Kill
            | Fault::PlannedStop
            | Fault::Replace => None,
        }
    }

    fn partition_domain(&mut self, domain: usize) {
        for other in (0..DOMAINS).filter(|other| *other != domain) {
            let pair = (domain.min(other), domain.max(other));
            self.simulation.faults.blocked_links.insert(pair);
        }
        self.platform.unreachable[domain] = self.simulation.rng.random_bool(0.5);
    }

    /// Ends all faults and restarts most of the hosts that are down.
    fn end_faults(&mut self) {
        self.simulation.faults = crate::simulation::NetworkFaults::default();
        self.platform.is_up = true;
        self.platform.lag = Duration::ZERO;
        self.platform.returns_older = false;
        self.platform.unreachable = vec![false; DOMAINS];
        self.network_changes += 1;
        for host in 0..HOSTS {
            let is_down = self.simulation.hosts[host].process.is_none();
            if is_down && self.simulation.rng.random_bool(0.8) {
                self.simulation.start(host);
            }
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.simulation.now.after(duration);
        while self.simulation.now < end {
            self.simulation.run_for(STEP_DURATION);
            self.step += 1;
            for host in 0..HOSTS {
                if (self.step + host as u64).is_multiple_of(20) {
                    self.platform.serve(&mut self.simulation, host);
                }
            }
            self.make_random_changes();
            self.check_actions();
            self.check_counters();
            self.run_due_checks();
        }
    }

    /// Changes the configuration and workers at random, and schedules checks of the generation.
    fn make_random_changes(&mut self) {
        let now = self.simulation.now;
        if self.simulation.rng.random_bool(0.02) {
            self.platform.publish(now);
        }
        if self.step.is_multiple_of(40) {
            let newest = self.newest_generations();
            let network_changes = self.network_changes;
            let check = Check::Generation {
                since: now,
                newest,
                network_changes,
            };
            self.checks.push((now.after(MAX_GENERATION_LATENCY), check));
        }
        if self.simulation.rng.random_bool(0.03) {
            self.change_worker();
        }
        let due: Vec<(usize, usize)> = self
            .leave_notices
            .iter()
            .filter(|(_, listed_at)| **listed_at <= now)
            .map(|(key, _)| *key)
            .collect();
        for (domain, worker) in due {
            self.leave_notices.remove(&(domain, worker));
            self.platform.set_leaving(domain, worker, true, now);
            self.next_change_at
                .insert((domain, worker), now.after(Duration::from_secs(12)));
        }
    }

    fn change_worker(&mut self) {
        let now = self.simulation.now;
        let domain = self.simulation.rng.random_range(0..DOMAINS);
        let worker = self.simulation.rng.random_range(0..WORKERS);
        let key = (domain, worker);
        if self.leave_notices.contains_key(&key) {
            return;
        }
        if self.platform.is_leaving(domain, worker) {
            if self.next_change_at.get(&key).is_none_or(|at| *at <= now) {
                self.platform.set_leaving(domain, worker, false, now);
                *self.returns.entry(key).or_default() += 1;
                self.next_change_at
                    .insert(key, now.after(LEAVE_AGAIN_DELAY));
            }
            return;
        }
        if self.next_change_at.get(&key).is_some_and(|at| *at > now) {
            return;
        }
        if self.simulation.rng.random_bool(0.5) {
            self.platform.set_leaving(domain, worker, true, now);
            self.next_change_at
                .insert(key, now.after(Duration::from_secs(12)));
            return;
        }
        let running = self.simulation.running();
        let host = running.into_iter().find(|host| {
            self.simulation.hosts[*host].domain == domain
                && self.simulation.ran_continuously_since(*host, now)
        });
        if let Some(host) = host {
            let listed_at = now.after(Duration::from_secs(15));
            self.leave_notices.insert(key, listed_at);
            let name = worker_name(domain, worker);
            self.simulation
                .drive(host, |kernel, now| kernel.on_leave_notice(&name, now));
        }
    }

    fn check_actions(&mut self) {
        for observed in std::mem::take(&mut self.simulation.observed_actions) {
            match observed.action {
                MembershipAction::MemberChanged { record, previous } => {
                    let observer = self.simulation.hosts[observed.host].record.incarnation;
                    let key = (observer, record.incarnation);
                    if previous == Some(MemberState::Gone) || self.gone.contains(&key) {
                        self.record_violation(format!(
                            "{} changed from gone to {:?}",
                            record.host, record.state
                        ));
                    }
                    if record.state == MemberState::Gone {
                        self.gone.insert(key);
                        let mut running =
                            self.simulation.hosts.iter().filter(|h| h.process.is_some());
                        if running.any(|host| host.record.incarnation == record.incarnation) {
                            self.record_violation(format!(
                                "{} runs and is called gone",
                                record.host
                            ));
                        }
                    }
                }
                MembershipAction::WorkerLeaving { worker } => {
                    let domain = self.simulation.hosts[observed.host].domain;
                    let index = (0..WORKERS).find(|index| worker_name(domain, *index) == worker);
                    self.schedule_departure_checks(
                        observed.host,
                        domain,
                        index.expect("the worker belongs to the simulation"),
                    );
                }
                MembershipAction::Superseded { by } => {
                    self.record_violation(format!("{} is running twice", by.host));
                }
                _ => {}
            }
        }
    }

    /// Schedules the checks of a departure when the first host reports it.
    fn schedule_departure_checks(&mut self, observer: usize, domain: usize, worker: usize) {
        let key = (domain, worker);
        let is_leaving = self.platform.is_leaving(domain, worker);
        if !is_leaving && !self.leave_notices.contains_key(&key) {
            return;
        }
        let is_scheduled = self.checks.iter().any(|(_, check)| {
            matches!(check, Check::Departure { domain: d, worker: w, .. } if (*d, *w) == key)
        });
        if is_scheduled {
            return;
        }
        let since = self.simulation.now;
        let returns = self.returns.get(&key).copied().unwrap_or_default();
        for limit in [MAX_DEPARTURE_LATENCY, MAX_DEPARTURE_LATENCY * 3] {
            let check = Check::Departure {
                domain,
                worker,
                observer,
                returns,
                since,
            };
            self.checks.push((since.after(limit), check));
        }
    }

    fn check_counters(&mut self) {
        for host in 0..HOSTS {
            let Some(process) = &self.simulation.hosts[host].process else {
                continue;
            };
            let incarnation = process.kernel.own().incarnation;
            let generation = process.kernel.generation();
            let violations = process.kernel.counts().violations();
            let (seen, newest) = self.generations[host];
            if seen == incarnation && generation < newest {
                self.record_violation(format!(
                    "host {host} went from generation {newest} to {generation}"
                ));
            }
            self.generations[host] = (incarnation, generation);
            if violations > 0 {
                self.record_violation(format!("host {host} counted {violations} violations"));
            }
        }
    }

    fn run_due_checks(&mut self) {
        let now = self.simulation.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.checks)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.checks = later;
        for (_, check) in due {
            match check {
                Check::Departure {
                    domain,
                    worker,
                    observer,
                    returns,
                    since,
                } => {
                    let current_returns = self.returns.get(&(domain, worker)).copied();
                    if returns == current_returns.unwrap_or_default() {
                        self.check_departure(domain, worker, observer, since);
                    }
                }
                Check::Generation {
                    since,
                    newest,
                    network_changes,
                } => {
                    if network_changes == self.network_changes {
                        self.check_generation(since, &newest);
                    }
                }
            }
        }
    }

    fn check_departure(&mut self, domain: usize, worker: usize, observer: usize, since: UnixTime) {
        let key = (domain, worker);
        let is_leaving = self.platform.is_leaving(domain, worker);
        let has_ended = !is_leaving && !self.leave_notices.contains_key(&key);
        // The other hosts cannot know if the only observer was killed or frozen before it sent a
        // heartbeat.
        if has_ended || !self.simulation.ran_continuously_since(observer, since) {
            return;
        }
        let name = worker_name(domain, worker);
        for host in self.simulation.running() {
            if self.simulation.hosts[host].domain != domain
                || !self.simulation.ran_continuously_since(host, since)
            {
                continue;
            }
            self.report.departure_checks += 1;
            let process = self.simulation.hosts[host].process.as_ref();
            if !process.is_some_and(|process| process.kernel.departures().is_leaving(&name)) {
                self.record_violation(format!("host {host} does not know that {name} leaves"));
            }
        }
    }

    /// Returns the newest generation that each failure domain can reach.
    fn newest_generations(&self) -> Vec<u64> {
        let mut newest = vec![0; DOMAINS];
        for (domain, newest) in newest.iter_mut().enumerate() {
            for host in self.simulation.running() {
                let is_linked = self
                    .simulation
                    .is_linked(domain, self.simulation.hosts[host].domain);
                if is_linked
                    && self
                        .simulation
                        .ran_continuously_since(host, self.simulation.now)
                {
                    *newest = (*newest).max(self.generations[host].1);
                }
            }
        }
        newest
    }

    fn check_generation(&mut self, since: UnixTime, newest: &[u64]) {
        for host in self.simulation.running() {
            if !self.simulation.ran_continuously_since(host, since) {
                continue;
            }
            self.report.generation_checks += 1;
            let expected = newest[self.simulation.hosts[host].domain];
            let generation = self.generations[host].1;
            if generation < expected {
                self.record_violation(format!(
                    "host {host} is at generation {generation}, not {expected}"
                ));
            }
        }
    }

    /// Checks after a quiet period that the views of all hosts match the running hosts.
    fn check_views(&mut self) {
        let running = self.simulation.running();
        let mut violations_found = Vec::new();
        for host in &running {
            let Some(process) = &self.simulation.hosts[*host].process else {
                continue;
            };
            for other in &running {
                let record = &self.simulation.hosts[*other].record;
                let member = process.kernel.member(record.incarnation);
                let is_alive = member.is_some_and(|m| m.record.state == MemberState::Alive);
                if host != other && !is_alive {
                    violations_found.push(format!("host {host} does not see host {other}"));
                }
            }
            for member in process.kernel.members() {
                let is_alive = member.record.state == MemberState::Alive;
                let runs = running.iter().any(|h| {
                    self.simulation.hosts[*h].record.incarnation == member.record.incarnation
                });
                if is_alive && !runs {
                    violations_found.push(format!("host {host} sees {} alive", member.record.host));
                }
            }
            self.report.views_checked += 1;
        }
        for violation in violations_found {
            self.record_violation(violation);
        }
    }

    fn record_violation(&mut self, description: String) {
        let since_start = self.simulation.now.as_millis() - 1_800_000_000_000;
        self.report
            .violations
            .push(format!("{since_start} ms: {description}"));
    }
}
