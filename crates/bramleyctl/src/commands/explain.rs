//! Explains the outcome of a request from logs.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use bramley_explain::{Timeline, find_causes};

use crate::cli::ExplainArguments;
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
