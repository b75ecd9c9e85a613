//! What the request path reads without waiting: snapshots, atomics and immutable parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bramley_core::configuration::{ConfigurationCounts, DeploymentConfiguration};
use bramley_core::membership::{MemberLoad, MemberSnapshot, MembershipCounts};
use bramley_core::names::HostName;
use bramley_core::ownership::OwnerCandidate;
use bramley_core::ticket::TicketIssuer;
use bramley_settings::EntrySettings;
use bramley_store::StoreClient;
use bramley_wire::platform::WorkerList;

use crate::clock::ProcessClock;
use crate::dispatch::channel::KernelHandle;
use crate::metrics::EntryMetrics;
use crate::peers::client::PeerClients;
use crate::worker_client::WorkerClient;

/// Configuration in force with its generation.
#[derive(Debug, Default)]
pub struct ConfigurationSnapshot {
    /// Generation; 0 before any configuration is known.
    pub generation: u64,
    /// Stored text, as it is handed to siblings.
    pub stored: String,
    /// Parsed document.
    pub document: Arc<DeploymentConfiguration>,
}

/// Members as last seen by the membership kernel.
#[derive(Debug, Default)]
pub struct MemberDirectory {
    /// All known incarnations.
    pub members: Vec<MemberSnapshot>,
    /// The same for finding the owner of a ticket.
    pub candidates: Vec<OwnerCandidate>,
}

impl MemberDirectory {
    /// Returns the peer address of a host that is not known to be gone.
    #[must_use]
    pub fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let candidate = self
            .candidates
            .iter()
            .find(|candidate| candidate.host == *host && !candidate.gone)?;
        Some(candidate.address)
    }
}

/// Counts of the membership's task since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct ControlCounts {
    /// Offers of configurations by outcome.
    pub configuration: ConfigurationCounts,
    /// What the membership kernel did.
    pub membership: MembershipCounts,
}

/// Load of this process, written by the kernel's task and read by the membership's.
#[derive(Debug, Default)]
pub struct LoadGauge {
    idle_slots: AtomicU32,
    idle_accelerator_slots: AtomicU32,
    queued_tasks: AtomicU32,
}

impl LoadGauge {
    /// Replaces the load; the fields may be read in between, which heartbeats tolerate.
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

/// State that the request path shares between threads.
#[derive(Debug)]
pub struct SharedState {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Own host.
    pub host: HostName,
    /// Clock.
    pub clock: ProcessClock,
    /// Issues and checks the tickets of this incarnation.
    pub issuer: TicketIssuer,
    /// Way to the dispatch kernel.
    pub kernel: KernelHandle,
    /// Connections to other entry processes.
    pub peers: PeerClients,
    /// Connections to workers.
    pub worker_client: WorkerClient,
    /// Platform's key-value service.
    pub store: StoreClient,
    /// Members, replaced as a whole by the membership loop.
    pub members: ArcSwap<MemberDirectory>,
    /// Counts of configuration and membership, replaced by the membership loop.
    pub control_counts: ArcSwap<ControlCounts>,
    /// Configuration, replaced as a whole when a newer one comes into force.
    pub configuration: ArcSwap<ConfigurationSnapshot>,
    /// Newest worker list of the platform; its revision only rises.
    pub workers: ArcSwap<WorkerList>,
    /// Present load, which heartbeats tell.
    pub load: LoadGauge,
    /// Metrics.
    pub metrics: EntryMetrics,
    draining: AtomicBool,
}

impl SharedState {
    /// Puts the parts together.
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

    /// Encodes the newest worker list for a sibling; empty if none is known.
    #[must_use]
    pub fn encode_workers(&self) -> String {
        let list = self.workers.load();
        if list.revision == 0 {
            return String::new();
        }
        serde_json::to_string(list.as_ref()).unwrap_or_default()
    }

    /// Tells whether a planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a planned stop and returns whether it had not begun before.
    pub fn begin_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }
}
