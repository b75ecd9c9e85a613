//! Messages between callers, hosts, workers and the store, and timers.

use std::sync::Arc;

use bramley_core::job::JobAnswer;
use bramley_core::kernel::event::{AttemptResult, LoanReply, NamedSlot};
use bramley_core::names::HostName;
use bramley_core::ticket::JobTicket;
use bramley_core::units::{AttemptId, TaskKey, UnixTime};

/// Number of an incarnation, unique in a run.
pub type IncarnationNumber = u64;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Submits the given variant of the job; variant 0 is the original.
    Submit(u32),
    Query,
    Cancel,
}

/// A request of a caller; without a ticket, the caller's key identifies the job.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub caller: u64,
    pub kind: RequestKind,
    pub ticket: Option<JobTicket>,
}

/// Reply to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    Final(Arc<JobAnswer>),
    Running,
}

/// Call to a worker to start a task.
#[derive(Clone, Debug)]
pub struct StartCall {
    pub from: IncarnationNumber,
    pub attempt: AttemptId,
    pub task: TaskKey,
    pub payload: Arc<str>,
    pub start_deadline: UnixTime,
}

/// Call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    Get,
    /// Binds the key to a ticket if the key has the expected revision.
    Put {
        ticket: Box<JobTicket>,
        expected: u64,
    },
}

/// Reply of the store.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// Current revision and ticket of the key.
    Bound(u64, Box<JobTicket>),
    Absent,
    Unavailable,
}

/// A message or an expired timer.
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
        result: AttemptResult,
    },
    LoanRequested {
        from: IncarnationNumber,
        borrower: HostName,
        plain: u32,
        sent: UnixTime,
    },
    LoanReplied(LoanReply),
    LoanReturned {
        borrower: HostName,
        slots: Vec<NamedSlot>,
    },
    Tick,
    Thaw,
    StopDeadline,
    Restart(usize),
    WorkerRestored(usize),
    NewCaller,
    CallerTimer(u64),
    UpdatePeers,
    UpdateWorkerList,
    InjectFaults,
    CheckHosts,
}

/// Recipient of a message.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// The simulation itself, including its callers, workers and store.
    Simulation,
    /// The current incarnation at the address of a host.
    Host(usize),
    /// A specific incarnation.
    Incarnation(IncarnationNumber),
}
