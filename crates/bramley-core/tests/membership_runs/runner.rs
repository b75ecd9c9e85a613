//! A randomised run: faults two at a time, quiet times between them, and the invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bramley_core::membership::{MemberState, MembershipAction, MembershipSettings};
use bramley_core::units::{IncarnationId, UnixTime};
use rand::Rng;
use rand::seq::SliceRandom;

use crate::exchange::Exchange;
use crate::exchange::worker_name;
use crate::platform::Platform;

pub const DOMAINS: usize = 3;
pub const HOSTS: usize = 12;
const WORKERS: usize = 16;
/// Shortest time after which a worker that came back leaves again: longer than the list lags.
const LEAVE_AGAIN_SPAN: Duration = Duration::from_secs(8);
const SLICE: Duration = Duration::from_millis(50);
const FAULT_SPAN: Duration = Duration::from_secs(20);
const QUIET_SPAN: Duration = Duration::from_secs(30);
const LEAVING_BOUND: Duration = Duration::from_secs(3);
const SPREAD_BOUND: Duration = Duration::from_secs(5);
const HEAL_SPAN: Duration = Duration::from_secs(10);
/// Messages after faults end, in percent of those in a quiet time of the same run.
const HEAL_MESSAGES_PERCENT: u64 = 200;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    Cut,
    DomainLoss,
    Duplicates,
    Freeze,
    Kill,
    Loss,
    PlannedStop,
    PlatformLag,
    PlatformOutage,
    Reordering,
    Replace,
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

enum Check {
    Sign {
        domain: usize,
        worker: usize,
        holder: usize,
        returns: u64,
        since: UnixTime,
    },
    Spread {
        since: UnixTime,
        newest: Vec<u64>,
        network_changes: u64,
    },
}

/// What a run did and found.
#[derive(Debug, Default)]
pub struct RunReport {
    pub steps: u64,
    pub injected: BTreeMap<Fault, u64>,
    pub sign_checks: u64,
    pub spread_checks: u64,
    pub views_checked: u64,
    pub worst_heal_percent: u64,
    pub violations: Vec<String>,
}

pub struct Runner {
    pub exchange: Exchange,
    platform: Platform,
    report: RunReport,
    checks: Vec<(UnixTime, Check)>,
    gone: BTreeSet<(IncarnationId, IncarnationId)>,
    /// Counts the times that each worker came back.
    returns: BTreeMap<(usize, usize), u64>,
    /// Workers that gave their own sign, with the time at which the platform lists it.
    own_signs: BTreeMap<(usize, usize), UnixTime>,
    came_back_after: BTreeMap<(usize, usize), UnixTime>,
    generations: Vec<(IncarnationId, u64)>,
    network_changes: u64,
    quiet_messages: u64,
    slice: u64,
}

impl Runner {
    pub fn new(seed: u64, settings: MembershipSettings) -> Self {
        let exchange = Exchange::new(seed, DOMAINS, HOSTS, settings);
        Self {
            platform: Platform::new(DOMAINS, WORKERS, exchange.now),
            report: RunReport::default(),
            checks: Vec::new(),
            gone: BTreeSet::new(),
            returns: BTreeMap::new(),
            own_signs: BTreeMap::new(),
            came_back_after: BTreeMap::new(),
            generations: vec![(IncarnationId::default(), 0); HOSTS],
            network_changes: 0,
            quiet_messages: 0,
            slice: 0,
            exchange,
        }
    }

    /// Runs `cycles` times through all kinds of faults, two at a time.
    pub fn run(mut self, cycles: u64) -> RunReport {
        self.run_for(QUIET_SPAN);
        self.quiet_messages = self.count_messages(HEAL_SPAN);
        for _ in 0..cycles {
            let mut kinds = FAULTS;
            kinds.shuffle(&mut self.exchange.rng);
            for pair in kinds.chunks(2) {
                self.run_faults(pair);
            }
        }
        self.report.steps = self.exchange.counts.steps;
        self.report
    }

