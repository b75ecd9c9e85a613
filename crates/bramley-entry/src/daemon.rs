//! Starts and stops an entry process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::membership::{MemberRecord, MemberState, MembershipKernel, MembershipSettings};
use bramley_core::names::{DomainName, HostName};
use bramley_core::ticket::TicketIssuer;
use bramley_core::units::{IncarnationId, UnixTime};
use bramley_settings::EntrySettings;
use bramley_store::{StoreClient, StoreSettings};
use bramley_wire::peer::peer_server::PeerServer;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tonic::transport::server::TcpIncoming;

use crate::caller::server;
use crate::clock::ProcessClock;
use crate::control;
use crate::dispatch::channel::{KernelInbox, kernel_channel};
use crate::dispatch::construction::build_kernel;
use crate::dispatch::kernel_loop::KernelLoop;
use crate::dispatch::runner::DaemonActionRunner;
use crate::member_channel::{MembershipHandle, MembershipInbox, member_channel};
use crate::member_loop::MembershipLoop;
use crate::peers::client::MAX_MESSAGE_BYTES;
use crate::peers::server::PeerService;
use crate::platform_loop;
use crate::shared::SharedState;

/// Interval at which a graceful shutdown checks whether all jobs have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time allowed for caller connections to close after the last response.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// Every accepted job finished.
    Finished,
    /// The stop deadline passed or the stop was forced; unfinished jobs were answered with what
    /// was known about them.
    CutShort,
}

/// Cancellation tokens for the stages of a shutdown.
#[derive(Clone, Debug, Default)]
struct ShutdownTokens {
    /// A graceful shutdown was requested.
    drain: CancellationToken,
    /// No new caller connections are accepted.
    listeners: CancellationToken,
    /// All tasks of the process end.
    shutdown: CancellationToken,
}

/// A running entry process.
///
/// Dropping it ends all of its tasks immediately, as a crash would.
#[derive(Debug)]
pub struct EntryDaemon {
    state: Arc<SharedState>,
    membership: MembershipHandle,
    tokens: ShutdownTokens,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    control_address: SocketAddr,
    caller_server: JoinHandle<()>,
    _shutdown_guard: DropGuard,
}

impl EntryDaemon {
    /// Starts an entry process; `settings` must have been validated.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(settings: EntrySettings) -> io::Result<Self> {
        // Bind first, so that nothing is started if a port is in use.
        let caller_listener = TcpListener::bind(settings.caller_address).await?;
        let peer_listener = TcpListener::bind(settings.peer_address).await?;
        let caller_address = caller_listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;
        let tokens = ShutdownTokens::default();
        let shutdown_guard = tokens.shutdown.clone().drop_guard();

        let clock = ProcessClock::start();
        let (kernel_handle, kernel_inbox) = kernel_channel();
        let (membership_handle, membership_inbox) = member_channel();
        let issuer = build_issuer(&settings);
        let store = build_store(&settings);
        let state = Arc::new(SharedState::new(
            settings,
            clock,
            issuer,
            kernel_handle,
            store,
        ));

