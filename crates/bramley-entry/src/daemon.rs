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
use crate::dispatch::construction::make_kernel;
use crate::dispatch::kernel_loop::KernelLoop;
use crate::dispatch::runner::TaskRunner;
use crate::member_channel::{MemberHandle, MemberInbox, member_channel};
use crate::member_loop::MemberLoop;
use crate::peers::client::MAX_MESSAGE_BYTES;
use crate::peers::server::PeerService;
use crate::platform_loop;
use crate::shared::SharedState;

/// Interval at which a planned stop looks whether all work is done.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Time in which connections may close after the last answer.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// Every accepted job was finished.
    Finished,
    /// The stop deadline passed; what remained was answered as it stood.
    CutShort,
}

/// Tokens that end the parts of a process.
#[derive(Clone, Debug, Default)]
struct StopTokens {
    /// A planned stop was asked for.
    drain: CancellationToken,
    /// No more connections are accepted.
    listeners: CancellationToken,
    /// Everything ends.
    all: CancellationToken,
}

/// A running entry process; dropping it ends everything at once, as a crash would.
#[derive(Debug)]
pub struct EntryDaemon {
    state: Arc<SharedState>,
    members: MemberHandle,
    tokens: StopTokens,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    control_address: SocketAddr,
    caller_server: JoinHandle<()>,
    _end_all: DropGuard,
}

impl EntryDaemon {
    /// Starts an entry process with settings that were checked.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address.
    pub async fn start(settings: EntrySettings) -> io::Result<Self> {
        // Listeners come first, so that a port in use starts nothing.
        let caller_listener = TcpListener::bind(settings.caller_address).await?;
        let peer_listener = TcpListener::bind(settings.peer_address).await?;
        let caller_address = caller_listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;
        let tokens = StopTokens::default();
        let end_all = tokens.all.clone().drop_guard();

        let clock = ProcessClock::start();
        let (kernel_handle, kernel_inbox) = kernel_channel();
        let (member_handle, member_inbox) = member_channel();
        let issuer = make_issuer(&settings);
        let store = make_store(&settings);
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
        let parts = ProcessParts {
            state: Arc::clone(&state),
            members: member_handle.clone(),
            tokens: tokens.clone(),
        };
        parts.spawn(control_server);
        parts.spawn_kernel(kernel_inbox);
        parts.spawn_members(member_inbox, peer_address);
        parts.spawn_platform();
        parts.spawn_peer_server(peer_listener)?;
        let caller_server = parts.spawn(server::serve(
            caller_listener,
            Arc::clone(&state),
            tokens.listeners.clone(),
            tokens.all.clone(),
        ));
        log::info!(
            "event=started host={} incarnation={} callers={caller_address} peers={peer_address} control={control_address}",
            state.host,
            state.issuer.incarnation()
        );
        Ok(Self {
            state,
            members: member_handle,
            tokens,
            caller_address,
            peer_address,
            control_address,
            caller_server,
            _end_all: end_all,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for other entry processes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address for the operators' command.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the shared state, for embedding and tests.
    #[must_use]
    pub const fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Waits until an operator or a newer incarnation asks the process to stop.
    pub async fn drain_requested(&self) {
        self.tokens.drain.cancelled().await;
    }

    /// Stops as planned: refuses new work, finishes what was accepted, then ends everything.
    ///
    /// `hurry` cuts the wait short, as the stop deadline of the settings does; what remains is
    /// then answered truthfully as it stands.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> StopOutcome {
        self.state.begin_drain();
        self.state.kernel.report(KernelEvent::DrainStarted).await;
        self.members.begin_leaving().await;
        log::info!("event=drain_started host={}", self.state.host);
        let limit = Duration::from_millis(self.state.settings.timing.stop_deadline_ms);
        let outcome = tokio::select! {
            () = self.drained() => StopOutcome::Finished,
            () = tokio::time::sleep(limit) => StopOutcome::CutShort,
            () = hurry => StopOutcome::CutShort,
        };
        if outcome == StopOutcome::CutShort {
            self.state
                .kernel
                .report(KernelEvent::StopDeadlineReached)
                .await;
        }
        self.tokens.listeners.cancel();
        let closed = tokio::time::timeout(CLOSE_LIMIT, self.caller_server).await;
        if closed.is_err() {
            log::warn!("event=connections_left_open host={}", self.state.host);
        }
        self.members.say_gone().await;
        log::info!("event=stopped host={} outcome={outcome:?}", self.state.host);
        outcome
    }

    async fn drained(&self) {
        loop {
            let dump = self.state.kernel.dump().await;
            if dump.is_ok_and(|dump| dump.draining && dump.active_jobs == 0) {
                return;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

fn make_issuer(settings: &EntrySettings) -> TicketIssuer {
    let mut random = rand::rng();
    let incarnation = IncarnationId::from_bits(random.random());
    TicketIssuer::new(
        DomainName::from(settings.failure_domain.as_str()),
        HostName::from(settings.host.as_str()),
        incarnation,
        random.random(),
    )
}

fn make_store(settings: &EntrySettings) -> StoreClient {
    StoreClient::new(StoreSettings {
        address: settings.platform_address,
        connect_timeout_ms: settings.timing.connect_timeout_ms,
        ..StoreSettings::default()
    })
}

/// What the tasks of a process share.
struct ProcessParts {
    state: Arc<SharedState>,
    members: MemberHandle,
    tokens: StopTokens,
}

impl ProcessParts {
    /// Starts a task that ends with the process.
    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let all = self.tokens.all.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = future => {}
                () = all.cancelled() => {}
            }
        })
    }

    fn spawn_kernel(&self, inbox: KernelInbox) {
        let kernel = make_kernel(&self.state.settings, rand::rng().random());
        let runner = TaskRunner {
            state: Arc::clone(&self.state),
            members: self.members.clone(),
            all: self.tokens.all.clone(),
        };
        let kernel_loop = KernelLoop::new(kernel, self.state.clock, inbox, runner);
        self.spawn(kernel_loop.run());
    }

    fn spawn_members(&self, inbox: MemberInbox, peer_address: SocketAddr) {
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
        let member_loop = MemberLoop::new(
            kernel,
            Arc::clone(&self.state),
            self.members.clone(),
            inbox,
            self.tokens.drain.clone(),
        );
        self.spawn(member_loop.run());
    }

    fn spawn_platform(&self) {
        let state = Arc::clone(&self.state);
        self.spawn(platform_loop::follow_configuration(
            state,
            self.members.clone(),
        ));
        let state = Arc::clone(&self.state);
        self.spawn(platform_loop::follow_workers(state, self.members.clone()));
    }

    fn spawn_peer_server(&self, listener: TcpListener) -> io::Result<()> {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = PeerService::new(Arc::clone(&self.state), self.members.clone());
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
