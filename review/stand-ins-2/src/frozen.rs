//! A job shown as completed although most of its tasks have not run: the host that serves its client
//! stands still while the job is divided between two zones.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use crate::deployment::{Deployment, OTHER_ZONE, ZONE, ZoneSize};
use crate::{CaseSetup, Verdict, job_name, submission};

/// Time for which the host stands still; the largest in the site file is 4 s.
const FREEZE: Duration = Duration::from_millis(600);

/// Number of jobs that are divided.
const ROUNDS: u64 = 5;

/// Tasks of a job.
const TASKS: u32 = 4;

/// Run time of a task.
const RUN_MS: u64 = 400;

/// CPU of a task in thousandths of a core; two fit on a worker.
const CPU_MILLI: u32 = 14_000;

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(2_000);

/// Runs the case.
pub async fn run(setup: &CaseSetup) -> Result<Verdict, String> {
    let kinds = ["a", "a", "a"];
    let zones = [
        ZoneSize {
            zone: ZONE,
            hosts: 2,
            kinds: &kinds,
        },
        ZoneSize {
            zone: OTHER_ZONE,
            hosts: 1,
            kinds: &kinds,
        },
    ];
    let deployment =
        Deployment::start(setup.scratch.clone(), setup.repository.clone(), &zones).await?;
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
    let mut seen = Vec::new();
    for round in 0..ROUNDS {
        if let Some(text) = play_round(deployment, round, has_trouble).await? {
            deployment.record.note(format!("MIXED: {text}"));
            seen.push(text);
        }
        sleep(PAUSE).await;
    }
    Ok(match seen.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!("{first}; {} jobs of {ROUNDS}", seen.len())),
    })
}

/// Sends a job to a host beside the leader while its zone has room for one task and the other zone
/// gets free soon. Returns what was seen if it was shown as completed too early.
async fn play_round(
    deployment: &Deployment,
    round: u64,
    has_trouble: bool,
) -> Result<Option<String>, String> {
    let record = &deployment.record;
    let leader = deployment.leader(ZONE).ok_or("no host leads the zone")?;
    let others = deployment.hosts.iter().enumerate();
    let mut beside = others.filter(|(index, host)| *index != leader && host.zone == ZONE);
    let (serving, _) = beside.next().ok_or("there is no host beside the leader")?;
    let distant = deployment.hosts.len() - 1;
    let number = 10 * round;
    let (job, near, far) = (job_name(number), job_name(number + 1), job_name(number + 2));
    // Five of the six places of the zone, and all six of the other zone, are taken.
    let near_fill = deployment.send(leader, submission(&near, 5, 350, CPU_MILLI, 1_500));
    let far_fill = deployment.send(distant, submission(&far, 6, 180, CPU_MILLI, 1_500));
    let divided = async {
        sleep(Duration::from_millis(40)).await;
        let request = submission(&job, TASKS, RUN_MS, CPU_MILLI, 3_000);
        deployment.send(serving, request).await
    };
    let freeze = async {
        wait_for_run(deployment, &job).await;
        if has_trouble {
            let host = &deployment.hosts[serving];
            record.note(format!("{} stands still", host.name));
            host.signal(Signal::STOP)?;
            sleep(FREEZE).await;
            host.signal(Signal::CONT)?;
            record.note(format!("{} goes on", host.name));
        }
        Ok::<(), String>(())
    };
    let (_near, _far, outcome, frozen) = tokio::join!(near_fill, far_fill, divided, freeze);
    frozen?;
    let is_completed = outcome
        .response
        .is_some_and(|(status, body)| status == 200 && body.contains("completed"));
    if !is_completed {
        return Ok(None);
    }
    sleep(Duration::from_secs(1)).await;
    let runs = deployment.recorder.runs_of(&job);
    let is_done = |index: u32| {
        let task = format!("{job}.0.0.{index}");
        runs.iter().any(|run| {
            let has_ended = run.ended.is_some_and(|ended| ended <= outcome.ended_at);
            run.task == task && run.how == "done" && has_ended
        })
    };
    let missing: Vec<u32> = (0..TASKS).filter(|index| !is_done(*index)).collect();
    let begun = missing
        .iter()
        .filter(|index| {
            runs.iter()
                .any(|run| run.task == format!("{job}.0.0.{index}"))
        })
        .count();
    Ok((!missing.is_empty()).then(|| {
        format!(
            "job {job} was shown as completed, and {} of its {TASKS} tasks had not ended so; \
             {begun} of these have begun at all",
            missing.len()
        )
    }))
}

async fn wait_for_run(deployment: &Deployment, job: &str) {
    let limit = Instant::now() + Duration::from_secs(1);
    while Instant::now() < limit && deployment.recorder.runs_of(job).is_empty() {
        sleep(Duration::from_millis(2)).await;
    }
}
