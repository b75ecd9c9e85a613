//! Work on a worker without the required label: the worker has started again as one of another kind.

use std::time::Duration;

use bramley_soak::proxy::ProxyMode;
use tokio::time::sleep;

use crate::deployment::{Deployment, Worker, ZONE, ZoneSize};
use crate::{CaseSetup, Verdict, job_name, require_label, submission};

/// Time for which a worker is down.
const DOWN: Duration = Duration::from_millis(500);

/// Time from the worker's start to the next job.
const JOB_DELAY: Duration = Duration::from_millis(20);

/// Time between two restarts.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Number of restarts.
const ROUNDS: u64 = 8;

/// Runs the case.
pub async fn run(setup: &CaseSetup) -> Result<Verdict, String> {
    let kinds = ["a", "a", "a", "b", "b", "b"];
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
    written.map_err(|error| error.to_string())?;
    verdict
}

async fn play(deployment: &Deployment, has_trouble: bool) -> Result<Verdict, String> {
    let record = &deployment.record;
    let mut seen = Vec::new();
    for round in 0..ROUNDS {
        let worker = &deployment.workers[(round % 6) as usize];
        let former = worker.kind();
        if has_trouble {
            let kind = if former == "a" { "b" } else { "a" };
            record.note(format!("{} crashes as kind {former}", worker.name));
            restart_as(worker, kind).await;
            record.note(format!("{} is back as kind {kind}", worker.name));
        }
        sleep(JOB_DELAY).await;
        // As many tasks as fit on the workers of that kind.
        let job = job_name(round);
        let request = require_label(submission(&job, 6, 100, 14_000, 1_500), former);
        let _outcome = deployment
            .send(round as usize % deployment.hosts.len(), request)
            .await;
        for run in deployment.recorder.runs_of(&job) {
            let ran_on = deployment
                .workers
                .iter()
                .find(|worker| worker.name == run.worker);
            let kind = ran_on.map_or("unknown", Worker::kind);
            if kind != former {
                seen.push(format!(
                    "task {} with requirements {former} began on {} of kind {kind}",
                    run.task, run.worker
                ));
            }
        }
        sleep(PAUSE).await;
    }
    Ok(match seen.first() {
        None => Verdict::Held,
        Some(first) => {
            for text in &seen {
                record.note(format!("ROUTE: {text}"));
            }
            Verdict::Broken(format!("{first}; {} tasks in all", seen.len()))
        }
    })
}

/// Crashes a worker and starts it again under its name and address as one of another kind.
async fn restart_as(worker: &Worker, kind: &'static str) {
    worker.set_reaches_store(false);
    worker.link.set_mode(ProxyMode::Refusing);
    worker.link.reset_all();
    sleep(DOWN).await;
    worker.stand_in.restart();
    worker.set_kind(kind);
    worker.link.set_mode(ProxyMode::Open);
    worker.set_reaches_store(true);
    worker.write_entry();
    // The proxy listens again within its poll interval.
    sleep(Duration::from_millis(40)).await;
}
