//! Generation of the configuration, with the origin of each value.

use std::fmt;

use bramley_core::configuration::{
    ClassConfiguration, DeploymentConfiguration, DeploymentSizes, RegionConfiguration,
    TeamConfiguration,
};
use bramley_core::names::{ClassName, DomainName, TeamName};

use crate::questionnaire::answers::{DeploymentAnswers, RegionAnswers, TeamAnswers, WorkAnswers};

/// Number of MiB in a GiB.
const MIB_PER_GIB: u32 = 1_024;

/// Origin of a generated value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceEntry {
    /// Path of the value in the configuration.
    pub value: String,
    /// Paths of the answers that the value was derived from, the deciding answer first.
    pub answers: Vec<String>,
    /// How the value was derived. Empty if the answer was copied.
    pub rule: &'static str,
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} <- {}", self.value, self.answers.join(", "))?;
        if self.rule.is_empty() {
            return Ok(());
        }
        write!(f, " ({})", self.rule)
    }
}

/// A generated configuration with the origin of each value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GeneratedConfiguration {
    /// The generated configuration.
    pub document: DeploymentConfiguration,
    /// Origins of all values, one entry per value of the configuration.
    pub trace: Vec<TraceEntry>,
}

impl GeneratedConfiguration {
    /// Returns the path of the answer that determined the value at `field`. If `field` is an object
    /// or a list, the first value in it is used.
    #[must_use]
    pub fn deciding_answer(&self, field: &str) -> Option<&str> {
        let exact_match = self.trace.iter().find(|entry| entry.value == field);
        let first_descendant = || {
            self.trace
                .iter()
                .find(|entry| entry.value.starts_with(field))
        };
        let entry = exact_match.or_else(first_descendant)?;
        entry.answers.first().map(String::as_str)
    }

    /// Records a value that was copied from an answer.
    fn record_copy(&mut self, value: String, answer: String) {
        self.record_derived(value, vec![answer], "");
    }

    /// Records a value that was derived from answers by a rule.
    fn record_derived(&mut self, value: String, answers: Vec<String>, rule: &'static str) {
        self.trace.push(TraceEntry {
            value,
            answers,
            rule,
        });
    }

    /// Copies a list of failure domains and records the origin of each.
    fn copy_failure_domains(
        &mut self,
        names: &[String],
        value: &str,
        answer: &str,
    ) -> Vec<DomainName> {
        if names.is_empty() {
            self.record_copy(String::from(value), String::from(answer));
        }
        let mut domains = Vec::new();
        for (index, name) in names.iter().enumerate() {
            self.record_copy(format!("{value}[{index}]"), format!("{answer}[{index}]"));
            domains.push(DomainName::from(name.as_str()));
        }
        domains
    }

    fn add_region(&mut self, index: usize, answers: &RegionAnswers) {
        let path = format!("regions[{index}]");
        self.record_copy(format!("{path}.name"), format!("{path}.name"));
        let list = format!("{path}.failure_domains");
        let domains = self.copy_failure_domains(&answers.failure_domains, &list, &list);
        for (position, domain) in domains.iter().enumerate() {
            let value = format!("failure_domains[{}]", self.document.failure_domains.len());
            self.record_copy(value, format!("{list}[{position}]"));
            self.document.failure_domains.push(domain.clone());
        }
        self.document.regions.push(RegionConfiguration {
            name: answers.name.clone(),
            failure_domains: domains,
        });
    }

    fn set_sizes(&mut self, answers: &DeploymentAnswers) {
        let workers = &answers.workers;
        self.document.sizes = DeploymentSizes {
            workers: workers.count,
            slots_per_worker: workers.slots,
            connections_per_worker: workers.connections,
            memory_mib_per_worker: workers.memory_gib.saturating_mul(MIB_PER_GIB),
            accelerators_per_worker: workers.accelerators,
        };
        let copied_fields = [
            ("workers", "count"),
            ("slots_per_worker", "slots"),
            ("connections_per_worker", "connections"),
            ("accelerators_per_worker", "accelerators"),
        ];
        for (value, answer) in copied_fields {
            self.record_copy(format!("sizes.{value}"), format!("workers.{answer}"));
        }
        self.record_derived(
            String::from("sizes.memory_mib_per_worker"),
            vec![String::from("workers.memory_gib")],
            "GiB converted to MiB",
        );
    }

