//! Submits jobs over persistent connections and retries them as the platform's clients do.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::deployment::{ROUTE_HOST, ROUTE_PREFIX};

/// Wait before a job without a conclusive response is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_300);

/// Deadline of a job, which is sent with it; that of a job of long tasks is longer by its longest run
/// time. A caller starts no retry after it, and a patient one waits this long for each response.
const JOB_DEADLINE: Duration = Duration::from_millis(6_000);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Age of a request from which a connection that closes without a response counts as cutting the
/// request off. The platform sets this limit.
const CUT_OFF_THRESHOLD: Duration = Duration::from_millis(200);

/// CPU requirement of a task in thousandths of a core.
const TASK_CPU_MILLI: u64 = 10_000;

/// Share of the jobs whose tasks crash each worker that starts them.
const CRASHING_SHARE: f64 = 0.02;

/// Longest time that a worker takes for a task, as a factor on the run time that its payload states.
const LONGEST_RUN_FACTOR: f64 = 1.4;

/// End of the payload of such tasks.
const CRASH_SUFFIX: &str = " crash";

/// What callers send and how long they wait.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Share of the jobs whose tasks run longer than the time after which a relay takes the runs of a
    /// lost pool for ended, which is 2,500 ms.
    pub long_share: f64,
    /// Range of the run times of such tasks in milliseconds.
    pub long_run_ms: std::ops::Range<u64>,
    /// Share of the callers that close a connection without a response some time after the response
    /// was expected, and send the job again to any host.
    pub impatient_share: f64,
    /// That time.
    pub patience: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            long_share: 0.3,
            long_run_ms: 2_000..5_000,
            impatient_share: 0.7,
            patience: Duration::from_millis(1_500),
        }
    }
}

impl CallerSettings {
    /// Returns settings for short jobs and patient callers.
    #[must_use]
    pub fn classic() -> Self {
        Self {
            long_share: 0.0,
            impatient_share: 0.0,
            ..Self::default()
        }
    }
}

/// Result of one job as its caller saw it.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// Name of the job: the last segment of the request path and the prefix of its task names.
    pub name: String,
    /// Number of tasks in the job's only step.
    pub tasks: u32,
    /// Number of attempts to send the job.
    pub sends: u32,
    /// Whether every attempt was refused with a 503, which guarantees that no task was run.
    pub refused: bool,
    /// Number of requests that were cut off: the connection closed without a response more than
    /// `CUT_OFF_THRESHOLD` after the request was sent.
    pub cuts: u32,
    /// Body of the 200 response with the job's state, if one arrived.
    pub state: Option<String>,
    /// Time of the first attempt.
    pub sent_at: Instant,
}

/// Outcomes recorded by all callers. Clones share the same list.
#[derive(Clone, Debug, Default)]
pub struct OutcomeList {
    outcomes: Arc<Mutex<Vec<JobOutcome>>>,
}

impl OutcomeList {
    /// Returns the outcomes recorded so far.
    #[must_use]
    pub fn all(&self) -> Vec<JobOutcome> {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }

    fn add(&self, outcome: JobOutcome) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }
}

