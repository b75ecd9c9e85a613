//! Accepts connections within the limits.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::ledger::{ConnectionLedger, OpenConnection, RetirementCount};
use crate::settings::{ListenSettings, PhaseTimes};

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

impl ListenSettings {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be listened on.
    pub fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = self.receive_buffer
            && let Err(error) =
                socket.set_recv_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))
        {
            log::debug!("event=socket_option_failed option=receive_buffer error=\"{error}\"");
        }
        socket.bind(address)?;
        socket.listen(self.backlog)
    }
}

/// Listener whose connections are registered in a ledger.
///
/// When the ledger retires its connections, the listener opens a new socket. The system has set up some
/// connections to the former one without the process: they wait to be accepted, or their handshake is
/// completed by the first packet that arrives, which can be a request that was sent long before. Only a
/// connection to the new socket is known to have been set up since.
#[derive(Debug)]
pub struct IntakeListener {
    /// `None` while the address cannot be listened on.
    socket: Option<TcpListener>,
    address: Option<SocketAddr>,
    settings: ListenSettings,
    /// Retirements of the ledger before the socket was opened.
    retirements: RetirementCount,
    /// Connections that were accepted from the socket since the last retirement.
    accepted_late: u32,
    ledger: ConnectionLedger,
    /// Response to connections for which there is no room.
    refusal: &'static [u8],
}

impl IntakeListener {
    /// Creates a listener. Connections for which there is no room get `refusal` before they are closed.
    /// `settings` are those of the sockets that replace this one.
    #[must_use]
    pub fn new(
        socket: TcpListener,
        ledger: ConnectionLedger,
        refusal: &'static [u8],
        settings: ListenSettings,
    ) -> Self {
        Self {
            address: socket.local_addr().ok(),
            socket: Some(socket),
            settings,
            retirements: ledger.retirements(),
            accepted_late: 0,
            ledger,
            refusal,
        }
    }

    /// Returns the ledger of the connections.
    #[must_use]
    pub const fn ledger(&self) -> &ConnectionLedger {
        &self.ledger
    }

    /// Waits for the next connection for which there is room. `times` is called for each connection,
    /// because the configuration may have changed since the one before.
    pub async fn accept(&mut self, times: impl Fn() -> PhaseTimes) -> (TcpStream, OpenConnection) {
        loop {
            let stream = match self.accept_stream().await {
                Ok(stream) => stream,
                Err(error) => {
                    let interface = self.ledger.interface();
                    log::warn!("event=accept_failed interface={interface} error=\"{error}\"");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            match self.ledger.admit(times(), self.retirements).await {
                Some(connection) => return (stream, connection),
                None => self.refuse(&stream),
            }
        }
    }

    /// Waits for the next connection. After a retirement, returns those that wait at the former socket
    /// and then opens a new one.
    async fn accept_stream(&mut self) -> io::Result<TcpStream> {
        loop {
            if self.ledger.retirements() > self.retirements {
                if let Some(accepted) = self.accept_waiting().await {
                    return accepted;
                }
                self.replace_socket()?;
            }
            let Some(socket) = &self.socket else {
                return Err(io::ErrorKind::NotConnected.into());
            };
            tokio::select! {
                biased;
                accepted = socket.accept() => return accepted.map(|(stream, _)| stream),
                () = self.ledger.wait_for_retirement(self.retirements) => {}
            }
        }
    }

    /// Accepts a connection that waits at the former socket. Clients that open connections all the time
    /// do not delay the new one.
    async fn accept_waiting(&mut self) -> Option<io::Result<TcpStream>> {
        let socket = self.socket.as_ref()?;
        if self.accepted_late >= self.settings.backlog {
            return None;
        }
        self.accepted_late += 1;
        let accepted = poll_fn(|context| Poll::Ready(socket.poll_accept(context))).await;
        match accepted {
            Poll::Ready(accepted) => Some(accepted.map(|(stream, _)| stream)),
            Poll::Pending => None,
        }
    }

    /// Opens a new socket at the address of the former one. The system resets what is left there.
    fn replace_socket(&mut self) -> io::Result<()> {
        let address = self.address.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let retirements = self.ledger.retirements();
        // The address is in use until the former socket is closed.
        self.socket = None;
        self.socket = Some(self.settings.listen(address)?);
        self.retirements = retirements;
        self.accepted_late = 0;
        Ok(())
    }

    fn refuse(&self, stream: &TcpStream) {
        if let Err(error) = stream.try_write(self.refusal) {
            let interface = self.ledger.interface();
            log::trace!("event=connection_ended interface={interface} error=\"{error}\"");
        }
    }
}
