//! Converts between messages of the state machines and wire frames.

use std::time::Duration;

use bramley_core::names::{DomainName, WorkerName};
use bramley_core::units::UnixTime;
use bramley_pool::crash::{CrashEvidence, TaskCrash};
use bramley_pool::job::{JobName, JobPolicy, JobSubmission, JobWork, RouteName, ServiceName};
use bramley_pool::message::{
    FreeSlot, JobOutcome, PoolLoad, PoolMessage, RelayMessage, RouteAdmission, StealRequest,
    TaskPlacement, WaitingTasks,
};
use bramley_pool::refusal::Refusal;
use bramley_pool::resources::TaskResources;
use bramley_wire::pool::{
    self as wire, CancelJob, JobCrash, JobEnded, JobsResumed, PlacedTask, PoolBeat, PoolFrame,
    PoolMembers, RelayFrame, StealTasks, SubmitJob, TaskDone, TasksPlaced, TasksReleased,
    pool_frame, relay_frame,
};

/// Outcome code of a completed job.
const COMPLETED: u32 = 0;

/// Outcome code of a failed job.
const FAILED: u32 = 1;

/// Outcome code of a job that was returned to its relay. It lies beyond the codes of refusals;
/// processes that do not know it take the outcome for unknown.
const RETURNED: u32 = 1_000;

/// Outcome code of the first refusal; the refusal's own code is added to it.
const FIRST_REFUSAL: u32 = 2;

/// Time after which the runs of earlier leaders count as ended if the relay, of an earlier version, does
/// not tell when they end.
const UNTOLD_RUNS_WAIT: Duration = Duration::from_millis(2_500);

/// Encodes a message of a relay.
#[must_use]
pub fn encode_relay_message(message: RelayMessage, now: UnixTime) -> RelayFrame {
    let body = match message {
        RelayMessage::Submit(submission) => {
            relay_frame::Body::Submit(encode_submission(*submission, now))
        }
        RelayMessage::Cancel(job) => relay_frame::Body::Cancel(CancelJob {
            job: String::from(job.as_str()),
        }),
        RelayMessage::Resumed => relay_frame::Body::Resumed(JobsResumed {}),
        RelayMessage::Waiting(waiting) => relay_frame::Body::Waiting(wire::WaitingTasks {
            tasks: waiting.tasks,
            min_cpu_milli: waiting.min_cpu_milli,
            released: waiting.released,
        }),
    };
    RelayFrame { body: Some(body) }
}

fn encode_submission(submission: JobSubmission, now: UnixTime) -> SubmitJob {
    let JobSubmission {
        work,
        policy,
        arrived_at,
        deadline,
        done,
        placements,
        crashes,
        acknowledged,
        earlier_workers,
        earlier_runs_end_by,
        resumed,
        accepts_late,
        part,
    } = submission;
    SubmitJob {
        job: String::from(work.job.as_str()),
        spec: String::from(&*work.spec),
        tasks: work.tasks,
        cpu_milli: work.resources.cpu_milli,
        memory_mb: work.resources.memory_mb,
        accelerators: work.resources.accelerators,
        declared_us: micros(work.declared),
        required_label: String::from(&*work.required_label),
        preferred_rack: String::from(&*work.preferred_rack),
        spread_limit: work.spread_limit,
        route: String::from(policy.route.as_str()),
        service: String::from(policy.service.as_str()),
        priority: policy.priority,
        attempts: policy.attempts,
        stretch_factor: policy.stretch_factor,
        target_us: micros(policy.target),
        age_us: micros(now.since(arrived_at)),
        left_us: micros(deadline.since(now)),
        done,
        placements: placements.iter().map(encode_placement).collect(),
        earlier_workers,
        acknowledged,
        resumed,
        accepts_late,
        crashes: crashes.iter().map(encode_crash).collect(),
        workers_unguarded: !policy.workers_are_guarded,
        part,
        earlier_runs_left_us: Some(micros(earlier_runs_end_by.since(now))),
    }
}

