//! Six dispatch kernels that tell each other their team demands in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::job::{JobSpec, ReplyToken};
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{AttemptEnd, JobSubmission, KernelEvent, PeerView};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::membership::{HeardDemand, MembershipSettings, TeamDemand};
use bramley_core::names::{DomainName, HostName, TeamName};
use bramley_core::units::{AttemptId, TicketSerial, UnixTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{TEAM, configuration_of, job, worker};

/// Start of a run.
pub const START: UnixTime = UnixTime::from_millis(1_000_000);

/// Number of hosts, each with a worker in a failure domain of its own.
pub const HOSTS: usize = 6;

/// Time between two rounds of messages.
pub const STEP: Duration = Duration::from_millis(500);

/// Longest way of a message in steps.
pub const MAX_LAG_STEPS: usize = 3;

/// Team with a large quota.
pub const OTHER_TEAM: &str = "organisers";

#[derive(Debug)]
struct BenchHost {
    kernel: DispatchKernel,
    running: Vec<AttemptId>,
    heard: BTreeMap<usize, Vec<HeardDemand>>,
    cut_off: bool,
}

#[derive(Debug)]
struct DemandMessage {
    from: usize,
    to: usize,
    arrives: UnixTime,
    demands: Vec<TeamDemand>,
}

/// Kernels under test and the messages between them.
#[derive(Debug)]
pub struct QuotaBench {
    hosts: Vec<BenchHost>,
    messages: Vec<DemandMessage>,
    now: UnixTime,
    serial: u64,
    /// Longest way of the messages sent next, in steps.
    pub lag_steps: usize,
    /// Part of the messages that is lost, in percent.
    pub lost_percent: u32,
    /// Whether no demands are told.
    pub mute: bool,
}

fn host_name(host: usize) -> HostName {
    HostName::from(format!("entry-{host}").as_str())
}

fn domain_name(host: usize) -> String {
    format!("domain-{host}")
}

impl QuotaBench {
    /// Makes hosts that know each other, with the quota of the first team.
    pub fn new(quota: u32) -> Self {
        let mut hosts = Vec::new();
        for host in 0..HOSTS {
            let identity = KernelIdentity {
                host: host_name(host),
                domain: DomainName::from(domain_name(host).as_str()),
                seed: 1,
            };
            hosts.push(BenchHost {
                kernel: DispatchKernel::new(identity, KernelSettings::default()),
                running: Vec::new(),
                heard: BTreeMap::new(),
                cut_off: false,
            });
        }
        let mut bench = Self {
            hosts,
            messages: Vec::new(),
            now: START,
            serial: 0,
            lag_steps: 0,
            lost_percent: 0,
            mute: false,
        };
        bench.configure(quota);
        for host in 0..HOSTS {
            let profile = worker(&format!("worker-{host}"), &domain_name(host), 100);
            bench.handle(host, KernelEvent::WorkersListed(vec![profile]));
        }
        bench.run(1);
        bench
    }

    /// Brings a quota of the first team into force.
    pub fn configure(&mut self, quota: u32) {
        let configuration = configuration_of(&[(TEAM, quota), (OTHER_TEAM, 10_000)]);
        for host in 0..HOSTS {
            self.handle(host, KernelEvent::Configured(Arc::clone(&configuration)));
        }
    }

    /// Submits a job whose deadline lies after the run.
    pub fn submit(&mut self, host: usize, team: &str, tasks: usize) {
        self.serial += 1;
        let expiry = self.now.after(Duration::from_secs(3_600));
        let spec = JobSpec {
            team: TeamName::from(team),
            ..job(&vec!["payload"; tasks], expiry, false)
        };
        let submission = JobSubmission {
            serial: TicketSerial(self.serial),
            expiry,
            digest: spec.digest(),
            spec,
            token: ReplyToken(self.serial),
        };
        self.handle(host, KernelEvent::Submitted(submission));
    }

    /// Cuts a host off from all the others.
    pub fn cut_off(&mut self, host: usize) {
        self.hosts[host].cut_off = true;
    }

    /// Returns the limits of the first team.
    pub fn limits(&self) -> [u32; HOSTS] {
        let team = TeamName::from(TEAM);
        std::array::from_fn(|host| {
            let limit = self.hosts[host].kernel.team_limit(&team);
            limit.expect("the team is configured")
        })
    }

    /// Returns the number of tasks that run from a host.
    pub fn running(&self, host: usize) -> usize {
        self.hosts[host].running.len()
    }

    /// Ends the oldest running task of a host.
    pub fn end_one(&mut self, host: usize) {
        let attempt = self.hosts[host].running.remove(0);
        let end = AttemptEnd::Finished(Arc::from("done"));
        self.handle(host, KernelEvent::AttemptEnded { attempt, end });
    }

    /// Ends a random number of tasks on each host.
    pub fn end_some(&mut self, rng: &mut impl Rng) {
        for host in 0..HOSTS {
            for _ in 0..rng.random_range(0..=self.running(host)) {
                self.end_one(host);
            }
        }
    }

    /// Lets time pass in which no host does anything.
    pub fn freeze(&mut self, span: Duration) {
        self.now = self.now.after(span);
    }

    /// Does steps without lost messages.
    pub fn run(&mut self, steps: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for _ in 0..steps {
            self.step(&mut rng);
        }
    }

    /// Lets time pass, the messages that are due arrive and every host send to every other.
    pub fn step(&mut self, rng: &mut impl Rng) {
        self.now = self.now.after(STEP);
        self.deliver();
        for host in 0..HOSTS {
            let peers = self.peers_of(host);
            self.handle(host, KernelEvent::PeersChanged(peers));
            let demands = self.hosts[host].heard.values().flatten().cloned().collect();
            self.handle(host, KernelEvent::DemandsHeard(demands));
        }
        for from in 0..HOSTS {
            for to in 0..HOSTS {
                self.send(from, to, rng);
            }
        }
    }

    fn are_cut(&self, first: usize, second: usize) -> bool {
        self.hosts[first].cut_off || self.hosts[second].cut_off
    }

    fn send(&mut self, from: usize, to: usize, rng: &mut impl Rng) {
        let lost = rng.random_range(0..100) < self.lost_percent;
        let lag = rng.random_range(0..=self.lag_steps);
        if from == to || lost || self.mute || self.are_cut(from, to) {
            return;
        }
        self.messages.push(DemandMessage {
            from,
            to,
            arrives: self.now.after(STEP * u32::try_from(lag).expect("small")),
            demands: self.hosts[from].kernel.demands().to_vec(),
        });
    }

    fn deliver(&mut self) {
        let life = Duration::from_millis(MembershipSettings::default().demand_life_ms);
        for message in std::mem::take(&mut self.messages) {
            if message.arrives > self.now {
                self.messages.push(message);
                continue;
            }
            let mut heard = Vec::new();
            for demand in message.demands {
                heard.push(HeardDemand {
                    host: host_name(message.from),
                    team: demand.team,
                    tasks: demand.tasks,
                    heard_at: self.now,
                    until: self.now.after(life),
                });
            }
            if !heard.is_empty() {
                self.hosts[message.to].heard.insert(message.from, heard);
            }
        }
    }

    fn peers_of(&self, own: usize) -> Vec<PeerView> {
        let mut peers = Vec::new();
        for host in 0..HOSTS {
            if host != own {
                let reachable = !self.are_cut(own, host);
                peers.push(PeerView {
                    host: host_name(host),
                    domain: DomainName::from(domain_name(host).as_str()),
                    shares_slots: reachable,
                    reachable,
                    idle_slots: 0,
                    idle_accelerator_slots: 0,
                });
            }
        }
        peers
    }

    fn handle(&mut self, host: usize, event: KernelEvent) {
        let mut actions = Vec::new();
        let host = &mut self.hosts[host];
        host.kernel.handle(event, self.now, &mut actions);
        for action in actions {
            if let KernelAction::Start(start) = action {
                host.running.push(start.attempt);
            }
        }
    }
}
