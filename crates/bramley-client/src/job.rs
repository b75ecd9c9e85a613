//! Jobs, their results and their states.

use std::sync::Arc;

use bramley_wire::caller::{FailureReport, TaskSpec};

/// Describes a job to submit.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Task class. The service estimates run times per class.
    pub class: Arc<str>,
    /// Time after which a result is no longer useful, in milliseconds since the Unix epoch; 0
    /// applies [`ClientOptions::request_timeout_ms`](crate::ClientOptions::request_timeout_ms).
    pub deadline_unix_ms: u64,
    /// Whether a single-task job may be run more than once.
    pub idempotent: bool,
    /// Tasks of the job. Results are returned in the same order.
    pub tasks: Vec<TaskSpec>,
}

impl Default for JobSpec {
    fn default() -> Self {
        Self {
            class: Arc::from(""),
            deadline_unix_ms: 0,
            idempotent: false,
            tasks: Vec::new(),
        }
    }
}

/// Results of a job that completed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobAnswer {
    /// Ticket under which the job ran.
    pub ticket: Arc<str>,
    /// Results of all tasks, in the order of the tasks.
    pub results: Vec<String>,
}

/// State of a job as reported by an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobState {
    /// At least one task is queued or running.
    Running,
    /// All tasks finished.
    Complete(JobAnswer),
    /// The job failed; the report contains the state of each task.
    Failed(FailureReport),
}
