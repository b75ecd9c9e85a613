//! Submitted jobs and their tasks.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::shared_name;
use bramley_core::units::UnixTime;

use crate::message::{RelayId, TaskPlacement};
use crate::room::TaskRoom;
use crate::worker::WorkerIndex;

shared_name! {
    /// Name of a job, chosen by its client.
    JobName
}

shared_name! {
    /// Name of a route, the class of its jobs.
    RouteName
}

shared_name! {
    /// Name of a service, whose workers run the tasks of its routes.
    ServiceName
}

/// Names one task of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// Job of the task.
    pub job: JobName,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Step of the job, counted from 0.
    pub step: u32,
    /// Index in the step, counted from 0.
    pub index: u32,
}

impl TaskName {
    /// Names a task of a job with one step and one occurrence.
    #[must_use]
    pub const fn single_step(job: JobName, index: u32) -> Self {
        Self {
            job,
            occurrence: 0,
            step: 0,
            index,
        }
    }

    /// Tells whether the task belongs to a job with one step and one occurrence.
    #[must_use]
    pub const fn is_single_step(&self) -> bool {
        self.occurrence == 0 && self.step == 0
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// What a route's configuration says about its jobs.
#[derive(Clone, Debug)]
pub struct JobPolicy {
    /// Route of the job.
    pub route: RouteName,
    /// Service whose workers may run the tasks.
    pub service: ServiceName,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task, and with it the job, has failed.
    pub attempts: u32,
    /// Factor on the longest task in the latency objective.
    pub stretch_factor: f64,
    /// Time on top of the stretched longest task in the latency objective.
    pub target: Duration,
}

/// What a client asks to be run.
#[derive(Clone, Debug)]
pub struct JobWork {
    /// Name of the job.
    pub job: JobName,
    /// Payload that each start carries.
    pub spec: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
    /// Room of each task.
    pub room: TaskRoom,
    /// Rough run time of a task, as the client declares it.
    pub declared: Duration,
    /// Label that a worker must have; empty for none.
    pub required_label: Arc<str>,
    /// Rack on which the data lies; empty for none.
    pub preferred_rack: Arc<str>,
    /// Most tasks of the job on one worker; 0 for no limit.
    pub spread_limit: u32,
}

/// A job as a relay hands it to a pool.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// What is to be run.
    pub work: JobWork,
    /// How it is to be run.
    pub policy: JobPolicy,
    /// Time at which the request arrived.
    pub arrived_at: UnixTime,
    /// Time until which the client waits.
    pub deadline: UnixTime,
    /// Tasks that another pool has reported done.
    pub done: Vec<u32>,
    /// Workers that got the other tasks last, as far as the relay knows.
    pub placements: Vec<TaskPlacement>,
    /// Whether the earlier pool has told of the job, so that its placements are known but for those
    /// of the last moment.
    pub acknowledged: bool,
    /// Listed workers that the earlier pool last told of; 0 if there was none.
    pub earlier_workers: u32,
    /// Whether the pool must take the job even if it cannot be in time, because tasks of it may
    /// already run.
    pub resumed: bool,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskStanding {
    /// Waits for room.
    Waiting,
    /// Has a run on a worker, whose end is not known.
    Placed(WorkerIndex),
    /// Has ended well.
    Done,
}

/// A task as a pool keeps it.
#[derive(Clone, Copy, Debug)]
pub struct TaskRecord {
    /// Where it stands.
    pub standing: TaskStanding,
    /// Runs that have ended as failed.
    pub failures: u32,
    /// Number of the run that it has while it is placed.
    pub placed_number: u32,
    /// Highest number of a start that is known, also by earlier pools.
    pub last_number: u32,
    /// Worker of the last run that did not end well.
    pub avoided: Option<WorkerIndex>,
}

/// A job as a pool keeps it.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// What was submitted.
    pub submission: JobSubmission,
    /// Relay that wants the answer; none while it is away.
    pub relay: Option<RelayId>,
    /// Time at which a job without a relay is stopped.
    pub abandoned_at: UnixTime,
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// Tasks that wait for room.
    pub waiting: u32,
    /// Tasks that have not ended well.
    pub left: u32,
    /// Expected run time of a task.
    pub expected: Duration,
    /// Time at which its latency objective ends.
    pub objective_at: UnixTime,
    /// Whether a start was sent for any task.
    pub offered: bool,
}

impl JobRecord {
    /// Returns the latest time at which the last tasks may start to be in time.
    #[must_use]
    pub fn latest_start(&self) -> UnixTime {
        self.objective_at.before(self.expected)
    }
}
