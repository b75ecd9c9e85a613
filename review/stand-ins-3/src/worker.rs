//! Stand-in of a worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bramley_fleet_stand_in::store::StoreStandIn;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http::{HttpMessage, empty_body, encode_response, read_message};
use crate::record::CaseRecord;

/// Longest lease, `max_hold_ms`.
const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// Time that a stop takes, below `stop_grace_ms`.
const STOP_TIME: Duration = Duration::from_millis(20);

/// Interval at which the entry is written, `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Interval at which ends of runs are looked for.
const ADVANCE: Duration = Duration::from_millis(2);

/// What a worker is.
#[derive(Clone, Debug)]
pub struct WorkerKind {
    /// Processor capacity in thousandths of a core.
    pub cpu: u64,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// Whether it refuses what does not fit.
    pub guards: bool,
}

impl WorkerKind {
    /// Returns the usual kind.
    #[must_use]
    pub fn plain() -> Self {
        Self {
            cpu: 32_000,
            labels: vec![String::from("a"), String::from("r1")],
            guards: true,
        }
    }
}

/// A run as the worker saw it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Name of the worker.
    pub worker: String,
    /// Name of the task.
    pub task: String,
    /// Time of the start.
    pub began: Instant,
    /// Time of the end.
    pub ended: Option<Instant>,
}

/// Runs on all workers. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct RunList(Arc<Mutex<Vec<RunRecord>>>);

impl RunList {
    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }
}

#[derive(Debug)]
struct ActiveRun {
    task: String,
    run: u64,
    cpu: u64,
    ends_at: Instant,
    how: &'static str,
    record: usize,
}

#[derive(Debug)]
struct WorkerState {
    kind: WorkerKind,
    born_ms: u64,
    started: Instant,
    token: u64,
    lease_end: Instant,
    active: Vec<ActiveRun>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    closed: BTreeMap<String, u64>,
    seq: u64,
}

impl WorkerState {
    fn new(kind: WorkerKind) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            kind,
            born_ms: since_epoch.map_or(0, |span| span.as_millis() as u64),
            started: Instant::now(),
            token: 0,
            lease_end: Instant::now(),
            active: Vec::new(),
            finished: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            seq: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, expires_ms: u64) {
        let asked = self.started + Duration::from_millis(expires_ms);
        self.lease_end = self.lease_end.max(asked.min(Instant::now() + MAX_HOLD));
    }

    fn refuse_fence(&mut self, body: &Value) -> Option<(u16, Value)> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.token {
            return Some((409, json!({"clock_ms": self.clock(), "reason": "fence"})));
        }
        self.token = token;
        None
    }
}

/// Worker. Clones share the state.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Service whose tasks it runs.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    state: Arc<Mutex<WorkerState>>,
    runs: RunList,
    record: CaseRecord,
    store: StoreStandIn,
}

