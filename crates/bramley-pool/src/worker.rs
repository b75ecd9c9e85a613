//! Workers, their clocks and what they report.

use std::sync::Arc;
use std::time::Duration;

pub use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;

use crate::job::{ServiceName, TaskName};
use crate::room::TaskRoom;
use crate::run::LiveRun;

/// Position of a worker in a pool's table; it stays the same while the pool lives.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerIndex(pub u32);

/// A time on a worker's own steady clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerClock(pub u64);

impl WorkerClock {
    /// Returns the time that lies `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// Returns the span from `earlier` to this time, or zero if `earlier` lies later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// A worker as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerEntry {
    /// Name of the worker.
    pub name: WorkerName,
    /// Start of this life of the worker, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address of its interface.
    pub address: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Room that it offers.
    pub capacity: TaskRoom,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskName,
    /// Number of the start.
    pub number: u32,
}

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It ended well.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    LeaseEnded,
    /// Another member of its group ended.
    GroupBroken,
    /// The other members of its group did not come.
    GroupMissing,
}

impl RunEnd {
    /// Returns the word for logs.
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

/// A run that a worker reports as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Position in the worker's list of ends, rising within one life of the worker.
    pub position: u64,
    /// Task.
    pub task: TaskName,
    /// Number of the start.
    pub number: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// What a worker reports about its runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Start of the worker's life in milliseconds since the Unix epoch, if it says so.
    pub born_unix_ms: Option<u64>,
    /// Reading of the worker's clock.
    pub clock: WorkerClock,
    /// Runs under way.
    pub active: Vec<ActiveRun>,
    /// Runs that have ended and were not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// Why a worker refused a call; nothing was done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallRefusal {
    /// A higher fencing token was seen.
    Fenced,
    /// This start, or a later one of the task, has already ended there.
    OldNumber,
    /// The lease had already ended when the start arrived.
    TooLate,
    /// There is no room.
    NoRoom,
    /// The worker is unhealthy.
    Unhealthy,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The worker cannot read the call.
    Malformed,
}

impl CallRefusal {
    /// Returns the word for logs and metrics.
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

/// What became of a call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAnswer {
    /// The worker did as told; the reading of its clock.
    Accepted(WorkerClock),
    /// The worker reports its runs.
    Report(WorkerReport),
    /// The worker refused; the reading of its clock if the answer holds one.
    Refused(CallRefusal, Option<WorkerClock>),
    /// No connection was made, so the call was not carried out.
    NotSent,
    /// The call was sent and not answered; it may be carried out, also later.
    Unanswered,
}

/// What a pool asks of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOrder {
    /// Start a task.
    Start {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
        /// Payload.
        spec: Arc<str>,
        /// End of the run lease of everything on the worker.
        lease_end: WorkerClock,
    },
    /// Stop a run, and bar it if it is not there yet.
    Stop {
        /// Task.
        task: TaskName,
        /// Number of the start.
        number: u32,
    },
    /// Report runs, and renew the lease of everything on the worker.
    Look {
        /// End of the run lease, if it is renewed.
        lease_end: Option<WorkerClock>,
        /// Ends up to this position are acknowledged.
        acknowledged: u64,
        /// How long the worker waits for an end before it answers.
        wait: Duration,
    },
}

/// An order with what is needed to send it and to recognise its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerCall {
    /// Worker.
    pub worker: WorkerIndex,
    /// Life of the worker that is meant; answers to calls to an earlier life are ignored.
    pub life: u32,
    /// Name of the worker.
    pub name: WorkerName,
    /// Address of its interface.
    pub address: Arc<str>,
    /// Fencing token.
    pub token: u64,
    /// What it is to do.
    pub order: WorkerOrder,
    /// Time at which the call was made.
    pub sent_at: UnixTime,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: WorkerClock,
    /// Time at which the answer with the reading arrived; the worker read its clock no later.
    read_by: UnixTime,
}

/// What is known of a worker's clock: it runs steadily, at most some per cent slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockEstimate {
    reading: Option<ClockReading>,
    /// Latest lease end that was ever sent.
    lease_end: WorkerClock,
}

impl ClockEstimate {
    /// Takes a reading that came with an answer that arrived at `read_by`. With the first one, leases
    /// up to `longest` are taken as granted: by an earlier pool, or by a start that was sent before
    /// the worker was reborn.
    pub fn observe(&mut self, clock: WorkerClock, read_by: UnixTime, longest: Duration) {
        if self.reading.is_none() {
            self.lease_end = self.lease_end.max(clock.after(longest));
        }
        let is_newer = self.reading.is_none_or(|reading| clock > reading.clock);
        if is_newer {
            self.reading = Some(ClockReading { clock, read_by });
        }
    }

    /// Another pool may have granted leases since the last reading: the next one counts as the first.
    pub const fn mistrust(&mut self) {
        self.reading = None;
    }

    /// Tells whether the clock was ever read.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns the least that the worker's clock can show now.
    #[must_use]
    pub fn at_least(&self, now: UnixTime, error_permille: u32) -> Option<WorkerClock> {
        let reading = self.reading?;
        let passed = now.since(reading.read_by);
        Some(reading.clock.after(slowed_span(passed, error_permille)))
    }

