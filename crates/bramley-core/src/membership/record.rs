//! What hosts tell each other about members, workers and teams.

use std::net::SocketAddr;

use serde::Serialize;

use crate::names::{DomainName, HostName, TeamName, WorkerName};
use crate::units::{IncarnationId, UnixTime};

/// State of one incarnation of an entry host.
///
/// `Gone` never changes, and `Leaving` only changes to `Gone`. Between `Alive` and `Suspect` the
/// record with the higher heartbeat counter decides, and `Suspect` at the same counter.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Heard of lately.
    Alive,
    /// Silent or not reachable; it may still serve callers on its side of a network partition.
    Suspect,
    /// Shuts down gracefully and takes no new work.
    Leaving,
    /// Proved to have ended: it said so, or a newer incarnation of its host was seen.
    Gone,
}

impl MemberState {
    /// Returns the word used between hosts.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }

    /// Reads the word used between hosts, or returns `None`.
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

    /// Returns the rank, which never falls for one incarnation.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Alive | Self::Suspect => 0,
            Self::Leaving => 1,
            Self::Gone => 2,
        }
    }
}

/// What is told about one incarnation of an entry host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Start of the incarnation, in whole milliseconds.
    pub started: UnixTime,
    /// Address of the peer service.
    pub peer_address: SocketAddr,
    /// State.
    pub state: MemberState,
    /// Heartbeat counter; only the incarnation itself raises it.
    pub heartbeat: u64,
}

impl MemberRecord {
    /// Tells whether this is a newer incarnation of the same host than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let own_order = (self.started, self.incarnation);
        let other_order = (other.started, other.incarnation);
        self.host == other.host && own_order > other_order
    }
}

/// A sign that a worker leaves or has come back.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WorkerNews {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Revision of the platform's list; for a sign given by the worker itself, the newest
    /// revision known where it was given.
    pub revision: u64,
    /// Time at which the worker gave the sign itself, in whole milliseconds; the Unix epoch for a
    /// sign of the platform's list.
    pub given: UnixTime,
}

impl WorkerNews {
    /// Tells whether the worker gave the sign itself.
    #[must_use]
    pub fn is_own_sign(&self) -> bool {
        self.given != UnixTime::default()
    }
}

/// Demand of one team at one host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TeamDemand {
    /// Name of the team.
    pub team: TeamName,
    /// Tasks queued or running.
    pub tasks: u32,
}

/// Load of one host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MemberLoad {
    /// Slots that the host could lend.
    pub idle_slots: u32,
    /// Idle slots that carry an accelerator.
    pub idle_accelerator_slots: u32,
    /// Tasks waiting at the host.
    pub queued_tasks: u32,
}

/// Content of one heartbeat, and of the reply to one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HeartbeatNews {
    /// The sender itself.
    pub sender: MemberRecord,
    /// Some other members.
    pub members: Vec<MemberRecord>,
    /// Some worker signs.
    pub workers: Vec<WorkerNews>,
    /// Generation of the configuration in force at the sender.
    pub generation: u64,
    /// Load of the sender.
    pub load: MemberLoad,
    /// Demand of some teams at the sender.
    pub demands: Vec<TeamDemand>,
}
