//! A worker crashes while it is idle and starts again under its id as a worker of another kind.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::client::{job_body, new_job, submit};
use crate::deployment::Deployment;
use crate::worker::WorkerKind;
use crate::{CaseResult, CaseSettings};

/// Zones of the deployment.
const ZONES: [&str; 2] = ["zone-1", "zone-2"];

/// Number of crashes.
const ROUNDS: u64 = 9;

/// Time for which the worker is down.
const DOWN_TIME: Duration = Duration::from_millis(1_000);

/// Time between a start of the worker and the next crash.
const UP_TIME: Duration = Duration::from_millis(2_000);

fn kind(label: &str) -> WorkerKind {
    WorkerKind {
        cpu: 32_000,
        labels: vec![String::from(label), String::from("r1")],
        guards: true,
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
        for index in 0..8 {
            let label = if index == 0 { "a" } else { "b" };
            let id = format!("{zone}-w{index}");
            deployment
                .add_worker(&id, zone, kind(label))
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
    let step = json!({"count": 1, "requirements": "a"});
    let body = job_body(60, 4_000, &step);
    let front = deployment.hosts[0].front;
    let changed = deployment.worker("zone-1-w0").clone();
    for round in 0..ROUNDS {
        sleep(UP_TIME).await;
        let before = submit(&record, front, &new_job(), &body, 1_500).await;
        if before.0 != 200 {
            return Err(format!("a job before the crash was answered {}", before.0));
        }
        sleep(UP_TIME).await;
        if settings.has_trouble {
            changed.crash();
            sleep(DOWN_TIME).await;
            changed.start_again(kind("b"));
        } else {
            sleep(DOWN_TIME).await;
        }
        sleep(Duration::from_millis(10 * (round + 1))).await;
        submit(&record, front, &new_job(), &body, 1_500).await;
        if settings.has_trouble {
            sleep(UP_TIME).await;
            changed.crash();
            sleep(DOWN_TIME).await;
            changed.start_again(kind("a"));
        }
    }
    let mut broken = 0;
    for run in deployment.runs.runs() {
        if !run.labels.iter().any(|label| label == "a") {
            broken += 1;
            record.line(format!(
                "ROUTE: {} requires label a and was started on {} with labels {}",
                run.task,
                run.worker,
                run.labels.join(",")
            ));
        }
    }
    deployment.end();
    record.line(format!(
        "{broken} starts without the required label, {ROUNDS} rounds"
    ));
    Ok(broken > 0)
}
