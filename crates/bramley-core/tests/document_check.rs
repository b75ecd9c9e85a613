//! Tests of the validation of configuration documents.

use bramley_core::configuration::{
    ClassConfiguration, DeploymentConfiguration, DeploymentSizes, RegionConfiguration,
    TeamConfiguration, check_document,
};
use bramley_core::names::{ClassName, DomainName, TeamName};

fn valid_document() -> DeploymentConfiguration {
    DeploymentConfiguration {
        deployment: String::from("test"),
        failure_domains: vec![DomainName::from("north"), DomainName::from("south")],
        sizes: DeploymentSizes {
            workers: 10,
            slots_per_worker: 8,
            connections_per_worker: 60,
            memory_mib_per_worker: 65_536,
            accelerators_per_worker: 0,
        },
        teams: vec![TeamConfiguration {
            name: TeamName::from("holds"),
            max_running_tasks: 80,
            classes: vec![ClassConfiguration::default()],
            ..TeamConfiguration::default()
        }],
        ..DeploymentConfiguration::default()
    }
}

#[test]
fn a_right_document_has_no_faults() {
    assert_eq!(check_document(&valid_document()), Vec::new());
}

#[test]
fn each_fault_names_its_field_and_what_is_right() {
    let mut document = valid_document();
    document.deployment = String::from("Test");
    document.failure_domains.push(DomainName::from("north"));
    document.regions = vec![RegionConfiguration {
        name: String::from("bavaria"),
        failure_domains: vec![DomainName::from("north"), DomainName::from("east")],
    }];
    document.sizes.connections_per_worker = 7;
    let team = &mut document.teams[0];
    team.max_running_tasks = 81;
    team.max_job_tasks = 0;
    team.weight = 1_001;
    team.failure_domains = vec![DomainName::from("west")];
    team.classes.push(ClassConfiguration {
        name: ClassName::from("class"),
        expected_run_ms: 500,
        answer_within_ms: 100,
        memory_mib: 70_000,
        accelerators: 1,
        ..ClassConfiguration::default()
    });
    document.teams.push(document.teams[0].clone());
    document.teams[1].classes.clear();
    let faults = check_document(&document);
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
