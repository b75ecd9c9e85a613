//! Emulated fleet: relays, pools and workers in virtual time, without I/O.
//!
//! Relays and pools are the real ones. The emulated workers implement fencing tokens, run leases
//! and lists of ended runs like those of the platform, and record the time span of each run.
//!
//! - [`burst`]: load of one failure domain of a grown deployment.
//! - [`links`]: connections that can be reset, and hosts that process their events late.
//! - [`workers`]: emulated workers.

pub mod burst;
pub mod links;
pub mod workers;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::crash::CrashHistory;
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::{PoolMessage, RelayId, RelayMessage};
use bramley_pool::pool::{Pool, PoolAction};
use bramley_pool::pool_connection::{LossCause, PoolConnection, PoolLoss};
use bramley_pool::relay::{JobAnswer, Relay, RelayAction};
use bramley_pool::resources::TaskResources;
use bramley_pool::settings::{PoolSettings, RelaySettings};
use bramley_pool::worker::{CallAnswer, CallRefusal, WorkerCall, WorkerRequest};

use links::{LinkEvent, Links};
use workers::{FIRST_DOMAIN, VirtualWorker};

/// One-way delay between any two processes.
pub const DELAY: Duration = Duration::from_millis(1);

/// Time that a new leader takes to read the list of workers.
const LIST_DELAY: Duration = Duration::from_millis(4);

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(25);

/// Ticks between two heartbeats of a pool.
const TICKS_PER_HEARTBEAT: u64 = 8;

/// Delay of requests that are carried out late; the platform specifies at least 2 s.
const LATE_DELAY: Duration = Duration::from_secs(3);

/// Scheduled event. Each `usize` is the index of a host.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    /// A message of the first host's relay arrives at the second host's pool.
    ToPool(usize, usize, RelayMessage),
    /// A message of the first host's pool arrives at the second host's relay over a connection.
    ToRelay(usize, usize, PoolConnection, PoolMessage),
    CallArrives(usize, WorkerCall),
    /// The worker checks whether it answers a poll, which it does at the given time at the latest.
    PollEnds(usize, WorkerCall, UnixTime),
    Answer(usize, WorkerCall, CallAnswer),
    CallTimesOut(usize, WorkerCall),
    /// The answer to a start request is overdue.
    CallOverdue(usize, WorkerCall),
    /// The host's pool reads the list of workers.
    List(usize),
    /// The first host's pool notices that the second host's relay is lost.
    RelayLost(usize, usize),
    /// A delayed request is carried out by the incarnation of the worker that received it.
    LateRequest(WorkerCall, u64),
    Submit(usize, TestJob),
    BecomeLeader(usize),
    /// A killed host's process starts again.
    RestartHost(usize),
    /// A worker crashes under a task, if it still runs it.
    WorkerCrashes(usize, String),
    WorkerRestarts(usize),
    /// Event of a connection that can be reset.
    Link(LinkEvent),
}

