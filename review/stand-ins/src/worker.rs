//! Worker that follows the users' page "Running tasks". It guards its capacity.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bramley_fleet_stand_in::store::StoreStandIn;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::record::{Record, RunRecord};
use crate::server::{JsonRequest, Server, serve};

/// `max_hold_ms` of the deployments.
const MAX_HOLD: Duration = Duration::from_millis(1_000);

/// `heartbeat_ms` of the deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time that a stop takes; at most `stop_grace_ms`, 50 ms.
const STOP_TIME: Duration = Duration::from_millis(20);

/// Resolution at which runs end.
const STEP: Duration = Duration::from_millis(2);

/// Identity and kind of a worker.
#[derive(Clone, Debug)]
pub struct WorkerKind {
    /// Id, which stays over restarts.
    pub id: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Labels.
    pub labels: Vec<String>,
    /// Capacity in thousandths of a core.
    pub cpu: u64,
}

#[derive(Debug)]
struct ActiveRun {
    task: String,
    number: u64,
    cpu: u64,
    ends_at: Instant,
    how: &'static str,
    record: usize,
}

/// What one incarnation knows.
#[derive(Debug)]
struct Life {
    kind: WorkerKind,
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_until: Instant,
    runs: Vec<ActiveRun>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    closed: BTreeMap<String, u64>,
    seq: u64,
    /// Time of the first answer to a hold, in milliseconds of the record.
    first_report_ms: Option<u64>,
}

#[derive(Debug)]
struct Shared {
    life: Mutex<Option<Life>>,
    record: Record,
    store: StoreStandIn,
    address: SocketAddr,
}

/// Worker. Clones share the state.
#[derive(Clone, Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Arc<tokio::sync::Mutex<Option<Server>>>,
}

impl Worker {
    /// Creates a worker that is down.
    pub fn new(address: SocketAddr, store: StoreStandIn, record: Record) -> Self {
        let worker = Self {
            shared: Arc::new(Shared {
                life: Mutex::new(None),
                record,
                store,
                address,
            }),
            server: Arc::default(),
        };
        let ticking = worker.clone();
        tokio::spawn(async move {
            loop {
                ticking.shared.advance();
                sleep(STEP).await;
            }
        });
        worker
    }

    /// Starts an incarnation. Its entry is in the store before it takes calls.
    pub async fn start(&self, kind: WorkerKind) -> std::io::Result<()> {
        let now_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |span| span.as_millis() as u64);
        let began = Instant::now();
        self.shared.record.line(format!(
            "worker {} starts up: born {now_ms}, labels {:?}, address {}",
            kind.id, kind.labels, self.shared.address
        ));
        *self.shared.life() = Some(Life {
            kind,
            born_ms: now_ms,
            began,
            token: 0,
            lease_until: began,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            seq: 0,
            first_report_ms: None,
        });
        self.shared.beat();
        let shared = Arc::clone(&self.shared);
        let server = serve(self.shared.address, move |request| {
            let shared = Arc::clone(&shared);
            async move { shared.answer(request, now_ms).await }
        })
        .await?;
        *self.server.lock().await = Some(server);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            while shared.born_ms() == Some(now_ms) {
                sleep(HEARTBEAT).await;
                if shared.born_ms() == Some(now_ms) {
                    shared.beat();
                }
            }
        });
        Ok(())
    }

    /// Crashes: what it runs ends, its connections and its port are closed, and it writes nothing.
    pub async fn crash(&self) {
        let Some(life) = self.shared.life().take() else {
            return;
        };
        drop(self.server.lock().await.take());
        let now_ms = self.shared.record.now_ms();
        self.shared
            .record
            .line(format!("worker {} crashes", life.kind.id));
        for run in life.runs {
            self.shared.record.end(run.record, "crashed", now_ms);
        }
    }

    /// Returns when the present incarnation first answered a hold, in milliseconds of the record.
    pub fn first_report_ms(&self) -> Option<(u64, u64)> {
        let life = self.shared.life();
        let life = life.as_ref()?;
        Some((life.born_ms, life.first_report_ms?))
    }
}

