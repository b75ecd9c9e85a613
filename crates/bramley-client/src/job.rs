//! Jobs and their answers.

use std::sync::Arc;

use bramley_wire::caller::{FailureReport, TaskSpec};

/// A job to submit.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Task class, under which run times are learned.
    pub class: Arc<str>,
    /// Latest useful answer time in milliseconds since the Unix epoch; 0 takes the deadline of
    /// the client's options.
    pub deadline_unix_ms: u64,
    /// Whether a single-task job may be run more than once.
    pub idempotent: bool,
    /// Tasks of the job, in the order of the results.
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

/// The whole answer to a complete job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobAnswer {
    /// Ticket under which the job ran.
    pub ticket: Arc<str>,
    /// Results of all tasks, in the order of the tasks.
    pub results: Vec<String>,
}

/// What an entry host says about a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Some task is waiting or running.
    Running,
    /// Every task is finished.
    Complete(JobAnswer),
    /// The job failed; the report holds the state of each task.
    Failed(FailureReport),
}
