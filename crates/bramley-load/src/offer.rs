//! Open-loop load over HTTP against running entry hosts.
//!
//! Jobs are sent at times drawn ahead from the scenario's seed, whether or not answers come, and
//! response times count from the intended time of sending. The workers are expected to be
//! stand-ins, which run a task as long as its payload says.

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

/// Ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// Time after the first moment at which the first job is sent.
const LEAD_TIME: Duration = Duration::from_millis(200);

/// A job with the time at which it is to be sent.
#[derive(Debug)]
struct PlannedJob {
    workload: usize,
    after: Duration,
    spec: JobSpec,
    echoes: Vec<String>,
    longest_ms: u64,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OfferOutcome {
    Complete,
    Refused,
    Failed,
    Crossed,
}

/// Figures of an offered load.
#[derive(Clone, Debug)]
pub struct OfferReport {
    /// Figures by workload.
    pub rows: Vec<WorkloadRow>,
    /// Complete answers whose results were not those of the job.
    pub crossed_answers: u64,
}

/// Offers the load of a scenario to entry hosts and returns what was found.
pub async fn offer_load(scenario: &Scenario, entries: &[SocketAddr]) -> OfferReport {
    let clients = make_clients(scenario, entries);
    let begin = Instant::now() + LEAD_TIME;
    let mut jobs = JoinSet::new();
    for job in plan_jobs(scenario) {
        let client = Arc::clone(&clients[job.workload]);
        jobs.spawn(send_job(client, job, begin));
    }
    let mut report = OfferReport {
        rows: Vec::new(),
        crossed_answers: 0,
    };
    let mut found = Vec::new();
    while let Some(ended) = jobs.join_next().await {
        if let Ok(ended) = ended {
            found.push(ended);
        }
    }
    for (number, workload) in scenario.workloads.iter().enumerate() {
        let of_workload = found.iter().filter(|(position, ..)| *position == number);
        let outcomes: Vec<(OfferOutcome, f64)> = of_workload
            .map(|(_, outcome, ratio)| (*outcome, *ratio))
            .collect();
        let crossed = |(outcome, _): &&(OfferOutcome, f64)| *outcome == OfferOutcome::Crossed;
        report.crossed_answers += outcomes.iter().filter(crossed).count() as u64;
        report.rows.push(summarise(workload, &outcomes));
    }
    report
}

fn make_clients(scenario: &Scenario, entries: &[SocketAddr]) -> Vec<Arc<CallerClient>> {
    let client_of = |workload: &Workload| {
        Arc::new(CallerClient::new(ClientOptions {
            entry_addresses: entries.to_vec(),
            team: Arc::from(workload.team.as_str()),
            request_deadline_ms: u64::from(workload.answer_within_ms),
            ..ClientOptions::default()
        }))
    };
    scenario.workloads.iter().map(client_of).collect()
}

fn plan_jobs(scenario: &Scenario) -> Vec<PlannedJob> {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut jobs = Vec::new();
    for (number, workload) in scenario.workloads.iter().enumerate() {
        let job_us = workload.mean_run_us() * workload.mean_tasks();
        let mut time_us = 0.0;
        loop {
            let load = f64::from(scenario.load_at(time_us as u64)) / 100.0;
            let share = f64::from(workload.share_percent) / 100.0;
            let rate = load * share * scenario.total_slots() as f64 / job_us;
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            time_us += -uniform.ln() / rate;
            if rate <= 0.0 || time_us >= (scenario.duration_ms * 1_000) as f64 {
                break;
            }
            let after = Duration::from_micros(time_us as u64);
            jobs.push(plan_job(workload, number, after, &mut random));
        }
    }
    jobs
}

fn plan_job(
    workload: &Workload,
    number: usize,
    after: Duration,
    random: &mut ChaCha8Rng,
) -> PlannedJob {
    let count = random.random_range(workload.min_tasks..=workload.max_tasks);
    let mut tasks = Vec::with_capacity(count as usize);
    let mut echoes = Vec::with_capacity(count as usize);
    let mut longest_ms = 0;
    for _ in 0..count {
        let run_ms = workload.draw_run_us(random) / 1_000;
        longest_ms = longest_ms.max(run_ms);
        let echo = format!("{:016x}", random.random::<u64>());
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
        echoes.push(echo);
    }
    PlannedJob {
        workload: number,
        after,
        spec: JobSpec {
            class: Arc::from(workload.class.as_str()),
            idempotent: workload.idempotent,
            tasks,
            ..JobSpec::default()
        },
        echoes,
        longest_ms,
    }
}

async fn send_job(
    client: Arc<CallerClient>,
    job: PlannedJob,
    begin: Instant,
) -> (usize, OfferOutcome, f64) {
    let send_at = begin + job.after;
    sleep_until(send_at).await;
    let answer = client.submit(job.spec).await;
    let response_ms = send_at.elapsed().as_secs_f64() * 1_000.0;
    let ratio = response_ms / job.longest_ms.max(1) as f64;
    let outcome = match answer {
        Ok(answer) if answer.results == job.echoes => OfferOutcome::Complete,
        Ok(_) | Err(ClientError::CrossedAnswer { .. }) => OfferOutcome::Crossed,
        Err(ClientError::NoTicket { .. } | ClientError::NotSubmitted { .. }) => {
            OfferOutcome::Refused
        }
        Err(ClientError::Failed { report, .. }) if report.tasks.is_empty() => OfferOutcome::Refused,
        Err(
            ClientError::Failed { .. }
            | ClientError::NoEntryHost
            | ClientError::Undetermined { .. },
        ) => OfferOutcome::Failed,
    };
    (job.workload, outcome, ratio)
}

fn summarise(workload: &Workload, outcomes: &[(OfferOutcome, f64)]) -> WorkloadRow {
    let mut ratios: Histogram<u64> = Histogram::new(3).expect("three digits are allowed");
    let complete = outcomes
        .iter()
        .filter(|(outcome, _)| *outcome == OfferOutcome::Complete);
    for (_, ratio) in complete {
        ratios.saturating_record((ratio * RATIO_SCALE) as u64);
    }
    let count = |wanted: OfferOutcome| {
        let same = outcomes.iter().filter(|(outcome, _)| *outcome == wanted);
        same.count() as u64
    };
    let quantile = |q: f64| ratios.value_at_quantile(q) as f64 / RATIO_SCALE;
    WorkloadRow {
        team: workload.team.clone(),
        class: workload.class.clone(),
        offered: outcomes.len() as u64,
        complete: count(OfferOutcome::Complete),
        refused: count(OfferOutcome::Refused),
        failed: count(OfferOutcome::Failed) + count(OfferOutcome::Crossed),
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
