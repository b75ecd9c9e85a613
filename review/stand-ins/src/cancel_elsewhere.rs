//! A job is cancelled through another machine than the one that has accepted it.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::balancer::Balancer;
use crate::client::{Call, PREFIX, send};
use crate::deployment::{Deployment, SERVICE, wait_for_rotation};
use crate::record::Record;
use crate::worker::WorkerKind;

/// `cancel_ms` and `stop_grace_ms` of the deployments.
const CANCEL_MS: u64 = 3_000;
const STOP_GRACE_MS: u64 = 50;

/// Allowance for the resolution of the record.
const SLACK_MS: u64 = 100;

/// `contact_ms` of the deployments.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Work of a task; the users' page shows a step with tasks of 7,000 ms on 2 cores.
const WORK_MS: u64 = 7_000;

/// Job of each client, its number of tasks, and the hash by which the platform selects the client's
/// machine.
const CLIENTS: [(&str, u32, usize); 2] = [("5c0e7a21d94b36f8", 12, 0), ("a1b2c3d4e5f60718", 40, 1)];

pub async fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::new(record, 8.0).await?;
    for name in ["edge-muenchen-1", "edge-muenchen-2"] {
        deployment.add_dock(name, "muenchen", &["muenchen"])?;
    }
    let mut workers = Vec::new();
    for index in 0..2 {
        let worker = deployment.add_worker()?;
        let kind = WorkerKind {
            id: format!("stand-{index}"),
            service: String::from(SERVICE),
            zone: String::from("muenchen"),
            labels: vec![String::from("a"), String::from("r1-1")],
            cpu: 16_000,
        };
        worker.start(kind).await?;
        workers.push(worker);
    }
    let balancer = deployment.balancer();
    wait_for_rotation(&balancer, 2, Duration::from_secs(15)).await?;
    sleep(Duration::from_secs(1)).await;
    if has_trouble {
        deployment.docks[1].signal(Signal::TERM);
        wait_for_rotation(&balancer, 1, Duration::from_secs(6)).await?;
    }
    let mut posts = Vec::new();
    for (job, tasks, hash) in CLIENTS {
        posts.push(tokio::spawn(submit(
            balancer.clone(),
            record.clone(),
            job,
            tasks,
            hash,
        )));
        sleep(Duration::from_millis(50)).await;
    }
    if has_trouble {
        if !deployment.docks[1]
            .wait_for_exit(Duration::from_secs(7))
            .await
        {
            return Err(std::io::Error::other(
                "the machine did not stop in its grace time",
            ));
        }
        sleep(Duration::from_millis(300)).await;
        deployment.docks[1].start()?;
        wait_for_rotation(&balancer, 2, Duration::from_secs(10)).await?;
    }
    // The machines are in touch, and no disruption is near.
    sleep(CONTACT + Duration::from_millis(500)).await;
    let mut cancelled = Vec::new();
    for (job, _, hash) in CLIENTS {
        let (machine, address) = balancer.select(hash);
        record.line(format!("client sends DELETE of {job} to {machine}"));
        let call = Call {
            method: "DELETE",
            path: format!("{PREFIX}{job}"),
            body: String::new(),
            deadline: Duration::from_secs(4),
        };
        let answer = send(address, call).await;
        record.line(format!("{machine} answers DELETE of {job}: {answer:?}"));
        if matches!(answer, Ok((200..=299 | 410, _))) {
            cancelled.push((job, record.now_ms()));
        }
    }
    if cancelled.len() < CLIENTS.len() {
        return Err(std::io::Error::other("a DELETE was not acknowledged"));
    }
    sleep(Duration::from_millis(CANCEL_MS + STOP_GRACE_MS + 5_000)).await;
    let now_ms = record.now_ms();
    let mut verdict = Verdict::Held;
    for (job, acknowledged_ms) in cancelled {
        let due_ms = acknowledged_ms + CANCEL_MS;
        let runs: Vec<_> = record
            .runs()
            .into_iter()
            .filter(|run| run.job() == job)
            .collect();
        if runs.is_empty() {
            return Err(std::io::Error::other("a job has not run at all"));
        }
        let late = runs
            .iter()
            .filter(|run| run.started_ms > due_ms + SLACK_MS)
            .count();
        let left = runs
            .iter()
            .filter(|run| {
                let ended_ms = run.ended.map_or(now_ms, |(ended_ms, _)| ended_ms);
                run.started_ms <= due_ms && ended_ms > due_ms + STOP_GRACE_MS + SLACK_MS
            })
            .count();
        record.line(format!(
            "job {job}: cancelled at {acknowledged_ms} ms; {late} tasks started later than \
             {CANCEL_MS} ms after it, {left} ran on then"
        ));
        if late + left > 0 {
            verdict = Verdict::Broken;
        }
    }
    for post in posts {
        post.abort();
    }
    Ok(verdict)
}

async fn submit(balancer: Balancer, record: Record, job: &'static str, tasks: u32, hash: usize) {
    let (machine, address) = balancer.select(hash);
    record.line(format!("client sends POST of {job} to {machine}"));
    let body = json!({
        "spec": format!("{WORK_MS} 2000"),
        "best_effort": true,
        "steps": [{"count": tasks, "cpu": 2_000, "mem_mb": 1_024, "estimate_ms": WORK_MS}],
    });
    let call = Call {
        method: "POST",
        path: format!("{PREFIX}{job}"),
        body: body.to_string(),
        deadline: Duration::from_secs(60),
    };
    let answer = send(address, call).await;
    record.line(format!("{machine} answers POST of {job}: {answer:?}"));
}
