//! Measures the latency that an entry host adds to a call and its CPU time per task start.
//!
//! Jobs are sent to an entry host while, at the same rate, single calls are sent directly to
//! workers that no entry host uses. Arrivals are open-loop, but latency is measured from the
//! actual send time: the timer resolution of 1 ms is coarser than the overhead to be measured.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_wire::caller::{JobReply, JobRequest, TaskSpec, TicketReply, TicketRequest};
use bramley_wire::worker::{StartReply, StartRequest};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Clock ticks per second in the CPU times of `/proc/<pid>/stat` on Linux.
const CLOCK_TICKS_PER_SECOND: u64 = 100;

/// Largest latency that the histograms record, in microseconds; longer ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Delay between the issue of tickets and the first job.
const START_DELAY: Duration = Duration::from_millis(200);

/// Tickets requested in one call.
const TICKETS_PER_REQUEST: u32 = 1_000;

/// Start deadline of direct calls, in milliseconds since the Unix epoch; too far in the future to
/// be reached.
const NO_DEADLINE_UNIX_MS: u64 = u64::MAX / 2;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct OverheadPlan {
    /// Entry host.
    pub entry: SocketAddr,
    /// Workers that no entry host uses.
    pub direct_workers: Vec<SocketAddr>,
    /// Team.
    pub team: String,
    /// Task class.
    pub class: String,
    /// Rate of jobs and of direct calls, per second each.
    pub rate: u32,
    /// Tasks per job.
    pub tasks: u32,
    /// Run time of each task in milliseconds.
    pub run_ms: u32,
    /// Duration of the run in seconds.
    pub seconds: u32,
    /// Process id of the entry host, to read its CPU time.
    pub process_id: Option<u32>,
}

/// Results of a measurement.
#[derive(Debug)]
pub struct OverheadReport {
    /// Latency of direct calls in microseconds.
    pub direct: Histogram<u64>,
    /// Latency of jobs in microseconds.
    pub jobs: Histogram<u64>,
    /// Jobs that did not complete and direct calls that did not finish.
    pub failures: u64,
    /// Tasks that finished through the entry host.
    pub finished_tasks: u64,
    /// Time from the first request to the last response.
    pub elapsed: Duration,
    /// CPU time that the entry host's process used in this time.
    pub cpu_time: Option<Duration>,
}

impl OverheadReport {
    /// Formats the results as lines of text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut lines = Vec::new();
        for (name, histogram) in [("direct", &self.direct), ("through entry", &self.jobs)] {
            lines.push(format!(
                "{name}: count={} p50={} us p90={} us p99={} us p99.9={} us",
                histogram.len(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.9),
                histogram.value_at_quantile(0.99),
                histogram.value_at_quantile(0.999),
            ));
        }
        for quantile in [0.5, 0.99] {
            let direct = self.direct.value_at_quantile(quantile);
            let jobs = self.jobs.value_at_quantile(quantile);
            let percent = quantile * 100.0;
            lines.push(format!(
                "added at p{percent:.0}: {} us",
                jobs.saturating_sub(direct)
            ));
        }
        let rate = self.finished_tasks as f64 / self.elapsed.as_secs_f64();
        lines.push(format!(
            "finished tasks: {} ({rate:.0} per second), failures: {}",
            self.finished_tasks, self.failures
        ));
        if let Some(time) = self.cpu_time {
            let each = time.as_secs_f64() / self.finished_tasks.max(1) as f64;
            let cores = time.as_secs_f64() / self.elapsed.as_secs_f64();
            lines.push(format!(
                "entry process: {:.1} us of CPU time per task start, {cores:.2} cores busy",
                each * 1e6
            ));
        }
        lines.join("\n")
    }
}

#[derive(Clone, Debug)]
struct JsonClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { http }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Option<T> {
        let body = serde_json::to_vec(message).ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let response = self.http.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}

/// Measurement of one job or direct call.
struct CallSample {
    direct: bool,
    succeeded: bool,
    tasks: u64,
    latency_micros: u64,
}

