//! Fault injection: reported outcomes stay correct when processes are killed, frozen, shut down
//! or disconnected.

mod support;

use std::time::Duration;

use bramley_wire::caller::{JobReference, JobReply, JobRequest};
use bramley_wire::platform::{PlatformSwitch, WorkerStateChange};
use bramley_wire::worker::{LedgerReply, WorkerSwitch};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use support::{TEAM, TestDeployment, echo_job, echo_results};

const DOMAINS: [&str; 2] = ["north", "south"];

/// Time after which no host may send new tasks to a leaving worker.
const LEAVING_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time after which the connections of an unresponsive worker have been replaced.
const RECONNECT_DELAY: Duration = Duration::from_millis(1_300);

/// Returns the Unix time in milliseconds, `millis` from now.
fn unix_millis_in(millis: u64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after the epoch")
        .as_millis();
    u64::try_from(now).expect("fits in 64 bits") + millis
}

fn failure_code(answer: &JobReply) -> &str {
    answer
        .failure
        .as_ref()
        .map_or("", |failure| failure.code.as_str())
}

fn assert_started_at_most_once(starts: &[(String, u32)]) {
    for (task, count) in starts {
        assert_eq!(*count, 1, "task {task}");
    }
}

async fn set_platform_faults(deployment: &TestDeployment, switch: &PlatformSwitch) {
    let address = deployment.platform.address("address");
    let (status, _) = deployment
        .call(Method::POST, address, "/switch", switch)
        .await;
    assert_eq!(status, StatusCode::OK);
}

