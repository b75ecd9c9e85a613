//! Structured log lines for scheduling decisions, with their inputs and the age of those inputs.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::names::{DomainName, WorkerName};

use crate::crash::{CrashEvidence, Suspicion, TaskCrash};
use crate::job::{JobName, QueueClass, RouteName, TaskName};
use crate::message::JobOutcome;
use crate::pool::RoutePair;
use crate::pool_connection::LossCause;
use crate::refusal::Refusal;
use crate::relay::RouteRefusal;
use crate::run::StopCause;
use crate::worker::{CallRefusal, RunEnd};

/// Priority of a log line; lower priorities are dropped first when the log buffer is full.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogPriority {
    /// Part of the normal course of a successful request.
    Routine,
    /// Helps to explain a late or failed request.
    Notable,
    /// A refusal, a failure or a change in the known state of a worker or leader.
    Important,
}

/// Reason why a start request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartFailure {
    /// The worker refused the start.
    Refused(CallRefusal),
    /// The worker's address refused the connection.
    ConnectionRefused,
    /// No connection could be made.
    NotSent,
    /// No answer arrived in time; the worker may have started the task.
    Unanswered,
}

impl StartFailure {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.as_str(),
            Self::ConnectionRefused => "connection_refused",
            Self::NotSent => "not_sent",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Reason for which a relay submits a job again that another pool may have started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverReason {
    /// The failure domain of the lost pool is connected again.
    Reconnected,
    /// The pool of an evacuated failure domain has returned the job.
    Returned,
    /// All runs that the lost pool may have started have certainly ended.
    RunsEnded,
}

impl HandoverReason {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reconnected => "reconnected",
            Self::Returned => "returned",
            Self::RunsEnded => "runs_ended",
        }
    }
}