#[derive(Debug)]
struct Scheduled {
    at: UnixTime,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A host with a relay and a pool of its failure domain.
#[derive(Debug)]
pub struct VirtualHost {
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Relay of the process.
    pub relay: Relay,
    /// Pool of the process.
    pub pool: Pool,
    /// Whether the process runs.
    pub alive: bool,
    /// Incarnation of the process.
    pub incarnation: u64,
}

impl VirtualHost {
    /// Handles a message of a pool.
    fn receive(&mut self, connection: &PoolConnection, message: PoolMessage, now: UnixTime) {
        match message {
            PoolMessage::Steal(request) => {
                self.pool.handle_steal(connection.domain(), &request, now);
            }
            message => self.relay.handle_pool_message(connection, message, now),
        }
    }
}

/// How workers crash under a task that crashes its workers.
#[derive(Clone, Copy, Debug)]
pub struct CrashKind {
    /// Time from the start of the task to the crash.
    pub after: Duration,
    /// Time from the crash to the next start of the worker.
    pub down: Duration,
    /// Whether the crashed worker's address refuses connections; else it does not respond.
    pub refuses_connections: bool,
    /// Whether the worker comes back under another name.
    pub renamed: bool,
}

impl Default for CrashKind {
    fn default() -> Self {
        Self {
            after: Duration::from_millis(10),
            down: Duration::from_secs(3),
            refuses_connections: true,
            renamed: false,
        }
    }
}

/// State of the simulation.
#[derive(Debug)]
pub struct World {
    /// Current virtual time.
    pub now: UnixTime,
    /// Hosts, those of one failure domain after the other.
    pub hosts: Vec<VirtualHost>,
    /// Workers, in the same order.
    pub workers: Vec<VirtualWorker>,
    /// Hosts whose pools are leaders, by failure domain.
    pub leaders: BTreeMap<DomainName, usize>,
    /// Evacuated failure domains, as the store holds them.
    pub evacuated: BTreeSet<DomainName>,
    /// Whether leaders reach the store to read the evacuations.
    pub reads_evacuations: bool,
    /// Answers by job, with the time of each.
    pub answers: BTreeMap<String, (JobAnswer, UnixTime)>,
    /// Log lines, shown when a test fails.
    pub log: Vec<String>,
    /// Remaining number of requests, by worker, that are carried out but not answered.
    pub lost_answers: BTreeMap<usize, u32>,
    /// Remaining number of polls, by worker, that are not answered.
    pub lost_polls: BTreeMap<usize, u32>,
    /// Delays after which the next requests are carried out, without an answer.
    pub late_requests: Vec<Duration>,
    /// One request in this many is carried out seconds later, without an answer; 0 for none.
    pub late_every: u32,
    request_count: u32,
    /// Tasks that crash each worker that starts them, by name, with the number of crashes so far.
    pub deadly_tasks: BTreeMap<String, u32>,
    /// Whether the workers refuse starts beyond their capacity, as the configuration says.
    pub guarded: bool,
    /// How workers crash under such a task.
    pub crash: CrashKind,
    /// Time that a leader takes to read an entry that it waits for.
    pub entry_delay: Duration,
    /// Partitioned pairs of host and worker.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Fault: released tasks are assigned to the pool that has released them as well.
    pub assigns_released_twice: bool,
    /// Settings of the pools.
    settings: PoolSettings,
    /// Connections that can be reset; `None` if messages always arrive.
    pub links: Option<Links>,
    /// Calls that were answered or have timed out, by calling host and [`call_key`].
    answered: BTreeSet<(usize, u64)>,
    events: BinaryHeap<Scheduled>,
    /// Number of ticks so far.
    ticks: u64,
    /// Sequence number of the last scheduled event.
    sequence: u64,
    token: u64,
}

/// A job of a test.
#[derive(Clone, Debug)]
pub struct TestJob {
    /// Name of the job.
    pub name: String,
    /// Route of the job.
    pub route: &'static str,
    /// Number of tasks.
    pub tasks: u32,
    /// CPU of each task in thousandths of a core.
    pub cpu_milli: u32,
    /// Run time of each task on a worker of speed 1.
    pub run: Duration,
    /// Run time as declared by the client, if that is wrong.
    pub declared: Option<Duration>,
    /// Tasks with run times of their own, by index.
    pub task_runs: Vec<(u32, Duration)>,
    /// Declared run time as a multiple of `run`.
    pub declared_factor: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub attempts: u32,
}

impl Default for TestJob {
    fn default() -> Self {
        Self {
            name: String::from("job-1"),
            route: "holds",
            tasks: 1,
            cpu_milli: 10_000,
            run: Duration::from_millis(100),
            declared: None,
            task_runs: Vec::new(),
            declared_factor: 1.0,
            priority: 0,
            attempts: 2,
        }
    }
}

impl World {
    /// Creates a simulation of hosts and healthy workers with 32 cores each.
    pub fn new(hosts: usize, workers: usize) -> Self {
        Self::with_settings(hosts, workers, &PoolSettings::default())
    }

    /// Creates a fleet of one failure domain.
    pub fn with_settings(hosts: usize, workers: usize, settings: &PoolSettings) -> Self {
        Self::with_domains(&[FIRST_DOMAIN], hosts, workers, settings)
    }

