//! Sends jobs over kept connections and sends them again as the platform's clients do.

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

/// Time after which a job is sent again that had no answer.
const RESEND: Duration = Duration::from_millis(1_300);

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(6_000);

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time after sending from which a connection that ends without an answer has cut the request off; the
/// platform's bound.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Processor share of a task in thousandths of a core.
const TASK_CPU: u64 = 10_000;

/// What became of a job.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// Name of the job.
    pub name: String,
    /// Tasks.
    pub tasks: u32,
    /// Times that it was sent.
    pub sends: u32,
    /// Whether every time that it was sent it was refused as not run.
    pub refused: bool,
    /// Connections that ended without an answer although the request had long been sent.
    pub cuts: u32,
    /// State in the last answer, if one came.
    pub state: Option<String>,
    /// Time of the first send.
    pub sent_at: Instant,
}

/// Outcomes of all callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct OutcomeList {
    outcomes: Arc<Mutex<Vec<JobOutcome>>>,
}

impl OutcomeList {
    /// Returns all outcomes so far.
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

/// Sends jobs one after the other until it is told to end.
pub async fn run_caller(
    seed: u64,
    hosts: Vec<SocketAddr>,
    outcomes: OutcomeList,
    ends: Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut kept: Option<SendRequest<Full<Bytes>>> = None;
    while !ends.load(Ordering::Relaxed) {
        let name = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..5);
        let run_ms: u64 = rng.random_range(20..400);
        let body = format!(
            "{{\"spec\":\"{run_ms} {TASK_CPU}\",\"best_effort\":true,\"steps\":[{{\"count\":{tasks},\
             \"cpu\":{TASK_CPU},\"mem_mb\":64,\"estimate_ms\":{run_ms}}}]}}"
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
        while outcome.sent_at.elapsed() < DEADLINE {
            let host = hosts[rng.random_range(0..hosts.len())];
            outcome.sends += 1;
            let answer = send_job(&mut kept, host, &outcome.name, &body).await;
            match answer {
                SendResult::Answered(StatusCode::OK, text) => {
                    outcome.refused = false;
                    outcome.state = Some(text);
                    break;
                }
                SendResult::Answered(StatusCode::SERVICE_UNAVAILABLE, _) => break,
                SendResult::Answered(..) | SendResult::Unanswered => outcome.refused = false,
                SendResult::CutOff => {
                    outcome.refused = false;
                    outcome.cuts += 1;
                }
            }
            sleep(RESEND).await;
        }
        outcomes.add(outcome);
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// What became of one sending of a job.
#[derive(Debug)]
enum SendResult {
    /// It was answered with this status and body.
    Answered(StatusCode, String),
    /// It had no answer, and may not have been read.
    Unanswered,
    /// Its connection ended without an answer long after it had been sent.
    CutOff,
}

/// Sends a job over the kept connection, or a new one to `host`.
async fn send_job(
    kept: &mut Option<SendRequest<Full<Bytes>>>,
    host: SocketAddr,
    name: &str,
    body: &str,
) -> SendResult {
    let usable = kept.take().filter(SendRequest::is_ready);
    let connected = match usable {
        Some(sender) => Some(sender),
        None => connect(host).await,
    };
    let Some(mut sender) = connected else {
        return SendResult::Unanswered;
    };
    let sent_at = Instant::now();
    match timeout(DEADLINE, exchange(&mut sender, name, body)).await {
        Ok(Some((status, text))) => {
            *kept = Some(sender);
            SendResult::Answered(status, text)
        }
        Ok(None) if sent_at.elapsed() > LOSS_SLACK => SendResult::CutOff,
        Ok(None) | Err(_) => SendResult::Unanswered,
    }
}

/// Sends a request and reads the whole answer; none if the connection ends before.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    name: &str,
    body: &str,
) -> Option<(StatusCode, String)> {
    let request = Request::post(format!("{ROUTE_PREFIX}{name}"))
        .header(HOST, ROUTE_HOST)
        .header(CONTENT_TYPE, "application/json")
        .header("Deadline-Ms", DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::from(String::from(body))))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&bytes).into_owned()))
}

async fn connect(host: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_LIMIT, TcpStream::connect(host))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // A broken connection shows itself at the request.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}
