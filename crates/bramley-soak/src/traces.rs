//! Collects the lines of all hosts' logs on the jobs that a violation names.

use std::collections::BTreeSet;
use std::path::Path;

/// Digits of a job's name.
const NAME_DIGITS: usize = 16;

/// Largest number of lines on one violation.
const MAX_LINES: usize = 80;

/// Start of the lines of a host's log, before the time in Unix milliseconds.
const TIME_FIELD: &str = "time_ms=";

/// Returns the lines of the hosts' logs in `folder` on the jobs that `violation` names, in the order
/// of their times, each with the name of its host.
///
/// # Errors
///
/// Returns the I/O error if a log cannot be read.
pub fn find_lines(folder: &Path, violation: &str) -> std::io::Result<Vec<String>> {
    let jobs = job_names(violation);
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let host = path.file_stem().unwrap_or_default().to_string_lossy();
        let bytes = std::fs::read(&path)?;
        for line in String::from_utf8_lossy(&bytes).lines() {
            if jobs.iter().any(|job| line.contains(job)) {
                lines.push((line_time(line), format!("{host} {line}")));
            }
        }
    }
    lines.sort();
    Ok(lines
        .into_iter()
        .map(|(_, line)| line)
        .take(MAX_LINES)
        .collect())
}

/// Returns the names of the jobs in a text.
fn job_names(text: &str) -> BTreeSet<&str> {
    text.split(|letter: char| !letter.is_ascii_hexdigit())
        .filter(|word| word.len() == NAME_DIGITS)
        .collect()
}

/// Returns the time of a line, or zero for a line without one.
fn line_time(line: &str) -> u64 {
    let digits = line
        .strip_prefix(TIME_FIELD)
        .and_then(|rest| rest.split(' ').next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
