//! Answers to the questionnaire.

use bramley_core::configuration::check_document;
use serde::{Deserialize, Serialize};

use crate::fault::FaultList;
use crate::load::CheckedSettings;
use crate::questionnaire::generate::{GeneratedConfiguration, generate_configuration};
use crate::questionnaire::questions::{AnswerKind, QUESTIONS};

/// Answers about a whole deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentAnswers {
    /// Name of the deployment.
    pub deployment: String,
    /// Places in which it runs.
    pub regions: Vec<RegionAnswers>,
    /// Workers that it borrows.
    pub workers: WorkerAnswers,
    /// Teams that use it.
    pub teams: Vec<TeamAnswers>,
}

/// Answers about one region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionAnswers {
    /// Name of the region.
    pub name: String,
    /// Failure domains in it.
    pub failure_domains: Vec<String>,
}

/// Answers about the workers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerAnswers {
    /// Number of workers.
    pub count: u32,
    /// Tasks that one worker runs at once.
    pub slots: u32,
    /// Connections that one worker accepts.
    pub connections: u32,
    /// Memory of one worker, in gibibytes.
    pub memory_gib: u32,
    /// Accelerators of one worker.
    pub accelerators: u32,
}

/// Answers about one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamAnswers {
    /// Name of the team.
    pub name: String,
    /// Weight against other teams when all are busy.
    pub weight: u32,
    /// Largest part of all slots that the team may use at once, in percent.
    pub max_slots_percent: u32,
    /// Failure domains whose workers may run its tasks; empty if all may.
    #[serde(default)]
    pub failure_domains: Vec<String>,
    /// Kinds of work.
    pub work: Vec<WorkAnswers>,
}

/// Answers about one kind of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkAnswers {
    /// Name of the kind.
    pub name: String,
    /// Usual run time of one task, in milliseconds.
    pub typical_run_ms: u32,
    /// Time from submission to the latest useful answer, in milliseconds.
    pub answer_within_ms: u32,
    /// Tasks in the largest job.
    pub largest_job_tasks: u32,
    /// Whether a task may be run more than once without harm.
    pub idempotent: bool,
    /// Memory that a task needs, in mebibytes; 0 if unknown.
    #[serde(default)]
    pub memory_mib: u32,
    /// Accelerators that a task needs.
    #[serde(default)]
    pub accelerators: u32,
}

impl CheckedSettings for DeploymentAnswers {
    const REQUIRED_FIELDS: &'static [&'static str] = &["deployment", "regions", "workers", "teams"];

    fn check(&self, faults: &mut FaultList) {
        self.check_numbers(faults);
        if !faults.is_empty() {
            // The generated values would only repeat the same faults.
            return;
        }
        let generated = generate_configuration(self);
        report_document_faults(&generated, faults);
        self.check_job_times(&generated, faults);
    }
}

impl DeploymentAnswers {
    fn check_numbers(&self, faults: &mut FaultList) {
        if self.teams.is_empty() {
            faults.report("teams", "there is no team", "at least one team");
        }
        let workers = &self.workers;
        check_number("workers.count", workers.count, faults);
        check_number("workers.slots", workers.slots, faults);
        check_number("workers.connections", workers.connections, faults);
        check_number("workers.memory_gib", workers.memory_gib, faults);
        check_number("workers.accelerators", workers.accelerators, faults);
        for (index, team) in self.teams.iter().enumerate() {
            let field = format!("teams[{index}]");
            check_number(&format!("{field}.weight"), team.weight, faults);
            let percent = format!("{field}.max_slots_percent");
            check_number(&percent, team.max_slots_percent, faults);
            if team.work.is_empty() {
                let expected = "at least one kind of work";
                faults.report(&format!("{field}.work"), "there is no work", expected);
            }
            for (index, work) in team.work.iter().enumerate() {
                work.check_numbers(&format!("{field}.work[{index}]"), faults);
            }
        }
    }

    /// Reports jobs that can't be answered in time even if the team has all of its slots.
    fn check_job_times(&self, generated: &GeneratedConfiguration, faults: &mut FaultList) {
        for (index, team) in self.teams.iter().enumerate() {
            let slots = generated.document.teams[index].max_running_tasks.max(1);
            for (position, work) in team.work.iter().enumerate() {
                let rounds = u64::from(work.largest_job_tasks.div_ceil(slots));
                let least_ms = rounds * u64::from(work.typical_run_ms);
                if least_ms > u64::from(work.answer_within_ms) {
                    let field = format!("teams[{index}].work[{position}].answer_within_ms");
                    let problem = format!(
                        "{} tasks of {} ms on {slots} slots take longer than {} ms",
                        work.largest_job_tasks, work.typical_run_ms, work.answer_within_ms
                    );
                    faults.report(
                        &field,
                        problem,
                        format!("at least {least_ms}, or smaller jobs"),
                    );
                }
            }
        }
    }
}

impl WorkAnswers {
    fn check_numbers(&self, field: &str, faults: &mut FaultList) {
        let numbers = [
            ("typical_run_ms", self.typical_run_ms),
            ("answer_within_ms", self.answer_within_ms),
            ("largest_job_tasks", self.largest_job_tasks),
            ("memory_mib", self.memory_mib),
            ("accelerators", self.accelerators),
        ];
        for (name, value) in numbers {
            check_number(&format!("{field}.{name}"), value, faults);
        }
    }
}

/// Checks a number against the range that its question states.
fn check_number(field: &str, value: u32, faults: &mut FaultList) {
    let general = generalise_path(field);
    for question in QUESTIONS {
        if let (true, AnswerKind::Number { least, most }) =
            (question.field == general, question.kind)
        {
            faults.check_range(field, u64::from(value), u64::from(least), u64::from(most));
        }
    }
}

/// Returns the path of a question, such as `teams[].name`, for the path of an answer.
#[must_use]
pub fn generalise_path(path: &str) -> String {
    path.chars()
        .filter(|letter| !letter.is_ascii_digit())
        .collect()
}

/// Reports the faults of the generated document at the answers that led to them.
fn report_document_faults(generated: &GeneratedConfiguration, faults: &mut FaultList) {
    for fault in check_document(&generated.document) {
        let field = generated.answer_of(&fault.field).unwrap_or(&fault.field);
        faults.report(field, fault.problem, fault.expected);
    }
}