    /// Creates a simulation with this number of hosts and workers in each failure domain.
    pub fn with_domains(
        domains: &[&str],
        hosts: usize,
        workers: usize,
        settings: &PoolSettings,
    ) -> Self {
        let make_host = |domain: &str| VirtualHost {
            domain: DomainName::from(domain),
            relay: Relay::new(
                RelaySettings::without(settings.disabled),
                DomainName::from(domain),
            ),
            pool: Pool::new(settings.clone()),
            alive: true,
            incarnation: 0,
        };
        let make_worker = |(index, domain): (usize, &str)| {
            let mut worker = VirtualWorker::new(index);
            worker.domain = String::from(domain);
            worker
        };
        let each = |count: usize| domains.iter().flat_map(move |name| vec![*name; count]);
        let mut world = Self {
            now: UnixTime::from_millis(1_000_000),
            hosts: each(hosts).map(make_host).collect(),
            workers: each(workers).enumerate().map(make_worker).collect(),
            leaders: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            reads_evacuations: true,
            answers: BTreeMap::new(),
            log: Vec::new(),
            lost_answers: BTreeMap::new(),
            lost_polls: BTreeMap::new(),
            late_requests: Vec::new(),
            late_every: 0,
            request_count: 0,
            deadly_tasks: BTreeMap::new(),
            guarded: true,
            crash: CrashKind::default(),
            entry_delay: LIST_DELAY,
            partitions: BTreeSet::new(),
            assigns_released_twice: false,
            settings: settings.clone(),
            links: None,
            answered: BTreeSet::new(),
            events: BinaryHeap::new(),
            ticks: 0,
            sequence: 0,
            token: 0,
        };
        for (host, number) in world.hosts.iter_mut().zip(0..) {
            host.incarnation = number;
        }
        world.schedule(TICK, Event::Tick);
        world
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Scheduled {
            at: self.now.after(after),
            sequence: self.sequence,
            event,
        });
    }

