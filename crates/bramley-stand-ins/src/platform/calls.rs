//! The HTTP calls of a platform stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bramley_wire::platform::{
    KeyValue, PlatformSwitch, PutReply, PutRequest, WorkerList, WorkerRecord, WorkerStateChange,
};
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use serde_json::json as json_value;
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::{CallKind, CallRefusal, FaultState, PlatformCounts};
use super::store::{KeyValueStore, StoreSnapshot};
use super::watch_query::WatchQuery;
use super::worker_list::{ListError, WorkerTable};
use crate::server::{
    AnswerLost, CallHandler, RequestError, WholeResponse, json, not_found, read_json, text,
};

/// Prefix of the paths of keys.
const KEY_PREFIX: &str = "/kv/";
/// Longest value of a key, in bytes.
const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// State behind the calls.
#[derive(Debug)]
struct PlatformState {
    faults: FaultState,
    store: KeyValueStore,
    table: WorkerTable,
}

/// Handler of all calls to one platform stand-in.
#[derive(Debug)]
pub(super) struct PlatformCalls {
    state: Mutex<PlatformState>,
    /// Signals every change of the store or of the failure behaviour to the watches.
    changes: watch::Sender<()>,
}

impl PlatformCalls {
    /// Creates the handler of an empty store.
    pub(super) fn new(workers: Vec<WorkerRecord>, list_lag: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let state = PlatformState {
            faults: FaultState::new(seed, now),
            store: KeyValueStore::default(),
            table: WorkerTable::new(workers, list_lag, now),
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(()),
        }
    }

    /// Changes the failure behaviour; watches that wait are refused if the service goes down.
    pub(super) fn switch(&self, switch: PlatformSwitch) {
        self.lock().faults.switch(switch);
        self.changes.send_replace(());
        log::info!(
            "event=switched down={} delay_ms={} lose_answer_percent={} calls_per_second={}",
            switch.down,
            switch.delay_ms,
            switch.lose_answer_percent,
            switch.calls_per_second
        );
    }

    /// Returns the calls counted so far.
    pub(super) fn counts(&self) -> PlatformCounts {
        self.lock().faults.counts()
    }

    /// Reads a key without counting a call.
    pub(super) fn read(&self, key: &str) -> KeyValue {
        self.lock().store.read(key, Instant::now())
    }

