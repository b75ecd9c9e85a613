//! Connections between relays and pools that are reset, hosts that process their events late, and
//! callers whose connections end, for a simulation that asks for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::job::JobName;
use bramley_pool::message::{JobOutcome, PoolMessage, RelayId, RelayMessage};
use bramley_pool::pool_connection::{LossCause, PoolConnection, PoolLoss};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::JobAnswer;
use bramley_pool::worker::{CallAnswer, WorkerCall};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{DELAY, Event, TestJob, World};

/// Longest time from the reset of a connection until one of its ends notices it.
const MAX_NOTICE_MS: u64 = 60;

/// Delay before a relay opens a connection again, as in the driver.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Interval of heartbeats, which bounds the age of the last message of a connected pool.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest difference in the processing of two sockets by a host that catches up.
const MAX_SOCKET_SHIFT_MS: u64 = 4;

/// Probability that a call to a worker fails while calls are being reset.
const CALL_RESET_PROBABILITY: f64 = 0.25;

/// Longest delay of a call that is carried out after its connection was reset.
const MAX_LATE_CALL_MS: u64 = 60;

/// Probability that a relay does not reach the pool again for seconds.
const PARTITION_PROBABILITY: f64 = 0.05;

/// Longest time for which it does not, which is beyond the time after which the relay takes the runs
/// of the lost pool for ended.
const MAX_PARTITION_MS: u64 = 4_000;

/// Longest time until an earlier leader that the store does not answer learns of its successor.
const MAX_LATE_CLAIM_MS: u64 = 2_000;

/// Silence after which either end of a connection takes it for lost, as in the driver.
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time from which a host that stood still knows so until it processes what arrived meanwhile.
const WAKE_TIME: Duration = Duration::from_millis(1);

/// Time after a pause in which what arrives does not show that its sender is alive, as in the driver.
const RESUME_WAIT: Duration = Duration::from_millis(100);

/// Shortest time in milliseconds after which the end of a caller's connection is first retransmitted to a
/// host that stands still; the delay doubles each time.
const FIRST_RETRANSMISSION_MS: u64 = 200;

/// Range of that time in milliseconds, which differs by connection.
const RETRANSMISSION_RANGE_MS: u64 = 101;

/// Time after which a client sends a job again whose outcome it was not told.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// HTTP status of an answer that promises that the job has not run.
const NOT_RUN_STATUS: u16 = 503;

/// Event of a connection. Each `usize` is the index of a host or the number of a connection.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A message of the relay arrives at the pool.
    ToPool(usize, RelayMessage),
    /// A message of the pool arrives at the relay.
    ToRelay(usize, PoolMessage),
    /// The hello of a new connection arrives at the pool.
    PoolAccepts(usize),
    /// The first heartbeat arrives at the relay.
    RelayConnects(usize),
    /// The pool notices that the connection was reset.
    PoolNotices(usize),
    /// The relay notices that the connection was reset.
    RelayNotices(usize),
    /// A host reads from the store that its failure domain or another has a new leader.
    ClaimRead(usize, DomainName),
    /// A heartbeat tells the relay that the pool is not the leader any more.
    PoolSteppedDown(usize),
    /// The pool of a host whose relay has turned to another leader gives up its own leadership.
    StepsDown(usize),
    /// The relay of a host connects to the pool of a failure domain.
    Reconnect(usize, DomainName),
    /// A job arrives at a host on the caller's connection with this number.
    CallerArrives(usize, u64, TestJob),
    /// A client sends a job to a host again, unless this earlier caller got an answer.
    ClientResends(u64, usize, TestJob),
    /// The host notices that the caller's connection with this number has ended.
    CallerLeaves(usize, u64, String),
    /// A host that stood still for this time runs again.
    Wakes(usize, Duration),
    /// A heartbeat of the relay arrives at the pool.
    Beat(usize),
}

/// Source of events of a host, which are processed in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Socket {
    Link(usize),
    Caller(u64),
    Workers,
}

/// A connection of a relay to a pool.
#[derive(Debug)]
struct Link {
    relay: usize,
    pool: usize,
    /// Connection as the relay knows it, once the first heartbeat has arrived.
    connection: Option<PoolConnection>,
    relay_is_open: bool,
    pool_is_open: bool,
    last_heard_at: UnixTime,
    /// Time at which the pool last got a heartbeat of the relay.
    pool_heard_at: UnixTime,
    /// Time from which messages to the pool are lost.
    lost_to_pool_from: UnixTime,
    /// Time from which messages to the relay are lost.
    lost_to_relay_from: UnixTime,
}

/// Time in which a host processes nothing.
#[derive(Clone, Copy, Debug, Default)]
struct BusySpan {
    until: UnixTime,
    /// Varies the order in which the host then processes its sockets.
    seed: u64,
    /// Whether the host stands still, so that nothing that is sent to it meanwhile is acknowledged.
    is_frozen: bool,
}