impl Worker {
    /// Starts a worker at a free port of the IP address of `address`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub async fn start(
        id: &str,
        zone: &str,
        service: &str,
        address: SocketAddr,
        kind: WorkerKind,
        shared: (&RunList, &CaseRecord, &StoreStandIn),
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (runs, record, store) = shared;
        let worker = Self {
            id: String::from(id),
            zone: String::from(zone),
            service: String::from(service),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(WorkerState::new(kind))),
            runs: runs.clone(),
            record: record.clone(),
            store: store.clone(),
        };
        worker.write_entry();
        tokio::spawn(worker.clone().accept(listener));
        tokio::spawn(worker.clone().advance());
        let offset = phase_of(id);
        tokio::spawn(worker.clone().write_heartbeats(offset));
        Ok(worker)
    }

    fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the entry of the worker to the store.
    fn write_entry(&self) {
        let entry = {
            let mut state = self.state();
            state.seq += 1;
            json!({
                "service": self.service,
                "address": self.address.to_string(),
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": state.kind.cpu, "mem_mb": 65_536, "gpu": 0},
                "labels": state.kind.labels,
                "born": state.born_ms,
                "seq": state.seq,
            })
        };
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    async fn write_heartbeats(self, offset: Duration) {
        sleep(offset).await;
        loop {
            sleep(HEARTBEAT).await;
            self.write_entry();
        }
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        if stream.set_nodelay(true).is_err() {
            return;
        }
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer).await {
            let (status, body) = self.respond(&request).await;
            if stream
                .write_all(&encode_response(status, &body))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn respond(&self, request: &HttpMessage) -> (u16, Value) {
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.id) {
            return (421, empty_body());
        }
        match request.call().as_str() {
            "POST /run-start" => self.run_start(&request.body),
            "POST /run-stop" => self.run_stop(&request.body),
            "POST /hold" => self.hold(&request.body).await,
            _ => (404, empty_body()),
        }
    }

    fn run_start(&self, body: &Value) -> (u16, Value) {
        self.finish_due();
        let mut state = self.state();
        if let Some(refusal) = state.refuse_fence(body) {
            return refusal;
        }
        let clock = state.clock();
        let expires = body["expires_ms"].as_u64().unwrap_or(0);
        if expires <= clock {
            return (409, json!({"clock_ms": clock, "reason": "late"}));
        }
        state.extend_lease(expires);
        let task = String::from(body["task"].as_str().unwrap_or_default());
        let run = body["run_id"].as_u64().unwrap_or(0);
        if state
            .active
            .iter()
            .any(|other| other.task == task && other.run == run)
        {
            return (200, json!({"clock_ms": clock}));
        }
        if state
            .closed
            .get(&task)
            .is_some_and(|highest| *highest >= run)
        {
            return (409, json!({"clock_ms": clock, "reason": "old"}));
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let (run_ms, cpu) = parse_spec(spec);
        let used: u64 = state.active.iter().map(|other| other.cpu).sum::<u64>() + cpu;
        if state.kind.guards && used > state.kind.cpu {
            return (409, json!({"clock_ms": clock, "reason": "room"}));
        }
        let record = {
            let mut runs = self.runs.lock();
            runs.push(RunRecord {
                worker: self.id.clone(),
                task: task.clone(),
                began: Instant::now(),
                ended: None,
            });
            runs.len() - 1
        };
        self.record.line(format!(
            "worker {} starts {task} run {run}, spec \"{spec}\", labels {}, cpu {used} of {}",
            self.id,
            state.kind.labels.join(","),
            state.kind.cpu,
        ));
        state.active.push(ActiveRun {
            task,
            run,
            cpu,
            ends_at: Instant::now() + Duration::from_millis(run_ms),
            how: "done",
            record,
        });
        (200, json!({"clock_ms": clock}))
    }

    fn run_stop(&self, body: &Value) -> (u16, Value) {
        self.finish_due();
        let mut state = self.state();
        if let Some(refusal) = state.refuse_fence(body) {
            return refusal;
        }
        let task = String::from(body["task"].as_str().unwrap_or_default());
        let run = body["run_id"].as_u64().unwrap_or(0);
        self.record.line(format!(
            "worker {} is told to stop {task} run {run}",
            self.id
        ));
        for active in &mut state.active {
            if active.task == task && active.run <= run {
                active.ends_at = active.ends_at.min(Instant::now() + STOP_TIME);
                active.how = "stopped";
            }
        }
        let highest = state.closed.entry(task).or_default();
        *highest = (*highest).max(run);
        (200, json!({"clock_ms": state.clock()}))
    }

    async fn hold(&self, body: &Value) -> (u16, Value) {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        self.finish_due();
        {
            let mut state = self.state();
            if let Some(refusal) = state.refuse_fence(body) {
                return refusal;
            }
            let seen = body["seen_seq"].as_u64().unwrap_or(0);
            state.finished.retain(|(number, ..)| *number > seen);
            if let Some(expires) = body["expires_ms"].as_u64() {
                state.extend_lease(expires);
            }
        }
        loop {
            self.finish_due();
            {
                let state = self.state();
                if !state.finished.is_empty() || Instant::now() >= until {
                    let active: Vec<Value> = state
                        .active
                        .iter()
                        .map(|run| json!([run.task, run.run, "", 50]))
                        .collect();
                    let finished: Vec<Value> = state
                        .finished
                        .iter()
                        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
                        .collect();
                    let report = json!({
                        "clock_ms": state.clock(),
                        "born": state.born_ms,
                        "active": active,
                        "finished": finished,
                    });
                    return (200, report);
                }
            }
            sleep(ADVANCE).await;
        }
    }

    async fn advance(self) {
        loop {
            self.finish_due();
            sleep(ADVANCE).await;
        }
    }

    fn finish_due(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let lease_end = state.lease_end;
        let (due, active): (Vec<ActiveRun>, Vec<ActiveRun>) = std::mem::take(&mut state.active)
            .into_iter()
            .partition(|run| run.ends_at.min(lease_end) <= now);
        state.active = active;
        for run in due {
            let how = if run.ends_at <= lease_end {
                run.how
            } else {
                "lapsed"
            };
            let number = state.next_end;
            state.next_end += 1;
            let highest = state.closed.entry(run.task.clone()).or_default();
            *highest = (*highest).max(run.run);
            {
                let mut runs = self.runs.lock();
                runs[run.record].ended = Some(run.ends_at.min(lease_end));
            }
            self.record.line(format!(
                "worker {} ends {} run {}: {how}",
                self.id, run.task, run.run
            ));
            state.finished.push((number, run.task, run.run, how));
        }
    }
}

/// Returns a time within a heartbeat, so that the workers do not all write at the same moment.
fn phase_of(id: &str) -> Duration {
    let sum = id.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    HEARTBEAT * (sum % 97) / 97
}

/// Parses the run time in milliseconds and the processor share from a payload.
fn parse_spec(spec: &str) -> (u64, u64) {
    let mut numbers = spec.split(' ').filter_map(|word| word.parse().ok());
    (
        numbers.next().unwrap_or(50),
        numbers.next().unwrap_or(1_000),
    )
}
