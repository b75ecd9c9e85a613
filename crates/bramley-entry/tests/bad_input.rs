//! Bad input from callers is refused clearly, and nothing is started or lost.

mod support;

use bramley_wire::caller::{JobReference, JobReply, JobRequest, TaskSpec, TicketRequest};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use support::{TEAM, TestDeployment, echo_job};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn refusal(deployment: &TestDeployment, path: &str, body: Vec<u8>) -> (StatusCode, String) {
    let address = deployment.entries[0].callers();
    let (status, body) = deployment
        .call_raw(Method::POST, address, path, Bytes::from(body))
        .await;
    let reply: JobReply = serde_json::from_slice(&body).expect("an answer");
    let failure = reply.failure.expect("a refusal");
    (status, format!("{}: {}", failure.code, failure.message))
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("encodes")
}

#[tokio::test]
async fn bad_requests_are_refused_and_start_nothing() {
    let deployment = TestDeployment::start("bad_input", &["north"], 1, 1).await;
    let ticket = deployment.take_ticket(0).await;
    let job = echo_job(&ticket, 1, 10);
    let mut lines = Vec::new();
    let mut note = |name: &str, (status, text): (StatusCode, String)| {
        lines.push(format!("{name}: {} {text}", status.as_u16()));
    };

    note(
        "not JSON",
        refusal(&deployment, "/v1/jobs", b"{\"team\":".to_vec()).await,
    );
    note(
        "unknown field",
        refusal(&deployment, "/v1/jobs", b"{\"taem\":\"x\"}".to_vec()).await,
    );
    note(
        "wrong type",
        refusal(&deployment, "/v1/jobs", b"{\"tasks\":3}".to_vec()).await,
    );
    note(
        "no ticket",
        refusal(&deployment, "/v1/jobs", encode(&echo_job("", 1, 10))).await,
    );
    note(
        "no such ticket",
        refusal(&deployment, "/v1/jobs", encode(&echo_job("x", 1, 10))).await,
    );
    let forged = ticket.replace(".booking.", ".booker.");
    let foreign = JobRequest {
        team: "booker".to_owned(),
        ..echo_job(&forged, 1, 10)
    };
    note(
        "forged ticket",
        refusal(&deployment, "/v1/jobs", encode(&foreign)).await,
    );
    let wrong = JobRequest {
        team: "other".to_owned(),
        ..job.clone()
    };
    note(
        "wrong team",
        refusal(&deployment, "/v1/jobs", encode(&wrong)).await,
    );
    let many = echo_job(&deployment.take_ticket(0).await, 501, 10);
    note(
        "too many tasks",
        refusal(&deployment, "/v1/jobs", encode(&many)).await,
    );
    let none = echo_job(&deployment.take_ticket(0).await, 0, 10);
    note(
        "no tasks",
        refusal(&deployment, "/v1/jobs", encode(&none)).await,
    );
    let mut huge = echo_job(&deployment.take_ticket(0).await, 1, 10);
    huge.tasks[0] = TaskSpec {
        accelerators: 3,
        ..huge.tasks[0].clone()
    };
    note(
        "never runnable",
        refusal(&deployment, "/v1/jobs", encode(&huge)).await,
    );
    let key = JobRequest {
        key: "a/b".to_owned(),
        ..echo_job("", 1, 10)
    };
    note(
        "bad key",
        refusal(&deployment, "/v1/jobs", encode(&key)).await,
    );
    let late = JobRequest {
        deadline_unix_ms: 1,
        ..echo_job(&deployment.take_ticket(0).await, 1, 10)
    };
    note(
        "past deadline",
        refusal(&deployment, "/v1/jobs", encode(&late)).await,
    );
    let count = TicketRequest {
        team: TEAM.to_owned(),
        count: 0,
    };
    note(
        "no tickets wanted",
        refusal(&deployment, "/v1/tickets", encode(&count)).await,
    );
    let unused = JobReference {
        ticket: deployment.take_ticket(0).await,
        team: TEAM.to_owned(),
    };
    note(
        "nothing submitted",
        refusal(&deployment, "/v1/jobs/query", encode(&unused)).await,
    );
    note(
        "no such path",
        refusal(&deployment, "/v2/jobs", encode(&job)).await,
    );
    insta::assert_snapshot!(lines.join("\n"));

    // A body over the limit is cut off; the size is not worth a snapshot.
    let (status, text) = refusal(&deployment, "/v1/jobs", vec![b' '; 5 << 20]).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{text}");
    assert_eq!(deployment.starts().await.len(), 0);
}

#[tokio::test]
async fn a_caller_with_a_body_over_the_limit_reads_the_refusal() {
    let deployment = TestDeployment::start("body_too_large", &["north"], 1, 1).await;
    // The answer could be lost to a reset of the connection, which does not happen each time.
    for mebibytes in 5..45 {
        let (status, text) = refusal(&deployment, "/v1/jobs", vec![b' '; mebibytes << 20]).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{text}");
    }
    assert_eq!(deployment.starts().await.len(), 0);
}

#[tokio::test]
async fn silent_callers_hold_up_nobody() {
    let deployment = TestDeployment::start("silent_callers", &["north"], 1, 1).await;
    let address = deployment.entries[0].callers();
    let mut silent = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream
            .write_all(b"POST /v1/jobs HTTP/1.1\r\n")
            .await
            .expect("sends");
        silent.push(stream);
    }
    let ticket = deployment.take_ticket(0).await;
    let (status, _) = deployment.submit(0, &echo_job(&ticket, 4, 10)).await;
    assert_eq!(status, StatusCode::OK);
}