/// State of all connections.
#[derive(Debug)]
pub struct Links {
    rng: ChaCha8Rng,
    connections: Vec<Link>,
    busy: BTreeMap<usize, BusySpan>,
    /// Current caller of each open job of a host.
    callers: BTreeMap<(usize, String), u64>,
    /// Hosts that take themselves for leaders.
    local_leaders: BTreeSet<usize>,
    /// Latest connection of the relay of a host to the pool of the same host.
    local_connections: BTreeMap<usize, PoolConnection>,
    /// Time for which a host that has read the claim of its successor still leads, because the
    /// store has not answered its own write of the claim yet.
    pub claim_write_delay: Option<Duration>,
    /// Times after which hosts read the claim of a new leader, for hosts that the store does not
    /// answer.
    pub claim_read_delays: BTreeMap<usize, Duration>,
    /// Fault: the end of a former leader's term counts as the loss of whichever pool its relay is
    /// connected to.
    pub loses_current_pool: bool,
    next_caller: u64,
    /// Times at which callers' connections end on the side of the client.
    ends_of_callers: BTreeMap<u64, UnixTime>,
    /// Callers that got an answer.
    answered_callers: BTreeSet<u64>,
    /// All jobs by name.
    jobs: BTreeMap<String, TestJob>,
    /// Requests that hosts which stand still have not acknowledged yet, by caller, with the time at which
    /// they were sent.
    unacknowledged: BTreeMap<u64, UnixTime>,
    /// Last caller of each host whose connection it has retired.
    retired_callers: BTreeMap<usize, u64>,
    /// Fault: hosts that stood still read requests over the connections that they had before.
    pub keeps_callers: bool,
    /// Jobs that were refused as not run.
    pub refused: BTreeSet<String>,
    /// Hosts whose calls to workers are being reset, with the time until which they are.
    calls_reset_until: BTreeMap<usize, UnixTime>,
    /// Whether clients send a job again whose outcome is unknown.
    pub resends_unknown: bool,
    /// Jobs that their clients sent again sooner than the platform's pause after their connection
    /// had ended.
    pub resent_early: BTreeSet<String>,
    /// Number of connections that were reset.
    pub resets: usize,
    /// Number of refusals that relays got from pools.
    pub refusals: usize,
}

impl Links {
    fn current(&self, relay: usize, domain: &DomainName, world: &World) -> Option<usize> {
        self.connections.iter().rposition(|link| {
            link.relay == relay && link.relay_is_open && world.hosts[link.pool].domain == *domain
        })
    }

    /// Draws what becomes of a call of a host's pool to a worker.
    fn draw_call(&mut self, host: usize, now: UnixTime) -> CallFate {
        let until = self.calls_reset_until.get(&host).copied();
        if until.is_none_or(|until| until <= now) || !self.rng.random_bool(CALL_RESET_PROBABILITY) {
            return CallFate::Delivered;
        }
        match self.rng.random_range(0..4) {
            0 => CallFate::NotSent,
            1 => CallFate::Lost,
            _ => {
                let late_ms = self.rng.random_range(0..MAX_LATE_CALL_MS);
                CallFate::Late(Duration::from_millis(late_ms))
            }
        }
    }
}

/// What becomes of a call to a worker.
#[derive(Clone, Copy, Debug)]
pub enum CallFate {
    /// The call is sent as usual.
    Delivered,
    /// The connection failed before the request was sent.
    NotSent,
    /// The request was sent, was not carried out and is reported as unanswered.
    Lost,
    /// The request is reported as unanswered and is carried out after this delay.
    Late(Duration),
}

impl World {
    /// Replaces the immediate connections by ones that can be reset. Every relay connects to the
    /// pool of every leader.
    pub fn use_links(&mut self, seed: u64) {
        let local_connections = self.leaders.values().filter_map(|leader| {
            let host = &self.hosts[*leader];
            Some((*leader, host.relay.connection(&host.domain)?))
        });
        let local_connections = local_connections.collect();
        self.links = Some(Links {
            rng: ChaCha8Rng::seed_from_u64(seed),
            connections: Vec::new(),
            busy: BTreeMap::new(),
            callers: BTreeMap::new(),
            local_leaders: self.leaders.values().copied().collect(),
            local_connections,
            claim_write_delay: None,
            claim_read_delays: BTreeMap::new(),
            loses_current_pool: false,
            next_caller: 0,
            ends_of_callers: BTreeMap::new(),
            answered_callers: BTreeSet::new(),
            jobs: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            retired_callers: BTreeMap::new(),
            keeps_callers: false,
            refused: BTreeSet::new(),
            calls_reset_until: BTreeMap::new(),
            resends_unknown: false,
            resent_early: BTreeSet::new(),
            resets: 0,
            refusals: 0,
        });
        let domains: Vec<DomainName> = self.leaders.keys().cloned().collect();
        for relay in 0..self.hosts.len() {
            for domain in &domains {
                self.open_link(relay, domain);
            }
        }
    }

    /// Returns whether heartbeats of a leader reach the relay of a host.
    pub(crate) fn is_linked(&self, relay: usize, leader: usize) -> bool {
        let Some(links) = &self.links else {
            return self.hosts[relay].alive;
        };
        let domain = &self.hosts[leader].domain;
        let current = links.current(relay, domain, self);
        let is_open = current.is_some_and(|number| {
            let link = &links.connections[number];
            link.pool == leader && link.pool_is_open && self.now < link.lost_to_relay_from
        });
        is_open || (relay == leader && links.local_leaders.contains(&leader))
    }

