//! Messages between relays and pools.

use std::time::Duration;

use bramley_core::names::{DomainName, WorkerName};
use bramley_core::units::UnixTime;

use crate::crash::TaskCrash;
use crate::job::{JobName, JobSubmission, RouteName, ServiceName};
use crate::refusal::Refusal;
use crate::resources::TaskResources;

/// Identifies one incarnation of a relay to a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RelayId(pub u64);

/// Message from a relay to a pool.
#[derive(Clone, Debug)]
pub enum RelayMessage {
    /// Run a job.
    Submit(Box<JobSubmission>),
    /// Cancel a job whose caller no longer waits for the answer.
    Cancel(JobName),
    /// All jobs that were in doubt after the loss of an earlier pool have been submitted.
    Resumed,
    /// Tasks wait at the pool of the sending process. Sent by pools, over the connection of their
    /// process's relay.
    Waiting(WaitingTasks),
}

/// Tasks that wait at a pool and that other pools may request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingTasks {
    /// Number of tasks.
    pub tasks: u32,
    /// Smallest CPU of such a task in thousandths of a core.
    pub min_cpu_milli: u32,
    /// Number of tasks released to the receiver, if this is the answer to its request.
    pub released: Option<u32>,
}

/// Free resources of one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreeSlot {
    /// Service of the worker.
    pub service: ServiceName,
    /// Free resources.
    pub free: TaskResources,
    /// Run time relative to that on a usual worker, in thousandths.
    pub pace_permille: u32,
}

/// Request of a pool for tasks that wait at another one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StealRequest {
    /// Free resources of the requesting pool's workers.
    pub slots: Vec<FreeSlot>,
}

/// Worker to which a task was last assigned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskPlacement {
    /// Index of the task.
    pub index: u32,
    /// Name of the worker.
    pub worker: WorkerName,
    /// Time at which the worker's incarnation started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
}

/// Outcome of a job at a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// All tasks of the job succeeded.
    Completed,
    /// All tasks succeeded that the pool held of the job. Others were released to other pools, or
    /// never submitted to this one.
    PartCompleted,
    /// A task used up the attempts that its route allows, or crashes its workers.
    Failed,
    /// The failure domain is evacuated and the job has begun: its runs have ended, no task of it will
    /// be started, and its relay is to submit it to another pool.
    Returned,
    /// No task was started, and none will be; for [`Refusal::Unknown`], tasks may have run.
    Refused(Refusal),
}

impl JobOutcome {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::PartCompleted => "part_completed",
            Self::Failed => "failed",
            Self::Returned => "returned",
            Self::Refused(refusal) => refusal.answer().reason,
        }
    }
}

/// Message from a pool to a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolMessage {
    /// A task of the job succeeded.
    TaskDone {
        /// Job to which the task belongs.
        job: JobName,
        /// Index of the task.
        index: u32,
    },
    /// The job was admitted, or some of its tasks were assigned to workers.
    Placed {
        /// Name of the job.
        job: JobName,
        /// Newly assigned tasks; empty if the job was only admitted.
        placements: Vec<TaskPlacement>,
    },
    /// A worker was lost together with a run of a task, or there is more evidence on an earlier
    /// loss.
    TaskCrashed {
        /// Name of the job.
        job: JobName,
        /// The loss.
        crash: TaskCrash,
    },
    /// The job has ended.
    Ended {
        /// Name of the job.
        job: JobName,
        /// Outcome of the job.
        outcome: JobOutcome,
        /// Estimated time until a similar job could start.
        wait: Duration,
    },
    /// Requests tasks that wait at the pool of the receiving process.
    Steal(StealRequest),
    /// The pool will not start these tasks; the relay is to submit them to the pool that has
    /// requested them.
    Released {
        /// Name of the job.
        job: JobName,
        /// Indices of the tasks.
        tasks: Vec<u32>,
        /// Failure domain of the pool that has requested them.
        requester: DomainName,
    },
}

impl PoolMessage {
    /// Returns whether the message states what stays true whichever pool holds the job.
    #[must_use]
    pub const fn is_fact(&self) -> bool {
        matches!(self, Self::TaskDone { .. } | Self::TaskCrashed { .. })
    }

    /// Returns whether the relay may submit the job, or tasks of it, to another pool in response.
    #[must_use]
    pub const fn may_move_job(&self) -> bool {
        match self {
            Self::Released { .. } => true,
            Self::Ended { outcome, .. } => {
                matches!(outcome, JobOutcome::Refused(_) | JobOutcome::Returned)
            }
            Self::TaskDone { .. }
            | Self::Placed { .. }
            | Self::TaskCrashed { .. }
            | Self::Steal(_) => false,
        }
    }

    /// Returns the job that the message concerns.
    #[must_use]
    pub const fn job(&self) -> Option<&JobName> {
        match self {
            Self::TaskDone { job, .. }
            | Self::Placed { job, .. }
            | Self::TaskCrashed { job, .. }
            | Self::Ended { job, .. }
            | Self::Released { job, .. } => Some(job),
            Self::Steal(_) => None,
        }
    }

    /// Returns the label for logs.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::TaskDone { .. } => "task_done",
            Self::Placed { .. } => "placed",
            Self::TaskCrashed { .. } => "task_crashed",
            Self::Ended { .. } => "ended",
            Self::Steal(_) => "steal",
            Self::Released { .. } => "released",
        }
    }
}

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Total free CPU of all usable workers, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// Workers on the platform's list. After a change of leader, any of them may still have runs.
    pub listed_workers: u32,
    /// Workers that can be assigned tasks now; not sent to relays.
    pub usable_workers: u32,
    /// Tasks waiting for a worker.
    pub waiting_tasks: u32,
    /// Whether the failure domain is evacuated, so that no task is started there.
    pub evacuated: bool,
}

/// Admission state of one route at a pool, published with each heartbeat. Relays refuse by
/// themselves what the pool could not serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteAdmission {
    /// Route that the state applies to.
    pub route: RouteName,
    /// Share of the jobs offered now that relays should submit, in thousandths; 1000 passes all.
    pub pass_permille: u32,
    /// Expected wait of a job that is served in time.
    pub wait: Duration,
    /// Expected wait of a late job; `None` if late jobs are refused.
    pub late_wait: Option<Duration>,
    /// Time at which the pool computed the state, on the clock of the process that holds it.
    pub computed_at: UnixTime,
}
