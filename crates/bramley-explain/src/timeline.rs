//! Collects the log lines that belong to a request.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::line::LogLine;

/// Length of the period before a job's first line from which state changes are included, in
/// milliseconds. After this time every run that a lost pool started is certain to have ended.
const CONTEXT_WINDOW_MS: u64 = 2_500;

/// Events that report state changes of the host, its pool connections, claims and the store.
const HOST_STATE_EVENTS: [&str; 10] = [
    "command_changed",
    "command_given_up",
    "claim_won",
    "pool_lost",
    "pool_connected",
    "process_resumed",
    "started",
    "stop_begun",
    "store_lost",
    "store_regained",
];

/// Log lines of a job and the related state changes, ordered by time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Timeline {
    /// Job ID.
    pub job: String,
    /// Log lines of the job and of related state changes.
    pub lines: Vec<LogLine>,
}

impl Timeline {
    /// Collects the lines of the job with the given job or request ID.
    ///
    /// `logs` holds pairs of a host name and the text of its log. Returns `None` if no line contains
    /// the ID.
    #[must_use]
    pub fn collect(id: &str, logs: &[(Arc<str>, String)]) -> Option<Self> {
        let job = find_job(id, logs)?;
        let job_lines: Vec<LogLine> = parse_matching(logs, &job)
            .filter(|line| line.field_is("job", &job))
            .collect();
        let first = job_lines.iter().map(|line| line.time_ms).min()?;
        let last = job_lines.iter().map(|line| line.time_ms).max()?;
        let workers: BTreeSet<&str> = job_lines
            .iter()
            .filter_map(|line| line.get("worker"))
            .collect();
        let hosts: BTreeSet<&str> = job_lines.iter().map(|line| &*line.host).collect();
        let is_context = |line: &LogLine| {
            let is_worker_event = line.event == "worker_changed"
                && line
                    .get("worker")
                    .is_some_and(|worker| workers.contains(worker));
            let is_host_event =
                HOST_STATE_EVENTS.contains(&line.event.as_str()) && hosts.contains(&*line.host);
            (is_worker_event || is_host_event)
                && (first.saturating_sub(CONTEXT_WINDOW_MS)..=last).contains(&line.time_ms)
        };
        let context = parse_matching(logs, "event=").filter(is_context);
        let mut lines: Vec<LogLine> = job_lines.iter().cloned().chain(context).collect();
        lines.sort_by_key(|line| line.time_ms);
        Some(Self { job, lines })
    }

    /// Returns the lines of the job itself, without related state changes.
    pub fn job_lines(&self) -> impl Iterator<Item = &LogLine> {
        self.lines
            .iter()
            .filter(|line| line.field_is("job", &self.job))
    }

    /// Returns the lines of the job itself that report the given event.
    pub fn job_events<'a>(&'a self, event: &'a str) -> impl Iterator<Item = &'a LogLine> {
        self.job_lines().filter(move |line| line.event == event)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.job_lines().next().map_or(0, |line| line.time_ms);
        for line in &self.lines {
            let sign = if line.time_ms < first { '-' } else { '+' };
            write!(
                f,
                "{sign}{:>6} ms {} {}",
                line.time_ms.abs_diff(first),
                line.host,
                line.event
            )?;
            for (key, value) in line.fields.iter().filter(|(key, _)| key != "job") {
                write!(f, " {key}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Parses the lines of all logs that contain `pattern`.
fn parse_matching<'a>(
    logs: &'a [(Arc<str>, String)],
    pattern: &'a str,
) -> impl Iterator<Item = LogLine> + 'a {
    logs.iter().flat_map(move |(host, text)| {
        text.lines()
            .filter(move |line| line.contains(pattern))
            .filter_map(move |line| LogLine::parse(host, line))
    })
}

/// Returns the ID of the job whose job or request ID is `id`.
fn find_job(id: &str, logs: &[(Arc<str>, String)]) -> Option<String> {
    let mut lines = parse_matching(logs, id);
    let line = lines.find(|line| line.field_is("job", id) || line.field_is("request", id))?;
    line.get("job").map(String::from)
}
