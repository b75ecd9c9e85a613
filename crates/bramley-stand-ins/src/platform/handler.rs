//! The HTTP request handler of a platform stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bramley_wire::platform::{
    KeyValue, PlatformSwitch, PutReply, PutRequest, WorkerList, WorkerRecord, WorkerStateChange,
};
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::{FaultState, PlatformCounts, RequestKind, RequestRefusal};
use super::store::{KeyValueStore, StoreSnapshot};
use super::watch_query::WatchQuery;
use super::worker_list::{VersionedWorkerList, WorkerListError};
use crate::server::{
    BufferedResponse, ConnectionAborted, RequestError, RequestHandler, json_response,
    not_found_response, read_json, text_response,
};

/// Path prefix of keys.
const KEY_PREFIX: &str = "/kv/";
/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Mutable state of the handler.
#[derive(Debug)]
struct PlatformState {
    faults: FaultState,
    store: KeyValueStore,
    workers: VersionedWorkerList,
}

/// Handles all requests to one platform stand-in.
#[derive(Debug)]
pub(super) struct PlatformHandler {
    state: Mutex<PlatformState>,
    /// Notifies watches of every change of the store or of the injected faults.
    changes: watch::Sender<()>,
}

impl PlatformHandler {
    /// Creates a handler with an empty store.
    pub(super) fn new(workers: Vec<WorkerRecord>, list_lag: Duration, seed: u64) -> Self {
        let now = Instant::now();
        let state = PlatformState {
            faults: FaultState::new(seed, now),
            store: KeyValueStore::default(),
            workers: VersionedWorkerList::new(workers, list_lag, now),
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(()),
        }
    }

    /// Sets the faults to inject. Pending watches are refused if the service goes down.
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

    /// Returns the number of requests so far.
    pub(super) fn counts(&self) -> PlatformCounts {
        self.lock().faults.counts()
    }

    /// Reads a key without counting a request.
    pub(super) fn read(&self, key: &str) -> KeyValue {
        self.lock().store.read(key, Instant::now())
    }

