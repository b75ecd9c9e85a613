//! Simulation of membership kernels that exchange heartbeats over an in-memory network in virtual
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bramley_core::membership::{
    HeartbeatMessage, MemberRecord, MemberState, MembershipAction, MembershipKernel,
    MembershipSettings,
};
use bramley_core::names::{DomainName, HostName, WorkerName};
use bramley_core::units::{IncarnationId, UnixTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time after which an unanswered heartbeat counts as failed.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Overhead of HTTP/2, TCP and IP per message, in bytes.
pub const OVERHEAD_BYTES: u64 = 100;

/// Faults of the network.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplicates: f64,
    /// Probability that a message is delayed so that later ones overtake it.
    pub reordering: f64,
    /// Pairs of failure domains that cannot communicate, the smaller number first.
    pub blocked_links: BTreeSet<(usize, usize)>,
}

/// Counters of the simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationCounts {
    /// Number of processed events.
    pub steps: u64,
    pub messages: u64,
    pub bytes: u64,
    pub lost: u64,
    pub duplicated: u64,
    pub reordered: u64,
    /// Number of messages blocked by a partition.
    pub blocked: u64,
    /// Bytes sent and received by each host.
    pub host_bytes: Vec<u64>,
}

/// A running process.
pub struct Process {
    pub kernel: MembershipKernel,
    pub started_at: UnixTime,
    pub frozen_until: UnixTime,
    tick_at: UnixTime,
}

/// A host, whose process may be down.
pub struct Host {
    pub record: MemberRecord,
    pub domain: usize,
    pub process: Option<Process>,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Request {
        from: usize,
        sender: IncarnationId,
        call: u64,
        message: HeartbeatMessage,
    },
    Reply {
        call: u64,
        message: HeartbeatMessage,
    },
    Timeout {
        call: u64,
        address: SocketAddr,
    },
    Fetch {
        from: usize,
        sender: IncarnationId,
        address: SocketAddr,
    },
    Fetched {
        generation: u64,
    },
    FetchFailed {
        address: SocketAddr,
    },
}

/// An action that is left to the tests to inspect, with the host that returned it.
pub struct ObservedAction {
    pub host: usize,
    pub action: MembershipAction,
}

/// State of the simulation: hosts, pending events and the virtual time.
pub struct Simulation {
    pub now: UnixTime,
    pub hosts: Vec<Host>,
    pub faults: NetworkFaults,
    pub counts: SimulationCounts,
    pub rng: StdRng,
    pub observed_actions: Vec<ObservedAction>,
    /// Returns the encoded size of a message.
    pub message_size: fn(&HeartbeatMessage) -> usize,
    settings: MembershipSettings,
    events: BTreeMap<(UnixTime, u64), (usize, IncarnationId, Event)>,
    sequence: u64,
    pending_calls: BTreeSet<u64>,
}

impl Simulation {
    /// Creates `hosts` hosts distributed over `domains` failure domains, and starts them all at
    /// once with up to three seed addresses each.
    pub fn new(seed: u64, domains: usize, hosts: usize, settings: MembershipSettings) -> Self {
        let mut simulation = Self {
            now: UnixTime::from_millis(1_800_000_000_000),
            hosts: Vec::new(),
            faults: NetworkFaults::default(),
            counts: SimulationCounts {
                host_bytes: vec![0; hosts],
                ..SimulationCounts::default()
            },
            rng: StdRng::seed_from_u64(seed),
            observed_actions: Vec::new(),
            message_size: |_| 0,
            settings,
            events: BTreeMap::new(),
            sequence: 0,
            pending_calls: BTreeSet::new(),
        };
        for index in 0..hosts {
            simulation.hosts.push(Host {
                record: initial_record(index, domains),
                domain: index % domains,
                process: None,
            });
        }
        for host in 0..hosts {
            simulation.start(host);
        }
        simulation
    }

    /// Starts a new incarnation on a host; a running one is killed.
    pub fn start(&mut self, host: usize) {
        let record = &mut self.hosts[host].record;
        record.incarnation = IncarnationId::from_bits(self.rng.random());
        record.started = UnixTime::from_millis(self.now.as_millis());
        let own = record.clone();
        let mut settings = self.settings.clone();
        for offset in 1..=3 {
            let seed_host = (host + offset) % self.hosts.len();
            settings
                .seeds
                .push(self.hosts[seed_host].record.peer_address);
        }
        let kernel = MembershipKernel::new(settings, own, &mut self.rng, self.now);
        self.hosts[host].process = Some(Process {
            kernel,
            started_at: self.now,
            frozen_until: self.now,
            tick_at: UnixTime::NEVER,
        });
        self.schedule_tick(host);
    }

