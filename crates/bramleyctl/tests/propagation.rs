//! Racing operators and 40 hosts that watch the store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bramley_core::configuration::{ConfigurationState, DeploymentConfiguration, TeamConfiguration};
use bramley_core::names::{DomainName, TeamName};
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use bramley_store::{StoreClient, StoreSettings};
use bramleyctl::change::{ChangeRequest, apply_change};
use bramleyctl::error::CommandError;
use bramleyctl::repository::ConfigurationRepository;
use tokio::task::JoinSet;
use tokio::time::Instant;

const KEY: &str = "bramley/configuration";
const HOSTS: usize = 40;
const OPERATORS: u32 = 4;
const CHANGES_PER_OPERATOR: u32 = 25;
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Times at which a generation came into force on a host.
type AdoptionLog = Arc<Mutex<Vec<(u64, Instant)>>>;

fn connect(platform: &PlatformStandIn) -> StoreClient {
    StoreClient::new(StoreSettings {
        address: platform.address(),
        answer_timeout_ms: 30_000,
        ..StoreSettings::default()
    })
}

fn document(operator: u32, number: u32) -> DeploymentConfiguration {
    DeploymentConfiguration {
        deployment: String::from("test"),
        failure_domains: vec![DomainName::from("north")],
        teams: vec![TeamConfiguration {
            name: TeamName::new(format!("team_{operator}")),
            weight: number + 1,
            ..TeamConfiguration::default()
        }],
        ..DeploymentConfiguration::default()
    }
}

/// Follows the store until a generation is in force, and returns the state.
async fn follow(store: StoreClient, log: AdoptionLog, last: Arc<Mutex<u64>>) -> ConfigurationState {
    let mut state = ConfigurationState::default();
    let mut revision = 0;
    loop {
        if let Ok(value) = store.watch(KEY, revision, WATCH_WAIT).await {
            revision = value.revision;
            let before = state.generation();
            state.offer(&value.value);
            assert!(state.generation() >= before, "a host went back");
            if state.generation() > before {
                let mut log = log.lock().expect("no holder panics");
                log.push((state.generation(), Instant::now()));
            }
        }
        let last = *last.lock().expect("no holder panics");
        if last > 0 && state.generation() >= last {
            return state;
        }
    }
}

/// Applies changes, starting anew from the winner after each lost race.
async fn operate(repository: ConfigurationRepository, operator: u32) -> Vec<(u64, Instant)> {
    let mut made = Vec::new();
    let mut base = 0;
    while made.len() < CHANGES_PER_OPERATOR as usize {
        let request = ChangeRequest {
            author: format!("operator-{operator}"),
            base: Some(base),
            document: document(operator, made.len() as u32),
            host_generation: 0,
            time_limit: Duration::from_secs(60),
        };
        match apply_change(&repository, request).await {
            Ok(applied) => {
                base = applied.change.generation;
                made.push((base, Instant::now()));
            }
            Err(refusal) => match refusal.error {
                CommandError::RaceLost { current, .. } => base = current,
                other => panic!("expected a lost race: {other}"),
            },
        }
    }
    made
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_changes_reach_40_hosts_and_none_is_lost_or_reverted() {
    let platform = PlatformStandIn::start(PlatformOptions::default()).await;
    let platform = platform.expect("a free port");
    let log = AdoptionLog::default();
    let last = Arc::new(Mutex::new(0));
    let mut hosts = JoinSet::new();
    for _ in 0..HOSTS {
        hosts.spawn(follow(
            connect(&platform),
            Arc::clone(&log),
            Arc::clone(&last),
        ));
    }
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let repository = ConfigurationRepository::new(connect(&platform), KEY);
        operators.spawn(operate(repository, operator));
    }
    let mut made: Vec<(u64, Instant)> = operators.join_all().await.into_iter().flatten().collect();
    made.sort_unstable();
    let total = (OPERATORS * CHANGES_PER_OPERATOR) as usize;
    assert_eq!(made.len(), total);
    assert!(
        made.windows(2).all(|pair| pair[0].0 < pair[1].0),
        "two winners of one race"
    );
    // One more change wakes every host, so that it sees that the run has ended.
    let (newest, _) = made[total - 1];
    *last.lock().expect("no holder panics") = newest + 1;
    let repository = ConfigurationRepository::new(connect(&platform), KEY);
    let end = ChangeRequest {
        author: String::from("end"),
        base: Some(newest),
        document: document(0, 0),
        host_generation: 0,
        time_limit: Duration::from_secs(60),
    };
    let end = apply_change(&repository, end)
        .await
        .expect("no one races any more");
    made.push((end.change.generation, Instant::now()));
    let states = hosts.join_all().await;
    for state in &states {
        assert_eq!(state.generation(), end.change.generation);
        assert_eq!(state.counts().conflicting + state.counts().refused, 0);
    }
    report_delays(&made, &log.lock().expect("no holder panics"));
    let counts = platform.counts();
    println!("calls of {HOSTS} hosts and {OPERATORS} operators: {counts:?}");
}

/// Prints the delays from the operator's answer to the force of a generation on a host.
fn report_delays(made: &[(u64, Instant)], log: &[(u64, Instant)]) {
    let mut delays = Vec::new();
    for (generation, adopted) in log {
        let applied = made.iter().find(|(number, _)| number == generation);
        let (_, applied) = applied.expect("hosts adopt only what operators applied");
        delays.push(adopted.saturating_duration_since(*applied));
    }
    delays.sort_unstable();
    let at = |percent: usize| delays[(delays.len() - 1) * percent / 100];
    println!("changes: {}, adoptions: {}", made.len(), delays.len());
    println!(
        "delay p50 {:?}, p99 {:?}, max {:?}",
        at(50),
        at(99),
        at(100)
    );
}
