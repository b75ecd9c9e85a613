//! Entry hosts: one kernel for each incarnation, driven as the daemon drives it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobFailure, ReplyToken};
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{
    AttemptEnd, JobSubmission, KernelEvent, LoanReply, LoanRequest, PeerView,
};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName};
use bramley_core::task::NotStartedProof;
use bramley_core::ticket::{JobTicket, TicketIssuer};
use bramley_core::units::{AttemptId, IncarnationId, UnixTime};

use super::keys::KeyRequest;
use super::messages::{
    CallerRequest, IncarnationNumber, Message, Reply, RequestKind, StartCall, Target,
};
use super::report::{FaultKind, ViolationKind};
use super::world::{DOMAINS, HOST_DOMAINS, World};
use crate::support::configuration;

/// Longest time between two ticks.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Wait for the answer of another host to a forwarded request.
const FORWARD_WAIT: Duration = Duration::from_millis(3_500);

/// Where the answer to a request goes.
#[derive(Clone, Copy, Debug)]
pub enum ReplyPath {
    Caller(u64),
    Peer(IncarnationNumber, u64),
    Key(u64),
}

/// A request that waits for the answer of the kernel.
#[derive(Debug)]
pub struct PendingRequest {
    pub caller: u64,
    pub kind: RequestKind,
    pub path: ReplyPath,
    pub answer_by: UnixTime,
}

/// One incarnation of an entry host.
pub struct HostNode {
    pub host: usize,
    pub domain: usize,
    pub kernel: DispatchKernel,
    pub issuer: TicketIssuer,
    pub frozen: bool,
    pub thawed: UnixTime,
    pub draining: bool,
    pub inbox: Vec<Message>,
    pub pending: BTreeMap<ReplyToken, PendingRequest>,
    pub borrowers: BTreeMap<ReplyToken, (IncarnationNumber, UnixTime)>,
    pub forwards: BTreeMap<u64, (ReplyPath, u64)>,
    pub keys: BTreeMap<u64, KeyRequest>,
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

pub fn host_name(host: usize) -> HostName {
    HostName::from(format!("entry-{host}").as_str())
}

pub fn host_of(name: &HostName) -> usize {
    name.as_str()["entry-".len()..]
        .parse()
        .expect("a host of the run")
}

/// Makes the refusal that a host gives without its kernel.
pub fn refusal(kind: ErrorKind) -> Reply {
    let error = DispatchError::new(kind, "");
    Reply::Final(Arc::new(JobAnswer::Failed(JobFailure::refusal(error))))
}

impl World {
    /// Starts a fresh incarnation at the address of a host.
    pub fn boot_host(&mut self, host: usize) {
        if self.current[host].is_some() {
            return;
        }
        self.last_incarnation += 1;
        let number = self.last_incarnation;
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
            seed: number,
        };
        let mut seal_key = [0; 32];
        seal_key[..8].copy_from_slice(&number.to_le_bytes());
        let issuer = TicketIssuer::new(
            identity.domain.clone(),
            identity.host.clone(),
            IncarnationId::from_bits(u128::from(number)),
            seal_key,
        );
        let node = HostNode {
            host,
            domain,
            kernel: DispatchKernel::new(identity, settings),
            issuer,
            frozen: false,
            thawed: self.now,
            draining: false,
            inbox: Vec::new(),
            pending: BTreeMap::new(),
            borrowers: BTreeMap::new(),
            forwards: BTreeMap::new(),
            keys: BTreeMap::new(),
            last_ended: None,
            last_id: 0,
            tick_at: UnixTime::NEVER,
        };
        self.hosts.insert(number, node);
        self.current[host] = Some(number);
        self.feed(number, KernelEvent::Configured(configuration()));
        let list = self.worker_list();
        self.feed(number, KernelEvent::WorkersListed(list));
        let peers = self.peers_of(number);
        self.feed(number, KernelEvent::PeersChanged(peers));
    }

    /// Hands an event to a kernel and carries out what follows.
    pub fn feed(&mut self, incarnation: IncarnationNumber, event: KernelEvent) {
        let now = self.now;
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        let mut actions = Vec::new();
        node.kernel.handle(event, now, &mut actions);
        let latest = now.after(LONGEST_SLEEP);
        let wakeup = node.kernel.next_wakeup().unwrap_or(latest).min(latest);
        let wakeup = wakeup.max(now.after(Duration::from_micros(1)));
        if wakeup < node.tick_at || node.tick_at <= now {
            node.tick_at = wakeup;
            let target = Target::Incarnation(incarnation);
            self.schedule(wakeup.since(now), target, Message::HostTick);
        }
        for action in actions {
            self.carry_out(incarnation, action);
        }
    }

