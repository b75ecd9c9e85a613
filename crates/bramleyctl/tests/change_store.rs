//! Configuration changes with concurrent operators and a failing store.

use std::collections::BTreeSet;
use std::time::Duration;

use bramley_core::configuration::{
    ConfigurationEnvelope, DeploymentConfiguration, TeamConfiguration,
};
use bramley_core::names::{DomainName, TeamName};
use bramley_stand_ins::{PlatformOptions, PlatformStandIn};
use bramley_store::{StoreClient, StoreSettings};
use bramley_wire::platform::PlatformSwitch;
use bramleyctl::change::{AppliedChange, ApplyFailure, ChangeRequest, apply_change};
use bramleyctl::error::CommandError;
use bramleyctl::repository::ConfigurationRepository;
use tokio::time::Instant;

const KEY: &str = "bramley/configuration";

async fn start_platform(seed: u64) -> PlatformStandIn {
    let options = PlatformOptions {
        seed,
        ..PlatformOptions::default()
    };
    PlatformStandIn::start(options).await.expect("a free port")
}

fn open(platform: &PlatformStandIn, response_timeout_ms: u64) -> ConfigurationRepository {
    let settings = StoreSettings {
        address: platform.address(),
        response_timeout_ms,
        ..StoreSettings::default()
    };
    ConfigurationRepository::new(StoreClient::new(settings), KEY)
}

fn document(weight: u32) -> DeploymentConfiguration {
    DeploymentConfiguration {
        deployment: String::from("test"),
        failure_domains: vec![DomainName::from("north")],
        teams: vec![TeamConfiguration {
            name: TeamName::from("booking"),
            weight,
            ..TeamConfiguration::default()
        }],
        ..DeploymentConfiguration::default()
    }
}

fn request(author: &str, base: Option<u64>, weight: u32) -> ChangeRequest {
    ChangeRequest {
        author: String::from(author),
        base,
        document: document(weight),
        host_generation: 0,
        time_limit: Duration::from_secs(60),
    }
}

async fn apply(repository: &ConfigurationRepository, base: u64, weight: u32) -> AppliedChange {
    let change = apply_change(repository, request("first", Some(base), weight)).await;
    change.expect("the change is applied")
}

fn stored(platform: &PlatformStandIn) -> ConfigurationEnvelope {
    let value = platform.read(KEY).value;
    ConfigurationEnvelope::parse(&value).expect("the store contains a valid configuration")
}

#[tokio::test]
async fn one_of_several_operators_wins_and_the_others_learn_what_changed() {
    let platform = start_platform(1).await;
    let repository = open(&platform, 5_000);
    let base = apply(&repository, 0, 1).await.change.generation;
    let mut operators = Vec::new();
    for index in 0..8_u32 {
        let repository = open(&platform, 5_000);
        let request = request(&format!("operator-{index}"), Some(base), 10 + index);
        operators.push(tokio::spawn(async move {
            apply_change(&repository, request).await
        }));
    }
    let mut winners = Vec::new();
    let mut failures = Vec::new();
    for operator in operators {
        match operator.await.expect("the operator's task ends") {
            Ok(applied) => winners.push(applied.change),
            Err(failure) => failures.push(failure),
        }
    }
    assert_eq!(winners, vec![stored(&platform).change]);
    assert_eq!(failures.len(), 7);
    for failure in failures {
        assert_conflict(&failure, &winners[0].author);
    }
}

fn assert_conflict(failure: &ApplyFailure, winner: &str) {
    match &failure.error {
        CommandError::Conflict { author, .. } => assert_eq!(author, winner),
        other => panic!("expected a conflict: {other}"),
    }
    assert!(failure.stored.is_some());
}

#[tokio::test]
async fn a_change_says_what_it_replaces() {
    let platform = start_platform(1).await;
    let repository = open(&platform, 5_000);
    let first = apply(&repository, 0, 1).await.change.generation;
    let failure = apply_change(&repository, request("second", None, 2)).await;
    let failure = failure.expect_err("no base was given");
    assert!(
        matches!(failure.error, CommandError::MissingBase { generation } if generation == first)
    );
    let second = apply(&repository, first, 2).await.change.generation;
    assert!(second > first);
    let deadline = Instant::now() + Duration::from_secs(10);
    let history = repository
        .read_history(deadline)
        .await
        .expect("the store answers");
    assert_eq!(history.len(), 1);
    assert_eq!(history[0].generation(), first);
    assert_eq!(stored(&platform).earlier[0].generation, first);
}