    fn add_team(&mut self, index: usize, answers: &TeamAnswers) {
        let path = format!("teams[{index}]");
        self.record_copy(format!("{path}.name"), format!("{path}.name"));
        self.record_copy(format!("{path}.weight"), format!("{path}.weight"));
        let list = format!("{path}.failure_domains");
        let domains = self.copy_failure_domains(&answers.failure_domains, &list, &list);
        let team = TeamConfiguration {
            name: TeamName::from(answers.name.as_str()),
            max_running_tasks: self.compute_max_running_tasks(&path, answers),
            max_job_tasks: self.compute_max_job_tasks(&path, answers),
            weight: answers.weight,
            failure_domains: domains,
            classes: self.build_classes(&path, answers),
        };
        self.document.teams.push(team);
    }

    fn compute_max_running_tasks(&mut self, path: &str, answers: &TeamAnswers) -> u32 {
        self.record_derived(
            format!("{path}.max_running_tasks"),
            vec![
                format!("{path}.max_slots_percent"),
                String::from("workers.count"),
                String::from("workers.slots"),
            ],
            "percentage of all slots, rounded up",
        );
        let slots = self.document.sizes.total_slots();
        let share = (slots * u64::from(answers.max_slots_percent)).div_ceil(100);
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    fn compute_max_job_tasks(&mut self, path: &str, answers: &TeamAnswers) -> u32 {
        let mut largest = 0;
        let mut largest_index = 0;
        for (index, work) in answers.work.iter().enumerate() {
            if work.largest_job_tasks > largest {
                largest = work.largest_job_tasks;
                largest_index = index;
            }
        }
        self.record_derived(
            format!("{path}.max_job_tasks"),
            vec![format!("{path}.work[{largest_index}].largest_job_tasks")],
            "largest job of all kinds of work",
        );
        largest
    }

    fn build_classes(&mut self, path: &str, answers: &TeamAnswers) -> Vec<ClassConfiguration> {
        let mut classes = Vec::new();
        for (index, work) in answers.work.iter().enumerate() {
            let value = format!("{path}.classes[{index}]");
            let answer = format!("{path}.work[{index}]");
            for field in [
                "name",
                "answer_within_ms",
                "idempotent",
                "memory_mib",
                "accelerators",
            ] {
                self.record_copy(format!("{value}.{field}"), format!("{answer}.{field}"));
            }
            let run_time = format!("{value}.expected_run_ms");
            self.record_copy(run_time, format!("{answer}.typical_run_ms"));
            classes.push(build_class(work));
        }
        classes
    }
}

/// Generates the configuration of a deployment from its answers.
#[must_use]
pub fn generate_configuration(answers: &DeploymentAnswers) -> GeneratedConfiguration {
    let mut generated = GeneratedConfiguration::default();
    generated
        .document
        .deployment
        .clone_from(&answers.deployment);
    generated.record_copy(String::from("deployment"), String::from("deployment"));
    for (index, region) in answers.regions.iter().enumerate() {
        generated.add_region(index, region);
    }
    generated.set_sizes(answers);
    for (index, team) in answers.teams.iter().enumerate() {
        generated.add_team(index, team);
    }
    generated
}

fn build_class(work: &WorkAnswers) -> ClassConfiguration {
    ClassConfiguration {
        name: ClassName::from(work.name.as_str()),
        expected_run_ms: work.typical_run_ms,
        answer_within_ms: work.answer_within_ms,
        idempotent: work.idempotent,
        memory_mib: work.memory_mib,
        accelerators: work.accelerators,
    }
}
