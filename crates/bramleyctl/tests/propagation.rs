//! Racing operators and 40 hosts that watch the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bramley_core::configuration::{
    ConfigurationEnvelope, ConfigurationState, DeploymentConfiguration, OfferOutcome,
    TeamConfiguration,
};
use bramley_core::names::{DomainName, TeamName};
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use bramley_store::{BackoffSettings, RetryBackoff, StoreClient, StoreSettings};
use bramley_wire::platform::PlatformSwitch;
use bramleyctl::change::{ChangeRequest, apply_change};
use bramleyctl::error::CommandError;
use bramleyctl::repository::ConfigurationRepository;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

const KEY: &str = "bramley/configuration";
const HOSTS: usize = 40;
const OPERATORS: u32 = 4;
const CHANGES_PER_OPERATOR: u32 = 25;
const WATCH_WAIT: Duration = Duration::from_secs(20);
const TIME_LIMIT: Duration = Duration::from_secs(120);

/// What the hosts saw.
#[derive(Debug, Default)]
struct AdoptionLog {
    /// Generations with the times at which they came into force on a host.
    adoptions: Vec<(u64, Instant)>,
    /// Generations of the changes that any envelope recorded, by operation id.
    recorded: BTreeMap<String, u64>,
    /// Generation after which the hosts may end; 0 while operators are at work.
    last: u64,
}

type SharedLog = Arc<Mutex<AdoptionLog>>;

fn lock(log: &SharedLog) -> MutexGuard<'_, AdoptionLog> {
    log.lock().expect("no holder panics")
}

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

