//! Implementation of the commands.
//!
//! - [`apply`] writes a configuration to the store and waits for the hosts.
//! - [`explain`] explains the outcome of a request, or counts lost jobs, from logs.
//! - [`inspect`] shows, compares and lists configurations.
//! - [`questionnaire`] generates a configuration from questionnaire answers.

pub mod apply;
pub mod explain;
pub mod inspect;
pub mod questionnaire;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bramley_core::configuration::DeploymentConfiguration;
use bramley_settings::load_file;
use bramley_store::{StoreClient, StoreSettings};
use tokio::time::Instant;

use crate::cli::{OperatorAction, OperatorCommand};
use crate::control::{HostGeneration, drain_host, dump_host};
use crate::error::CommandError;
use crate::repository::ConfigurationRepository;

/// Maximum time for reads from the store, including retries.
const READ_TIME_LIMIT: Duration = Duration::from_secs(5);

/// Runs a command and writes its results to `output`.
///
/// # Errors
///
/// Returns a [`CommandError`] that determines the exit code.
pub async fn run_command(
    command: OperatorCommand,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    match command.action {
        OperatorAction::Apply(arguments) => apply::run_apply(arguments, output).await,
        OperatorAction::Check(arguments) => {
            let file = arguments.file;
            load_file::<DeploymentConfiguration>(&file)?;
            writeln!(
                output,
                "{file}: the configuration is valid for hosts of this version"
            )?;
            Ok(())
        }
        OperatorAction::Diff(arguments) => inspect::run_diff(arguments, output).await,
        OperatorAction::Losses(arguments) => explain::run_losses(&arguments, output),
        OperatorAction::Drain(arguments) => {
            let text = if drain_host(arguments.host).await? {
                "the planned stop has begun"
            } else {
                "the planned stop had already begun"
            };
            writeln!(output, "{text}")?;
            Ok(())
        }
        OperatorAction::Dump(arguments) => {
            let dump = dump_host(arguments.host).await?;
            writeln!(output, "{dump}")?;
            Ok(())
        }
        OperatorAction::Explain(arguments) => explain::run_explain(&arguments, output),
        OperatorAction::History(arguments) => inspect::run_history(arguments, output).await,
        OperatorAction::Questionnaire(arguments) => {
            questionnaire::run_questionnaire(arguments, output)
        }
        OperatorAction::Show(arguments) => inspect::run_show(arguments, output).await,
    }
}

fn open_repository(platform: SocketAddr, key: &str) -> ConfigurationRepository {
    let store = StoreClient::new(StoreSettings {
        address: platform,
        ..StoreSettings::default()
    });
    ConfigurationRepository::new(store, key)
}

fn read_deadline() -> Instant {
    Instant::now() + READ_TIME_LIMIT
}

/// Writes the generation in force on each host, and returns how many hosts are behind `stored` or
/// unreachable.
///
/// `stored` is the generation in the store, if known.
fn write_hosts(
    hosts: &[HostGeneration],
    stored: Option<u64>,
    output: &mut impl Write,
) -> Result<usize, CommandError> {
    let mut behind = 0;
    for host in hosts {
        let expected = stored.unwrap_or(0);
        if !host
            .generation
            .as_ref()
            .is_ok_and(|found| *found >= expected)
        {
            behind += 1;
        }
        writeln!(
            output,
            "host {}: {}",
            host.address,
            describe_host(host, stored)
        )?;
    }
    Ok(behind)
}

fn describe_host(host: &HostGeneration, stored: Option<u64>) -> String {
    let found = match &host.generation {
        Ok(0) => return String::from("no configuration in force"),
        Ok(found) => *found,
        Err(reason) => return format!("unreachable: {reason}"),
    };
    let comparison = match stored {
        Some(stored) if found < stored => ", behind the store",
        Some(stored) if found > stored => ", newer than the store",
        Some(_) | None => "",
    };
    format!("generation {found} in force{comparison}")
}