    /// Takes a snapshot of the store.
    pub(super) fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot::of(&self.lock().store)
    }

    /// Restores a snapshot of the store.
    pub(super) fn restore(&self, snapshot: StoreSnapshot) {
        self.lock().store = snapshot.into_store();
        self.changes.send_replace(());
    }

    /// Replaces the list of workers.
    pub(super) fn replace_workers(&self, workers: Vec<WorkerRecord>) {
        self.lock().workers.replace(workers, Instant::now());
    }

    /// Changes the state of one listed worker.
    pub(super) fn change_worker_state(
        &self,
        change: &WorkerStateChange,
    ) -> Result<(), WorkerListError> {
        self.lock().workers.change_state(change, Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn admit(&self, kind: RequestKind) -> Result<(), RequestRefusal> {
        let delay = self.lock().faults.admit(kind, Instant::now())?;
        if delay.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(delay).await;
        self.lock().faults.check_available()
    }

    async fn read_key(&self, key: &str) -> BufferedResponse {
        match self.admit(RequestKind::Read).await {
            Ok(()) => json_response(StatusCode::OK, &self.read(key)),
            Err(refusal) => refusal_response(refusal),
        }
    }

    async fn watch_key(&self, key: &str, query: WatchQuery) -> BufferedResponse {
        if let Err(refusal) = self.admit(RequestKind::Watch).await {
            return refusal_response(refusal);
        }
        match self.wait_for_change(key, query).await {
            Ok(value) => json_response(StatusCode::OK, &value),
            Err(refusal) => refusal_response(refusal),
        }
    }

    async fn wait_for_change(
        &self,
        key: &str,
        query: WatchQuery,
    ) -> Result<KeyValue, RequestRefusal> {
        let deadline = query.deadline(Instant::now());
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let now = Instant::now();
            let (value, expiry) = self.read_if_available(key, now)?;
            if value.revision != query.after || now >= deadline {
                return Ok(value);
            }
            let wake_at = expiry.map_or(deadline, |expiry| expiry.min(deadline));
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(wake_at) => {}
            }
        }
    }

    fn read_if_available(
        &self,
        key: &str,
        now: Instant,
    ) -> Result<(KeyValue, Option<Instant>), RequestRefusal> {
        let mut state = self.lock();
        state.faults.check_available()?;
        let value = state.store.read(key, now);
        let expiry = state.store.expiry(key, now);
        Ok((value, expiry))
    }

    async fn write_key(
        self: &Arc<Self>,
        key: String,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, ConnectionAborted> {
        let request: PutRequest = match read_json(request).await {
            Ok(request) => request,
            Err(error) => return Ok(error.to_response()),
        };
        if request.value.len() > MAX_VALUE_BYTES {
            return Ok(RequestError::ValueTooLarge.to_response());
        }
        // The write runs in its own task, so that it takes effect even if the client disconnects.
        let write = tokio::spawn(Arc::clone(self).apply_write(key, request));
        let Ok(written) = write.await else {
            return Err(ConnectionAborted);
        };
        let reply = match written {
            Ok(reply) => reply,
            Err(refusal) => return Ok(refusal_response(refusal)),
        };
        if self.lock().faults.drops_response() {
            return Err(ConnectionAborted);
        }
        Ok(json_response(StatusCode::OK, &reply))
    }

    async fn apply_write(
        self: Arc<Self>,
        key: String,
        request: PutRequest,
    ) -> Result<PutReply, RequestRefusal> {
        self.admit(RequestKind::Write).await?;
        let reply = self.lock().store.write(&key, request, Instant::now());
        if reply.applied {
            self.changes.send_replace(());
        }
        Ok(reply)
    }

    /// Returns the list, or 304 without a body if the client already has its revision.
    async fn list_workers(&self, request: &Request<Incoming>) -> BufferedResponse {
        if let Err(refusal) = self.admit(RequestKind::WorkerList).await {
            return refusal_response(refusal);
        }
        let list = self.lock().workers.visible_at(Instant::now());
        let etag = format!("\"{}\"", list.revision);
        let client_etag = request.headers().get(IF_NONE_MATCH);
        let mut response =
            if client_etag.is_some_and(|client_etag| client_etag.as_bytes() == etag.as_bytes()) {
                text_response(StatusCode::NOT_MODIFIED, "")
            } else {
                json_response(StatusCode::OK, &list)
            };
        if let Ok(value) = HeaderValue::from_str(&etag) {
            response.headers_mut().insert(ETAG, value);
        }
        response
    }

    async fn set_switch(&self, request: Request<Incoming>) -> BufferedResponse {
        let switch: PlatformSwitch = match read_json(request).await {
            Ok(switch) => switch,
            Err(error) => return error.to_response(),
        };
        self.switch(switch);
        empty_response()
    }

    async fn set_workers(&self, request: Request<Incoming>) -> BufferedResponse {
        let list: WorkerList = match read_json(request).await {
            Ok(list) => list,
            Err(error) => return error.to_response(),
        };
        self.replace_workers(list.workers);
        empty_response()
    }

    async fn set_worker_state(&self, request: Request<Incoming>) -> BufferedResponse {
        let change: WorkerStateChange = match read_json(request).await {
            Ok(change) => change,
            Err(error) => return error.to_response(),
        };
        match self.change_worker_state(&change) {
            Ok(()) => empty_response(),
            Err(error @ WorkerListError::UnknownWorker(_)) => {
                text_response(StatusCode::NOT_FOUND, error.to_string())
            }
            Err(error @ WorkerListError::UnknownState(_)) => {
                text_response(StatusCode::BAD_REQUEST, error.to_string())
            }
        }
    }

    async fn handle_key(
        self: &Arc<Self>,
        key: String,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, ConnectionAborted> {
        let method = request.method().clone();
        match method {
            Method::GET => match WatchQuery::parse(request.uri().query()) {
                Ok(None) => Ok(self.read_key(&key).await),
                Ok(Some(query)) => Ok(self.watch_key(&key, query).await),
                Err(error) => Ok(error.to_response()),
            },
            Method::PUT => self.write_key(key, request).await,
            _ => Ok(not_found_response()),
        }
    }
}

impl RequestHandler for PlatformHandler {
    fn register_connection(&self) -> u64 {
        0
    }

    async fn handle(
        self: Arc<Self>,
        _connection_id: u64,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, ConnectionAborted> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix(KEY_PREFIX) {
            return self.handle_key(key.to_owned(), request).await;
        }
        let response = match (method, path.as_str()) {
            (Method::GET, "/workers") => self.list_workers(&request).await,
            // The requests below control the stand-in and are served during an outage as well.
            (Method::POST, "/workers") => self.set_workers(request).await,
            (Method::POST, "/workers/state") => self.set_worker_state(request).await,
            (Method::POST, "/switch") => self.set_switch(request).await,
            (Method::GET, "/counts") => json_response(StatusCode::OK, &self.counts()),
            _ => not_found_response(),
        };
        Ok(response)
    }
}

fn empty_response() -> BufferedResponse {
    json_response(StatusCode::OK, &json!({}))
}

fn refusal_response(refusal: RequestRefusal) -> BufferedResponse {
    match refusal {
        RequestRefusal::Down => text_response(StatusCode::SERVICE_UNAVAILABLE, "down"),
        RequestRefusal::RateLimited => {
            text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded")
        }
    }
}
