//! Channel to the task that owns the dispatch kernel.

use std::sync::Arc;

use bramley_core::digest::ContentDigest;
use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobSpec};
use bramley_core::kernel::event::{KernelEvent, NamedSlot};
use bramley_core::kernel::snapshot::KernelDump;
use bramley_core::names::HostName;
use bramley_core::units::{TicketSerial, UnixTime};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the channel in messages; senders wait while it is full.
const CHANNEL_CAPACITY: usize = 65_536;

/// Status of a job, as reported to a caller.
#[derive(Clone, Debug)]
pub enum JobStatus {
    /// The job has ended with this answer.
    Finished(Arc<JobAnswer>),
    /// The job is still running.
    Running,
}

/// Request from another entry process to borrow slots.
#[derive(Clone, Debug)]
pub struct LendRequest {
    /// Host that borrows.
    pub borrower: HostName,
    /// Slots without accelerators.
    pub plain: u32,
    /// Slots with an accelerator.
    pub accelerated: u32,
}

/// Slots lent to another entry process.
#[derive(Clone, Debug)]
pub struct LoanGrant {
    /// Slots.
    pub slots: Vec<NamedSlot>,
    /// Time at which the loan expires.
    pub until: UnixTime,
    /// Idle slots that remain.
    pub idle_slots: u32,
}

/// Messages to the kernel's task.
#[derive(Debug)]
pub(super) enum KernelMessage {
    Event(KernelEvent),
    Submit(Box<SubmitRequest>, oneshot::Sender<JobStatus>),
    Query(TicketSerial, UnixTime, oneshot::Sender<JobStatus>),
    Cancel(TicketSerial, UnixTime, oneshot::Sender<JobStatus>),
    Lend(LendRequest, oneshot::Sender<LoanGrant>),
    Dump(oneshot::Sender<KernelDump>),
}

/// A job submission.
#[derive(Debug)]
pub struct SubmitRequest {
    /// Serial of the ticket.
    pub serial: TicketSerial,
    /// Expiry of the ticket.
    pub expiry: UnixTime,
    /// Job.
    pub spec: JobSpec,
    /// Digest of the job, used to detect a different job under the same ticket.
    pub digest: ContentDigest,
}

/// Sends messages to the kernel's task.
#[derive(Clone, Debug)]
pub struct KernelHandle {
    sender: mpsc::Sender<KernelMessage>,
}

/// Receiving end of a [`KernelHandle`].
#[derive(Debug)]
pub struct KernelInbox {
    pub(super) receiver: mpsc::Receiver<KernelMessage>,
}

/// Creates the channel to the kernel's task.
#[must_use]
pub fn kernel_channel() -> (KernelHandle, KernelInbox) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    (KernelHandle { sender }, KernelInbox { receiver })
}

impl KernelHandle {
    /// Reports an event, waiting for capacity in the channel.
    pub async fn report(&self, event: KernelEvent) {
        // The kernel's task ends only with the process, when events no longer matter.
        let _closed = self.sender.send(KernelMessage::Event(event)).await;
    }

    /// Submits a job and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn submit(&self, request: SubmitRequest) -> Result<JobStatus, DispatchError> {
        let (reply, reply_receiver) = oneshot::channel();
        self.request(
            KernelMessage::Submit(Box::new(request), reply),
            reply_receiver,
        )
        .await
    }

    /// Queries the status of a job.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn query(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
    ) -> Result<JobStatus, DispatchError> {
        let (reply, reply_receiver) = oneshot::channel();
        self.request(KernelMessage::Query(serial, expiry, reply), reply_receiver)
            .await
    }

    /// Cancels a job and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn cancel(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
    ) -> Result<JobStatus, DispatchError> {
        let (reply, reply_receiver) = oneshot::channel();
        self.request(KernelMessage::Cancel(serial, expiry, reply), reply_receiver)
            .await
    }

    /// Asks the kernel to lend slots to another entry process.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn lend(&self, request: LendRequest) -> Result<LoanGrant, DispatchError> {
        let (reply, reply_receiver) = oneshot::channel();
        self.request(KernelMessage::Lend(request, reply), reply_receiver)
            .await
    }

    /// Returns a state dump of the kernel.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn dump(&self) -> Result<KernelDump, DispatchError> {
        let (reply, reply_receiver) = oneshot::channel();
        self.request(KernelMessage::Dump(reply), reply_receiver)
            .await
    }

    async fn request<T>(
        &self,
        message: KernelMessage,
        reply_receiver: oneshot::Receiver<T>,
    ) -> Result<T, DispatchError> {
        let ended = || DispatchError::new(ErrorKind::Internal, "the process is ending");
        if self.sender.send(message).await.is_err() {
            return Err(ended());
        }
        match reply_receiver.await {
            Ok(value) => Ok(value),
            Err(_) => Err(ended()),
        }
    }
}
