//! Starts an entry host on loopback and submits a job to it with the client library.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley::client::{CallerClient, ClientOptions, JobSpec, JobState};
use bramley::core::configuration::{
    ChangeRecord, ClassConfiguration, ConfigurationEnvelope, DeploymentConfiguration,
    TeamConfiguration,
};
use bramley::settings::EntrySettings;
use bramley::wire::caller::TaskSpec;
use bramley::wire::platform::{PutRequest, WorkerRecord};
use bramley_entry::EntryDaemon;
use bramley_stand_ins::{PlatformOptions, PlatformStandIn, WorkerOptions, WorkerStandIn};
use bramley_store::{StoreClient, StoreSettings};

/// Runs the example.
#[tokio::main]
pub async fn main() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the worker stand-in should start");
    let platform = start_platform(&worker)
        .await
        .expect("the platform stand-in should start");
    let entry = start_entry(&platform)
        .await
        .expect("the entry host should start");

    let client = CallerClient::new(ClientOptions {
        entry_addresses: vec![entry.caller_address()],
        team: Arc::from("token_sales"),
        ..ClientOptions::default()
    });
    let job = JobSpec {
        class: Arc::from("top_ups"),
        tasks: vec![TaskSpec {
            payload: r#"{"run_ms":20,"echo":"topped up","fail":false}"#.to_owned(),
            ..TaskSpec::default()
        }],
        ..JobSpec::default()
    };
    let answer = client.submit(job).await.expect("the job should complete");
    println!("{}", answer.results[0]);
    assert_eq!(answer.results, ["topped up"]);

    // The entry host keeps the answer until the ticket expires.
    let state = client
        .query(&answer.ticket)
        .await
        .expect("the job should still be known");
    assert_eq!(state, JobState::Complete(answer));
    assert_eq!(worker.ledger().entries.len(), 1);
}

/// Starts a platform stand-in that lists the worker and stores the configuration.
async fn start_platform(worker: &WorkerStandIn) -> io::Result<PlatformStandIn> {
    let record = WorkerRecord {
        name: "worker-1".to_owned(),
        address: worker.address().to_string(),
        failure_domain: "west_1".to_owned(),
        rack: "rack-1".to_owned(),
        slots: 8,
        accelerators: 0,
        memory_mib: 65_536,
        state: "live".to_owned(),
    };
    let options = PlatformOptions {
        workers: vec![record],
        ..PlatformOptions::default()
    };
    let platform = PlatformStandIn::start(options).await?;
    let store = StoreClient::new(StoreSettings {
        address: platform.address(),
        ..StoreSettings::default()
    });
    let request = PutRequest {
        value: configuration().to_json(),
        expected_revision: 0,
        lease_ms: 0,
    };
    let key = EntrySettings::default().configuration_key;
    store.put(&key, &request).await.map_err(io::Error::other)?;
    Ok(platform)
}

fn configuration() -> ConfigurationEnvelope {
    let class = ClassConfiguration {
        name: "top_ups".into(),
        ..ClassConfiguration::default()
    };
    let team = TeamConfiguration {
        name: "token_sales".into(),
        classes: vec![class],
        ..TeamConfiguration::default()
    };
    let document = DeploymentConfiguration {
        deployment: "jalakanda".to_owned(),
        failure_domains: vec!["west_1".into()],
        teams: vec![team],
        ..DeploymentConfiguration::default()
    };
    ConfigurationEnvelope {
        change: ChangeRecord {
            generation: 1,
            operation_id: "example".to_owned(),
            author: "example".to_owned(),
            ..ChangeRecord::default()
        },
        document,
        ..ConfigurationEnvelope::default()
    }
}

/// Starts an entry host and waits until it has applied the configuration.
async fn start_entry(platform: &PlatformStandIn) -> io::Result<EntryDaemon> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let entry = EntryDaemon::start(EntrySettings {
        host: "entry-1".to_owned(),
        failure_domain: "west_1".to_owned(),
        caller_address: any_port,
        peer_address: any_port,
        control_address: any_port,
        platform_address: platform.address(),
        ..EntrySettings::default()
    })
    .await?;
    while entry.state().configuration.load().generation == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(entry)
}