    /// Returns a lease end `lease` from now and remembers it as sent.
    pub fn extend_lease(
        &mut self,
        now: UnixTime,
        lease: Duration,
        error_permille: u32,
    ) -> WorkerClock {
        let base = self.at_least(now, error_permille).unwrap_or_default();
        let end = base.after(lease);
        self.lease_end = self.lease_end.max(end);
        end
    }

    /// Tells whether every lease that was sent has surely ended.
    #[must_use]
    pub fn has_lapsed(&self, now: UnixTime, error_permille: u32) -> bool {
        self.at_least(now, error_permille)
            .is_some_and(|clock| clock > self.lease_end)
    }
}

/// Returns the least time that passes on a slow clock.
fn slowed_span(span: Duration, error_permille: u32) -> Duration {
    let kept = 1_000_u32.saturating_sub(error_permille);
    span * kept / 1_000
}

/// Standing of a worker's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerHealth {
    /// Bad signs since the last good one.
    pub bad_signs: u32,
    /// Time before which the worker gets no task.
    pub suspended_until: UnixTime,
    /// Latest start of a task that ended well: what was started before a fault proves nothing.
    pub good_at: UnixTime,
    /// Time at which a run last ended as failed.
    pub failed_at: UnixTime,
    /// Next wait of a suspension.
    pub next_wait: Duration,
    /// Whether the worker has not ended a task well since its suspension.
    pub on_probation: bool,
}

/// A worker as a pool keeps it.
#[derive(Clone, Debug)]
pub struct WorkerRecord {
    /// What the platform lists.
    pub entry: WorkerEntry,
    /// Counts the lives of the worker.
    pub life: u32,
    /// Whether the platform lists it now.
    pub listed: bool,
    /// Whether its runs were read since the pool took command or the worker was reborn.
    pub synced: bool,
    /// Whether another process has commanded it with a higher token.
    pub fenced: bool,
    /// Its clock.
    pub clock: ClockEstimate,
    /// Position up to which its ends are acknowledged.
    pub acknowledged: u64,
    /// Position up to which an acknowledgement was sent.
    pub acknowledgement_sent: u64,
    /// Highest position of an end that was read.
    pub last_read_end: u64,
    /// Ends of jobs that are not known yet, kept unacknowledged after a change of command.
    pub unclaimed: Vec<EndedRun>,
    /// Time at which the last end was read.
    pub last_end_at: UnixTime,
    /// Runs whose end is not known.
    pub runs: Vec<LiveRun>,
    /// Room taken by these runs.
    pub booked: TaskRoom,
    /// Whether a waiting look is on its way.
    pub looking: bool,
    /// Time at which the latest waiting look was sent.
    pub look_sent_at: UnixTime,
    /// Looks without an answer since the last answer.
    pub missed_looks: u32,
    /// Whether a lost look at the idle worker is being repeated, before it counts as missed.
    pub rechecking: bool,
    /// Time before which no further waiting look is sent after a missed one.
    pub next_look_at: UnixTime,
    /// Time before which no further immediate look is sent.
    pub next_probe_at: UnixTime,
    /// Time at which the latest report was asked for.
    pub reported_at: UnixTime,
    /// Health.
    pub health: WorkerHealth,
    /// Run time against expectation, as a moving average.
    pub pace: f64,
}

impl WorkerRecord {
    /// Makes the record of a worker that was just listed.
    #[must_use]
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            life: 0,
            listed: true,
            synced: false,
            fenced: false,
            clock: ClockEstimate::default(),
            acknowledged: 0,
            acknowledgement_sent: 0,
            last_read_end: 0,
            unclaimed: Vec::new(),
            last_end_at: UnixTime::default(),
            runs: Vec::new(),
            booked: TaskRoom::default(),
            looking: false,
            look_sent_at: UnixTime::default(),
            missed_looks: 0,
            rechecking: false,
            next_look_at: UnixTime::default(),
            next_probe_at: UnixTime::default(),
            reported_at: UnixTime::default(),
            health: WorkerHealth::default(),
            pace: 1.0,
        }
    }

    /// Returns the room that no run takes.
    #[must_use]
    pub const fn free(&self) -> TaskRoom {
        self.entry.capacity.minus(self.booked)
    }

    /// Tells whether the worker may get new tasks, its health and room aside.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.listed && self.synced && !self.fenced && !self.entry.leaving && self.missed_looks == 0
    }

    /// Acknowledges the ends that were read, unless some of them may still be claimed by their jobs.
    pub fn acknowledge_ends(&mut self) {
        if self.unclaimed.is_empty() {
            self.acknowledged = self.acknowledged.max(self.last_read_end);
        }
    }

    /// Gives up ends that no job has claimed, and acknowledges them.
    pub fn drop_unclaimed_ends(&mut self) {
        self.unclaimed.clear();
        self.acknowledge_ends();
    }

    /// Returns the position of a run.
    #[must_use]
    pub fn find_run(&self, task: &TaskName, number: u32) -> Option<usize> {
        self.runs.iter().position(|run| {
            let facts = run.facts();
            facts.number == number && facts.task == *task
        })
    }

    /// Adds a run and books its room.
    pub fn add_run(&mut self, run: LiveRun) {
        self.booked = self.booked.plus(run.facts().room);
        self.runs.push(run);
    }

    /// Takes a run out and frees its room.
    pub fn remove_run(&mut self, position: usize) -> LiveRun {
        let run = self.runs.swap_remove(position);
        self.booked = self.booked.minus(run.facts().room);
        run
    }
}
