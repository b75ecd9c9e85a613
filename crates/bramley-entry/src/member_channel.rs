//! Channel to the membership task.

use std::fmt;
use std::net::SocketAddr;

use bramley_core::membership::HeartbeatMessage;
use bramley_core::names::WorkerName;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the channel in messages.
const CHANNEL_CAPACITY: usize = 4_096;

/// Workers of this host's failure domain, by state, from one worker list of the platform.
#[derive(Debug)]
pub struct ListedWorkers {
    /// Revision of the list.
    pub revision: u64,
    /// Live workers.
    pub live: Vec<WorkerName>,
    /// Leaving workers.
    pub leaving: Vec<WorkerName>,
}

/// Source of an offered configuration.
#[derive(Clone, Copy, Debug)]
pub enum OfferSource {
    /// The platform's key-value store.
    Store,
    /// The entry host with this address.
    Peer(SocketAddr),
}

impl fmt::Display for OfferSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(address) => write!(f, "{address}"),
        }
    }
}

/// Messages to the membership task.
#[derive(Debug)]
pub(crate) enum MembershipMessage {
    HeartbeatReceived(Box<HeartbeatMessage>, oneshot::Sender<HeartbeatMessage>),
    HeartbeatReply(Box<HeartbeatMessage>),
    HeartbeatFailed(SocketAddr),
    ConfigurationFetchFailed(SocketAddr),
    ConfigurationOffered { text: String, source: OfferSource },
    WorkersListed(ListedWorkers),
    WorkerLeaving(WorkerName),
    BeginLeaving,
    AnnounceGone(oneshot::Sender<()>),
}

/// Sends messages to the membership task.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    sender: mpsc::Sender<MembershipMessage>,
}

/// Receiving end of a [`MembershipHandle`].
#[derive(Debug)]
pub struct MembershipInbox {
    pub(crate) receiver: mpsc::Receiver<MembershipMessage>,
}

/// Creates the channel to the membership task.
#[must_use]
pub fn member_channel() -> (MembershipHandle, MembershipInbox) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    (MembershipHandle { sender }, MembershipInbox { receiver })
}

impl MembershipHandle {
    /// Passes on a received heartbeat and returns the reply, or `None` if the process is shutting
    /// down.
    pub async fn exchange_heartbeat(
        &self,
        heartbeat: HeartbeatMessage,
    ) -> Option<HeartbeatMessage> {
        let (reply, reply_receiver) = oneshot::channel();
        self.send(MembershipMessage::HeartbeatReceived(
            Box::new(heartbeat),
            reply,
        ))
        .await;
        reply_receiver.await.ok()
    }

    /// Offers a stored configuration; `source` appears in the log.
    pub async fn offer_configuration(&self, text: String, source: OfferSource) {
        self.send(MembershipMessage::ConfigurationOffered { text, source })
            .await;
    }

    /// Reports the workers of this host's failure domain, as listed by the platform.
    pub async fn report_workers_listed(&self, workers: ListedWorkers) {
        self.send(MembershipMessage::WorkersListed(workers)).await;
    }

    /// Reports that a worker has itself announced that it is leaving.
    pub async fn report_worker_leaving(&self, worker: WorkerName) {
        self.send(MembershipMessage::WorkerLeaving(worker)).await;
    }

    /// Announces to the other hosts that this host is shutting down.
    pub async fn begin_leaving(&self) {
        self.send(MembershipMessage::BeginLeaving).await;
    }

    /// Announces to the other hosts that this host can start no more tasks, and waits until the
    /// announcement has been sent.
    pub async fn announce_gone(&self) {
        let (reply, reply_receiver) = oneshot::channel();
        self.send(MembershipMessage::AnnounceGone(reply)).await;
        // If the channel is closed, the task has ended and there is nothing to wait for.
        let _sent = reply_receiver.await;
    }

    /// Sends a message, waiting for capacity in the channel.
    pub(crate) async fn send(&self, message: MembershipMessage) {
        // The task ends only with the process, when messages no longer matter.
        let _closed = self.sender.send(message).await;
    }
}