/// Submits jobs one after the other until `stop` is set.
pub async fn run_caller(
    seed: u64,
    settings: CallerSettings,
    hosts: Vec<SocketAddr>,
    outcomes: OutcomeList,
    stop: Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // A generator of its own leaves the other draws of earlier seeds as they were.
    let mut crash_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut long_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24));
    let is_impatient = long_rng.random_bool(settings.impatient_share);
    let mut connection: Option<SendRequest<Full<Bytes>>> = None;
    while !stop.load(Ordering::Relaxed) {
        let name = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..5);
        let mut run_ms: u64 = rng.random_range(20..400);
        let mut deadline = JOB_DEADLINE;
        let is_long = long_rng.random_bool(settings.long_share);
        if is_long {
            run_ms = long_rng.random_range(settings.long_run_ms.clone());
            deadline += Duration::from_millis(run_ms).mul_f64(LONGEST_RUN_FACTOR);
        }
        let wait = if is_impatient {
            settings.patience + Duration::from_millis(run_ms).mul_f64(LONGEST_RUN_FACTOR)
        } else {
            deadline
        };
        let crash = if crash_rng.random_bool(CRASHING_SHARE) {
            CRASH_SUFFIX
        } else {
            ""
        };
        let body = format!(
            "{{\"spec\":\"{run_ms} {TASK_CPU_MILLI}{crash}\",\"best_effort\":true,\"steps\":[{{\"count\":{tasks},\
             \"cpu\":{TASK_CPU_MILLI},\"mem_mb\":64,\"estimate_ms\":{run_ms}}}]}}"
        );
        let mut outcome = JobOutcome {
            name,
            tasks,
            sends: 0,
            refused: true,
            cuts: 0,
            state: None,
            sent_at: Instant::now(),
        };
        while outcome.sent_at.elapsed() < deadline {
            let host = hosts[rng.random_range(0..hosts.len())];
            outcome.sends += 1;
            let request = JobRequest {
                name: &outcome.name,
                body: &body,
                deadline,
                wait,
            };
            let result = send_job(&mut connection, host, &request).await;
            match result {
                SendResult::Response(StatusCode::OK, text) => {
                    outcome.refused = false;
                    outcome.state = Some(text);
                    break;
                }
                SendResult::Response(StatusCode::SERVICE_UNAVAILABLE, _) => break,
                SendResult::Response(..) | SendResult::NoResponse => outcome.refused = false,
                SendResult::CutOff => {
                    outcome.refused = false;
                    outcome.cuts += 1;
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        outcomes.add(outcome);
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Result of one attempt to send a job.
#[derive(Debug)]
enum SendResult {
    /// A response with this status and body.
    Response(StatusCode, String),
    /// No response; the host may not have read the request.
    NoResponse,
    /// The connection closed without a response more than [`CUT_OFF_THRESHOLD`] after the request
    /// was sent.
    CutOff,
}

/// A job as it is sent.
#[derive(Clone, Copy, Debug)]
struct JobRequest<'a> {
    name: &'a str,
    body: &'a str,
    /// Deadline that is sent with it.
    deadline: Duration,
    /// Time for which the caller waits for the response.
    wait: Duration,
}

/// Sends a job over the persistent connection, or over a new one to `host` if there is none that is
/// ready.
async fn send_job(
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    host: SocketAddr,
    request: &JobRequest<'_>,
) -> SendResult {
    let usable = connection.take().filter(SendRequest::is_ready);
    let sender = match usable {
        Some(sender) => Some(sender),
        None => connect(host).await,
    };
    let Some(mut sender) = sender else {
        return SendResult::NoResponse;
    };
    let sent_at = Instant::now();
    match timeout(request.wait, exchange(&mut sender, request)).await {
        Ok(Some((status, text))) => {
            *connection = Some(sender);
            SendResult::Response(status, text)
        }
        Ok(None) if sent_at.elapsed() > CUT_OFF_THRESHOLD => SendResult::CutOff,
        Ok(None) | Err(_) => SendResult::NoResponse,
    }
}

/// Sends a request and reads the whole response. Returns `None` if the connection fails before that.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    job: &JobRequest<'_>,
) -> Option<(StatusCode, String)> {
    let request = Request::post(format!("{ROUTE_PREFIX}{}", job.name))
        .header(HOST, ROUTE_HOST)
        .header(CONTENT_TYPE, "application/json")
        .header("Deadline-Ms", job.deadline.as_millis().to_string())
        .body(Full::new(Bytes::from(String::from(job.body))))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&bytes).into_owned()))
}

async fn connect(host: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(host))
        .await
        .ok()?
        .ok()?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    // The next request on the connection reports its error.
    tokio::spawn(async move { drop(driver.await) });
    Some(sender)
}