    /// Handles a message for an incarnation, or keeps it while the process is frozen.
    pub fn on_host_message(&mut self, incarnation: IncarnationNumber, message: Message) {
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        if let Message::Thaw = message {
            return self.thaw(incarnation);
        }
        if node.frozen {
            node.inbox.push(message);
            return;
        }
        match message {
            Message::HostTick => {
                if node.tick_at <= self.now {
                    self.feed(incarnation, KernelEvent::Ticked);
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
                if let Some((path, caller)) = node.forwards.remove(&id) {
                    self.send_reply(incarnation, caller, path, reply);
                }
            }
            Message::ForwardTimeout { id } => {
                if let Some((path, caller)) = node.forwards.remove(&id) {
                    let reply = refusal(ErrorKind::OwnerUnreachable);
                    self.send_reply(incarnation, caller, path, reply);
                }
            }
            Message::StoreAnswered { id, reply } => self.on_store_answered(incarnation, id, reply),
            Message::StoreTimeout { id } => self.on_store_timeout(incarnation, id),
            Message::AttemptEnded { attempt, end } => {
                node.last_ended = Some(attempt);
                self.feed(incarnation, KernelEvent::AttemptEnded { attempt, end });
            }
            Message::LoanAsked {
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
                self.feed(incarnation, KernelEvent::LoanAsked(request));
            }
            Message::LoanAnswered(reply) => {
                self.feed(incarnation, KernelEvent::LoanAnswered(reply));
            }
            Message::LoanReturned { borrower, slots } => {
                self.feed(incarnation, KernelEvent::LoanReturned { borrower, slots });
            }
            Message::StopDeadline => self.finish_stop(incarnation),
            other => panic!("no host handles {other:?}"),
        }
    }

    /// Routes a request of a caller as the daemon does.
    pub fn on_request(
        &mut self,
        incarnation: IncarnationNumber,
        request: CallerRequest,
        path: ReplyPath,
    ) {
        let Some(ticket) = &request.ticket else {
            self.on_key_request(incarnation, request.caller, request.kind);
            return;
        };
        let node = &self.hosts[&incarnation];
        let owner = host_of(&ticket.host);
        if owner == node.host {
            self.on_owned_request(incarnation, request, path);
            return;
        }
        let domain = node.domain;
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let id = node.next_id();
        node.forwards.insert(id, (path, request.caller));
        let target = Target::Incarnation(incarnation);
        self.schedule(FORWARD_WAIT, target, Message::ForwardTimeout { id });
        let forwarded = Message::Forwarded {
            from: incarnation,
            id,
            request,
        };
        let to = Some(HOST_DOMAINS[owner]);
        self.transmit(Some(domain), to, Target::Host(owner), forwarded);
    }

    /// Handles a request at the host that its ticket names.
    fn on_owned_request(
        &mut self,
        incarnation: IncarnationNumber,
        request: CallerRequest,
        path: ReplyPath,
    ) {
        let Some(ticket) = &request.ticket else {
            return;
        };
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        // A ticket travels as text.
        let ticket = JobTicket::parse(&ticket.to_string()).expect("tickets are readable");
        if !node.issuer.owns(&ticket) && !self.settings.broken.adopt_tickets {
            let reply = refusal(ErrorKind::OwnerGone);
            self.send_reply(incarnation, request.caller, path, reply);
            return;
        }
        if node.issuer.owns(&ticket) {
            node.issuer.check(&ticket).expect("the ticket is genuine");
        }
        let Some(caller) = self.callers.get(&request.caller) else {
            return;
        };
        let token = ReplyToken(node.next_id());
        let pending = PendingRequest {
            caller: request.caller,
            kind: request.kind,
            path,
            answer_by: caller.deadline.max(self.now),
        };
        node.pending.insert(token, pending);
        let (serial, expiry) = (ticket.serial, ticket.expiry);
        let event = match request.kind {
            RequestKind::Submit(variant) => {
                let spec = caller.spec(request.caller, variant);
                let digest = spec.digest();
                KernelEvent::Submitted(JobSubmission {
                    serial,
                    expiry,
                    spec,
                    digest,
                    token,
                })
            }
            RequestKind::Query => KernelEvent::Queried {
                serial,
                expiry,
                token,
            },
            RequestKind::Cancel => KernelEvent::Cancelled {
                serial,
                expiry,
                token,
            },
        };
        self.feed(incarnation, event);
    }

    /// Sends an answer towards the caller.
    pub fn send_reply(
        &mut self,
        incarnation: IncarnationNumber,
        caller: u64,
        path: ReplyPath,
        reply: Reply,
    ) {
        let from = self.hosts.get(&incarnation).map(|node| node.domain);
        match path {
            ReplyPath::Caller(caller) => {
                self.transmit(
                    None,
                    None,
                    Target::World,
                    Message::Answered { caller, reply },
                );
            }
            ReplyPath::Peer(peer, id) => {
                let to = self.hosts.get(&peer).map(|node| node.domain);
                let message = Message::ForwardAnswered { id, reply };
                self.transmit(from, to, Target::Incarnation(peer), message);
            }
            ReplyPath::Key(id) => self.on_key_answered(incarnation, caller, id, reply),
        }
    }

    fn carry_out(&mut self, incarnation: IncarnationNumber, action: KernelAction) {
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let domain = node.domain;
        match action {
            KernelAction::Start(start) => {
                let worker = super::workers::worker_of(&start.worker);
                let call = StartCall {
                    from: incarnation,
                    attempt: start.attempt,
                    task: start.task,
                    payload: start.payload,
                    start_before: start.start_before,
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
                let to = Some(super::world::WORKER_DOMAINS[worker]);
                self.transmit(Some(domain), to, Target::World, message);
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
            KernelAction::AskLoan { lender, plain, .. } => {
                let borrower = host_name(node.host);
                let lender = host_of(&lender);
                let sent = self.now;
                let message = Message::LoanAsked {
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
                    self.report.injected(FaultKind::Loan);
                }
                // The borrower measures the term from the time at which it asked.
                let until = sent.after(until.since(self.now));
                let to = self.hosts.get(&borrower).map(|node| node.domain);
                let message = Message::LoanAnswered(LoanReply {
                    lender,
                    slots,
                    until,
                });
                self.transmit(Some(domain), to, Target::Incarnation(borrower), message);
            }
            KernelAction::ReturnLoan { lender, slots } => {
                let borrower = host_name(node.host);
                let lender = host_of(&lender);
                let message = Message::LoanReturned { borrower, slots };
                let to = Some(HOST_DOMAINS[lender]);
                self.transmit(Some(domain), to, Target::Host(lender), message);
            }
        }
    }

    /// Sends a task to a worker; what is lost ends as a failed connection, a reset or in silence.
    fn send_start(&mut self, domain: usize, worker: usize, call: StartCall) {
        let to = super::world::WORKER_DOMAINS[worker];
        let unreachable = self.is_cut(Some(domain), Some(to)) || self.workers[worker].dead;
        if unreachable && self.chance(50) {
            let end = AttemptEnd::NotStarted {
                proof: NotStartedProof::ConnectFailed,
                leaving: false,
            };
            self.end_attempt(&call, end);
            return;
        }
        if unreachable || (self.now < self.periods.silent_until && self.chance(10)) {
            self.report.injected(FaultKind::SilentConnection);
            return;
        }
        if self.now < self.periods.lossy_until && self.chance(4) {
            self.report.injected(FaultKind::LostMessage);
            self.end_attempt(&call, AttemptEnd::Unknown);
            return;
        }
        let mut delay = self.network_delay();
        if self.chance(1) {
            self.report.injected(FaultKind::StalledStart);
            delay = self.micros(200_000, 4_000_000);
        }
        self.schedule(delay, Target::World, Message::StartArrived { worker, call });
    }

    /// Lets a host learn how an attempt ended.
    pub fn end_attempt(&mut self, call: &StartCall, end: AttemptEnd) {
        let delay = self.network_delay();
        let message = Message::AttemptEnded {
            attempt: call.attempt,
            end,
        };
        self.schedule(delay, Target::Incarnation(call.from), message);
    }

    /// Returns what an incarnation knows of the other hosts.
    fn peers_of(&self, incarnation: IncarnationNumber) -> Vec<PeerView> {
        let own = &self.hosts[&incarnation];
        let mut peers = Vec::new();
        for (host, current) in self.current.iter().enumerate() {
            let Some(node) = current.and_then(|number| self.hosts.get(&number)) else {
                continue;
            };
            if host == own.host {
                continue;
            }
            let cut = self.is_cut(Some(own.domain), Some(node.domain));
            let counts = node.kernel.right_counts();
            peers.push(PeerView {
                host: host_name(host),
                domain: DomainName::from(DOMAINS[node.domain]),
                shares_slots: true,
                reachable: !cut && !node.frozen,
                idle_slots: counts.idle_plain,
                idle_accelerator_slots: 0,
            });
        }
        peers
    }

    /// Lets all hosts learn of each other.
    pub fn on_heartbeat(&mut self) {
        let numbers: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for number in numbers {
            if !self.hosts[&number].frozen {
                let peers = self.peers_of(number);
                self.feed(number, KernelEvent::PeersChanged(peers));
            }
        }
        self.schedule(Duration::from_millis(50), Target::World, Message::Heartbeat);
    }

    /// Lets all hosts learn the platform's list of workers.
    pub fn on_worker_list(&mut self) {
        let numbers: Vec<IncarnationNumber> = self.hosts.keys().copied().collect();
        for number in numbers {
            if !self.hosts[&number].frozen {
                let list = self.worker_list();
                self.feed(number, KernelEvent::WorkersListed(list));
            }
        }
        self.schedule(
            Duration::from_millis(500),
            Target::World,
            Message::WorkerList,
        );
    }

    /// Ends a planned stop and lets a fresh incarnation start.
    fn finish_stop(&mut self, incarnation: IncarnationNumber) {
        let drained = self.hosts[&incarnation].kernel.is_drained();
        if !drained {
            self.report.injected(FaultKind::StopDeadline);
            self.feed(incarnation, KernelEvent::StopDeadlineReached);
        }
        let node = &self.hosts[&incarnation];
        if !node.pending.is_empty() || !node.kernel.is_drained() {
            self.report.violated(ViolationKind::StopCutOff, || {
                format!("incarnation {incarnation} left requests behind")
            });
        }
        self.remove_host(incarnation);
    }
}
