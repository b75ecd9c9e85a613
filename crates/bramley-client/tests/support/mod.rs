//! A fake entry host with scripted responses.

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

/// Lifetime of issued tickets.
const TICKET_LIFETIME: Duration = Duration::from_secs(3_600);

/// Response of the fake host to one submission.
#[derive(Clone, Debug)]
pub enum ScriptedResponse {
    /// The job completes; the result of each task is its payload.
    Complete,
    /// The response contains the ticket of another job.
    OtherTicket,
    /// The response lacks the last result.
    MissingResult,
    /// The job fails.
    Failed(FailureReport),
    /// The job fails, and the response contains no ticket.
    FailedWithoutTicket(FailureReport),
    /// The job is still running.
    Running,
    /// The host closes the connection without a response.
    ConnectionClosed,
    /// The host keeps the connection open without a response.
    Silent,
    /// The body is not a job reply, as in the error page of a proxy.
    Malformed,
}

/// A submission received by the fake host.
#[derive(Clone, Debug)]
pub struct ReceivedJob {
    /// Raw request body.
    pub body: Bytes,
    /// Ticket in the body.
    pub ticket: String,
    /// Time at which the request was received.
    pub at: Instant,
    /// Number of the connection, counted from 1.
    pub connection: u64,
}

#[derive(Debug, Default)]
struct FakeHostState {
    script: VecDeque<ScriptedResponse>,
    jobs: Vec<ReceivedJob>,
    tickets: u64,
    ticket_requests: u64,
    connections: u64,
}

/// A running fake entry host. Submissions after the end of the script complete.
#[derive(Clone, Debug)]
pub struct FakeEntryHost {
    /// Address on which the host listens.
    pub address: SocketAddr,
    state: Arc<Mutex<FakeHostState>>,
}

impl FakeEntryHost {
    /// Starts a host with a script of responses to the first submissions.
    pub async fn start(script: impl IntoIterator<Item = ScriptedResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let host = Self {
            address: listener.local_addr().expect("a bound address"),
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

    /// Returns the number of ticket requests received so far.
    pub fn ticket_requests(&self) -> u64 {
        self.lock().ticket_requests
    }

    /// Returns client options with this host as the only entry host.
    pub fn options(&self) -> ClientOptions {
        ClientOptions {
            entry_addresses: vec![self.address],
            team: Arc::from("booking"),
            ticket_block_size: 4,
            ..ClientOptions::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, FakeHostState> {
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
        let service = service_fn(move |request| self.clone().respond(request, connection));
        let result = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
        // Connections closed by the script end with an error.
        drop(result);
    }

    async fn respond(
        self,
        request: Request<Incoming>,
        connection: u64,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let path = request.uri().path().to_owned();
        let body = request
            .into_body()
            .collect()
            .await
            .expect("a whole request body");
        let body = body.to_bytes();
        match path.as_str() {
            "/v1/tickets" => Ok(json(&self.issue_tickets(&body))),
            "/v1/jobs" => self.respond_to_job(body, connection).await,
            "/v1/jobs/query" | "/v1/jobs/cancel" => Ok(json(&reply_to_reference(&path, &body))),
            _ => panic!("unknown path {path}"),
        }
    }

    fn issue_tickets(&self, body: &[u8]) -> TicketReply {
        let request: TicketRequest = serde_json::from_slice(body).expect("a ticket request");
        let mut state = self.lock();
        state.ticket_requests += 1;
        let mut tickets = Vec::new();
        for _ in 0..request.count {
            state.tickets += 1;
            tickets.push(format!("ticket-{}", state.tickets));
        }
        let expiry = SystemTime::now() + TICKET_LIFETIME;
        let since_epoch = expiry
            .duration_since(UNIX_EPOCH)
            .expect("a time after the Unix epoch");
        TicketReply {
            tickets,
            expires_unix_ms: u64::try_from(since_epoch.as_millis())
                .expect("a time that fits into u64"),
        }
    }

    async fn respond_to_job(
        &self,
        body: Bytes,
        connection: u64,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let request: JobRequest = serde_json::from_slice(&body).expect("a job request");
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
        match scripted.unwrap_or(ScriptedResponse::Complete) {
            ScriptedResponse::Complete => {}
            ScriptedResponse::OtherTicket => reply.ticket.push('0'),
            ScriptedResponse::MissingResult => drop(reply.results.pop()),
            ScriptedResponse::Failed(report) => fail(&mut reply, report),
            ScriptedResponse::FailedWithoutTicket(report) => {
                reply.ticket.clear();
                fail(&mut reply, report);
            }
            ScriptedResponse::Running => {
                reply.outcome = "running".to_owned();
                reply.results.clear();
            }
            ScriptedResponse::ConnectionClosed => {
                return Err(std::io::Error::other("connection closed by the script"));
            }
            ScriptedResponse::Silent => std::future::pending().await,
            ScriptedResponse::Malformed => {
                return Ok(Response::new(Full::new(Bytes::from_static(b"bad gateway"))));
            }
        }
        Ok(json(&reply))
    }
}

/// Creates a failure report.
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

/// Replies that a queried job is running and that a cancelled job failed.
fn reply_to_reference(path: &str, body: &[u8]) -> JobReply {
    let reference: JobReference = serde_json::from_slice(body).expect("a job reference");
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
    let bytes = serde_json::to_vec(body).expect("a message with a JSON form");
    Response::new(Full::new(Bytes::from(bytes)))
}
