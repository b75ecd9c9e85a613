//! Writes a configuration to the store and waits until hosts have it in force.

use std::io::Write;
use std::time::Duration;

use bramley_core::configuration::DeploymentConfiguration;
use bramley_settings::load_file;
use tokio::time::Instant;

use crate::change::{AppliedChange, ApplyFailure, ChangeRequest, apply_change};
use crate::cli::ApplyArguments;
use crate::commands::{open_repository, read_deadline, write_hosts};
use crate::control::{query_generations, wait_for_generation};
use crate::difference::compare_documents;
use crate::error::CommandError;
use crate::repository::ConfigurationRepository;

/// Runs `apply`.
///
/// # Errors
///
/// Returns a [`CommandError`] that determines the exit code.
pub async fn run_apply(
    arguments: ApplyArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let document: DeploymentConfiguration = load_file(&arguments.file)?;
    let hosts = query_generations(&arguments.host).await;
    let host_generations = hosts
        .iter()
        .filter_map(|host| host.generation.as_ref().ok());
    let request = ChangeRequest {
        author: arguments.author.clone(),
        base: arguments.base,
        document: document.clone(),
        host_generation: host_generations.copied().max().unwrap_or(0),
        time_limit: Duration::from_millis(arguments.store_ms),
    };
    let repository = open_repository(arguments.platform, &arguments.key);
    let applied = match apply_change(&repository, request).await {
        Ok(applied) => applied,
        Err(failure) => {
            write_conflict(&repository, &arguments, &document, &failure, output).await?;
            return Err(failure.error);
        }
    };
    write_applied(&applied, output)?;
    if arguments.wait {
        return wait_for_hosts(&arguments, applied.change.generation, output).await;
    }
    Ok(())
}

fn write_applied(applied: &AppliedChange, output: &mut impl Write) -> Result<(), CommandError> {
    let change = &applied.change;
    writeln!(
        output,
        "generation {} is in the store (change {}, {} writes sent)",
        change.generation, change.operation_id, applied.attempts
    )?;
    if let Some(later) = &applied.replaced_by {
        writeln!(
            output,
            "it was already replaced by generation {} by {}",
            later.generation, later.author
        )?;
    }
    if let Some(reason) = &applied.history_error {
        writeln!(
            output,
            "the replaced configuration was not added to the history: {reason}"
        )?;
    }
    Ok(())
}

async fn wait_for_hosts(
    arguments: &ApplyArguments,
    generation: u64,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    if arguments.host.is_empty() {
        writeln!(
            output,
            "no hosts were given, so it is unknown where the change is in force"
        )?;
    }
    let deadline = Instant::now() + Duration::from_millis(arguments.wait_ms);
    let hosts = wait_for_generation(&arguments.host, generation, deadline).await;
    match write_hosts(&hosts, Some(generation), output)? {
        0 => Ok(()),
        count => Err(CommandError::NotInForceOnHosts { count }),
    }
}

/// Writes how the stored configuration differs from the base of the change, or from the file.
async fn write_conflict(
    repository: &ConfigurationRepository,
    arguments: &ApplyArguments,
    document: &DeploymentConfiguration,
    failure: &ApplyFailure,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let Some(stored) = &failure.stored else {
        return Ok(());
    };
    let base = arguments.base.unwrap_or(0);
    for change in std::iter::once(&stored.change).chain(&stored.earlier) {
        if arguments.base.is_some() && change.generation > base {
            writeln!(
                output,
                "changed since generation {base}: generation {} by {}",
                change.generation, change.author
            )?;
        }
    }
    let history = repository.read_history(read_deadline()).await;
    let history = history.unwrap_or_default();
    let from = history.iter().find(|entry| entry.generation() == base);
    let differences = match from {
        Some(from) => {
            writeln!(
                output,
                "from generation {base} to the stored configuration:"
            )?;
            compare_documents(&from.document, &stored.document)
        }
        None => {
            writeln!(output, "from the stored configuration to the file:")?;
            compare_documents(&stored.document, document)
        }
    };
    for difference in differences {
        writeln!(output, "  {difference}")?;
    }
    Ok(())
}
