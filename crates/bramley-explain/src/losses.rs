//! Jobs that were refused, late or failed, by cause, from the logs of all hosts.
//!
//! A job counts once, with the first cause in the order of [`LossCause`] that its lines show. Routine
//! lines are sampled under load, so that late jobs may be missing; lines on refusals are limited by
//! reason, and what is omitted is counted apart.

use std::collections::BTreeMap;
use std::fmt;

use crate::line::LogLine;

/// Why a job was not served, or late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LossCause {
    /// No pool was connected, or no configuration was known.
    NoPool,
    /// A relay refused it by the state that pools had published, or because its host was short of
    /// processor time.
    RefusedByRelay,
    /// No pool that refused it had free CPU for one task.
    NoRoom,
    /// A pool that refused it had free CPU for a task in total, but on its workers in pieces or for
    /// jobs that came before.
    RoomInPieces,
    /// A pool gave it up after it had waited.
    GivenUp,
    /// Refused for another reason.
    OtherRefusal,
    /// Failed, or cancelled as its caller left.
    Failed,
    /// Late after a run of it was lost, failed or stopped.
    LateAfterFault,
    /// Late after more than half of its objective had passed before its last start.
    LateStart,
    /// Late because its runs took longer than expected.
    LongRun,
}

impl LossCause {
    /// Returns the text for tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPool => "refused: no pool",
            Self::RefusedByRelay => "refused by the relay",
            Self::GivenUp => "refused after waiting",
            Self::NoRoom => "refused: no room",
            Self::RoomInPieces => "refused: room in pieces or taken",
            Self::OtherRefusal => "refused: other",
            Self::Failed => "failed or left",
            Self::LateAfterFault => "late after a fault",
            Self::LateStart => "late start",
            Self::LongRun => "long run",
        }
    }
}

/// What the lines on one job show.
#[derive(Clone, Debug, Default)]
struct JobTrace {
    route: String,
    refusal: Option<LossCause>,
    is_admitted: bool,
    has_fault: bool,
    has_failed: bool,
    /// Age at the last start in milliseconds.
    last_start_ms: u64,
    /// Age at the end and objective in milliseconds.
    end: Option<(u64, u64)>,
}

impl JobTrace {
    fn cause(&self) -> Option<LossCause> {
        if self.has_failed {
            return Some(LossCause::Failed);
        }
        if self.end.is_none() && (!self.is_admitted || self.refusal == Some(LossCause::GivenUp)) {
            return self.refusal;
        }
        let (age, objective) = self.end?;
        if age <= objective {
            return None;
        }
        Some(if self.has_fault {
            LossCause::LateAfterFault
        } else if self.last_start_ms * 2 > objective {
            LossCause::LateStart
        } else {
            LossCause::LongRun
        })
    }
}

/// Lost jobs by cause and route.
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    counts: BTreeMap<(LossCause, String), u64>,
    /// Jobs with at least one line.
    jobs: usize,
    /// Refusals whose lines were omitted.
    omitted: u64,
}

impl LossTable {
    /// Collects the losses from log lines in any order of hosts.
    #[must_use]
    pub fn collect(lines: impl IntoIterator<Item = LogLine>) -> Self {
        let mut jobs: BTreeMap<String, JobTrace> = BTreeMap::new();
        let mut table = Self::default();
        for line in lines {
            if matches!(line.event.as_str(), "refusals_omitted" | "jobs_refused") {
                table.omitted += line.get_u64("count").unwrap_or(0);
            }
            if let Some(name) = job_of(&line) {
                read_line(jobs.entry(name).or_default(), &line);
            }
        }
        table.jobs = jobs.len();
        for trace in jobs.into_values() {
            if let Some(cause) = trace.cause() {
                *table.counts.entry((cause, trace.route)).or_default() += 1;
            }
        }
        table
    }

    /// Returns the number of jobs lost for a cause.
    #[must_use]
    pub fn count(&self, cause: LossCause) -> u64 {
        let rows = self.counts.iter();
        rows.filter(|((known, _), _)| *known == cause)
            .map(|(_, count)| count)
            .sum()
    }
}

impl fmt::Display for LossTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<36} {:<24} {:>8}", "cause", "route", "jobs")?;
        for ((cause, route), count) in &self.counts {
            writeln!(f, "{:<36} {route:<24} {count:>8}", cause.as_str())?;
        }
        writeln!(
            f,
            "{} jobs in the logs, {} refusals without a line of their own",
            self.jobs, self.omitted
        )
    }
}

/// Returns the job of a line; lines on tasks begin the task's name with it.
fn job_of(line: &LogLine) -> Option<String> {
    if let Some(job) = line.get("job") {
        return Some(String::from(job));
    }
    let task = line.get("task")?;
    let job = task.split('.').next().unwrap_or(task);
    Some(String::from(job))
}

fn read_line(trace: &mut JobTrace, line: &LogLine) {
    if let Some(route) = line.get("route") {
        trace.route = String::from(route);
    }
    let age = line.get_u64("age_ms").unwrap_or(0);
    match line.event.as_str() {
        "job_refused" => {
            let cause = refusal_cause(line);
            // Free room at one of the pools explains more than none at another.
            trace.refusal = trace.refusal.max(Some(cause));
        }
        "job_admitted" => trace.is_admitted = true,
        "task_placed" => trace.last_start_ms = trace.last_start_ms.max(age),
        "run_lost" | "run_stopping" => trace.has_fault = true,
        "run_ended" => trace.has_fault |= !line.field_is("end", "done"),
        "job_cancelled" => trace.has_failed = true,
        "job_ended" => {
            trace.has_failed |= line.field_is("outcome", "failed");
            let objective = line.get_u64("objective_ms").unwrap_or(u64::MAX);
            trace.end = Some((age, objective)).max(trace.end);
        }
        _ => {}
    }
}

fn refusal_cause(line: &LogLine) -> LossCause {
    if line.get("by").is_some() {
        return LossCause::RefusedByRelay;
    }
    match line.get("reason") {
        Some("expired") => LossCause::GivenUp,
        Some("no_pool" | "no_configuration") => LossCause::NoPool,
        Some("overloaded") => {
            let free = line.get_u64("free_cpu_milli").unwrap_or(0);
            let needed = line.get_u64("cpu_milli").unwrap_or(u64::MAX);
            if free < needed {
                LossCause::NoRoom
            } else {
                LossCause::RoomInPieces
            }
        }
        _ => LossCause::OtherRefusal,
    }
}
