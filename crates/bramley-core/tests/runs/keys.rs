//! Callers' keys, which a compare-and-swap operation of the store binds to tickets.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind, ExecutionStatus};
use bramley_core::job::{JobAnswer, JobFailure};
use bramley_core::names::TeamName;
use bramley_core::ticket::JobTicket;

use super::messages::{
    CallerRequest, IncarnationNumber, Message, Reply, RequestKind, StoreCall, StoreReply, Target,
};
use super::report::FaultKind;
use super::requests::{ReplyPath, refusal};
use super::simulation::Simulation;

/// Lifetime of the ticket that a key is bound to.
const TICKET_LIFETIME: Duration = Duration::from_secs(10);

/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(100);

/// The platform's key-value store: revision and ticket by caller.
#[derive(Default)]
pub struct StoreState {
    bindings: BTreeMap<u64, (u64, JobTicket)>,
}

/// A request by key that a host is processing.
#[derive(Debug)]
pub struct KeyRequest {
    caller: u64,
    kind: RequestKind,
    /// Revision of the binding in use, or 0 if none is known.
    revision: u64,
    reading: bool,
    rebinding: bool,
    waiting: bool,
}

impl Simulation {
    /// Starts processing a request by key: tries to bind the key to a new ticket.
    pub fn on_key_request(
        &mut self,
        incarnation: IncarnationNumber,
        caller: u64,
        kind: RequestKind,
    ) {
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let id = node.next_id();
        let request = KeyRequest {
            caller,
            kind,
            revision: 0,
            reading: false,
            rebinding: false,
            waiting: true,
        };
        node.key_requests.insert(id, request);
        self.put_binding(incarnation, id, caller, 0);
    }

    fn put_binding(&mut self, incarnation: IncarnationNumber, id: u64, caller: u64, expected: u64) {
        let expiry = self.now.after(TICKET_LIFETIME);
        let issuer = &self.hosts[&incarnation].issuer;
        let ticket = Box::new(issuer.issue(TeamName::from(crate::support::TEAM), expiry));
        self.call_store(incarnation, id, caller, StoreCall::Put { ticket, expected });
    }

    fn call_store(&mut self, from: IncarnationNumber, id: u64, caller: u64, call: StoreCall) {
        let delay = self.random_micros(1_000, 5_000);
        let message = Message::StoreCalled {
            from,
            id,
            caller,
            call,
        };
        self.schedule(delay, Target::Simulation, message);
        let target = Target::Incarnation(from);
        self.schedule(STORE_TIMEOUT, target, Message::StoreTimeout { id });
    }

    /// Processes a store call, unless the store is down. The reply may be lost after a write took
    /// effect.
    pub fn on_store_called(
        &mut self,
        from: IncarnationNumber,
        id: u64,
        caller: u64,
        call: StoreCall,
    ) {
        let reply = if self.now < self.fault_periods.store_down_until {
            StoreReply::Unavailable
        } else {
            self.apply_call(caller, call)
        };
        if self.now < self.fault_periods.store_lossy_until && self.chance(40) {
            self.report.record_fault(FaultKind::StoreAnswerLost);
            return;
        }
        let delay = self.random_micros(1_000, 5_000);
        let message = Message::StoreAnswered { id, reply };
        self.schedule(delay, Target::Incarnation(from), message);
    }

    fn apply_call(&mut self, caller: u64, call: StoreCall) -> StoreReply {
        if let StoreCall::Put { ticket, expected } = call {
            let revision = self
                .store
                .bindings
                .get(&caller)
                .map_or(0, |binding| binding.0);
            if revision == expected {
                self.store.bindings.insert(caller, (revision + 1, *ticket));
            }
        }
        match self.store.bindings.get(&caller) {
            Some((revision, ticket)) => StoreReply::Bound(*revision, Box::new(ticket.clone())),
            None => StoreReply::Absent,
        }
    }

    /// Continues a request with the ticket that its key is bound to.
    pub fn on_store_answered(
        &mut self,
        incarnation: IncarnationNumber,
        id: u64,
        reply: StoreReply,
    ) {
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let Some(request) = node.key_requests.get_mut(&id) else {
            return;
        };
        if !request.waiting {
            return;
        }
        request.waiting = false;
        match reply {
            StoreReply::Bound(revision, ticket) => {
                request.revision = revision;
                let (caller, kind) = (request.caller, request.kind);
                let request = CallerRequest {
                    caller,
                    kind,
                    ticket: Some(*ticket),
                };
                self.on_request(incarnation, request, ReplyPath::Key(id));
            }
            StoreReply::Absent | StoreReply::Unavailable => self.refuse_key(incarnation, id),
        }
    }

    /// Reads the binding after a write timed out; refuses the request if the read timed out too.
    pub fn on_store_timeout(&mut self, incarnation: IncarnationNumber, id: u64) {
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let Some(request) = node.key_requests.get_mut(&id) else {
            return;
        };
        if !request.waiting {
            return;
        }
        if request.reading {
            self.refuse_key(incarnation, id);
            return;
        }
        request.reading = true;
        let caller = request.caller;
        self.call_store(incarnation, id, caller, StoreCall::Get);
    }

    fn refuse_key(&mut self, incarnation: IncarnationNumber, id: u64) {
        let node = self.hosts.get_mut(&incarnation).expect("the host runs");
        let Some(request) = node.key_requests.remove(&id) else {
            return;
        };
        let mut reply = refusal(ErrorKind::StoreUnavailable);
        if self.settings.broken_parts.report_keys_not_run {
            let error = DispatchError::new(ErrorKind::StoreUnavailable, "");
            let mut failure = JobFailure::refusal(error);
            failure.execution = ExecutionStatus::NotRun;
            reply = Reply::Final(JobAnswer::Failed(failure).into());
        }
        if let Reply::Final(answer) = &reply {
            self.check_answer(request.caller, request.kind, answer);
        }
        self.send_reply(
            incarnation,
            request.caller,
            ReplyPath::Caller(request.caller),
            reply,
        );
    }

    /// Forwards the reply for the bound ticket to the caller.
    pub fn on_key_answered(
        &mut self,
        incarnation: IncarnationNumber,
        caller: u64,
        id: u64,
        reply: Reply,
    ) {
        let Some(node) = self.hosts.get_mut(&incarnation) else {
            return;
        };
        let Some(request) = node.key_requests.get_mut(&id) else {
            return;
        };
        if self.settings.broken_parts.rebind_refused_keys
            && !request.rebinding
            && is_closed_ticket(&reply)
        {
            request.rebinding = true;
            request.waiting = true;
            request.reading = false;
            let expected = request.revision;
            self.put_binding(incarnation, id, caller, expected);
            return;
        }
        node.key_requests.remove(&id);
        self.send_reply(incarnation, caller, ReplyPath::Caller(caller), reply);
    }
}

/// Returns whether a reply reports that an earlier refusal closed the ticket.
fn is_closed_ticket(reply: &Reply) -> bool {
    match reply {
        Reply::Final(answer) => match &**answer {
            JobAnswer::Failed(failure) => failure.error.kind == ErrorKind::RefusedEarlier,
            JobAnswer::Complete(_) => false,
        },
        Reply::Running => false,
    }
}
