//! Names, addresses and configuration of the deployment of a scenario.

use std::net::SocketAddr;

use bramley_core::configuration::{ClassConfiguration, DeploymentConfiguration, TeamConfiguration};
use bramley_core::names::{ClassName, DomainName, TeamName, WorkerName};

use crate::scenario::Scenario;

/// Names the worker at a position.
pub(super) fn worker_name(position: usize) -> WorkerName {
    WorkerName::from(format!("worker-{position:03}").as_str())
}

/// Returns the made-up address of the worker at a position.
pub(super) fn worker_address(position: usize) -> SocketAddr {
    let number = u16::try_from(position).expect("fewer than 65,536 workers");
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

/// Returns the position of the worker with a made-up address.
pub(super) fn worker_position(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => 0,
    }
}

/// Makes the configuration that a scenario's workloads need.
pub(super) fn configure(scenario: &Scenario) -> DeploymentConfiguration {
    let mut teams: Vec<TeamConfiguration> = Vec::new();
    for workload in &scenario.workloads {
        let class = ClassConfiguration {
            name: ClassName::from(workload.class.as_str()),
            expected_run_ms: workload.declared_ms,
            answer_within_ms: workload.answer_within_ms,
            ..ClassConfiguration::default()
        };
        let known = teams
            .iter_mut()
            .find(|team| team.name.as_str() == workload.team);
        if let Some(team) = known {
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
