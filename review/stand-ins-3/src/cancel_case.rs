//! A client cancels its job at another entry host than the one that took it.

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

/// Number of jobs that are cancelled, one after the other.
const JOBS: usize = 5;

/// Run time of a task in milliseconds.
const RUN_MS: u64 = 8_000;

/// `cancel_ms` and `stop_grace_ms`.
const GONE_BY: Duration = Duration::from_millis(3_000 + 50);

/// Margin for the clock of the script.
const MARGIN: Duration = Duration::from_millis(200);

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
    sleep(Duration::from_secs(4)).await;
    let body = job_body(RUN_MS, 4_000, &json!({"count": 2}));
    let taken_by = deployment.hosts[0].front;
    let cancelled_at = deployment.hosts[usize::from(settings.has_trouble)].front;
    let mut broken = 0;
    for _ in 0..JOBS {
        let job = new_job();
        let submission = {
            let (record, job, body) = (record.clone(), job.clone(), body.clone());
            tokio::spawn(async move { submit(&record, taken_by, &job, &body, 20_000).await })
        };
        sleep(Duration::from_millis(500)).await;
        record.line(format!("client cancels job {job} at {cancelled_at}"));
        let path = format!("{PREFIX}{job}");
        let request = encode_request("DELETE", ROUTE_HOST, &path, 4_000, &Value::Null);
        let answer = call(cancelled_at, &request, Duration::from_secs(4)).await;
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
                    "UNASKED: {} still runs on {} {} ms after the cancel was answered {status}",
                    run.task,
                    run.worker,
                    (GONE_BY + MARGIN).as_millis()
                ));
            }
        }
        drop(submission.await);
    }
    deployment.end();
    record.line(format!("{broken} tasks of {JOBS} cancelled jobs ran on"));
    Ok(broken > 0)
}