fn encode_crash(crash: &TaskCrash) -> wire::TaskCrash {
    wire::TaskCrash {
        index: crash.index,
        worker: String::from(crash.worker.as_str()),
        born_unix_ms: crash.born_unix_ms,
        number: crash.number,
        alone: crash.alone,
        evidence: crash.evidence.code(),
    }
}

fn decode_crash(crash: wire::TaskCrash) -> TaskCrash {
    TaskCrash {
        index: crash.index,
        worker: WorkerName::new(crash.worker),
        born_unix_ms: crash.born_unix_ms,
        number: crash.number,
        alone: crash.alone,
        evidence: CrashEvidence::from_code(crash.evidence),
    }
}

fn encode_placement(placement: &TaskPlacement) -> PlacedTask {
    PlacedTask {
        index: placement.index,
        worker: String::from(placement.worker.as_str()),
        born_unix_ms: placement.born_unix_ms,
    }
}

fn decode_placement(placed: PlacedTask) -> TaskPlacement {
    TaskPlacement {
        index: placed.index,
        worker: WorkerName::new(placed.worker),
        born_unix_ms: placed.born_unix_ms,
    }
}

/// Decodes a submission received at `now`.
#[must_use]
pub fn decode_submission(submit: SubmitJob, now: UnixTime) -> JobSubmission {
    let earlier_runs_left = match submit.earlier_runs_left_us {
        Some(left_us) => Duration::from_micros(left_us),
        None if submit.resumed => UNTOLD_RUNS_WAIT,
        None => Duration::ZERO,
    };
    JobSubmission {
        work: JobWork {
            job: JobName::new(submit.job),
            spec: submit.spec.into(),
            tasks: submit.tasks,
            resources: TaskResources {
                accelerators: submit.accelerators,
                cpu_milli: submit.cpu_milli,
                memory_mb: submit.memory_mb,
            },
            declared: Duration::from_micros(submit.declared_us),
            required_label: submit.required_label.into(),
            preferred_rack: submit.preferred_rack.into(),
            spread_limit: submit.spread_limit,
        },
        policy: JobPolicy {
            route: RouteName::new(submit.route),
            service: ServiceName::new(submit.service),
            priority: submit.priority,
            attempts: submit.attempts,
            stretch_factor: submit.stretch_factor,
            target: Duration::from_micros(submit.target_us),
            workers_are_guarded: !submit.workers_unguarded,
        },
        arrived_at: now.before(Duration::from_micros(submit.age_us)),
        deadline: now.after(Duration::from_micros(submit.left_us)),
        done: submit.done,
        placements: submit
            .placements
            .into_iter()
            .map(decode_placement)
            .collect(),
        crashes: submit.crashes.into_iter().map(decode_crash).collect(),
        acknowledged: submit.acknowledged,
        earlier_workers: submit.earlier_workers,
        earlier_runs_end_by: now.after(earlier_runs_left),
        resumed: submit.resumed,
        accepts_late: submit.accepts_late,
        part: submit.part,
    }
}

/// Encodes a message of a pool.
#[must_use]
pub fn encode_pool_message(message: PoolMessage) -> PoolFrame {
    let body = match message {
        PoolMessage::Placed { job, placements } => pool_frame::Body::Placed(TasksPlaced {
            job: String::from(job.as_str()),
            placements: placements.iter().map(encode_placement).collect(),
        }),
        PoolMessage::TaskDone { job, index } => pool_frame::Body::TaskDone(TaskDone {
            job: String::from(job.as_str()),
            index,
        }),
        PoolMessage::TaskCrashed { job, crash } => pool_frame::Body::Crash(JobCrash {
            job: String::from(job.as_str()),
            crash: Some(encode_crash(&crash)),
        }),
        PoolMessage::Ended { job, outcome, wait } => pool_frame::Body::Ended(JobEnded {
            job: String::from(job.as_str()),
            outcome: encode_outcome(outcome),
            wait_us: micros(wait),
            is_part: outcome == JobOutcome::PartCompleted,
        }),
        PoolMessage::Steal(request) => pool_frame::Body::Steal(StealTasks {
            slots: request.slots.iter().map(encode_slot).collect(),
        }),
        PoolMessage::Released {
            job,
            tasks,
            requester,
        } => pool_frame::Body::Released(TasksReleased {
            job: String::from(job.as_str()),
            tasks,
            failure_domain: String::from(requester.as_str()),
        }),
    };
    PoolFrame { body: Some(body) }
}

