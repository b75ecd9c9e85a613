//! Serves the control service that `bramleyctl` calls through `tarpc`.

use std::net::SocketAddr;
use std::sync::Arc;

use bramley_wire::control::ControlService;
use futures::StreamExt;
use futures::future::ready;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio_util::sync::CancellationToken;

use crate::dump;
use crate::shared::SharedState;

/// Maximum number of concurrent control connections.
const MAX_CONNECTIONS: usize = 16;

/// Implements the control service.
#[derive(Clone, Debug)]
struct ControlServer {
    state: Arc<SharedState>,
    drain: CancellationToken,
}

impl ControlService for ControlServer {
    async fn dump_state(self, _context: Context) -> String {
        dump::dump_state(&self.state).await
    }

    async fn begin_drain(self, _context: Context) -> bool {
        let newly_requested = !self.state.is_draining();
        self.drain.cancel();
        newly_requested
    }

    async fn configuration_generation(self, _context: Context) -> u64 {
        self.state.configuration.load().generation
    }
}

/// Binds the control service and returns its address and the future that serves it.
///
/// `drain` is cancelled when an operator requests a drain.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(
    address: SocketAddr,
    state: Arc<SharedState>,
    drain: CancellationToken,
) -> std::io::Result<(SocketAddr, impl Future<Output = ()>)> {
    let incoming = tarpc::serde_transport::tcp::listen(address, Json::default).await?;
    let address = incoming.local_addr();
    let server = ControlServer { state, drain };
    let serving = incoming
        .filter_map(|transport| ready(transport.ok()))
        .map(BaseChannel::with_defaults)
        .map(move |channel| {
            let requests = channel.execute(server.clone().serve());
            requests.for_each(|response| async move {
                tokio::spawn(response);
            })
        })
        .buffer_unordered(MAX_CONNECTIONS)
        .for_each(|()| ready(()));
    Ok((address, serving))
}
