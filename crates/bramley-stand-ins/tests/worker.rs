//! Tests of the worker stand-in.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bramley_stand_ins::{WorkerMode, WorkerOptions, WorkerStandIn};
use bramley_wire::worker::{LedgerReply, StartReply, StartRequest, StopRequest, WorkerSwitch};
use hyper::StatusCode;
use insta::assert_debug_snapshot;
use support::TestConnection;
use tokio::task::JoinHandle;

/// Run time of tasks that only end when stopped, in milliseconds.
const ENDLESS_MS: u64 = 3_600_000;
/// Polling interval for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for a condition.
const POLL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a response after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

fn task_request(task: &str, payload: &str) -> StartRequest {
    StartRequest {
        task: task.to_owned(),
        attempt: 1,
        team: "booking".to_owned(),
        class: "hold".to_owned(),
        payload: payload.to_owned(),
        ..StartRequest::default()
    }
}

fn endless_request(task: &str) -> StartRequest {
    task_request(task, &format!(r#"{{"run_ms":{ENDLESS_MS}}}"#))
}

async fn start_task(address: SocketAddr, request: &StartRequest) -> (StatusCode, StartReply) {
    let mut connection = TestConnection::open(address).await;
    connection.send_json("POST", "/tasks", request).await
}

fn spawn_task(address: SocketAddr, request: StartRequest) -> JoinHandle<(StatusCode, StartReply)> {
    tokio::spawn(async move { start_task(address, &request).await })
}

async fn wait_until(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(POLL_TIMEOUT, polling)
        .await
        .expect("the condition holds before the timeout");
}

#[tokio::test]
async fn outcomes_follow_the_payload() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    let address = worker.address();
    let mut replies = Vec::new();
    for (task, payload) in [
        ("a", r#"{"run_ms":1,"echo":"pitch 7"}"#),
        ("b", r#"{"run_ms":1,"fail":true}"#),
        ("c", r#"{"run_sm":1}"#),
    ] {
        replies.push(start_task(address, &task_request(task, payload)).await);
    }
    assert_debug_snapshot!((replies, worker.ledger()));
}

#[tokio::test]
async fn second_start_of_a_task_runs_and_is_counted() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    let request = task_request("a", "{}");
    for _ in 0..2 {
        let (status, reply) = start_task(worker.address(), &request).await;
        assert_eq!(
            (status, reply.status.as_str()),
            (StatusCode::OK, "finished")
        );
    }
    assert_eq!(worker.ledger().entries[0].starts, 2);
}

#[tokio::test]
async fn refusals_start_nothing() {
    let options = WorkerOptions {
        slots: 2,
        accelerators: 1,
        refuse_new_when_leaving: true,
        ..WorkerOptions::default()
    };
    let worker = WorkerStandIn::start(options)
        .await
        .expect("the stand-in starts");
    let address = worker.address();
    let mut replies = Vec::new();

    let with_accelerators = |task: &str, accelerators| StartRequest {
        accelerators,
        ..endless_request(task)
    };
    let first = spawn_task(address, with_accelerators("first", 1));
    wait_until(|| worker.running() == 1).await;
    replies.push(start_task(address, &with_accelerators("accelerator taken", 1)).await);
    replies.push(start_task(address, &with_accelerators("too large", 2)).await);
    let second = spawn_task(address, endless_request("second"));
    wait_until(|| worker.running() == 2).await;
    replies.push(start_task(address, &endless_request("slots taken")).await);
    let late = StartRequest {
        start_before_unix_ms: 1,
        ..endless_request("late")
    };
    replies.push(start_task(address, &late).await);
    worker.switch(WorkerMode::RefuseAll, 0);
    replies.push(start_task(address, &endless_request("refused")).await);
    worker.switch(WorkerMode::Leaving, 0);
    replies.push(start_task(address, &endless_request("left")).await);

    assert_debug_snapshot!((replies, worker.ledger(), worker.refusals()));
    first.abort();
    second.abort();
}

#[tokio::test]
async fn stopped_task_fails_and_frees_its_slot() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    let start = spawn_task(worker.address(), endless_request("a"));
    wait_until(|| worker.running() == 1).await;
    let mut connection = TestConnection::open(worker.address()).await;
    let request = StopRequest {
        task: "a".to_owned(),
    };
    let (status, _) = connection
        .send("POST", "/tasks/stop", &request)
        .await
        .expect("the request is answered");
    assert_eq!(status, StatusCode::OK);
    let (status, reply) = start.await.expect("the task start completes");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(
        (reply.status.as_str(), reply.output.as_str()),
        ("failed", "stopped")
    );
    assert_eq!(worker.running(), 0);
    assert!(!worker.ledger().entries[0].finished);
}

#[tokio::test]
async fn task_outlives_its_connection() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    let start = spawn_task(worker.address(), task_request("a", r#"{"run_ms":300}"#));
    wait_until(|| worker.running() == 1).await;
    start.abort();
    wait_until(|| worker.ledger().entries[0].finished).await;
}

#[tokio::test]
async fn failing_worker_counts_its_starts() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    worker.switch(WorkerMode::FailAll, 0);
    let (status, reply) = start_task(worker.address(), &endless_request("a")).await;
    assert_eq!((status, reply.status.as_str()), (StatusCode::OK, "failed"));
    let entry = &worker.ledger().entries[0];
    assert_eq!((entry.starts, entry.finished), (1, false));
}

#[tokio::test]
async fn leaving_worker_counts_what_it_still_starts() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    let (_, reply) = start_task(worker.address(), &task_request("a", "{}")).await;
    assert!(!reply.leaving);
    worker.switch(WorkerMode::Leaving, 0);
    let (_, reply) = start_task(worker.address(), &task_request("b", "{}")).await;
    assert!(reply.leaving);
    assert_eq!(worker.ledger().started_while_leaving, 1);
}

#[tokio::test]
async fn silent_connections_stay_silent_and_their_tasks_run() {
    let worker = WorkerStandIn::start(WorkerOptions::default())
        .await
        .expect("the stand-in starts");
    let address = worker.address();
    let mut old_connection = TestConnection::open(address).await;
    let mut control_connection = TestConnection::open(address).await;
    let (_, ledger) = old_connection
        .send_json::<LedgerReply>("GET", "/ledger", &())
        .await;
    assert_eq!(ledger.entries.len(), 0);

    set_mode(&mut control_connection, "silent").await;
    expect_silence(&mut old_connection, "a").await;
    let mut silent_connection = TestConnection::open(address).await;
    expect_silence(&mut silent_connection, "b").await;
    set_mode(&mut control_connection, "healthy").await;
    let (_, reply) = start_task(address, &task_request("c", "{}")).await;
    assert_eq!(reply.status, "finished");

    let mut open_connection = TestConnection::open(address).await;
    open_connection
        .send_json::<StartReply>("POST", "/tasks", &task_request("d", "{}"))
        .await;
    set_mode(&mut control_connection, "silent_open").await;
    expect_silence(&mut open_connection, "e").await;
    let (_, reply) = start_task(address, &task_request("f", "{}")).await;
    assert_eq!(reply.status, "finished");

    wait_until(|| worker.running() == 0).await;
    let ledger = worker.ledger();
    let tasks: Vec<&str> = ledger
        .entries
        .iter()
        .map(|entry| entry.task.as_str())
        .collect();
    assert_eq!(tasks, ["a", "b", "c", "d", "e", "f"]);
}

async fn set_mode(control_connection: &mut TestConnection, mode: &str) {
    let switch = WorkerSwitch {
        mode: mode.to_owned(),
        run_time_percent: 0,
    };
    let (status, _) = control_connection
        .send("POST", "/switch", &switch)
        .await
        .expect("the request is answered");
    assert_eq!(status, StatusCode::OK);
}

async fn expect_silence(connection: &mut TestConnection, task: &str) {
    let request = task_request(task, "{}");
    let call = connection.send("POST", "/tasks", &request);
    let result = tokio::time::timeout(SILENCE_TIMEOUT, call).await;
    assert!(result.is_err(), "{result:?}");
}