    /// Makes a host the leader with the next fencing token and connects all relays to it.
    pub fn become_leader(&mut self, host: usize) {
        if self.links.is_some() {
            self.become_leader_over_links(host);
            self.run_actions();
            return;
        }
        let now = self.now;
        self.token += 1;
        let token = self.token;
        let domain = self.hosts[host].domain.clone();
        if let Some(before) = self.leaders.get(&domain).copied()
            && before != host
        {
            for relay in &mut self.hosts {
                let loss = PoolLoss {
                    cause: LossCause::ClaimChanged,
                    last_message_at: now,
                };
                if let Some(connection) = relay.relay.connection(&domain) {
                    relay.relay.pool_lost(&connection, loss);
                }
            }
            for relay in 0..self.hosts.len() {
                self.schedule(DELAY, Event::RelayLost(before, relay));
            }
        }
        self.leaders.insert(domain.clone(), host);
        self.hosts[host].pool.become_leader(token, now);
        self.schedule(LIST_DELAY, Event::List(host));
        self.await_members(host);
        for relay in 0..self.hosts.len() {
            self.report_caller_loss(relay, host);
            self.introduce_relay(relay, host, RelayId(relay as u64));
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].alive {
                let relay = &mut self.hosts[index].relay;
                // The connections to a leader that has only written its claim again stay.
                if !relay.is_connected(&domain) {
                    relay.pool_connected(&domain, Some(token), now);
                }
                self.send_caller_loss(host, index);
            }
        }
        self.run_actions();
    }

    /// Lets the relay of a host report to a new leader since when callers may have lost their host.
    pub(crate) fn report_caller_loss(&mut self, relay: usize, leader: usize) {
        let domain = self.hosts[leader].domain.clone();
        let host = &self.hosts[relay];
        if let Some(lost_at) = host.relay.callers_lost_at(&domain)
            && host.alive
        {
            let now = self.now;
            self.hosts[leader].pool.observe_caller_loss(lost_at, now);
        }
    }

    /// Tells a new leader which relays held jobs at the last one, as its host's relay knows.
    pub(crate) fn await_members(&mut self, leader: usize) {
        let host = &mut self.hosts[leader];
        if let Some(members) = host.relay.members(&host.domain) {
            host.pool.await_relays(members.iter().copied());
        }
    }

    /// Introduces the relay of a host to the pool of a leader.
    pub(crate) fn introduce_relay(&mut self, relay: usize, leader: usize, id: RelayId) {
        let host = &self.hosts[relay];
        if host.alive {
            let incarnation = host.incarnation;
            self.hosts[leader].pool.relay_introduced(id, incarnation);
        }
    }

    /// Sends the relay of a host what the heartbeats of a leader tell of lost callers and members.
    pub(crate) fn send_caller_loss(&mut self, leader: usize, relay: usize) {
        let now = self.now;
        let lost_at = self.hosts[leader].pool.callers_lost_at(now);
        let members = self.hosts[leader].pool.members();
        let term = self.hosts[leader].pool.token();
        let domain = self.hosts[leader].domain.clone();
        let relay = &mut self.hosts[relay].relay;
        if let Some(connection) = relay.connection(&domain) {
            relay.update_caller_loss(&connection, lost_at, now);
            relay.update_members(&connection, members);
            relay.update_term(&connection, term);
        }
    }

    fn send_heartbeats(&mut self) {
        self.send_relay_beats();
        for leader in self.leaders.clone().into_values() {
            for relay in 0..self.hosts.len() {
                if self.hosts[leader].alive && self.is_linked(relay, leader) {
                    self.send_caller_loss(leader, relay);
                }
            }
        }
    }

    /// Passes the list of workers and the evacuations to a host's pool.
    pub fn list_workers(&mut self, host: usize) {
        let now = self.now;
        let domain = self.hosts[host].domain.clone();
        let entries: Vec<_> = self
            .workers
            .iter()
            .filter(|worker| worker.listed && worker.domain == domain.as_str())
            .map(VirtualWorker::entry)
            .collect();
        let pool = &mut self.hosts[host].pool;
        for entry in entries {
            pool.worker_listed(entry, now);
        }
        pool.worker_list_read(now);
        if self.reads_evacuations {
            let is_evacuated = self.evacuated.contains(&domain);
            pool.evacuation_read(is_evacuated, now, now);
        }
        self.run_actions();
    }

    /// Evacuates a failure domain or takes it back; its leader learns of it if it reaches the store.
    pub fn set_evacuated(&mut self, domain: &str, is_evacuated: bool) {
        let domain = DomainName::from(domain);
        if is_evacuated {
            self.evacuated.insert(domain.clone());
        } else {
            self.evacuated.remove(&domain);
        }
        if let Some(leader) = self.leaders.get(&domain).copied() {
            self.list_workers(leader);
        }
    }

    /// Ends a host's process, including its relay's jobs and its leadership.
    pub fn kill_host(&mut self, host: usize) {
        self.hosts[host].alive = false;
        let now = self.now;
        let line = format!("{} host={host} event=host_killed", now.as_millis());
        self.log.push(line);
        let domain = self.hosts[host].domain.clone();
        if self.leads(host) {
            let incarnation = self.hosts[host].incarnation;
            for relay in &mut self.hosts {
                let loss = PoolLoss {
                    cause: LossCause::ConnectionEnded,
                    last_message_at: now,
                };
                if let Some(connection) = relay.relay.connection(&domain) {
                    relay.relay.pool_lost(&connection, loss);
                }
                relay.relay.leader_ended(&domain, incarnation);
            }
            self.leaders.remove(&domain);
        }
        for leader in self.leaders.clone().into_values() {
            // As on a TCP connection, the end is seen after the messages that were sent before it.
            self.schedule(DELAY, Event::RelayLost(leader, host));
        }
        self.run_actions();
    }

    /// Starts the process of a killed host again after a delay, without what it knew.
    pub fn restart_host_after(&mut self, after: Duration, host: usize) {
        self.schedule(after, Event::RestartHost(host));
    }

    fn restart_host(&mut self, index: usize) {
        let now = self.now;
        let domain = self.hosts[index].domain.clone();
        let settings = RelaySettings::without(self.settings.disabled);
        let mut relay = Relay::new(settings, domain.clone());
        for (domain, leader) in &self.leaders {
            let term = self.hosts[*leader].pool.token();
            relay.pool_connected(domain, term, now);
        }
        self.hosts[index] = VirtualHost {
            domain,
            relay,
            pool: Pool::new(self.settings.clone()),
            alive: true,
            incarnation: self.hosts[index].incarnation + self.hosts.len() as u64,
        };
        for leader in self.leaders.clone().into_values() {
            self.introduce_relay(index, leader, RelayId(index as u64));
        }
    }

    /// Returns the host whose pool is the leader of the first failure domain.
    pub fn leader(&self) -> Option<usize> {
        self.leaders.get(FIRST_DOMAIN).copied()
    }

    /// Returns whether a host's pool is the leader of its failure domain.
    fn leads(&self, host: usize) -> bool {
        self.leaders.get(&self.hosts[host].domain) == Some(&host)
    }

    /// Submits a job at a host.
    pub fn submit(&mut self, host: usize, job: &TestJob) {
        self.submit_aged(host, job, Duration::ZERO);
    }

    /// Submits a job whose request arrived at a host some time ago.
    pub fn submit_aged(&mut self, host: usize, job: &TestJob, age: Duration) {
        let mut submission = self.submission(job);
        submission.arrived_at = self.now.before(age);
        self.prepare_workers(job);
        let now = self.now;
        self.hosts[host].relay.accept(submission, now);
        self.run_actions();
    }

    /// Submits a job to a host's pool without delay, and without a caller at its relay.
    pub fn submit_to_pool(&mut self, host: usize, job: &TestJob) {
        let message = RelayMessage::Submit(Box::new(self.submission(job)));
        self.prepare_workers(job);
        let now = self.now;
        let pool = &mut self.hosts[host].pool;
        pool.handle_relay_message(RelayId(host as u64), message, now);
        self.run_actions();
    }

    fn prepare_workers(&mut self, job: &TestJob) {
        for worker in &mut self.workers {
            worker.run_times.insert(job.name.clone(), job.run);
            for (index, run) in &job.task_runs {
                worker
                    .run_times
                    .insert(format!("{}.0.0.{index}", job.name), *run);
            }
            worker.set_task_cpu(&job.name, job.cpu_milli);
            worker.task_routes.insert(job.name.clone(), job.route);
        }
    }

    /// Returns the submission of a job that arrives now.
    pub fn submission(&self, job: &TestJob) -> JobSubmission {
        JobSubmission {
            work: JobWork {
                job: JobName::new(job.name.as_str()),
                spec: "spec".into(),
                tasks: job.tasks,
                resources: TaskResources {
                    accelerators: 0,
                    cpu_milli: job.cpu_milli,
                    memory_mb: 64,
                },
                declared: job
                    .declared
                    .unwrap_or_else(|| job.run.mul_f64(job.declared_factor)),
                required_label: "".into(),
                preferred_rack: "".into(),
                spread_limit: 0,
            },
            policy: JobPolicy {
                route: RouteName::new(job.route),
                service: ServiceName::new("service-1"),
                priority: job.priority,
                attempts: job.attempts,
                stretch_factor: 1.6,
                target: Duration::from_millis(60),
                workers_are_guarded: self.guarded,
            },
            arrived_at: self.now,
            deadline: self.now.after(Duration::from_secs(10)),
            done: Vec::new(),
            placements: Vec::new(),
            crashes: CrashHistory::default(),
            acknowledged: false,
            earlier_workers: 0,
            earlier_runs_end_by: UnixTime::default(),
            resumed: false,
            accepts_late: false,
            part: Vec::new(),
        }
    }

    /// Pauses a host's process for `span` while the rest of the simulation goes on.
    pub fn pause_host(&mut self, host: usize, span: Duration) {
        self.hosts[host].alive = false;
        self.run_for(span);
        self.hosts[host].alive = true;
    }

    /// Submits a job at a host after a delay, unless it has been answered by then.
    pub fn submit_after(&mut self, after: Duration, host: usize, job: &TestJob) {
        self.schedule(after, Event::Submit(host, job.clone()));
    }

    /// Makes a host the leader after a delay, if it is alive then.
    pub fn become_leader_after(&mut self, after: Duration, host: usize) {
        self.schedule(after, Event::BecomeLeader(host));
    }

    /// Disconnects the caller of a job.
    pub fn disconnect_caller(&mut self, host: usize, job: &str) {
        self.hosts[host]
            .relay
            .caller_disconnected(&JobName::new(job));
        self.run_actions();
    }

    /// Runs the simulation for `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.events.peek().is_some_and(|next| next.at <= end) {
            let Some(next) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            if let Some(at) = self.held_until(&next.event) {
                // The sequence number keeps the order of events of one socket.
                self.events.push(Scheduled { at, ..next });
                continue;
            }
            self.handle(next.event);
            self.run_actions();
        }
        self.now = end;
    }

    /// Returns the answer to a job.
    pub fn answer(&self, job: &str) -> Option<JobAnswer> {
        self.answers.get(job).map(|(answer, _)| *answer)
    }

    /// Returns the tasks that had overlapping runs.
    pub fn overlaps(&mut self) -> Vec<String> {
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
        let mut spans: BTreeMap<String, Vec<(UnixTime, UnixTime)>> = BTreeMap::new();
        for worker in &self.workers {
            for (task, from, to) in worker.history(self.now) {
                spans.entry(task).or_default().push((from, to));
            }
        }
        let mut found = Vec::new();
        for (task, mut times) in spans {
            times.sort_unstable();
            if times.windows(2).any(|pair| pair[1].0 < pair[0].1) {
                found.push(task);
            }
        }
        found
    }

    /// Returns the number of runs started so far.
    pub fn runs(&self) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.history(self.now).len())
            .sum()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => {
                for index in 0..self.hosts.len() {
                    if !self.hosts[index].alive || self.is_delayed(index) {
                        continue;
                    }
                    let host = &mut self.hosts[index];
                    host.pool.tick(now);
                    host.relay.tick(now);
                }
                self.drop_silent_relays();
                self.send_load();
                self.ticks += 1;
                if self.ticks.is_multiple_of(TICKS_PER_HEARTBEAT) {
                    self.send_heartbeats();
                }
                self.schedule(TICK, Event::Tick);
            }
            Event::ToPool(from, to, message) => {
                if self.hosts[to].alive {
                    self.hosts[to]
                        .pool
                        .handle_relay_message(RelayId(from as u64), message, now);
                }
            }
            Event::ToRelay(from, to, connection, message) => {
                // A pool and the relay of its own process need no connection.
                if self.hosts[to].alive && (from == to || self.leads(from)) {
                    self.deliver(to, &connection, message);
                }
            }
            Event::CallArrives(host, call) => self.call_arrives(host, call),
            Event::PollEnds(host, call, until) => self.poll(host, call, until),
            Event::Answer(host, call, answer) => {
                let key = (host, call_key(&call));
                if self.hosts[host].alive && self.answered.insert(key) {
                    self.hosts[host]
                        .pool
                        .handle_worker_answer(&call, answer, now);
                }
            }
            Event::List(host) => {
                if self.leads(host) {
                    self.list_workers(host);
                }
            }
            Event::RelayLost(pool, relay) => {
                let pool = &mut self.hosts[pool].pool;
                pool.relay_lost(RelayId(relay as u64), now.before(DELAY), now);
            }
            Event::LateRequest(call, born_unix_ms) => {
                let worker = &mut self.workers[worker_of(&call)];
                // The delayed request is held by the worker and is lost when the worker restarts.
                if worker.alive && worker.born_unix_ms == born_unix_ms {
                    drop(worker.request(&call, now));
                }
            }
            Event::Submit(host, job) => {
                if self.hosts[host].alive && !self.answers.contains_key(&job.name) {
                    self.submit(host, &job);
                }
            }
            Event::BecomeLeader(host) => {
                if self.hosts[host].alive {
                    self.become_leader(host);
                }
            }
            Event::RestartHost(host) => self.restart_host(host),
            Event::WorkerCrashes(index, task) => self.worker_crashes(index, &task),
            Event::WorkerRestarts(index) => self.worker_restarts(index),
            Event::Link(event) => self.handle_link_event(event),
            Event::CallOverdue(host, call) => {
                let key = (host, call_key(&call));
                if self.hosts[host].alive && !self.answered.contains(&key) {
                    self.hosts[host].pool.start_overdue(&call, now);
                }
            }
            Event::CallTimesOut(host, call) => {
                let key = (host, call_key(&call));
                if self.hosts[host].alive && self.answered.insert(key) {
                    let answer = CallAnswer::Unanswered;
                    self.hosts[host]
                        .pool
                        .handle_worker_answer(&call, answer, now);
                }
            }
        }
    }

    /// Delivers a message of a pool to a host.
    pub(crate) fn deliver(
        &mut self,
        host: usize,
        connection: &PoolConnection,
        message: PoolMessage,
    ) {
        let now = self.now;
        if self.assigns_released_twice
            && let PoolMessage::Released { job, tasks, .. } = &message
            && let Some(owner) = self.leaders.get(connection.domain()).copied()
        {
            self.hosts[owner].pool.assign_part(job, tasks);
        }
        self.hosts[host].receive(connection, message, now);
    }

    fn send_load(&mut self) {
        for (domain, leader) in &self.leaders {
            let load = self.hosts[*leader].pool.load(self.now);
            for host in &mut self.hosts {
                if let Some(connection) = host.relay.connection(domain) {
                    host.relay.update_pool_load(&connection, load);
                }
            }
        }
    }

    fn call_arrives(&mut self, host: usize, call: WorkerCall) {
        let worker_index = worker_of(&call);
        if self.partitions.contains(&(host, worker_index)) {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        if !worker.alive && worker.refuses_connections {
            let answer = CallAnswer::ConnectionRefused;
            self.schedule(DELAY, Event::Answer(host, call, answer));
            return;
        }
        if !worker.alive || worker.silent {
            return;
        }
        if call.name.as_str() != worker.name {
            let answer = CallAnswer::Refused(CallRefusal::OtherIncarnation, None);
            self.schedule(DELAY, Event::Answer(host, call, answer));
            return;
        }
        if let WorkerRequest::Poll { wait, .. } = &call.request {
            let until = now.after(*wait);
            if let Some(refusal) = worker.accept_poll(&call, now) {
                self.schedule(DELAY, Event::Answer(host, call, refusal));
                return;
            }
            if let Some(left) = self.lost_polls.get_mut(&worker_index)
                && *left > 0
            {
                *left -= 1;
                return;
            }
            self.poll(host, call, until);
            return;
        }
        self.request_count += 1;
        if self.late_every > 0 && self.request_count.is_multiple_of(self.late_every) {
            self.late_requests.push(LATE_DELAY);
        }
        if let Some(late_by) = self.late_requests.pop() {
            let born_unix_ms = worker.born_unix_ms;
            self.schedule(late_by, Event::LateRequest(call, born_unix_ms));
            return;
        }
        let worker_delay = worker.answer_delay;
        let answer = worker.request(&call, now);
        if let WorkerRequest::Start { task, .. } = &call.request {
            let task = task.to_string();
            if self.deadly_tasks.contains_key(&task) {
                let event = Event::WorkerCrashes(worker_index, task);
                self.schedule(self.crash.after, event);
            }
        }
        if let Some(left) = self.lost_answers.get_mut(&worker_index)
            && *left > 0
        {
            *left -= 1;
            return;
        }
        let delay = DELAY + worker_delay;
        self.schedule(delay, Event::Answer(host, call, answer));
    }

    fn worker_crashes(&mut self, index: usize, task: &str) {
        let now = self.now;
        let worker = &mut self.workers[index];
        worker.advance(now);
        if !worker.alive || !worker.runs_task(task) {
            return;
        }
        worker.crash(now);
        worker.refuses_connections = self.crash.refuses_connections;
        *self.deadly_tasks.entry(String::from(task)).or_default() += 1;
        let line = format!(
            "{} {} event=crashed task={task}",
            now.as_millis(),
            worker.name
        );
        self.log.push(line);
        self.schedule(self.crash.down, Event::WorkerRestarts(index));
    }

    fn worker_restarts(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if worker.alive {
            return;
        }
        if self.crash.renamed {
            worker.restart_renamed(now);
        } else {
            worker.restart(now);
        }
        for leader in self.leaders.clone().into_values() {
            self.list_workers(leader);
        }
    }

    /// Returns how often each task has been started.
    pub fn starts_by_task(&self) -> BTreeMap<String, usize> {
        let mut starts = BTreeMap::new();
        for worker in &self.workers {
            for (task, ..) in worker.history(self.now) {
                *starts.entry(task).or_default() += 1;
            }
        }
        starts
    }

    /// Answers a poll once there is an ended run or its wait is over.
    fn poll(&mut self, host: usize, call: WorkerCall, until: UnixTime) {
        let now = self.now;
        let worker_index = worker_of(&call);
        let worker = &mut self.workers[worker_index];
        if !worker.alive || worker.silent {
            return;
        }
        worker.advance(now);
        let WorkerRequest::Poll { acknowledged, .. } = call.request else {
            return;
        };
        if worker.has_end_after(acknowledged) || now >= until {
            let report = worker.report(now);
            let delay = DELAY + worker.answer_delay;
            self.schedule(delay, Event::Answer(host, call, CallAnswer::Report(report)));
        } else {
            self.schedule(DELAY, Event::PollEnds(host, call, until));
        }
    }

    fn run_actions(&mut self) {
        loop {
            let mut idle = true;
            for host in 0..self.hosts.len() {
                let pool_actions = self.hosts[host].pool.take_actions();
                let relay_actions = self.hosts[host].relay.take_actions();
                idle &= pool_actions.is_empty() && relay_actions.is_empty();
                if !self.hosts[host].alive {
                    continue;
                }
                for action in pool_actions {
                    self.run_pool_action(host, action);
                }
                for action in relay_actions {
                    self.run_relay_action(host, action);
                }
            }
            if idle {
                return;
            }
        }
    }

    fn run_pool_action(&mut self, host: usize, action: PoolAction) {
        match action {
            PoolAction::Call(call) => {
                if let Some(overdue_at) = call.overdue_at {
                    let delay = overdue_at.since(self.now);
                    self.schedule(delay, Event::CallOverdue(host, call.clone()));
                }
                let limit = call.answer_by.since(self.now);
                self.schedule(limit, Event::CallTimesOut(host, call.clone()));
                if !self.passes_call(host, &call) {
                    return;
                }
                self.schedule(DELAY, Event::CallArrives(host, call));
            }
            PoolAction::Send(relay, message) if self.links.is_some() => {
                self.send_to_relay(host, relay, message);
            }
            PoolAction::Broadcast(message) if self.links.is_some() => {
                self.broadcast(host, &message);
            }
            PoolAction::Send(relay, message) => {
                self.send_without_link(host, relay.0 as usize, message);
            }
            PoolAction::Broadcast(message) => {
                for relay in 0..self.hosts.len() {
                    self.send_without_link(host, relay, message.clone());
                }
            }
            PoolAction::SendToPool(domain, message) => {
                self.run_relay_action(host, RelayAction::Send(domain, message));
            }
            PoolAction::Publish(waiting) => {
                let own_domain = self.hosts[host].domain.clone();
                let domains = self.leaders.keys().filter(|domain| **domain != own_domain);
                for domain in domains.cloned().collect::<Vec<_>>() {
                    let message = RelayMessage::Waiting(waiting);
                    self.run_relay_action(host, RelayAction::Send(domain, message));
                }
            }
            PoolAction::ReadEntries => self.schedule(self.entry_delay, Event::List(host)),
            PoolAction::LogDecision(decision) => {
                let line = format!("{} host={host} {decision}", self.now.as_millis());
                self.log.push(line);
            }
            PoolAction::LostLeadership => self.leadership_lost(host),
        }
    }

    /// Sends a message of a pool to the relay of a host, over a connection that always works.
    fn send_without_link(&mut self, pool: usize, relay: usize, message: PoolMessage) {
        let domain = &self.hosts[pool].domain;
        if let Some(connection) = self.hosts[relay].relay.connection(domain)
            && self.leads(pool)
        {
            self.schedule(DELAY, Event::ToRelay(pool, relay, connection, message));
        }
    }

    fn run_relay_action(&mut self, host: usize, action: RelayAction) {
        match action {
            RelayAction::Send(domain, message) if self.links.is_some() => {
                self.send_to_pool(host, &domain, message);
            }
            RelayAction::Send(domain, message) => {
                if let Some(leader) = self.leaders.get(&domain).copied() {
                    self.schedule(DELAY, Event::ToPool(host, leader, message));
                }
            }
            RelayAction::Answer(job, answer) => {
                let now = self.now;
                self.caller_answered(host, job.as_str(), answer);
                self.answers
                    .insert(String::from(job.as_str()), (answer, now));
            }
            RelayAction::LogDecision(decision) => {
                let line = format!("{} host={host} {decision}", self.now.as_millis());
                self.log.push(line);
            }
        }
    }
}

/// Returns the index of the called worker.
fn worker_of(call: &WorkerCall) -> usize {
    let digits = call.name.as_str().rsplit('-').next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Returns a key that identifies a call among those of one host.
fn call_key(call: &WorkerCall) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    format!("{call:?}").hash(&mut hasher);
    hasher.finish()
}
