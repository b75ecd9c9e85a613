//! What the driver reports to the kernel.

use std::sync::Arc;

use crate::configuration::DeploymentConfiguration;
use crate::digest::BodyDigest;
use crate::job::{JobSpec, ReplyToken};
use crate::names::{DomainName, HostName, WorkerName};
use crate::task::NotStartedProof;
use crate::units::{AttemptId, TicketSerial, UnixTime};
use crate::worker::WorkerProfile;

/// Something that happened outside the kernel.
#[derive(Debug)]
pub enum KernelEvent {
    /// A caller submitted a job under a ticket that was checked to be ours.
    Submitted(JobSubmission),
    /// A caller asked for the present state of a job.
    Queried {
        /// Serial of the ticket.
        serial: TicketSerial,
        /// Expiry of the ticket.
        expiry: UnixTime,
        /// Waiting caller.
        token: ReplyToken,
    },
    /// A caller asked to cancel a job.
    Cancelled {
        /// Serial of the ticket.
        serial: TicketSerial,
        /// Expiry of the ticket.
        expiry: UnixTime,
        /// Waiting caller.
        token: ReplyToken,
    },
    /// An attempt to run a task ended.
    AttemptEnded {
        /// Attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The platform's list of workers arrived; it replaces the former one.
    WorkersListed(Vec<WorkerProfile>),
    /// A sign arrived that a worker is leaving.
    WorkerLeaving(WorkerName),
    /// A newer sign arrived that a worker is live again.
    WorkerLive(WorkerName),
    /// The view of the other entry hosts changed, or their loads did.
    PeersChanged(Vec<PeerView>),
    /// A configuration came into force.
    Configured(Arc<DeploymentConfiguration>),
    /// Another host asked to borrow slots.
    LoanAsked(LoanRequest),
    /// A host answered our request to borrow slots.
    LoanAnswered(LoanReply),
    /// A borrower gave slots back.
    LoanReturned {
        /// Borrower.
        borrower: HostName,
        /// Slots.
        slots: Vec<NamedSlot>,
    },
    /// A planned stop began: accepted work is finished, new work refused.
    DrainStarted,
    /// The planned stop may take no longer: what remains is answered as it stands.
    StopDeadlineReached,
    /// Time passed.
    Ticked,
}

/// A submission under a ticket of this incarnation.
#[derive(Debug)]
pub struct JobSubmission {
    /// Serial of the ticket.
    pub serial: TicketSerial,
    /// Expiry of the ticket.
    pub expiry: UnixTime,
    /// The job.
    pub spec: JobSpec,
    /// Fingerprint of the job, computed on the request path.
    pub digest: BodyDigest,
    /// Waiting caller.
    pub token: ReplyToken,
}

/// How an attempt to run a task ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// The worker ran the task to its end.
    Finished(Arc<str>),
    /// The worker ran the task, and it failed.
    Failed,
    /// The task did not start.
    NotStarted {
        /// Evidence.
        proof: NotStartedProof,
        /// Whether the worker said that it is leaving.
        leaving: bool,
    },
    /// The task may have run.
    Unknown,
}

/// Another entry host as the membership sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// Host.
    pub host: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the host takes part in the division of slots.
    pub shares_slots: bool,
    /// Whether the host answers now.
    pub reachable: bool,
    /// Idle slots that it last reported.
    pub idle_slots: u32,
    /// Idle slots with an accelerator that it last reported.
    pub idle_accelerator_slots: u32,
}

/// A slot by the name of its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NamedSlot {
    /// Worker.
    pub worker: WorkerName,
    /// Slot number.
    pub slot: u32,
}

/// Another host's request to borrow slots.
#[derive(Clone, Debug)]
pub struct LoanRequest {
    /// Borrower.
    pub borrower: HostName,
    /// Slots without an accelerator wanted.
    pub plain: u32,
    /// Slots with an accelerator wanted.
    pub accelerated: u32,
    /// Waiting request.
    pub token: ReplyToken,
}

/// Another host's answer to our request to borrow slots.
#[derive(Clone, Debug)]
pub struct LoanReply {
    /// Lender.
    pub lender: HostName,
    /// Slots lent; empty if the request failed.
    pub slots: Vec<NamedSlot>,
    /// End of the loan, measured from the time at which the request was sent.
    pub until: UnixTime,
}
