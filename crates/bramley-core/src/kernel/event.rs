//! Events that the driver reports to the kernel.

use std::sync::Arc;

use crate::configuration::DeploymentConfiguration;
use crate::digest::ContentDigest;
use crate::job::{JobSpec, ReplyToken};
use crate::names::{DomainName, HostName, WorkerName};
use crate::task::NotStartedProof;
use crate::units::{AttemptId, TicketSerial, UnixTime};
use crate::worker::WorkerProfile;

/// An event from outside the kernel.
#[derive(Debug)]
pub enum KernelEvent {
    /// A caller submitted a job under a ticket that is known to be of this incarnation.
    Submitted(JobSubmission),
    /// A caller queried the state of a job.
    Queried {
        /// Serial of the ticket.
        serial: TicketSerial,
        /// Expiry of the ticket.
        expiry: UnixTime,
        /// Token of the waiting caller.
        token: ReplyToken,
    },
    /// A caller requested the cancellation of a job.
    Cancelled {
        /// Serial of the ticket.
        serial: TicketSerial,
        /// Expiry of the ticket.
        expiry: UnixTime,
        /// Token of the waiting caller.
        token: ReplyToken,
    },
    /// An attempt to run a task ended.
    AttemptEnded {
        /// Attempt.
        attempt: AttemptId,
        /// Result of the attempt.
        result: AttemptResult,
    },
    /// The platform's list of workers arrived. It replaces the previous list.
    WorkersListed(Vec<WorkerProfile>),
    /// A notice arrived that a worker is leaving.
    WorkerLeaving(WorkerName),
    /// A newer notice arrived that a worker is live again.
    WorkerLive(WorkerName),
    /// The membership view of the other entry hosts or their reported load changed.
    PeersChanged(Vec<PeerView>),
    /// A new configuration takes effect.
    ConfigurationChanged(Arc<DeploymentConfiguration>),
    /// Another host requested a loan of slots.
    LoanRequested(LoanRequest),
    /// Another host replied to a loan request of this host.
    LoanReplied(LoanReply),
    /// A borrower returned slots.
    LoanReturned {
        /// Borrower.
        borrower: HostName,
        /// Slots.
        slots: Vec<NamedSlot>,
    },
    /// A graceful shutdown began: accepted jobs are finished, new jobs are refused.
    DrainStarted,
    /// The deadline of the graceful shutdown passed: all remaining jobs fail.
    StopDeadlineReached,
    /// Time has passed; the kernel handles its due timers.
    Tick,
}

/// A submission under a ticket of this incarnation.
#[derive(Debug)]
pub struct JobSubmission {
    /// Serial of the ticket.
    pub serial: TicketSerial,
    /// Expiry of the ticket.
    pub expiry: UnixTime,
    /// Submitted job.
    pub spec: JobSpec,
    /// Digest of the job, computed on the request path.
    pub digest: ContentDigest,
    /// Token of the waiting caller.
    pub token: ReplyToken,
}

/// Result of an attempt to run a task.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// The worker completed the task and returned this output.
    Finished(Arc<str>),
    /// The worker ran the task, and it failed.
    Failed,
    /// The task did not start.
    NotStarted {
        /// Evidence that the task did not start.
        proof: NotStartedProof,
        /// Whether the worker reported that it is leaving.
        leaving: bool,
    },
    /// The outcome is unknown; the task may have run.
    Unknown,
}

/// Another entry host as seen by the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// Host.
    pub host: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the host is assigned slots of its failure domain.
    pub owns_slots: bool,
    /// Whether the host is currently reachable.
    pub reachable: bool,
    /// Number of idle slots that it last reported.
    pub idle_slots: u32,
    /// Number of idle slots with an accelerator that it last reported.
    pub idle_accelerator_slots: u32,
}

/// A slot identified by the name of its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NamedSlot {
    /// Worker.
    pub worker: WorkerName,
    /// Slot number.
    pub slot: u32,
}

/// A loan request from another host.
#[derive(Clone, Debug)]
pub struct LoanRequest {
    /// Borrower.
    pub borrower: HostName,
    /// Number of requested slots without an accelerator.
    pub plain: u32,
    /// Number of requested slots with an accelerator.
    pub accelerated: u32,
    /// Token of the waiting request.
    pub token: ReplyToken,
}

/// Another host's reply to a loan request of this host.
#[derive(Clone, Debug)]
pub struct LoanReply {
    /// Lender.
    pub lender: HostName,
    /// Lent slots; empty if the request failed.
    pub slots: Vec<NamedSlot>,
    /// End of the loan, counted from the time at which the request was sent.
    pub until: UnixTime,
}
