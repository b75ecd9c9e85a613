//! What membership asks of the daemon and shows to it.

use std::net::SocketAddr;

use serde::Serialize;

#[cfg(doc)]
use super::kernel::MembershipKernel;
use super::record::{HeartbeatNews, MemberLoad, MemberRecord, MemberState};
use super::table::MemberEntry;
use crate::names::WorkerName;
use crate::units::UnixTime;

/// What the daemon has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat and hand the reply to [`MembershipKernel::on_news`], or report the
    /// failure to [`MembershipKernel::on_send_failed`].
    SendHeartbeat {
        /// Address of the receiver.
        address: SocketAddr,
        /// Content of the heartbeat.
        news: Box<HeartbeatNews>,
    },
    /// Fetch the configuration, and report the result to [`MembershipKernel::set_generation`] or
    /// [`MembershipKernel::on_fetch_failed`].
    FetchConfiguration {
        /// Address of a host with a newer generation.
        address: SocketAddr,
    },
    /// Give the worker no new work.
    WorkerLeaving {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// The worker is listed live, for the first time or again.
    WorkerLive {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A member is new or changed its state.
    MemberChanged {
        /// Record after the change.
        record: Box<MemberRecord>,
        /// State before the change, or `None` for a new member.
        previous: Option<MemberState>,
    },
    /// A newer incarnation of this host runs: end this process, or start it again with a start
    /// time after that of the other.
    Superseded {
        /// Record of the newer incarnation.
        by: Box<MemberRecord>,
    },
}

/// A member as seen by this host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberSnapshot {
    /// Newest record.
    pub record: MemberRecord,
    /// Time at which the heartbeat counter last rose here.
    pub heard_at: UnixTime,
    /// Generation in force when the member last wrote itself.
    pub generation: u64,
    /// Load when the member last wrote itself.
    pub load: MemberLoad,
}

impl From<&MemberEntry> for MemberSnapshot {
    fn from(entry: &MemberEntry) -> Self {
        Self {
            record: entry.record.clone(),
            heard_at: entry.heard_at,
            generation: entry.generation,
            load: entry.load,
        }
    }
}
