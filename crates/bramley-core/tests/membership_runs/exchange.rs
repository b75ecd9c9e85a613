//! An in-memory exchange of news between membership kernels in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bramley_core::membership::{
    HeartbeatNews, MemberRecord, MemberState, MembershipAction, MembershipKernel,
    MembershipSettings,
};
use bramley_core::names::{DomainName, HostName, WorkerName};
use bramley_core::units::{IncarnationId, UnixTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time after which an unanswered heartbeat counts as failed.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that HTTP/2, TCP and IP add to a message.
pub const OVERHEAD_BYTES: u64 = 100;

/// What the network does to messages.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplicates: f64,
    pub reordering: f64,
    pub cuts: BTreeSet<(usize, usize)>,
}

/// Counts of what the exchange did.
#[derive(Clone, Debug, Default)]
pub struct ExchangeCounts {
    pub steps: u64,
    pub messages: u64,
    pub bytes: u64,
    pub lost: u64,
    pub duplicated: u64,
    pub reordered: u64,
    pub blocked: u64,
    /// Bytes sent and received, by host.
    pub host_bytes: Vec<u64>,
}

/// One running process.
pub struct Process {
    pub kernel: MembershipKernel,
    pub started_at: UnixTime,
    pub frozen_until: UnixTime,
    tick_at: UnixTime,
}

