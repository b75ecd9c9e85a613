//! Names, addresses and configuration of a simulated deployment.

use std::net::SocketAddr;

use bramley_core::configuration::{ClassConfiguration, DeploymentConfiguration, TeamConfiguration};
use bramley_core::names::{ClassName, DomainName, TeamName, WorkerName};

use crate::scenario::Scenario;

/// Returns the name of the worker with an index.
pub(super) fn worker_name(position: usize) -> WorkerName {
    WorkerName::from(format!("worker-{position:03}").as_str())
}

/// Returns the simulated address of the worker with an index, which the last two octets encode.
pub(super) fn worker_address(position: usize) -> SocketAddr {
    let number = u16::try_from(position).expect("fewer than 65,536 workers");
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

/// Returns the index of the worker with a simulated address.
pub(super) fn worker_position(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => 0,
    }
}

/// Builds a configuration with the teams and classes of a scenario's workloads.
pub(super) fn build_configuration(scenario: &Scenario) -> DeploymentConfiguration {
    let mut teams: Vec<TeamConfiguration> = Vec::new();
    for workload in &scenario.workloads {
        let class = ClassConfiguration {
            name: ClassName::from(workload.class.as_str()),
            expected_run_ms: workload.declared_ms,
            answer_within_ms: workload.answer_within_ms,
            ..ClassConfiguration::default()
        };
        let existing_team = teams
            .iter_mut()
            .find(|team| team.name.as_str() == workload.team);
        if let Some(team) = existing_team {
            team.classes.push(class);
            continue;
        }
        teams.push(TeamConfiguration {
            name: TeamName::from(workload.team.as_str()),
            max_running_tasks: workload.max_running_tasks,
            max_job_tasks: 500,
            weight: workload.weight,
            classes: vec![class],
            ..TeamConfiguration::default()
        });
    }
    DeploymentConfiguration {
        deployment: scenario.name.clone(),
        failure_domains: scenario
            .domains
            .iter()
            .map(|domain| DomainName::from(domain.name.as_str()))
            .collect(),
        teams,
        ..DeploymentConfiguration::default()
    }
}