impl Shared {
    fn life(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn born_ms(&self) -> Option<u64> {
        self.life().as_ref().map(|life| life.born_ms)
    }

    /// Writes the worker's entry.
    fn beat(&self) {
        let mut life = self.life();
        let Some(life) = life.as_mut() else {
            return;
        };
        life.seq += 1;
        let entry = json!({
            "service": life.kind.service,
            "address": self.address.to_string(),
            "zone": life.kind.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": life.seq,
            "capacity": {"cpu": life.kind.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": life.kind.labels,
            "born": life.born_ms,
        });
        self.store.put(&format!("servers/{}", life.kind.id), &entry);
    }

    fn advance(&self) {
        if let Some(life) = self.life().as_mut() {
            life.advance(&self.record);
        }
    }

    async fn answer(&self, request: JsonRequest, born_ms: u64) -> Option<(u16, Value)> {
        {
            let life = self.life();
            let life = life.as_ref().filter(|life| life.born_ms == born_ms)?;
            let is_other = |target: &String| *target != life.kind.id;
            if request.target.as_ref().is_some_and(is_other) {
                return Some((421, json!({})));
            }
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(&request.body, born_ms),
            "/run-stop" => self.stop_run(&request.body, born_ms),
            "/hold" => self.hold(&request.body, born_ms).await,
            _ => Some((404, json!({}))),
        }
    }

    fn start_run(&self, body: &Value, born_ms: u64) -> Option<(u16, Value)> {
        let mut life = self.life();
        let life = life.as_mut().filter(|life| life.born_ms == born_ms)?;
        life.advance(&self.record);
        if let Some(refusal) = life.check_token(body) {
            return Some(refusal);
        }
        let clock = life.clock();
        let refuse = |reason: &str| Some((409, json!({"clock_ms": clock, "reason": reason})));
        let (Some(task), Some(number), Some(spec), Some(expires)) = (
            body["task"].as_str(),
            body["run_id"].as_u64(),
            body["spec"].as_str(),
            body["expires_ms"].as_u64(),
        ) else {
            return Some((400, json!({"clock_ms": clock})));
        };
        if expires <= clock {
            return refuse("late");
        }
        life.extend(expires);
        let mut runs = life.runs.iter();
        if runs.any(|run| run.task == task && run.number == number) {
            return Some((200, json!({"clock_ms": clock})));
        }
        if life
            .closed
            .get(task)
            .is_some_and(|closed| *closed >= number)
        {
            return refuse("old");
        }
        let mut words = spec.split(' ');
        let mut figure = || words.next().and_then(|word| word.parse::<u64>().ok());
        let (work_ms, cpu) = (figure().unwrap_or(100), figure().unwrap_or(1_000));
        let used: u64 = life.runs.iter().map(|run| run.cpu).sum();
        if used + cpu > life.kind.cpu {
            return refuse("room");
        }
        let record = self.record.begin(RunRecord {
            task: String::from(task),
            number,
            worker: life.kind.id.clone(),
            born_ms,
            labels: life.kind.labels.clone(),
            spec: String::from(spec),
            token: life.token,
            started_ms: self.record.now_ms(),
            ended: None,
        });
        life.runs.push(ActiveRun {
            task: String::from(task),
            number,
            cpu,
            ends_at: Instant::now() + Duration::from_millis(work_ms),
            how: "done",
            record,
        });
        Some((200, json!({"clock_ms": clock})))
    }

    fn stop_run(&self, body: &Value, born_ms: u64) -> Option<(u16, Value)> {
        let mut life = self.life();
        let life = life.as_mut().filter(|life| life.born_ms == born_ms)?;
        life.advance(&self.record);
        if let Some(refusal) = life.check_token(body) {
            return Some(refusal);
        }
        let task = body["task"].as_str().unwrap_or_default();
        let number = body["run_id"].as_u64().unwrap_or(0);
        for run in &mut life.runs {
            if run.task == task && run.number <= number {
                run.ends_at = run.ends_at.min(Instant::now() + STOP_TIME);
                run.how = "stopped";
            }
        }
        let closed = life.closed.entry(String::from(task)).or_default();
        *closed = (*closed).max(number);
        Some((200, json!({"clock_ms": life.clock()})))
    }

    async fn hold(&self, body: &Value, born_ms: u64) -> Option<(u16, Value)> {
        let seen = body["seen_seq"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        {
            let mut life = self.life();
            let life = life.as_mut().filter(|life| life.born_ms == born_ms)?;
            life.advance(&self.record);
            if let Some(refusal) = life.check_token(body) {
                return Some(refusal);
            }
            life.ended.retain(|(position, ..)| *position > seen);
            if let Some(expires) = body["expires_ms"].as_u64() {
                life.extend(expires);
            }
        }
        loop {
            {
                let mut life = self.life();
                let life = life.as_mut().filter(|life| life.born_ms == born_ms)?;
                life.advance(&self.record);
                if !life.ended.is_empty() || Instant::now() >= until {
                    if life.first_report_ms.is_none() {
                        life.first_report_ms = Some(self.record.now_ms());
                        let text = format!(
                            "worker {} answers its first hold: born {born_ms}",
                            life.kind.id
                        );
                        self.record.line(text);
                    }
                    return Some((200, life.report()));
                }
            }
            sleep(STEP).await;
        }
    }
}

impl Life {
    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn check_token(&mut self, body: &Value) -> Option<(u16, Value)> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.token {
            return Some((409, json!({"clock_ms": self.clock(), "reason": "fence"})));
        }
        self.token = token;
        None
    }

    fn extend(&mut self, expires_ms: u64) {
        let asked = self.began + Duration::from_millis(expires_ms);
        self.lease_until = self.lease_until.max(asked.min(Instant::now() + MAX_HOLD));
    }

    fn advance(&mut self, record: &Record) {
        let now = Instant::now();
        let mut position = 0;
        while position < self.runs.len() {
            let has_lapsed = self.runs[position].ends_at > self.lease_until;
            let ends_at = self.runs[position].ends_at.min(self.lease_until);
            if ends_at > now {
                position += 1;
                continue;
            }
            let run = self.runs.remove(position);
            let how = if has_lapsed { "lapsed" } else { run.how };
            record.end(run.record, how, record.now_ms());
            let closed = self.closed.entry(run.task.clone()).or_default();
            *closed = (*closed).max(run.number);
            self.ended.push((self.next_end, run.task, run.number, how));
            self.next_end += 1;
        }
    }

    fn report(&self) -> Value {
        let active: Vec<Value> = self
            .runs
            .iter()
            .map(|run| json!([run.task, run.number, "", 100]))
            .collect();
        let finished: Vec<Value> = self
            .ended
            .iter()
            .take(500)
            .map(|(position, task, number, how)| json!([position, task, number, how, ""]))
            .collect();
        json!({
            "clock_ms": self.clock(),
            "born": self.born_ms,
            "active": active,
            "finished": finished,
        })
    }
}