    fn run_faults(&mut self, pair: &[Fault]) {
        for fault in pair {
            self.inject(*fault);
            let gap = self.exchange.rng.random_range(0..5_000);
            self.run_for(Duration::from_millis(gap));
        }
        self.run_for(FAULT_SPAN);
        self.heal();
        let messages = self.count_messages(HEAL_SPAN);
        let percent = messages * 100 / self.quiet_messages;
        self.report.worst_heal_percent = self.report.worst_heal_percent.max(percent);
        if percent > HEAL_MESSAGES_PERCENT {
            self.violate(format!(
                "{percent} % of the quiet messages after the end of the faults"
            ));
        }
        self.run_for(QUIET_SPAN);
        self.check_views();
    }

    fn count_messages(&mut self, span: Duration) -> u64 {
        let messages = self.exchange.counts.messages;
        self.run_for(span);
        self.exchange.counts.messages - messages
    }

    fn inject(&mut self, fault: Fault) {
        let host = self.exchange.rng.random_range(0..HOSTS);
        let before = self.effects(fault);
        match fault {
            Fault::Cut => self.cut_domain(host % DOMAINS),
            Fault::DomainLoss => {
                for member in (0..HOSTS).filter(|member| member % DOMAINS == host % DOMAINS) {
                    self.exchange.kill(member);
                }
            }
            Fault::Duplicates => self.exchange.faults.duplicates = 0.2,
            Fault::Freeze => {
                let span = Duration::from_millis(self.exchange.rng.random_range(1_000..20_000));
                self.exchange.freeze(host, span);
            }
            Fault::Kill => self.exchange.kill(host),
            Fault::Loss => self.exchange.faults.loss = 0.1,
            Fault::PlannedStop => {
                self.exchange.drive(host, |kernel, now| {
                    kernel.begin_leaving(now);
                    Vec::new()
                });
                self.run_for(Duration::from_secs(2));
                self.exchange.say_gone(host);
            }
            Fault::PlatformLag => self.platform.lag = Duration::from_secs(6),
            Fault::PlatformOutage => self.platform.is_up = false,
            Fault::Reordering => self.exchange.faults.reordering = 0.2,
            Fault::Replace => self.exchange.start(host),
            Fault::StoreOlder => self.platform.returns_older = true,
        }
        self.network_changes += 1;
        self.run_for(Duration::from_secs(2));
        if before.is_none() || self.effects(fault) > before {
            *self.report.injected.entry(fault).or_default() += 1;
        }
    }

