//! Concurrent operators and 40 hosts that watch the store.

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

/// Configurations adopted by the hosts.
#[derive(Debug, Default)]
struct AdoptionLog {
    /// Generations with the times at which a host adopted them.
    adoptions: Vec<(u64, Instant)>,
    /// Generations of all changes recorded in adopted envelopes, by operation ID.
    recorded: BTreeMap<String, u64>,
    /// Generation at which the hosts stop watching; 0 while operators are active.
    last: u64,
}

type SharedLog = Arc<Mutex<AdoptionLog>>;

fn lock(log: &SharedLog) -> MutexGuard<'_, AdoptionLog> {
    log.lock().expect("the lock is not poisoned")
}

fn connect(platform: &PlatformStandIn) -> StoreClient {
    StoreClient::new(StoreSettings {
        address: platform.address(),
        response_timeout_ms: 30_000,
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

/// Watches the store until the last generation is in force, and returns the state of the host.
async fn watch_store(store: StoreClient, log: SharedLog) -> ConfigurationState {
    let mut state = ConfigurationState::default();
    let mut backoff = RetryBackoff::new(BackoffSettings::default());
    let mut revision = 0;
    loop {
        match store.watch(KEY, revision, WATCH_WAIT).await {
            Ok(value) => {
                backoff.reset();
                revision = value.revision;
                adopt_value(&mut state, &value.value, &log);
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

fn adopt_value(state: &mut ConfigurationState, text: &str, log: &SharedLog) {
    let before = state.generation();
    let outcome = state.offer(text);
    assert!(
        state.generation() >= before,
        "a host reverted to an older generation"
    );
    if let OfferOutcome::Adopted(version) = outcome {
        let envelope = ConfigurationEnvelope::parse(text).expect("an adopted envelope is valid");
        let mut log = lock(log);
        log.adoptions.push((version.generation, Instant::now()));
        let changes = std::iter::once(&envelope.change).chain(&envelope.earlier);
        let entries = changes.map(|change| (change.operation_id.clone(), change.generation));
        log.recorded.extend(entries);
    }
}

/// Results reported to operators for their changes, by operation ID.
#[derive(Debug, Default)]
struct OperatorRecord {
    /// Changes reported as stored, with their generations and the times of the results.
    applied: BTreeMap<String, (u64, Instant)>,
    /// Changes reported as of unknown effect.
    effect_unknown: BTreeSet<String>,
}

/// Applies changes. After each conflict, the next attempt is based on the stored generation.
async fn run_operator(repository: ConfigurationRepository, operator: u32) -> OperatorRecord {
    let mut record = OperatorRecord::default();
    let mut base = 0;
    while record.applied.len() < CHANGES_PER_OPERATOR as usize {
        let request = ChangeRequest {
            author: format!("operator-{operator}"),
            base: Some(base),
            document: document(operator, record.applied.len() as u32),
            host_generation: 0,
            time_limit: TIME_LIMIT,
        };
        match apply_change(&repository, request).await {
            Ok(applied) => {
                base = applied.change.generation;
                let result = (base, Instant::now());
                record.applied.insert(applied.change.operation_id, result);
            }
            Err(failure) => match failure.error {
                CommandError::Conflict { current, .. } => base = current,
                CommandError::EffectUnknown { operation_id, .. } => {
                    record.effect_unknown.insert(operation_id);
                }
                other => panic!("expected a conflict or an unknown effect: {other}"),
            },
        }
    }
    record
}

/// Runs concurrent operators and watching hosts while `inject_faults` makes the platform fail.
async fn run_deployment(
    inject_faults: impl AsyncFnOnce(&PlatformStandIn, &mut ChaCha8Rng),
    seed: u64,
) {
    let options = PlatformOptions {
        seed,
        ..PlatformOptions::default()
    };
    let platform = PlatformStandIn::start(options).await.expect("a free port");
    let log = SharedLog::default();
    let mut hosts = JoinSet::new();
    for _ in 0..HOSTS {
        hosts.spawn(watch_store(connect(&platform), Arc::clone(&log)));
    }
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let repository = ConfigurationRepository::new(connect(&platform), KEY);
        operators.spawn(run_operator(repository, operator));
    }
    inject_faults(&platform, &mut ChaCha8Rng::seed_from_u64(seed)).await;
    platform.switch(PlatformSwitch::default());
    let mut record = OperatorRecord::default();
    for other in operators.join_all().await {
        record.applied.extend(other.applied);
        record.effect_unknown.extend(other.effect_unknown);
    }
    finish_run(&platform, &log, &mut record).await;
    let states = hosts.join_all().await;
    check_run(&record, &states, &lock(&log));
    println!(
        "seed {seed}: {HOSTS} hosts, {OPERATORS} operators, calls {:?}",
        platform.counts()
    );
}

/// Applies a last change, which wakes up every host, so that it notices the end of the run.
async fn finish_run(platform: &PlatformStandIn, log: &SharedLog, record: &mut OperatorRecord) {
    let stored = platform.read(KEY).value;
    let newest = ConfigurationEnvelope::parse(&stored)
        .expect("the store contains a valid configuration")
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
        .expect("no operator is active any more");
    let result = (end.change.generation, Instant::now());
    record.applied.insert(end.change.operation_id, result);
}

fn check_run(record: &OperatorRecord, states: &[ConfigurationState], log: &AdoptionLog) {
    assert_eq!(
        record.applied.len(),
        (OPERATORS * CHANGES_PER_OPERATOR) as usize + 1
    );
    let generations: BTreeSet<u64> = record.applied.values().map(|result| result.0).collect();
    assert_eq!(
        generations.len(),
        record.applied.len(),
        "two changes have the same generation"
    );
    for (operation_id, (generation, _)) in &record.applied {
        let recorded = log.recorded.get(operation_id);
        assert_eq!(recorded, Some(generation), "a change was lost");
    }
    for operation_id in log.recorded.keys() {
        let is_reported = record.applied.contains_key(operation_id);
        let is_effect_unknown = record.effect_unknown.contains(operation_id);
        assert!(
            is_reported || is_effect_unknown,
            "a change took effect although its operator was told that it did not"
        );
    }
    for state in states {
        assert_eq!(Some(&state.generation()), generations.last());
        assert_eq!(state.counts().conflicting, 0);
    }
    println!(
        "changes: {}, unknown: {}",
        record.applied.len(),
        record.effect_unknown.len()
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
        run_deployment(inject_random_faults, seed).await;
    }
}

/// Switches between random outages, delays, rate limits and lost replies.
async fn inject_random_faults(platform: &PlatformStandIn, rng: &mut ChaCha8Rng) {
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

/// Prints the delays from the result of a change to its adoption by each host.
fn report_delays(record: &OperatorRecord, adoptions: &[(u64, Instant)]) {
    let result_times: BTreeMap<u64, Instant> = record.applied.values().copied().collect();
    let mut delays = Vec::new();
    for (generation, adopted) in adoptions {
        if let Some(result_time) = result_times.get(generation) {
            delays.push(adopted.saturating_duration_since(*result_time));
        }
    }
    delays.sort_unstable();
    let percentile = |percent: usize| delays[(delays.len() - 1) * percent / 100];
    println!(
        "{} delays: p50 {:?}, p99 {:?}, max {:?}",
        delays.len(),
        percentile(50),
        percentile(99),
        percentile(100)
    );
}
