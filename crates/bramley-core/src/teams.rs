//! Lookup of teams and task classes in the configuration in force.

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::configuration::{ClassConfiguration, DeploymentConfiguration, TeamConfiguration};
use crate::names::TeamName;

/// Default deadline of a job whose class is not declared.
const DEFAULT_ANSWER_WITHIN: Duration = Duration::from_secs(30);

/// Index of the teams of the configuration in force by name.
#[derive(Debug, Default)]
pub struct TeamIndex {
    configuration: Option<Arc<DeploymentConfiguration>>,
    positions: FxHashMap<TeamName, usize>,
}

impl TeamIndex {
    /// Creates the index for a configuration.
    #[must_use]
    pub fn new(configuration: Arc<DeploymentConfiguration>) -> Self {
        let positions = configuration
            .teams
            .iter()
            .enumerate()
            .map(|(position, team)| (team.name.clone(), position))
            .collect();
        Self {
            configuration: Some(configuration),
            positions,
        }
    }

    /// Returns the configuration, or `None` if none is known yet.
    #[must_use]
    pub const fn configuration(&self) -> Option<&Arc<DeploymentConfiguration>> {
        self.configuration.as_ref()
    }

    /// Returns the team with the given name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&TeamConfiguration> {
        let position = *self.positions.get(name)?;
        self.configuration.as_ref()?.teams.get(position)
    }
}

impl TeamConfiguration {
    /// Returns the task class with the given name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ClassConfiguration> {
        self.classes
            .iter()
            .find(|class| class.name.as_str() == name)
    }

    /// Returns the default deadline of a job of a class, relative to its submission.
    #[must_use]
    pub fn answer_within(&self, class: &str) -> Duration {
        self.class(class).map_or(DEFAULT_ANSWER_WITHIN, |class| {
            Duration::from_millis(u64::from(class.answer_within_ms))
        })
    }

    /// Returns the declared run time of a task of a class, or zero if the class is not declared.
    #[must_use]
    pub fn declared_run(&self, class: &str) -> Duration {
        self.class(class).map_or(Duration::ZERO, |class| {
            Duration::from_millis(u64::from(class.expected_run_ms))
        })
    }
}
