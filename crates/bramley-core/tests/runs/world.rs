//! State of a run and its queue of events.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::units::UnixTime;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use super::RunSettings;
use super::callers::CallerState;
use super::faults::FaultPeriods;
use super::hosts::HostNode;
use super::keys::StoreState;
use super::messages::{IncarnationNumber, Message, Target};
use super::report::{FaultKind, RunReport};
use super::workers::WorkerNode;

/// Failure domains.
pub const DOMAINS: [&str; 2] = ["north", "south"];

/// Failure domain of each entry host.
pub const HOST_DOMAINS: [usize; 4] = [0, 0, 1, 1];

/// Failure domain of each worker.
pub const WORKER_DOMAINS: [usize; 6] = [0, 0, 0, 1, 1, 1];

/// Slots of each worker.
pub const WORKER_SLOTS: u32 = 3;

/// Time for which the run goes on without faults and new callers at the end.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// Time for which the last jobs may run.
const PROBE_TIME: Duration = Duration::from_secs(5);

const START: UnixTime = UnixTime::from_millis(1_000_000);

/// State of a run.
pub struct World {
    pub settings: RunSettings,
    pub now: UnixTime,
    pub rng: ChaCha8Rng,
    pub report: RunReport,
    pub settling: bool,
    pub hosts: BTreeMap<IncarnationNumber, HostNode>,
    /// Present incarnation at the address of each host.
    pub current: Vec<Option<IncarnationNumber>>,
    pub last_incarnation: IncarnationNumber,
    pub workers: Vec<WorkerNode>,
    pub callers: BTreeMap<u64, CallerState>,
    pub last_caller: u64,
    pub store: StoreState,
    pub periods: FaultPeriods,
    queue: BTreeMap<(UnixTime, u64), (Target, Message)>,
    last_event: u64,
}

impl World {
    pub fn new(settings: RunSettings) -> Self {
        let mut world = Self {
            settings,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            report: RunReport::default(),
            settling: false,
            hosts: BTreeMap::new(),
            current: vec![None; HOST_DOMAINS.len()],
            last_incarnation: 0,
            workers: WORKER_DOMAINS
                .iter()
                .map(|_| WorkerNode::default())
                .collect(),
            callers: BTreeMap::new(),
            last_caller: 0,
            store: StoreState::default(),
            periods: FaultPeriods::default(),
            queue: BTreeMap::new(),
            last_event: 0,
        };
        for host in 0..HOST_DOMAINS.len() {
            world.boot_host(host);
        }
        for message in [
            Message::CallerArrives,
            Message::Heartbeat,
            Message::WorkerList,
            Message::Inject,
            Message::Check,
        ] {
            world.schedule(Duration::ZERO, Target::World, message);
        }
        world
    }

    /// Handles events until the steps are made, then settles and checks the end.
    pub fn run(&mut self) {
        while self.report.steps < self.settings.steps {
            self.step();
        }
        self.settling = true;
        self.end_all_faults();
        self.run_for(SETTLE_TIME);
        let probes = self.probe_hosts();
        self.run_for(PROBE_TIME);
        self.check_settled(&probes);
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let Some(((time, _), (target, message))) = self.queue.pop_first() else {
            return;
        };
        self.now = self.now.max(time);
        self.report.steps += 1;
        match target {
            Target::World => self.on_world_message(message),
            Target::Host(host) => {
                if let Some(incarnation) = self.current[host] {
                    self.on_host_message(incarnation, message);
                }
            }
            Target::Incarnation(incarnation) => self.on_host_message(incarnation, message),
        }
    }

    fn on_world_message(&mut self, message: Message) {
        match message {
            Message::StartArrived { worker, call } => self.on_start(worker, call),
            Message::StopArrived { worker, from, task } => self.on_stop(worker, from, task),
            Message::RunEnded { worker, run } => self.on_run_ended(worker, run),
            Message::StoreCalled {
                from,
                id,
                caller,
                call,
            } => {
                self.on_store_called(from, id, caller, call);
            }
            Message::Answered { caller, reply } => self.on_answered(caller, &reply),
            Message::CallerArrives => self.on_caller_arrives(),
            Message::CallerActs(caller) => self.on_caller_acts(caller),
            Message::Restart(host) => self.boot_host(host),
            Message::WorkerRestored(worker) => self.restore_worker(worker),
            Message::Heartbeat => self.on_heartbeat(),
            Message::WorkerList => self.on_worker_list(),
            Message::Inject => self.on_inject(),
            Message::Check => self.on_check(),
            other => panic!("no host is meant by {other:?}"),
        }
    }

    /// Enters an event that falls due after a time.
    pub fn schedule(&mut self, delay: Duration, target: Target, message: Message) {
        self.last_event += 1;
        let key = (self.now.after(delay), self.last_event);
        self.queue.insert(key, (target, message));
    }

    /// Sends a message over the network; returns `false` if it was lost.
    ///
    /// Callers and the store lie in no failure domain and are never cut off by a cut.
    pub fn transmit(
        &mut self,
        from: Option<usize>,
        to: Option<usize>,
        target: Target,
        message: Message,
    ) -> bool {
        if self.is_cut(from, to) {
            return false;
        }
        if self.now < self.periods.lossy_until && self.chance(8) {
            self.report.injected(FaultKind::LostMessage);
            return false;
        }
        if self.now < self.periods.lossy_until && self.chance(8) {
            self.report.injected(FaultKind::DuplicatedMessage);
            let delay = self.micros(200, 400_000);
            self.schedule(delay, target, message.clone());
        }
        let delay = self.network_delay();
        self.schedule(delay, target, message);
        true
    }

    /// Draws the delay of a message; some are passed by later ones.
    pub fn network_delay(&mut self) -> Duration {
        if self.now < self.periods.lossy_until && self.chance(10) {
            self.report.injected(FaultKind::ReorderedMessage);
            return self.micros(5_000, 300_000);
        }
        self.micros(200, 1_500)
    }

    pub fn is_cut(&self, from: Option<usize>, to: Option<usize>) -> bool {
        let (Some(from), Some(to)) = (from, to) else {
            return false;
        };
        from != to && self.now < self.periods.cut_until
    }

    /// Draws a number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        usize::try_from(self.rng.next_u64() % bound as u64).expect("small bounds")
    }

    /// Draws whether something of the given probability in percent happens.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.rng.next_u64() % 100 < percent
    }

    /// Draws a span between two numbers of microseconds.
    pub fn micros(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_micros(least + self.rng.next_u64() % (most - least))
    }
}
