//! State of the simulation and its event queue.

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

/// Names of the failure domains.
pub const DOMAINS: [&str; 2] = ["north", "south"];

/// Failure domain of each entry host, as an index into [`DOMAINS`].
pub const HOST_DOMAINS: [usize; 4] = [0, 0, 1, 1];

/// Failure domain of each worker, as an index into [`DOMAINS`].
pub const WORKER_DOMAINS: [usize; 6] = [0, 0, 0, 1, 1, 1];

/// Number of slots of each worker.
pub const WORKER_SLOTS: u32 = 3;

/// Duration of the settling phase at the end, without faults and new callers.
const SETTLE_DURATION: Duration = Duration::from_secs(90);

/// Time within which the probe jobs at the end must complete.
const PROBE_DURATION: Duration = Duration::from_secs(5);

const START: UnixTime = UnixTime::from_millis(1_000_000);

/// State of the simulation.
pub struct Simulation {
    pub settings: RunSettings,
    pub now: UnixTime,
    pub rng: ChaCha8Rng,
    pub report: RunReport,
    pub settling: bool,
    pub hosts: BTreeMap<IncarnationNumber, HostNode>,
    /// Current incarnation at the address of each host.
    pub current: Vec<Option<IncarnationNumber>>,
    pub last_incarnation: IncarnationNumber,
    pub workers: Vec<WorkerNode>,
    pub callers: BTreeMap<u64, CallerState>,
    pub last_caller: u64,
    pub store: StoreState,
    pub fault_periods: FaultPeriods,
    queue: BTreeMap<(UnixTime, u64), (Target, Message)>,
    last_event_id: u64,
}

impl Simulation {
    pub fn new(settings: RunSettings) -> Self {
        let mut simulation = Self {
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
            fault_periods: FaultPeriods::default(),
            queue: BTreeMap::new(),
            last_event_id: 0,
        };
        for host in 0..HOST_DOMAINS.len() {
            simulation.start_host(host);
        }
        for message in [
            Message::NewCaller,
            Message::UpdatePeers,
            Message::UpdateWorkerList,
            Message::InjectFaults,
            Message::CheckHosts,
        ] {
            simulation.schedule(Duration::ZERO, Target::Simulation, message);
        }
        simulation
    }

    /// Processes the configured number of events, lets the simulation settle and checks the result.
    pub fn run(&mut self) {
        while self.report.steps < self.settings.steps {
            self.step();
        }
        self.settling = true;
        self.end_all_faults();
        self.run_for(SETTLE_DURATION);
        let probes = self.probe_hosts();
        self.run_for(PROBE_DURATION);
        self.check_settled(&probes);
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now.after(duration);
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
            Target::Simulation => self.on_simulation_message(message),
            Target::Host(host) => {
                if let Some(incarnation) = self.current[host] {
                    self.on_host_message(incarnation, message);
                }
            }
            Target::Incarnation(incarnation) => self.on_host_message(incarnation, message),
        }
    }

    fn on_simulation_message(&mut self, message: Message) {
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
            Message::NewCaller => self.create_caller(),
            Message::CallerTimer(caller) => self.on_caller_timer(caller),
            Message::Restart(host) => self.start_host(host),
            Message::WorkerRestored(worker) => self.restore_worker(worker),
            Message::UpdatePeers => self.update_all_peers(),
            Message::UpdateWorkerList => self.update_worker_lists(),
            Message::InjectFaults => self.inject_faults(),
            Message::CheckHosts => self.check_hosts(),
            other => panic!("message {other:?} must be sent to a host"),
        }
    }

    /// Schedules the delivery of a message after a delay.
    pub fn schedule(&mut self, delay: Duration, target: Target, message: Message) {
        self.last_event_id += 1;
        let key = (self.now.after(delay), self.last_event_id);
        self.queue.insert(key, (target, message));
    }

    /// Sends a message over the network; returns `false` if it was lost.
    ///
    /// Callers and the store belong to no failure domain, so network partitions do not affect them.
    pub fn transmit(
        &mut self,
        from: Option<usize>,
        to: Option<usize>,
        target: Target,
        message: Message,
    ) -> bool {
        if self.is_partitioned(from, to) {
            return false;
        }
        if self.now < self.fault_periods.lossy_until && self.chance(8) {
            self.report.record_fault(FaultKind::LostMessage);
            return false;
        }
        if self.now < self.fault_periods.lossy_until && self.chance(8) {
            self.report.record_fault(FaultKind::DuplicatedMessage);
            let delay = self.random_micros(200, 400_000);
            self.schedule(delay, target, message.clone());
        }
        let delay = self.network_delay();
        self.schedule(delay, target, message);
        true
    }

    /// Draws the delay of a message. In lossy periods, some messages are overtaken by later ones.
    pub fn network_delay(&mut self) -> Duration {
        if self.now < self.fault_periods.lossy_until && self.chance(10) {
            self.report.record_fault(FaultKind::ReorderedMessage);
            return self.random_micros(5_000, 300_000);
        }
        self.random_micros(200, 1_500)
    }

    /// Returns whether a network partition currently separates two failure domains.
    pub fn is_partitioned(&self, from: Option<usize>, to: Option<usize>) -> bool {
        let (Some(from), Some(to)) = (from, to) else {
            return false;
        };
        from != to && self.now < self.fault_periods.partition_until
    }

    /// Draws a number smaller than `bound`.
    pub fn random_below(&mut self, bound: usize) -> usize {
        usize::try_from(self.rng.next_u64() % bound as u64).expect("the number fits in a usize")
    }

    /// Returns `true` with a probability of `percent` percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.rng.next_u64() % 100 < percent
    }

    /// Draws a duration of at least `min` and less than `max` microseconds.
    pub fn random_micros(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_micros(min + self.rng.next_u64() % (max - min))
    }
}
