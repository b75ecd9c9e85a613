//! Event loop of the simulation, which delivers events between callers, hosts and workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::job::{JobSpec, ReplyToken};
use bramley_core::kernel::KernelIdentity;
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{
    AttemptResult, JobSubmission, KernelEvent, LoanReply, LoanRequest, PeerView,
};
use bramley_core::names::{ClassName, DomainName, HostName, RackName, TeamName};
use bramley_core::task::{NotStartedProof, TaskInput};
use bramley_core::units::{AttemptId, TicketSerial, UnixTime};
use bramley_core::worker::{WorkerProfile, WorkerState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::RunReport;
use crate::scenario::{FaultKind, Scenario};

use super::deployment::{build_configuration, worker_address, worker_name, worker_position};
use super::dispatcher::{Dispatcher, PolicyDescriptor};
use super::events::{SimulationEvent, TimedEvent};
use super::metrics::{RunMetrics, TrackedJob};
use super::network::NetworkModel;
use super::simulated_worker::{RunOutcome, SimulatedWorker, StartOutcome, TaskParameters};

/// Virtual time at the start of a simulation, in microseconds.
pub const START_TIME_US: u64 = 1_000_000_000;

/// Interval between two heartbeats of a host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a heartbeat after which a peer is considered unreachable.
const PEER_UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a heartbeat after which a peer is excluded from the assignment of slots.
const PEER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay until changes, including workers marked as leaving, appear in the platform's worker list.
const WORKER_LIST_DELAY: Duration = Duration::from_secs(1);

/// Timeout of loan requests that are not delivered.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until the load balancer detects a frozen host, in microseconds.
const BALANCER_DELAY_US: u64 = 1_000_000;

/// Time to wait for answers after the last arrival, in microseconds.
const DRAIN_TIMEOUT_US: u64 = 130_000_000;

/// Lifetime of a ticket.
const TICKET_LIFETIME: Duration = Duration::from_secs(150);

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;

/// Bit set in the reply tokens of cancellations, whose answers are discarded.
const CANCEL_TOKEN_FLAG: u64 = 1 << 63;

#[derive(Debug)]
struct HostState {
    dispatcher: Box<dyn Dispatcher>,
    name: HostName,
    domain: DomainName,
    /// Idle slots without and with an accelerator, as of the last heartbeat.
    reported: (u32, u32),
    /// Time of the last heartbeat.
    reported_at: UnixTime,
    next_tick: Option<UnixTime>,
    last_serial: u64,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    network: NetworkModel,
    rng: ChaCha8Rng,
    now: UnixTime,
    queue: BinaryHeap<Reverse<TimedEvent>>,
    last_sequence: u64,
    hosts: Vec<HostState>,
    workers: Vec<SimulatedWorker>,
    metrics: RunMetrics,
    /// Borrower, lender and request time of each loan request, indexed by token.
    loan_requests: Vec<(usize, usize, UnixTime)>,
}

/// Simulates a scenario under a policy and returns the report.
#[must_use]
pub fn run_scenario(scenario: &Scenario, policy: &PolicyDescriptor) -> RunReport {
    let mut run = Simulation::new(scenario, policy);
    run.schedule_initial_events();
    let end =
        UnixTime::from_micros(START_TIME_US + scenario.duration_ms * 1_000 + DRAIN_TIMEOUT_US);
    while let Some(Reverse(timed)) = run.queue.pop() {
        if timed.at > end || run.is_finished() {
            break;
        }
        run.now = timed.at;
        run.process_event(timed.event);
    }
    let violation_counts = run.hosts.iter().map(|host| host.dispatcher.violations());
    let violations = violation_counts.sum();
    run.metrics.report(scenario, policy.name, violations)
}

impl Simulation {
    fn new(scenario: &Scenario, policy: &PolicyDescriptor) -> Self {
        let network = NetworkModel::new(scenario);
        let mut hosts = Vec::new();
        for (position, domain) in network.host_domains().iter().enumerate() {
            let name = HostName::from(format!("entry-{position}").as_str());
            let domain = DomainName::from(scenario.domains[*domain].name.as_str());
            let identity = KernelIdentity {
                host: name.clone(),
                domain: domain.clone(),
                seed: scenario.seed.wrapping_add(position as u64),
            };
            hosts.push(HostState {
                dispatcher: (policy.create)(identity),
                name,
                domain,
                reported: (0, 0),
                reported_at: UnixTime::from_micros(START_TIME_US),
                next_tick: None,
                last_serial: 0,
            });
        }
        let workers = (0..network.worker_domains().len())
            .map(|worker| SimulatedWorker::new(worker, scenario.slots_per_worker, &scenario.faults))
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            metrics: RunMetrics::new(scenario, START_TIME_US),
            scenario: scenario.clone(),
            network,
            now: UnixTime::from_micros(START_TIME_US),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            hosts,
            workers,
            loan_requests: Vec::new(),
        }
    }

    fn schedule_initial_events(&mut self) {
        let configuration = Arc::new(build_configuration(&self.scenario));
        for host in 0..self.hosts.len() {
            let event = KernelEvent::ConfigurationChanged(Arc::clone(&configuration));
            self.deliver_to_host(host, event);
            let peers = self.peer_views(host);
            self.deliver_to_host(host, KernelEvent::PeersChanged(peers));
            let stagger = HEARTBEAT_INTERVAL.mul_f64(host as f64 / self.hosts.len() as f64);
            self.schedule(self.now.after(stagger), SimulationEvent::Heartbeat(host));
        }
        self.process_event(SimulationEvent::PublishWorkerList);
        for workload in 0..self.scenario.workloads.len() {
            self.schedule_arrival(workload);
        }
        for (position, fault) in self.scenario.faults.clone().iter().enumerate() {
            if fault.kind == FaultKind::CancelWave {
                let at = UnixTime::from_micros(START_TIME_US + fault.from_ms * 1_000);
                self.schedule(at, SimulationEvent::CancelWave(position));
                continue;
            }
            for time_ms in [fault.from_ms, fault.until_ms] {
                let at = UnixTime::from_micros(START_TIME_US + time_ms * 1_000);
                self.schedule(
                    at.after(WORKER_LIST_DELAY),
                    SimulationEvent::PublishWorkerList,
                );
            }
        }
    }

    fn is_finished(&self) -> bool {
        let arrivals_end = START_TIME_US + self.scenario.duration_ms * 1_000;
        self.now.as_micros() > arrivals_end + 1_000_000 && self.metrics.open_job_count() == 0
    }

    fn schedule(&mut self, at: UnixTime, event: SimulationEvent) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.queue.push(Reverse(TimedEvent {
            at,
            sequence,
            event,
        }));
    }

    fn schedule_in(&mut self, delay_us: u64, event: SimulationEvent) {
        let at = UnixTime::from_micros(self.now.as_micros() + delay_us);
        self.schedule(at, event);
    }

    fn schedule_arrival(&mut self, workload: usize) {
        let settings = &self.scenario.workloads[workload];
        let time_us = self.now.as_micros() - START_TIME_US;
        let load = f64::from(self.scenario.load_percent_at(time_us)) / 100.0;
        let work_share = f64::from(settings.share_percent) / 100.0;
        let job_us = settings.mean_run_us() * settings.mean_tasks();
        let rate_per_us = load * work_share * self.scenario.total_slots() as f64 / job_us;
        if rate_per_us <= 0.0 {
            return;
        }
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap_us = (-uniform.ln() / rate_per_us) as u64;
        if time_us + gap_us < self.scenario.duration_ms * 1_000 {
            self.schedule_in(gap_us, SimulationEvent::Arrival(workload));
        }
    }

    fn process_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(workload) => self.submit(workload),
            SimulationEvent::DeliverToHost(host, event) => {
                match self.network.frozen_until(host, self.now) {
                    Some(end) => self.schedule(end, SimulationEvent::DeliverToHost(host, event)),
                    None => self.deliver_to_host(host, event),
                }
            }
            SimulationEvent::DeliverStart(worker, host, start) => {
                self.start_on_worker(worker, host, &start)
            }
            SimulationEvent::DeliverStop(worker, host, task) => {
                if let Some(attempt) = self.workers[worker].stop(host, task) {
                    self.report_attempt_result(worker, host, attempt, AttemptResult::Failed);
                }
            }
            SimulationEvent::TaskEnded(worker, run, outcome, payload) => {
                if let Some((host, attempt)) = self.workers[worker].finish(run) {
                    let result = match outcome {
                        RunOutcome::Finished => AttemptResult::Finished(payload),
                        RunOutcome::Failed => AttemptResult::Failed,
                        RunOutcome::Lost => AttemptResult::Unknown,
                    };
                    self.report_attempt_result(worker, host, attempt, result);
                }
            }
            SimulationEvent::DeliverAnswer(token, answer) => {
                self.metrics.record_answer(token.0, &answer, self.now)
            }
            SimulationEvent::Heartbeat(host) => self.heartbeat(host),
            SimulationEvent::PublishWorkerList => {
                for host in 0..self.hosts.len() {
                    let profiles = self.worker_profiles();
                    let event = KernelEvent::WorkersListed(profiles);
                    self.schedule(self.now, SimulationEvent::DeliverToHost(host, event));
                }
            }
            SimulationEvent::CancelWave(fault) => self.cancel_wave(fault),
        }
    }

    fn submit(&mut self, workload: usize) {
        self.schedule_arrival(workload);
        let settings = self.scenario.workloads[workload].clone();
        let job = self.metrics.next_job_index();
        let count = self
            .rng
            .random_range(settings.min_tasks..=settings.max_tasks);
        let mut tasks = Vec::with_capacity(count as usize);
        let mut run_times_us = Vec::with_capacity(count as usize);
        for index in 0..count {
            let run_us = settings.sample_run_us(&mut self.rng);
            run_times_us.push(run_us);
            let parameters = TaskParameters {
                run_us,
                fails: settings.fails,
            };
            tasks.push(TaskInput {
                payload: Arc::from(parameters.to_payload(job, index)),
                accelerators: settings.accelerators,
                memory_mib: settings.memory_mib,
                declared_ms: settings.declared_ms,
            });
        }
        let host = self.select_host();
        self.hosts[host].last_serial += 1;
        let serial = TicketSerial(self.hosts[host].last_serial);
        let time_limit = Duration::from_millis(u64::from(settings.answer_within_ms));
        let tracked = TrackedJob::new(
            workload,
            host,
            serial,
            self.now,
            time_limit,
            &run_times_us,
            &tasks,
        );
        self.metrics.record_submission(tracked);
        let spec = JobSpec {
            team: TeamName::from(settings.team.as_str()),
            class: ClassName::from(settings.class.as_str()),
            deadline: self.now.after(time_limit),
            idempotent: settings.idempotent,
            tasks,
        };
        let submission = JobSubmission {
            serial,
            expiry: self.now.after(TICKET_LIFETIME),
            digest: spec.digest(),
            spec,
            token: ReplyToken(job as u64),
        };
        let event = SimulationEvent::DeliverToHost(host, KernelEvent::Submitted(submission));
        self.schedule_in(self.scenario.caller_delay_us, event);
    }

    /// Selects a host as the platform's load balancer does: at random, except for hosts that it
    /// knows to be frozen.
    fn select_host(&mut self) -> usize {
        let observed_at =
            UnixTime::from_micros((self.now.as_micros() - BALANCER_DELAY_US).max(START_TIME_US));
        for _ in 0..self.hosts.len() * 4 {
            let host = self.rng.random_range(0..self.hosts.len());
            let known_frozen = self.network.frozen_until(host, observed_at).is_some()
                && self.network.frozen_until(host, self.now).is_some();
            if !known_frozen {
                return host;
            }
        }
        0
    }

    fn deliver_to_host(&mut self, host: usize, event: KernelEvent) {
        if matches!(event, KernelEvent::Tick) {
            self.hosts[host].next_tick = None;
        }
        let mut actions = Vec::new();
        let state = &mut self.hosts[host];
        state.dispatcher.handle(event, self.now, &mut actions);
        for action in actions {
            self.execute_action(host, action);
        }
        self.schedule_tick(host);
    }

    fn schedule_tick(&mut self, host: usize) {
        let Some(wakeup) = self.hosts[host].dispatcher.next_wakeup() else {
            return;
        };
        let at = wakeup.max(self.now.after(Duration::from_millis(1)));
        if self.hosts[host].next_tick.is_none_or(|tick| at < tick) {
            self.hosts[host].next_tick = Some(at);
            self.schedule(at, SimulationEvent::DeliverToHost(host, KernelEvent::Tick));
        }
    }

    fn execute_action(&mut self, host: usize, action: KernelAction) {
        match action {
            KernelAction::Start(start) => {
                let worker = worker_position(start.address);
                self.metrics.record_sent(start.task, host);
                if let Some(delay_us) = self.delay_to_worker(host, worker) {
                    self.schedule_in(delay_us, SimulationEvent::DeliverStart(worker, host, start));
                }
            }
            KernelAction::Abandon(_) => {}
            KernelAction::Stop { address, task } => {
                self.metrics.wasted.late_cancels += 1;
                let worker = worker_position(address);
                if let Some(delay_us) = self.delay_to_worker(host, worker) {
                    self.schedule_in(delay_us, SimulationEvent::DeliverStop(worker, host, task));
                }
            }
            KernelAction::Reply { token, answer } => {
                if token.0 & CANCEL_TOKEN_FLAG == 0 {
                    let event = SimulationEvent::DeliverAnswer(token, answer);
                    self.schedule_in(self.scenario.caller_delay_us, event);
                }
            }
            KernelAction::ReplyRunning(_) => {}
            KernelAction::RequestLoan {
                lender,
                plain,
                accelerated,
            } => self.request_loan(host, &lender, plain, accelerated),
            KernelAction::GrantLoan {
                token,
                slots,
                until,
            } => {
                self.metrics.wasted.loans += 1;
                let (borrower, lender, asked_at) = self.loan_requests[token.0 as usize];
                // The clocks of two hosts may differ, so the borrower measures the loan's term from
                // the time of its own request.
                let term = until.since(self.now);
                let reply = LoanReply {
                    lender: self.hosts[lender].name.clone(),
                    slots,
                    until: asked_at.after(term),
                };
                if let Some(delay_us) = self.delay_to_host(lender, borrower) {
                    let event =
                        SimulationEvent::DeliverToHost(borrower, KernelEvent::LoanReplied(reply));
                    self.schedule_in(delay_us, event);
                }
            }
            KernelAction::ReturnLoan { lender, slots } => {
                self.metrics.wasted.loans += 1;
                let position = self.host_position(&lender);
                let borrower = self.hosts[host].name.clone();
                if let Some(delay_us) = self.delay_to_host(host, position) {
                    let event = KernelEvent::LoanReturned { borrower, slots };
                    self.schedule_in(delay_us, SimulationEvent::DeliverToHost(position, event));
                }
            }
        }
    }

    fn request_loan(&mut self, host: usize, lender: &HostName, plain: u32, accelerated: u32) {
        self.metrics.wasted.loans += 1;
        let position = self.host_position(lender);
        let token = ReplyToken(self.loan_requests.len() as u64);
        self.loan_requests.push((host, position, self.now));
        let request = LoanRequest {
            borrower: self.hosts[host].name.clone(),
            plain,
            accelerated,
            token,
        };
        match self.delay_to_host(host, position) {
            Some(delay_us) => {
                let event =
                    SimulationEvent::DeliverToHost(position, KernelEvent::LoanRequested(request));
                self.schedule_in(delay_us, event);
            }
            None => {
                let reply = LoanReply {
                    lender: lender.clone(),
                    slots: Vec::new(),
                    until: self.now,
                };
                let event = SimulationEvent::DeliverToHost(host, KernelEvent::LoanReplied(reply));
                self.schedule(self.now.after(LOAN_REQUEST_TIMEOUT), event);
            }
        }
    }

    fn host_position(&self, name: &HostName) -> usize {
        let violation_counts = self.hosts.iter().position(|host| host.name == *name);
        violation_counts.expect("every peer is a simulated host")
    }

    fn delay_to_host(&self, from: usize, to: usize) -> Option<u64> {
        let domains = self.network.host_domains();
        self.network.delay_us(domains[from], domains[to], self.now)
    }

    fn delay_to_worker(&self, host: usize, worker: usize) -> Option<u64> {
        let from = self.network.host_domains()[host];
        let to = self.network.worker_domains()[worker];
        self.network.delay_us(from, to, self.now)
    }

    fn start_on_worker(&mut self, worker: usize, host: usize, start: &TaskStart) {
        let start_outcome = self.workers[worker].start(start, host, self.now);
        let not_started = |proof, leaving| AttemptResult::NotStarted { proof, leaving };
        match start_outcome {
            StartOutcome::Started(end) => {
                self.metrics.record_start(start, host, worker, self.now);
                let payload = Arc::clone(&start.payload);
                let event = SimulationEvent::TaskEnded(worker, end.run, end.outcome, payload);
                self.schedule(end.at, event);
            }
            StartOutcome::Unreachable => {
                self.metrics.wasted.unreachable += 1;
                let result = not_started(NotStartedProof::ConnectFailed, false);
                self.report_attempt_result(worker, host, start.attempt, result);
            }
            StartOutcome::Refused => {
                self.metrics.wasted.refused_starts += 1;
                let result = not_started(NotStartedProof::RefusedByWorker, false);
                self.report_attempt_result(worker, host, start.attempt, result);
            }
            StartOutcome::Leaving => {
                self.metrics.wasted.refused_starts += 1;
                let result = not_started(NotStartedProof::RefusedByWorker, true);
                self.report_attempt_result(worker, host, start.attempt, result);
            }
        }
    }

    fn report_attempt_result(
        &mut self,
        worker: usize,
        host: usize,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        if let Some(delay_us) = self.delay_to_worker(host, worker) {
            let event =
                SimulationEvent::DeliverToHost(host, KernelEvent::AttemptEnded { attempt, result });
            self.schedule_in(delay_us, event);
        }
    }

    fn heartbeat(&mut self, host: usize) {
        let next = self.now.after(HEARTBEAT_INTERVAL);
        self.schedule(next, SimulationEvent::Heartbeat(host));
        if self.network.frozen_until(host, self.now).is_some() {
            return;
        }
        let reported = self.hosts[host].dispatcher.idle_slots();
        self.hosts[host].reported = reported;
        self.hosts[host].reported_at = self.now;
        self.metrics.control_messages += self.hosts.len() as u64 - 1;
        let peers = self.peer_views(host);
        self.deliver_to_host(host, KernelEvent::PeersChanged(peers));
    }

    fn peer_views(&self, host: usize) -> Vec<PeerView> {
        let mut peers = Vec::new();
        for (position, peer) in self.hosts.iter().enumerate() {
            if position == host {
                continue;
            }
            let silence = self.now.since(peer.reported_at);
            let reachable =
                silence < PEER_UNREACHABLE_TIMEOUT && self.delay_to_host(host, position).is_some();
            peers.push(PeerView {
                host: peer.name.clone(),
                domain: peer.domain.clone(),
                owns_slots: silence < PEER_REMOVAL_TIMEOUT,
                reachable,
                idle_slots: peer.reported.0,
                idle_accelerator_slots: peer.reported.1,
            });
        }
        peers
    }

    /// Returns the platform's worker list, which reflects faults with a delay.
    fn worker_profiles(&self) -> Vec<WorkerProfile> {
        let observed_at = self.now.before(WORKER_LIST_DELAY);
        let listed_at = UnixTime::from_micros(observed_at.as_micros().max(START_TIME_US));
        let mut profiles = Vec::new();
        for (worker, domain) in self.network.worker_domains().iter().enumerate() {
            if self
                .network
                .has_fault(FaultKind::WorkersLost, worker, listed_at)
            {
                continue;
            }
            let leaving = self
                .network
                .has_fault(FaultKind::WorkersLeave, worker, listed_at);
            let domain = &self.scenario.domains[*domain].name;
            profiles.push(WorkerProfile {
                name: worker_name(worker),
                address: worker_address(worker),
                domain: DomainName::from(domain.as_str()),
                rack: RackName::from(format!("rack-{}", worker / WORKERS_PER_RACK).as_str()),
                slots: self.scenario.slots_per_worker,
                accelerators: self.scenario.accelerators_per_worker,
                memory_mib: self.scenario.worker_memory_mib,
                state: if leaving {
                    WorkerState::Leaving
                } else {
                    WorkerState::Live
                },
            });
        }
        profiles
    }

    fn cancel_wave(&mut self, fault: usize) {
        let percent = self.scenario.faults[fault].amount;
        for (job, host, serial) in self.metrics.open() {
            if self.rng.random_range(0..100) >= percent {
                continue;
            }
            self.metrics.record_cancellation(job);
            let event = KernelEvent::Cancelled {
                serial,
                expiry: self.now.after(TICKET_LIFETIME),
                token: ReplyToken(job as u64 | CANCEL_TOKEN_FLAG),
            };
            self.schedule_in(
                self.scenario.caller_delay_us,
                SimulationEvent::DeliverToHost(host, event),
            );
        }
    }
}