#[tokio::test]
async fn lost_answers_are_resolved_to_the_truth() {
    for seed in 1..=4 {
        let platform = start_platform(seed).await;
        let repository = open(&platform, 5_000);
        platform.switch(PlatformSwitch {
            lose_answer_percent: 50,
            ..PlatformSwitch::default()
        });
        let mut base = 0;
        let mut operations = BTreeSet::new();
        let mut attempts = 0;
        for weight in 1..=10 {
            let applied = apply(&repository, base, weight).await;
            base = applied.change.generation;
            attempts += applied.attempts;
            operations.insert(applied.change.operation_id);
        }
        assert!(attempts > 10, "seed {seed}: no answer was lost");
        let envelope = stored(&platform);
        assert_eq!(envelope.document, document(10));
        let mut recorded = BTreeSet::from([envelope.change.operation_id.clone()]);
        recorded.extend(
            envelope
                .earlier
                .iter()
                .map(|change| change.operation_id.clone()),
        );
        assert_eq!(recorded, operations);
        assert_eq!(envelope.earlier.len(), 9, "a change took effect twice");
    }
}

#[tokio::test]
async fn a_store_that_is_down_proves_that_nothing_was_changed() {
    let platform = start_platform(1).await;
    let repository = open(&platform, 5_000);
    let base = apply(&repository, 0, 1).await.change.generation;
    platform.switch(PlatformSwitch {
        down: true,
        ..PlatformSwitch::default()
    });
    let request = ChangeRequest {
        time_limit: Duration::from_millis(500),
        ..request("second", Some(base), 2)
    };
    let failure = apply_change(&repository, request).await;
    let error = failure.expect_err("the store is down").error;
    assert!(matches!(error, CommandError::NotApplied(_)), "{error}");
    assert_eq!(stored(&platform).generation(), base);
}

#[tokio::test]
async fn a_slow_store_leaves_the_effect_unknown_until_it_is_looked_up() {
    let platform = start_platform(1).await;
    let long_timeout = open(&platform, 5_000);
    let base = apply(&long_timeout, 0, 1).await.change.generation;
    let short_timeout = open(&platform, 200);
    let change = tokio::spawn(async move {
        let request = ChangeRequest {
            time_limit: Duration::from_secs(2),
            ..request("second", Some(base), 2)
        };
        apply_change(&short_timeout, request).await
    });
    // Slow the store down only after it has served the reads and stored the history, so that only
    // the write of the configuration times out.
    let history_key = format!("{KEY}-history");
    while platform.read(&history_key).revision == 0 {
        tokio::task::yield_now().await;
    }
    platform.switch(PlatformSwitch {
        delay_ms: 700,
        ..PlatformSwitch::default()
    });
    let result = change.await.expect("the operator's task ends");
    let operation_id = match result {
        // The write completed before the store became slow, which is valid as well.
        Ok(applied) => applied.change.operation_id,
        Err(failure) => match failure.error {
            CommandError::EffectUnknown { operation_id, .. } => operation_id,
            other => panic!("expected an unknown effect: {other}"),
        },
    };
    platform.switch(PlatformSwitch::default());
    let deadline = Instant::now() + Duration::from_secs(60);
    while stored(&platform).find_change(&operation_id).is_none() {
        assert!(
            Instant::now() < deadline,
            "the delayed write never took effect"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        stored(&platform).earlier.len(),
        1,
        "the change took effect twice"
    );
}

#[tokio::test]
async fn a_store_that_was_set_back_is_overtaken() {
    let platform = start_platform(1).await;
    let repository = open(&platform, 5_000);
    let first = apply(&repository, 0, 1).await.change.generation;
    let old = platform.snapshot();
    let second = apply(&repository, first, 2).await.change.generation;
    platform.restore(old);
    let request = ChangeRequest {
        host_generation: second,
        ..request("second", Some(first), 3)
    };
    let applied = apply_change(&repository, request)
        .await
        .expect("the store answers");
    assert!(applied.change.generation > second);
}
