//! Open-loop load over HTTP against running entry hosts.
//!
//! Send times are generated in advance from the scenario's seed and do not depend on the answers.
//! Response times are measured from the intended send time, so that a delayed send counts as
//! latency (no coordinated omission). The workers must be stand-ins, which run each task for the
//! time given in its payload.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_client::{CallerClient, ClientError, ClientOptions, JobSpec};
use bramley_wire::caller::TaskSpec;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::report::WorkloadRow;
use crate::scenario::{Scenario, Workload};

/// Histograms hold integers, so ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// Delay before the first job, in which all senders are spawned.
const START_DELAY: Duration = Duration::from_millis(200);

/// A generated job and when to send it, relative to the start of the run.
#[derive(Debug)]
struct PlannedJob {
    workload: usize,
    send_offset: Duration,
    spec: JobSpec,
    expected_results: Vec<String>,
    longest_run_ms: u64,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobOutcome {
    Complete,
    Refused,
    Failed,
    /// The results are not those of the job.
    Mismatched,
}

/// Results of an offered load.
#[derive(Clone, Debug)]
pub struct OfferReport {
    /// Results by workload.
    pub rows: Vec<WorkloadRow>,
    /// Complete answers whose results were not those of the job.
    pub crossed_answers: u64,
}

/// Sends the load of a scenario to entry hosts and returns the results.
pub async fn offer_load(scenario: &Scenario, entries: &[SocketAddr]) -> OfferReport {
    let clients = create_clients(scenario, entries);
    let start_time = Instant::now() + START_DELAY;
    let mut jobs = JoinSet::new();
    for job in generate_jobs(scenario) {
        let client = Arc::clone(&clients[job.workload]);
        jobs.spawn(send_job(client, job, start_time));
    }
    let mut report = OfferReport {
        rows: Vec::new(),
        crossed_answers: 0,
    };
    let mut finished_jobs = Vec::new();
    while let Some(result) = jobs.join_next().await {
        if let Ok(result) = result {
            finished_jobs.push(result);
        }
    }
    for (workload_index, workload) in scenario.workloads.iter().enumerate() {
        let workload_jobs = finished_jobs
            .iter()
            .filter(|(position, ..)| *position == workload_index);
        let outcomes: Vec<(JobOutcome, f64)> = workload_jobs
            .map(|(_, outcome, ratio)| (*outcome, *ratio))
            .collect();
        let is_mismatched = |(outcome, _): &&(JobOutcome, f64)| *outcome == JobOutcome::Mismatched;
        report.crossed_answers += outcomes.iter().filter(is_mismatched).count() as u64;
        report.rows.push(summarise(workload, &outcomes));
    }
    report
}

fn create_clients(scenario: &Scenario, entries: &[SocketAddr]) -> Vec<Arc<CallerClient>> {
    let create_client = |workload: &Workload| {
        Arc::new(CallerClient::new(ClientOptions {
            entry_addresses: entries.to_vec(),
            team: Arc::from(workload.team.as_str()),
            request_timeout_ms: u64::from(workload.answer_within_ms),
            ..ClientOptions::default()
        }))
    };
    scenario.workloads.iter().map(create_client).collect()
}

fn generate_jobs(scenario: &Scenario) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut jobs = Vec::new();
    for (workload_index, workload) in scenario.workloads.iter().enumerate() {
        let job_us = workload.mean_run_us() * workload.mean_tasks();
        let mut time_us = 0.0;
        loop {
            let load = f64::from(scenario.load_percent_at(time_us as u64)) / 100.0;
            let share = f64::from(workload.share_percent) / 100.0;
            let rate = load * share * scenario.total_slots() as f64 / job_us;
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            time_us += -uniform.ln() / rate;
            if rate <= 0.0 || time_us >= (scenario.duration_ms * 1_000) as f64 {
                break;
            }
            let send_offset = Duration::from_micros(time_us as u64);
            jobs.push(generate_job(
                workload,
                workload_index,
                send_offset,
                &mut rng,
            ));
        }
    }
    jobs
}