    fn links_mut(&mut self) -> &mut Links {
        self.links.as_mut().expect("links are in use")
    }

    fn open_link(&mut self, relay: usize, domain: &DomainName) {
        let Some(pool) = self.leaders.get(domain).copied() else {
            return;
        };
        if pool == relay {
            return;
        }
        let is_connected = {
            let links = self.links.as_ref();
            links.is_some_and(|links| links.current(relay, domain, self).is_some())
        };
        if is_connected {
            return;
        }
        let links = self.links_mut();
        let number = links.connections.len();
        links.connections.push(Link {
            relay,
            pool,
            connection: None,
            relay_is_open: true,
            pool_is_open: false,
            last_heard_at: UnixTime::default(),
            pool_heard_at: UnixTime::default(),
            lost_to_pool_from: UnixTime::NEVER,
            lost_to_relay_from: UnixTime::NEVER,
        });
        self.schedule(DELAY, Event::Link(LinkEvent::PoolAccepts(number)));
    }

    /// Resets all connections of the relay of a host, and the calls of its pool to workers for a
    /// moment.
    pub fn reset_links_of(&mut self, host: usize) {
        let now = self.now;
        let numbers: Vec<usize> = self
            .links_mut()
            .connections
            .iter()
            .enumerate()
            .filter(|(_, link)| {
                let is_open = link.relay_is_open && link.lost_to_pool_from == UnixTime::NEVER;
                is_open && (link.relay == host || link.pool == host)
            })
            .map(|(number, _)| number)
            .collect();
        for number in numbers {
            self.reset_link(number);
        }
        let links = self.links_mut();
        let span = Duration::from_millis(links.rng.random_range(1..MAX_NOTICE_MS));
        links.calls_reset_until.insert(host, now.after(span));
    }

    fn reset_link(&mut self, number: usize) {
        let now = self.now;
        let links = self.links_mut();
        links.resets += 1;
        let mut draw = |limit: u64| Duration::from_millis(links.rng.random_range(0..=limit));
        // Of each direction, the messages that arrive after a random moment are lost.
        let (to_pool, to_relay) = (now.after(draw(4)), now.after(draw(4)));
        let (pool_notices, relay_notices) = (draw(MAX_NOTICE_MS), draw(MAX_NOTICE_MS));
        let link = &mut links.connections[number];
        link.lost_to_pool_from = to_pool;
        link.lost_to_relay_from = to_relay;
        self.schedule(pool_notices, Event::Link(LinkEvent::PoolNotices(number)));
        self.schedule(relay_notices, Event::Link(LinkEvent::RelayNotices(number)));
    }

    /// Lets a host process nothing for a while. What arrives meanwhile is processed afterwards, in
    /// order for each socket.
    pub fn delay_host(&mut self, host: usize, span: Duration) {
        let now = self.now;
        let links = self.links_mut();
        let seed = links.rng.random();
        let busy = links.busy.entry(host).or_default();
        if busy.until.after(Duration::from_millis(MAX_SOCKET_SHIFT_MS)) < now {
            *busy = BusySpan {
                until: now.after(span),
                seed,
                is_frozen: false,
            };
        }
    }

    /// Lets a host stand still for a while. Connections that are silent for too long are lost, and what
    /// callers send meanwhile, as well as the ends of their connections, is retransmitted after it.
    pub fn freeze_host(&mut self, host: usize, span: Duration) {
        let now = self.now;
        let links = self.links_mut();
        let seed = links.rng.random();
        let busy = BusySpan {
            until: now.after(span).after(WAKE_TIME),
            seed,
            is_frozen: true,
        };
        links.busy.insert(host, busy);
        let (at_ms, span_ms) = (now.as_millis(), span.as_millis());
        let line = format!("{at_ms} host={host} event=frozen span_ms={span_ms}");
        self.log.push(line);
        self.schedule(span, Event::Link(LinkEvent::Wakes(host, span)));
        if span <= IDLE_TIMEOUT {
            return;
        }
        let links = self.links_mut().connections.iter_mut().zip(0..);
        let open = links.filter(|(link, _)| {
            let is_open = link.relay_is_open && link.lost_to_pool_from == UnixTime::NEVER;
            is_open && (link.relay == host || link.pool == host)
        });
        let mut notices = Vec::new();
        for (link, number) in open {
            link.lost_to_pool_from = now.after(DELAY);
            link.lost_to_relay_from = now.after(DELAY);
            let notice = match link.relay == host {
                true => span,
                false => IDLE_TIMEOUT,
            };
            notices.push((notice, number));
        }
        for (notice, number) in notices {
            self.schedule(notice, Event::Link(LinkEvent::RelayNotices(number)));
        }
    }

