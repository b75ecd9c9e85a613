//! The channel to the dispatch kernel: what threads ask of the task that owns it.

use std::sync::Arc;

use bramley_core::digest::BodyDigest;
use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobSpec};
use bramley_core::kernel::event::{KernelEvent, NamedSlot};
use bramley_core::kernel::snapshot::KernelDump;
use bramley_core::names::HostName;
use bramley_core::units::{TicketSerial, UnixTime};
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the kernel; senders wait for room.
const CHANNEL_MESSAGES: usize = 65_536;

/// Present answer to a caller.
#[derive(Clone, Debug)]
pub enum JobReplyState {
    /// The job is answered.
    Answered(Arc<JobAnswer>),
    /// The job is still running.
    Running,
}

/// Request of a sibling to borrow slots.
#[derive(Clone, Debug)]
pub struct LendRequest {
    /// Host that asks.
    pub borrower: HostName,
    /// Slots without accelerators.
    pub plain: u32,
    /// Slots with an accelerator.
    pub accelerated: u32,
}

/// Slots lent to a sibling.
#[derive(Clone, Debug)]
pub struct LoanGrant {
    /// Slots.
    pub slots: Vec<NamedSlot>,
    /// End of the loan.
    pub until: UnixTime,
    /// Idle slots that remain.
    pub idle_slots: u32,
}

/// What threads ask of the kernel's task.
#[derive(Debug)]
pub(super) enum KernelMessage {
    Event(KernelEvent),
    Submit(Box<SubmitRequest>, oneshot::Sender<JobReplyState>),
    Query(TicketSerial, UnixTime, oneshot::Sender<JobReplyState>),
    Cancel(TicketSerial, UnixTime, oneshot::Sender<JobReplyState>),
    Lend(LendRequest, oneshot::Sender<LoanGrant>),
    Dump(oneshot::Sender<KernelDump>),
}

/// A submission on its way to the kernel.
#[derive(Debug)]
pub struct SubmitRequest {
    /// Serial of the ticket.
    pub serial: TicketSerial,
    /// Expiry of the ticket.
    pub expiry: UnixTime,
    /// Job.
    pub spec: JobSpec,
    /// Fingerprint of the job.
    pub digest: BodyDigest,
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

/// Makes the two ends of the channel to the kernel's task.
#[must_use]
pub fn kernel_channel() -> (KernelHandle, KernelInbox) {
    let (sender, receiver) = mpsc::channel(CHANNEL_MESSAGES);
    (KernelHandle { sender }, KernelInbox { receiver })
}

impl KernelHandle {
    /// Reports an event, waiting for room in the channel.
    pub async fn report(&self, event: KernelEvent) {
        // The kernel's task only ends with the process, when events matter no more.
        let _closed = self.sender.send(KernelMessage::Event(event)).await;
    }

    /// Submits a job and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn submit(&self, request: SubmitRequest) -> Result<JobReplyState, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Submit(Box::new(request), reply), answer)
            .await
    }

    /// Asks for the present state of a job.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn query(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
    ) -> Result<JobReplyState, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Query(serial, expiry, reply), answer)
            .await
    }

    /// Cancels a job and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn cancel(
        &self,
        serial: TicketSerial,
        expiry: UnixTime,
    ) -> Result<JobReplyState, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Cancel(serial, expiry, reply), answer)
            .await
    }

    /// Asks for slots on behalf of a sibling.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn lend(&self, request: LendRequest) -> Result<LoanGrant, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Lend(request, reply), answer).await
    }

    /// Returns the state of the kernel.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the kernel's task has ended.
    pub async fn dump(&self) -> Result<KernelDump, DispatchError> {
        let (reply, answer) = oneshot::channel();
        self.ask(KernelMessage::Dump(reply), answer).await
    }

    async fn ask<T>(
        &self,
        message: KernelMessage,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, DispatchError> {
        let ended = || DispatchError::new(ErrorKind::Internal, "the process is ending");
        if self.sender.send(message).await.is_err() {
            return Err(ended());
        }
        match answer.await {
            Ok(value) => Ok(value),
            Err(_) => Err(ended()),
        }
    }
}
