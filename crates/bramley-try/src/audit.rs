//! Checks the answers to callers against the workers' ledgers.

use std::collections::HashMap;

use bramley_core::ticket::JobTicket;
use bramley_wire::worker::LedgerEntry;

use crate::outcome::{JobOutcome, JobRecord};
use crate::violation::Violation;

/// Reported state of a task that did not run.
const NOT_RUN: &str = "not_run";

/// Starts of one task, summed over all workers.
#[derive(Clone, Copy, Debug, Default)]
struct TaskStarts {
    starts: u32,
    finished: bool,
}

/// Checks job records against the workers' ledgers and returns the violations.
pub fn audit_jobs(
    records: &[JobRecord],
    ledger: impl IntoIterator<Item = LedgerEntry>,
) -> Vec<Violation> {
    let tasks = merge_ledgers(ledger);
    let mut violations = Vec::new();
    let mut by_job = HashMap::new();
    for record in records {
        let Some(job) = record.ticket.as_deref().and_then(task_name_prefix) else {
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

fn merge_ledgers(ledger: impl IntoIterator<Item = LedgerEntry>) -> HashMap<String, TaskStarts> {
    let mut tasks: HashMap<String, TaskStarts> = HashMap::new();
    for entry in ledger {
        let task = tasks.entry(entry.task).or_default();
        task.starts += entry.starts;
        task.finished |= entry.finished;
    }
    tasks
}

/// Returns the common prefix of the names under which workers know the tasks of a ticket.
fn task_name_prefix(ticket: &str) -> Option<String> {
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
    if !record.answer_matches {
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
        // `audit_task` reports the started tasks of a job that was refused as a whole.
        let is_refused = record.outcome == JobOutcome::Refused;
        if reported == Some(NOT_RUN) && starts.is_some() && !is_refused {
            violations.push(Violation::NotRunButStarted { task });
        }
    }
}

/// Checks a task that started. If no record has its ticket, the client discarded the ticket because
/// the job was reported as not run.
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
