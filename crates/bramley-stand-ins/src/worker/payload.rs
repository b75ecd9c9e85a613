//! The format of task payloads.

use std::time::Duration;

use serde::Deserialize;

/// Behaviour of a task on a worker stand-in.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct TaskPayload {
    /// Run time in milliseconds.
    run_ms: u64,
    /// Output of the task if it finishes.
    pub(super) echo: String,
    /// Whether the task fails at the end of its run.
    pub(super) fail: bool,
}

impl TaskPayload {
    /// Returns the run time scaled by a percentage.
    pub(super) fn run_time(&self, percent: u32) -> Duration {
        let scaled_ms = self.run_ms.saturating_mul(u64::from(percent)) / 100;
        Duration::from_millis(scaled_ms)
    }
}
