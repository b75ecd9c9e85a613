//! A client cancels its job, whose submission is then answered so that it is sent again.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

use crate::client::{job_body, new_job, submit};
use crate::deployment::{Deployment, PREFIX, ROUTE_HOST};
use crate::http::{call, encode_request};
use crate::worker::WorkerKind;
use crate::{CaseResult, CaseSettings};

/// Zones of the deployment.
const ZONES: [&str; 2] = ["zone-1", "zone-2"];

/// Number of jobs, one after the other.
const ROUNDS: usize = 5;

/// Run time of a task in milliseconds.
const RUN_MS: u64 = 3_600;

/// Time that clients wait for an answer.
const DEADLINE_MS: u64 = 10_000;

/// Time from a submission to its cancel.
const CANCELLED_AFTER: Duration = Duration::from_millis(300);

/// `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

/// `cancel_ms` and `stop_grace_ms`.
const GONE_BY: Duration = Duration::from_millis(3_000 + 50);

/// Margin for the clock of the script.
const MARGIN: Duration = Duration::from_millis(100);

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
    sleep(Duration::from_secs(4)).await;
    let front = deployment.hosts[0].front;
    let body = job_body(RUN_MS, 14_000, &json!({"count": 1}));
    let mut broken = 0;
    for _ in 0..ROUNDS {
        let job = new_job();
        let client = {
            let (record, job, body) = (record.clone(), job.clone(), body.clone());
            tokio::spawn(async move {
                // Sends the job again as the page says, after no response, 502 or 504.
                let (status, _) = submit(&record, front, &job, &body, DEADLINE_MS).await;
                if matches!(status, 0 | 502 | 504) {
                    sleep(RESEND).await;
                    submit(&record, front, &job, &body, DEADLINE_MS).await;
                }
            })
        };
        sleep(CANCELLED_AFTER).await;
        if settings.has_trouble {
            record.line(format!("client cancels job {job} at {front}"));
            let path = format!("{PREFIX}{job}");
            let request = encode_request("DELETE", ROUTE_HOST, &path, 4_000, &Value::Null);
            let answer = call(front, &request, Duration::from_secs(4)).await;
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!(
                "client is answered {status} to the cancel of {job}"
            ));
            if !matches!(status, 200..=299 | 410) {
                return Err(format!("a cancel was answered {status}"));
            }
            let gone_by = Instant::now() + GONE_BY + MARGIN;
            sleep_until(gone_by.into()).await;
            for run in deployment.runs.runs() {
                if run.task.starts_with(&job) && run.ended.is_none() {
                    broken += 1;
                    record.line(format!(
                        "UNASKED: {} runs on {} {} ms after its cancel was acknowledged",
                        run.task,
                        run.worker,
                        (GONE_BY + MARGIN).as_millis()
                    ));
                }
            }
        }
        drop(client.await);
    }
    deployment.end();
    record.line(format!("{broken} tasks of {ROUNDS} cancelled jobs ran on"));
    Ok(broken > 0)
}
