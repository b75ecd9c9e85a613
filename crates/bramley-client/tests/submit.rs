//! Tests of submissions against a fake entry host.

mod support;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bramley_client::{CallerClient, ClientError, ClientOptions, JobSpec, JobState};
use bramley_wire::caller::{JobRequest, TaskSpec};
use insta::assert_debug_snapshot;
use support::{FakeEntryHost, ReceivedJob, ScriptedResponse, report};
use tokio::net::TcpSocket;

fn job() -> JobSpec {
    let mut tasks = Vec::new();
    for payload in ["pitch 7", "pitch 8"] {
        tasks.push(TaskSpec {
            payload: payload.to_owned(),
            ..TaskSpec::default()
        });
    }
    JobSpec {
        class: "hold".into(),
        tasks,
        ..JobSpec::default()
    }
}

fn assert_identical_bodies(jobs: &[ReceivedJob], expected_count: usize) {
    assert_eq!(jobs.len(), expected_count);
    for job in jobs {
        assert_eq!(job.body, jobs[0].body);
    }
}

#[tokio::test]
async fn resubmission_keeps_ticket_and_body() {
    let unreachable = report("owner_unreachable", "same_ticket", "undetermined", 1);
    let script = [
        ScriptedResponse::ConnectionClosed,
        ScriptedResponse::Malformed,
        ScriptedResponse::Failed(unreachable),
        ScriptedResponse::Running,
    ];
    let host = FakeEntryHost::start(script).await;
    let client = CallerClient::new(host.options());
    let answer = client.submit(job()).await;
    assert_debug_snapshot!(answer);
    assert_identical_bodies(&host.jobs(), 5);
}

#[tokio::test]
async fn resubmission_may_go_to_another_host() {
    let unreachable = report("owner_unreachable", "same_ticket", "undetermined", 1);
    let script = vec![ScriptedResponse::Failed(unreachable); 2];
    let first = FakeEntryHost::start(script.clone()).await;
    let second = FakeEntryHost::start(script).await;
    let client = CallerClient::new(ClientOptions {
        entry_addresses: vec![first.address, second.address],
        ..first.options()
    });
    let answer = client.submit(job()).await.expect("a complete job");
    let mut jobs = first.jobs();
    jobs.extend(second.jobs());
    assert!(!first.jobs().is_empty());
    assert!(!second.jobs().is_empty());
    let request: JobRequest = serde_json::from_slice(&jobs[0].body).expect("a job request");
    assert_eq!(request.ticket, *answer.ticket);
    let submissions = jobs.len();
    assert_identical_bodies(&jobs, submissions);
}

#[tokio::test]
async fn crossed_answers_are_refused_and_not_repeated() {
    for scripted in [
        ScriptedResponse::OtherTicket,
        ScriptedResponse::MissingResult,
    ] {
        let host = FakeEntryHost::start([scripted]).await;
        let client = CallerClient::new(host.options());
        let error = client
            .submit(job())
            .await
            .expect_err("a response to another request");
        assert!(
            matches!(error, ClientError::MismatchedAnswer { .. }),
            "{error}"
        );
        assert_eq!(host.jobs().len(), 1);
    }
}

#[tokio::test]
async fn stated_time_is_kept() {
    let refused = report("quota_exceeded", "same_ticket", "not_run", 150);
    let host = FakeEntryHost::start([ScriptedResponse::Failed(refused)]).await;
    let client = CallerClient::new(host.options());
    client.submit(job()).await.expect("a complete job");
    let jobs = host.jobs();
    assert_identical_bodies(&jobs, 2);
    assert!(jobs[1].at - jobs[0].at >= Duration::from_millis(150));
}

#[tokio::test]
async fn stated_time_past_the_deadline_ends_the_request_at_once() {
    let refused = report("quota_exceeded", "same_ticket", "not_run", 3_600_000);
    let host = FakeEntryHost::start([ScriptedResponse::Failed(refused.clone())]).await;
    let client = CallerClient::new(host.options());
    let error = client.submit(job()).await.expect_err("a refusal");
    let ClientError::Failed { report, .. } = error else {
        panic!("{error}");
    };
    assert_eq!(*report, refused);
    assert_eq!(host.jobs().len(), 1);
}

#[tokio::test]
async fn job_that_may_have_run_is_not_repeated() {
    for (retry, execution) in [
        ("new_ticket", "may_have_run"),
        ("same_ticket", "may_have_run"),
        ("new_ticket", "undetermined"),
        ("never", "not_run"),
        ("some_other_word", "not_run"),
    ] {
        let failed = report("unknown_outcome", retry, execution, 1);
        let host = FakeEntryHost::start([ScriptedResponse::Failed(failed.clone())]).await;
        let client = CallerClient::new(host.options());
        let error = client.submit(job()).await.expect_err("a failed job");
        let ClientError::Failed { report, .. } = error else {
            panic!("{error}");
        };
        assert_eq!(*report, failed);
        assert_eq!(host.jobs().len(), 1);
    }
}

