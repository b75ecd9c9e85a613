//! A host is suspended, and a request that its client sent meanwhile arrives after the client has sent
//! the job elsewhere.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::client::{encode_submission, job_body, new_job, submit};
use crate::deployment::{Deployment, PREFIX, ROUTE_HOST};
use crate::http::{encode_request, read_message};
use crate::overlap::record_overlaps;
use crate::worker::WorkerKind;
use crate::{CaseResult, CaseSettings};

/// Zones of the deployment.
const ZONES: [&str; 2] = ["zone-1", "zone-2"];

/// Number of suspensions.
const ROUNDS: usize = 3;

/// Length of a suspension.
const SUSPENSION: Duration = Duration::from_millis(4_000);

/// Time from the start of the suspension until the client sends its request.
const SENT_AFTER: Duration = Duration::from_millis(1_400);

/// Time that the client waits for an answer.
const DEADLINE_MS: u64 = 1_500;

/// `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

/// Time from the first sending of a packet until its fourth repetition, after 0.2, 0.4, 0.8 and 1.6 s.
const FOURTH_REPETITION: Duration = Duration::from_millis(200 + 400 + 800 + 1_600);

/// Round trip between a client and a host, after which the client sends what follows a packet.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Run time of a task in milliseconds.
const RUN_MS: u64 = 3_600;

/// Time between a round and the next one.
const CALM: Duration = Duration::from_millis(6_000);

/// Opens a connection and uses it once, so that it is open and at rest.
async fn open_connection(front: SocketAddr) -> Result<TcpStream, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(front).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let request = encode_request("GET", ROUTE_HOST, PREFIX, DEADLINE_MS, &Value::Null);
    stream.write_all(&request).await.map_err(failed)?;
    let mut buffer = Vec::new();
    let read = timeout(
        Duration::from_secs(2),
        read_message(&mut stream, &mut buffer),
    )
    .await;
    match read {
        Ok(Ok(Some(answer))) if answer.status() == 200 => Ok(stream),
        _ => Err(String::from("the first request was not answered")),
    }
}

/// Runs the case.
pub async fn run(settings: &CaseSettings) -> CaseResult {
    let failed = |error: std::io::Error| error.to_string();
    let record = settings.record.clone();
    let mut deployment = Deployment::new(&settings.root, &settings.folder, record.clone(), true)
        .await
        .map_err(failed)?;
    for zone in ZONES {
        for index in 0..4 {
            let id = format!("{zone}-w{index}");
            let kind = WorkerKind::plain();
            deployment
                .add_worker(&id, zone, kind)
                .await
                .map_err(failed)?;
        }
        for _ in 0..2 {
            deployment.add_host(zone, &ZONES).map_err(failed)?;
        }
    }
    if !deployment.wait_until_ready().await {
        return Err(String::from("not ready"));
    }
    sleep(Duration::from_secs(2)).await;
    let body = job_body(RUN_MS, 14_000, &json!({"count": 1}));
    for _ in 0..ROUNDS {
        let leader = deployment.leader_of(ZONES[0]);
        let suspended = usize::from(leader == Some(0));
        let first = deployment.hosts[suspended].front;
        let other = deployment.hosts[2].front;
        let job = new_job();
        let mut stream = open_connection(first).await?;
        let began = Instant::now();
        if settings.has_trouble {
            deployment.hosts[suspended].suspend();
        }
        let sent_at = began + SENT_AFTER;
        sleep_until(sent_at).await;
        record.line(format!(
            "client sends job {job} to {first}, over a connection at rest"
        ));
        let request = encode_submission(&job, &body, DEADLINE_MS);
        if !settings.has_trouble {
            stream.write_all(&request).await.map_err(failed)?;
        }
        let left_at = sent_at + Duration::from_millis(DEADLINE_MS);
        sleep_until(left_at).await;
        record.line("the client's deadline has passed; it closes the connection");
        let resubmission = {
            let (record, job, body) = (record.clone(), job.clone(), body.clone());
            tokio::spawn(async move {
                sleep_until(left_at + RESEND).await;
                submit(&record, other, &job, &body, 2 * RUN_MS).await
            })
        };
        if settings.has_trouble {
            sleep_until(began + SUSPENSION).await;
            deployment.hosts[suspended].wake();
            sleep_until(sent_at + FOURTH_REPETITION).await;
            record.line("the request arrives at its fourth repetition");
            stream.write_all(&request).await.map_err(failed)?;
            sleep(ROUND_TRIP).await;
            record.line("the end of the connection follows");
        }
        drop(stream);
        drop(resubmission.await);
        sleep(CALM).await;
    }
    let overlaps = record_overlaps(&record, &deployment.runs.runs());
    deployment.end();
    record.line(format!("{overlaps} overlaps, {ROUNDS} suspensions"));
    Ok(overlaps > 0)
}