/// One host, whose process may be down.
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
        news: HeartbeatNews,
    },
    Reply {
        call: u64,
        news: HeartbeatNews,
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

/// An action that tests look at, with the host that returned it.
pub struct Observed {
    pub host: usize,
    pub action: MembershipAction,
}

/// Hosts, the messages between them and the virtual time.
pub struct Exchange {
    pub now: UnixTime,
    pub hosts: Vec<Host>,
    pub faults: NetworkFaults,
    pub counts: ExchangeCounts,
    pub rng: StdRng,
    pub observed: Vec<Observed>,
    pub measure: fn(&HeartbeatNews) -> usize,
    settings: MembershipSettings,
    events: BTreeMap<(UnixTime, u64), (usize, IncarnationId, Event)>,
    sequence: u64,
    calls: BTreeSet<u64>,
}

impl Exchange {
    /// Makes hosts in failure domains, all started at the same time with up to 3 seeds each.
    pub fn new(seed: u64, domains: usize, hosts: usize, settings: MembershipSettings) -> Self {
        let mut exchange = Self {
            now: UnixTime::from_millis(1_800_000_000_000),
            hosts: Vec::new(),
            faults: NetworkFaults::default(),
            counts: ExchangeCounts {
                host_bytes: vec![0; hosts],
                ..ExchangeCounts::default()
            },
            rng: StdRng::seed_from_u64(seed),
            observed: Vec::new(),
            measure: |_| 0,
            settings,
            events: BTreeMap::new(),
            sequence: 0,
            calls: BTreeSet::new(),
        };
        for index in 0..hosts {
            exchange.hosts.push(Host {
                record: first_record(index, domains),
                domain: index % domains,
                process: None,
            });
        }
        for host in 0..hosts {
            exchange.start(host);
        }
        exchange
    }

    /// Starts a new incarnation on a host; a running one ends without a word.
    pub fn start(&mut self, host: usize) {
        let record = &mut self.hosts[host].record;
        record.incarnation = IncarnationId::from_bits(self.rng.random());
        record.started = UnixTime::from_millis(self.now.as_millis());
        let own = record.clone();
        let mut settings = self.settings.clone();
        for step in 1..=3 {
            let sibling = (host + step) % self.hosts.len();
            settings.seeds.push(self.hosts[sibling].record.peer_address);
        }
        let kernel = MembershipKernel::new(settings, own, &mut self.rng, self.now);
        self.hosts[host].process = Some(Process {
            kernel,
            started_at: self.now,
            frozen_until: self.now,
            tick_at: UnixTime::NEVER,
        });
        self.plan_tick(host);
    }

    /// Ends a host's process without a word.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
    }

    /// Ends a host's process in the planned way.
    pub fn say_gone(&mut self, host: usize) {
        self.drive(host, |kernel, now| kernel.say_gone(now));
        self.kill(host);
    }

    /// Pauses a host's process.
    pub fn freeze(&mut self, host: usize, span: Duration) {
        let until = self.now.after(span);
        if let Some(process) = &mut self.hosts[host].process {
            process.frozen_until = process.frozen_until.max(until);
        }
    }

    /// Tells whether a process has run without a pause since before `since`.
    pub fn ran_since(&self, host: usize, since: UnixTime) -> bool {
        let process = self.hosts[host].process.as_ref();
        process.is_some_and(|process| process.started_at < since && process.frozen_until <= since)
    }

    /// Hands an event to a host's kernel, unless it is down or paused, and does the actions.
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
            self.perform(host, action);
        }
        self.plan_tick(host);
    }

    /// Runs events up to a time.
    pub fn run_until(&mut self, end: UnixTime) {
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > end {
                break;
            }
            if let Some(((at, _), (host, target, event))) = self.events.pop_first() {
                self.now = self.now.max(at);
                self.step(host, target, event);
            }
        }
        self.now = self.now.max(end);
    }

    /// Runs for a span.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now.after(span));
    }

    /// Tells whether two failure domains reach each other.
    pub fn is_linked(&self, left: usize, right: usize) -> bool {
        let pair = (left.min(right), left.max(right));
        !self.faults.cuts.contains(&pair)
    }

    /// Returns the hosts whose processes are up, paused ones included.
    pub fn running(&self) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts
            .filter(|host| self.hosts[*host].process.is_some())
            .collect()
    }

    fn step(&mut self, host: usize, target: IncarnationId, event: Event) {
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
            // A tick that was planned before an earlier one was found necessary is stale.
            Event::Tick if process.tick_at > self.now => {}
            Event::Tick => {
                process.tick_at = UnixTime::NEVER;
                self.drive(host, MembershipKernel::on_tick);
            }
            Event::Request {
                from,
                sender,
                call,
                news,
            } => {
                let domain = news.sender.domain.clone();
                self.drive(host, |kernel, now| kernel.on_news(&news, now));
                let reply = self.reply_news(host, &domain);
                self.send(
                    host,
                    from,
                    sender,
                    Event::Reply {
                        call,
                        news: reply.clone(),
                    },
                    &reply,
                );
            }
            Event::Reply { call, news } => {
                self.calls.remove(&call);
                self.drive(host, |kernel, now| kernel.on_news(&news, now));
            }
            Event::Timeout { call, address } => {
                if self.calls.remove(&call) {
                    self.drive(host, |kernel, now| kernel.on_send_failed(address, now));
                }
            }
            Event::Fetch {
                from,
                sender,
                address,
            } => {
                let generation = process.kernel.generation();
                let delay = self.delay();
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

    fn reply_news(&mut self, host: usize, domain: &DomainName) -> HeartbeatNews {
        let now = self.now;
        let process = self.hosts[host].process.as_mut();
        process
            .expect("the process runs")
            .kernel
            .reply_news(domain, now)
    }

    fn perform(&mut self, host: usize, action: MembershipAction) {
        let own = self.hosts[host].record.incarnation;
        match action {
            MembershipAction::SendHeartbeat { address, news } => {
                let call = self.sequence;
                self.calls.insert(call);
                let timeout = Event::Timeout { call, address };
                self.schedule(self.now.after(SEND_TIMEOUT), host, own, timeout);
                let to = self.host_at(address);
                let target = self.hosts[to].record.incarnation;
                let request = Event::Request {
                    from: host,
                    sender: own,
                    call,
                    news: (*news).clone(),
                };
                self.send(host, to, target, request, &news);
            }
            MembershipAction::FetchConfiguration { address } => {
                let to = self.host_at(address);
                if self.is_linked(self.hosts[host].domain, self.hosts[to].domain) {
                    let target = self.hosts[to].record.incarnation;
                    let at = self.now.after(self.delay());
                    let fetch = Event::Fetch {
                        from: host,
                        sender: own,
                        address,
                    };
                    self.schedule(at, to, target, fetch);
                }
            }
            action => self.observed.push(Observed { host, action }),
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        target: IncarnationId,
        event: Event,
        news: &HeartbeatNews,
    ) {
        self.counts.messages += 1;
        let bytes = (self.measure)(news) as u64 + OVERHEAD_BYTES;
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
            let at = self.now.after(self.delay());
            self.schedule(at, to, target, event.clone());
        }
        let at = self.now.after(self.delay());
        self.schedule(at, to, target, event);
    }

    fn delay(&mut self) -> Duration {
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

    fn plan_tick(&mut self, host: usize) {
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
        position.expect("heartbeats go to known addresses only")
    }
}

fn first_record(index: usize, domains: usize) -> MemberRecord {
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
