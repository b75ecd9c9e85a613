//! Runs the commands.
//!
//! - [`apply`] puts a configuration into force.
//! - [`explain`] explains what became of a request.
//! - [`inspect`] shows, compares and lists configurations.
//! - [`questionnaire`] generates a configuration from answers.

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

/// Longest time to read from the store.
const READ_TIME_LIMIT: Duration = Duration::from_secs(5);

/// Runs a command and writes its results.
///
/// # Errors
///
/// Returns a [`CommandError`], whose exit code tells what is known.
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
                "{file}: every host of this version accepts the configuration"
            )?;
            Ok(())
        }
        OperatorAction::Diff(arguments) => inspect::run_diff(arguments, output).await,
        OperatorAction::Drain(arguments) => {
            let text = if drain_host(arguments.host).await? {
                "the planned stop has begun"
            } else {
                "the planned stop had begun before"
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

/// Writes the generation in force on each host, and returns how many are behind or unreachable.
///
/// `stored` is the generation in the store, if it is known.
fn write_hosts(
    hosts: &[HostGeneration],
    stored: Option<u64>,
    output: &mut impl Write,
) -> Result<usize, CommandError> {
    let mut behind = 0;
    for host in hosts {
        let least = stored.unwrap_or(0);
        if !host.generation.as_ref().is_ok_and(|found| *found >= least) {
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
