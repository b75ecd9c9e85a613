//! Entry hosts: one kernel per incarnation, driven in the same way as by the entry process.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::errors::ErrorKind;
use bramley_core::job::ReplyToken;
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{KernelEvent, LoanReply, LoanRequest, PeerView};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName};
use bramley_core::ticket::TicketIssuer;
use bramley_core::units::{AttemptId, IncarnationId, UnixTime};

use super::callers::TEAMS;
use super::keys::KeyRequest;
use super::messages::{IncarnationNumber, Message, Reply, StartCall, Target};
use super::report::{FaultKind, ViolationKind};
use super::requests::{PendingRequest, ReplyPath, refusal};
use super::simulation::{DOMAINS, HOST_DOMAINS, Simulation};
use crate::support::configuration_with_quotas;

/// Maximum time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// An incarnation of an entry host.
pub struct HostNode {
    pub host: usize,
    /// Index of the failure domain in [`DOMAINS`].
    pub domain: usize,
    pub kernel: DispatchKernel,
    pub issuer: TicketIssuer,
    pub frozen: bool,
    /// Time at which the process was last thawed or started.
    pub thawed_at: UnixTime,
    pub draining: bool,
    /// Messages received while the process is frozen.
    pub queued_messages: Vec<Message>,
    pub pending: BTreeMap<ReplyToken, PendingRequest>,
    /// Incarnations that requested a loan, with the time of the request.
    pub borrowers: BTreeMap<ReplyToken, (IncarnationNumber, UnixTime)>,
    /// Return path and caller of each request forwarded to another host.
    pub forwarded_requests: BTreeMap<u64, (ReplyPath, u64)>,
    /// Requests by key in progress.
    pub key_requests: BTreeMap<u64, KeyRequest>,
    pub last_ended: Option<AttemptId>,
    last_id: u64,
    tick_at: UnixTime,
}

