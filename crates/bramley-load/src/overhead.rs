//! What an entry process adds to a call, and the processor time that it spends on each start.
//!
//! Jobs go to an entry host and, at the same rate in the same run, single calls go directly to
//! workers that no entry host uses. Arrivals are open-loop, but latencies count from the actual
//! time of sending: timers tick in milliseconds here, more than what is to be measured.

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

/// Clock ticks of processor time in a second, as Linux counts them for processes.
const TICKS_PER_SECOND: u64 = 100;

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Time between the taking of tickets and the first job.
const LEAD_TIME: Duration = Duration::from_millis(200);

/// Tickets taken in one call.
const TICKET_BLOCK: u32 = 1_000;

/// Latest start of direct calls, far away, in milliseconds since the Unix epoch.
const NO_DEADLINE_UNIX_MS: u64 = u64::MAX / 2;

/// What to measure.
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
    /// Jobs and direct calls in a second, each.
    pub rate: u32,
    /// Tasks of each job.
    pub tasks: u32,
    /// Run time of each task in milliseconds.
    pub run_ms: u32,
    /// Length of the run in seconds.
    pub seconds: u32,
    /// Process of the entry host, to read its processor time.
    pub process_id: Option<u32>,
}

/// What was measured.
#[derive(Debug)]
pub struct OverheadReport {
    /// Latency of direct calls in microseconds.
    pub direct: Histogram<u64>,
    /// Latency of jobs in microseconds.
    pub jobs: Histogram<u64>,
    /// Jobs that were not complete, and direct calls that were not finished.
    pub failures: u64,
    /// Tasks that ran to their end through the entry host.
    pub finished_tasks: u64,
    /// Time from the first sending to the last answer.
    pub elapsed: Duration,
    /// Processor time that the entry process used meanwhile.
    pub processor_time: Option<Duration>,
}

impl OverheadReport {
    /// Returns the figures as lines of text.
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
            "finished tasks: {} ({rate:.0} a second), failures: {}",
            self.finished_tasks, self.failures
        ));
        if let Some(time) = self.processor_time {
            let each = time.as_secs_f64() / self.finished_tasks.max(1) as f64;
            let cores = time.as_secs_f64() / self.elapsed.as_secs_f64();
            lines.push(format!(
                "entry process: {:.1} us of processor time for each start, {cores:.2} cores busy",
                each * 1e6
            ));
        }
        lines.join("\n")
    }
}

#[derive(Clone, Debug)]
struct JsonCaller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl JsonCaller {
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

/// One finished exchange.
struct ExchangeSample {
    direct: bool,
    succeeded: bool,
    tasks: u64,
    micros: u64,
}

/// Sends the load of a plan and returns what was measured.
///
/// # Errors
///
/// Returns a message if no tickets can be taken or no histogram can be made.
pub async fn measure_overhead(plan: OverheadPlan) -> Result<OverheadReport, String> {
    let plan = Arc::new(plan);
    let caller = JsonCaller::new();
    let total = plan.rate * plan.seconds;
    let tickets = take_tickets(&caller, &plan, total).await?;
    let processor_before = plan.process_id.and_then(read_processor_time);
    let begin = Instant::now() + LEAD_TIME;
    let mut exchanges = JoinSet::new();
    for (number, ticket) in (0_u32..).zip(tickets) {
        let at = begin + Duration::from_secs(1) * number / plan.rate;
        exchanges.spawn(send_job(caller.clone(), Arc::clone(&plan), ticket, at));
        if !plan.direct_workers.is_empty() {
            // Direct calls stand between the jobs, so that neither waits for the other's burst.
            let at = at + Duration::from_secs(1) / (2 * plan.rate);
            exchanges.spawn(send_directly(caller.clone(), Arc::clone(&plan), number, at));
        }
    }
    let mut report = empty_report()?;
    while let Some(sample) = exchanges.join_next().await {
        match sample {
            Ok(sample) => record(&mut report, &sample),
            Err(_) => report.failures += 1,
        }
    }
    report.elapsed = begin.elapsed();
    let processor_after = plan.process_id.and_then(read_processor_time);
    report.processor_time = processor_after
        .zip(processor_before)
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
        processor_time: None,
    })
}

fn record(report: &mut OverheadReport, sample: &ExchangeSample) {
    if !sample.succeeded {
        report.failures += 1;
        return;
    }
    let histogram = if sample.direct {
        &mut report.direct
    } else {
        &mut report.jobs
    };
    histogram.saturating_record(sample.micros);
    report.finished_tasks += sample.tasks;
}

async fn take_tickets(
    caller: &JsonCaller,
    plan: &OverheadPlan,
    total: u32,
) -> Result<Vec<String>, String> {
    let mut tickets = Vec::new();
    while tickets.len() < total as usize {
        let request = TicketRequest {
            team: plan.team.clone(),
            count: TICKET_BLOCK,
        };
        let reply: Option<TicketReply> = caller.post(plan.entry, "/v1/tickets", &request).await;
        let reply = reply.ok_or("the entry host issues no tickets")?;
        tickets.extend(reply.tickets);
    }
    tickets.truncate(total as usize);
    Ok(tickets)
}

async fn send_job(
    caller: JsonCaller,
    plan: Arc<OverheadPlan>,
    ticket: String,
    at: Instant,
) -> ExchangeSample {
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
    sleep_until(at).await;
    let sent = Instant::now();
    let reply: Option<JobReply> = caller.post(plan.entry, "/v1/jobs", &request).await;
    let succeeded = reply.is_some_and(|reply| reply.outcome == "complete");
    let tasks = u64::from(plan.tasks);
    ExchangeSample {
        direct: false,
        succeeded,
        tasks,
        micros: micros_since(sent),
    }
}

async fn send_directly(
    caller: JsonCaller,
    plan: Arc<OverheadPlan>,
    number: u32,
    at: Instant,
) -> ExchangeSample {
    let worker = plan.direct_workers[number as usize % plan.direct_workers.len()];
    let request = StartRequest {
        task: format!("direct.{number}"),
        team: plan.team.clone(),
        class: plan.class.clone(),
        payload: payload(&plan),
        start_before_unix_ms: NO_DEADLINE_UNIX_MS,
        ..StartRequest::default()
    };
    sleep_until(at).await;
    let sent = Instant::now();
    let reply: Option<StartReply> = caller.post(worker, "/tasks", &request).await;
    let succeeded = reply.is_some_and(|reply| reply.status == "finished");
    ExchangeSample {
        direct: true,
        succeeded,
        tasks: 0,
        micros: micros_since(sent),
    }
}

fn payload(plan: &OverheadPlan) -> String {
    format!(r#"{{"run_ms":{},"echo":"x","fail":false}}"#, plan.run_ms)
}

fn micros_since(sent: Instant) -> u64 {
    u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Reads the processor time that a process has used so far.
fn read_processor_time(process_id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    // The name in brackets may hold spaces; user and system time follow as the 12th and 13th.
    let (_, fields) = text.rsplit_once(") ")?;
    let mut times = fields.split_whitespace().skip(11);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}
