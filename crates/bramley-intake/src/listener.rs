//! Accepts connections within the limits.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::ledger::{ConnectionLedger, OpenConnection};
use crate::settings::PhaseTimes;

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listener whose connections are registered in a ledger.
#[derive(Debug)]
pub struct IntakeListener {
    listener: TcpListener,
    ledger: ConnectionLedger,
    /// Response to connections for which there is no room.
    refusal: &'static [u8],
}

impl IntakeListener {
    /// Creates a listener. Connections for which there is no room get `refusal` before they are
    /// closed.
    #[must_use]
    pub const fn new(
        listener: TcpListener,
        ledger: ConnectionLedger,
        refusal: &'static [u8],
    ) -> Self {
        Self {
            listener,
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
    pub async fn accept(&self, times: impl Fn() -> PhaseTimes) -> (TcpStream, OpenConnection) {
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    let interface = self.ledger.interface();
                    log::warn!("event=accept_failed interface={interface} error=\"{error}\"");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            match self.ledger.admit(times(), self.ledger.retirements()).await {
                Some(connection) => return (stream, connection),
                None => self.refuse(&stream),
            }
        }
    }

    fn refuse(&self, stream: &TcpStream) {
        if let Err(error) = stream.try_write(self.refusal) {
            let interface = self.ledger.interface();
            log::trace!("event=connection_ended interface={interface} error=\"{error}\"");
        }
    }
}
