//! Entry hosts: one kernel for each incarnation, driven as the daemon drives it.

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
use super::world::{DOMAINS, HOST_DOMAINS, World};
use crate::support::configuration_of;

/// Longest time between two ticks.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

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
        let configuration = configuration_of(&[(TEAMS[0], 1_000), (TEAMS[1], 10)]);
        self.feed(number, KernelEvent::Configured(configuration));
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