#[tokio::test]
async fn job_that_did_not_run_takes_another_ticket() {
    let full = report("queue_full", "new_ticket", "not_run", 100);
    let host = FakeEntryHost::start([ScriptedResponse::Failed(full)]).await;
    let client = CallerClient::new(host.options());
    client.submit(job()).await.expect("a complete job");
    let jobs = host.jobs();
    assert_eq!(jobs.len(), 2);
    assert_ne!(jobs[0].ticket, jobs[1].ticket);
    assert!(jobs[1].at - jobs[0].at >= Duration::from_millis(100));
}

#[tokio::test]
async fn refusal_that_names_no_ticket_is_no_ground_for_another() {
    let draining = report("draining", "new_ticket", "not_run", 1);
    let host = FakeEntryHost::start([ScriptedResponse::FailedWithoutTicket(draining)]).await;
    let client = CallerClient::new(host.options());
    client.submit(job()).await.expect("a complete job");
    assert_identical_bodies(&host.jobs(), 2);
}

#[tokio::test]
async fn silent_connection_is_replaced() {
    let host = FakeEntryHost::start([ScriptedResponse::Silent]).await;
    let client = CallerClient::new(ClientOptions {
        attempt_timeout_ms: 100,
        ..host.options()
    });
    client.submit(job()).await.expect("a complete job");
    let jobs = host.jobs();
    assert_identical_bodies(&jobs, jobs.len());
    assert_ne!(jobs[0].connection, jobs[1].connection);
}

#[tokio::test]
async fn host_that_refuses_connections_is_passed_over() {
    let host = FakeEntryHost::start([]).await;
    let (_socket, refusing_address) = reserve_refusing_address();
    let client = CallerClient::new(ClientOptions {
        entry_addresses: vec![refusing_address, host.address],
        ..host.options()
    });
    for _ in 0..4 {
        client.submit(job()).await.expect("a complete job");
    }
    assert_eq!(host.jobs().len(), 4);
}

#[tokio::test]
async fn request_without_any_host_does_not_run() {
    let (_socket, refusing_address) = reserve_refusing_address();
    let client = CallerClient::new(ClientOptions {
        entry_addresses: vec![refusing_address],
        request_timeout_ms: 100,
        ..ClientOptions::default()
    });
    let error = client.submit(job()).await.expect_err("no reachable host");
    assert!(matches!(error, ClientError::NoTicket { .. }), "{error}");
    let client = CallerClient::new(ClientOptions::default());
    let error = client.submit(job()).await.expect_err("no host address");
    assert_eq!(error, ClientError::NoEntryHost);
}

#[tokio::test]
async fn lost_answers_until_the_deadline_leave_the_request_undetermined() {
    let host = FakeEntryHost::start(vec![ScriptedResponse::ConnectionClosed; 1_000]).await;
    let client = CallerClient::new(ClientOptions {
        request_timeout_ms: 200,
        ..host.options()
    });
    let error = client.submit(job()).await.expect_err("no response");
    let ClientError::Undetermined { ticket, .. } = error else {
        panic!("{error}");
    };
    let jobs = host.jobs();
    assert_eq!(jobs[0].ticket, *ticket);
    assert_identical_bodies(&jobs, jobs.len());
}

#[tokio::test]
async fn concurrent_jobs_use_different_tickets_in_blocks() {
    const JOB_COUNT: usize = 100;
    let host = FakeEntryHost::start([]).await;
    let client = CallerClient::new(host.options());
    let mut calls = Vec::new();
    for _ in 0..JOB_COUNT {
        let client = client.clone();
        calls.push(tokio::spawn(async move { client.submit(job()).await }));
    }
    let mut tickets = BTreeSet::new();
    for call in calls {
        let answer = call
            .await
            .expect("a finished task")
            .expect("a complete job");
        tickets.insert(answer.ticket);
    }
    assert_eq!(tickets.len(), JOB_COUNT);
    assert!(host.ticket_requests() < 50);
}

#[tokio::test]
async fn questions_and_cancellations_return_the_state() {
    let host = FakeEntryHost::start([]).await;
    let client = CallerClient::new(host.options());
    let queried = client.query("ticket-1").await.expect("a response");
    assert_eq!(queried, JobState::Running);
    let cancelled = client.cancel("ticket-1").await.expect("a response");
    assert_debug_snapshot!(cancelled);
}

/// Returns an address that refuses connections while the returned socket is kept: the socket is
/// bound but not listening.
fn reserve_refusing_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    (socket, address)
}