    /// Lets all relays that run send heartbeats to their pools.
    pub(crate) fn send_relay_beats(&mut self) {
        let Some(links) = &self.links else {
            return;
        };
        let open = links.connections.iter().zip(0..);
        let open = open.filter(|(link, _)| link.relay_is_open && !self.is_frozen(link.relay));
        let open: Vec<usize> = open.map(|(_, number)| number).collect();
        for number in open {
            self.schedule(DELAY, Event::Link(LinkEvent::Beat(number)));
        }
    }

    /// Lets the pools that run drop connections over which nothing has arrived for too long.
    pub(crate) fn drop_silent_relays(&mut self) {
        let now = self.now;
        let Some(links) = &self.links else {
            return;
        };
        let open = links.connections.iter().zip(0..);
        let silent = open.filter(|(link, _)| {
            let is_silent = now.since(link.pool_heard_at) > IDLE_TIMEOUT;
            link.pool_is_open && is_silent && !self.is_delayed(link.pool)
        });
        let silent: Vec<usize> = silent.map(|(_, number)| number).collect();
        for number in silent {
            self.drop_relay(number);
        }
    }

    fn drop_relay(&mut self, number: usize) {
        let (now, first) = (self.now, self.hosts.len());
        let link = &mut self.links_mut().connections[number];
        link.pool_is_open = false;
        let (pool, heard_at) = (link.pool, link.pool_heard_at);
        let relay = RelayId((first + number) as u64);
        let pool = &mut self.hosts[pool].pool;
        pool.relay_lost(relay, heard_at, now);
        self.schedule(DELAY, Event::Link(LinkEvent::RelayNotices(number)));
    }

    /// Returns whether a host stands still.
    #[must_use]
    pub fn is_frozen(&self, host: usize) -> bool {
        let links = self.links.as_ref();
        let busy = links.and_then(|links| links.busy.get(&host));
        busy.is_some_and(|busy| busy.is_frozen && self.now < busy.until)
    }

    /// Lets the pool and the relay of a host notice that it stood still, as the driver does.
    fn wake_host(&mut self, host: usize, span: Duration) {
        let now = self.now;
        let busy = self.links_mut().busy.get(&host);
        if busy.is_some_and(|busy| busy.until > now.after(WAKE_TIME)) {
            // Has been made to stand still for longer.
            return;
        }
        self.hosts[host].pool.process_resumed(now);
        let retires_callers = self.hosts[host].relay.process_resumed(span, now);
        let links = self.links_mut();
        if retires_callers && !links.keeps_callers {
            links.retired_callers.insert(host, links.next_caller);
        }
        if span <= IDLE_TIMEOUT {
            return;
        }
        let links = self.links_mut().connections.iter().zip(0..);
        let open = links.filter(|(link, _)| link.pool == host && link.pool_is_open);
        let open: Vec<usize> = open.map(|(_, number)| number).collect();
        for number in open {
            self.drop_relay(number);
        }
    }

    /// Returns whether a host is in the middle of a delay.
    pub fn is_delayed(&self, host: usize) -> bool {
        let links = self.links.as_ref();
        let busy = links.and_then(|links| links.busy.get(&host));
        busy.is_some_and(|busy| self.now < busy.until)
    }

