//! Compares the answers to callers with the workers' own ledgers.

use std::collections::HashMap;

use bramley_core::ticket::JobTicket;
use bramley_wire::worker::LedgerEntry;

use crate::outcome::{JobOutcome, JobRecord};
use crate::violation::Violation;

/// State of a task that was reported as not run.
const NOT_RUN: &str = "not_run";

/// Starts of one task on all workers.
#[derive(Clone, Copy, Debug, Default)]
struct TaskStarts {
    starts: u32,
    finished: bool,
}

/// Compares the records of jobs with the workers' ledgers.
pub fn audit_jobs(
    records: &[JobRecord],
    ledger: impl IntoIterator<Item = LedgerEntry>,
) -> Vec<Violation> {
    let tasks = join_ledgers(ledger);
    let mut violations = Vec::new();
    let mut by_job = HashMap::new();
    for record in records {
        let Some(job) = record.ticket.as_deref().and_then(job_name) else {
            continue;
        };
        audit_answer(record, &job, &tasks, &mut violations);
        by_job.insert(job, record);
    }
    for (task, starts) in &tasks {
        let job = task.rsplit_once('.').map_or("", |(job, _)| job);
        audit_task(task, *starts, by_job.get(job).copied(), &mut violations);
    }
    violations
}

fn join_ledgers(ledger: impl IntoIterator<Item = LedgerEntry>) -> HashMap<String, TaskStarts> {
    let mut tasks: HashMap<String, TaskStarts> = HashMap::new();
    for entry in ledger {
        let task = tasks.entry(entry.task).or_default();
        task.starts += entry.starts;
        task.finished |= entry.finished;
    }
    tasks
}

/// Returns the part that the names of all tasks under a ticket share on workers.
fn job_name(ticket: &str) -> Option<String> {
    let ticket = JobTicket::parse(ticket).ok()?;
    Some(format!("{}.{:x}", ticket.incarnation, ticket.serial.0))
}

fn audit_answer(
    record: &JobRecord,
    job: &str,
    tasks: &HashMap<String, TaskStarts>,
    violations: &mut Vec<Violation>,
) {
    let ticket = record.ticket.as_deref().unwrap_or_default().to_owned();
    if !record.answer_fits {
        violations.push(Violation::WrongAnswer {
            ticket: ticket.clone(),
        });
    }
    for index in 0..record.tasks {
        let task = format!("{job}.{index}");
        let starts = tasks.get(&task);
        let is_finished = starts.is_some_and(|starts| starts.finished);
        if record.outcome == JobOutcome::Complete && !is_finished {
            let ticket = ticket.clone();
            violations.push(Violation::AnsweredWithoutRun { ticket, index });
        }
        let reported = record.task_states.get(index).map(String::as_str);
        // A refused job as a whole is looked at with the ledger's tasks.
        let is_refused = record.outcome == JobOutcome::Refused;
        if reported == Some(NOT_RUN) && starts.is_some() && !is_refused {
            violations.push(Violation::NotRunButStarted { task });
        }
    }
}

/// Looks at a task that started. One without a record belongs to a ticket that the client gave
/// up because no task had run under it.
fn audit_task(
    task: &str,
    starts: TaskStarts,
    record: Option<&JobRecord>,
    violations: &mut Vec<Violation>,
) {
    let is_refused = record.is_none_or(|record| record.outcome == JobOutcome::Refused);
    if is_refused {
        let task = task.to_owned();
        violations.push(Violation::NotRunButStarted { task });
    }
    let may_repeat = record.is_some_and(|record| record.idempotent);
    if starts.starts > 1 && !may_repeat {
        violations.push(Violation::StartedTwice {
            task: task.to_owned(),
            starts: starts.starts,
        });
    }
}