/// Follows the store until the last generation is in force, and returns the state.
async fn follow(store: StoreClient, log: SharedLog) -> ConfigurationState {
    let mut state = ConfigurationState::default();
    let mut backoff = RetryBackoff::new(BackoffSettings::default());
    let mut revision = 0;
    loop {
        match store.watch(KEY, revision, WATCH_WAIT).await {
            Ok(value) => {
                backoff.reset();
                revision = value.revision;
                take_value(&mut state, &value.value, &log);
            }
            Err(_) => {
                let delay = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
        let last = lock(&log).last;
        if last > 0 && state.generation() >= last {
            return state;
        }
    }
}

fn take_value(state: &mut ConfigurationState, text: &str, log: &SharedLog) {
    let before = state.generation();
    let outcome = state.offer(text);
    assert!(state.generation() >= before, "a host went back");
    if let OfferOutcome::Adopted(version) = outcome {
        let envelope = ConfigurationEnvelope::parse(text).expect("it was adopted");
        let mut log = lock(log);
        log.adoptions.push((version.generation, Instant::now()));
        let changes = std::iter::once(&envelope.change).chain(&envelope.earlier);
        let entries = changes.map(|change| (change.operation_id.clone(), change.generation));
        log.recorded.extend(entries);
    }
}

/// What operators were told about their changes, by operation id.
#[derive(Debug, Default)]
struct OperatorRecord {
    /// Changes that are in the store, with their generations and the times of the answers.
    made: BTreeMap<String, (u64, Instant)>,
    /// Changes of unknown effect.
    unknown: BTreeSet<String>,
}

/// Applies changes, starting anew from the winner after each lost race.
async fn operate(repository: ConfigurationRepository, operator: u32) -> OperatorRecord {
    let mut record = OperatorRecord::default();
    let mut base = 0;
    while record.made.len() < CHANGES_PER_OPERATOR as usize {
        let request = ChangeRequest {
            author: format!("operator-{operator}"),
            base: Some(base),
            document: document(operator, record.made.len() as u32),
            host_generation: 0,
            time_limit: TIME_LIMIT,
        };
        match apply_change(&repository, request).await {
            Ok(applied) => {
                base = applied.change.generation;
                let answer = (base, Instant::now());
                record.made.insert(applied.change.operation_id, answer);
            }
            Err(refusal) => match refusal.error {
                CommandError::RaceLost { current, .. } => base = current,
                CommandError::EffectUnknown { operation_id, .. } => {
                    record.unknown.insert(operation_id);
                }
                other => panic!("expected a lost race or an unknown effect: {other}"),
            },
        }
    }
    record
}

/// Lets operators race and hosts follow, while `disturb` does harm to the platform.
async fn run_deployment(disturb: impl AsyncFnOnce(&PlatformStandIn, &mut ChaCha8Rng), seed: u64) {
    let options = PlatformOptions {
        seed,
        ..PlatformOptions::default()
    };
    let platform = PlatformStandIn::start(options).await.expect("a free port");
    let log = SharedLog::default();
    let mut hosts = JoinSet::new();
    for _ in 0..HOSTS {
        hosts.spawn(follow(connect(&platform), Arc::clone(&log)));
    }
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let repository = ConfigurationRepository::new(connect(&platform), KEY);
        operators.spawn(operate(repository, operator));
    }
    disturb(&platform, &mut ChaCha8Rng::seed_from_u64(seed)).await;
    platform.switch(PlatformSwitch::default());
    let mut record = OperatorRecord::default();
    for other in operators.join_all().await {
        record.made.extend(other.made);
        record.unknown.extend(other.unknown);
    }
    end_run(&platform, &log, &mut record).await;
    let states = hosts.join_all().await;
    check_run(&record, &states, &lock(&log));
    println!(
        "seed {seed}: {HOSTS} hosts, {OPERATORS} operators, calls {:?}",
        platform.counts()
    );
}

/// Makes one more change, which wakes every host, so that it sees that the run has ended.
async fn end_run(platform: &PlatformStandIn, log: &SharedLog, record: &mut OperatorRecord) {
    let stored = platform.read(KEY).value;
    let newest = ConfigurationEnvelope::parse(&stored)
        .expect("it was made")
        .generation();
    lock(log).last = newest + 1;
    let repository = ConfigurationRepository::new(connect(platform), KEY);
    let end = ChangeRequest {
        author: String::from("end"),
        base: Some(newest),
        document: document(0, 0),
        host_generation: 0,
        time_limit: TIME_LIMIT,
    };
    let end = apply_change(&repository, end)
        .await
        .expect("no one races any more");
    let answer = (end.change.generation, Instant::now());
    record.made.insert(end.change.operation_id, answer);
}

fn check_run(record: &OperatorRecord, states: &[ConfigurationState], log: &AdoptionLog) {
    assert_eq!(
        record.made.len(),
        (OPERATORS * CHANGES_PER_OPERATOR) as usize + 1
    );
    let generations: BTreeSet<u64> = record.made.values().map(|answer| answer.0).collect();
    assert_eq!(
        generations.len(),
        record.made.len(),
        "two winners of one race"
    );
    for (operation_id, (generation, _)) in &record.made {
        let recorded = log.recorded.get(operation_id);
        assert_eq!(recorded, Some(generation), "a change was lost");
    }
    for operation_id in log.recorded.keys() {
        let is_told = record.made.contains_key(operation_id);
        let is_open = record.unknown.contains(operation_id);
        assert!(
            is_told || is_open,
            "an operator was told that a change had no effect"
        );
    }
    for state in states {
        assert_eq!(Some(&state.generation()), generations.last());
        assert_eq!(state.counts().conflicting, 0);
    }
    println!(
        "changes: {}, unknown: {}",
        record.made.len(),
        record.unknown.len()
    );
    report_delays(record, &log.adoptions);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_changes_reach_40_hosts_and_none_is_lost_or_reverted() {
    run_deployment(async |_: &PlatformStandIn, _: &mut ChaCha8Rng| {}, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_store_loses_and_reverts_nothing() {
    for seed in 1..=3 {
        run_deployment(harm_platform, seed).await;
    }
}

/// Takes the platform down, slows it, limits its rate and loses answers, in turns.
async fn harm_platform(platform: &PlatformStandIn, rng: &mut ChaCha8Rng) {
    for _ in 0..30 {
        platform.switch(PlatformSwitch {
            down: rng.random_bool(0.2),
            delay_ms: rng.random_range(0..20),
            lose_answer_percent: rng.random_range(0..60),
            calls_per_second: if rng.random_bool(0.3) { 200 } else { 0 },
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
}

/// Prints the delays from the operator's answer to the force of a generation on a host.
fn report_delays(record: &OperatorRecord, adoptions: &[(u64, Instant)]) {
    let answers: BTreeMap<u64, Instant> = record.made.values().copied().collect();
    let mut delays = Vec::new();
    for (generation, adopted) in adoptions {
        if let Some(answered) = answers.get(generation) {
            delays.push(adopted.saturating_duration_since(*answered));
        }
    }
    delays.sort_unstable();
    let at = |percent: usize| delays[(delays.len() - 1) * percent / 100];
    println!(
        "{} delays: p50 {:?}, p99 {:?}, max {:?}",
        delays.len(),
        at(50),
        at(99),
        at(100)
    );
}