    /// Returns the time at which an event is processed whose host processes its events late.
    pub(crate) fn held_until(&self, event: &Event) -> Option<UnixTime> {
        let links = self.links.as_ref()?;
        if let Some(held_until) = links.frozen_until(event, self.now) {
            return Some(held_until);
        }
        let (host, socket) = links.socket_of(event)?;
        let busy = links.busy.get(&host)?;
        let socket_seed = match socket {
            Socket::Link(number) => number as u64 * 3,
            Socket::Caller(number) => number * 3 + 1,
            Socket::Workers => 2,
        };
        let shift = (busy.seed ^ socket_seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)) >> 7;
        let shift = Duration::from_millis(shift % MAX_SOCKET_SHIFT_MS);
        let held_until = busy.until.after(shift);
        (self.now < held_until).then_some(held_until)
    }

    /// Sends a job at a host and returns the number of the connection, which ends after `leaves_after`. The
    /// host notices that later. The connection is a new one, or, if the host stands still, has been open
    /// before that.
    pub fn call_host(&mut self, host: usize, job: &TestJob, leaves_after: Option<Duration>) -> u64 {
        let now = self.now;
        let links = self.links_mut();
        links.next_caller += 1;
        let caller = links.next_caller;
        let notice = Duration::from_millis(links.rng.random_range(0..=MAX_NOTICE_MS));
        if let Some(leaves_after) = leaves_after {
            let end = now.after(DELAY + leaves_after);
            links.ends_of_callers.insert(caller, end);
        }
        if self.is_frozen(host) {
            self.links_mut().unacknowledged.insert(caller, now);
        }
        let arrives = Event::Link(LinkEvent::CallerArrives(host, caller, job.clone()));
        self.schedule(DELAY, arrives);
        if let Some(leaves_after) = leaves_after {
            let leaves = LinkEvent::CallerLeaves(host, caller, job.name.clone());
            self.schedule(DELAY + leaves_after + notice, Event::Link(leaves));
        }
        caller
    }

    /// Sends a job again at a time after the connection of an earlier caller has ended, unless that
    /// caller got an answer.
    pub fn resend_after(&mut self, after: Duration, caller: u64, host: usize, job: &TestJob) {
        let resends = LinkEvent::ClientResends(caller, host, job.clone());
        self.schedule(after + DELAY, Event::Link(resends));
    }

    /// Makes a host the leader of its failure domain. The other hosts learn of it from the store at
    /// different times, the earlier leader sometimes late.
    pub fn become_leader_over_links(&mut self, host: usize) {
        let now = self.now;
        self.token += 1;
        let token = self.token;
        let domain = self.hosts[host].domain.clone();
        let before = self.leaders.insert(domain.clone(), host);
        self.hosts[host].pool.become_leader(token, now);
        self.await_members(host);
        self.report_caller_loss(host, host);
        self.introduce_relay(host, host, RelayId(host as u64));
        self.schedule(crate::LIST_DELAY, Event::List(host));
        for reader in 0..self.hosts.len() {
            let links = self.links_mut();
            let is_late = Some(reader) == before && links.rng.random_bool(0.3);
            let limit_ms = if is_late {
                MAX_LATE_CLAIM_MS
            } else {
                MAX_NOTICE_MS
            };
            let drawn = Duration::from_millis(links.rng.random_range(0..limit_ms));
            let delay = match links.claim_read_delays.get(&reader) {
                _ if reader == host => Duration::ZERO,
                Some(delay) => *delay,
                None => drawn,
            };
            let event = LinkEvent::ClaimRead(reader, domain.clone());
            self.schedule(delay, Event::Link(event));
        }
    }

    /// Lets a host turn to the new leader of a failure domain.
    fn claim_read(&mut self, reader: usize, domain: &DomainName) {
        let now = self.now;
        let Some(leader) = self.leaders.get(domain).copied() else {
            return;
        };
        let is_own = self.hosts[reader].domain == *domain;
        if is_own && leader != reader && self.links_mut().local_leaders.remove(&reader) {
            let loss = PoolLoss {
                cause: LossCause::ClaimChanged,
                last_message_at: now,
            };
            self.lose_local_pool(reader, loss);
            match self.links_mut().claim_write_delay {
                Some(delay) => self.schedule(delay, Event::Link(LinkEvent::StepsDown(reader))),
                None => self.step_down(reader),
            }
        }
        let links = self.links.as_ref();
        if let Some(number) = links.and_then(|links| links.current(reader, domain, self)) {
            if self.links_mut().connections[number].pool == leader {
                return;
            }
            let link = &mut self.links_mut().connections[number];
            link.relay_is_open = false;
            let last_heard_at = link.last_heard_at.max(now.before(HEARTBEAT_INTERVAL));
            let connection = link.connection.take();
            let loss = PoolLoss {
                cause: LossCause::ClaimChanged,
                last_message_at: last_heard_at,
            };
            if let Some(connection) = connection {
                self.hosts[reader].relay.pool_lost(&connection, loss);
            }
            self.schedule(DELAY, Event::Link(LinkEvent::PoolNotices(number)));
        }
        if leader == reader {
            let host = &mut self.hosts[reader];
            let term = host.pool.token();
            let connection = host.relay.pool_connected(domain, term, now);
            let links = self.links_mut();
            links.local_leaders.insert(reader);
            links.local_connections.insert(reader, connection);
        } else {
            self.open_link(reader, domain);
        }
    }

    /// Lets the pool of a host give up its leadership, as the driver does, unless it has won its claim
    /// anew meanwhile.
    fn step_down(&mut self, host: usize) {
        let now = self.now;
        if self.leaders.get(&self.hosts[host].domain) == Some(&host) {
            return;
        }
        self.hosts[host].pool.step_down(now);
        let loss = PoolLoss {
            cause: LossCause::SteppedDown,
            last_message_at: now,
        };
        self.lose_local_pool(host, loss);
        self.tell_relays_of_step_down(host);
    }

    /// Tells the connected relays that the pool of a host is not the leader any more.
    fn tell_relays_of_step_down(&mut self, host: usize) {
        let links = self.links_mut().connections.iter().enumerate();
        let open = links.filter(|(_, link)| link.pool == host && link.pool_is_open);
        let open: Vec<usize> = open.map(|(number, _)| number).collect();
        for number in open {
            self.schedule(DELAY, Event::Link(LinkEvent::PoolSteppedDown(number)));
        }
    }

    /// Lets the relay of a host lose the pool of the same host. The relay may be connected to another
    /// leader by then.
    fn lose_local_pool(&mut self, host: usize, loss: PoolLoss) {
        let links = self.links_mut();
        let former = links.local_connections.get(&host).cloned();
        let lost = if links.loses_current_pool {
            let host = &self.hosts[host];
            host.relay.connection(&host.domain)
        } else {
            former
        };
        if let Some(connection) = lost {
            self.hosts[host].relay.pool_lost(&connection, loss);
        }
    }

    /// Handles that the pool of a host was fenced.
    pub fn leadership_lost(&mut self, host: usize) {
        let now = self.now;
        let Some(links) = &mut self.links else {
            return;
        };
        if links.local_leaders.remove(&host) {
            let loss = PoolLoss {
                cause: LossCause::Fenced,
                last_message_at: now,
            };
            self.lose_local_pool(host, loss);
        }
        self.tell_relays_of_step_down(host);
    }

    /// Sends a message on the current connection of a relay to the pool of a failure domain.
    pub fn send_to_pool(&mut self, relay: usize, domain: &DomainName, message: RelayMessage) {
        let is_own = self.hosts[relay].domain == *domain;
        if is_own && self.links_mut().local_leaders.contains(&relay) {
            self.schedule(Duration::ZERO, Event::ToPool(relay, relay, message));
            return;
        }
        let links = self.links.as_ref();
        if let Some(number) = links.and_then(|links| links.current(relay, domain, self)) {
            self.schedule(DELAY, Event::Link(LinkEvent::ToPool(number, message)));
        }
    }

    /// Sends a message of a pool on the connection with this number.
    pub fn send_to_relay(&mut self, pool: usize, relay: RelayId, message: PoolMessage) {
        let first = self.hosts.len();
        let number = (relay.0 as usize).checked_sub(first);
        match number {
            None => {
                let connection = self.links_mut().local_connections.get(&pool).cloned();
                if let Some(connection) = connection {
                    let event = Event::ToRelay(pool, pool, connection, message);
                    self.schedule(Duration::ZERO, event);
                }
            }
            Some(number) => {
                let event = Event::Link(LinkEvent::ToRelay(number, message));
                self.schedule(DELAY, event);
            }
        }
    }

    /// Sends a message of a pool on all its connections.
    pub fn broadcast(&mut self, pool: usize, message: &PoolMessage) {
        let first = self.hosts.len();
        let numbers: Vec<usize> = (0..self.links_mut().connections.len())
            .filter(|number| {
                let link = &self.links_mut().connections[*number];
                link.pool == pool && link.pool_is_open
            })
            .collect();
        for number in numbers {
            let relay = RelayId((first + number) as u64);
            self.send_to_relay(pool, relay, message.clone());
        }
        self.send_to_relay(pool, RelayId(pool as u64), message.clone());
    }

    /// Draws what becomes of a call and carries out the failure, if any. Returns whether the call is
    /// to be sent as usual.
    pub fn passes_call(&mut self, host: usize, call: &WorkerCall) -> bool {
        let now = self.now;
        let Some(links) = self.links.as_mut() else {
            return true;
        };
        let (answer, late_by) = match links.draw_call(host, now) {
            CallFate::Delivered => return true,
            CallFate::NotSent => (CallAnswer::NotSent, None),
            CallFate::Lost => (CallAnswer::Unanswered, None),
            CallFate::Late(late_by) => (CallAnswer::Unanswered, Some(late_by)),
        };
        self.schedule(DELAY, Event::Answer(host, call.clone(), answer));
        if let Some(late_by) = late_by {
            let worker = &self.workers[crate::worker_of(call)];
            let event = Event::LateRequest(call.clone(), worker.born_unix_ms);
            self.schedule(late_by, event);
        }
        false
    }

    /// Forgets the caller of an answered job. A client whose job is refused as not run sends it once
    /// more at once, because such a refusal promises that it has not run and never will.
    pub fn caller_answered(&mut self, host: usize, job: &str, answer: JobAnswer) {
        let (now, hosts) = (self.now, self.hosts.len());
        let Some(links) = &mut self.links else {
            return;
        };
        let Some(caller) = links.callers.remove(&(host, String::from(job))) else {
            return;
        };
        let end = links.ends_of_callers.get(&caller);
        if end.is_some_and(|end| *end <= now) {
            return;
        }
        links.answered_callers.insert(caller);
        let JobAnswer::Refused { refusal, .. } = answer else {
            return;
        };
        if refusal == Refusal::Unknown
            && links.resends_unknown
            && let Some(job) = links.jobs.get(job).cloned()
        {
            let next = links.rng.random_range(0..hosts);
            links.next_caller += 1;
            let resends = LinkEvent::ClientResends(links.next_caller, next, job);
            return self.schedule(RESEND_DELAY, Event::Link(resends));
        }
        let is_not_run = refusal.answer().status == NOT_RUN_STATUS;
        if !is_not_run || !links.refused.insert(String::from(job)) {
            return;
        }
        let Some(job) = links.jobs.get(job).cloned() else {
            return;
        };
        let next = links.rng.random_range(0..hosts);
        if self.is_frozen(next) {
            self.links_mut().next_caller += 1;
            let caller = self.links_mut().next_caller;
            let event = LinkEvent::ClientResends(caller, next, job);
            return self.schedule(RECONNECT_DELAY, Event::Link(event));
        }
        self.call_host(next, &job, None);
    }

    pub(crate) fn handle_link_event(&mut self, event: LinkEvent) {
        let now = self.now;
        let first = self.hosts.len();
        let relay_id = |number: usize| RelayId((first + number) as u64);
        match event {
            LinkEvent::ToPool(number, message) => {
                let link = &self.links_mut().connections[number];
                if !link.pool_is_open || now >= link.lost_to_pool_from {
                    return;
                }
                let pool = link.pool;
                let pool = &mut self.hosts[pool].pool;
                pool.handle_relay_message(relay_id(number), message, now);
            }
            LinkEvent::ToRelay(number, message) => {
                let links = self.links_mut();
                let link = &mut links.connections[number];
                if !link.relay_is_open || now >= link.lost_to_relay_from {
                    return;
                }
                link.last_heard_at = now;
                let (relay, connection) = (link.relay, link.connection.clone());
                links.refusals += usize::from(is_refusal(&message));
                if let Some(connection) = connection {
                    self.deliver(relay, &connection, message);
                }
            }
            LinkEvent::PoolAccepts(number) => {
                let link = &mut self.links_mut().connections[number];
                if now < link.lost_to_pool_from {
                    link.pool_is_open = true;
                    link.pool_heard_at = now;
                    let (relay, pool) = (link.relay, link.pool);
                    self.hosts[pool].pool.relay_heard(relay_id(number), now);
                    self.report_caller_loss(relay, pool);
                    self.introduce_relay(relay, pool, relay_id(number));
                    self.schedule(DELAY, Event::Link(LinkEvent::RelayConnects(number)));
                }
            }
            LinkEvent::RelayConnects(number) => {
                let link = &mut self.links_mut().connections[number];
                if !link.relay_is_open || now >= link.lost_to_relay_from {
                    return;
                }
                link.last_heard_at = now;
                let (pool, relay) = (link.pool, link.relay);
                let domain = self.hosts[pool].domain.clone();
                let load = self.hosts[pool].pool.load(now);
                let term = self.hosts[pool].pool.token();
                let host = &mut self.hosts[relay].relay;
                let connection = host.pool_connected(&domain, term, now);
                host.update_pool_load(&connection, load);
                self.links_mut().connections[number].connection = Some(connection);
                self.send_caller_loss(pool, relay);
            }
            LinkEvent::PoolNotices(number) => {
                let link = &mut self.links_mut().connections[number];
                link.pool_is_open = false;
                let last_message_at = now.min(link.lost_to_pool_from);
                let pool = link.pool;
                let pool = &mut self.hosts[pool].pool;
                pool.relay_lost(relay_id(number), last_message_at, now);
            }
            LinkEvent::RelayNotices(number) => {
                let link = &mut self.links_mut().connections[number];
                if !link.relay_is_open {
                    return;
                }
                link.relay_is_open = false;
                let earliest = now.before(HEARTBEAT_INTERVAL);
                let last_heard_at = link.last_heard_at.max(earliest);
                let (pool, relay) = (link.pool, link.relay);
                let connection = link.connection.take();
                let domain = self.hosts[pool].domain.clone();
                let host = &mut self.hosts[relay];
                let loss = PoolLoss {
                    cause: LossCause::ConnectionEnded,
                    last_message_at: last_heard_at,
                };
                if let Some(connection) = connection {
                    host.relay.pool_lost(&connection, loss);
                }
                let links = self.links_mut();
                let delay = if links.rng.random_bool(PARTITION_PROBABILITY) {
                    Duration::from_millis(links.rng.random_range(0..MAX_PARTITION_MS))
                } else {
                    Duration::ZERO
                };
                let event = Event::Link(LinkEvent::Reconnect(relay, domain));
                self.schedule(RECONNECT_DELAY + delay, event);
            }
            LinkEvent::PoolSteppedDown(number) => {
                let link = &mut self.links_mut().connections[number];
                if !link.relay_is_open || now >= link.lost_to_relay_from {
                    return;
                }
                link.relay_is_open = false;
                let (pool, relay) = (link.pool, link.relay);
                let connection = link.connection.take();
                let loss = PoolLoss {
                    cause: LossCause::ConnectionEnded,
                    last_message_at: now,
                };
                if let Some(connection) = connection {
                    self.hosts[relay].relay.pool_lost(&connection, loss);
                }
                self.schedule(DELAY, Event::Link(LinkEvent::PoolNotices(number)));
                let domain = self.hosts[pool].domain.clone();
                let event = Event::Link(LinkEvent::Reconnect(relay, domain));
                self.schedule(RECONNECT_DELAY, event);
            }
            LinkEvent::ClaimRead(reader, domain) => self.claim_read(reader, &domain),
            LinkEvent::StepsDown(host) => self.step_down(host),
            LinkEvent::Reconnect(relay, domain) => self.open_link(relay, &domain),
            LinkEvent::CallerArrives(host, caller, job) => {
                let links = self.links_mut();
                let is_frozen = links.busy.get(&host).is_some_and(|busy| busy.is_frozen);
                let end = links.ends_of_callers.get(&caller);
                let has_left = end.is_some_and(|end| *end <= now);
                let is_connected = links.unacknowledged.remove(&caller).is_some();
                if is_frozen && has_left && !is_connected {
                    // Has stopped connecting while the host stood still.
                    return;
                }
                if links.retired_callers.get(&host) >= Some(&caller) {
                    return;
                }
                let key = (host, job.name.clone());
                let links = self.links_mut();
                links.callers.insert(key, caller);
                links.jobs.insert(job.name.clone(), job.clone());
                self.submit(host, &job);
            }
            LinkEvent::ClientResends(caller, host, job) => {
                if self.is_frozen(host) {
                    // Connecting takes until the host runs again.
                    let resends = LinkEvent::ClientResends(caller, host, job);
                    return self.schedule(RECONNECT_DELAY, Event::Link(resends));
                }
                if !self.links_mut().answered_callers.contains(&caller) {
                    self.call_host(host, &job, None);
                }
            }
            LinkEvent::Wakes(host, span) => self.wake_host(host, span),
            LinkEvent::Beat(number) => {
                let links = self.links_mut();
                let link = &mut links.connections[number];
                // A heartbeat that is read soon after a pause may have been sent long before.
                let busy = links.busy.get(&link.pool);
                let is_stale =
                    busy.is_some_and(|busy| busy.is_frozen && now < busy.until.after(RESUME_WAIT));
                if link.pool_is_open && now < link.lost_to_pool_from && !is_stale {
                    link.pool_heard_at = now;
                    let pool = link.pool;
                    let pool = &mut self.hosts[pool].pool;
                    pool.relay_heard(relay_id(number), now);
                }
            }
            LinkEvent::CallerLeaves(host, caller, job) => {
                let key = (host, job);
                if self.links_mut().callers.get(&key) == Some(&caller) {
                    self.links_mut().callers.remove(&key);
                    self.disconnect_caller(host, &key.1);
                }
            }
        }
    }
}

