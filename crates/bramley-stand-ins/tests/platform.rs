//! Tests of the platform stand-in.

mod support;

use std::time::Duration;

use bramley_stand_ins::{PlatformCounts, PlatformOptions, PlatformStandIn};
use bramley_wire::platform::{
    KeyValue, PlatformSwitch, PutReply, PutRequest, WorkerList, WorkerRecord, WorkerStateChange,
};
use hyper::StatusCode;
use insta::assert_debug_snapshot;
use support::TestConnection;

/// Wait of a watch that is expected to end with a change, in milliseconds.
const LONG_WAIT_MS: u64 = 30_000;
/// Polling interval for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for a condition.
const POLL_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of the worker list that passes during a test, in milliseconds.
const SHORT_LAG_MS: u64 = 20;
/// Delay of the worker list that is longer than any test, in milliseconds.
const LONG_LAG_MS: u64 = 3_600_000;

async fn start_platform() -> (PlatformStandIn, TestConnection) {
    let platform = PlatformStandIn::start(PlatformOptions::default())
        .await
        .expect("the stand-in starts");
    let connection = TestConnection::open(platform.address()).await;
    (platform, connection)
}

async fn put(
    connection: &mut TestConnection,
    key: &str,
    value: &str,
    expected_revision: u64,
    lease_ms: u64,
) -> PutReply {
    let request = PutRequest {
        value: value.to_owned(),
        expected_revision,
        lease_ms,
    };
    let path = format!("/kv/{key}");
    let (status, reply) = connection.send_json("PUT", &path, &request).await;
    assert_eq!(status, StatusCode::OK);
    reply
}

async fn get(connection: &mut TestConnection, path: &str) -> KeyValue {
    let (status, value) = connection.send_json("GET", path, &()).await;
    assert_eq!(status, StatusCode::OK);
    value
}

#[tokio::test]
async fn write_applies_only_at_the_expected_revision() {
    let (_platform, mut connection) = start_platform().await;
    let replies = [
        put(&mut connection, "a", "1", 7, 0).await,
        put(&mut connection, "a", "1", 0, 0).await,
        put(&mut connection, "a", "2", 0, 0).await,
        put(&mut connection, "b", "1", 0, 0).await,
        put(&mut connection, "a", "2", 1, 0).await,
    ];
    assert_debug_snapshot!(replies);
}

#[tokio::test]
async fn watch_sees_a_write_and_the_end_of_a_lease() {
    let (platform, mut connection) = start_platform().await;
    let address = platform.address();
    let watch = tokio::spawn(async move {
        let mut watcher = TestConnection::open(address).await;
        let path = format!("/kv/a?after=0&wait_ms={LONG_WAIT_MS}");
        let created = get(&mut watcher, &path).await;
        let path = format!("/kv/a?after={}&wait_ms={LONG_WAIT_MS}", created.revision);
        let ended = get(&mut watcher, &path).await;
        (created, ended)
    });
    while platform.counts().watches == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let first = put(&mut connection, "a", "1", 0, 500).await;
    let (created, ended) = watch.await.expect("the watch task completes");
    assert_eq!(Some(created), first.current);
    assert_eq!(ended, KeyValue::default());

    let second = put(&mut connection, "a", "1", 0, 0).await;
    let revisions = (first.current, second.current);
    let (Some(first), Some(second)) = revisions else {
        panic!("a reply to a write lacks the current value: {revisions:?}");
    };
    assert!(second.revision > first.revision);
}

#[tokio::test]
async fn watch_without_a_change_returns_the_known_value() {
    let (_platform, mut connection) = start_platform().await;
    put(&mut connection, "a", "1", 0, 0).await;
    let value = get(&mut connection, "/kv/a?after=1&wait_ms=20").await;
    assert_eq!((value.value.as_str(), value.revision), ("1", 1));
}

#[tokio::test]
async fn outage_refuses_calls_and_waiting_watches() {
    let (platform, mut connection) = start_platform().await;
    let address = platform.address();
    let watch = tokio::spawn(async move {
        let mut watcher = TestConnection::open(address).await;
        let path = format!("/kv/a?after=0&wait_ms={LONG_WAIT_MS}");
        watcher
            .send("GET", &path, &())
            .await
            .expect("the request is answered")
            .0
    });
    while platform.counts().watches == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    platform.switch(PlatformSwitch {
        down: true,
        ..PlatformSwitch::default()
    });
    assert_eq!(
        watch.await.expect("the watch task completes"),
        StatusCode::SERVICE_UNAVAILABLE
    );
    let request = PutRequest::default();
    for (method, path) in [("GET", "/kv/a"), ("PUT", "/kv/a"), ("GET", "/workers")] {
        let response = connection.send(method, path, &request).await;
        assert_eq!(
            response.expect("the request is answered").0,
            StatusCode::SERVICE_UNAVAILABLE
        );
    }
    assert_eq!(platform.read("a").revision, 0);
}