async fn set_worker_mode(deployment: &TestDeployment, index: usize, mode: &str) {
    let switch = WorkerSwitch {
        mode: mode.to_owned(),
        ..WorkerSwitch::default()
    };
    let address = deployment.workers[index].process.address("address");
    let (status, _) = deployment
        .call(Method::POST, address, "/switch", &switch)
        .await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_killed_owner_leaves_truth_and_no_second_start() {
    let mut deployment = TestDeployment::start("killed_owner", &DOMAINS, 1, 1).await;
    let ticket = deployment.issue_ticket(0).await;
    let job = echo_job(&ticket, 4, 10_000);
    let owner = deployment.entries[0].callers();
    let body = Bytes::from(serde_json::to_vec(&job).expect("encodes"));
    let (lost, ()) = tokio::join!(
        deployment.try_call(Method::POST, owner, "/v1/jobs", body),
        async {
            deployment
                .wait_for_state(0, |state| state["kernel"]["counters"]["starts"] == 4)
                .await;
            deployment.entries[0].process.signal("KILL");
        }
    );
    assert!(lost.is_none(), "the owner died before it could answer");

    // While the owner is unreachable, the outcome is reported as undetermined.
    let (status, answer) = deployment.submit(1, &job).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(failure_code(&answer), "owner_unreachable");
    let failure = answer.failure.expect("a failure");
    assert_eq!(
        (failure.execution.as_str(), failure.retry.as_str()),
        ("undetermined", "same_ticket")
    );
    assert!(failure.retry_after_ms > 0);

    // A newer incarnation of the same host proves that the owner has ended.
    deployment.replace_entry(0, "north");
    deployment.wait_for_members(2).await;
    for index in 0..2 {
        let (status, answer) = deployment.submit(index, &job).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{answer:?}");
        assert_eq!(failure_code(&answer), "owner_gone");
        assert_eq!(answer.failure.expect("a failure").execution, "may_have_run");
    }
    assert_started_at_most_once(&deployment.starts().await);
}

#[tokio::test]
async fn a_frozen_owner_that_wakes_up_starts_nothing_twice() {
    let deployment = TestDeployment::start("frozen_owner", &DOMAINS, 1, 1).await;
    let ticket = deployment.issue_ticket(0).await;
    let deadline = unix_millis_in(2_000);
    // Twice as many tasks as slots, so that some are still queued when the owner is stopped.
    let job = JobRequest {
        deadline_unix_ms: deadline,
        ..echo_job(&ticket, 32, 1_500)
    };
    let owner = deployment.entries[0].callers();
    let body = Bytes::from(serde_json::to_vec(&job).expect("encodes"));
    let (answer, ()) = tokio::join!(
        deployment.try_call(Method::POST, owner, "/v1/jobs", body),
        async {
            deployment
                .wait_for_state(0, |state| state["kernel"]["counters"]["starts"] != 0)
                .await;
            deployment.entries[0].process.signal("STOP");
            tokio::time::sleep(Duration::from_secs(3)).await;
            deployment.entries[0].process.signal("CONT");
        }
    );
    let (_, body) = answer.expect("the resumed owner answers");
    let answer: JobReply = serde_json::from_slice(&body).expect("an answer");
    assert_eq!(answer.outcome, "failed");
    let failure = answer.failure.expect("a failure");
    let not_run = failure
        .tasks
        .iter()
        .filter(|state| *state == "not_run")
        .count();

    // Tasks that were reported as not run do not start later either.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let starts = deployment.starts().await;
    assert_started_at_most_once(&starts);
    assert!(
        starts.len() + not_run <= 32,
        "{} started, {not_run} not run",
        starts.len()
    );
    let (_, repeated) = deployment.submit(1, &job).await;
    assert_eq!(
        repeated.failure.expect("the answer is kept").tasks,
        failure.tasks
    );
}

#[tokio::test]
async fn a_planned_stop_finishes_what_was_accepted() {
    let mut deployment = TestDeployment::start("planned_stop", &DOMAINS, 1, 1).await;
    let ticket = deployment.issue_ticket(0).await;
    let late_ticket = deployment.issue_ticket(0).await;
    let address = deployment.entries[0].callers();
    let job = echo_job(&ticket, 6, 1_500);
    let ((status, answer), ()) = tokio::join!(deployment.submit_to(address, &job), async {
        deployment
            .wait_for_state(0, |state| state["kernel"]["counters"]["starts"] != 0)
            .await;
        deployment.entries[0].process.signal("TERM");
        deployment
            .wait_for_state(0, |state| state["draining"] == true)
            .await;
        let (health, _) = deployment
            .call_raw(Method::GET, address, "/health", Bytes::new())
            .await;
        assert_eq!(health, StatusCode::SERVICE_UNAVAILABLE);
        // New jobs are refused as not run, here by way of another host.
        let (_, refused) = deployment.submit(1, &echo_job(&late_ticket, 1, 1)).await;
        assert_eq!(failure_code(&refused), "draining");
        let failure = refused.failure.expect("a failure");
        assert_eq!(
            (failure.execution.as_str(), failure.retry.as_str()),
            ("not_run", "new_ticket")
        );
    });
    assert_eq!(
        (status, answer.outcome.as_str()),
        (StatusCode::OK, "complete")
    );
    assert_eq!(answer.results, echo_results(6));
    let status = deployment.entries[0].process.wait();
    assert!(status.success(), "{status}");
    // The owner's final heartbeats announce that it is gone; until they arrive it is unreachable.
    let (_, answer) = deployment.submit(1, &job).await;
    assert!(
        ["owner_gone", "owner_unreachable"].contains(&failure_code(&answer)),
        "{answer:?}"
    );
    assert_started_at_most_once(&deployment.starts().await);
}

#[tokio::test]
async fn a_second_signal_ends_a_planned_stop_with_truthful_answers() {
    let mut deployment = TestDeployment::start("hurried_stop", &DOMAINS[..1], 1, 1).await;
    let ticket = deployment.issue_ticket(0).await;
    let address = deployment.entries[0].callers();
    let job = echo_job(&ticket, 12, 15_000);
    let ((_, answer), ()) = tokio::join!(deployment.submit_to(address, &job), async {
        deployment
            .wait_for_state(0, |state| state["kernel"]["counters"]["starts"] == 8)
            .await;
        deployment.entries[0].process.signal("TERM");
        deployment
            .wait_for_state(0, |state| state["draining"] == true)
            .await;
        deployment.entries[0].process.signal("TERM");
    });
    assert_eq!(failure_code(&answer), "draining");
    let failure = answer.failure.expect("a failure");
    assert_eq!(failure.execution, "may_have_run");
    assert_eq!(
        failure
            .tasks
            .iter()
            .filter(|state| *state == "may_have_run")
            .count(),
        8
    );
    assert_eq!(
        failure
            .tasks
            .iter()
            .filter(|state| *state == "not_run")
            .count(),
        4
    );
    assert!(deployment.entries[0].process.wait().success());
    assert_eq!(deployment.starts().await.len(), 8);
}

#[tokio::test]
async fn silent_connections_lose_nothing_but_what_was_in_flight() {
    let deployment = TestDeployment::start("silent", &DOMAINS[..1], 1, 1).await;
    // The first job opens connections. The worker then stops responding on these but serves new
    // ones.
    let ticket = deployment.issue_ticket(0).await;
    let (status, _) = deployment.submit(0, &echo_job(&ticket, 8, 20)).await;
    assert_eq!(status, StatusCode::OK);
    set_worker_mode(&deployment, 0, "silent_open").await;

    let ticket = deployment.issue_ticket(0).await;
    let deadline = unix_millis_in(3_000);
    let lost = JobRequest {
        deadline_unix_ms: deadline,
        ..echo_job(&ticket, 1, 20)
    };
    let next_ticket = deployment.issue_ticket(0).await;
    let ((_, answer), (status, next_answer)) = tokio::join!(deployment.submit(0, &lost), async {
        // After detection, new attempts open new connections, although the other unresponsive
        // ones are still pooled and the first request is still waiting.
        tokio::time::sleep(RECONNECT_DELAY).await;
        deployment.submit(0, &echo_job(&next_ticket, 4, 20)).await
    });
    assert_eq!(
        (status, next_answer.outcome.as_str()),
        (StatusCode::OK, "complete")
    );
    let failure = answer
        .failure
        .expect("the unresponsive connection gives no reply");
    assert_eq!(failure.tasks, ["may_have_run"]);
    assert_started_at_most_once(&deployment.starts().await);
}

#[tokio::test]
async fn an_outage_of_the_platform_stops_keys_but_not_tickets() {
    let mut deployment = TestDeployment::start("outage", &DOMAINS, 1, 1).await;
    let down = PlatformSwitch {
        down: true,
        ..PlatformSwitch::default()
    };
    set_platform_faults(&deployment, &down).await;

    let ticket = deployment.issue_ticket(0).await;
    let (status, _) = deployment.submit(1, &echo_job(&ticket, 3, 10)).await;
    assert_eq!(status, StatusCode::OK);
    let keyed = JobRequest {
        key: "kiosk-9".to_owned(),
        ..echo_job("", 1, 10)
    };
    let (status, refused) = deployment.submit(0, &keyed).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(failure_code(&refused), "store_unavailable");
    assert!(refused.failure.expect("a failure").retry_after_ms > 0);

    // A host that starts during the outage gets the configuration and the worker list from its
    // peers.
    deployment.start_entry("north-1", "north");
    deployment.wait_for_members(3).await;
    let ticket = deployment.issue_ticket(2).await;
    let (status, answer) = deployment.submit(2, &echo_job(&ticket, 3, 10)).await;
    assert_eq!(
        (status, answer.outcome.as_str()),
        (StatusCode::OK, "complete")
    );

    // After the outage the key can be used, and the refused submission has not run.
    set_platform_faults(&deployment, &PlatformSwitch::default()).await;
    let (status, _) = deployment.submit(1, &keyed).await;
    assert_eq!(status, StatusCode::OK);
    let starts = deployment.starts().await;
    assert_eq!(starts.len(), 7);
    assert_started_at_most_once(&starts);
}

#[tokio::test]
async fn lost_answers_of_the_store_bind_a_key_once() {
    let deployment = TestDeployment::start("lost_answers", &DOMAINS, 1, 1).await;
    let lossy = PlatformSwitch {
        lose_answer_percent: 100,
        ..PlatformSwitch::default()
    };
    set_platform_faults(&deployment, &lossy).await;
    for number in 0..5 {
        let key = format!("wallet-{number}");
        let job = JobRequest {
            key,
            ..echo_job("", 1, 10)
        };
        let (first, second) = tokio::join!(deployment.submit(0, &job), deployment.submit(1, &job));
        for (status, answer) in [first, second] {
            assert_eq!(
                (status, answer.outcome.as_str()),
                (StatusCode::OK, "complete"),
                "{answer:?}"
            );
        }
    }
    let starts = deployment.starts().await;
    assert_eq!(starts.len(), 5);
    assert_started_at_most_once(&starts);
}

#[tokio::test]
async fn a_refused_key_stays_refused() {
    let deployment = TestDeployment::start("refused_key", &DOMAINS, 1, 1).await;
    let late = JobRequest {
        key: "phone-18".to_owned(),
        deadline_unix_ms: 1,
        ..echo_job("", 1, 10)
    };
    let (_, refused) = deployment.submit(0, &late).await;
    let failure = refused.failure.expect("a failure");
    assert_eq!(
        (failure.code.as_str(), failure.execution.as_str()),
        ("deadline_passed", "not_run")
    );
    // A delayed copy must not run after the caller was told that the job did not run.
    let copy = JobRequest {
        deadline_unix_ms: 0,
        ..late
    };
    for host in [0, 1] {
        let (_, refused) = deployment.submit(host, &copy).await;
        assert_eq!(failure_code(&refused), "refused_earlier");
    }
    assert!(deployment.starts().await.is_empty());
}

#[tokio::test]
async fn a_leaving_worker_gets_no_new_work_after_the_bound_even_in_an_outage() {
    let deployment = TestDeployment::start("leaving", &DOMAINS[..1], 2, 2).await;
    let change = WorkerStateChange {
        name: deployment.workers[0].name.clone(),
        state: "leaving".to_owned(),
    };
    let platform = deployment.platform.address("address");
    deployment
        .call(Method::POST, platform, "/workers/state", &change)
        .await;
    // The platform goes down as soon as one host knows that the worker is leaving.
    let knows_leaving =
        |state: &serde_json::Value| state["kernel"]["workers"][0]["state"] == "leaving";
    deployment.wait_for_state(0, knows_leaving).await;
    let down = PlatformSwitch {
        down: true,
        ..PlatformSwitch::default()
    };
    set_platform_faults(&deployment, &down).await;
    tokio::time::sleep(LEAVING_PROPAGATION_LIMIT).await;

    let worker = deployment.workers[0].process.address("address");
    let before: LedgerReply = deployment.get(worker, "/ledger").await;
    for index in 0..2 {
        let ticket = deployment.issue_ticket(index).await;
        let (status, _) = deployment.submit(index, &echo_job(&ticket, 20, 10)).await;
        assert_eq!(status, StatusCode::OK);
    }
    let after: LedgerReply = deployment.get(worker, "/ledger").await;
    assert_eq!(after.entries.len(), before.entries.len());
}

#[tokio::test]
async fn a_cancelled_job_says_what_ran_and_starts_no_more() {
    let deployment = TestDeployment::start("cancel", &DOMAINS[..1], 1, 1).await;
    let ticket = deployment.issue_ticket(0).await;
    let job = echo_job(&ticket, 30, 2_000);
    let reference = JobReference {
        ticket: ticket.clone(),
        team: TEAM.to_owned(),
    };
    let address = deployment.entries[0].callers();
    let ((_, answer), cancelled) = tokio::join!(deployment.submit(0, &job), async {
        deployment
            .wait_for_state(0, |state| state["kernel"]["counters"]["starts"] == 8)
            .await;
        let (_, body) = deployment
            .call(Method::POST, address, "/v1/jobs/cancel", &reference)
            .await;
        serde_json::from_slice::<JobReply>(&body).expect("an answer")
    });
    assert_eq!(failure_code(&answer), "cancelled");
    assert_eq!(cancelled, answer);
    let failure = answer.failure.expect("a failure");
    assert_eq!(
        failure
            .tasks
            .iter()
            .filter(|state| *state == "not_run")
            .count(),
        22
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(deployment.starts().await.len(), 8);
}
