//! Workers, their clocks, requests and reports.

use std::sync::Arc;
use std::time::Duration;

pub use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;

use crate::crash::TaskCrash;
use crate::job::{JobName, ServiceName, TaskName};
use crate::pool::SpeedEstimate;
use crate::resources::TaskResources;
use crate::run::LiveRun;

/// Index of a worker in a pool's table, stable for the lifetime of the pool.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerIndex(pub u32);

/// Reading of a worker's monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerClock(pub u64);

impl WorkerClock {
    /// Returns the time `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Entry of a worker in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerEntry {
    /// Name of the worker.
    pub name: WorkerName,
    /// Time at which this incarnation of the worker started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Failure domain of the worker.
    pub failure_domain: Arc<str>,
    /// Address at which the worker takes requests.
    pub address: Arc<str>,
    /// Whether the worker is being drained.
    pub leaving: bool,
    /// Total resources.
    pub capacity: TaskResources,
    /// Time for which the worker is still cold, counted from the writing of the entry; zero if it
    /// is not.
    pub cold_remaining: Duration,
    /// Labels such as its kind and its rack.
    pub labels: Vec<Arc<str>>,
}

/// Active run in a worker's report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// Name of the task.
    pub task: TaskName,
    /// Run number.
    pub number: u32,
}

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The task succeeded.
    Done,
    /// The run failed, because of the task or of the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run lease expired.
    LeaseEnded,
    /// Another run of its group ended.
    GroupBroken,
    /// The other runs of its group did not start.
    GroupMissing,
}

impl RunEnd {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseEnded => "lease_ended",
            Self::GroupBroken => "group_broken",
            Self::GroupMissing => "group_missing",
        }
    }
}

/// Ended run in a worker's report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Position in the worker's list of ended runs, which increases within one incarnation.
    pub position: u64,
    /// Name of the task.
    pub task: TaskName,
    /// Run number.
    pub number: u32,
    /// How the run ended.
    pub end: RunEnd,
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Time at which the worker started, in milliseconds since the Unix epoch, if it is reported.
    pub born_unix_ms: Option<u64>,
    /// Reading of the worker's clock.
    pub clock: WorkerClock,
    /// Active runs.
    pub active: Vec<ActiveRun>,
    /// Ended runs that are not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// Reason why a worker refused a request; the request had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run, or a later one of the task, has already ended on the worker.
    OldNumber,
    /// The lease had already expired when the start arrived.
    TooLate,
    /// The worker lacks free resources.
    NoRoom,
    /// The worker reports itself unhealthy.
    Unhealthy,
    /// The address now belongs to another worker or incarnation.
    OtherIncarnation,
    /// The worker could not parse the request.
    Malformed,
}

impl CallRefusal {
    /// Returns the label for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldNumber => "old_number",
            Self::TooLate => "too_late",
            Self::NoRoom => "no_room",
            Self::Unhealthy => "unhealthy",
            Self::OtherIncarnation => "other_incarnation",
            Self::Malformed => "malformed",
        }
    }
}

/// Result of a call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAnswer {
    /// The worker carried out the request; with its clock reading.
    Accepted(WorkerClock),
    /// The worker reported its runs.
    Report(WorkerReport),
    /// The worker refused the request; with its clock reading if the answer has one.
    Refused(CallRefusal, Option<WorkerClock>),
    /// The worker's address refused the connection, so the request was not carried out. Its process
    /// has ended, or the network rejects connections to it.
    ConnectionRefused,
    /// No connection could be made, so the request was not carried out.
    NotSent,
    /// The request was sent and not answered; it may have been carried out or may still be.
    Unanswered,
}

