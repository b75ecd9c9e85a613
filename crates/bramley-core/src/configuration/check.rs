//! Validation of a configuration document.
//!
//! The result depends only on the document, so a document accepted by an operator's command is
//! accepted by every host of the same version.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::configuration::document::{
    ClassConfiguration, DeploymentConfiguration, DeploymentSizes, TeamConfiguration,
};
use crate::names::is_valid_name;

/// Maximum number of failure domains.
const MAX_DOMAINS: usize = 64;
/// Maximum number of teams.
const MAX_TEAMS: usize = 2_000;
/// Maximum number of task classes per team.
const MAX_CLASSES: usize = 64;
/// Maximum value of a team's limit of running tasks.
const MAX_RUNNING_TASKS: u32 = 1_000_000;
/// Maximum value of a team's limit of tasks per job.
const MAX_JOB_TASKS: u32 = 10_000;
/// Maximum weight of a team.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum expected run time of a task, in milliseconds.
const MAX_EXPECTED_RUN_MS: u32 = 600_000;
/// Maximum time to an answer, in milliseconds.
const MAX_ANSWER_WITHIN_MS: u32 = 3_600_000;

/// A validation error in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentFault {
    /// Path of the value, such as `teams[0].classes[2].name`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// Which values are valid.
    pub expected: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            problem,
            expected,
        } = self;
        write!(f, "{field}: {problem}; expected {expected}")
    }
}

/// Returns all validation errors of a document; the document is valid if there are none.
#[must_use]
pub fn check_document(document: &DeploymentConfiguration) -> Vec<DocumentFault> {
    let mut validator = DocumentValidator::new(document);
    validator.check_name("deployment", &document.deployment);
    validator.check_domains();
    validator.check_regions();
    validator.check_sizes();
    validator.check_teams();
    validator.faults
}

/// Traverses a document and collects validation errors.
struct DocumentValidator<'a> {
    document: &'a DeploymentConfiguration,
    domains: BTreeSet<&'a str>,
    faults: Vec<DocumentFault>,
}

impl<'a> DocumentValidator<'a> {
    fn new(document: &'a DeploymentConfiguration) -> Self {
        let domains = document
            .failure_domains
            .iter()
            .map(|domain| domain.as_str())
            .collect();
        Self {
            document,
            domains,
            faults: Vec::new(),
        }
    }

    fn report(&mut self, field: &str, problem: String, expected: &str) {
        self.faults.push(DocumentFault {
            field: String::from(field),
            problem,
            expected: String::from(expected),
        });
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if !is_valid_name(name) {
            let expected = "1 to 63 lower-case letters, digits, `-` and `_`";
            self.report(field, format!("{name:?} is not a valid name"), expected);
        }
    }

    fn check_range(&mut self, field: &str, value: u32, min: u32, max: u32) {
        if !(min..=max).contains(&value) {
            let expected = format!("a whole number from {min} to {max}");
            self.report(field, format!("{value} is out of range"), &expected);
        }
    }

    fn check_count(&mut self, field: &str, count: usize, min: usize, max: usize) {
        if !(min..=max).contains(&count) {
            let expected = format!("{min} to {max} entries");
            self.report(field, format!("the list has {count} entries"), &expected);
        }
    }