#[tokio::test]
async fn lost_answer_follows_an_applied_write() {
    let (platform, mut connection) = start_platform().await;
    platform.switch(PlatformSwitch {
        lose_answer_percent: 100,
        ..PlatformSwitch::default()
    });
    let request = PutRequest {
        value: "1".to_owned(),
        ..PutRequest::default()
    };
    let response = connection.send("PUT", "/kv/a", &request).await;
    assert!(response.is_err(), "{response:?}");
    assert_eq!(platform.read("a").value, "1");
    assert_eq!(platform.counts().lost_answers, 1);
}

#[tokio::test]
async fn calls_over_the_rate_are_refused_and_counted() {
    let (platform, mut connection) = start_platform().await;
    let switch = PlatformSwitch {
        calls_per_second: 1,
        ..PlatformSwitch::default()
    };
    let switched = connection.send("POST", "/switch", &switch).await;
    assert_eq!(switched.expect("the request is answered").0, StatusCode::OK);
    let polling = async {
        loop {
            let response = connection.send("GET", "/kv/a", &()).await;
            if response.expect("the request is answered").0 == StatusCode::TOO_MANY_REQUESTS {
                break;
            }
        }
    };
    tokio::time::timeout(POLL_TIMEOUT, polling)
        .await
        .expect("a request is refused before the timeout");
    let (_, counts) = connection
        .send_json::<PlatformCounts>("GET", "/counts", &())
        .await;
    assert_eq!(counts, platform.counts());
    assert_eq!(counts.refused_rate, 1);
}

async fn start_platform_with_worker(list_lag_ms: u64) -> (PlatformStandIn, TestConnection) {
    let options = PlatformOptions {
        list_lag_ms,
        workers: vec![WorkerRecord {
            name: "worker-1".to_owned(),
            state: "live".to_owned(),
            ..WorkerRecord::default()
        }],
        ..PlatformOptions::default()
    };
    let platform = PlatformStandIn::start(options)
        .await
        .expect("the stand-in starts");
    let connection = TestConnection::open(platform.address()).await;
    (platform, connection)
}

async fn change_state(connection: &mut TestConnection, name: &str, state: &str) -> StatusCode {
    let change = WorkerStateChange {
        name: name.to_owned(),
        state: state.to_owned(),
    };
    let response = connection.send("POST", "/workers/state", &change).await;
    response.expect("the request is answered").0
}

async fn list_workers(connection: &mut TestConnection) -> WorkerList {
    connection.send_json("GET", "/workers", &()).await.1
}

#[tokio::test]
async fn change_of_the_worker_list_shows_after_the_lag() {
    let (_platform, mut connection) = start_platform_with_worker(SHORT_LAG_MS).await;
    let statuses = [
        change_state(&mut connection, "worker-9", "leaving").await,
        change_state(&mut connection, "worker-1", "gone").await,
        change_state(&mut connection, "worker-1", "leaving").await,
    ];
    let expected = [
        StatusCode::NOT_FOUND,
        StatusCode::BAD_REQUEST,
        StatusCode::OK,
    ];
    assert_eq!(statuses, expected);
    let polling = async {
        while list_workers(&mut connection).await.revision == 1 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(POLL_TIMEOUT, polling)
        .await
        .expect("the change is visible before the timeout");
    let list = list_workers(&mut connection).await;
    assert_eq!(list.workers[0].state, "leaving");
}

#[tokio::test]
async fn change_of_the_worker_list_is_hidden_during_the_lag() {
    let (_platform, mut connection) = start_platform_with_worker(LONG_LAG_MS).await;
    let status = change_state(&mut connection, "worker-1", "removed").await;
    assert_eq!(status, StatusCode::OK);
    let list = list_workers(&mut connection).await;
    assert_eq!((list.revision, list.workers.len()), (1, 1));
}

#[tokio::test]
async fn restored_store_returns_older_values_and_revisions() {
    let (platform, mut connection) = start_platform().await;
    put(&mut connection, "a", "old", 0, 0).await;
    let snapshot = platform.snapshot();
    put(&mut connection, "a", "new", 1, 0).await;
    platform.restore(snapshot);
    let value = get(&mut connection, "/kv/a?after=2&wait_ms=30000").await;
    assert_eq!((value.value.as_str(), value.revision), ("old", 1));
}
