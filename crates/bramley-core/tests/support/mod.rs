//! Builders for kernel inputs, shared by the tests.

use std::sync::Arc;

use bramley_core::configuration::{ClassConfiguration, DeploymentConfiguration, TeamConfiguration};
use bramley_core::job::JobSpec;
use bramley_core::names::{ClassName, DomainName, RackName, TeamName, WorkerName};
use bramley_core::task::TaskInput;
use bramley_core::units::UnixTime;
use bramley_core::worker::{WorkerProfile, WorkerState};

/// Team that submits the jobs.
pub const TEAM: &str = "harbour";

/// Class of the tasks.
pub const CLASS: &str = "hold";

/// Returns a configuration with the given teams and their quotas.
pub fn configuration_with_quotas(quotas: &[(&str, u32)]) -> Arc<DeploymentConfiguration> {
    let class = ClassConfiguration {
        name: ClassName::from(CLASS),
        expected_run_ms: 50,
        answer_within_ms: 2_000,
        ..ClassConfiguration::default()
    };
    let mut teams = Vec::new();
    for (name, quota) in quotas {
        teams.push(TeamConfiguration {
            name: TeamName::from(*name),
            max_running_tasks: *quota,
            max_job_tasks: 500,
            weight: 1,
            classes: vec![class.clone()],
            ..TeamConfiguration::default()
        });
    }
    Arc::new(DeploymentConfiguration {
        deployment: "test".to_owned(),
        failure_domains: Vec::new(),
        teams,
        ..DeploymentConfiguration::default()
    })
}

/// Returns the profile of a live worker without accelerators.
pub fn live_worker(name: &str, domain: &str, slots: u32) -> WorkerProfile {
    WorkerProfile {
        name: WorkerName::from(name),
        address: ([10, 0, 0, 1], 7_000).into(),
        domain: DomainName::from(domain),
        rack: RackName::from("rack-1"),
        slots,
        accelerators: 0,
        memory_mib: 65_536,
        state: WorkerState::Live,
    }
}

/// Returns a job with one task per payload.
pub fn job(payloads: &[&str], deadline: UnixTime, idempotent: bool) -> JobSpec {
    let tasks = payloads
        .iter()
        .map(|payload| TaskInput {
            payload: Arc::from(*payload),
            accelerators: 0,
            memory_mib: 0,
            declared_ms: 0,
        })
        .collect();
    JobSpec {
        team: TeamName::from(TEAM),
        class: ClassName::from(CLASS),
        deadline,
        idempotent,
        tasks,
    }
}