/// Runs a measurement.
///
/// # Errors
///
/// Returns a message if the entry host issues no tickets or a histogram cannot be created.
pub async fn measure_overhead(plan: OverheadPlan) -> Result<OverheadReport, String> {
    let plan = Arc::new(plan);
    let client = JsonClient::new();
    let total = plan.rate * plan.seconds;
    let tickets = request_tickets(&client, &plan, total).await?;
    let cpu_time_before = plan.process_id.and_then(read_cpu_time);
    let start_time = Instant::now() + START_DELAY;
    let mut calls = JoinSet::new();
    for (call_index, ticket) in (0_u32..).zip(tickets) {
        let send_at = start_time + Duration::from_secs(1) * call_index / plan.rate;
        calls.spawn(send_job(client.clone(), Arc::clone(&plan), ticket, send_at));
        if !plan.direct_workers.is_empty() {
            // Direct calls are sent halfway between two jobs, so that neither waits behind the
            // other's burst.
            let send_at = send_at + Duration::from_secs(1) / (2 * plan.rate);
            calls.spawn(send_direct_call(
                client.clone(),
                Arc::clone(&plan),
                call_index,
                send_at,
            ));
        }
    }
    let mut report = empty_report()?;
    while let Some(sample) = calls.join_next().await {
        match sample {
            Ok(sample) => record_sample(&mut report, &sample),
            Err(_) => report.failures += 1,
        }
    }
    report.elapsed = start_time.elapsed();
    let cpu_time_after = plan.process_id.and_then(read_cpu_time);
    report.cpu_time = cpu_time_after
        .zip(cpu_time_before)
        .map(|(after, before)| after.saturating_sub(before));
    Ok(report)
}

fn empty_report() -> Result<OverheadReport, String> {
    let histogram =
        || Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).map_err(|error| error.to_string());
    Ok(OverheadReport {
        direct: histogram()?,
        jobs: histogram()?,
        failures: 0,
        finished_tasks: 0,
        elapsed: Duration::ZERO,
        cpu_time: None,
    })
}

fn record_sample(report: &mut OverheadReport, sample: &CallSample) {
    if !sample.succeeded {
        report.failures += 1;
        return;
    }
    let histogram = if sample.direct {
        &mut report.direct
    } else {
        &mut report.jobs
    };
    histogram.saturating_record(sample.latency_micros);
    report.finished_tasks += sample.tasks;
}

async fn request_tickets(
    client: &JsonClient,
    plan: &OverheadPlan,
    total: u32,
) -> Result<Vec<String>, String> {
    let mut tickets = Vec::new();
    while tickets.len() < total as usize {
        let request = TicketRequest {
            team: plan.team.clone(),
            count: TICKETS_PER_REQUEST,
        };
        let reply: Option<TicketReply> = client.post(plan.entry, "/v1/tickets", &request).await;
        let reply = reply.ok_or("the entry host did not issue tickets")?;
        tickets.extend(reply.tickets);
    }
    tickets.truncate(total as usize);
    Ok(tickets)
}

async fn send_job(
    client: JsonClient,
    plan: Arc<OverheadPlan>,
    ticket: String,
    send_at: Instant,
) -> CallSample {
    let task = TaskSpec {
        payload: payload(&plan),
        ..TaskSpec::default()
    };
    let request = JobRequest {
        ticket,
        team: plan.team.clone(),
        class: plan.class.clone(),
        tasks: vec![task; plan.tasks as usize],
        ..JobRequest::default()
    };
    sleep_until(send_at).await;
    let sent_at = Instant::now();
    let reply: Option<JobReply> = client.post(plan.entry, "/v1/jobs", &request).await;
    let succeeded = reply.is_some_and(|reply| reply.outcome == "complete");
    let tasks = u64::from(plan.tasks);
    CallSample {
        direct: false,
        succeeded,
        tasks,
        latency_micros: elapsed_micros(sent_at),
    }
}

async fn send_direct_call(
    client: JsonClient,
    plan: Arc<OverheadPlan>,
    call_index: u32,
    send_at: Instant,
) -> CallSample {
    let worker = plan.direct_workers[call_index as usize % plan.direct_workers.len()];
    let request = StartRequest {
        task: format!("direct.{call_index}"),
        team: plan.team.clone(),
        class: plan.class.clone(),
        payload: payload(&plan),
        start_before_unix_ms: NO_DEADLINE_UNIX_MS,
        ..StartRequest::default()
    };
    sleep_until(send_at).await;
    let sent_at = Instant::now();
    let reply: Option<StartReply> = client.post(worker, "/tasks", &request).await;
    let succeeded = reply.is_some_and(|reply| reply.status == "finished");
    CallSample {
        direct: true,
        succeeded,
        tasks: 0,
        latency_micros: elapsed_micros(sent_at),
    }
}

fn payload(plan: &OverheadPlan) -> String {
    format!(r#"{{"run_ms":{},"echo":"x","fail":false}}"#, plan.run_ms)
}

fn elapsed_micros(sent_at: Instant) -> u64 {
    u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Reads the CPU time (user and system) that a process has used so far.
fn read_cpu_time(process_id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    // The process name in parentheses may contain spaces. Of the fields after it, the 12th and
    // 13th are user and system time.
    let (_, fields) = text.rsplit_once(") ")?;
    let mut times = fields.split_whitespace().skip(11);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / CLOCK_TICKS_PER_SECOND,
    ))
}
