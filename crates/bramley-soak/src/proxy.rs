//! Delays, resets and silences connections on the loopback interface.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Bytes that are copied at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Time between two looks of a silenced connection.
const SILENCE_STEP: Duration = Duration::from_millis(20);

/// How a proxy treats connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ProxyMood {
    /// Everything passes.
    #[default]
    Open,
    /// Every chunk is late by this many milliseconds.
    Delayed(u64),
    /// Nothing passes in either direction, also on new connections.
    Silent,
    /// What the server sends does not pass.
    OneWay,
}

#[derive(Debug, Default)]
struct ProxyState {
    mood: Mutex<ProxyMood>,
    /// Connections made before this count have been reset.
    epoch: AtomicU64,
    /// Connections made before this count are silent for good.
    silent_epoch: AtomicU64,
}

/// A proxy in front of one server; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LoopbackProxy {
    state: Arc<ProxyState>,
}

impl LoopbackProxy {
    /// Listens on a loopback port and passes connections on to `server`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub async fn serve(&self, server: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(pass_connection(Arc::clone(&state), client, server));
            }
        });
        Ok(address)
    }

    /// Changes how connections are treated.
    pub fn set_mood(&self, mood: ProxyMood) {
        let mut present = self
            .state
            .mood
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *present = mood;
    }

    /// Resets all connections that are open now.
    pub fn reset_all(&self) {
        self.state.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Silences all connections that are open now, for good, while new ones pass.
    pub fn silence_all(&self) {
        self.state.silent_epoch.fetch_add(1, Ordering::SeqCst);
    }
}

impl ProxyState {
    fn mood(&self) -> ProxyMood {
        *self.mood.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn epochs(&self) -> (u64, u64) {
        let epoch = self.epoch.load(Ordering::SeqCst);
        (epoch, self.silent_epoch.load(Ordering::SeqCst))
    }
}

async fn pass_connection(state: Arc<ProxyState>, client: TcpStream, server: SocketAddr) {
    let made_at = state.epochs();
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let there = pass_bytes(
        &state,
        made_at,
        false,
        &mut client_reader,
        &mut server_writer,
    );
    let back = pass_bytes(
        &state,
        made_at,
        true,
        &mut server_reader,
        &mut client_writer,
    );
    // Either direction's end ends the connection; dropping both sockets closes them.
    tokio::select! {
        () = there => {}
        () = back => {}
        () = wait_for_reset(&state, made_at.0) => {}
    }
}

async fn wait_for_reset(state: &ProxyState, made_at: u64) {
    while state.epochs().0 == made_at {
        sleep(SILENCE_STEP).await;
    }
}

async fn pass_bytes(
    state: &ProxyState,
    made_at: (u64, u64),
    is_answer: bool,
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
            let mood = state.mood();
            let is_silent = state.epochs().1 != made_at.1
                || mood == ProxyMood::Silent
                || (mood == ProxyMood::OneWay && is_answer);
            if !is_silent {
                if let ProxyMood::Delayed(millis) = mood {
                    sleep(Duration::from_millis(millis)).await;
                }
                break;
            }
            sleep(SILENCE_STEP).await;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
