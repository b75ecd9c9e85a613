//! Record of what was sent, answered and run, written to `record.txt` at the end.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// One start of a task on a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Task in the form `job.occurrence.step.index`.
    pub task: String,
    /// Run number.
    pub number: u64,
    /// Worker.
    pub worker: String,
    /// Start of the worker's incarnation in Unix milliseconds.
    pub born_ms: u64,
    /// Labels of that incarnation.
    pub labels: Vec<String>,
    /// Payload.
    pub spec: String,
    /// Fencing token of the start.
    pub token: u64,
    /// Time of the start in milliseconds of the record.
    pub started_ms: u64,
    /// Time and way of the end.
    pub ended: Option<(u64, &'static str)>,
}

impl RunRecord {
    /// Returns the job of the task.
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct RecordState {
    lines: Vec<(u64, String)>,
    runs: Vec<RunRecord>,
}

/// Record of a case. Clones share the contents.
#[derive(Clone, Debug)]
pub struct Record {
    origin: Instant,
    path: Arc<PathBuf>,
    state: Arc<Mutex<RecordState>>,
}

impl Record {
    /// Creates an empty record that is to be written to `path`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self {
            origin: Instant::now(),
            path: Arc::new(path.into()),
            state: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the milliseconds since the record was created.
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: impl Into<String>) {
        let now = self.now_ms();
        self.state().lines.push((now, text.into()));
    }

    /// Records the start of a run and returns its index.
    pub fn begin(&self, run: RunRecord) -> usize {
        let text = format!(
            "{} starts {} run {} (token {}, spec {:?}, labels {:?})",
            run.worker, run.task, run.number, run.token, run.spec, run.labels
        );
        let mut state = self.state();
        state.lines.push((run.started_ms, text));
        state.runs.push(run);
        state.runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end(&self, index: usize, how: &'static str, at_ms: u64) {
        let mut state = self.state();
        let run = &mut state.runs[index];
        run.ended = Some((at_ms, how));
        let text = format!("{} ends {} run {}: {how}", run.worker, run.task, run.number);
        state.lines.push((at_ms, text));
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state().runs.clone()
    }

    /// Writes the record, in the order of time.
    pub fn write(&self) {
        let mut lines = self.state().lines.clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:>4}.{:03} s  {text}\n", at / 1_000, at % 1_000))
            .collect();
        if let Err(error) = std::fs::write(&*self.path, text) {
            eprintln!("{} cannot be written: {error}", self.path.display());
        }
    }
}