/// A scheduling decision to be logged.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A job was admitted.
    Admitted {
        /// Name of the job.
        job: JobName,
        /// Route of the job.
        route: RouteName,
        /// Number of tasks to run.
        tasks: u32,
        /// Time by which the job is to be served.
        queue_class: QueueClass,
        /// Estimated wait for free capacity.
        wait: Duration,
        /// Time left until the latest start that meets the latency objective.
        slack: Duration,
        /// Tasks already waiting.
        waiting: u32,
        /// Time since the worker list was last read.
        list_age: Duration,
    },
    /// An admitted job can no longer meet its objective and now waits behind those that can.
    Deferred {
        /// Name of the job.
        job: JobName,
        /// Time left until the latest start of use to the caller.
        left: Duration,
        /// Tasks already waiting.
        waiting: u32,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A job was refused, or dropped before any of its tasks was started.
    JobRefused {
        /// Name of the job.
        job: JobName,
        /// Route of the job.
        route: RouteName,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Estimated wait for free capacity.
        wait: Duration,
        /// Number of usable workers.
        workers: u32,
        /// Total free CPU of the usable workers.
        free_cpu_milli: u64,
        /// CPU request of one task.
        cpu_milli: u32,
        /// Number of waiting tasks.
        waiting: u32,
        /// Time since the worker list was last read.
        list_age: Duration,
        /// Time since the request arrived.
        age: Duration,
    },
    /// Refusals that were not logged one by one.
    RefusalsCounted {
        /// Reason for the refusals.
        refusal: Refusal,
        /// Number of jobs.
        count: u32,
        /// Time in which they were refused.
        span: Duration,
    },
    /// A relay refused a job by the admission state that pools have published.
    RefusedByState {
        /// Name of the job.
        job: JobName,
        /// Route of the job.
        route: RouteName,
        /// The refusal with its inputs.
        refusal: RouteRefusal,
    },
    /// A relay refused a job for which no pool is connected.
    RefusedUnserved {
        /// Name of the job.
        job: JobName,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Number of connected pools.
        pools_connected: usize,
    },
    /// A start request was sent to a worker.
    Placed {
        /// Name of the task.
        task: TaskName,
        /// Run number of the task.
        number: u32,
        /// Name of the worker.
        worker: WorkerName,
        /// CPU left free on the worker.
        free_cpu_milli: u32,
        /// Age of the latest report from the worker.
        report_age: Duration,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A start request was refused, not sent or not answered.
    StartRefused {
        /// Name of the task.
        task: TaskName,
        /// Run number of the task.
        number: u32,
        /// Name of the worker.
        worker: WorkerName,
        /// Reason of the failure.
        failure: StartFailure,
    },
    /// An unanswered start request was resent with the same run number.
    StartSentAgain {
        /// Name of the task.
        task: TaskName,
        /// Run number of the task.
        number: u32,
        /// Name of the worker.
        worker: WorkerName,
        /// Age of the latest report from the worker.
        report_age: Duration,
    },
    /// A stop request was sent for a run.
    Stopping {
        /// Name of the task.
        task: TaskName,
        /// Run number of the task.
        number: u32,
        /// Name of the worker.
        worker: WorkerName,
        /// Reason for the stop.
        cause: StopCause,
        /// Time since the start request.
        ran: Duration,
    },
    /// A worker was lost together with a run.
    RunLost {
        /// Name of the task.
        task: TaskName,
        /// Run number of the task.
        number: u32,
        /// Name of the worker.
        worker: WorkerName,
        /// Time at which the lost incarnation of the worker started.
        born_unix_ms: u64,
        /// Evidence that the worker crashed.
        evidence: CrashEvidence,
        /// Other runs lost with the same worker.
        beside: u32,
        /// Time since the start request.
        ran: Duration,
    },
    /// A possible crash of a worker under a task was recorded, or more evidence on it.
    CrashRecorded {
        /// Name of the task.
        task: TaskName,
        /// Name of the worker.
        worker: WorkerName,
        /// Evidence that the worker crashed.
        evidence: CrashEvidence,
        /// Whether the worker had no other run.
        alone: bool,
        /// Possible crashes under the task so far.
        crashes: u32,
        /// Whether the task is held to crash its workers.
        suspicion: Suspicion,
    },
    /// A task is not started again because too many workers were lost under it.
    TaskGivenUp {
        /// Name of the task.
        task: TaskName,
        /// Whether the task is held to crash its workers.
        suspicion: Suspicion,
        /// Possible crashes under the task.
        crashes: Vec<TaskCrash>,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A run is known to have ended.
    RunEnded {
        /// Name of the task.
        task: TaskName,
        /// Run number of the task.
        number: u32,
        /// Name of the worker.
        worker: WorkerName,
        /// How the run ended; `None` if the worker reports neither the run nor its end.
        end: Option<RunEnd>,
        /// Time since the start request.
        ran: Duration,
    },
    /// A job has ended.
    JobEnded {
        /// Name of the job.
        job: JobName,
        /// Outcome of the job.
        outcome: JobOutcome,
        /// Number of failed runs.
        failures: u32,
        /// Time since the request arrived.
        age: Duration,
        /// Latency objective.
        objective: Duration,
    },
    /// A job that has begun was returned to its relay because the failure domain is evacuated.
    JobReturned {
        /// Name of the job.
        job: JobName,
        /// Tasks that had not succeeded.
        left: u32,
        /// Time since the request arrived.
        age: Duration,
    },
    /// Waiting tasks of a job were released to the pool of another failure domain.
    TasksReleased {
        /// Name of the job.
        job: JobName,
        /// Number of tasks.
        tasks: u32,
        /// Failure domain of the pool that has requested them.
        requester: DomainName,
        /// Tasks that waited here before.
        waiting: u32,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A job was cancelled because no caller waits for it.
    JobCancelled {
        /// Name of the job.
        job: JobName,
        /// Reason for the cancellation.
        cause: &'static str,
        /// Tasks that had not succeeded.
        left: u32,
        /// Time since the request arrived.
        age: Duration,
    },
    /// A job was taken over that may already have started at another pool or through another relay.
    JobResumed {
        /// Name of the job.
        job: JobName,
        /// Tasks already completed.
        done: u32,
        /// Active runs that were adopted.
        adopted: u32,
    },
    /// A relay submits a job again that another pool may have started.
    JobHandedOver {
        /// Name of the job.
        job: JobName,
        /// Failure domain of the pool that gets the job.
        pool: DomainName,
        /// Failure domain of the pool that had it; `None` if all of it was in parts elsewhere.
        from: Option<DomainName>,
        /// Reason for the submission.
        reason: HandoverReason,
        /// Tasks already completed.
        done: usize,
        /// Whether a pool has reported that a task was placed.
        started: bool,
    },
    /// The connection of a relay to a pool was lost while it held jobs there.
    JobsInDoubt {
        /// Failure domain of the pool.
        pool: DomainName,
        /// Reason for the loss.
        cause: LossCause,
        /// Number of jobs.
        jobs: usize,
        /// Number of parts of jobs.
        parts: usize,
    },
    /// A pool has started tasks of a job that its relay had submitted to another pool by then.
    ForeignStart {
        /// Name of the job.
        job: JobName,
        /// Failure domain of the pool that has started tasks.
        pool: DomainName,
        /// Failure domain of the pool that holds the job; `None` if all of it is in parts elsewhere.
        held_by: Option<DomainName>,
    },
    /// A relay does not apply what concerns a connection to a pool that has ended.
    FormerPoolIgnored {
        /// Failure domain of the pool.
        pool: DomainName,
        /// What is not applied.
        what: &'static str,
        /// Whether the failure domain is connected by now.
        is_connected: bool,
    },
    /// The known state of a worker has changed.
    WorkerChanged {
        /// Name of the worker.
        worker: WorkerName,
        /// New state.
        belief: &'static str,
        /// Active runs on the worker.
        runs: u32,
        /// Time at which the worker started.
        born_unix_ms: u64,
        /// Age of the latest report from the worker; `None` if it has not reported yet.
        report_age: Option<Duration>,
    },
    /// The pool has become leader or has stepped down.
    LeadershipChanged {
        /// Fencing token; `None` if the pool is not the leader.
        token: Option<u64>,
        /// Known workers.
        workers: u32,
        /// Open jobs.
        jobs: u32,
    },
    /// A pair of routes begins or ceases to count as interfering.
    InterferenceChanged {
        /// The pair as it is judged now.
        pair: RoutePair,
    },
    /// A preformatted line about an event that has no variant of its own.
    Text {
        /// Related job, if any.
        job: Option<Arc<str>>,
        /// `key=value` pairs.
        text: String,
    },
}

impl Decision {
    /// Returns the job to which the decision relates.
    #[must_use]
    pub fn job(&self) -> Option<&str> {
        match self {
            Self::Admitted { job, .. }
            | Self::Deferred { job, .. }
            | Self::JobRefused { job, .. }
            | Self::RefusedByState { job, .. }
            | Self::RefusedUnserved { job, .. }
            | Self::JobEnded { job, .. }
            | Self::JobCancelled { job, .. }
            | Self::JobReturned { job, .. }
            | Self::TasksReleased { job, .. }
            | Self::JobHandedOver { job, .. }
            | Self::ForeignStart { job, .. }
            | Self::JobResumed { job, .. } => Some(job.as_str()),
            Self::Placed { task, .. }
            | Self::StartRefused { task, .. }
            | Self::StartSentAgain { task, .. }
            | Self::Stopping { task, .. }
            | Self::RunLost { task, .. }
            | Self::CrashRecorded { task, .. }
            | Self::TaskGivenUp { task, .. }
            | Self::RunEnded { task, .. } => Some(task.job.as_str()),
            Self::Text { job, .. } => job.as_deref(),
            Self::RefusalsCounted { .. }
            | Self::JobsInDoubt { .. }
            | Self::FormerPoolIgnored { .. }
            | Self::WorkerChanged { .. }
            | Self::LeadershipChanged { .. }
            | Self::InterferenceChanged { .. } => None,
        }
    }

    /// Returns the reason if the decision is a refusal of a job. Lines on refusals are limited by
    /// reason.
    #[must_use]
    pub const fn refusal_reason(&self) -> Option<&'static str> {
        match self {
            Self::JobRefused { refusal, .. } | Self::RefusedUnserved { refusal, .. } => {
                Some(refusal.answer().reason)
            }
            Self::RefusedByState { refusal, .. } => Some(refusal.refusal.answer().reason),
            _ => None,
        }
    }

    /// Returns the priority of the log line.
    #[must_use]
    pub const fn priority(&self) -> LogPriority {
        match self {
            Self::Admitted { .. } | Self::Placed { .. } | Self::TasksReleased { .. } => {
                LogPriority::Routine
            }
            Self::RunEnded { end, .. } => match end {
                Some(RunEnd::Done) => LogPriority::Routine,
                _ => LogPriority::Important,
            },
            Self::JobEnded { outcome, .. } => {
                if matches!(outcome, JobOutcome::Completed | JobOutcome::PartCompleted) {
                    LogPriority::Routine
                } else {
                    LogPriority::Important
                }
            }
            Self::StartRefused { .. }
            | Self::StartSentAgain { .. }
            | Self::Stopping { .. }
            | Self::Deferred { .. }
            | Self::JobCancelled { .. }
            | Self::JobReturned { .. } => LogPriority::Notable,
            Self::JobRefused { .. }
            | Self::RefusalsCounted { .. }
            | Self::RefusedByState { .. }
            | Self::RefusedUnserved { .. }
            | Self::JobResumed { .. }
            | Self::JobHandedOver { .. }
            | Self::JobsInDoubt { .. }
            | Self::ForeignStart { .. }
            | Self::FormerPoolIgnored { .. }
            | Self::RunLost { .. }
            | Self::CrashRecorded { .. }
            | Self::TaskGivenUp { .. }
            | Self::WorkerChanged { .. }
            | Self::LeadershipChanged { .. }
            | Self::InterferenceChanged { .. }
            | Self::Text { .. } => LogPriority::Important,
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
                queue_class,
                wait,
                slack,
                waiting,
                list_age,
            } => write!(
                f,
                "event=job_admitted job={job} route={route} tasks={tasks} class={} wait_ms={} \
                 slack_ms={} waiting={waiting} list_age_ms={}",
                queue_class.as_str(),
                wait.as_millis(),
                slack.as_millis(),
                list_age.as_millis(),
            ),
            Self::Deferred {
                job,
                left,
                waiting,
                age,
            } => write!(
                f,
                "event=job_deferred job={job} left_ms={} waiting={waiting} age_ms={}",
                left.as_millis(),
                age.as_millis(),
            ),
            Self::RefusedByState {
                job,
                route,
                refusal,
            } => write!(f, "event=job_refused job={job} route={route} {refusal}"),
            Self::RefusedUnserved {
                job,
                refusal,
                pools_connected,
            } => write!(
                f,
                "event=job_refused job={job} reason={} pools_connected={pools_connected}",
                refusal.answer().reason,
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
                refusal.answer().reason,
                wait.as_millis(),
                list_age.as_millis(),
                age.as_millis(),
            ),
            Self::RefusalsCounted {
                refusal,
                count,
                span,
            } => write!(
                f,
                "event=jobs_refused reason={} count={count} span_ms={}",
                refusal.answer().reason,
                span.as_millis(),
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
            Self::RunLost {
                task,
                number,
                worker,
                born_unix_ms,
                evidence,
                beside,
                ran,
            } => write!(
                f,
                "event=run_lost job={} task={} run={number} worker={worker} born_ms={born_unix_ms} \
                 evidence={} beside={beside} ran_ms={}",
                task.job,
                task.index,
                evidence.as_str(),
                ran.as_millis(),
            ),
            Self::CrashRecorded {
                task,
                worker,
                evidence,
                alone,
                crashes,
                suspicion,
            } => write!(
                f,
                "event=crash_recorded job={} task={} worker={worker} evidence={} alone={alone} \
                 crashes={crashes} suspicion={}",
                task.job,
                task.index,
                evidence.as_str(),
                suspicion.as_str(),
            ),
            Self::TaskGivenUp {
                task,
                suspicion,
                crashes,
                age,
            } => {
                let workers: Vec<&str> =
                    crashes.iter().map(|crash| crash.worker.as_str()).collect();
                let alone = crashes.iter().filter(|crash| crash.alone).count();
                write!(
                    f,
                    "event=task_given_up job={} task={} suspicion={} crashes={} alone={alone} workers={} \
                     age_ms={}",
                    task.job,
                    task.index,
                    suspicion.as_str(),
                    crashes.len(),
                    workers.join(","),
                    age.as_millis(),
                )
            }
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
                outcome,
                failures,
                age,
                objective,
            } => write!(
                f,
                "event=job_ended job={job} outcome={} failures={failures} age_ms={} \
                 objective_ms={}",
                outcome.as_str(),
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
            Self::JobReturned { job, left, age } => write!(
                f,
                "event=job_returned job={job} reason=evacuated left={left} age_ms={}",
                age.as_millis(),
            ),
            Self::TasksReleased {
                job,
                tasks,
                requester,
                waiting,
                age,
            } => write!(
                f,
                "event=tasks_released job={job} tasks={tasks} to={requester} waiting={waiting} age_ms={}",
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
                report_age.map_or_else(|| String::from("none"), |age| age.as_millis().to_string()),
            ),
            Self::LeadershipChanged {
                token,
                workers,
                jobs,
            } => write!(
                f,
                "event=command_changed token={} workers={workers} jobs={jobs}",
                token.unwrap_or_default(),
            ),
            Self::InterferenceChanged { pair } => write!(
                f,
                "event=interference_changed route={} beside={} interferes={} slowdown={:.2} \
                 lower={:.2} upper={:.2} observations={:.0}",
                pair.route,
                pair.neighbour,
                pair.is_interfering,
                pair.slowdown,
                pair.lower,
                pair.upper,
                pair.observations,
            ),
            Self::JobHandedOver {
                job,
                pool,
                from,
                reason,
                done,
                started,
            } => write!(
                f,
                "event=job_handed_over job={job} pool={pool} from={} reason={} done={done} \
                 started={started}",
                name_or_parts(from.as_ref()),
                reason.as_str(),
            ),
            Self::JobsInDoubt {
                pool,
                cause,
                jobs,
                parts,
            } => write!(
                f,
                "event=jobs_in_doubt pool={pool} reason={} jobs={jobs} parts={parts}",
                cause.as_str(),
            ),
            Self::FormerPoolIgnored {
                pool,
                what,
                is_connected,
            } => write!(
                f,
                "event=former_pool_ignored pool={pool} what={what} connected={is_connected}",
            ),
            Self::ForeignStart { job, pool, held_by } => write!(
                f,
                "event=start_at_former_pool job={job} pool={pool} held_by={}",
                name_or_parts(held_by.as_ref()),
            ),
            Self::Text { text, .. } => f.write_str(text),
        }
    }
}

/// Returns the name of the failure domain that holds a job, or `parts` if others hold all of it.
fn name_or_parts(domain: Option<&DomainName>) -> &str {
    domain.map_or("parts", DomainName::as_str)
}
