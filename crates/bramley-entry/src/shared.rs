//! State shared by the request path and the control tasks.
//!
//! The request path reads it without blocking: it consists of immutable values, atomics and
//! snapshots that are replaced as a whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bramley_core::configuration::{ConfigurationCounts, DeploymentConfiguration};
use bramley_core::membership::{MemberLoad, MemberSnapshot, MembershipCounts};
use bramley_core::names::HostName;
use bramley_core::ownership::KnownIncarnation;
use bramley_core::ticket::TicketIssuer;
use bramley_settings::EntrySettings;
use bramley_store::StoreClient;
use bramley_wire::platform::WorkerList;

use crate::clock::ProcessClock;
use crate::dispatch::channel::KernelHandle;
use crate::metrics::EntryMetrics;
use crate::peers::client::PeerClients;
use crate::worker_client::WorkerClient;

/// Active configuration and its generation.
#[derive(Debug, Default)]
pub struct ConfigurationSnapshot {
    /// Generation; 0 until a configuration is known.
    pub generation: u64,
    /// Stored text, as it is sent to peers.
    pub stored: String,
    /// Parsed document.
    pub document: Arc<DeploymentConfiguration>,
}

/// Members as last reported by the membership kernel.
#[derive(Debug, Default)]
pub struct MemberDirectory {
    /// All known incarnations.
    pub members: Vec<MemberSnapshot>,
    /// The same incarnations, in the form used to look up the owner of a ticket.
    pub known_incarnations: Vec<KnownIncarnation>,
}

impl MemberDirectory {
    /// Returns the peer address of a host, unless the host is known to be gone.
    #[must_use]
    pub fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let known = self
            .known_incarnations
            .iter()
            .find(|known| known.host == *host && !known.gone)?;
        Some(known.address)
    }
}

/// Counters of the membership task since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct ControlCounts {
    /// Configuration offers, counted by outcome.
    pub configuration: ConfigurationCounts,
    /// Counters of the membership kernel.
    pub membership: MembershipCounts,
}

/// Load of this process, written by the dispatch kernel's task and read by the membership task.
#[derive(Debug, Default)]
pub struct LoadGauge {
    idle_slots: AtomicU32,
    idle_accelerator_slots: AtomicU32,
    queued_tasks: AtomicU32,
}

impl LoadGauge {
    /// Replaces the load.
    ///
    /// The fields are not updated atomically as a group; heartbeats tolerate a mixed reading.
    pub fn write(&self, load: MemberLoad) {
        self.idle_slots.store(load.idle_slots, Ordering::Relaxed);
        self.idle_accelerator_slots
            .store(load.idle_accelerator_slots, Ordering::Relaxed);
        self.queued_tasks
            .store(load.queued_tasks, Ordering::Relaxed);
    }

    /// Returns the load.
    #[must_use]
    pub fn read(&self) -> MemberLoad {
        MemberLoad {
            idle_slots: self.idle_slots.load(Ordering::Relaxed),
            idle_accelerator_slots: self.idle_accelerator_slots.load(Ordering::Relaxed),
            queued_tasks: self.queued_tasks.load(Ordering::Relaxed),
        }
    }
}

/// State shared between the threads of a process.
#[derive(Debug)]
pub struct SharedState {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Name of this host.
    pub host: HostName,
    /// Clock.
    pub clock: ProcessClock,
    /// Issues and checks the tickets of this incarnation.
    pub issuer: TicketIssuer,
    /// Handle to the dispatch kernel.
    pub kernel: KernelHandle,
    /// Connections to other entry processes.
    pub peers: PeerClients,
    /// Connections to workers.
    pub worker_client: WorkerClient,
    /// Client of the platform's key-value store.
    pub store: StoreClient,
    /// Member directory, replaced by the membership task.
    pub members: ArcSwap<MemberDirectory>,
    /// Configuration and membership counters, replaced by the membership task.
    pub control_counts: ArcSwap<ControlCounts>,
    /// Active configuration, replaced when a newer one is adopted.
    pub configuration: ArcSwap<ConfigurationSnapshot>,
    /// Newest worker list from the platform; its revision never decreases.
    pub workers: ArcSwap<WorkerList>,
    /// Current load, reported in heartbeats.
    pub load: LoadGauge,
    /// Metrics.
    pub metrics: EntryMetrics,
    draining: AtomicBool,
}

impl SharedState {
    /// Creates the shared state of a process.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        clock: ProcessClock,
        issuer: TicketIssuer,
        kernel: KernelHandle,
        store: StoreClient,
    ) -> Self {
        let host = HostName::from(settings.host.as_str());
        let peers = PeerClients::new(settings.timing.connect_timeout_ms);
        let connect_timeout = Duration::from_millis(settings.timing.connect_timeout_ms);
        let worker_client = WorkerClient::new(issuer.incarnation(), connect_timeout);
        Self {
            settings,
            host,
            clock,
            issuer,
            kernel,
            peers,
            worker_client,
            store,
            members: ArcSwap::default(),
            control_counts: ArcSwap::default(),
            configuration: ArcSwap::default(),
            workers: ArcSwap::default(),
            load: LoadGauge::default(),
            metrics: EntryMetrics::default(),
            draining: AtomicBool::new(false),
        }
    }

    /// Encodes the newest worker list for a peer; empty if none is known.
    #[must_use]
    pub fn encode_worker_list(&self) -> String {
        let list = self.workers.load();
        if list.revision == 0 {
            return String::new();
        }
        serde_json::to_string(list.as_ref()).unwrap_or_default()
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown; returns `false` if one had already begun.
    pub fn begin_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }
}
