//! Runs a worker stand-in until SIGINT or SIGTERM.

use std::io;
use std::net::SocketAddr;

use argh::FromArgs;
use bramley_stand_ins::{WorkerOptions, WorkerStandIn};
use tokio::signal::unix::{SignalKind, signal};

/// Runs a worker stand-in, which simulates tasks by sleeping and records every start.
#[derive(Debug, FromArgs)]
struct WorkerArguments {
    /// address to listen on; port 0 takes any free port
    #[argh(option, default = "WorkerOptions::default().listen")]
    listen: SocketAddr,

    /// maximum number of concurrently running tasks
    #[argh(option, default = "WorkerOptions::default().slots")]
    slots: u32,

    /// number of accelerators
    #[argh(option, default = "WorkerOptions::default().accelerators")]
    accelerators: u32,

    /// refuse new tasks while leaving
    #[argh(switch)]
    refuse_new_when_leaving: bool,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    env_logger::init();
    let arguments: WorkerArguments = argh::from_env();
    let options = WorkerOptions {
        listen: arguments.listen,
        slots: arguments.slots,
        accelerators: arguments.accelerators,
        refuse_new_when_leaving: arguments.refuse_new_when_leaving,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let worker = WorkerStandIn::start(options).await?;
    println!("listening address={}", worker.address());
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    worker.stop().await;
    Ok(())
}
