//! Explains the outcome of a request, or counts lost jobs by cause, from logs.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use bramley_explain::{LogLine, LossTable, Timeline, find_causes};

use crate::cli::{ExplainArguments, LossesArguments};
use crate::error::CommandError;

/// Writes the causes found in the logs, followed by the log lines that they were derived from.
///
/// # Errors
///
/// Returns a [`CommandError`] if a log can't be read or no line contains the ID.
pub fn run_explain(
    arguments: &ExplainArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let logs = arguments
        .logs
        .iter()
        .map(|file| read_log(file))
        .collect::<Result<Vec<_>, CommandError>>()?;
    let timeline = Timeline::collect(&arguments.id, &logs)
        .ok_or_else(|| CommandError::IdNotInLogs(arguments.id.clone()))?;
    let findings = find_causes(&timeline);
    writeln!(output, "job {}", timeline.job)?;
    if findings.is_empty() {
        writeln!(output, "no problems found")?;
    }
    for finding in findings {
        writeln!(output, "- {finding}")?;
    }
    write!(output, "\n{timeline}")?;
    Ok(())
}

/// Writes the number of refused, late and failed jobs by cause and route.
///
/// # Errors
///
/// Returns a [`CommandError`] if a log can't be read or none was given.
pub fn run_losses(
    arguments: &LossesArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    if arguments.logs.is_empty() {
        return Err(CommandError::NoLogs);
    }
    let mut lines = Vec::new();
    for file in &arguments.logs {
        let (host, text) = read_log(file)?;
        lines.extend(text.lines().filter_map(|line| LogLine::parse(&host, line)));
    }
    write!(output, "{}", LossTable::collect(lines))?;
    Ok(())
}

/// Reads a log. The file name without its extension is the name of the host.
fn read_log(file: &str) -> Result<(Arc<str>, String), CommandError> {
    let bytes = std::fs::read(file).map_err(|reason| CommandError::File {
        file: String::from(file),
        reason,
    })?;
    let host = Path::new(file)
        .file_stem()
        .map_or(file.into(), |stem| stem.to_string_lossy());
    Ok((
        Arc::from(&*host),
        String::from_utf8_lossy(&bytes).into_owned(),
    ))
}
