//! What travels between callers, hosts, workers and the store.

use std::sync::Arc;

use bramley_core::job::JobAnswer;
use bramley_core::kernel::event::{AttemptEnd, LoanReply, NamedSlot};
use bramley_core::names::HostName;
use bramley_core::ticket::JobTicket;
use bramley_core::units::{AttemptId, TaskKey, UnixTime};

/// Number of an incarnation, unique in a run.
pub type IncarnationNumber = u64;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Submit the body of the given variant; variant 0 is the caller's own.
    Submit(u32),
    Query,
    Cancel,
}

/// A request of a caller; without a ticket it goes by the caller's key.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub caller: u64,
    pub kind: RequestKind,
    pub ticket: Option<JobTicket>,
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    Final(Arc<JobAnswer>),
    Running,
}

/// A task on its way to a worker.
#[derive(Clone, Debug)]
pub struct StartCall {
    pub from: IncarnationNumber,
    pub attempt: AttemptId,
    pub task: TaskKey,
    pub payload: Arc<str>,
    pub start_before: UnixTime,
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    Get,
    /// Bind the key to a ticket if its revision is the stated one.
    Put {
        ticket: Box<JobTicket>,
        expected: u64,
    },
}

/// An answer of the store.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// Revision and ticket that are bound now.
    Bound(u64, Box<JobTicket>),
    Absent,
    Unavailable,
}

/// Something that arrives or falls due.
#[derive(Clone, Debug)]
pub enum Message {
    Request(CallerRequest),
    Forwarded {
        from: IncarnationNumber,
        id: u64,
        request: CallerRequest,
    },
    ForwardAnswered {
        id: u64,
        reply: Reply,
    },
    ForwardTimeout {
        id: u64,
    },
    StoreCalled {
        from: IncarnationNumber,
        id: u64,
        caller: u64,
        call: StoreCall,
    },
    StoreAnswered {
        id: u64,
        reply: StoreReply,
    },
    StoreTimeout {
        id: u64,
    },
    Answered {
        caller: u64,
        reply: Reply,
    },
    StartArrived {
        worker: usize,
        call: StartCall,
    },
    StopArrived {
        worker: usize,
        from: IncarnationNumber,
        task: TaskKey,
    },
    RunEnded {
        worker: usize,
        run: u64,
    },
    AttemptEnded {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    LoanAsked {
        from: IncarnationNumber,
        borrower: HostName,
        plain: u32,
        sent: UnixTime,
    },
    LoanAnswered(LoanReply),
    LoanReturned {
        borrower: HostName,
        slots: Vec<NamedSlot>,
    },
    HostTick,
    Thaw,
    StopDeadline,
    Restart(usize),
    WorkerRestored(usize),
    CallerArrives,
    CallerActs(u64),
    Heartbeat,
    WorkerList,
    Inject,
    Check,
}

/// Who handles a message.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// The world itself.
    World,
    /// The present incarnation at the address of a host.
    Host(usize),
    /// One incarnation.
    Incarnation(IncarnationNumber),
}
