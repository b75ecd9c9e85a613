//! Routing of callers' requests to the owner of the ticket, and of replies back to the caller.

use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobFailure, ReplyToken};
use bramley_core::kernel::event::{JobSubmission, KernelEvent};
use bramley_core::ownership::{KnownIncarnation, TicketRoute, route_ticket};
use bramley_core::ticket::JobTicket;
use bramley_core::units::UnixTime;

use super::hosts::host_name;
use super::messages::{CallerRequest, IncarnationNumber, Message, Reply, RequestKind, Target};
use super::simulation::{HOST_DOMAINS, Simulation};

/// Timeout of a request forwarded to another host.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Destination of the reply to a request.
#[derive(Clone, Copy, Debug)]
pub enum ReplyPath {
    Caller(u64),
    Peer(IncarnationNumber, u64),
    Key(u64),
}

/// A request that awaits the reply of the kernel.
#[derive(Debug)]
pub struct PendingRequest {
    pub caller: u64,
    pub kind: RequestKind,
    pub path: ReplyPath,
    pub answer_by: UnixTime,
}

/// Returns the refusal that a host sends without involving its kernel.
pub fn refusal(kind: ErrorKind) -> Reply {
    let error = DispatchError::new(kind, "");
    Reply::Final(Arc::new(JobAnswer::Failed(JobFailure::refusal(error))))
}

impl Simulation {
    /// Routes a request of a caller in the same way as the entry process.
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
        let domain = node.domain;
        let own_host = host_name(node.host);
        let own = node.issuer.incarnation();
        let known_incarnations = self.known_incarnations();
        let owner = match route_ticket(ticket, &own_host, own, &known_incarnations) {
            TicketRoute::Here => {
                self.on_owned_request(incarnation, request, path);
                return;
            }
            TicketRoute::Forward(address) => usize::from(address.port()),
            TicketRoute::OwnerGone if self.settings.broken_parts.adopt_tickets => {
                self.on_owned_request(incarnation, request, path);
                return;
            }
            TicketRoute::OwnerGone => {
                let reply = refusal(ErrorKind::OwnerGone);
                self.send_reply(incarnation, request.caller, path, reply);
                return;
            }
            TicketRoute::OwnerUnknown => {
                let reply = refusal(ErrorKind::OwnerUnreachable);
                self.send_reply(incarnation, request.caller, path, reply);
                return;
            }
        };
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let id = node.next_id();
        node.forwarded_requests.insert(id, (path, request.caller));
        let target = Target::Incarnation(incarnation);
        self.schedule(FORWARD_TIMEOUT, target, Message::ForwardTimeout { id });
        let forwarded = Message::Forwarded {
            from: incarnation,
            id,
            request,
        };
        let to = Some(HOST_DOMAINS[owner]);
        self.transmit(Some(domain), to, Target::Host(owner), forwarded);
    }

    /// Returns the incarnations known to the membership.
    fn known_incarnations(&self) -> Vec<KnownIncarnation> {
        let mut known_incarnations = Vec::new();
        for (number, node) in &self.hosts {
            let port = u16::try_from(node.host).expect("few hosts");
            known_incarnations.push(KnownIncarnation {
                host: host_name(node.host),
                incarnation: node.issuer.incarnation(),
                address: ([10, 0, 0, 2], port).into(),
                gone: self.current[node.host].is_some_and(|current| current != *number),
            });
        }
        known_incarnations
    }

    /// Processes a request at the host that issued its ticket.
    pub fn on_owned_request(
        &mut self,
        incarnation: IncarnationNumber,
        request: CallerRequest,
        path: ReplyPath,
    ) {
        let Some(ticket) = &request.ticket else {
            return;
        };
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        // Tickets are transmitted in text form.
        let ticket = JobTicket::parse(&ticket.to_string()).expect("an issued ticket can be parsed");
        if !node.issuer.owns(&ticket) && !self.settings.broken_parts.adopt_tickets {
            let reply = refusal(ErrorKind::OwnerGone);
            self.send_reply(incarnation, request.caller, path, reply);
            return;
        }
        if node.issuer.owns(&ticket) {
            node.issuer
                .check(&ticket)
                .expect("the MAC of an issued ticket is valid");
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
        self.handle_event(incarnation, event);
    }

    /// Sends a reply towards the caller.
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
                    Target::Simulation,
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
}
