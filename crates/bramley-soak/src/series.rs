//! Injects series of faults that belong together, determined by a seed: hosts that lose their power
//! while claims lapse, contested claims, cuts between single parts, and late orders.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use bramley_fleet_stand_in::store::StoreMode;
use bramley_fleet_stand_in::view::WriteMode;
use bramley_fleet_stand_in::worker::WorkerMode;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::{Instant, sleep_until};

use crate::deployment::Deployment;
use crate::evacuations::EvacuationInjector;
use crate::proxy::ProxyMode;
use crate::topology::{LinkTarget, PairLink, set_links};

/// Wait between the beginnings of two series in milliseconds. Many waits are longer than the time
/// after which a relay takes the runs of a lost pool for ended, so that what follows can be seen.
const SERIES_INTERVAL_MS: Range<u64> = 1_500..5_000;

/// Length of an outage of the store in milliseconds. Most outlast the lease of a claim.
const OUTAGE_MS: Range<u64> = 500..4_000;

/// Time from the kill of a host to its restart in milliseconds.
const RESTART_MS: Range<u64> = 0..1_500;

/// Time from a restart to the next kill in milliseconds.
const NEXT_KILL_MS: Range<u64> = 50..350;

/// Length of a cut in milliseconds.
const CUT_MS: Range<u64> = 300..4_000;

/// Time for which a domain's claim is contested in milliseconds.
const CONTEST_MS: Range<u64> = 500..3_000;

/// Short delay of writes while a claim is contested in milliseconds; longer than a leader takes to
/// notice that its claim was overwritten.
const SHORT_WRITE_DELAY_MS: Range<u64> = 20..150;

/// Long delay of writes while a claim is contested in milliseconds.
const LONG_WRITE_DELAY_MS: Range<u64> = 150..900;

/// Time after which late orders are carried out in milliseconds.
const ORDER_DELAY_MS: Range<u64> = 300..3_000;

/// Time for which a worker's orders are late in milliseconds.
const LATE_ORDERS_MS: Range<u64> = 500..4_000;

/// Time for which hosts are suspended in milliseconds.
const SUSPENSION_MS: Range<u64> = 200..3_500;

/// Values that another writer puts in place of a claim.
const FOREIGN_CLAIMS: [&str; 3] = ["", "{}", "{\"address\":\"claimed elsewhere\"}"];

/// Hosts that a fault is meant for. Leaders are looked up when it happens.
#[derive(Clone, Debug)]
enum HostGroup {
    /// All hosts.
    All,
    /// All hosts of a failure domain.
    Domain(usize),
    /// Hosts with these indices.
    Listed(Vec<usize>),
    /// Leader of a failure domain.
    Leader(usize),
}

