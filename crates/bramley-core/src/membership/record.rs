//! Messages that hosts exchange about members, workers and teams.

use std::net::SocketAddr;

use serde::Serialize;

use crate::names::{DomainName, HostName, TeamName, WorkerName};
use crate::units::{IncarnationId, UnixTime};

/// State of one incarnation of an entry host.
///
/// `Gone` is final, and `Leaving` only changes to `Gone`. Between `Alive` and `Suspect` the record
/// with the higher heartbeat counter wins; with equal counters `Suspect` wins.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Its heartbeat counter has increased recently.
    Alive,
    /// Silent or unreachable; it may still serve callers on its side of a network partition.
    Suspect,
    /// Shutting down gracefully; accepts no new work.
    Leaving,
    /// Known to have ended: it announced its end, or a newer incarnation of its host was seen.
    Gone,
}

impl MemberState {
    /// Returns the name used on the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }

    /// Parses the name used on the wire, or returns `None` for an unknown one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "alive" => Some(Self::Alive),
            "suspect" => Some(Self::Suspect),
            "leaving" => Some(Self::Leaving),
            "gone" => Some(Self::Gone),
            _ => None,
        }
    }

    /// Returns the rank, which never decreases for one incarnation.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Alive | Self::Suspect => 0,
            Self::Leaving => 1,
            Self::Gone => 2,
        }
    }
}

/// Gossiped state of one incarnation of an entry host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Start time of the incarnation, truncated to milliseconds.
    pub started: UnixTime,
    /// Address of the peer service.
    pub peer_address: SocketAddr,
    /// State.
    pub state: MemberState,
    /// Heartbeat counter; only the incarnation itself increments it.
    pub heartbeat: u64,
}

impl MemberRecord {
    /// Returns whether this record belongs to a newer incarnation of the same host than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let own_order = (self.started, self.incarnation);
        let other_order = (other.started, other.incarnation);
        self.host == other.host && own_order > other_order
    }
}

/// An update that a worker is leaving or has returned.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WorkerNews {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Revision of the platform's list. For a notice from the worker itself, the latest revision
    /// known at the host that received the notice.
    pub revision: u64,
    /// Time of the worker's own leave notice, truncated to milliseconds; the Unix epoch for an
    /// update from the platform's list.
    pub given: UnixTime,
}

impl WorkerNews {
    /// Returns whether this update is a leave notice from the worker itself.
    #[must_use]
    pub fn is_self_reported(&self) -> bool {
        self.given != UnixTime::default()
    }
}

/// Task demand of one team at one host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TeamDemand {
    /// Name of the team.
    pub team: TeamName,
    /// Number of queued and running tasks.
    pub tasks: u32,
}

/// Load of one host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MemberLoad {
    /// Number of idle slots that the host could lend.
    pub idle_slots: u32,
    /// Number of idle slots with an accelerator.
    pub idle_accelerator_slots: u32,
    /// Number of tasks queued at the host.
    pub queued_tasks: u32,
}

/// Content of a heartbeat or of a reply to one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HeartbeatMessage {
    /// Record of the sender.
    pub sender: MemberRecord,
    /// Records of some other members.
    pub members: Vec<MemberRecord>,
    /// Updates about some workers.
    pub workers: Vec<WorkerNews>,
    /// Generation of the configuration in force at the sender.
    pub generation: u64,
    /// Load of the sender.
    pub load: MemberLoad,
    /// Demand of some teams at the sender.
    pub demands: Vec<TeamDemand>,
}