fn generate_job(
    workload: &Workload,
    workload_index: usize,
    send_offset: Duration,
    rng: &mut ChaCha8Rng,
) -> PlannedJob {
    let count = rng.random_range(workload.min_tasks..=workload.max_tasks);
    let mut tasks = Vec::with_capacity(count as usize);
    let mut expected_results = Vec::with_capacity(count as usize);
    let mut longest_run_ms = 0;
    for _ in 0..count {
        let run_ms = workload.sample_run_us(rng) / 1_000;
        longest_run_ms = longest_run_ms.max(run_ms);
        let echo = format!("{:016x}", rng.random::<u64>());
        let payload = serde_json::json!({
            "run_ms": run_ms,
            "echo": echo,
            "fail": workload.fails,
        });
        tasks.push(TaskSpec {
            payload: payload.to_string(),
            accelerators: workload.accelerators,
            memory_mib: workload.memory_mib,
            declared_ms: workload.declared_ms,
        });
        expected_results.push(echo);
    }
    PlannedJob {
        workload: workload_index,
        send_offset,
        spec: JobSpec {
            class: Arc::from(workload.class.as_str()),
            idempotent: workload.idempotent,
            tasks,
            ..JobSpec::default()
        },
        expected_results,
        longest_run_ms,
    }
}

async fn send_job(
    client: Arc<CallerClient>,
    job: PlannedJob,
    start_time: Instant,
) -> (usize, JobOutcome, f64) {
    let send_at = start_time + job.send_offset;
    sleep_until(send_at).await;
    let answer = client.submit(job.spec).await;
    let response_ms = send_at.elapsed().as_secs_f64() * 1_000.0;
    let ratio = response_ms / job.longest_run_ms.max(1) as f64;
    let outcome = match answer {
        Ok(answer) if answer.results == job.expected_results => JobOutcome::Complete,
        Ok(_) | Err(ClientError::MismatchedAnswer { .. }) => JobOutcome::Mismatched,
        Err(ClientError::NoTicket { .. } | ClientError::NotSubmitted { .. }) => JobOutcome::Refused,
        Err(ClientError::Failed { report, .. }) if report.tasks.is_empty() => JobOutcome::Refused,
        Err(
            ClientError::Failed { .. }
            | ClientError::NoEntryHost
            | ClientError::Undetermined { .. },
        ) => JobOutcome::Failed,
    };
    (job.workload, outcome, ratio)
}

fn summarise(workload: &Workload, outcomes: &[(JobOutcome, f64)]) -> WorkloadRow {
    let mut ratios: Histogram<u64> = Histogram::new(3).expect("3 significant digits are valid");
    let complete = outcomes
        .iter()
        .filter(|(outcome, _)| *outcome == JobOutcome::Complete);
    for (_, ratio) in complete {
        ratios.saturating_record((ratio * RATIO_SCALE) as u64);
    }
    let count = |wanted: JobOutcome| {
        let same = outcomes.iter().filter(|(outcome, _)| *outcome == wanted);
        same.count() as u64
    };
    let quantile = |q: f64| ratios.value_at_quantile(q) as f64 / RATIO_SCALE;
    WorkloadRow {
        team: workload.team.clone(),
        class: workload.class.clone(),
        offered: outcomes.len() as u64,
        complete: count(JobOutcome::Complete),
        refused: count(JobOutcome::Refused),
        failed: count(JobOutcome::Failed) + count(JobOutcome::Mismatched),
        cancelled: 0,
        late: 0,
        mean: ratios.mean() / RATIO_SCALE,
        p50: quantile(0.5),
        p90: quantile(0.9),
        p99: quantile(0.99),
        p999: quantile(0.999),
        deadline_p99: 0.0,
    }
}
