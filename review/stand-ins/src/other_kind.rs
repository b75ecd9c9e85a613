//! A worker crashes and starts again under its id as one of another kind.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::Verdict;
use crate::balancer::Balancer;
use crate::client::{Call, PREFIX, send};
use crate::deployment::{Deployment, SERVICE, wait_for_rotation};
use crate::record::Record;
use crate::worker::{Worker, WorkerKind};

const WORKERS: usize = 8;

/// Times for which workers are down; site files name crashes of 4.5 s. The leader tries to reach a
/// silent worker ever more rarely, and does so soon after these times.
const DOWN_MS: [u64; 8] = [370, 590, 910, 1_310, 1_710, 2_190, 2_770, 3_330];

/// Time between two crashes, of one of eight workers each; site files name shares of 0.14.
const GAP: Duration = Duration::from_millis(3_800);

const CRASHES: usize = 16;

/// Time between two jobs.
const JOB_GAP: Duration = Duration::from_millis(20);

fn kind(index: usize, is_swapped: bool) -> WorkerKind {
    let label = if (index % 2 == 0) == is_swapped {
        "b"
    } else {
        "a"
    };
    WorkerKind {
        id: format!("stand-{index}"),
        service: String::from(SERVICE),
        zone: String::from("muenchen"),
        labels: vec![String::from(label), String::from("r1-1")],
        cpu: 32_000,
    }
}

pub async fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let mut deployment = Deployment::new(record, 4.0).await?;
    for name in ["edge-muenchen-1", "edge-muenchen-2"] {
        deployment.add_dock(name, "muenchen", &["muenchen"])?;
    }
    let mut workers: Vec<Worker> = Vec::new();
    for index in 0..WORKERS {
        let worker = deployment.add_worker()?;
        worker.start(kind(index, false)).await?;
        workers.push(worker);
    }
    let balancer = deployment.balancer();
    wait_for_rotation(&balancer, 2, Duration::from_secs(15)).await?;
    sleep(Duration::from_secs(1)).await;
    let answered = Arc::new(AtomicU64::new(0));
    let traffic = tokio::spawn(send_jobs(balancer, record.clone(), Arc::clone(&answered)));
    sleep(Duration::from_secs(2)).await;
    // When each incarnation first told its runs, and with them that it is a new one.
    let mut told: BTreeMap<u64, u64> = BTreeMap::new();
    for index in 0..CRASHES {
        let next = Instant::now() + GAP;
        let (worker, round) = (index % WORKERS, index / WORKERS);
        if has_trouble {
            workers[worker].crash().await;
            sleep(Duration::from_millis(DOWN_MS[worker])).await;
            workers[worker].start(kind(worker, round == 0)).await?;
        }
        tokio::time::sleep_until(next).await;
        if let Some((born_ms, told_ms)) = workers[worker].first_report_ms() {
            told.insert(born_ms, told_ms);
        }
    }
    traffic.abort();
    if answered.load(Ordering::Relaxed) < 500 {
        return Err(std::io::Error::other("too few jobs were served"));
    }
    let (mut wrong, mut wrong_though_told) = (0, 0);
    for run in record.runs() {
        let required = run.spec.split(' ').next_back().unwrap_or_default();
        if run.labels.iter().any(|label| label == required) {
            continue;
        }
        wrong += 1;
        let told_ms = told.get(&run.born_ms).copied();
        let was_told = told_ms.is_some_and(|told_ms| run.started_ms > told_ms);
        wrong_though_told += u32::from(was_told);
        record.line(format!(
            "{} requires {required}, and {} started it at {} ms with labels {:?}; it had told its \
             start at {told_ms:?} ms",
            run.task, run.worker, run.started_ms, run.labels
        ));
    }
    record.line(format!(
        "{} runs, {} jobs served; {wrong} starts on workers without the required label, \
         {wrong_though_told} of them after the worker had told in a list of runs that it had \
         started anew",
        record.runs().len(),
        answered.load(Ordering::Relaxed)
    ));
    Ok(if wrong_though_told > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends jobs of two tasks that require the labels `a` and `b` by turns.
async fn send_jobs(balancer: Balancer, record: Record, answered: Arc<AtomicU64>) {
    for number in 0_u64.. {
        let label = if number % 2 == 0 { "a" } else { "b" };
        let (balancer, record) = (balancer.clone(), record.clone());
        let answered = Arc::clone(&answered);
        tokio::spawn(async move {
            let job = format!("{:016x}", 0x5c0e_7a21_0000_0000 + number);
            let (_, address) = balancer.select(number as usize % 7);
            let body = json!({
                "spec": format!("150 14000 {label}"),
                "best_effort": true,
                "steps": [{
                    "count": 2, "cpu": 14_000, "mem_mb": 64, "estimate_ms": 150,
                    "requirements": label,
                }],
            });
            let call = Call {
                method: "POST",
                path: format!("{PREFIX}{job}"),
                body: body.to_string(),
                deadline: Duration::from_millis(1_500),
            };
            let answer = send(address, call).await;
            if matches!(&answer, Ok((200, _))) {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            record.line(format!("job {job} ({label}): {answer:?}"));
        });
        sleep(JOB_GAP).await;
    }
}