/// Request from a pool to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerRequest {
    /// Start a task.
    Start {
        /// Name of the task.
        task: TaskName,
        /// Run number.
        number: u32,
        /// Payload of the task.
        spec: Arc<str>,
        /// Expiry of the run lease, which covers all runs on the worker.
        lease_end: WorkerClock,
    },
    /// Stop a run; a start with this number that arrives later is refused.
    Stop {
        /// Name of the task.
        task: TaskName,
        /// Run number.
        number: u32,
    },
    /// Long poll for the worker's report, which can also renew the run lease.
    Poll {
        /// New expiry of the run lease, if it is renewed.
        lease_end: Option<WorkerClock>,
        /// Ended runs up to this position are acknowledged.
        acknowledged: u64,
        /// Maximum time for which the worker waits for a run to end before it answers.
        wait: Duration,
    },
}

/// A request together with its addressing and the data to match its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerCall {
    /// Index of the worker.
    pub worker: WorkerIndex,
    /// Epoch of the worker record when the call was made; answers to calls of an earlier epoch are
    /// ignored.
    pub epoch: u32,
    /// Name of the worker.
    pub name: WorkerName,
    /// Address at which the worker takes requests.
    pub address: Arc<str>,
    /// Fencing token.
    pub token: u64,
    /// The request.
    pub request: WorkerRequest,
    /// Time at which the request was sent.
    pub sent_at: UnixTime,
    /// Time from which a start request without an answer is overdue, to be reported to
    /// [`crate::pool::Pool::start_overdue`]; the answer is awaited further.
    pub overdue_at: Option<UnixTime>,
    /// Time after which the request counts as unanswered.
    pub answer_by: UnixTime,
}

/// A clock reading with its time of receipt.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: WorkerClock,
    /// Time at which the answer arrived; the clock was read no later than this.
    read_by: UnixTime,
}

/// Lower bound of a worker's clock, which is monotonic and may run slow by a bounded rate, and the
/// leases sent to the worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockEstimate {
    reading: Option<ClockReading>,
    /// Latest lease expiry that was sent.
    lease_end: WorkerClock,
}

impl ClockEstimate {
    /// Records a reading from an answer that arrived at `read_by`. The first reading assumes that
    /// leases of up to `longest` may have been granted, by an earlier pool or by a start that was
    /// sent before the worker restarted.
    pub fn observe(&mut self, clock: WorkerClock, read_by: UnixTime, longest: Duration) {
        if self.reading.is_none() {
            self.lease_end = self.lease_end.max(clock.after(longest));
        }
        let is_newer = self.reading.is_none_or(|reading| clock > reading.clock);
        if is_newer {
            self.reading = Some(ClockReading { clock, read_by });
        }
    }

    /// Discards the reading, as another pool may have granted leases since; the next reading counts
    /// as the first.
    pub const fn invalidate(&mut self) {
        self.reading = None;
    }

    /// Returns whether there is a valid reading.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns the lowest value that the worker's clock can have now.
    #[must_use]
    pub fn lower_bound(&self, now: UnixTime, error_permille: u32) -> Option<WorkerClock> {
        let reading = self.reading?;
        let passed = now.since(reading.read_by);
        Some(reading.clock.after(min_elapsed(passed, error_permille)))
    }

    /// Returns a lease expiry `lease` from now and records it as sent.
    pub fn extend_lease(
        &mut self,
        now: UnixTime,
        lease: Duration,
        error_permille: u32,
    ) -> WorkerClock {
        let base = self.lower_bound(now, error_permille).unwrap_or_default();
        let end = base.after(lease);
        self.lease_end = self.lease_end.max(end);
        end
    }

    /// Returns whether all leases that were sent have certainly expired.
    #[must_use]
    pub fn has_expired(&self, now: UnixTime, error_permille: u32) -> bool {
        self.lower_bound(now, error_permille)
            .is_some_and(|clock| clock > self.lease_end)
    }
}

/// Returns the least time that can pass on a slow clock during `span`.
pub(crate) fn min_elapsed(span: Duration, error_permille: u32) -> Duration {
    let kept = 1_000_u32.saturating_sub(error_permille);
    span.saturating_mul(kept) / 1_000
}

