//! Loopback TCP proxy that forwards connections and can delay, stall or reset them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Interval between attempts to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(1);

/// Interval at which connections check whether they are stalled or reset.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between attempts to reach a server that refuses connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// How a proxy treats the data on its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ProxyMode {
    /// Data is forwarded at once in both directions.
    #[default]
    Open,
    /// Every chunk is forwarded after a delay of this many milliseconds.
    Delayed(u64),
    /// Data is held back in both directions, also on new connections, until the mode changes.
    Stalled,
    /// Data from the server is held back until the mode changes; data from the client is
    /// forwarded.
    ResponsesStalled,
    /// Data from the client is held back until the mode changes; data from the server is
    /// forwarded.
    RequestsStalled,
    /// New connections are refused.
    Refusing,
}

#[derive(Debug, Default)]
struct ProxyState {
    mode: Mutex<ProxyMode>,
    /// Number of resets so far. A connection accepted at a lower count is closed.
    reset_epoch: AtomicU64,
    /// Number of permanent stalls so far. A connection accepted at a lower count stays stalled.
    stall_epoch: AtomicU64,
    /// Whether the server refuses connections, so that the proxy does, too.
    is_server_down: AtomicBool,
    /// Wakes the proxy when the mode changes or the server goes down.
    changed: Notify,
    /// State that holds for this proxy as well.
    parent: Option<Arc<ProxyState>>,
}

/// A proxy in front of one server. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct LoopbackProxy {
    state: Arc<ProxyState>,
}

impl LoopbackProxy {
    /// Creates a proxy that also obeys what `parent` is told.
    #[must_use]
    pub fn with_parent(parent: &Self) -> Self {
        let state = ProxyState {
            parent: Some(Arc::clone(&parent.state)),
            ..ProxyState::default()
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Listens on a free port of the IP address of `server`, forwards connections to `server` and
    /// returns the address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port can be bound.
    pub async fn serve(&self, server: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::new(server.ip(), 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(accept_connections(
            Arc::clone(&self.state),
            listener,
            address,
            server,
        ));
        Ok(address)
    }

    /// Sets how the data on all connections is treated.
    pub fn set_mode(&self, mode: ProxyMode) {
        let mut current = self
            .state
            .mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = mode;
        self.state.changed.notify_one();
    }

    /// Makes the proxy refuse connections until the server accepts them again.
    pub fn mark_server_down(&self) {
        self.state.is_server_down.store(true, Ordering::SeqCst);
        self.state.changed.notify_one();
    }

    /// Closes all connections that are open now.
    pub fn reset_all(&self) {
        self.state.reset_epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Stalls all connections that are open now permanently; new ones are not affected.
    pub fn stall_all(&self) {
        self.state.stall_epoch.fetch_add(1, Ordering::SeqCst);
    }
}

impl ProxyState {
    /// Returns the mode of the parent unless it is open, and else that of the proxy itself.
    fn mode(&self) -> ProxyMode {
        let own_mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        match self.parent.as_ref().map(|parent| parent.mode()) {
            None | Some(ProxyMode::Open) => own_mode,
            Some(mode) => mode,
        }
    }

    /// Returns the reset epoch and the stall epoch. They rise with those of the parent.
    fn epochs(&self) -> (u64, u64) {
        let (resets, stalls) = match &self.parent {
            Some(parent) => parent.epochs(),
            None => (0, 0),
        };
        (
            resets + self.reset_epoch.load(Ordering::SeqCst),
            stalls + self.stall_epoch.load(Ordering::SeqCst),
        )
    }

    fn is_server_down(&self) -> bool {
        self.is_server_down.load(Ordering::SeqCst)
    }
}

async fn accept_connections(
    state: Arc<ProxyState>,
    listener: TcpListener,
    address: SocketAddr,
    server: SocketAddr,
) {
    let mut listener = Some(listener);
    loop {
        if state.mode() == ProxyMode::Refusing {
            listener = None;
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if state.is_server_down() {
            listener = None;
            sleep(PROBE_INTERVAL).await;
            let is_down = TcpStream::connect(server).await.is_err();
            state.is_server_down.store(is_down, Ordering::SeqCst);
            continue;
        }
        let Some(open) = &listener else {
            // The port may be in use for a moment; the next round tries again.
            listener = TcpListener::bind(address).await.ok();
            sleep(REBIND_INTERVAL).await;
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((client, _)) = accepted {
                    tokio::spawn(forward_connection(Arc::clone(&state), client, server));
                }
            }
            () = state.changed.notified() => {}
            () = sleep(POLL_INTERVAL) => {}
        }
    }
}

async fn forward_connection(state: Arc<ProxyState>, client: TcpStream, server: SocketAddr) {
    let accepted_epochs = state.epochs();
    let Ok(server) = TcpStream::connect(server).await else {
        state.is_server_down.store(true, Ordering::SeqCst);
        return;
    };
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let requests = forward_bytes(
        &state,
        accepted_epochs,
        false,
        &mut client_reader,
        &mut server_writer,
    );
    let responses = forward_bytes(
        &state,
        accepted_epochs,
        true,
        &mut server_reader,
        &mut client_writer,
    );
    // The connection ends when either direction does or a reset arrives; dropping both sockets
    // closes them.
    tokio::select! {
        () = requests => {}
        () = responses => {}
        () = wait_for_reset(&state, accepted_epochs.0) => {}
    }
}

async fn wait_for_reset(state: &ProxyState, accepted_epoch: u64) {
    while state.epochs().0 == accepted_epoch {
        sleep(POLL_INTERVAL).await;
    }
}

async fn forward_bytes(
    state: &ProxyState,
    accepted_epochs: (u64, u64),
    is_response: bool,
    reader: &mut (impl AsyncReadExt + Unpin),
    writer: &mut (impl AsyncWriteExt + Unpin),
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match reader.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        loop {
            let mode = state.mode();
            let is_stalled = state.epochs().1 != accepted_epochs.1
                || mode == ProxyMode::Stalled
                || (mode == ProxyMode::ResponsesStalled && is_response)
                || (mode == ProxyMode::RequestsStalled && !is_response);
            if !is_stalled {
                if let ProxyMode::Delayed(millis) = mode {
                    sleep(Duration::from_millis(millis)).await;
                }
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