/// Code of a route whose late jobs are refused.
const NO_LATE_WAIT: u32 = u32::MAX;

/// State of a pool that its heartbeats tell.
#[derive(Clone, Copy, Debug)]
pub struct PoolHeartbeat<'a> {
    /// Load of the pool.
    pub load: PoolLoad,
    /// Admission states of routes.
    pub admissions: &'a [RouteAdmission],
    /// Fencing token of the pool while it is the leader.
    pub token: Option<u64>,
    /// Whether another host should take over.
    pub gives_way: bool,
    /// Earliest time at which callers of active runs may have lost their host.
    pub callers_lost_at: Option<UnixTime>,
    /// Relays that may have jobs at the pool, if they have changed.
    pub members: Option<&'a [u64]>,
    /// Time at which the heartbeat is sent.
    pub sent_at: UnixTime,
}

/// Encodes a pool's heartbeat.
#[must_use]
pub fn encode_heartbeat(heartbeat: &PoolHeartbeat<'_>) -> PoolFrame {
    let load = heartbeat.load;
    let now = heartbeat.sent_at;
    PoolFrame {
        body: Some(pool_frame::Body::Beat(PoolBeat {
            commands: heartbeat.token.is_some(),
            token: heartbeat.token.unwrap_or_default(),
            gives_way: heartbeat.gives_way,
            free_cpu_milli: load.free_cpu_milli,
            listed_workers: load.listed_workers,
            waiting_tasks: load.waiting_tasks,
            evacuated: load.evacuated,
            admissions: heartbeat
                .admissions
                .iter()
                .map(|admission| encode_admission(admission, now))
                .collect(),
            caller_loss_age_ms: encode_age(heartbeat.callers_lost_at, now),
            members: heartbeat.members.map(|incarnations| PoolMembers {
                incarnations: incarnations.to_vec(),
            }),
        })),
    }
}

/// Encodes a time as its age in milliseconds, rounded up so that the decoded time is not later.
#[must_use]
pub fn encode_age(time: Option<UnixTime>, now: UnixTime) -> Option<u32> {
    time.map(|time| millis(now.since(time)).saturating_add(1))
}

/// Decodes a time from its age in milliseconds.
#[must_use]
pub fn decode_age(age_ms: Option<u32>, now: UnixTime) -> Option<UnixTime> {
    age_ms.map(|age_ms| now.before(Duration::from_millis(u64::from(age_ms))))
}

fn encode_admission(admission: &RouteAdmission, now: UnixTime) -> wire::RouteAdmission {
    wire::RouteAdmission {
        route: String::from(admission.route.as_str()),
        pass_permille: admission.pass_permille,
        wait_ms: millis(admission.wait),
        late_wait_ms: admission.late_wait.map_or(NO_LATE_WAIT, millis),
        age_ms: millis(now.since(admission.computed_at)),
    }
}

/// Decodes the admission state of a pool's routes from a heartbeat that arrived at `now`.
#[must_use]
pub fn decode_admissions(beat: &PoolBeat, now: UnixTime) -> Vec<RouteAdmission> {
    beat.admissions
        .iter()
        .map(|admission| RouteAdmission {
            route: RouteName::new(admission.route.as_str()),
            pass_permille: admission.pass_permille,
            wait: Duration::from_millis(u64::from(admission.wait_ms)),
            late_wait: (admission.late_wait_ms != NO_LATE_WAIT)
                .then(|| Duration::from_millis(u64::from(admission.late_wait_ms))),
            computed_at: now.before(Duration::from_millis(u64::from(admission.age_ms))),
        })
        .collect()
}

/// Converts to whole milliseconds, below the code for no late wait.
fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis())
        .unwrap_or(NO_LATE_WAIT)
        .min(NO_LATE_WAIT - 1)
}