/// Health of a worker as judged from its answers and runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerHealth {
    /// Number of faults since the last success.
    pub consecutive_faults: u32,
    /// Time until which the worker is assigned no tasks.
    pub suspended_until: UnixTime,
    /// Latest start time among successful runs. The start time counts, because a run that was
    /// started before a fault does not show that the worker has recovered.
    pub latest_success_start: UnixTime,
    /// Time at which a run last failed.
    pub last_failure_at: UnixTime,
    /// Length of the next suspension.
    pub next_suspension: Duration,
    /// Whether the worker still has to complete a task after a fault or a suspension.
    pub on_probation: bool,
}

/// A run whose worker stopped answering until the run's lease had expired.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// Job of the task.
    pub job: JobName,
    /// Task and worker.
    pub crash: TaskCrash,
    /// Time at which the run was given up.
    pub lost_at: UnixTime,
}

/// A pool's record of a worker.
#[derive(Clone, Debug)]
pub struct WorkerRecord {
    /// Latest entry in the platform's list.
    pub entry: WorkerEntry,
    /// Epoch of the record, incremented whenever its state is reset.
    pub epoch: u32,
    /// Time until which the worker is cold, as its latest entry states.
    pub cold_until: UnixTime,
    /// Whether the platform currently lists the worker.
    pub listed: bool,
    /// Whether the worker has reported its runs since the pool became leader or the worker
    /// restarted.
    pub synced: bool,
    /// Whether the worker has restarted and `entry` is that of the earlier incarnation, which may have
    /// been of another kind.
    pub awaits_entry: bool,
    /// Whether the worker has seen a higher fencing token from another process.
    pub fenced: bool,
    /// Time at which the worker last answered.
    pub heard_at: UnixTime,
    /// Whether the worker's address has refused a connection since.
    pub refuses_connections: bool,
    /// Whether its process was seen to have ended soon after it last answered.
    pub has_ended_suddenly: bool,
    /// Whether another worker has answered at this worker's address.
    pub replaced: bool,
    /// Estimate of the worker's clock.
    pub clock: ClockEstimate,
    /// Position up to which ended runs can be acknowledged.
    pub acknowledged: u64,
    /// Position up to which an acknowledgement was last sent.
    pub acknowledgement_sent: u64,
    /// Highest position of an ended run that was processed.
    pub last_read_end: u64,
    /// Ended runs of jobs that are not known yet; kept unacknowledged for a while after a change of
    /// leader.
    pub orphaned_ends: Vec<EndedRun>,
    /// Time at which the last end of a run was processed.
    pub last_end_at: UnixTime,
    /// Runs that are not known to have ended.
    pub runs: Vec<LiveRun>,
    /// Runs that were lost with this incarnation of the worker, which may have crashed or not.
    pub lost_runs: Vec<LostRun>,
    /// Resources allocated to `runs`.
    pub allocated: TaskResources,
    /// Latest end of a run lease: the earliest time by which one of `runs` has to have ended. The
    /// lease covers all of them, so it is the bound that holds if their stops fail.
    pub lease_limit: UnixTime,
    /// Whether a long poll is in flight.
    pub poll_in_flight: bool,
    /// Time at which the latest long poll was sent.
    pub poll_sent_at: UnixTime,
    /// Time from which the answer to the latest long poll is overdue.
    pub poll_overdue_at: UnixTime,
    /// Consecutive polls without an answer.
    pub missed_polls: u32,
    /// Whether an unanswered probe of the idle worker is being retried before it counts as missed.
    pub retrying_probe: bool,
    /// Earliest time of the next long poll after a missed one.
    pub next_poll_at: UnixTime,
    /// Earliest time of the next probe.
    pub next_probe_at: UnixTime,
    /// Time at which the latest report was requested.
    pub report_requested_at: UnixTime,
    /// Latest sending time of a start or stop request that the worker answered.
    pub latest_answered_call: UnixTime,
    /// Health of the worker.
    pub health: WorkerHealth,
    /// Estimate of the worker's speed.
    pub speed: SpeedEstimate,
    /// Expected run time relative to that on a worker of speed 1, from `speed` and the current
    /// runs.
    pub relative_run_time: f64,
}