/// Step of a series. The variant names appear in the fault log.
#[derive(Clone, Debug)]
enum SeriesStep {
    /// Kills hosts, starts them again after some milliseconds, and does so once more when the second
    /// number of milliseconds after that have passed.
    Kill(HostGroup, u64, Option<u64>),
    /// Starts hosts again.
    Start(Vec<usize>),
    /// Suspends hosts for some milliseconds.
    Suspend(HostGroup, u64),
    /// Resumes hosts.
    Resume(Vec<usize>),
    /// Sets the behaviour of the store.
    Store(StoreMode),
    /// Ends all leases of the store.
    LapseClaims,
    /// Overwrites the claim of a failure domain, or removes it.
    OverwriteClaim(usize, Option<&'static str>),
    /// Sets how the writes of hosts are treated.
    Writes(HostGroup, WriteMode),
    /// Sets how the data between some hosts and the store is treated.
    StoreLinks(HostGroup, ProxyMode),
    /// Sets how the data on links is treated.
    Links(Vec<LinkEnds>, ProxyMode),
    /// Sets the behaviour of workers.
    Workers(Vec<usize>, WorkerMode),
}

/// Source and target of a link.
type LinkEnds = (usize, LinkTarget);

/// Begins series of faults and carries out their steps when they are due.
#[derive(Debug)]
pub struct SeriesInjector {
    /// A generator of its own leaves the faults of earlier seeds as they were.
    rng: ChaCha8Rng,
    /// Whether series are begun.
    is_enabled: bool,
    next_series_at: Instant,
    /// Steps by the time at which they are due and their number.
    pending_steps: BTreeMap<(Instant, u64), SeriesStep>,
    next_number: u64,
    /// Time until which a leader may not learn of an evacuation.
    hides_until: Instant,
    /// Lines for the fault log with their times.
    pub lines: Vec<(Instant, String)>,
}

impl SeriesInjector {
    /// Creates an injector whose series are determined by `seed`. It begins none unless it is
    /// enabled.
    #[must_use]
    pub fn new(seed: u64, is_enabled: bool) -> Self {
        let now = Instant::now();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(16)),
            is_enabled,
            next_series_at: now,
            pending_steps: BTreeMap::new(),
            next_number: 0,
            hides_until: now,
            lines: Vec::new(),
        }
    }

    /// Returns whether a leader may not learn of an evacuation now.
    #[must_use]
    pub fn hides_evacuations(&self, now: Instant) -> bool {
        now < self.hides_until
    }

    /// Carries out what is due up to the time `until`, and returns then.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a host cannot be restarted.
    pub async fn run_until(
        &mut self,
        deployment: &mut Deployment,
        evacuations: &mut EvacuationInjector,
        until: Instant,
    ) -> std::io::Result<()> {
        loop {
            let now = Instant::now();
            if self.is_enabled && now >= self.next_series_at {
                self.begin_series(deployment, evacuations, now);
                self.next_series_at = now + self.draw(SERIES_INTERVAL_MS);
            }
            while let Some(entry) = self.pending_steps.first_entry() {
                if entry.key().0 > Instant::now() {
                    break;
                }
                let step = entry.remove();
                self.carry_out(deployment, step)?;
            }
            if Instant::now() >= until {
                return Ok(());
            }
            let mut wake_at = until;
            if self.is_enabled {
                wake_at = wake_at.min(self.next_series_at);
            }
            if let Some(((due_at, _), _)) = self.pending_steps.first_key_value() {
                wake_at = wake_at.min(*due_at);
            }
            sleep_until(wake_at).await;
        }
    }

    /// Drops all further steps and reverts every fault.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a host cannot be restarted.
    pub fn end(&mut self, deployment: &mut Deployment) -> std::io::Result<()> {
        if !self.is_enabled {
            return Ok(());
        }
        self.pending_steps.clear();
        self.hides_until = Instant::now();
        self.record(String::from("end of all series"));
        set_links(&deployment.links.select(|_| true), ProxyMode::Open);
        deployment.store.set_mode(StoreMode::Healthy);
        for worker in &deployment.workers {
            worker.worker.set_mode(WorkerMode::Healthy);
        }
        for host in 0..deployment.hosts.len() {
            let process = &deployment.hosts[host];
            process.store_view.set_write_mode(WriteMode::Prompt);
            process.store_proxy.set_mode(ProxyMode::Open);
            process.signal(Signal::CONT);
            deployment.restart_host(host)?;
        }
        Ok(())
    }

    fn draw(&mut self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range_ms))
    }

    fn record(&mut self, text: String) {
        self.lines.push((Instant::now(), text));
    }

    fn schedule(&mut self, due_at: Instant, step: SeriesStep) {
        self.pending_steps.insert((due_at, self.next_number), step);
        self.next_number += 1;
    }

    fn begin_series(
        &mut self,
        deployment: &Deployment,
        evacuations: &mut EvacuationInjector,
        now: Instant,
    ) {
        let domains = 1 + deployment
            .hosts
            .iter()
            .map(|host| host.domain)
            .max()
            .unwrap_or(0);
        let domain = self.rng.random_range(0..domains);
        let kind = self.rng.random_range(0..16);
        self.record(format!("begin series kind={kind} domain={domain}"));
        let hidden = match kind {
            0..=2 => self.lose_power(domain, now, true),
            3 => self.lose_power(domain, now, false),
            4 | 5 => self.lose_store(now),
            6..=11 => self.contest_claim(deployment, domain, now),
            12 | 13 => self.cut_links(deployment, domain, now),
            14 => self.suspend_hosts(domain, now),
            _ => self.delay_orders(deployment, now),
        };
        if !hidden.is_zero() {
            self.hides_until = self.hides_until.max(now + hidden);
            evacuations.disturbance_began(now);
        }
    }

    /// Draws the leader or all hosts of a failure domain, or all hosts.
    fn draw_group(&mut self, domain: usize) -> HostGroup {
        match self.rng.random_range(0..5) {
            0 | 1 => HostGroup::Leader(domain),
            2 | 3 => HostGroup::Domain(domain),
            _ => HostGroup::All,
        }
    }

    /// Kills hosts, with an outage of the store about the same time or without one.
    fn lose_power(&mut self, domain: usize, now: Instant, with_store: bool) -> Duration {
        let group = self.draw_group(domain);
        let restart_ms = self.rng.random_range(RESTART_MS);
        let next_kill_ms = self.rng.random_range(NEXT_KILL_MS);
        let next_kill_ms = self.rng.random_bool(0.5).then_some(next_kill_ms);
        let kill_at = now + self.draw(0..600);
        self.schedule(kill_at, SeriesStep::Kill(group, restart_ms, next_kill_ms));
        if with_store {
            self.lose_store(now + Duration::from_millis(300))
        } else {
            Duration::ZERO
        }
    }

    /// Takes the store away for some time in which all claims may lapse. Returns the time from the
    /// beginning of the series to the end of the outage.
    fn lose_store(&mut self, from: Instant) -> Duration {
        let modes = [
            StoreMode::RejectsCalls,
            StoreMode::ClosesConnections,
            StoreMode::ClosesConnections,
            StoreMode::LosesResponses,
        ];
        let mode = modes.choose(&mut self.rng).copied().unwrap_or_default();
        let outage = self.draw(OUTAGE_MS);
        self.schedule(from, SeriesStep::Store(mode));
        let lapse_at = from + outage.mul_f64(self.rng.random_range(0.0..1.0));
        match self.rng.random_range(0..3) {
            0 => self.schedule(lapse_at, SeriesStep::LapseClaims),
            1 => self.schedule(from + outage, SeriesStep::LapseClaims),
            // The leases run out by themselves if the outage lasts long enough.
            _ => {}
        }
        self.schedule(from + outage, SeriesStep::Store(StoreMode::Healthy));
        outage + Duration::from_millis(300)
    }

    /// Overwrites the claim of a failure domain while the writes of its hosts take different times, so
    /// that a holder that writes its claim again may be overtaken by another host.
    fn contest_claim(&mut self, deployment: &Deployment, domain: usize, now: Instant) -> Duration {
        let until = now + self.draw(CONTEST_MS);
        for host in find_hosts(deployment, &HostGroup::Domain(domain)) {
            let delay_ms = if self.rng.random_bool(0.5) {
                self.rng.random_range(SHORT_WRITE_DELAY_MS)
            } else {
                self.rng.random_range(LONG_WRITE_DELAY_MS)
            };
            let mode = match self.rng.random_range(0..5) {
                0 => WriteMode::Prompt,
                1 => WriteMode::Unanswered(delay_ms),
                _ => WriteMode::Delayed(delay_ms),
            };
            self.schedule(now, SeriesStep::Writes(HostGroup::Listed(vec![host]), mode));
        }
        for _ in 0..self.rng.random_range(1..4) {
            let value = if self.rng.random_bool(0.7) {
                FOREIGN_CLAIMS.choose(&mut self.rng).copied()
            } else {
                None
            };
            let overwritten_at = now + (until - now).mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(overwritten_at, SeriesStep::OverwriteClaim(domain, value));
        }
        self.schedule(
            until,
            SeriesStep::Writes(HostGroup::Domain(domain), WriteMode::Prompt),
        );
        Duration::ZERO
    }

    /// Cuts, stalls or delays some links, in both directions or one.
    fn cut_links(&mut self, deployment: &Deployment, domain: usize, now: Instant) -> Duration {
        let modes = [
            ProxyMode::Stalled,
            ProxyMode::RequestsStalled,
            ProxyMode::ResponsesStalled,
            ProxyMode::Refusing,
            ProxyMode::Delayed(200),
        ];
        let mode = modes.choose(&mut self.rng).copied().unwrap_or_default();
        let cut = self.draw(CUT_MS);
        let host = self.rng.random_range(0..deployment.hosts.len());
        let other = self.rng.random_range(0..deployment.hosts.len());
        let worker = self.rng.random_range(0..deployment.workers.len());
        let domain_of = |target| match target {
            LinkTarget::Host(host) => deployment.hosts[host].domain,
            LinkTarget::Worker(worker) => deployment.workers[worker].domain,
        };
        let shape = self.rng.random_range(0..6);
        let is_chosen = |link: &PairLink| {
            let is_inside = deployment.hosts[link.source].domain == domain;
            let goes_inside = domain_of(link.target) == domain;
            let leads_to = |host| link.target == LinkTarget::Host(host);
            match shape {
                // A pair of hosts.
                0 => {
                    (link.source == host && leads_to(other))
                        || (link.source == other && leads_to(host))
                }
                // One host on the way to another.
                1 => link.source == host && leads_to(other),
                // A whole domain from the others.
                2 | 3 => is_inside != goes_inside,
                // A host from one worker.
                4 => link.source == host && link.target == LinkTarget::Worker(worker),
                // A host from all workers and hosts.
                _ => link.source == host || leads_to(host),
            }
        };
        let links = deployment.links.select(is_chosen);
        let ends: Vec<LinkEnds> = links
            .iter()
            .map(|link| (link.source, link.target))
            .collect();
        self.schedule(now, SeriesStep::Links(ends.clone(), mode));
        self.schedule(now + cut, SeriesStep::Links(ends, ProxyMode::Open));
        let group = match shape {
            2 | 3 => HostGroup::Domain(domain),
            _ => HostGroup::Listed(vec![host]),
        };
        if shape < 2 || shape == 4 || self.rng.random_bool(0.5) {
            return Duration::ZERO;
        }
        // The store lies on the other side of the cut.
        let store_mode = match mode {
            // The proxies of the store keep their ports.
            ProxyMode::Refusing => ProxyMode::Stalled,
            mode => mode,
        };
        self.schedule(now, SeriesStep::StoreLinks(group.clone(), store_mode));
        self.schedule(now + cut, SeriesStep::StoreLinks(group, ProxyMode::Open));
        cut
    }

    /// Suspends hosts, after which they act on what they knew before.
    fn suspend_hosts(&mut self, domain: usize, now: Instant) -> Duration {
        let group = self.draw_group(domain);
        let length_ms = self.rng.random_range(SUSPENSION_MS);
        self.schedule(now, SeriesStep::Suspend(group, length_ms));
        Duration::from_millis(length_ms)
    }

    /// Makes some workers carry out orders late.
    fn delay_orders(&mut self, deployment: &Deployment, now: Instant) -> Duration {
        let delay_ms = self.rng.random_range(ORDER_DELAY_MS);
        let length = self.draw(LATE_ORDERS_MS);
        let workers: Vec<usize> = (0..deployment.workers.len())
            .filter(|_| self.rng.random_bool(0.3))
            .collect();
        let late = SeriesStep::Workers(workers.clone(), WorkerMode::LateOrders(delay_ms));
        self.schedule(now, late);
        let sound = SeriesStep::Workers(workers, WorkerMode::Healthy);
        self.schedule(now + length, sound);
        Duration::ZERO
    }

    fn carry_out(&mut self, deployment: &mut Deployment, step: SeriesStep) -> std::io::Result<()> {
        let now = Instant::now();
        self.record(format!("{step:?}"));
        match step {
            SeriesStep::Kill(group, restart_ms, next_kill_ms) => {
                let hosts = find_hosts(deployment, &group);
                self.record(format!("killed {hosts:?}"));
                for host in &hosts {
                    deployment.kill_host(*host);
                }
                let start_at = now + Duration::from_millis(restart_ms);
                self.schedule(start_at, SeriesStep::Start(hosts.clone()));
                if let Some(wait_ms) = next_kill_ms {
                    let next = SeriesStep::Kill(HostGroup::Listed(hosts), restart_ms, None);
                    self.schedule(start_at + Duration::from_millis(wait_ms), next);
                }
            }
            SeriesStep::Start(hosts) => {
                for host in hosts {
                    deployment.restart_host(host)?;
                }
            }
            SeriesStep::Suspend(group, length_ms) => {
                let hosts = find_hosts(deployment, &group);
                self.record(format!("suspended {hosts:?}"));
                for host in &hosts {
                    deployment.hosts[*host].signal(Signal::STOP);
                }
                let resume_at = now + Duration::from_millis(length_ms);
                self.schedule(resume_at, SeriesStep::Resume(hosts));
            }
            SeriesStep::Resume(hosts) => {
                for host in hosts {
                    deployment.hosts[host].signal(Signal::CONT);
                }
            }
            SeriesStep::Store(mode) => deployment.store.set_mode(mode),
            SeriesStep::LapseClaims => deployment.store.expire_all_leases(),
            SeriesStep::OverwriteClaim(domain, value) => {
                let key = format!("pools/domain-{domain}");
                match value {
                    Some(value) => deployment.store.put_bytes(&key, value),
                    None => deployment.store.remove(&key),
                }
            }
            SeriesStep::Writes(group, mode) => {
                for host in find_hosts(deployment, &group) {
                    deployment.hosts[host].store_view.set_write_mode(mode);
                }
            }
            SeriesStep::StoreLinks(group, mode) => {
                for host in find_hosts(deployment, &group) {
                    deployment.hosts[host].store_proxy.set_mode(mode);
                }
            }
            SeriesStep::Links(ends, mode) => {
                let links = deployment
                    .links
                    .select(|link| ends.contains(&(link.source, link.target)));
                set_links(&links, mode);
            }
            SeriesStep::Workers(workers, mode) => {
                for worker in workers {
                    deployment.workers[worker].worker.set_mode(mode);
                }
            }
        }
        Ok(())
    }
}

fn find_hosts(deployment: &Deployment, group: &HostGroup) -> Vec<usize> {
    let all = 0..deployment.hosts.len();
    match group {
        HostGroup::All => all.collect(),
        HostGroup::Domain(domain) => all
            .filter(|host| deployment.hosts[*host].domain == *domain)
            .collect(),
        HostGroup::Listed(hosts) => hosts.clone(),
        HostGroup::Leader(domain) => deployment.leader(*domain).into_iter().collect(),
    }
}
