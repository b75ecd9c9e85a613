//! Client of the control service of entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use bramley_wire::control::ControlServiceClient;
use futures::future::join_all;
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Json;
use tokio::time::{Instant, timeout};

use crate::error::CommandError;

/// Timeout of one call, including the connection setup.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two queries to the same host.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of a state dump in bytes.
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

/// Generation of the configuration in force on a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostGeneration {
    /// Control address of the host.
    pub address: SocketAddr,
    /// Generation in force, or why the query failed.
    pub generation: Result<u64, String>,
}

/// Queries the generation in force on every host.
pub async fn query_generations(hosts: &[SocketAddr]) -> Vec<HostGeneration> {
    join_all(hosts.iter().map(|address| query_generation(*address))).await
}

async fn query_generation(address: SocketAddr) -> HostGeneration {
    let call = async {
        let client = connect(address).await?;
        let reply = client.configuration_generation(make_context()).await;
        reply.map_err(|error| error.to_string())
    };
    HostGeneration {
        address,
        generation: with_timeout(call).await,
    }
}

/// Polls the hosts until `generation` or a higher one is in force on each, or until the deadline.
pub async fn wait_for_generation(
    hosts: &[SocketAddr],
    generation: u64,
    deadline: Instant,
) -> Vec<HostGeneration> {
    loop {
        let results = query_generations(hosts).await;
        let is_reached = results.iter().all(|host| {
            host.generation
                .as_ref()
                .is_ok_and(|found| *found >= generation)
        });
        if is_reached || Instant::now() + POLL_INTERVAL >= deadline {
            return results;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the state dump of a host.
///
/// # Errors
///
/// Returns [`CommandError::HostUnreachable`] if the call fails or times out.
pub async fn dump_host(address: SocketAddr) -> Result<String, CommandError> {
    let call = async {
        let client = connect(address).await?;
        let reply = client.dump_state(make_context()).await;
        reply.map_err(|error| error.to_string())
    };
    with_timeout(call)
        .await
        .map_err(|reason| CommandError::HostUnreachable { address, reason })
}

/// Begins a planned stop of a host. Returns `false` if it had already begun.
///
/// # Errors
///
/// Returns [`CommandError::HostUnreachable`] if the call fails or times out.
pub async fn drain_host(address: SocketAddr) -> Result<bool, CommandError> {
    let call = async {
        let client = connect(address).await?;
        let reply = client.begin_drain(make_context()).await;
        reply.map_err(|error| error.to_string())
    };
    with_timeout(call)
        .await
        .map_err(|reason| CommandError::HostUnreachable { address, reason })
}

async fn connect(address: SocketAddr) -> Result<ControlServiceClient, String> {
    let mut connecting = tarpc::serde_transport::tcp::connect(address, Json::default);
    connecting.config_mut().max_frame_length(MAX_DUMP_BYTES);
    let transport = connecting.await.map_err(|error| error.to_string())?;
    Ok(ControlServiceClient::new(Config::default(), transport).spawn())
}

fn make_context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}

async fn with_timeout<T>(call: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(String::from("timed out")),
    }
}
