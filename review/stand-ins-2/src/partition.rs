//! Two runs of one task at a time: a partition puts the leader's host and one worker on one side.

use std::time::{Duration, Instant};

use bramley_soak::proxy::ProxyMode;
use tokio::time::sleep;

use crate::deployment::{Deployment, ZONE, ZoneSize, set_modes};
use crate::{CaseSetup, Verdict, job_name, submission};

/// Length of the partition; the largest for cuts in the site file is 5.5 s.
const PARTITION: Duration = Duration::from_millis(5_400);

/// Run time of the task: a few last several seconds.
const LONG_RUN_MS: u64 = 7_500;

/// Interval of the short jobs at the other hosts.
const SHORT_INTERVAL: Duration = Duration::from_millis(400);

/// Runs the case.
pub async fn run(setup: &CaseSetup) -> Result<Verdict, String> {
    let kinds = ["a", "a", "a", "a", "a", "a"];
    let zone = ZoneSize {
        zone: ZONE,
        hosts: 3,
        kinds: &kinds,
    };
    let deployment =
        Deployment::start(setup.scratch.clone(), setup.repository.clone(), &[zone]).await?;
    let verdict = play(&deployment, setup.has_trouble).await;
    deployment.record.note_runs(&deployment.recorder);
    let written = deployment.record.write(&setup.folder.join("record.txt"));
    if std::env::var_os("KEEP_LOGS").is_some() {
        deployment.keep_logs(&setup.folder);
    }
    written.map_err(|error| error.to_string())?;
    verdict
}

async fn play(deployment: &Deployment, has_trouble: bool) -> Result<Verdict, String> {
    let record = &deployment.record;
    let leader = deployment.leader(ZONE).ok_or("no host holds the claim")?;
    record.note(format!("{} leads the zone", deployment.hosts[leader].name));
    let long_job = job_name(1);
    let caller = deployment.send(
        leader,
        submission(&long_job, 1, LONG_RUN_MS, 14_000, 14_000),
    );
    let others = send_short_jobs(deployment, leader);
    let disruption = async {
        let worker = worker_of(deployment, &long_job).await?;
        sleep(Duration::from_millis(500)).await;
        if has_trouble {
            record.note(format!(
                "partition: {} and {} on one side",
                deployment.hosts[leader].name, deployment.workers[worker].name
            ));
            set_partition(deployment, leader, worker, true);
            sleep(PARTITION).await;
            set_partition(deployment, leader, worker, false);
            record.note("the partition has healed");
        }
        Ok::<(), String>(())
    };
    let (_answer, (), disrupted) = tokio::join!(caller, others, disruption);
    disrupted?;
    sleep(Duration::from_secs(1)).await;
    let overlaps = deployment.recorder.overlaps();
    Ok(match overlaps.first() {
        None => Verdict::Held,
        Some((first, second)) => {
            let end = first.ended.unwrap_or_else(Instant::now);
            let both = end.saturating_duration_since(second.began).as_millis();
            let seen = format!(
                "task {} ran on {} and on {} at the same time for {both} ms",
                first.task, first.worker, second.worker
            );
            record.note(format!("TWICE: {seen}"));
            Verdict::Broken(seen)
        }
    })
}

/// Sends short jobs to the hosts other than the leader for the time of the case.
async fn send_short_jobs(deployment: &Deployment, leader: usize) {
    let hosts: Vec<usize> = (0..deployment.hosts.len())
        .filter(|host| *host != leader)
        .collect();
    for number in 0..20_u64 {
        let host = hosts[(number % hosts.len() as u64) as usize];
        let request = submission(&job_name(100 + number), 2, 60, 14_000, 1_500);
        let _outcome = deployment.send(host, request).await;
        sleep(SHORT_INTERVAL).await;
    }
}

/// Waits for the run of a job and returns the index of its worker.
async fn worker_of(deployment: &Deployment, job: &str) -> Result<usize, String> {
    let limit = Instant::now() + Duration::from_secs(3);
    while Instant::now() < limit {
        if let Some(run) = deployment.recorder.runs_of(job).first() {
            let found = deployment
                .workers
                .iter()
                .position(|worker| worker.name == run.worker);
            return found.ok_or_else(|| String::from("the worker is not known"));
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(String::from("the long job was not started"))
}

/// Cuts the leader's host and a worker off from everything but each other and the clients.
fn set_partition(deployment: &Deployment, leader: usize, worker: usize, is_cut: bool) {
    let mode = if is_cut {
        ProxyMode::Stalled
    } else {
        ProxyMode::Open
    };
    deployment.workers[worker].set_reaches_store(!is_cut);
    for (index, host) in deployment.hosts.iter().enumerate() {
        if index == leader {
            host.store_link.set_mode(mode);
            set_modes(host.host_links.iter().flatten(), mode);
            let links = host.worker_links.iter().enumerate();
            let crossing = links.filter(|(target, _)| *target != worker);
            set_modes(crossing.map(|(_, link)| link), mode);
        } else {
            set_modes(host.host_links[leader].as_ref(), mode);
            host.worker_links[worker].set_mode(mode);
        }
    }
}
