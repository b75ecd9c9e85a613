//! Runs a platform stand-in until SIGINT or SIGTERM.

use std::io;
use std::net::SocketAddr;

use argh::FromArgs;
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use tokio::signal::unix::{SignalKind, signal};

/// Runs a platform stand-in: a key-value service and a list of workers.
#[derive(Debug, FromArgs)]
struct PlatformArguments {
    /// address to listen on; port 0 takes any free port
    #[argh(option, default = "PlatformOptions::default().listen")]
    listen: SocketAddr,

    /// delay until a change is visible in the list of workers, in milliseconds
    #[argh(option, default = "PlatformOptions::default().list_lag_ms")]
    list_lag_ms: u64,

    /// seed for the random choice of lost replies
    #[argh(option, default = "PlatformOptions::default().seed")]
    seed: u64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    env_logger::init();
    let arguments: PlatformArguments = argh::from_env();
    let options = PlatformOptions {
        listen: arguments.listen,
        list_lag_ms: arguments.list_lag_ms,
        seed: arguments.seed,
        ..PlatformOptions::default()
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let platform = PlatformStandIn::start(options).await?;
    println!("listening address={}", platform.address());
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    platform.stop().await;
    Ok(())
}