impl WorkerRecord {
    /// Creates the record of a newly listed worker.
    #[must_use]
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            epoch: 0,
            cold_until: UnixTime::default(),
            listed: true,
            synced: false,
            awaits_entry: false,
            fenced: false,
            heard_at: UnixTime::default(),
            refuses_connections: false,
            has_ended_suddenly: false,
            replaced: false,
            clock: ClockEstimate::default(),
            acknowledged: 0,
            acknowledgement_sent: 0,
            last_read_end: 0,
            orphaned_ends: Vec::new(),
            last_end_at: UnixTime::default(),
            runs: Vec::new(),
            lost_runs: Vec::new(),
            allocated: TaskResources::default(),
            lease_limit: UnixTime::NEVER,
            poll_in_flight: false,
            poll_sent_at: UnixTime::default(),
            poll_overdue_at: UnixTime::default(),
            missed_polls: 0,
            retrying_probe: false,
            next_poll_at: UnixTime::default(),
            next_probe_at: UnixTime::default(),
            report_requested_at: UnixTime::default(),
            latest_answered_call: UnixTime::default(),
            health: WorkerHealth::default(),
            speed: SpeedEstimate::default(),
            relative_run_time: 1.0,
        }
    }

    /// Records that the worker has answered.
    pub const fn record_answer(&mut self, now: UnixTime) {
        self.heard_at = now;
        self.refuses_connections = false;
        self.has_ended_suddenly = false;
    }

    /// Records a sign that the worker's process has ended. Only the first one since its last answer
    /// counts, if it comes within `limit` of that answer: after a longer silence, the runs may have
    /// ended before the process did.
    pub fn notice_end(&mut self, limit: Duration, now: UnixTime) {
        if !self.refuses_connections {
            self.has_ended_suddenly = now.since(self.heard_at) <= limit;
        }
    }

    /// Returns the unallocated resources.
    #[must_use]
    pub const fn free(&self) -> TaskResources {
        self.entry.capacity.saturating_sub(self.allocated)
    }

    /// Returns whether the worker can be assigned tasks, apart from its health and free resources.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        let is_known = self.listed && self.synced && !self.awaits_entry;
        is_known && !self.fenced && !self.entry.leaving && self.missed_polls == 0
    }

    /// Marks processed ends as acknowledged, unless some may still be adopted by their jobs.
    pub fn acknowledge_ends(&mut self) {
        if self.orphaned_ends.is_empty() {
            self.acknowledged = self.acknowledged.max(self.last_read_end);
        }
    }

    /// Discards the orphaned ends and marks them as acknowledged.
    pub fn drop_orphaned_ends(&mut self) {
        self.orphaned_ends.clear();
        self.acknowledge_ends();
    }

    /// Returns the position of a run in `runs`.
    #[must_use]
    pub fn find_run(&self, task: &TaskName, number: u32) -> Option<usize> {
        self.runs.iter().position(|run| {
            let details = run.details();
            details.number == number && details.task == *task
        })
    }

    /// Sets the time by which a run has to have ended.
    pub fn limit_run(&mut self, position: usize, end_by: UnixTime) {
        self.runs[position].details_mut().end_by = end_by;
        self.update_lease_limit();
    }

    fn update_lease_limit(&mut self) {
        let ends = self.runs.iter().map(|run| run.details().end_by);
        self.lease_limit = ends.min().unwrap_or(UnixTime::NEVER);
    }

    /// Adds a run and allocates its resources.
    pub fn add_run(&mut self, run: LiveRun) {
        self.allocated = self.allocated.saturating_add(run.details().resources);
        self.lease_limit = self.lease_limit.min(run.details().end_by);
        self.runs.push(run);
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, position: usize) -> LiveRun {
        let run = self.runs.swap_remove(position);
        self.allocated = self.allocated.saturating_sub(run.details().resources);
        self.update_lease_limit();
        run
    }
}
