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
    /// Teams with their limits.
    pub teams: Vec<TeamConfiguration>,
}

/// Limits and task classes of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfiguration {
    /// Name of the team.
    pub name: TeamName,
    /// Largest number of tasks of the team that run at once in the whole deployment.
    pub max_running_tasks: u32,
    /// Largest number of tasks in one job.
    pub max_job_tasks: u32,
    /// Share of the capacity against other teams when all are busy, at least 1.
    pub weight: u32,
    /// Task classes of the team.
    pub classes: Vec<ClassConfiguration>,
}

/// What is declared about one class of tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfiguration {
    /// Name of the class.
    pub name: ClassName,
    /// Run time that the team expects of one task, in milliseconds.
    pub expected_run_ms: u32,
    /// Time from submission to the latest useful answer, in milliseconds.
    pub answer_within_ms: u32,
}