impl Links {
    /// Returns the time at which an event is processed whose host stands still.
    fn frozen_until(&self, event: &Event, now: UnixTime) -> Option<UnixTime> {
        if let Event::Link(LinkEvent::CallerLeaves(_, caller, _)) = event
            && self.unacknowledged.contains_key(caller)
        {
            // Follows the request by a round trip.
            return Some(now.after(DELAY * 2));
        }
        let host = match event {
            Event::List(host)
            | Event::Link(
                LinkEvent::CallerArrives(host, ..)
                | LinkEvent::CallerLeaves(host, ..)
                | LinkEvent::ClaimRead(host, _)
                | LinkEvent::Reconnect(host, _)
                | LinkEvent::StepsDown(host),
            ) => host,
            _ => return None,
        };
        let busy = self.busy.get(host)?;
        if !busy.is_frozen || now >= busy.until {
            return None;
        }
        let (caller, sent_at) = match event {
            Event::Link(LinkEvent::CallerArrives(_, caller, _)) => {
                (caller, self.unacknowledged.get(caller).copied()?)
            }
            Event::Link(LinkEvent::CallerLeaves(_, caller, _)) => {
                let end = self.ends_of_callers.get(caller).copied();
                (caller, end.unwrap_or(now))
            }
            _ => return Some(busy.until),
        };
        let mut arrives_at = sent_at;
        let first_ms = FIRST_RETRANSMISSION_MS + caller * 37 % RETRANSMISSION_RANGE_MS;
        let mut delay = Duration::from_millis(first_ms);
        while arrives_at < busy.until {
            arrives_at = arrives_at.after(delay);
            delay *= 2;
        }
        Some(arrives_at)
    }

