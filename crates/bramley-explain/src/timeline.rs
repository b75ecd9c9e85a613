//! Collects the lines that belong to a request.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::line::LogLine;

/// Time before a job's first line in which changes of belief still count, in milliseconds: the longest
/// time until what an earlier pool had started has surely ended.
const CONTEXT_MS: u64 = 2_500;

/// Changes of belief about pools, claims and the store.
const HOST_EVENTS: [&str; 10] = [
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

/// Lines of a job with the changes of belief around it, in the order of time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Timeline {
    /// Name of the job.
    pub job: String,
    /// Lines.
    pub lines: Vec<LogLine>,
}

impl Timeline {
    /// Collects the lines of a job, named by its own name or by that of a request, from logs with the
    /// names of their hosts. None if no line names it.
    #[must_use]
    pub fn collect(id: &str, logs: &[(Arc<str>, String)]) -> Option<Self> {
        let job = find_job(id, logs)?;
        let own: Vec<LogLine> = parsed(logs, &job)
            .filter(|line| line.has("job", &job))
            .collect();
        let first = own.iter().map(|line| line.time_ms).min()?;
        let last = own.iter().map(|line| line.time_ms).max()?;
        let workers: BTreeSet<&str> = own.iter().filter_map(|line| line.get("worker")).collect();
        let hosts: BTreeSet<&str> = own.iter().map(|line| &*line.host).collect();
        let is_context = |line: &LogLine| {
            let is_of_worker = line.event == "worker_changed"
                && line
                    .get("worker")
                    .is_some_and(|worker| workers.contains(worker));
            let is_of_host =
                HOST_EVENTS.contains(&line.event.as_str()) && hosts.contains(&*line.host);
            (is_of_worker || is_of_host)
                && (first.saturating_sub(CONTEXT_MS)..=last).contains(&line.time_ms)
        };
        let context = parsed(logs, "event=").filter(is_context);
        let mut lines: Vec<LogLine> = own.iter().cloned().chain(context).collect();
        lines.sort_by_key(|line| line.time_ms);
        Some(Self { job, lines })
    }

    /// Returns the lines of the job itself.
    pub fn own_lines(&self) -> impl Iterator<Item = &LogLine> {
        self.lines.iter().filter(|line| line.has("job", &self.job))
    }

    /// Returns the lines of the job itself that tell of an event.
    pub fn events<'a>(&'a self, event: &'a str) -> impl Iterator<Item = &'a LogLine> {
        self.own_lines().filter(move |line| line.event == event)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.own_lines().next().map_or(0, |line| line.time_ms);
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

/// Reads the lines of all logs that contain a word.
fn parsed<'a>(logs: &'a [(Arc<str>, String)], word: &'a str) -> impl Iterator<Item = LogLine> + 'a {
    logs.iter().flat_map(move |(host, text)| {
        text.lines()
            .filter(move |line| line.contains(word))
            .filter_map(move |line| LogLine::parse(host, line))
    })
}

/// Returns the job that a request or the id itself names.
fn find_job(id: &str, logs: &[(Arc<str>, String)]) -> Option<String> {
    let mut lines = parsed(logs, id);
    let line = lines.find(|line| line.has("job", id) || line.has("request", id))?;
    line.get("job").map(String::from)
}
