//! End-to-end tests with separate processes.

mod support;

use bramley_wire::caller::JobRequest;
use hyper::StatusCode;
use support::{TestDeployment, echo_job, echo_results};

const DOMAINS: [&str; 2] = ["north", "south"];

#[tokio::test]
async fn a_job_and_a_request_are_answered_whole_and_a_resubmission_starts_nothing() {
    let deployment = TestDeployment::start("whole_path", &DOMAINS, 2, 2).await;

    // A job with several tasks, submitted to the host that issued its ticket.
    let ticket = deployment.issue_ticket(0).await;
    let job = echo_job(&ticket, 20, 20);
    let (status, answer) = deployment.submit(0, &job).await;
    assert_eq!(
        (status, answer.outcome.as_str()),
        (StatusCode::OK, "complete")
    );
    assert_eq!(answer.results, echo_results(20));

    // An idempotent job with one task, submitted to a host that did not issue its ticket.
    let ticket = deployment.issue_ticket(1).await;
    let request = JobRequest {
        idempotent: true,
        ..echo_job(&ticket, 1, 5)
    };
    let (status, answer) = deployment.submit(2, &request).await;
    assert_eq!(
        (status, answer.outcome.as_str()),
        (StatusCode::OK, "complete")
    );
    assert_eq!(answer.results, echo_results(1));

    // Resubmitting the first job to any host gives the same answer and starts no task.
    let starts = deployment.starts().await;
    assert_eq!(starts.len(), 21);
    for index in 0..deployment.entries.len() {
        let (status, repeated) = deployment.submit(index, &job).await;
        assert_eq!(
            (status, repeated.outcome.as_str()),
            (StatusCode::OK, "complete")
        );
        assert_eq!(repeated.results, echo_results(20));
    }
    assert_eq!(deployment.starts().await, starts);
    assert!(starts.iter().all(|(_, count)| *count == 1));

    // A different body under the same ticket is refused.
    let (status, refused) = deployment.submit(3, &echo_job(&job.ticket, 2, 1)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(refused.failure.expect("a failure").code, "changed_body");
}

#[tokio::test]
async fn a_key_of_the_caller_leads_every_host_to_the_same_answer() {
    let deployment = TestDeployment::start("caller_key", &DOMAINS, 1, 1).await;
    let job = JobRequest {
        key: "phone-17".to_owned(),
        ..echo_job("", 3, 10)
    };
    let (first, second) = tokio::join!(deployment.submit(0, &job), deployment.submit(1, &job));
    for (status, answer) in [first, second] {
        assert_eq!(
            (status, answer.outcome.as_str()),
            (StatusCode::OK, "complete")
        );
        assert_eq!(answer.results, echo_results(3));
    }
    let starts = deployment.starts().await;
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, count)| *count == 1));
}
