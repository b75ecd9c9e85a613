//! What relays and pools tell each other.

use std::time::Duration;

use bramley_core::names::WorkerName;

use crate::job::{JobName, JobSubmission};
use crate::refusal::Refusal;

/// One incarnation of a relay, as a pool knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RelayId(pub u64);

/// What a relay asks of a pool.
#[derive(Clone, Debug)]
pub enum RelayMessage {
    /// Run this job.
    Submit(Box<JobSubmission>),
    /// Stop this job; nobody waits for its answer.
    Cancel(JobName),
}

/// Which worker got a task last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskPlacement {
    /// Index of the task.
    pub index: u32,
    /// Worker.
    pub worker: WorkerName,
}

/// How a job ended at a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task has ended well.
    Completed,
    /// A task has failed as often as the route allows.
    Failed,
    /// No task has started, and none will.
    Refused(Refusal),
}

/// What a pool tells a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolMessage {
    /// A task of the job has ended well.
    TaskDone {
        /// Job of the task.
        job: JobName,
        /// Index of the task.
        index: u32,
    },
    /// The job was taken in, or tasks of it were given to workers.
    Placed {
        /// Job.
        job: JobName,
        /// Tasks with their workers.
        placements: Vec<TaskPlacement>,
    },
    /// The job has ended.
    Ended {
        /// Job.
        job: JobName,
        /// How it ended.
        outcome: JobOutcome,
        /// Expected time until a job like it could start.
        wait: Duration,
    },
}

/// How busy a pool is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Free processor share of all usable workers, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// Workers that the platform lists: after a change of command, runs may be on any of them.
    pub listed_workers: u32,
    /// Workers that get tasks now; not told to relays.
    pub usable_workers: u32,
    /// Tasks that wait.
    pub waiting_tasks: u32,
}
