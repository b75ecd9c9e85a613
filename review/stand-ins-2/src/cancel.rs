//! Cancelled work that runs on: the cancellation reaches another host than the submission.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::ClientRequest;
use crate::deployment::{Deployment, ZONE, ZoneSize};
use crate::{CaseSetup, Verdict, job_name, submission};

/// Time after the acknowledgement of a cancellation in which its tasks have to be gone.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);

/// Time that a stop takes at most.
const STOP_GRACE: Duration = Duration::from_millis(50);

/// Allowance for the clock of this program.
const TOLERANCE: Duration = Duration::from_millis(200);

/// Run time of the tasks: a few last several seconds.
const LONG_RUN_MS: u64 = 6_000;

/// Number of jobs.
const JOBS: u64 = 4;

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
    written.map_err(|error| error.to_string())?;
    verdict
}

async fn play(deployment: &Deployment, has_trouble: bool) -> Result<Verdict, String> {
    let hosts = deployment.hosts.len();
    let mut seen = Vec::new();
    for number in 0..JOBS {
        let job = job_name(number);
        let taken_by = number as usize % hosts;
        // The balancer picks a host for each connection by a hash of the client.
        let cancelled_at = if has_trouble {
            (taken_by + 1) % hosts
        } else {
            taken_by
        };
        let caller = deployment.send(taken_by, submission(&job, 2, LONG_RUN_MS, 14_000, 12_000));
        let canceller = async {
            sleep(Duration::from_millis(500)).await;
            let request = ClientRequest {
                method: "DELETE",
                job: job.clone(),
                body: None,
                deadline: Duration::from_millis(4_000),
            };
            deployment.send(cancelled_at, request).await
        };
        let (_answer, cancelled) = tokio::join!(caller, canceller);
        let Some((status, _)) = cancelled.response else {
            return Err(format!("the cancellation of {job} was not answered"));
        };
        if !(200..300).contains(&status) && status != 410 {
            return Err(format!(
                "the cancellation of {job} was answered with {status}"
            ));
        }
        let bound = cancelled.ended_at + CANCEL_BOUND + STOP_GRACE + TOLERANCE;
        for run in deployment.recorder.runs_of(&job) {
            let ended = run.ended.unwrap_or_else(Instant::now);
            if ended > bound {
                let late = ended
                    .saturating_duration_since(cancelled.ended_at)
                    .as_millis();
                seen.push(format!(
                    "task {} ran on {} until {late} ms after the cancellation was answered with \
                     {status}",
                    run.task, run.worker
                ));
            }
        }
    }
    Ok(match seen.first() {
        None => Verdict::Held,
        Some(first) => {
            for text in &seen {
                deployment.record.note(format!("UNASKED: {text}"));
            }
            Verdict::Broken(format!("{first}; {} tasks in all", seen.len()))
        }
    })
}
