//! Record of what was sent, answered and run.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bramley_fleet_stand_in::recorder::{RunRecord, RunRecorder};

/// Lines with the milliseconds since the start of the case. Clones share them.
#[derive(Clone, Debug)]
pub struct CaseRecord {
    began: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Default for CaseRecord {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl CaseRecord {
    /// Adds a line at the present time.
    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    /// Adds a line at a time.
    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((at, text.into()));
    }

    /// Adds what the workers have run.
    pub fn note_runs(&self, recorder: &RunRecorder) {
        for run in recorder.entries() {
            self.note_at(run.began, format!("run begins: {}", describe(&run)));
            if let Some(ended) = run.ended {
                self.note_at(ended, format!("run ends {}: {}", run.how, describe(&run)));
            }
        }
    }

    /// Writes the lines in the order of time.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the file cannot be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let millis = at.saturating_duration_since(self.began).as_millis();
            // Writing to a string does not fail.
            let _written = writeln!(text, "{millis:>7} ms  {line}");
        }
        std::fs::write(path, text)
    }
}

fn describe(run: &RunRecord) -> String {
    format!("task {} on {}", run.task, run.worker)
}
