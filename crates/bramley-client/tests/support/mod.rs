//! An entry host that answers as a test tells it to.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bramley_client::ClientOptions;
use bramley_wire::caller::{
    FailureReport, JobReference, JobReply, JobRequest, TicketReply, TicketRequest,
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

/// Time after which an issued ticket expires.
const TICKET_LIFETIME: Duration = Duration::from_secs(3_600);

/// How the fake host answers one submission.
#[derive(Clone, Debug)]
pub enum ScriptedAnswer {
    /// The whole answer, with the payload of each task as its result.
    Complete,
    /// A whole answer to another ticket.
    OtherTicket,
    /// An answer without its last result.
    MissingResult,
    /// A failure.
    Failed(FailureReport),
    /// A failure that names no ticket.
    Unnamed(FailureReport),
    /// The job still runs.
    Running,
    /// The connection is cut without an answer.
    Cut,
    /// The connection stays open without an answer.
    Silent,
    /// A page of something between the client and the host.
    Unreadable,
}

/// One received submission.
#[derive(Clone, Debug)]
pub struct ReceivedJob {
    /// The body as it arrived.
    pub body: Bytes,
    /// The ticket in the body.
    pub ticket: String,
    /// Time of arrival.
    pub at: Instant,
    /// Number of the connection.
    pub connection: u64,
}

#[derive(Debug, Default)]
struct FakeState {
    script: VecDeque<ScriptedAnswer>,
    jobs: Vec<ReceivedJob>,
    tickets: u64,
    ticket_requests: u64,
    connections: u64,
}

/// A running fake entry host. Submissions beyond its script are complete.
#[derive(Clone, Debug)]
pub struct FakeEntry {
    /// Address of the host.
    pub address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

impl FakeEntry {
    /// Starts a host.
    pub async fn start(script: impl IntoIterator<Item = ScriptedAnswer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let host = Self {
            address: listener.local_addr().expect("address"),
            state: Arc::default(),
        };
        host.lock().script.extend(script);
        tokio::spawn(host.clone().accept(listener));
        host
    }

    /// Returns the submissions received so far.
    pub fn jobs(&self) -> Vec<ReceivedJob> {
        self.lock().jobs.clone()
    }

    /// Returns the number of requests for tickets received so far.
    pub fn ticket_requests(&self) -> u64 {
        self.lock().ticket_requests
    }

    /// Returns options of a client of this host alone.
    pub fn options(&self) -> ClientOptions {
        ClientOptions {
            entry_addresses: vec![self.address],
            team: Arc::from("booking"),
            ticket_block: 4,
            ..ClientOptions::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = {
                let mut state = self.lock();
                state.connections += 1;
                state.connections
            };
            tokio::spawn(self.clone().serve(stream, connection));
        }
    }

    async fn serve(self, stream: TcpStream, connection: u64) {
        let service = service_fn(move |request| self.clone().answer(request, connection));
        let served = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
        // Cut connections end with an error on purpose.
        drop(served);
    }

    async fn answer(
        self,
        request: Request<Incoming>,
        connection: u64,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await.expect("body");
        let body = body.to_bytes();
        match path.as_str() {
            "/v1/tickets" => Ok(json(&self.issue(&body))),
            "/v1/jobs" => self.answer_job(body, connection).await,
            "/v1/jobs/query" | "/v1/jobs/cancel" => Ok(json(&answer_reference(&path, &body))),
            _ => panic!("unknown path {path}"),
        }
    }

    fn issue(&self, body: &[u8]) -> TicketReply {
        let request: TicketRequest = serde_json::from_slice(body).expect("ticket request");
        let mut state = self.lock();
        state.ticket_requests += 1;
        let mut tickets = Vec::new();
        for _ in 0..request.count {
            state.tickets += 1;
            tickets.push(format!("ticket-{}", state.tickets));
        }
        let expiry = SystemTime::now() + TICKET_LIFETIME;
        let since_epoch = expiry.duration_since(UNIX_EPOCH).expect("after the epoch");
        TicketReply {
            tickets,
            expires_unix_ms: u64::try_from(since_epoch.as_millis()).expect("in range"),
        }
    }

    async fn answer_job(
        &self,
        body: Bytes,
        connection: u64,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let request: JobRequest = serde_json::from_slice(&body).expect("job request");
        let scripted = {
            let mut state = self.lock();
            state.jobs.push(ReceivedJob {
                body,
                ticket: request.ticket.clone(),
                at: Instant::now(),
                connection,
            });
            state.script.pop_front()
        };
        let mut reply = JobReply {
            ticket: request.ticket,
            outcome: "complete".to_owned(),
            results: request.tasks.into_iter().map(|task| task.payload).collect(),
            failure: None,
        };
        match scripted.unwrap_or(ScriptedAnswer::Complete) {
            ScriptedAnswer::Complete => {}
            ScriptedAnswer::OtherTicket => reply.ticket.push('0'),
            ScriptedAnswer::MissingResult => drop(reply.results.pop()),
            ScriptedAnswer::Failed(report) => fail(&mut reply, report),
            ScriptedAnswer::Unnamed(report) => {
                reply.ticket.clear();
                fail(&mut reply, report);
            }
            ScriptedAnswer::Running => {
                reply.outcome = "running".to_owned();
                reply.results.clear();
            }
            ScriptedAnswer::Cut => return Err(std::io::Error::other("cut")),
            ScriptedAnswer::Silent => std::future::pending().await,
            ScriptedAnswer::Unreadable => {
                return Ok(Response::new(Full::new(Bytes::from_static(b"bad gateway"))));
            }
        }
        Ok(json(&reply))
    }
}

/// Makes a report.
pub fn report(code: &str, retry: &str, execution: &str, retry_after_ms: u64) -> FailureReport {
    FailureReport {
        code: code.to_owned(),
        message: String::new(),
        retry: retry.to_owned(),
        retry_after_ms,
        execution: execution.to_owned(),
        tasks: Vec::new(),
    }
}

fn fail(reply: &mut JobReply, report: FailureReport) {
    reply.outcome = "failed".to_owned();
    reply.results.clear();
    reply.failure = Some(report);
}

/// A queried job runs; a cancelled one fails.
fn answer_reference(path: &str, body: &[u8]) -> JobReply {
    let reference: JobReference = serde_json::from_slice(body).expect("reference");
    let mut reply = JobReply {
        ticket: reference.ticket,
        outcome: "running".to_owned(),
        ..JobReply::default()
    };
    if path.ends_with("cancel") {
        fail(&mut reply, report("cancelled", "never", "not_run", 0));
    }
    reply
}

fn json(body: &impl Serialize) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).expect("serialised");
    Response::new(Full::new(Bytes::from(bytes)))
}
