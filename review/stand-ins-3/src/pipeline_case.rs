//! A client sends two jobs over one connection without waiting for the first answer, and the
//! connection is reset.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::client::{encode_submission, job_body, new_job, submit};
use crate::deployment::Deployment;
use crate::http::read_message;
use crate::overlap::record_overlaps;
use crate::record::CaseRecord;
use crate::worker::WorkerKind;
use crate::{CaseResult, CaseSettings};

/// Zones of the deployment.
const ZONES: [&str; 2] = ["zone-1", "zone-2"];

/// Number of clients, one after the other.
const ROUNDS: usize = 5;

/// Run time of a task of the first job in milliseconds.
const LONG_MS: u64 = 3_600;

/// Run time of a task of the second job in milliseconds.
const SHORT_MS: u64 = 60;

/// Time that clients wait for an answer.
const DEADLINE_MS: u64 = 10_000;

/// Time until the connection is reset.
const RESET_AFTER: Duration = Duration::from_millis(500);

/// `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

/// Sends the jobs over one connection and reads the answers, or resets the connection.
async fn send_pipelined(
    record: &CaseRecord,
    front: SocketAddr,
    jobs: &[(String, Value)],
    has_trouble: bool,
) -> Result<(), String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(front).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    for (job, body) in jobs {
        record.line(format!(
            "client sends job {job} to {front}, same connection"
        ));
        let request = encode_submission(job, body, DEADLINE_MS);
        stream.write_all(&request).await.map_err(failed)?;
        sleep(Duration::from_millis(5)).await;
    }
    if has_trouble {
        sleep(RESET_AFTER).await;
        stream.set_zero_linger().map_err(failed)?;
        drop(stream);
        record.line("the connection is reset");
        return Ok(());
    }
    let mut buffer = Vec::new();
    for (job, _) in jobs {
        let wait = Duration::from_millis(DEADLINE_MS);
        let answer = timeout(wait, read_message(&mut stream, &mut buffer)).await;
        let status = answer.ok().and_then(|read| read.ok().flatten());
        let status = status.map_or(0, |answer| answer.status());
        record.line(format!("client is answered {status} to job {job}"));
        if status != 200 {
            return Err(format!("job {job} was answered {status}"));
        }
    }
    Ok(())
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
            let kind = WorkerKind::plain();
            let id = format!("{zone}-w{index}");
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
    let step = json!({"count": 1});
    let (first, other) = (deployment.hosts[0].front, deployment.hosts[2].front);
    for _ in 0..ROUNDS {
        let jobs = [
            (new_job(), job_body(LONG_MS, 4_000, &step)),
            (new_job(), job_body(SHORT_MS, 4_000, &step)),
        ];
        let began = Instant::now();
        send_pipelined(&record, first, &jobs, settings.has_trouble).await?;
        if settings.has_trouble {
            sleep(RESEND).await;
            let mut answers = Vec::new();
            for (job, body) in jobs {
                let record = record.clone();
                answers.push(tokio::spawn(async move {
                    submit(&record, other, &job, &body, DEADLINE_MS).await
                }));
            }
            for answer in answers {
                drop(answer.await);
            }
        }
        record.line(format!(
            "round over after {} ms",
            began.elapsed().as_millis()
        ));
    }
    let overlaps = record_overlaps(&record, &deployment.runs.runs());
    deployment.end();
    record.line(format!("{overlaps} overlaps, {ROUNDS} clients"));
    Ok(overlaps > 0)
}