    /// Returns the host that processes an event and the socket from which it comes.
    fn socket_of(&self, event: &Event) -> Option<(usize, Socket)> {
        match event {
            Event::Answer(host, ..)
            | Event::CallTimesOut(host, _)
            | Event::CallOverdue(host, _) => Some((*host, Socket::Workers)),
            Event::Link(event) => self.socket_of_link(event),
            _ => None,
        }
    }

    fn socket_of_link(&self, event: &LinkEvent) -> Option<(usize, Socket)> {
        let (host, socket) = match event {
            LinkEvent::ToPool(number, _)
            | LinkEvent::PoolAccepts(number)
            | LinkEvent::Beat(number)
            | LinkEvent::PoolNotices(number) => {
                (self.connections[*number].pool, Socket::Link(*number))
            }
            LinkEvent::ToRelay(number, _)
            | LinkEvent::PoolSteppedDown(number)
            | LinkEvent::RelayConnects(number)
            | LinkEvent::RelayNotices(number) => {
                (self.connections[*number].relay, Socket::Link(*number))
            }
            LinkEvent::CallerArrives(host, caller, _)
            | LinkEvent::CallerLeaves(host, caller, _) => (*host, Socket::Caller(*caller)),
            LinkEvent::ClaimRead(..)
            | LinkEvent::ClientResends(..)
            | LinkEvent::Reconnect(..)
            | LinkEvent::StepsDown(_)
            | LinkEvent::Wakes(..) => return None,
        };
        Some((host, socket))
    }
}

fn is_refusal(message: &PoolMessage) -> bool {
    let PoolMessage::Ended { outcome, .. } = message else {
        return false;
    };
    matches!(outcome, JobOutcome::Refused(_))
}

/// Returns the name of the job to which a task belongs.
pub fn job_of(task: &str) -> JobName {
    JobName::new(task.split('.').next().unwrap_or_default())
}
