//! Shows, compares and lists stored configurations.

use std::io::Write;

use bramley_core::configuration::{ChangeRecord, ConfigurationEnvelope, DeploymentConfiguration};
use bramley_settings::load_file;

use crate::change::unix_millis;
use crate::cli::{DiffArguments, HistoryArguments, ShowArguments};
use crate::commands::{open_repository, read_deadline, write_hosts};
use crate::control::{HostGeneration, query_generations};
use crate::difference::compare_documents;
use crate::error::CommandError;
use crate::repository::ConfigurationRepository;

/// Runs `show`.
///
/// # Errors
///
/// Returns a [`CommandError`] if the stored configuration can't be read.
pub async fn run_show(
    arguments: ShowArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let repository = open_repository(arguments.platform, &arguments.key);
    let read = read_envelope(&repository).await;
    let hosts = query_generations(&arguments.host).await;
    let envelope = match read {
        Ok(envelope) => envelope,
        Err(error) => {
            // Hosts keep their configuration while the store is unavailable, so they are still shown.
            write_hosts(&hosts, None, output)?;
            return Err(error);
        }
    };
    if !arguments.document {
        writeln!(output, "{}", describe_change(&envelope.change))?;
        write_hosts(&hosts, Some(envelope.generation()), output)?;
        write_rollback_warning(&hosts, envelope.generation(), output)?;
    }
    write_document(&envelope.document, output)
}

fn write_rollback_warning(
    hosts: &[HostGeneration],
    generation: u64,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let is_newer = |host: &HostGeneration| {
        host.generation
            .as_ref()
            .is_ok_and(|found| *found > generation)
    };
    if hosts.iter().any(is_newer) {
        writeln!(
            output,
            "the store was reset to an older state: hosts keep the newer configuration; apply it \
             again with --host to bring the store up to date"
        )?;
    }
    Ok(())
}

/// Runs `diff`.
///
/// # Errors
///
/// Returns a [`CommandError`] if the file is invalid or the stored configuration can't be read.
pub async fn run_diff(
    arguments: DiffArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let document: DeploymentConfiguration = load_file(&arguments.file)?;
    let repository = open_repository(arguments.platform, &arguments.key);
    let stored = match read_envelope(&repository).await {
        Ok(envelope) => envelope,
        Err(CommandError::NoConfiguration) => {
            writeln!(
                output,
                "the store contains no configuration, so the whole file is new"
            )?;
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    let differences = compare_documents(&stored.document, &document);
    if differences.is_empty() {
        writeln!(
            output,
            "no differences from generation {}",
            stored.generation()
        )?;
        return Ok(());
    }
    for difference in differences {
        writeln!(output, "{difference}")?;
    }
    writeln!(
        output,
        "to apply the file, pass --base {}",
        stored.generation()
    )?;
    Ok(())
}

/// Runs `history`.
///
/// # Errors
///
/// Returns a [`CommandError`] if the store can't be read or the generation is not in its history.
pub async fn run_history(
    arguments: HistoryArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let repository = open_repository(arguments.platform, &arguments.key);
    let current = read_envelope(&repository).await?;
    let history = repository
        .read_history(read_deadline())
        .await
        .map_err(CommandError::StoreReadFailed)?;
    if let Some(generation) = arguments.generation {
        let mut envelopes = std::iter::once(&current).chain(&history);
        let found = envelopes.find(|envelope| envelope.generation() == generation);
        let envelope = found.ok_or(CommandError::GenerationNotInHistory(generation))?;
        return write_document(&envelope.document, output);
    }
    for change in std::iter::once(&current.change).chain(&current.earlier) {
        let is_available =
            *change == current.change || history.iter().any(|entry| entry.change == *change);
        let note = if is_available {
            ""
        } else {
            ", document not in the history"
        };
        writeln!(output, "{}{note}", describe_change(change))?;
    }
    Ok(())
}

async fn read_envelope(
    repository: &ConfigurationRepository,
) -> Result<ConfigurationEnvelope, CommandError> {
    let stored = repository
        .read(read_deadline())
        .await
        .map_err(CommandError::StoreReadFailed)?;
    match stored.envelope {
        Some(Ok(envelope)) => Ok(envelope),
        Some(Err(error)) => Err(CommandError::InvalidStored(error)),
        None => Err(CommandError::NoConfiguration),
    }
}

fn describe_change(change: &ChangeRecord) -> String {
    let age_seconds = unix_millis().saturating_sub(change.applied_unix_ms) / 1_000;
    format!(
        "generation {} by {}, {age_seconds} s ago, change {}",
        change.generation, change.author, change.operation_id
    )
}

fn write_document(
    document: &DeploymentConfiguration,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(document).unwrap_or_default();
    writeln!(output, "{text}")?;
    Ok(())
}
