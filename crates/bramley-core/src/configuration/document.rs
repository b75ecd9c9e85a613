//! Schema of the configuration document in the platform's store.

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
    /// Regions and their failure domains; empty if all failure domains are in one region.
    pub regions: Vec<RegionConfiguration>,
    /// Declared size of the worker fleet.
    pub sizes: DeploymentSizes,
    /// Teams and their limits.
    pub teams: Vec<TeamConfiguration>,
}

/// A region and its failure domains.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionConfiguration {
    /// Name of the region.
    pub name: String,
    /// Failure domains in the region.
    pub failure_domains: Vec<DomainName>,
}

/// Declared size of the worker fleet, used to validate limits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentSizes {
    /// Number of workers in the whole deployment; 0 means unspecified and disables all checks
    /// against the fleet size.
    pub workers: u32,
    /// Number of tasks that one worker runs concurrently.
    pub slots_per_worker: u32,
    /// Number of connections that one worker accepts.
    pub connections_per_worker: u32,
    /// Memory of the largest worker, in mebibytes.
    pub memory_mib_per_worker: u32,
    /// Number of accelerators of the largest worker.
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
    /// Maximum number of the team's tasks that run concurrently in the whole deployment.
    pub max_running_tasks: u32,
    /// Maximum number of tasks in one job.
    pub max_job_tasks: u32,
    /// Weight for sharing capacity between teams when all have queued tasks; at least 1.
    pub weight: u32,
    /// Failure domains whose workers may run the team's tasks; empty means all.
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

/// Declared properties of a task class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassConfiguration {
    /// Name of the class.
    pub name: ClassName,
    /// Expected run time of one task, in milliseconds.
    pub expected_run_ms: u32,
    /// Default deadline of a job, in milliseconds after its submission.
    pub answer_within_ms: u32,
    /// Whether a task can safely run more than once.
    pub idempotent: bool,
    /// Memory that a task needs, in mebibytes; 0 means unspecified.
    pub memory_mib: u32,
    /// Number of accelerators that a task occupies on one worker.
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