    /// Kills a host's process without any announcement.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
    }

    /// Ends a host's process gracefully: it announces its end first.
    pub fn shut_down(&mut self, host: usize) {
        self.drive(host, |kernel, now| kernel.announce_gone(now));
        self.kill(host);
    }

    /// Freezes a host's process, which then handles no events until `duration` has passed.
    pub fn freeze(&mut self, host: usize, duration: Duration) {
        let until = self.now.after(duration);
        if let Some(process) = &mut self.hosts[host].process {
            process.frozen_until = process.frozen_until.max(until);
        }
    }

    /// Returns whether a host's process started before `since` and has not been frozen since then.
    pub fn ran_continuously_since(&self, host: usize, since: UnixTime) -> bool {
        let process = self.hosts[host].process.as_ref();
        process.is_some_and(|process| process.started_at < since && process.frozen_until <= since)
    }

    /// Passes an event to a host's kernel and executes the resulting actions. Does nothing if the
    /// process is down or frozen.
    pub fn drive(
        &mut self,
        host: usize,
        event: impl FnOnce(&mut MembershipKernel, UnixTime) -> Vec<MembershipAction>,
    ) {
        let now = self.now;
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if process.frozen_until > now {
            return;
        }
        let actions = event(&mut process.kernel, now);
        for action in actions {
            self.execute(host, action);
        }
        self.schedule_tick(host);
    }

    /// Processes all events up to a time.
    pub fn run_until(&mut self, end: UnixTime) {
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > end {
                break;
            }
            if let Some(((at, _), (host, target, event))) = self.events.pop_first() {
                self.now = self.now.max(at);
                self.handle_event(host, target, event);
            }
        }
        self.now = self.now.max(end);
    }

    /// Processes all events within a duration.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now.after(duration));
    }

    /// Returns whether two failure domains can communicate.
    pub fn is_linked(&self, left: usize, right: usize) -> bool {
        let pair = (left.min(right), left.max(right));
        !self.faults.blocked_links.contains(&pair)
    }

    /// Returns the hosts whose process is up, including frozen ones.
    pub fn running(&self) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts
            .filter(|host| self.hosts[*host].process.is_some())
            .collect()
    }

    fn handle_event(&mut self, host: usize, target: IncarnationId, event: Event) {
        self.counts.steps += 1;
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if process.kernel.own().incarnation != target && !matches!(event, Event::Request { .. }) {
            return;
        }
        if process.frozen_until > self.now {
            let wake_at = process.frozen_until;
            self.schedule(wake_at, host, target, event);
            return;
        }
        match event {
            // The tick was superseded by an earlier one.
            Event::Tick if process.tick_at > self.now => {}
            Event::Tick => {
                process.tick_at = UnixTime::NEVER;
                self.drive(host, MembershipKernel::on_tick);
            }
            Event::Request {
                from,
                sender,
                call,
                message,
            } => {
                let domain = message.sender.domain.clone();
                self.drive(host, |kernel, now| kernel.on_heartbeat(&message, now));
                let reply = self.heartbeat_reply(host, &domain);
                self.send(
                    host,
                    from,
                    sender,
                    Event::Reply {
                        call,
                        message: reply.clone(),
                    },
                    &reply,
                );
            }
            Event::Reply { call, message } => {
                self.pending_calls.remove(&call);
                self.drive(host, |kernel, now| kernel.on_heartbeat(&message, now));
            }
            Event::Timeout { call, address } => {
                if self.pending_calls.remove(&call) {
                    self.drive(host, |kernel, now| kernel.on_heartbeat_failed(address, now));
                }
            }
            Event::Fetch {
                from,
                sender,
                address,
            } => {
                let generation = process.kernel.generation();
                let delay = self.random_delay();
                let event = if self.rng.random_bool(self.faults.loss) {
                    Event::FetchFailed { address }
                } else {
                    Event::Fetched { generation }
                };
                self.schedule(self.now.after(delay), from, sender, event);
            }
            Event::Fetched { generation } => {
                self.drive(host, |kernel, now| kernel.set_generation(generation, now));
            }
            Event::FetchFailed { address } => {
                self.drive(host, |kernel, now| kernel.on_fetch_failed(address, now));
            }
        }
    }

    fn heartbeat_reply(&mut self, host: usize, domain: &DomainName) -> HeartbeatMessage {
        let now = self.now;
        let process = self.hosts[host].process.as_mut();
        process
            .expect("the process runs")
            .kernel
            .heartbeat_reply(domain, now)
    }

    fn execute(&mut self, host: usize, action: MembershipAction) {
        let own = self.hosts[host].record.incarnation;
        match action {
            MembershipAction::SendHeartbeat { address, message } => {
                let call = self.sequence;
                self.pending_calls.insert(call);
                let timeout = Event::Timeout { call, address };
                self.schedule(self.now.after(SEND_TIMEOUT), host, own, timeout);
                let to = self.host_at(address);
                let target = self.hosts[to].record.incarnation;
                let request = Event::Request {
                    from: host,
                    sender: own,
                    call,
                    message: (*message).clone(),
                };
                self.send(host, to, target, request, &message);
            }
            MembershipAction::FetchConfiguration { address } => {
                let to = self.host_at(address);
                if self.is_linked(self.hosts[host].domain, self.hosts[to].domain) {
                    let target = self.hosts[to].record.incarnation;
                    let at = self.now.after(self.random_delay());
                    let fetch = Event::Fetch {
                        from: host,
                        sender: own,
                        address,
                    };
                    self.schedule(at, to, target, fetch);
                }
            }
            action => self.observed_actions.push(ObservedAction { host, action }),
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        target: IncarnationId,
        event: Event,
        message: &HeartbeatMessage,
    ) {
        self.counts.messages += 1;
        let bytes = (self.message_size)(message) as u64 + OVERHEAD_BYTES;
        self.counts.bytes += bytes;
        self.counts.host_bytes[from] += bytes;
        self.counts.host_bytes[to] += bytes;
        if !self.is_linked(self.hosts[from].domain, self.hosts[to].domain) {
            self.counts.blocked += 1;
            return;
        }
        if self.rng.random_bool(self.faults.loss) {
            self.counts.lost += 1;
            return;
        }
        if self.rng.random_bool(self.faults.duplicates) {
            self.counts.duplicated += 1;
            let at = self.now.after(self.random_delay());
            self.schedule(at, to, target, event.clone());
        }
        let at = self.now.after(self.random_delay());
        self.schedule(at, to, target, event);
    }

    fn random_delay(&mut self) -> Duration {
        if self.rng.random_bool(self.faults.reordering) {
            self.counts.reordered += 1;
            return Duration::from_millis(self.rng.random_range(5..400));
        }
        Duration::from_micros(self.rng.random_range(100..3_000))
    }

    fn schedule(&mut self, at: UnixTime, host: usize, target: IncarnationId, event: Event) {
        self.sequence += 1;
        self.events
            .insert((at, self.sequence), (host, target, event));
    }

    fn schedule_tick(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let wakeup = process.kernel.next_wakeup().max(self.now);
        if wakeup < process.tick_at {
            process.tick_at = wakeup;
            let incarnation = process.kernel.own().incarnation;
            self.schedule(wakeup, host, incarnation, Event::Tick);
        }
    }

    fn host_at(&self, address: SocketAddr) -> usize {
        let position = self
            .hosts
            .iter()
            .position(|host| host.record.peer_address == address);
        position.expect("messages are only sent to addresses of hosts")
    }
}

fn initial_record(index: usize, domains: usize) -> MemberRecord {
    let octet = u8::try_from(index).expect("at most 255 hosts");
    MemberRecord {
        host: HostName::new(format!("entry-host-{index:03}")),
        domain: DomainName::new(format!("domain-{}", index % domains)),
        incarnation: IncarnationId::default(),
        started: UnixTime::default(),
        peer_address: ([10, 20, 30, octet], 17_000).into(),
        state: MemberState::Alive,
        heartbeat: 0,
    }
}

/// Returns the name of a worker of a failure domain.
pub fn worker_name(domain: usize, index: usize) -> WorkerName {
    WorkerName::new(format!("worker-{domain}-{index:03}"))
}
