//! Decisions for the log: what was decided, on which inputs of what age.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::names::WorkerName;

use crate::job::{JobName, RouteName, TaskName};
use crate::refusal::Refusal;
use crate::run::StopCause;
use crate::worker::{CallRefusal, RunEnd};

/// How long a line is kept when the log is short of room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DecisionWeight {
    /// One of many lines on a request that goes well.
    Routine,
    /// A step that explains a late or failed request.
    Notable,
    /// A refusal, a failure or a change of belief.
    Important,
}

/// Why a start did not succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartFailure {
    /// The worker refused it.
    Refused(CallRefusal),
    /// No connection was made.
    NotSent,
    /// It was sent and not answered in time; the worker may have started the task.
    Unanswered,
}

impl StartFailure {
    /// Returns the word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.as_str(),
            Self::NotSent => "not_sent",
            Self::Unanswered => "unanswered",
        }
    }
}

/// One decision.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A job was taken in.
    Admitted {
        /// Job.
        job: JobName,
        /// Route.
        route: RouteName,
        /// Tasks.
        tasks: u32,
        /// Expected wait for room.
        wait: Duration,
        /// Time left until the latest start that meets the objective.
        slack: Duration,
        /// Waiting tasks before it.
        waiting: u32,
        /// Age of the newest read of the worker list.
        list_age: Duration,
    },
    /// A job was refused or given up before any start.
    JobRefused {
        /// Job.
        job: JobName,
        /// Route.
        route: RouteName,
        /// Why.
        refusal: Refusal,
        /// Expected wait for room.
        wait: Duration,
        /// Usable workers.
        workers: u32,
        /// Their free processor share.
        free_cpu_milli: u64,
        /// Processor share of one task.
        cpu_milli: u32,
        /// Waiting tasks.
        waiting: u32,
        /// Age of the newest read of the worker list.
        list_age: Duration,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A start was sent.
    Placed {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
        /// Worker.
        worker: WorkerName,
        /// Free processor share of the worker after it.
        free_cpu_milli: u32,
        /// Age of the worker's latest report.
        report_age: Duration,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A worker refused a start, or it was not sent.
    StartRefused {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
        /// Worker.
        worker: WorkerName,
        /// Why.
        failure: StartFailure,
    },
    /// A start without an answer was sent again under its number.
    StartSentAgain {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
        /// Worker.
        worker: WorkerName,
        /// Age of the worker's latest report.
        report_age: Duration,
    },
    /// A run is being stopped.
    Stopping {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
        /// Worker.
        worker: WorkerName,
        /// Why.
        cause: StopCause,
        /// Time since its start.
        ran: Duration,
    },
    /// The end of a run is known.
    RunEnded {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
        /// Worker.
        worker: WorkerName,
        /// How it ended; none if it is known not to run without a listed end.
        end: Option<RunEnd>,
        /// Time since its start.
        ran: Duration,
    },
    /// A job has ended.
    JobEnded {
        /// Job.
        job: JobName,
        /// Whether every task ended well.
        completed: bool,
        /// Runs that ended as failed.
        failures: u32,
        /// Time since the request arrived.
        age: Duration,
        /// Length of the latency objective.
        objective: Duration,
    },
    /// A job was cancelled because nobody waits for it.
    JobCancelled {
        /// Job.
        job: JobName,
        /// Why.
        cause: &'static str,
        /// Tasks without a known end.
        left: u32,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A job of another pool or relay was taken over.
    JobResumed {
        /// Job.
        job: JobName,
        /// Tasks reported done.
        done: u32,
        /// Runs found under way.
        adopted: u32,
    },
    /// What is believed of a worker has changed.
    WorkerChanged {
        /// Worker.
        worker: WorkerName,
        /// New belief.
        belief: &'static str,
        /// Runs without a known end.
        runs: u32,
        /// Start of the worker's life.
        born_unix_ms: u64,
        /// Age of the worker's latest report.
        report_age: Duration,
    },
    /// Command of the workers has changed.
    CommandChanged {
        /// Fencing token; none without command.
        token: Option<u64>,
        /// Workers known.
        workers: u32,
        /// Open jobs.
        jobs: u32,
    },
    /// A message of the outside that changes a belief, already formatted.
    Text {
        /// Job concerned, if any.
        job: Option<Arc<str>>,
        /// `key=value` pairs.
        text: String,
    },
}

impl Decision {
    /// Returns the job that the decision is about.
    #[must_use]
    pub fn job(&self) -> Option<&str> {
        match self {
            Self::Admitted { job, .. }
            | Self::JobRefused { job, .. }
            | Self::JobEnded { job, .. }
            | Self::JobCancelled { job, .. }
            | Self::JobResumed { job, .. } => Some(job.as_str()),
            Self::Placed { task, .. }
            | Self::StartRefused { task, .. }
            | Self::StartSentAgain { task, .. }
            | Self::Stopping { task, .. }
            | Self::RunEnded { task, .. } => Some(task.job.as_str()),
            Self::Text { job, .. } => job.as_deref(),
            Self::WorkerChanged { .. } | Self::CommandChanged { .. } => None,
        }
    }

    /// Returns how long the line is kept when the log is short of room.
    #[must_use]
    pub const fn weight(&self) -> DecisionWeight {
        match self {
            Self::Admitted { .. } | Self::Placed { .. } => DecisionWeight::Routine,
            Self::RunEnded { end, .. } => match end {
                Some(RunEnd::Done) => DecisionWeight::Routine,
                _ => DecisionWeight::Important,
            },
            Self::JobEnded { completed, .. } => {
                if *completed {
                    DecisionWeight::Routine
                } else {
                    DecisionWeight::Important
                }
            }
            Self::StartRefused { .. }
            | Self::StartSentAgain { .. }
            | Self::Stopping { .. }
            | Self::JobCancelled { .. } => DecisionWeight::Notable,
            Self::JobRefused { .. }
            | Self::JobResumed { .. }
            | Self::WorkerChanged { .. }
            | Self::CommandChanged { .. }
            | Self::Text { .. } => DecisionWeight::Important,
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted {
                job,
                route,
                tasks,
                wait,
                slack,
                waiting,
                list_age,
            } => write!(
                f,
                "event=job_admitted job={job} route={route} tasks={tasks} wait_ms={} slack_ms={} \
                 waiting={waiting} list_age_ms={}",
                wait.as_millis(),
                slack.as_millis(),
                list_age.as_millis(),
            ),
            Self::JobRefused {
                job,
                route,
                refusal,
                wait,
                workers,
                free_cpu_milli,
                cpu_milli,
                waiting,
                list_age,
                age,
            } => write!(
                f,
                "event=job_refused job={job} route={route} reason={} wait_ms={} workers={workers} \
                 free_cpu_milli={free_cpu_milli} cpu_milli={cpu_milli} waiting={waiting} list_age_ms={} age_ms={}",
                refusal.answer().word,
                wait.as_millis(),
                list_age.as_millis(),
                age.as_millis(),
            ),
            Self::Placed {
                task,
                number,
                worker,
                free_cpu_milli,
                report_age,
                age,
            } => write!(
                f,
                "event=task_placed job={} task={} run={number} worker={worker} \
                 free_cpu_milli={free_cpu_milli} report_age_ms={} age_ms={}",
                task.job,
                task.index,
                report_age.as_millis(),
                age.as_millis(),
            ),
            Self::StartRefused {
                task,
                number,
                worker,
                failure,
            } => write!(
                f,
                "event=start_refused job={} task={} run={number} worker={worker} reason={}",
                task.job,
                task.index,
                failure.as_str(),
            ),
            Self::StartSentAgain {
                task,
                number,
                worker,
                report_age,
            } => write!(
                f,
                "event=start_sent_again job={} task={} run={number} worker={worker} report_age_ms={}",
                task.job,
                task.index,
                report_age.as_millis(),
            ),
            Self::Stopping {
                task,
                number,
                worker,
                cause,
                ran,
            } => write!(
                f,
                "event=run_stopping job={} task={} run={number} worker={worker} reason={} \
                 ran_ms={}",
                task.job,
                task.index,
                cause.as_str(),
                ran.as_millis(),
            ),
            Self::RunEnded {
                task,
                number,
                worker,
                end,
                ran,
            } => write!(
                f,
                "event=run_ended job={} task={} run={number} worker={worker} end={} ran_ms={}",
                task.job,
                task.index,
                end.map_or("not_there", RunEnd::as_str),
                ran.as_millis(),
            ),
            Self::JobEnded {
                job,
                completed,
                failures,
                age,
                objective,
            } => write!(
                f,
                "event=job_ended job={job} outcome={} failures={failures} age_ms={} \
                 objective_ms={}",
                if *completed { "completed" } else { "failed" },
                age.as_millis(),
                objective.as_millis(),
            ),
            Self::JobCancelled {
                job,
                cause,
                left,
                age,
            } => write!(
                f,
                "event=job_cancelled job={job} reason={cause} left={left} age_ms={}",
                age.as_millis(),
            ),
            Self::JobResumed { job, done, adopted } => write!(
                f,
                "event=job_resumed job={job} done={done} adopted={adopted}"
            ),
            Self::WorkerChanged {
                worker,
                belief,
                runs,
                born_unix_ms,
                report_age,
            } => write!(
                f,
                "event=worker_changed worker={worker} belief={belief} runs={runs} \
                 born_ms={born_unix_ms} report_age_ms={}",
                report_age.as_millis(),
            ),
            Self::CommandChanged {
                token,
                workers,
                jobs,
            } => write!(
                f,
                "event=command_changed token={} workers={workers} jobs={jobs}",
                token.unwrap_or_default(),
            ),
            Self::Text { text, .. } => f.write_str(text),
        }
    }
}
