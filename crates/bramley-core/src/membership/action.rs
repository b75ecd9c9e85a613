//! Actions that the membership kernel requests from the driver, and the member view it exposes.

use std::net::SocketAddr;

use serde::Serialize;

#[cfg(doc)]
use super::kernel::MembershipKernel;
use super::record::{HeartbeatMessage, MemberLoad, MemberRecord, MemberState};
use super::table::MemberEntry;
use crate::names::WorkerName;
use crate::units::UnixTime;

/// An action that the driver must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat. Pass the reply to [`MembershipKernel::on_heartbeat`], or report a failure
    /// to [`MembershipKernel::on_heartbeat_failed`].
    SendHeartbeat {
        /// Address of the receiver.
        address: SocketAddr,
        /// Content of the heartbeat.
        message: Box<HeartbeatMessage>,
    },
    /// Fetch the configuration and report the result to [`MembershipKernel::set_generation`] or
    /// [`MembershipKernel::on_fetch_failed`].
    FetchConfiguration {
        /// Address of a host that has a newer generation in force.
        address: SocketAddr,
    },
    /// Stop assigning new tasks to the worker.
    WorkerLeaving {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// The platform lists the worker as live, for the first time or again.
    WorkerLive {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A member was added or its state changed.
    MemberChanged {
        /// Record after the change.
        record: Box<MemberRecord>,
        /// State before the change, or `None` for a new member.
        previous: Option<MemberState>,
    },
    /// A newer incarnation of this host is running: exit, or restart with a start time later than
    /// that of the other incarnation.
    Superseded {
        /// Record of the newer incarnation.
        by: Box<MemberRecord>,
    },
}

/// This host's view of another member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberSnapshot {
    /// Latest known record.
    pub record: MemberRecord,
    /// Time at which this host last saw the heartbeat counter increase.
    pub heard_at: UnixTime,
    /// Generation in force at the member, from its latest direct message.
    pub generation: u64,
    /// Load of the member, from its latest direct message.
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
