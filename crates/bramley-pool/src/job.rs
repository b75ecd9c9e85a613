//! Submitted jobs and their tasks.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::arc_str_name;
use bramley_core::units::UnixTime;

use crate::crash::{CrashHistory, Suspicion};
use crate::exposure::RouteIndex;
use crate::message::{RelayId, TaskPlacement};
use crate::resources::TaskResources;
use crate::worker::{WorkerIndex, WorkerRecord};

arc_str_name! {
    /// Name of a job, chosen by its client.
    JobName
}

arc_str_name! {
    /// Name of a route, which sets the policy of its jobs.
    RouteName
}

arc_str_name! {
    /// Name of a service; its workers run the tasks of its routes.
    ServiceName
}

/// Identifies one task of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// Job of the task.
    pub job: JobName,
    /// Occurrence of the job, starting at 0.
    pub occurrence: u32,
    /// Step of the job, starting at 0.
    pub step: u32,
    /// Index within the step, starting at 0.
    pub index: u32,
}

impl TaskName {
    /// Creates the name of a task of a job with one step and one occurrence.
    #[must_use]
    pub const fn single_step(job: JobName, index: u32) -> Self {
        Self {
            job,
            occurrence: 0,
            step: 0,
            index,
        }
    }

    /// Returns whether the task belongs to a job with one step and one occurrence.
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

/// Policy that a route's configuration sets for its jobs.
#[derive(Clone, Debug)]
pub struct JobPolicy {
    /// Route of the job.
    pub route: RouteName,
    /// Service whose workers may run the tasks.
    pub service: ServiceName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Factor by which the latency objective multiplies the expected run time of the longest task.
    pub stretch_factor: f64,
    /// Constant part of the latency objective, added to the stretched run time.
    pub target: Duration,
    /// Whether the service's workers refuse starts beyond their free resources. Others start
    /// whatever they are told to.
    pub workers_are_guarded: bool,
}

/// Work requested by a client.
#[derive(Clone, Debug)]
pub struct JobWork {
    /// Name of the job.
    pub job: JobName,
    /// Payload sent with each start request.
    pub spec: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: TaskResources,
    /// Approximate run time of a task as declared by the client.
    pub declared: Duration,
    /// Label that a worker must have; empty if none is required.
    pub required_label: Arc<str>,
    /// Rack that holds the input data; empty for no preference.
    pub preferred_rack: Arc<str>,
    /// Maximum number of the job's tasks on one worker; 0 for no limit.
    pub spread_limit: u32,
}

/// A job as submitted by a relay to a pool.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Work to run.
    pub work: JobWork,
    /// Policy of the job's route.
    pub policy: JobPolicy,
    /// Time at which the request arrived.
    pub arrived_at: UnixTime,
    /// Time until which the client waits for the answer.
    pub deadline: UnixTime,
    /// Tasks that another pool reported as completed.
    pub done: Vec<u32>,
    /// Last known workers of the other tasks.
    pub placements: Vec<TaskPlacement>,
    /// Workers that were lost under tasks of the job.
    pub crashes: CrashHistory,
    /// Whether the previous pool has acknowledged the job, so that all its placements are known
    /// except those made just before the connection was lost.
    pub acknowledged: bool,
    /// Number of listed workers in the previous pool's last load report; 0 if there was no such
    /// pool.
    pub earlier_workers: u32,
    /// Time by which all runs have certainly ended that leaders of other terms may have started; in
    /// the past if there are none.
    pub earlier_runs_end_by: UnixTime,
    /// Whether the pool must accept the job even if it would miss its latency objective, because
    /// some of its tasks may already be running.
    pub resumed: bool,
    /// Whether the pool may admit the job although it would miss its latency objective. Set once
    /// no pool could serve it in time.
    pub accepts_late: bool,
    /// Tasks that the pool is to run if other pools run the rest; empty if it is to run all that are
    /// not done.
    pub part: Vec<u32>,
}

/// Largest number of tasks of one job; the largest known jobs have 32.
pub const MAX_TASKS: u32 = 2_000;

/// Largest stretch factor of a policy.
const MAX_STRETCH_FACTOR: f64 = 1_000.0;

/// Longest time in a policy or a job: a day.
pub const MAX_TIME: Duration = Duration::from_secs(86_400);

