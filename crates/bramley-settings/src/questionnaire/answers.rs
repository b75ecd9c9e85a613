//! Answers to the questionnaire and their validation.

use bramley_core::configuration::check_document;
use serde::{Deserialize, Serialize};

use crate::load::ValidatedSettings;
use crate::questionnaire::generate::{GeneratedConfiguration, generate_configuration};
use crate::questionnaire::questions::{AnswerKind, QUESTIONS};
use crate::validation::ValidationErrors;

/// Answers about a deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentAnswers {
    /// Name of the deployment.
    pub deployment: String,
    /// Regions in which it runs.
    pub regions: Vec<RegionAnswers>,
    /// Workers that it uses.
    pub workers: WorkerAnswers,
    /// Teams that submit jobs to it.
    pub teams: Vec<TeamAnswers>,
}

/// Answers about one region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionAnswers {
    /// Name of the region.
    pub name: String,
    /// Failure domains in the region.
    pub failure_domains: Vec<String>,
}

/// Answers about the workers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerAnswers {
    /// Number of workers.
    pub count: u32,
    /// Maximum number of concurrent tasks per worker.
    pub slots: u32,
    /// Maximum number of connections per worker.
    pub connections: u32,
    /// Memory per worker, in GiB.
    pub memory_gib: u32,
    /// Number of accelerators per worker.
    pub accelerators: u32,
}

/// Answers about one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamAnswers {
    /// Name of the team.
    pub name: String,
    /// Weight of the team relative to other teams when capacity is short.
    pub weight: u32,
    /// Maximum share of all slots that the team may use at once, in percent.
    pub max_slots_percent: u32,
    /// Failure domains whose workers may run tasks of the team. Empty allows all of them.
    #[serde(default)]
    pub failure_domains: Vec<String>,
    /// Kinds of work, each of which becomes a task class.
    pub work: Vec<WorkAnswers>,
}

/// Answers about one kind of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkAnswers {
    /// Name of the kind of work.
    pub name: String,
    /// Typical run time of a task, in milliseconds.
    pub typical_run_ms: u32,
    /// Time after submission at which a result is no longer useful, in milliseconds.
    pub answer_within_ms: u32,
    /// Number of tasks in the largest job.
    pub largest_job_tasks: u32,
    /// Whether it is safe to run a task more than once.
    pub idempotent: bool,
    /// Memory required by a task, in MiB; 0 if unknown.
    #[serde(default)]
    pub memory_mib: u32,
    /// Number of accelerators required by a task.
    #[serde(default)]
    pub accelerators: u32,
}

impl ValidatedSettings for DeploymentAnswers {
    const REQUIRED_FIELDS: &'static [&'static str] = &["deployment", "regions", "workers", "teams"];

    fn validate(&self, errors: &mut ValidationErrors) {
        self.check_numbers(errors);
        if !errors.is_empty() {
            // Validating the generated document would report the same errors again.
            return;
        }
        let generated = generate_configuration(self);
        report_document_errors(&generated, errors);
        self.check_job_deadlines(&generated, errors);
    }
}

impl DeploymentAnswers {
    fn check_numbers(&self, errors: &mut ValidationErrors) {
        if self.teams.is_empty() {
            errors.report("teams", "the list of teams is empty", "at least one team");
        }
        let workers = &self.workers;
        check_number("workers.count", workers.count, errors);
        check_number("workers.slots", workers.slots, errors);
        check_number("workers.connections", workers.connections, errors);
        check_number("workers.memory_gib", workers.memory_gib, errors);
        check_number("workers.accelerators", workers.accelerators, errors);
        for (index, team) in self.teams.iter().enumerate() {
            let field = format!("teams[{index}]");
            check_number(&format!("{field}.weight"), team.weight, errors);
            let percent = format!("{field}.max_slots_percent");
            check_number(&percent, team.max_slots_percent, errors);
            if team.work.is_empty() {
                let expected = "at least one kind of work";
                errors.report(
                    &format!("{field}.work"),
                    "the list of work is empty",
                    expected,
                );
            }
            for (index, work) in team.work.iter().enumerate() {
                work.check_numbers(&format!("{field}.work[{index}]"), errors);
            }
        }
    }

    /// Reports jobs that can't finish in time even if the team uses its whole quota of slots.
    fn check_job_deadlines(
        &self,
        generated: &GeneratedConfiguration,
        errors: &mut ValidationErrors,
    ) {
        for (index, team) in self.teams.iter().enumerate() {
            let slots = generated.document.teams[index].max_running_tasks.max(1);
            for (position, work) in team.work.iter().enumerate() {
                let rounds = u64::from(work.largest_job_tasks.div_ceil(slots));
                let min_ms = rounds * u64::from(work.typical_run_ms);
                if min_ms > u64::from(work.answer_within_ms) {
                    let field = format!("teams[{index}].work[{position}].answer_within_ms");
                    let problem = format!(
                        "{} tasks of {} ms on {slots} slots take longer than {} ms",
                        work.largest_job_tasks, work.typical_run_ms, work.answer_within_ms
                    );
                    errors.report(
                        &field,
                        problem,
                        format!("at least {min_ms}, or smaller jobs"),
                    );
                }
            }
        }
    }
}

impl WorkAnswers {
    fn check_numbers(&self, field: &str, errors: &mut ValidationErrors) {
        let numbers = [
            ("typical_run_ms", self.typical_run_ms),
            ("answer_within_ms", self.answer_within_ms),
            ("largest_job_tasks", self.largest_job_tasks),
            ("memory_mib", self.memory_mib),
            ("accelerators", self.accelerators),
        ];
        for (name, value) in numbers {
            check_number(&format!("{field}.{name}"), value, errors);
        }
    }
}

/// Validates a number against the range given by its question.
fn check_number(field: &str, value: u32, errors: &mut ValidationErrors) {
    let path = question_path(field);
    for question in QUESTIONS {
        if let (true, AnswerKind::Number { min, max }) = (question.field == path, question.kind) {
            errors.check_range(field, u64::from(value), u64::from(min), u64::from(max));
        }
    }
}

/// Converts the path of an answer, such as `teams[0].name`, to the path of its question, such as
/// `teams[].name`.
#[must_use]
pub fn question_path(path: &str) -> String {
    path.chars()
        .filter(|character| !character.is_ascii_digit())
        .collect()
}

/// Reports errors of the generated document at the answers that caused them.
fn report_document_errors(generated: &GeneratedConfiguration, errors: &mut ValidationErrors) {
    for error in check_document(&generated.document) {
        let field = generated
            .deciding_answer(&error.field)
            .unwrap_or(&error.field);
        errors.report(field, error.problem, error.expected);
    }
}