    /// Copies the store.
    pub(super) fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot::of(&self.lock().store)
    }

    /// Sets the store back to a copy.
    pub(super) fn restore(&self, snapshot: StoreSnapshot) {
        self.lock().store = snapshot.into_store();
        self.changes.send_replace(());
    }

    /// Replaces the list of workers.
    pub(super) fn replace_workers(&self, workers: Vec<WorkerRecord>) {
        self.lock().table.replace(workers, Instant::now());
    }

    /// Changes the state of one listed worker.
    pub(super) fn change_worker_state(&self, change: &WorkerStateChange) -> Result<(), ListError> {
        self.lock().table.change_state(change, Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn admit(&self, kind: CallKind) -> Result<(), CallRefusal> {
        let delay = self.lock().faults.admit(kind, Instant::now())?;
        if delay.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(delay).await;
        self.lock().faults.check_up()
    }

    async fn read_key(&self, key: &str) -> WholeResponse {
        match self.admit(CallKind::Read).await {
            Ok(()) => json(StatusCode::OK, &self.read(key)),
            Err(refusal) => refusal_response(refusal),
        }
    }

    async fn watch_key(&self, key: &str, query: WatchQuery) -> WholeResponse {
        if let Err(refusal) = self.admit(CallKind::Watch).await {
            return refusal_response(refusal);
        }
        match self.wait_for_change(key, query).await {
            Ok(value) => json(StatusCode::OK, &value),
            Err(refusal) => refusal_response(refusal),
        }
    }

    async fn wait_for_change(&self, key: &str, query: WatchQuery) -> Result<KeyValue, CallRefusal> {
        let deadline = query.deadline(Instant::now());
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let now = Instant::now();
            let (value, expiry) = self.read_up(key, now)?;
            if value.revision != query.after || now >= deadline {
                return Ok(value);
            }
            let wake_up = expiry.map_or(deadline, |expiry| expiry.min(deadline));
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(wake_up) => {}
            }
        }
    }

    fn read_up(&self, key: &str, now: Instant) -> Result<(KeyValue, Option<Instant>), CallRefusal> {
        let mut state = self.lock();
        state.faults.check_up()?;
        let value = state.store.read(key, now);
        let expiry = state.store.expiry(key, now);
        Ok((value, expiry))
    }

    async fn write_key(
        self: &Arc<Self>,
        key: String,
        request: Request<Incoming>,
    ) -> Result<WholeResponse, AnswerLost> {
        let request: PutRequest = match read_json(request).await {
            Ok(request) => request,
            Err(error) => return Ok(error.to_response()),
        };
        if request.value.len() > VALUE_LIMIT_BYTES {
            return Ok(RequestError::TooLong.to_response());
        }
        // The write is a task of its own, so that it takes effect when the client gives up on it.
        let write = tokio::spawn(Arc::clone(self).apply_write(key, request));
        let Ok(written) = write.await else {
            return Err(AnswerLost);
        };
        let reply = match written {
            Ok(reply) => reply,
            Err(refusal) => return Ok(refusal_response(refusal)),
        };
        if self.lock().faults.loses_answer() {
            return Err(AnswerLost);
        }
        Ok(json(StatusCode::OK, &reply))
    }

    async fn apply_write(
        self: Arc<Self>,
        key: String,
        request: PutRequest,
    ) -> Result<PutReply, CallRefusal> {
        self.admit(CallKind::Write).await?;
        let reply = self.lock().store.write(&key, request, Instant::now());
        if reply.applied {
            self.changes.send_replace(());
        }
        Ok(reply)
    }

    /// Answers with the list, or without a body if the caller has its revision already.
    async fn list_workers(&self, request: &Request<Incoming>) -> WholeResponse {
        if let Err(refusal) = self.admit(CallKind::WorkerList).await {
            return refusal_response(refusal);
        }
        let list = self.lock().table.visible(Instant::now());
        let tag = format!("\"{}\"", list.revision);
        let known = request.headers().get(IF_NONE_MATCH);
        let mut response = if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            text(StatusCode::NOT_MODIFIED, "")
        } else {
            json(StatusCode::OK, &list)
        };
        if let Ok(value) = HeaderValue::from_str(&tag) {
            response.headers_mut().insert(ETAG, value);
        }
        response
    }

    async fn set_switch(&self, request: Request<Incoming>) -> WholeResponse {
        let switch: PlatformSwitch = match read_json(request).await {
            Ok(switch) => switch,
            Err(error) => return error.to_response(),
        };
        self.switch(switch);
        empty_response()
    }

    async fn set_workers(&self, request: Request<Incoming>) -> WholeResponse {
        let list: WorkerList = match read_json(request).await {
            Ok(list) => list,
            Err(error) => return error.to_response(),
        };
        self.replace_workers(list.workers);
        empty_response()
    }

    async fn set_worker_state(&self, request: Request<Incoming>) -> WholeResponse {
        let change: WorkerStateChange = match read_json(request).await {
            Ok(change) => change,
            Err(error) => return error.to_response(),
        };
        match self.change_worker_state(&change) {
            Ok(()) => empty_response(),
            Err(error @ ListError::UnknownWorker(_)) => {
                text(StatusCode::NOT_FOUND, error.to_string())
            }
            Err(error @ ListError::UnknownState(_)) => {
                text(StatusCode::BAD_REQUEST, error.to_string())
            }
        }
    }

    async fn answer_key(
        self: &Arc<Self>,
        key: String,
        request: Request<Incoming>,
    ) -> Result<WholeResponse, AnswerLost> {
        let method = request.method().clone();
        match method {
            Method::GET => match WatchQuery::parse(request.uri().query()) {
                Ok(None) => Ok(self.read_key(&key).await),
                Ok(Some(query)) => Ok(self.watch_key(&key, query).await),
                Err(error) => Ok(error.to_response()),
            },
            Method::PUT => self.write_key(key, request).await,
            _ => Ok(not_found()),
        }
    }
}

impl CallHandler for PlatformCalls {
    fn open_connection(&self) -> u64 {
        0
    }

    async fn answer(
        self: Arc<Self>,
        _connection: u64,
        request: Request<Incoming>,
    ) -> Result<WholeResponse, AnswerLost> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix(KEY_PREFIX) {
            return self.answer_key(key.to_owned(), request).await;
        }
        let response = match (method, path.as_str()) {
            (Method::GET, "/workers") => self.list_workers(&request).await,
            // The calls below steer the stand-in and are answered during an outage too.
            (Method::POST, "/workers") => self.set_workers(request).await,
            (Method::POST, "/workers/state") => self.set_worker_state(request).await,
            (Method::POST, "/switch") => self.set_switch(request).await,
            (Method::GET, "/counts") => json(StatusCode::OK, &self.counts()),
            _ => not_found(),
        };
        Ok(response)
    }
}

fn empty_response() -> WholeResponse {
    json(StatusCode::OK, &json_value!({}))
}

fn refusal_response(refusal: CallRefusal) -> WholeResponse {
    match refusal {
        CallRefusal::Down => text(StatusCode::SERVICE_UNAVAILABLE, "down"),
        CallRefusal::Rate => text(StatusCode::TOO_MANY_REQUESTS, "too many calls"),
    }
}