/// Decodes the fencing token of a pool from its heartbeat; `None` if the pool, of an earlier version,
/// does not tell it.
#[must_use]
pub const fn decode_term(beat: &PoolBeat) -> Option<u64> {
    match beat.token {
        0 => None,
        token => Some(token),
    }
}

/// Decodes the load of a pool from its heartbeat.
#[must_use]
pub const fn decode_load(beat: &PoolBeat) -> PoolLoad {
    PoolLoad {
        free_cpu_milli: beat.free_cpu_milli,
        listed_workers: beat.listed_workers,
        usable_workers: 0,
        waiting_tasks: beat.waiting_tasks,
        evacuated: beat.evacuated,
    }
}

/// Decodes a message of a pool. Returns `None` for a heartbeat and for an incomplete frame.
#[must_use]
pub fn decode_pool_message(body: pool_frame::Body) -> Option<PoolMessage> {
    match body {
        pool_frame::Body::Beat(_) => None,
        pool_frame::Body::Placed(placed) => Some(PoolMessage::Placed {
            job: JobName::new(placed.job),
            placements: placed
                .placements
                .into_iter()
                .map(decode_placement)
                .collect(),
        }),
        pool_frame::Body::TaskDone(done) => Some(PoolMessage::TaskDone {
            job: JobName::new(done.job),
            index: done.index,
        }),
        pool_frame::Body::Crash(crash) => Some(PoolMessage::TaskCrashed {
            job: JobName::new(crash.job),
            crash: decode_crash(crash.crash?),
        }),
        pool_frame::Body::Ended(ended) => Some(PoolMessage::Ended {
            job: JobName::new(ended.job),
            outcome: decode_outcome(ended.outcome, ended.is_part),
            wait: Duration::from_micros(ended.wait_us),
        }),
        pool_frame::Body::Steal(steal) => Some(PoolMessage::Steal(StealRequest {
            slots: steal.slots.into_iter().map(decode_slot).collect(),
        })),
        pool_frame::Body::Released(released) => Some(PoolMessage::Released {
            job: JobName::new(released.job),
            tasks: released.tasks,
            requester: DomainName::from(released.failure_domain.as_str()),
        }),
    }
}

/// Decodes a message about tasks that wait at another pool.
#[must_use]
pub const fn decode_waiting(waiting: wire::WaitingTasks) -> WaitingTasks {
    WaitingTasks {
        tasks: waiting.tasks,
        min_cpu_milli: waiting.min_cpu_milli,
        released: waiting.released,
    }
}

fn encode_slot(slot: &FreeSlot) -> wire::FreeSlot {
    wire::FreeSlot {
        service: String::from(slot.service.as_str()),
        cpu_milli: slot.free.cpu_milli,
        memory_mb: slot.free.memory_mb,
        accelerators: slot.free.accelerators,
        pace_permille: slot.pace_permille,
    }
}

fn decode_slot(slot: wire::FreeSlot) -> FreeSlot {
    FreeSlot {
        service: ServiceName::new(slot.service),
        free: TaskResources {
            accelerators: slot.accelerators,
            cpu_milli: slot.cpu_milli,
            memory_mb: slot.memory_mb,
        },
        pace_permille: slot.pace_permille,
    }
}

const fn encode_outcome(outcome: JobOutcome) -> u32 {
    match outcome {
        // Processes of earlier versions tell a part by the releases before it.
        JobOutcome::Completed | JobOutcome::PartCompleted => COMPLETED,
        JobOutcome::Failed => FAILED,
        JobOutcome::Returned => RETURNED,
        JobOutcome::Refused(refusal) => FIRST_REFUSAL + refusal.code(),
    }
}

fn decode_outcome(code: u32, is_part: bool) -> JobOutcome {
    match code {
        COMPLETED if is_part => JobOutcome::PartCompleted,
        COMPLETED => JobOutcome::Completed,
        FAILED => JobOutcome::Failed,
        RETURNED => JobOutcome::Returned,
        code => JobOutcome::Refused(Refusal::from_code(code - FIRST_REFUSAL)),
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