        let (control_address, control_server) = control::listen(
            state.settings.control_address,
            Arc::clone(&state),
            tokens.drain.clone(),
        )
        .await?;
        let spawner = TaskSpawner {
            state: Arc::clone(&state),
            membership: membership_handle.clone(),
            tokens: tokens.clone(),
        };
        spawner.spawn(control_server);
        spawner.spawn_kernel(kernel_inbox);
        spawner.spawn_membership(membership_inbox, peer_address);
        spawner.spawn_platform();
        spawner.spawn_peer_server(peer_listener)?;
        let caller_server = spawner.spawn(server::serve(
            caller_listener,
            Arc::clone(&state),
            tokens.listeners.clone(),
            tokens.shutdown.clone(),
        ));
        log::info!(
            "event=started host={} incarnation={} callers={caller_address} peers={peer_address} control={control_address}",
            state.host,
            state.issuer.incarnation()
        );
        Ok(Self {
            state,
            membership: membership_handle,
            tokens,
            caller_address,
            peer_address,
            control_address,
            caller_server,
            _shutdown_guard: shutdown_guard,
        })
    }

    /// Returns the address of the HTTP server for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the gRPC server for other entry processes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the control service.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the shared state, for embedding and tests.
    #[must_use]
    pub const fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Waits until an operator requests a drain or a newer incarnation of this host appears.
    pub async fn drain_requested(&self) {
        self.tokens.drain.cancelled().await;
    }

    /// Shuts down gracefully: refuses new jobs, finishes accepted ones, then ends all tasks.
    ///
    /// When `force_stop` completes or the `stop_deadline_ms` setting has elapsed, the remaining
    /// jobs are answered at once with what is known about them.
    pub async fn stop(self, force_stop: impl Future<Output = ()>) -> StopOutcome {
        self.state.begin_drain();
        self.state.kernel.report(KernelEvent::DrainStarted).await;
        self.membership.begin_leaving().await;
        log::info!("event=drain_started host={}", self.state.host);
        let drain_timeout = Duration::from_millis(self.state.settings.timing.stop_deadline_ms);
        let outcome = tokio::select! {
            () = self.wait_until_drained() => StopOutcome::Finished,
            () = tokio::time::sleep(drain_timeout) => StopOutcome::CutShort,
            () = force_stop => StopOutcome::CutShort,
        };
        if outcome == StopOutcome::CutShort {
            self.state
                .kernel
                .report(KernelEvent::StopDeadlineReached)
                .await;
        }
        self.tokens.listeners.cancel();
        let closed = tokio::time::timeout(CONNECTION_CLOSE_TIMEOUT, self.caller_server).await;
        if closed.is_err() {
            log::warn!("event=connections_left_open host={}", self.state.host);
        }
        self.membership.announce_gone().await;
        log::info!("event=stopped host={} outcome={outcome:?}", self.state.host);
        outcome
    }

    async fn wait_until_drained(&self) {
        loop {
            let dump = self.state.kernel.dump().await;
            if dump.is_ok_and(|dump| dump.draining && dump.active_jobs == 0) {
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

fn build_issuer(settings: &EntrySettings) -> TicketIssuer {
    let mut random = rand::rng();
    let incarnation = IncarnationId::from_bits(random.random());
    TicketIssuer::new(
        DomainName::from(settings.failure_domain.as_str()),
        HostName::from(settings.host.as_str()),
        incarnation,
        random.random(),
    )
}

fn build_store(settings: &EntrySettings) -> StoreClient {
    StoreClient::new(StoreSettings {
        address: settings.platform_address,
        connect_timeout_ms: settings.timing.connect_timeout_ms,
        ..StoreSettings::default()
    })
}

/// Spawns the tasks of a process.
struct TaskSpawner {
    state: Arc<SharedState>,
    membership: MembershipHandle,
    tokens: ShutdownTokens,
}

impl TaskSpawner {
    /// Spawns a task that is cancelled when the process ends.
    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let shutdown = self.tokens.shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = future => {}
                () = shutdown.cancelled() => {}
            }
        })
    }

    fn spawn_kernel(&self, inbox: KernelInbox) {
        let kernel = build_kernel(&self.state.settings, rand::rng().random());
        let runner = DaemonActionRunner {
            state: Arc::clone(&self.state),
            membership: self.membership.clone(),
            shutdown: self.tokens.shutdown.clone(),
        };
        let kernel_loop = KernelLoop::new(kernel, self.state.clock, inbox, runner);
        self.spawn(kernel_loop.run());
    }

    fn spawn_membership(&self, inbox: MembershipInbox, peer_address: SocketAddr) {
        let settings = &self.state.settings;
        let membership = MembershipSettings {
            heartbeat_interval_ms: settings.timing.heartbeat_ms,
            ticket_lifetime_ms: settings.limits.ticket_lifetime_ms,
            seeds: settings.siblings.clone(),
            ..MembershipSettings::default()
        };
        let started = self.state.clock.started();
        let own = MemberRecord {
            host: self.state.host.clone(),
            domain: DomainName::from(settings.failure_domain.as_str()),
            incarnation: self.state.issuer.incarnation(),
            started: UnixTime::from_millis(started.as_millis()),
            peer_address,
            state: MemberState::Alive,
            heartbeat: 0,
        };
        let now = self.state.clock.now();
        let kernel = MembershipKernel::new(membership, own, &mut rand::rng(), now);
        let membership_loop = MembershipLoop::new(
            kernel,
            Arc::clone(&self.state),
            self.membership.clone(),
            inbox,
            self.tokens.drain.clone(),
        );
        self.spawn(membership_loop.run());
    }

    fn spawn_platform(&self) {
        let state = Arc::clone(&self.state);
        self.spawn(platform_loop::watch_configuration(
            state,
            self.membership.clone(),
        ));
        let state = Arc::clone(&self.state);
        self.spawn(platform_loop::poll_workers(state, self.membership.clone()));
    }

    fn spawn_peer_server(&self, listener: TcpListener) -> io::Result<()> {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = PeerService::new(Arc::clone(&self.state), self.membership.clone());
        let service = PeerServer::new(service)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let serving = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming);
        self.spawn(async move {
            if let Err(error) = serving.await {
                log::error!("event=peer_server_failed error=\"{error}\"");
            }
        });
        Ok(())
    }
}
