//! The HTTP request handler of a worker stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use bramley_wire::worker::{LedgerReply, StartReply, StartRequest, StopRequest, WorkerSwitch};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::WorkerOptions;
use super::ledger::{RefusalCounts, RefusalReason, StartLedger};
use super::mode::{ModeState, WorkerMode};
use super::payload::TaskPayload;
use crate::server::{
    BufferedResponse, ConnectionAborted, RequestHandler, json_response, not_found_response,
    read_json, text_response,
};

/// Status of a task that completed.
const FINISHED: &str = "finished";
/// Status of a task that started and failed.
const FAILED: &str = "failed";
/// Status of a task that was not started.
const REFUSED: &str = "refused";

/// Mutable state of the handler.
#[derive(Debug)]
struct WorkerState {
    mode: ModeState,
    ledger: StartLedger,
}

/// Handles all requests to one worker stand-in.
#[derive(Debug)]
pub(super) struct WorkerHandler {
    refuse_new_when_leaving: bool,
    stop: CancellationToken,
    state: Mutex<WorkerState>,
}

/// An accepted start of a task, which occupies a slot until the run ends.
#[derive(Debug)]
struct AcceptedStart {
    run_id: u64,
    mode: WorkerMode,
    run_time_percent: u32,
    stop: CancellationToken,
}

/// Status and output of a task.
#[derive(Debug)]
struct StartOutcome {
    status: &'static str,
    output: String,
}

impl StartOutcome {
    fn failed(reason: impl Into<String>) -> Self {
        Self {
            status: FAILED,
            output: reason.into(),
        }
    }
}

impl WorkerHandler {
    /// Creates the handler of a worker with every slot free.
    pub(super) fn new(options: &WorkerOptions, stop: CancellationToken) -> Self {
        let state = WorkerState {
            mode: ModeState::default(),
            ledger: StartLedger::new(options.slots, options.accelerators),
        };
        Self {
            refuse_new_when_leaving: options.refuse_new_when_leaving,
            stop,
            state: Mutex::new(state),
        }
    }

    /// Changes the failure mode.
    pub(super) fn switch(&self, mode: WorkerMode, run_time_percent: u32) {
        self.lock().mode.switch(mode, run_time_percent);
        log::info!("event=switched mode={mode:?} run_time_percent={run_time_percent}");
    }

    /// Returns the record of starts.
    pub(super) fn ledger(&self) -> LedgerReply {
        self.lock().ledger.to_reply()
    }

    /// Returns the numbers of refusals by reason.
    pub(super) fn refusals(&self) -> RefusalCounts {
        self.lock().ledger.refusals()
    }

