//! Command-line program of the entry daemon.

use std::process::ExitCode;

use argh::FromArgs;
use bramley_entry::EntryDaemon;
use bramley_settings::{
    EntrySettings, INVALID_SETTINGS_EXIT_CODE, SettingsMode, StartOutcome, load_for_start,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Dispatches sub-second tasks for callers to workers.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: String,

    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mode = if arguments.check {
        SettingsMode::Check
    } else {
        SettingsMode::Run
    };
    let settings = match load_for_start::<EntrySettings>(&arguments.settings, mode) {
        Ok(StartOutcome::Valid(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(StartOutcome::Run(settings)) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(u8::try_from(INVALID_SETTINGS_EXIT_CODE).unwrap_or(u8::MAX));
        }
    };
    env_logger::Builder::new()
        .parse_filters(&settings.log)
        .format_timestamp_millis()
        .init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads as usize)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            log::error!("event=runtime_failed error=\"{error}\"");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: EntrySettings) -> ExitCode {
    let signals = signal(SignalKind::terminate())
        .and_then(|terminate| Ok((terminate, signal(SignalKind::interrupt())?)));
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("event=signals_failed error=\"{error}\"");
            return ExitCode::FAILURE;
        }
    };
    let daemon = match EntryDaemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("event=start_failed error=\"{error}\"");
            return ExitCode::FAILURE;
        }
    };
    // With port 0, tests and supervisors read the assigned ports from this line.
    println!(
        "listening callers={} peers={} control={}",
        daemon.caller_address(),
        daemon.peer_address(),
        daemon.control_address()
    );
    tokio::select! {
        () = next_signal(&mut terminate, &mut interrupt) => {}
        () = daemon.drain_requested() => {}
    }
    // A shutdown that was cut short still answered every job, so it also exits with success.
    let outcome = daemon
        .stop(next_signal(&mut terminate, &mut interrupt))
        .await;
    println!("stopped outcome={outcome:?}");
    ExitCode::SUCCESS
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
