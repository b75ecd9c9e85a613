//! Carries events between callers, hosts and workers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::job::{JobSpec, ReplyToken};
use bramley_core::kernel::KernelIdentity;
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{
    AttemptEnd, JobSubmission, KernelEvent, LoanReply, LoanRequest, PeerView,
};
use bramley_core::names::{ClassName, DomainName, HostName, RackName, TeamName};
use bramley_core::task::{NotStartedProof, TaskInput};
use bramley_core::units::{AttemptId, TicketSerial, UnixTime};
use bramley_core::worker::{WorkerProfile, WorkerState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::RunReport;
use crate::scenario::{FaultKind, Scenario};

use super::deployment::{configure, worker_address, worker_name, worker_position};
use super::dispatcher::{Dispatcher, PolicyDescriptor};
use super::events::{RunEvent, TimedEvent};
use super::fake_worker::{FakeWorker, PayloadPlan, RunOutcome, StartVerdict};
use super::network::NetworkModel;
use super::tally::{JobTrack, RunTally};

/// Virtual time at the start of a run, in microseconds.
pub const START_US: u64 = 1_000_000_000;

/// Time between two heartbeats of a host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a peer counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Silence after which a peer no longer takes part in the division of slots.
const GONE_AFTER: Duration = Duration::from_secs(6);

/// Time after which the platform's list and the signs of leaving show a change.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Time after which a lost request to lend slots counts as failed.
const LOAN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which the balancer sends nothing more to a frozen host.
const BALANCER_LAG_US: u64 = 1_000_000;

/// Time after the last arrival in which answers are waited for.
const DRAIN_US: u64 = 130_000_000;

/// Life of a ticket.
const TICKET_LIFE: Duration = Duration::from_secs(150);

/// Workers in a rack.
const RACK_SIZE: usize = 8;

/// Mark on the token of a cancellation, whose answer no caller waits for.
const CANCEL_MARK: u64 = 1 << 63;

#[derive(Debug)]
struct HostState {
    dispatcher: Box<dyn Dispatcher>,
    name: HostName,
    domain: DomainName,
    /// Idle slots as last sent, and when; the others see these.
    reported: (u32, u32),
    reported_at: UnixTime,
    next_tick: Option<UnixTime>,
    last_serial: u64,
}

#[derive(Debug)]
struct VirtualRun {
    scenario: Scenario,
    network: NetworkModel,
    random: ChaCha8Rng,
    now: UnixTime,
    queue: BinaryHeap<Reverse<TimedEvent>>,
    last_order: u64,
    hosts: Vec<HostState>,
    workers: Vec<FakeWorker>,
    tally: RunTally,
    /// Lender, request time of each loan request under way, by token.
    loans: Vec<(usize, usize, UnixTime)>,
}

/// Runs a scenario under a policy and reports what was found.
#[must_use]
pub fn run_scenario(scenario: &Scenario, policy: &PolicyDescriptor) -> RunReport {
    let mut run = VirtualRun::new(scenario, policy);
    run.begin();
    let end = UnixTime::from_micros(START_US + scenario.duration_ms * 1_000 + DRAIN_US);
    while let Some(Reverse(timed)) = run.queue.pop() {
        if timed.at > end || run.is_over() {
            break;
        }
        run.now = timed.at;
        run.step(timed.event);
    }
    let found = run.hosts.iter().map(|host| host.dispatcher.violations());
    let violations = found.sum();
    run.tally.report(scenario, policy.name, violations)
}

impl VirtualRun {
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
                reported_at: UnixTime::from_micros(START_US),
                next_tick: None,
                last_serial: 0,
            });
        }
        let workers = (0..network.worker_domains().len())
            .map(|worker| FakeWorker::new(worker, scenario.slots_per_worker, &scenario.faults))
            .collect();
        Self {
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            tally: RunTally::new(scenario, START_US),
            scenario: scenario.clone(),
            network,
            now: UnixTime::from_micros(START_US),
            queue: BinaryHeap::new(),
            last_order: 0,
            hosts,
            workers,
            loans: Vec::new(),
        }
    }

    fn begin(&mut self) {
        let configuration = Arc::new(configure(&self.scenario));
        for host in 0..self.hosts.len() {
            let event = KernelEvent::Configured(Arc::clone(&configuration));
            self.tell_host(host, event);
            let peers = self.view_of(host);
            self.tell_host(host, KernelEvent::PeersChanged(peers));
            let stagger = HEARTBEAT_INTERVAL.mul_f64(host as f64 / self.hosts.len() as f64);
            self.schedule(self.now.after(stagger), RunEvent::Heartbeat(host));
        }
        self.step(RunEvent::List);
        for workload in 0..self.scenario.workloads.len() {
            self.schedule_arrival(workload);
        }
        for (position, fault) in self.scenario.faults.clone().iter().enumerate() {
            if fault.kind == FaultKind::CancelWave {
                let at = UnixTime::from_micros(START_US + fault.from_ms * 1_000);
                self.schedule(at, RunEvent::CancelWave(position));
                continue;
            }
            for time_ms in [fault.from_ms, fault.until_ms] {
                let at = UnixTime::from_micros(START_US + time_ms * 1_000);
                self.schedule(at.after(LIST_LAG), RunEvent::List);
            }
        }
    }

    fn is_over(&self) -> bool {
        let arrivals_end = START_US + self.scenario.duration_ms * 1_000;
        self.now.as_micros() > arrivals_end + 1_000_000 && self.tally.open_jobs() == 0
    }

    fn schedule(&mut self, at: UnixTime, event: RunEvent) {
        self.last_order += 1;
        let order = self.last_order;
        self.queue.push(Reverse(TimedEvent { at, order, event }));
    }

    fn schedule_in(&mut self, delay_us: u64, event: RunEvent) {
        let at = UnixTime::from_micros(self.now.as_micros() + delay_us);
        self.schedule(at, event);
    }

    fn schedule_arrival(&mut self, workload: usize) {
        let settings = &self.scenario.workloads[workload];
        let time_us = self.now.as_micros() - START_US;
        let load = f64::from(self.scenario.load_at(time_us)) / 100.0;
        let work_share = f64::from(settings.share_percent) / 100.0;
        let job_us = settings.mean_run_us() * settings.mean_tasks();
        let rate_per_us = load * work_share * self.scenario.total_slots() as f64 / job_us;
        if rate_per_us <= 0.0 {
            return;
        }
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let gap_us = (-uniform.ln() / rate_per_us) as u64;
        if time_us + gap_us < self.scenario.duration_ms * 1_000 {
            self.schedule_in(gap_us, RunEvent::Arrival(workload));
        }
    }

    fn step(&mut self, event: RunEvent) {
        match event {
            RunEvent::Arrival(workload) => self.submit(workload),
            RunEvent::ToHost(host, event) => match self.network.frozen_until(host, self.now) {
                Some(end) => self.schedule(end, RunEvent::ToHost(host, event)),
                None => self.tell_host(host, event),
            },
            RunEvent::ToWorker(worker, host, start) => self.start_on(worker, host, &start),
            RunEvent::ToStop(worker, host, task) => {
                if let Some(attempt) = self.workers[worker].stop(host, task) {
                    self.answer_host(worker, host, attempt, AttemptEnd::Failed);
                }
            }
            RunEvent::RunEnd(worker, run, outcome, payload) => {
                if let Some((host, attempt)) = self.workers[worker].end(run) {
                    let end = match outcome {
                        RunOutcome::Finished => AttemptEnd::Finished(payload),
                        RunOutcome::Failed => AttemptEnd::Failed,
                        RunOutcome::Lost => AttemptEnd::Unknown,
                    };
                    self.answer_host(worker, host, attempt, end);
                }
            }
            RunEvent::ToCaller(token, answer) => self.tally.answered(token.0, &answer, self.now),
            RunEvent::Heartbeat(host) => self.heartbeat(host),
            RunEvent::List => {
                for host in 0..self.hosts.len() {
                    let profiles = self.list_workers();
                    let event = KernelEvent::WorkersListed(profiles);
                    self.schedule(self.now, RunEvent::ToHost(host, event));
                }
            }
            RunEvent::CancelWave(fault) => self.cancel_wave(fault),
        }
    }

    fn submit(&mut self, workload: usize) {
        self.schedule_arrival(workload);
        let settings = self.scenario.workloads[workload].clone();
        let job = self.tally.next_job();
        let count = self
            .random
            .random_range(settings.min_tasks..=settings.max_tasks);
        let mut tasks = Vec::with_capacity(count as usize);
        let mut runs_us = Vec::with_capacity(count as usize);
        for index in 0..count {
            let run_us = settings.draw_run_us(&mut self.random);
            runs_us.push(run_us);
            let plan = PayloadPlan {
                run_us,
                fails: settings.fails,
            };
            tasks.push(TaskInput {
                payload: Arc::from(plan.to_payload(job, index)),
                accelerators: settings.accelerators,
                memory_mib: settings.memory_mib,
                declared_ms: settings.declared_ms,
            });
        }
        let host = self.pick_host();
        self.hosts[host].last_serial += 1;
        let serial = TicketSerial(self.hosts[host].last_serial);
        let within = Duration::from_millis(u64::from(settings.answer_within_ms));
        let track = JobTrack::new(workload, host, serial, self.now, within, &runs_us, &tasks);
        self.tally.submitted(track);
        let spec = JobSpec {
            team: TeamName::from(settings.team.as_str()),
            class: ClassName::from(settings.class.as_str()),
            deadline: self.now.after(within),
            idempotent: settings.idempotent,
            tasks,
        };
        let submission = JobSubmission {
            serial,
            expiry: self.now.after(TICKET_LIFE),
            digest: spec.digest(),
            spec,
            token: ReplyToken(job as u64),
        };
        let event = RunEvent::ToHost(host, KernelEvent::Submitted(submission));
        self.schedule_in(self.scenario.caller_delay_us, event);
    }

    /// Picks a host as the platform's balancer does: at random among those that answer.
    fn pick_host(&mut self) -> usize {
        let lagged = UnixTime::from_micros((self.now.as_micros() - BALANCER_LAG_US).max(START_US));
        for _ in 0..self.hosts.len() * 4 {
            let host = self.random.random_range(0..self.hosts.len());
            let known_frozen = self.network.frozen_until(host, lagged).is_some()
                && self.network.frozen_until(host, self.now).is_some();
            if !known_frozen {
                return host;
            }
        }
        0
    }

    fn tell_host(&mut self, host: usize, event: KernelEvent) {
        if matches!(event, KernelEvent::Ticked) {
            self.hosts[host].next_tick = None;
        }
        let mut actions = Vec::new();
        let state = &mut self.hosts[host];
        state.dispatcher.handle(event, self.now, &mut actions);
        for action in actions {
            self.carry_out(host, action);
        }
        self.plan_tick(host);
    }

    fn plan_tick(&mut self, host: usize) {
        let Some(wakeup) = self.hosts[host].dispatcher.next_wakeup() else {
            return;
        };
        let at = wakeup.max(self.now.after(Duration::from_millis(1)));
        if self.hosts[host].next_tick.is_none_or(|tick| at < tick) {
            self.hosts[host].next_tick = Some(at);
            self.schedule(at, RunEvent::ToHost(host, KernelEvent::Ticked));
        }
    }

    fn carry_out(&mut self, host: usize, action: KernelAction) {
        match action {
            KernelAction::Start(start) => {
                let worker = worker_position(start.address);
                self.tally.sent(start.task, host);
                if let Some(delay_us) = self.delay_to_worker(host, worker) {
                    self.schedule_in(delay_us, RunEvent::ToWorker(worker, host, start));
                }
            }
            KernelAction::Abandon(_) => {}
            KernelAction::Stop { address, task } => {
                self.tally.wasted.late_cancels += 1;
                let worker = worker_position(address);
                if let Some(delay_us) = self.delay_to_worker(host, worker) {
                    self.schedule_in(delay_us, RunEvent::ToStop(worker, host, task));
                }
            }
            KernelAction::Reply { token, answer } => {
                if token.0 & CANCEL_MARK == 0 {
                    let event = RunEvent::ToCaller(token, answer);
                    self.schedule_in(self.scenario.caller_delay_us, event);
                }
            }
            KernelAction::ReplyRunning(_) => {}
            KernelAction::AskLoan {
                lender,
                plain,
                accelerated,
            } => self.ask_loan(host, &lender, plain, accelerated),
            KernelAction::GrantLoan {
                token,
                slots,
                until,
            } => {
                self.tally.wasted.loans += 1;
                let (borrower, lender, asked_at) = self.loans[token.0 as usize];
                // The borrower counts the term from its request, as its clock is another one.
                let term = until.since(self.now);
                let reply = LoanReply {
                    lender: self.hosts[lender].name.clone(),
                    slots,
                    until: asked_at.after(term),
                };
                if let Some(delay_us) = self.delay_to_host(lender, borrower) {
                    let event = RunEvent::ToHost(borrower, KernelEvent::LoanAnswered(reply));
                    self.schedule_in(delay_us, event);
                }
            }
            KernelAction::ReturnLoan { lender, slots } => {
                self.tally.wasted.loans += 1;
                let position = self.find_host(&lender);
                let borrower = self.hosts[host].name.clone();
                if let Some(delay_us) = self.delay_to_host(host, position) {
                    let event = KernelEvent::LoanReturned { borrower, slots };
                    self.schedule_in(delay_us, RunEvent::ToHost(position, event));
                }
            }
        }
    }

    fn ask_loan(&mut self, host: usize, lender: &HostName, plain: u32, accelerated: u32) {
        self.tally.wasted.loans += 1;
        let position = self.find_host(lender);
        let token = ReplyToken(self.loans.len() as u64);
        self.loans.push((host, position, self.now));
        let request = LoanRequest {
            borrower: self.hosts[host].name.clone(),
            plain,
            accelerated,
            token,
        };
        match self.delay_to_host(host, position) {
            Some(delay_us) => {
                let event = RunEvent::ToHost(position, KernelEvent::LoanAsked(request));
                self.schedule_in(delay_us, event);
            }
            None => {
                let reply = LoanReply {
                    lender: lender.clone(),
                    slots: Vec::new(),
                    until: self.now,
                };
                let event = RunEvent::ToHost(host, KernelEvent::LoanAnswered(reply));
                self.schedule(self.now.after(LOAN_TIMEOUT), event);
            }
        }
    }

    fn find_host(&self, name: &HostName) -> usize {
        let found = self.hosts.iter().position(|host| host.name == *name);
        found.expect("peers are hosts of the run")
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

    fn start_on(&mut self, worker: usize, host: usize, start: &TaskStart) {
        let verdict = self.workers[worker].start(start, host, self.now);
        let not_started = |proof, leaving| AttemptEnd::NotStarted { proof, leaving };
        match verdict {
            StartVerdict::Runs(end) => {
                self.tally.started(start, host, worker, self.now);
                let payload = Arc::clone(&start.payload);
                let event = RunEvent::RunEnd(worker, end.run, end.outcome, payload);
                self.schedule(end.at, event);
            }
            StartVerdict::Unreachable => {
                self.tally.wasted.unreachable += 1;
                let end = not_started(NotStartedProof::ConnectFailed, false);
                self.answer_host(worker, host, start.attempt, end);
            }
            StartVerdict::Refused => {
                self.tally.wasted.refused_starts += 1;
                let end = not_started(NotStartedProof::RefusedByWorker, false);
                self.answer_host(worker, host, start.attempt, end);
            }
            StartVerdict::Leaving => {
                self.tally.wasted.refused_starts += 1;
                let end = not_started(NotStartedProof::RefusedByWorker, true);
                self.answer_host(worker, host, start.attempt, end);
            }
        }
    }

    fn answer_host(&mut self, worker: usize, host: usize, attempt: AttemptId, end: AttemptEnd) {
        if let Some(delay_us) = self.delay_to_worker(host, worker) {
            let event = RunEvent::ToHost(host, KernelEvent::AttemptEnded { attempt, end });
            self.schedule_in(delay_us, event);
        }
    }

    fn heartbeat(&mut self, host: usize) {
        let next = self.now.after(HEARTBEAT_INTERVAL);
        self.schedule(next, RunEvent::Heartbeat(host));
        if self.network.frozen_until(host, self.now).is_some() {
            return;
        }
        let reported = self.hosts[host].dispatcher.idle_slots();
        self.hosts[host].reported = reported;
        self.hosts[host].reported_at = self.now;
        self.tally.control_messages += self.hosts.len() as u64 - 1;
        let peers = self.view_of(host);
        self.tell_host(host, KernelEvent::PeersChanged(peers));
    }

    fn view_of(&self, host: usize) -> Vec<PeerView> {
        let mut peers = Vec::new();
        for (position, peer) in self.hosts.iter().enumerate() {
            if position == host {
                continue;
            }
            let silence = self.now.since(peer.reported_at);
            let reachable =
                silence < UNREACHABLE_AFTER && self.delay_to_host(host, position).is_some();
            peers.push(PeerView {
                host: peer.name.clone(),
                domain: peer.domain.clone(),
                shares_slots: silence < GONE_AFTER,
                reachable,
                idle_slots: peer.reported.0,
                idle_accelerator_slots: peer.reported.1,
            });
        }
        peers
    }

    /// Returns the platform's list, which shows the faults of a moment ago.
    fn list_workers(&self) -> Vec<WorkerProfile> {
        let lagged = self.now.before(LIST_LAG);
        let shown = UnixTime::from_micros(lagged.as_micros().max(START_US));
        let mut profiles = Vec::new();
        for (worker, domain) in self.network.worker_domains().iter().enumerate() {
            if self
                .network
                .is_faulty(FaultKind::WorkersLost, worker, shown)
            {
                continue;
            }
            let leaving = self
                .network
                .is_faulty(FaultKind::WorkersLeave, worker, shown);
            let domain = &self.scenario.domains[*domain].name;
            profiles.push(WorkerProfile {
                name: worker_name(worker),
                address: worker_address(worker),
                domain: DomainName::from(domain.as_str()),
                rack: RackName::from(format!("rack-{}", worker / RACK_SIZE).as_str()),
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
        for (job, host, serial) in self.tally.open() {
            if self.random.random_range(0..100) >= percent {
                continue;
            }
            self.tally.cancel(job);
            let event = KernelEvent::Cancelled {
                serial,
                expiry: self.now.after(TICKET_LIFE),
                token: ReplyToken(job as u64 | CANCEL_MARK),
            };
            self.schedule_in(self.scenario.caller_delay_us, RunEvent::ToHost(host, event));
        }
    }
}
