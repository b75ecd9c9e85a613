//! The channel to the membership's task.

use std::fmt;
use std::net::SocketAddr;

use bramley_core::membership::HeartbeatNews;
use bramley_core::names::WorkerName;
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the membership's task.
const CHANNEL_MESSAGES: usize = 4_096;

/// Workers of the own failure domain by state, as one list of the platform names them.
#[derive(Debug)]
pub struct ListedWorkers {
    /// Revision of the list.
    pub revision: u64,
    /// Live workers.
    pub live: Vec<WorkerName>,
    /// Leaving workers.
    pub leaving: Vec<WorkerName>,
}

/// Where an offered configuration comes from.
#[derive(Clone, Copy, Debug)]
pub enum OfferSource {
    /// The platform's key-value service.
    Store,
    /// The entry host with this address.
    Sibling(SocketAddr),
}

impl fmt::Display for OfferSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Sibling(address) => write!(f, "{address}"),
        }
    }
}

/// What threads ask of the membership's task.
#[derive(Debug)]
pub(crate) enum MemberMessage {
    Exchange(Box<HeartbeatNews>, oneshot::Sender<HeartbeatNews>),
    Reply(Box<HeartbeatNews>),
    SendFailed(SocketAddr),
    FetchFailed(SocketAddr),
    Offer { text: String, source: OfferSource },
    WorkersListed(ListedWorkers),
    WorkerSign(WorkerName),
    BeginLeaving,
    SayGone(oneshot::Sender<()>),
}

/// Sends messages to the membership's task.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    sender: mpsc::Sender<MemberMessage>,
}

/// Receiving end of a [`MemberHandle`].
#[derive(Debug)]
pub struct MemberInbox {
    pub(crate) receiver: mpsc::Receiver<MemberMessage>,
}

/// Makes the two ends of the channel to the membership's task.
#[must_use]
pub fn member_channel() -> (MemberHandle, MemberInbox) {
    let (sender, receiver) = mpsc::channel(CHANNEL_MESSAGES);
    (MemberHandle { sender }, MemberInbox { receiver })
}

impl MemberHandle {
    /// Takes a heartbeat in and returns the own news, or `None` if the process is ending.
    pub async fn exchange(&self, news: HeartbeatNews) -> Option<HeartbeatNews> {
        let (reply, answer) = oneshot::channel();
        self.send(MemberMessage::Exchange(Box::new(news), reply))
            .await;
        answer.await.ok()
    }

    /// Offers a stored configuration; `source` is named in the log.
    pub async fn offer_configuration(&self, text: String, source: OfferSource) {
        self.send(MemberMessage::Offer { text, source }).await;
    }

    /// Reports the workers of the own failure domain as the platform lists them.
    pub async fn workers_listed(&self, workers: ListedWorkers) {
        self.send(MemberMessage::WorkersListed(workers)).await;
    }

    /// Reports that a worker said itself that it is leaving.
    pub async fn worker_sign(&self, worker: WorkerName) {
        self.send(MemberMessage::WorkerSign(worker)).await;
    }

    /// Tells the other hosts that a planned stop has begun.
    pub async fn begin_leaving(&self) {
        self.send(MemberMessage::BeginLeaving).await;
    }

    /// Tells the other hosts that nothing can be started here any more; waits until it is sent.
    pub async fn say_gone(&self) {
        let (reply, answer) = oneshot::channel();
        self.send(MemberMessage::SayGone(reply)).await;
        // A closed channel means that the task has ended, so there is nothing to wait for.
        let _sent = answer.await;
    }

    /// Sends a message, waiting for room in the channel.
    pub(crate) async fn send(&self, message: MemberMessage) {
        // The task only ends with the process, when messages matter no more.
        let _closed = self.sender.send(message).await;
    }
}