    /// Reports invalid and duplicate names in a list. `suffix` is the path from a list entry to its
    /// name.
    fn check_names(&mut self, list: &str, names: &[&str], suffix: &str) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            let field = format!("{list}[{index}]{suffix}");
            self.check_name(&field, name);
            if !seen.insert(*name) {
                self.report(&field, format!("duplicate name {name:?}"), "each name once");
            }
        }
    }

    fn check_known_domains(&mut self, list: &str, names: &[&str]) {
        for (index, name) in names.iter().enumerate() {
            if self.domains.contains(name) {
                continue;
            }
            let known: Vec<&str> = self.domains.iter().copied().collect();
            let expected = format!("one of the failure domains {}", known.join(", "));
            let problem = format!("{name:?} is not a known failure domain");
            self.report(&format!("{list}[{index}]"), problem, &expected);
        }
    }

    fn check_domains(&mut self) {
        let names = domain_names(&self.document.failure_domains);
        self.check_count("failure_domains", names.len(), 1, MAX_DOMAINS);
        self.check_names("failure_domains", &names, "");
    }

    fn check_regions(&mut self) {
        let document = self.document;
        let names: Vec<&str> = document.regions.iter().map(|r| r.name.as_str()).collect();
        self.check_names("regions", &names, ".name");
        let mut region_counts: BTreeMap<&str, u32> = BTreeMap::new();
        for (index, region) in document.regions.iter().enumerate() {
            let list = format!("regions[{index}].failure_domains");
            let domains = domain_names(&region.failure_domains);
            self.check_known_domains(&list, &domains);
            for domain in domains {
                *region_counts.entry(domain).or_default() += 1;
            }
        }
        if document.regions.is_empty() {
            return;
        }
        for (index, domain) in document.failure_domains.iter().enumerate() {
            let count = region_counts.get(domain.as_str()).copied().unwrap_or(0);
            if count != 1 {
                let problem = format!("{domain} lies in {count} regions");
                let field = format!("failure_domains[{index}]");
                self.report(&field, problem, "each failure domain in one region");
            }
        }
    }

    fn check_sizes(&mut self) {
        let sizes = &self.document.sizes;
        if sizes.workers == 0 {
            return;
        }
        self.check_range("sizes.workers", sizes.workers, 1, 100_000);
        self.check_range("sizes.slots_per_worker", sizes.slots_per_worker, 1, 4_096);
        let connections = sizes.connections_per_worker;
        self.check_range("sizes.connections_per_worker", connections, 1, 65_535);
        if connections < sizes.slots_per_worker {
            let problem = format!("{connections} connections can't serve every slot");
            let expected = format!("at least {}, one for each slot", sizes.slots_per_worker);
            self.report("sizes.connections_per_worker", problem, &expected);
        }
    }

    fn check_teams(&mut self) {
        let document = self.document;
        let names: Vec<&str> = document.teams.iter().map(|t| t.name.as_str()).collect();
        self.check_count("teams", names.len(), 0, MAX_TEAMS);
        self.check_names("teams", &names, ".name");
        for (index, team) in document.teams.iter().enumerate() {
            self.check_team(&format!("teams[{index}]"), team);
        }
    }

    fn check_team(&mut self, field: &str, team: &TeamConfiguration) {
        let running = format!("{field}.max_running_tasks");
        self.check_range(&running, team.max_running_tasks, 1, MAX_RUNNING_TASKS);
        self.check_quota(&running, team.max_running_tasks);
        let job = format!("{field}.max_job_tasks");
        self.check_range(&job, team.max_job_tasks, 1, MAX_JOB_TASKS);
        self.check_range(&format!("{field}.weight"), team.weight, 1, MAX_WEIGHT);
        let list = format!("{field}.failure_domains");
        let domains = domain_names(&team.failure_domains);
        self.check_names(&list, &domains, "");
        self.check_known_domains(&list, &domains);
        let classes: Vec<&str> = team.classes.iter().map(|c| c.name.as_str()).collect();
        self.check_count(&format!("{field}.classes"), classes.len(), 0, MAX_CLASSES);
        self.check_names(&format!("{field}.classes"), &classes, ".name");
        for (index, class) in team.classes.iter().enumerate() {
            self.check_class(&format!("{field}.classes[{index}]"), class);
        }
    }

    fn check_quota(&mut self, field: &str, max_running_tasks: u32) {
        let slots = self.document.sizes.total_slots();
        if slots > 0 && u64::from(max_running_tasks) > slots {
            let problem = format!("{max_running_tasks} is more than all workers can run at once");
            let expected = format!("at most {slots}, the number of all slots");
            self.report(field, problem, &expected);
        }
    }

    fn check_class(&mut self, field: &str, class: &ClassConfiguration) {
        let run = format!("{field}.expected_run_ms");
        self.check_range(&run, class.expected_run_ms, 1, MAX_EXPECTED_RUN_MS);
        let answer = format!("{field}.answer_within_ms");
        self.check_range(&answer, class.answer_within_ms, 1, MAX_ANSWER_WITHIN_MS);
        if class.answer_within_ms < class.expected_run_ms {
            let problem = format!("{} ms end before one task does", class.answer_within_ms);
            let expected = format!("at least {run}, which is {}", class.expected_run_ms);
            self.report(&answer, problem, &expected);
        }
        let sizes = &self.document.sizes;
        if sizes.workers > 0 {
            self.check_class_size(field, class, sizes);
        }
    }

    fn check_class_size(
        &mut self,
        field: &str,
        class: &ClassConfiguration,
        sizes: &DeploymentSizes,
    ) {
        let bounds = [
            ("memory_mib", class.memory_mib, sizes.memory_mib_per_worker),
            (
                "accelerators",
                class.accelerators,
                sizes.accelerators_per_worker,
            ),
        ];
        for (name, needed, max) in bounds {
            if needed > max {
                let problem = format!("{needed} is more than any worker has");
                let expected = format!("at most sizes.{name}_per_worker, which is {max}");
                self.report(&format!("{field}.{name}"), problem, &expected);
            }
        }
    }
}

fn domain_names(domains: &[crate::names::DomainName]) -> Vec<&str> {
    domains.iter().map(|domain| domain.as_str()).collect()
}