    /// Returns the number of running tasks.
    pub(super) fn running(&self) -> usize {
        self.lock().ledger.running()
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn start_task(self: &Arc<Self>, request: Request<Incoming>) -> BufferedResponse {
        let request: StartRequest = match read_json(request).await {
            Ok(request) => request,
            Err(error) => return error.to_response(),
        };
        let accepted = match self.accept_start(&request) {
            Ok(accepted) => accepted,
            Err(reason) => return self.refusal_response(request, reason),
        };
        let task_id = request.task.clone();
        let attempt = request.attempt;
        // The run has its own Tokio task, so that it continues if the client disconnects.
        let run = tokio::spawn(Arc::clone(self).run_task(request, accepted));
        let outcome = match run.await {
            Ok(outcome) => outcome,
            Err(error) => StartOutcome::failed(error.to_string()),
        };
        let reply = StartReply {
            task: task_id,
            attempt,
            status: outcome.status.to_owned(),
            output: outcome.output,
            leaving: self.is_leaving(),
        };
        json_response(StatusCode::OK, &reply)
    }

    fn accept_start(&self, request: &StartRequest) -> Result<AcceptedStart, RefusalReason> {
        let mut state = self.lock();
        let mode = state.mode.mode();
        let checked = self
            .check_mode(mode)
            .and_then(|()| check_start_time(request.start_before_unix_ms))
            .and_then(|()| state.ledger.check_capacity(request.accelerators));
        if let Err(reason) = checked {
            state.ledger.record_refusal(reason);
            return Err(reason);
        }
        let stop = self.stop.child_token();
        let leaving = mode == WorkerMode::Leaving;
        let run_id = state.ledger.start(request, leaving, stop.clone());
        Ok(AcceptedStart {
            run_id,
            mode,
            run_time_percent: state.mode.run_time_percent(),
            stop,
        })
    }

    fn check_mode(&self, mode: WorkerMode) -> Result<(), RefusalReason> {
        match mode {
            WorkerMode::RefuseAll => Err(RefusalReason::Switched),
            WorkerMode::Leaving if self.refuse_new_when_leaving => Err(RefusalReason::Leaving),
            WorkerMode::Leaving
            | WorkerMode::Healthy
            | WorkerMode::FailAll
            | WorkerMode::Silent
            | WorkerMode::SilentOpen => Ok(()),
        }
    }

    async fn run_task(
        self: Arc<Self>,
        request: StartRequest,
        accepted: AcceptedStart,
    ) -> StartOutcome {
        let outcome = run_payload(&request.payload, &accepted).await;
        let finished = outcome.status == FINISHED;
        self.lock().ledger.finish(accepted.run_id, finished);
        outcome
    }

    fn refusal_response(&self, request: StartRequest, reason: RefusalReason) -> BufferedResponse {
        let reply = StartReply {
            task: request.task,
            attempt: request.attempt,
            status: REFUSED.to_owned(),
            output: reason.name().to_owned(),
            leaving: self.is_leaving(),
        };
        json_response(StatusCode::CONFLICT, &reply)
    }

    fn is_leaving(&self) -> bool {
        self.lock().mode.mode() == WorkerMode::Leaving
    }

    async fn stop_task(&self, request: Request<Incoming>) -> BufferedResponse {
        let request: StopRequest = match read_json(request).await {
            Ok(request) => request,
            Err(error) => return error.to_response(),
        };
        self.lock().ledger.stop_task(&request.task);
        json_response(StatusCode::OK, &json!({}))
    }

    async fn switch_mode(&self, request: Request<Incoming>) -> BufferedResponse {
        let request: WorkerSwitch = match read_json(request).await {
            Ok(request) => request,
            Err(error) => return error.to_response(),
        };
        let Some(mode) = WorkerMode::from_name(&request.mode) else {
            let reason = format!("unknown mode {:?}", request.mode);
            return text_response(StatusCode::BAD_REQUEST, reason);
        };
        self.switch(mode, request.run_time_percent);
        json_response(StatusCode::OK, &json!({}))
    }

    async fn hang_if_silent(&self, connection_id: u64) {
        let silent = self.lock().mode.is_silent(connection_id);
        if silent {
            std::future::pending::<()>().await;
        }
    }
}

impl RequestHandler for WorkerHandler {
    fn register_connection(&self) -> u64 {
        self.lock().mode.register_connection()
    }

    async fn handle(
        self: Arc<Self>,
        connection_id: u64,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, ConnectionAborted> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let response = match (method, path.as_str()) {
            (Method::POST, "/tasks") => self.start_task(request).await,
            (Method::POST, "/tasks/stop") => self.stop_task(request).await,
            // Tests need these two requests in every mode, so they are never held back.
            (Method::GET, "/ledger") => return Ok(json_response(StatusCode::OK, &self.ledger())),
            (Method::POST, "/switch") => return Ok(self.switch_mode(request).await),
            _ => not_found_response(),
        };
        self.hang_if_silent(connection_id).await;
        Ok(response)
    }
}

fn check_start_time(start_before_unix_ms: u64) -> Result<(), RefusalReason> {
    if start_before_unix_ms == 0 {
        return Ok(());
    }
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    if since_epoch.as_millis() >= u128::from(start_before_unix_ms) {
        return Err(RefusalReason::Expired);
    }
    Ok(())
}

async fn run_payload(payload_text: &str, accepted: &AcceptedStart) -> StartOutcome {
    if accepted.mode == WorkerMode::FailAll {
        return StartOutcome::failed("fail_all");
    }
    let payload: TaskPayload = match serde_json::from_str(payload_text) {
        Ok(payload) => payload,
        Err(error) => return StartOutcome::failed(format!("malformed payload: {error}")),
    };
    let run_time = payload.run_time(accepted.run_time_percent);
    tokio::select! {
        () = accepted.stop.cancelled() => return StartOutcome::failed("stopped"),
        () = tokio::time::sleep(run_time) => {}
    }
    if payload.fail {
        return StartOutcome::failed("failed as the payload asks");
    }
    StartOutcome {
        status: FINISHED,
        output: payload.echo,
    }
}