impl JobSubmission {
    /// Returns whether all values are within the bounds that the pool can calculate with. A caller,
    /// the configuration or another process may have sent anything.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let Self {
            work, policy, part, ..
        } = self;
        part.iter().all(|task| *task < work.tasks)
            && (1..=MAX_TASKS).contains(&work.tasks)
            && (0.0..=MAX_STRETCH_FACTOR).contains(&policy.stretch_factor)
            && policy.target <= MAX_TIME
            && work.declared <= MAX_TIME
    }
}

/// State of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// Waiting for a worker.
    Waiting,
    /// Assigned to a worker; the run has not ended as far as is known.
    Placed(WorkerIndex),
    /// Completed successfully.
    Done,
    /// Run by the pool of another failure domain.
    Elsewhere,
}

/// A pool's record of a task.
#[derive(Clone, Copy, Debug)]
pub struct TaskRecord {
    /// Current state.
    pub state: TaskState,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of the current run; valid while the task is placed.
    pub placed_number: u32,
    /// Highest known run number, including those assigned by earlier pools.
    pub last_number: u32,
    /// Worker of the last unsuccessful run.
    pub avoided: Option<WorkerIndex>,
    /// Whether the task is held to crash its workers.
    pub suspicion: Suspicion,
}

/// Time by which a waiting job is to be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueClass {
    /// The job is to meet its latency objective, so it has to start by
    /// [`JobRecord::latest_start`].
    InTime,
    /// The job misses its objective and is to be answered while the answer has a value, so it has
    /// to start by [`JobRecord::latest_useful_start`].
    Late,
}

impl QueueClass {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
        }
    }
}

/// A pool's record of a job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The submission.
    pub submission: JobSubmission,
    /// Relay that waits for the answer; `None` while it is disconnected.
    pub relay: Option<RelayId>,
    /// Time at which the job is cancelled if no relay has reconnected.
    pub abandoned_at: UnixTime,
    /// Tasks by index.
    pub tasks: Vec<TaskRecord>,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of tasks that have not succeeded yet.
    pub unfinished: u32,
    /// Expected run time of a task.
    pub expected: Duration,
    /// Time by which the job must end to meet its latency objective.
    pub objective_at: UnixTime,
    /// Time after which an answer has no value: a multiple of the latency objective, or the
    /// client's deadline if that is earlier.
    pub useful_until: UnixTime,
    /// Whether any task may have been started, here or by an earlier pool.
    pub may_have_started: bool,
    /// Time by which the job is to be served.
    pub queue_class: QueueClass,
    /// Whether the job was admitted before others because jobs of its size or of its relay's failure
    /// domain got less than is guaranteed.
    pub is_guaranteed: bool,
    /// Whether other pools run, or ran, some of the tasks.
    pub is_split: bool,
    /// Index of the route in the table of routes that may slow each other down; `None` if the route
    /// is not tracked.
    pub route: Option<RouteIndex>,
}

impl JobRecord {
    /// Returns the latest time at which the last task can start and still meet the latency
    /// objective.
    #[must_use]
    pub fn latest_start(&self) -> UnixTime {
        self.objective_at.before(self.expected)
    }

    /// Returns whether the job keeps its place in the queue after it has missed its latest start.
    #[must_use]
    pub const fn keeps_place(&self) -> bool {
        self.may_have_started || self.is_guaranteed
    }

    /// Returns the resources that a run of a task takes up on a worker. A suspected task takes up
    /// the whole worker, so that its crash hits no other task and tells who is to blame.
    #[must_use]
    pub fn resources_on(&self, worker: &WorkerRecord, task: usize) -> TaskResources {
        let is_suspected = self
            .tasks
            .get(task)
            .is_some_and(|task| task.suspicion != Suspicion::Unsuspected);
        let resources = self.submission.work.resources;
        if is_suspected {
            worker.entry.capacity.at_least(resources)
        } else {
            resources
        }
    }

    /// Returns whether a suspected task waits, which needs an idle worker.
    #[must_use]
    pub fn awaits_idle_worker(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.state == TaskState::Waiting && task.suspicion == Suspicion::Suspected)
    }

    /// Returns the time by which the last task has to start to serve the job as admitted.
    #[must_use]
    pub fn start_limit(&self) -> UnixTime {
        match self.queue_class {
            QueueClass::InTime => self.latest_start(),
            QueueClass::Late => self.latest_useful_start(),
        }
    }

    /// Returns the latest time at which the last task can start and its answer still has a value.
    #[must_use]
    pub fn latest_useful_start(&self) -> UnixTime {
        self.useful_until.before(self.expected)
    }
}