impl HostNode {
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Returns the name of a host.
pub fn host_name(host: usize) -> HostName {
    HostName::from(format!("entry-{host}").as_str())
}

/// Returns the index of a host, which its name ends in.
pub fn host_index(name: &HostName) -> usize {
    name.as_str()["entry-".len()..]
        .parse()
        .expect("the name ends in the index of a host")
}

impl Simulation {
    /// Starts a new incarnation at the address of a host, unless one is running there.
    pub fn start_host(&mut self, host: usize) {
        if self.current[host].is_some() {
            return;
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let domain = HOST_DOMAINS[host];
        let settings = KernelSettings {
            max_waiting_tasks: 30,
            max_kept_outcomes: 400,
            faults: self.settings.kernel_faults,
            ..KernelSettings::default()
        };
        let identity = KernelIdentity {
            host: host_name(host),
            domain: DomainName::from(DOMAINS[domain]),
            seed: incarnation,
        };
        let mut mac_key = [0; 32];
        mac_key[..8].copy_from_slice(&incarnation.to_le_bytes());
        let issuer = TicketIssuer::new(
            identity.domain.clone(),
            identity.host.clone(),
            IncarnationId::from_bits(u128::from(incarnation)),
            mac_key,
        );
        let node = HostNode {
            host,
            domain,
            kernel: DispatchKernel::new(identity, settings),
            issuer,
            frozen: false,
            thawed_at: self.now,
            draining: false,
            queued_messages: Vec::new(),
            pending: BTreeMap::new(),
            borrowers: BTreeMap::new(),
            forwarded_requests: BTreeMap::new(),
            key_requests: BTreeMap::new(),
            last_ended: None,
            last_id: 0,
            tick_at: UnixTime::NEVER,
        };
        self.hosts.insert(incarnation, node);
        self.current[host] = Some(incarnation);
        let configuration = configuration_with_quotas(&[(TEAMS[0], 1_000), (TEAMS[1], 10)]);
        self.handle_event(
            incarnation,
            KernelEvent::ConfigurationChanged(configuration),
        );
        let list = self.worker_profiles();
        self.handle_event(incarnation, KernelEvent::WorkersListed(list));
        let peers = self.peer_views(incarnation);
        self.handle_event(incarnation, KernelEvent::PeersChanged(peers));
    }

    /// Passes an event to a kernel, schedules the next tick and executes the resulting actions.
    pub fn handle_event(&mut self, incarnation: IncarnationNumber, event: KernelEvent) {
        let now = self.now;
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        let mut actions = Vec::new();
        node.kernel.handle(event, now, &mut actions);
        let latest = now.after(MAX_TICK_INTERVAL);
        let wakeup = node.kernel.next_wakeup().unwrap_or(latest).min(latest);
        let wakeup = wakeup.max(now.after(Duration::from_micros(1)));
        if wakeup < node.tick_at || node.tick_at <= now {
            node.tick_at = wakeup;
            let target = Target::Incarnation(incarnation);
            self.schedule(wakeup.since(now), target, Message::Tick);
        }
        for action in actions {
            self.execute(incarnation, action);
        }
    }

    /// Delivers a message to an incarnation, or queues it while the process is frozen.
    pub fn on_host_message(&mut self, incarnation: IncarnationNumber, message: Message) {
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        if let Message::Thaw = message {
            return self.thaw(incarnation);
        }
        if node.frozen {
            node.queued_messages.push(message);
            return;
        }
        match message {
            Message::Tick => {
                if node.tick_at <= self.now {
                    self.handle_event(incarnation, KernelEvent::Tick);
                }
            }
            Message::Request(request) => {
                let path = ReplyPath::Caller(request.caller);
                self.on_request(incarnation, request, path);
            }
            Message::Forwarded { from, id, request } => {
                self.on_owned_request(incarnation, request, ReplyPath::Peer(from, id));
            }
            Message::ForwardAnswered { id, reply } => {
                if let Some((path, caller)) = node.forwarded_requests.remove(&id) {
                    self.send_reply(incarnation, caller, path, reply);
                }
            }
            Message::ForwardTimeout { id } => {
                if let Some((path, caller)) = node.forwarded_requests.remove(&id) {
                    let reply = refusal(ErrorKind::OwnerUnreachable);
                    self.send_reply(incarnation, caller, path, reply);
                }
            }
            Message::StoreAnswered { id, reply } => self.on_store_answered(incarnation, id, reply),
            Message::StoreTimeout { id } => self.on_store_timeout(incarnation, id),
            Message::AttemptEnded { attempt, result } => {
                node.last_ended = Some(attempt);
                self.handle_event(incarnation, KernelEvent::AttemptEnded { attempt, result });
            }
            Message::LoanRequested {
                from,
                borrower,
                plain,
                sent,
            } => {
                let token = ReplyToken(node.next_id());
                node.borrowers.insert(token, (from, sent));
                let request = LoanRequest {
                    borrower,
                    plain,
                    accelerated: 0,
                    token,
                };
                self.handle_event(incarnation, KernelEvent::LoanRequested(request));
            }
            Message::LoanReplied(reply) => {
                self.handle_event(incarnation, KernelEvent::LoanReplied(reply));
            }
            Message::LoanReturned { borrower, slots } => {
                self.handle_event(incarnation, KernelEvent::LoanReturned { borrower, slots });
            }
            Message::StopDeadline => self.finish_shutdown(incarnation),
            other => panic!("message that is not for a host: {other:?}"),
        }
    }

    fn execute(&mut self, incarnation: IncarnationNumber, action: KernelAction) {
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let domain = node.domain;
        match action {
            KernelAction::Start(start) => {
                let worker = super::workers::worker_index(&start.worker);
                let call = StartCall {
                    from: incarnation,
                    attempt: start.attempt,
                    task: start.task,
                    payload: start.payload,
                    start_deadline: start.start_deadline,
                };
                self.send_start(domain, worker, call);
            }
            KernelAction::Stop { address, task } => {
                let worker = usize::from(address.port());
                let message = Message::StopArrived {
                    worker,
                    from: incarnation,
                    task,
                };
                let to = Some(super::simulation::WORKER_DOMAINS[worker]);
                self.transmit(Some(domain), to, Target::Simulation, message);
            }
            KernelAction::Abandon(_) => {}
            KernelAction::Reply { token, answer } => {
                if let Some(pending) = node.pending.remove(&token) {
                    self.check_answer(pending.caller, pending.kind, &answer);
                    let reply = Reply::Final(answer);
                    self.send_reply(incarnation, pending.caller, pending.path, reply);
                }
            }
            KernelAction::ReplyRunning(token) => {
                if let Some(pending) = node.pending.remove(&token) {
                    self.send_reply(incarnation, pending.caller, pending.path, Reply::Running);
                }
            }
            KernelAction::RequestLoan { lender, plain, .. } => {
                let borrower = host_name(node.host);
                let lender = host_index(&lender);
                let sent = self.now;
                let message = Message::LoanRequested {
                    from: incarnation,
                    borrower,
                    plain,
                    sent,
                };
                let to = Some(HOST_DOMAINS[lender]);
                self.transmit(Some(domain), to, Target::Host(lender), message);
            }
            KernelAction::GrantLoan {
                token,
                slots,
                until,
            } => {
                let Some((borrower, sent)) = node.borrowers.remove(&token) else {
                    return;
                };
                let lender = host_name(node.host);
                if !slots.is_empty() {
                    self.report.record_fault(FaultKind::Loan);
                }
                // The borrower counts the duration of the loan from the time of its request.
                let until = sent.after(until.since(self.now));
                let to = self.hosts.get(&borrower).map(|node| node.domain);
                let message = Message::LoanReplied(LoanReply {
                    lender,
                    slots,
                    until,
                });
                self.transmit(Some(domain), to, Target::Incarnation(borrower), message);
            }
            KernelAction::ReturnLoan { lender, slots } => {
                let borrower = host_name(node.host);
                let lender = host_index(&lender);
                let message = Message::LoanReturned { borrower, slots };
                let to = Some(HOST_DOMAINS[lender]);
                self.transmit(Some(domain), to, Target::Host(lender), message);
            }
        }
    }

    /// Returns the view that an incarnation has of the other hosts.
    fn peer_views(&self, incarnation: IncarnationNumber) -> Vec<PeerView> {
        let own = &self.hosts[&incarnation];
        let mut peers = Vec::new();
        for (host, current) in self.current.iter().enumerate() {
            let Some(node) = current.and_then(|incarnation| self.hosts.get(&incarnation)) else {
                continue;
            };
            if host == own.host {
                continue;
            }
            let cut = self.is_partitioned(Some(own.domain), Some(node.domain));
            let counts = node.kernel.slot_counts();
            peers.push(PeerView {
                host: host_name(host),
                domain: DomainName::from(DOMAINS[node.domain]),
                owns_slots: true,
                reachable: !cut && !node.frozen,
                idle_slots: counts.idle_plain,
                idle_accelerator_slots: 0,
            });
        }
        peers
    }

    /// Updates the peer views of all hosts that are not frozen and schedules the next update.
    pub fn update_all_peers(&mut self) {
        let incarnations: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for incarnation in incarnations {
            if !self.hosts[&incarnation].frozen {
                let peers = self.peer_views(incarnation);
                self.handle_event(incarnation, KernelEvent::PeersChanged(peers));
            }
        }
        self.schedule(
            Duration::from_millis(50),
            Target::Simulation,
            Message::UpdatePeers,
        );
    }

    /// Sends the worker list to all hosts that are not frozen and schedules the next update.
    pub fn update_worker_lists(&mut self) {
        let incarnations: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for incarnation in incarnations {
            if !self.hosts[&incarnation].frozen {
                let list = self.worker_profiles();
                self.handle_event(incarnation, KernelEvent::WorkersListed(list));
            }
        }
        self.schedule(
            Duration::from_millis(500),
            Target::Simulation,
            Message::UpdateWorkerList,
        );
    }

    /// Ends a graceful shutdown and removes the incarnation.
    fn finish_shutdown(&mut self, incarnation: IncarnationNumber) {
        let drained = self.hosts[&incarnation].kernel.is_drained();
        if !drained {
            self.report.record_fault(FaultKind::StopDeadline);
            self.handle_event(incarnation, KernelEvent::StopDeadlineReached);
        }
        let node = &self.hosts[&incarnation];
        if !node.pending.is_empty() || !node.kernel.is_drained() {
            self.report.record_violation(ViolationKind::StopCutOff, || {
                format!("incarnation {incarnation} shut down with unanswered requests or jobs")
            });
        }
        self.remove_host(incarnation);
    }
}
