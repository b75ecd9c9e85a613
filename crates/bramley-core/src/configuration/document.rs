//! The configuration document that the platform's store holds.

use serde::{Deserialize, Serialize};

use crate::names::{ClassName, DomainName, TeamName};

/// Configuration of a whole deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentConfiguration {
    /// Name of the deployment.
    pub deployment: String,
    /// Failure domains of the deployment.
    pub failure_domains: Vec<DomainName>,
    /// Regions and their failure domains; empty if all lie in one region.
    pub regions: Vec<RegionConfiguration>,
    /// Declared sizes of the fleet.
    pub sizes: DeploymentSizes,
    /// Teams with their limits.
    pub teams: Vec<TeamConfiguration>,
}

/// One region with the failure domains in it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionConfiguration {
    /// Name of the region.
    pub name: String,
    /// Failure domains in the region.
    pub failure_domains: Vec<DomainName>,
}

/// Declared sizes of the fleet, against which limits are checked.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentSizes {
    /// Number of workers in the whole deployment; 0 if unstated, and then nothing is checked
    /// against the sizes.
    pub workers: u32,
    /// Tasks that one worker runs at once.
    pub slots_per_worker: u32,
    /// Connections that one worker accepts.
    pub connections_per_worker: u32,
    /// Memory of the largest worker, in mebibytes.
    pub memory_mib_per_worker: u32,
    /// Accelerators of the largest worker.
    pub accelerators_per_worker: u32,
}

impl DeploymentSizes {
    /// Returns the number of slots of the whole deployment.
    #[must_use]
    pub fn total_slots(&self) -> u64 {
        u64::from(self.workers) * u64::from(self.slots_per_worker)
    }
}

/// Limits and task classes of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamConfiguration {
    /// Name of the team.
    pub name: TeamName,
    /// Largest number of tasks of the team that run at once in the whole deployment.
    pub max_running_tasks: u32,
    /// Largest number of tasks in one job.
    pub max_job_tasks: u32,
    /// Share of the capacity against other teams when all are busy, at least 1.
    pub weight: u32,
    /// Failure domains whose workers may run the team's tasks; empty if all may.
    pub failure_domains: Vec<DomainName>,
    /// Task classes of the team.
    pub classes: Vec<ClassConfiguration>,
}

impl Default for TeamConfiguration {
    fn default() -> Self {
        Self {
            name: TeamName::new("team"),
            max_running_tasks: 100,
            max_job_tasks: 500,
            weight: 1,
            failure_domains: Vec::new(),
            classes: Vec::new(),
        }
    }
}

/// What is declared about one class of tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassConfiguration {
    /// Name of the class.
    pub name: ClassName,
    /// Run time that the team expects of one task, in milliseconds.
    pub expected_run_ms: u32,
    /// Time from submission to the latest useful answer, in milliseconds.
    pub answer_within_ms: u32,
    /// Whether a task may be run more than once without harm.
    pub idempotent: bool,
    /// Memory that a task needs, in mebibytes; 0 if unstated.
    pub memory_mib: u32,
    /// Accelerators that a task occupies on one worker.
    pub accelerators: u32,
}

impl Default for ClassConfiguration {
    fn default() -> Self {
        Self {
            name: ClassName::new("class"),
            expected_run_ms: 100,
            answer_within_ms: 30_000,
            idempotent: false,
            memory_mib: 0,
            accelerators: 0,
        }
    }
}