    /// Returns how often a lasting fault took effect, or `None` for one that acts at once.
    fn effects(&self, fault: Fault) -> Option<u64> {
        match fault {
            Fault::Cut => Some(self.exchange.counts.blocked),
            Fault::Duplicates => Some(self.exchange.counts.duplicated),
            Fault::Loss => Some(self.exchange.counts.lost),
            Fault::Reordering => Some(self.exchange.counts.reordered),
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

    fn cut_domain(&mut self, domain: usize) {
        for other in (0..DOMAINS).filter(|other| *other != domain) {
            let pair = (domain.min(other), domain.max(other));
            self.exchange.faults.cuts.insert(pair);
        }
        self.platform.unreachable[domain] = self.exchange.rng.random_bool(0.5);
    }

    /// Ends the faults; hosts that are down start again, or stay down now and then.
    fn heal(&mut self) {
        self.exchange.faults = crate::exchange::NetworkFaults::default();
        self.platform.is_up = true;
        self.platform.lag = Duration::ZERO;
        self.platform.returns_older = false;
        self.platform.unreachable = vec![false; DOMAINS];
        self.network_changes += 1;
        for host in 0..HOSTS {
            let is_down = self.exchange.hosts[host].process.is_none();
            if is_down && self.exchange.rng.random_bool(0.8) {
                self.exchange.start(host);
            }
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.exchange.now.after(span);
        while self.exchange.now < end {
            self.exchange.run_for(SLICE);
            self.slice += 1;
            for host in 0..HOSTS {
                if (self.slice + host as u64).is_multiple_of(20) {
                    self.platform.serve(&mut self.exchange, host);
                }
            }
            self.change_something();
            self.watch_actions();
            self.watch_counts();
            self.do_checks();
        }
    }

    /// Changes configurations and workers at random.
    fn change_something(&mut self) {
        let now = self.exchange.now;
        if self.exchange.rng.random_bool(0.02) {
            self.platform.publish(now);
        }
        if self.slice.is_multiple_of(40) {
            let newest = self.newest_generations();
            let network_changes = self.network_changes;
            let check = Check::Spread {
                since: now,
                newest,
                network_changes,
            };
            self.checks.push((now.after(SPREAD_BOUND), check));
        }
        if self.exchange.rng.random_bool(0.03) {
            self.change_worker();
        }
        let due: Vec<(usize, usize)> = self
            .own_signs
            .iter()
            .filter(|(_, listed_at)| **listed_at <= now)
            .map(|(key, _)| *key)
            .collect();
        for (domain, worker) in due {
            self.own_signs.remove(&(domain, worker));
            self.platform.set_leaving(domain, worker, true, now);
            self.came_back_after
                .insert((domain, worker), now.after(Duration::from_secs(12)));
        }
    }

    fn change_worker(&mut self) {
        let now = self.exchange.now;
        let domain = self.exchange.rng.random_range(0..DOMAINS);
        let worker = self.exchange.rng.random_range(0..WORKERS);
        let key = (domain, worker);
        if self.own_signs.contains_key(&key) {
            return;
        }
        if self.platform.is_leaving(domain, worker) {
            if self.came_back_after.get(&key).is_none_or(|at| *at <= now) {
                self.platform.set_leaving(domain, worker, false, now);
                *self.returns.entry(key).or_default() += 1;
                self.came_back_after
                    .insert(key, now.after(LEAVE_AGAIN_SPAN));
            }
            return;
        }
        if self.came_back_after.get(&key).is_some_and(|at| *at > now) {
            return;
        }
        if self.exchange.rng.random_bool(0.5) {
            self.platform.set_leaving(domain, worker, true, now);
            self.came_back_after
                .insert(key, now.after(Duration::from_secs(12)));
            return;
        }
        let running = self.exchange.running();
        let host = running.into_iter().find(|host| {
            self.exchange.hosts[*host].domain == domain && self.exchange.ran_since(*host, now)
        });
        if let Some(host) = host {
            let listed_at = now.after(Duration::from_secs(15));
            self.own_signs.insert(key, listed_at);
            let name = worker_name(domain, worker);
            self.exchange
                .drive(host, |kernel, now| kernel.on_worker_sign(&name, now));
        }
    }

    fn watch_actions(&mut self) {
        for observed in std::mem::take(&mut self.exchange.observed) {
            match observed.action {
                MembershipAction::MemberChanged { record, previous } => {
                    let observer = self.exchange.hosts[observed.host].record.incarnation;
                    let key = (observer, record.incarnation);
                    if previous == Some(MemberState::Gone) || self.gone.contains(&key) {
                        self.violate(format!(
                            "{} was gone and is {:?}",
                            record.host, record.state
                        ));
                    }
                    if record.state == MemberState::Gone {
                        self.gone.insert(key);
                        let mut running =
                            self.exchange.hosts.iter().filter(|h| h.process.is_some());
                        if running.any(|host| host.record.incarnation == record.incarnation) {
                            self.violate(format!("{} runs and is called gone", record.host));
                        }
                    }
                }
                MembershipAction::WorkerLeaving { worker } => {
                    let domain = self.exchange.hosts[observed.host].domain;
                    let index = (0..WORKERS).find(|index| worker_name(domain, *index) == worker);
                    self.note_sign(observed.host, domain, index.expect("workers are known"));
                }
                MembershipAction::Superseded { by } => {
                    self.violate(format!("{} runs twice", by.host));
                }
                _ => {}
            }
        }
    }

    /// Plans the checks of the first leaving sign of an episode.
    fn note_sign(&mut self, holder: usize, domain: usize, worker: usize) {
        let key = (domain, worker);
        let is_leaving = self.platform.is_leaving(domain, worker);
        if !is_leaving && !self.own_signs.contains_key(&key) {
            return;
        }
        let planned = self.checks.iter().any(|(_, check)| {
            matches!(check, Check::Sign { domain: d, worker: w, .. } if (*d, *w) == key)
        });
        if planned {
            return;
        }
        let since = self.exchange.now;
        let returns = self.returns.get(&key).copied().unwrap_or_default();
        for bound in [LEAVING_BOUND, LEAVING_BOUND * 3] {
            let check = Check::Sign {
                domain,
                worker,
                holder,
                returns,
                since,
            };
            self.checks.push((since.after(bound), check));
        }
    }

    fn watch_counts(&mut self) {
        for host in 0..HOSTS {
            let Some(process) = &self.exchange.hosts[host].process else {
                continue;
            };
            let incarnation = process.kernel.own().incarnation;
            let generation = process.kernel.generation();
            let violations = process.kernel.counts().violations();
            let (seen, newest) = self.generations[host];
            if seen == incarnation && generation < newest {
                self.violate(format!(
                    "host {host} went from generation {newest} to {generation}"
                ));
            }
            self.generations[host] = (incarnation, generation);
            if violations > 0 {
                self.violate(format!("host {host} counted {violations} violations"));
            }
        }
    }

    fn do_checks(&mut self) {
        let now = self.exchange.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.checks)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.checks = later;
        for (_, check) in due {
            match check {
                Check::Sign {
                    domain,
                    worker,
                    holder,
                    returns,
                    since,
                } => {
                    let now_returns = self.returns.get(&(domain, worker)).copied();
                    if returns == now_returns.unwrap_or_default() {
                        self.check_sign(domain, worker, holder, since);
                    }
                }
                Check::Spread {
                    since,
                    newest,
                    network_changes,
                } => {
                    if network_changes == self.network_changes {
                        self.check_spread(since, &newest);
                    }
                }
            }
        }
    }

    fn check_sign(&mut self, domain: usize, worker: usize, holder: usize, since: UnixTime) {
        let key = (domain, worker);
        let is_leaving = self.platform.is_leaving(domain, worker);
        let has_ended = !is_leaving && !self.own_signs.contains_key(&key);
        // Nobody can know what one host saw that was killed or paused before it told.
        if has_ended || !self.exchange.ran_since(holder, since) {
            return;
        }
        let name = worker_name(domain, worker);
        for host in self.exchange.running() {
            if self.exchange.hosts[host].domain != domain || !self.exchange.ran_since(host, since) {
                continue;
            }
            self.report.sign_checks += 1;
            let process = self.exchange.hosts[host].process.as_ref();
            if !process.is_some_and(|process| process.kernel.signs().is_leaving(&name)) {
                self.violate(format!("host {host} does not know that {name} leaves"));
            }
        }
    }

    /// Returns for each failure domain the newest generation that it can reach.
    fn newest_generations(&self) -> Vec<u64> {
        let mut newest = vec![0; DOMAINS];
        for (domain, newest) in newest.iter_mut().enumerate() {
            for host in self.exchange.running() {
                let is_linked = self
                    .exchange
                    .is_linked(domain, self.exchange.hosts[host].domain);
                if is_linked && self.exchange.ran_since(host, self.exchange.now) {
                    *newest = (*newest).max(self.generations[host].1);
                }
            }
        }
        newest
    }

    fn check_spread(&mut self, since: UnixTime, newest: &[u64]) {
        for host in self.exchange.running() {
            if !self.exchange.ran_since(host, since) {
                continue;
            }
            self.report.spread_checks += 1;
            let wanted = newest[self.exchange.hosts[host].domain];
            let generation = self.generations[host].1;
            if generation < wanted {
                self.violate(format!(
                    "host {host} is at generation {generation}, not {wanted}"
                ));
            }
        }
    }

    /// Checks after a quiet time that every view agrees with the truth.
    fn check_views(&mut self) {
        let running = self.exchange.running();
        let mut found = Vec::new();
        for host in &running {
            let Some(process) = &self.exchange.hosts[*host].process else {
                continue;
            };
            for other in &running {
                let record = &self.exchange.hosts[*other].record;
                let member = process.kernel.member(record.incarnation);
                let is_alive = member.is_some_and(|m| m.record.state == MemberState::Alive);
                if host != other && !is_alive {
                    found.push(format!("host {host} does not see host {other}"));
                }
            }
            for member in process.kernel.members() {
                let is_alive = member.record.state == MemberState::Alive;
                let runs = running.iter().any(|h| {
                    self.exchange.hosts[*h].record.incarnation == member.record.incarnation
                });
                if is_alive && !runs {
                    found.push(format!("host {host} sees {} alive", member.record.host));
                }
            }
            self.report.views_checked += 1;
        }
        for violation in found {
            self.violate(violation);
        }
    }

    fn violate(&mut self, what: String) {
        let since_start = self.exchange.now.as_millis() - 1_800_000_000_000;
        self.report
            .violations
            .push(format!("{since_start} ms: {what}"));
    }
}
