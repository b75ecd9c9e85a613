//! Placement of tasks on workers and tracking of their runs.
//!
//! - `admission`: estimates whether a job can meet its latency objective.
//! - `answer_time`: time that workers take to answer start requests.
//! - `caller_loss`: runs whose callers may have lost their host, and when these have to end.
//! - `evacuation`: evacuation of the failure domain and its gradual return to use.
//! - `faster`: jobs that wait for a faster worker.
//! - `explanation`: what the pool would do with a submission now.
//! - `fleet`: the platform's list of workers and changes of leader.
//! - `health`: worker health as judged from the outcome of runs.
//! - `interference`: pairs of routes whose tasks slow each other down on one worker.
//! - `jobs`: submission, adoption, completion and cancellation of jobs.
//! - `losses`: runs that are lost together with their worker, and tasks that are to blame for it.
//! - `maintenance`: timed work such as polls, lease expiry and repeated stop requests.
//! - `membership`: relays that hold jobs at the pool, as leaders pass them on.
//! - `placement`: order and rounds in which waiting tasks are started.
//! - `queue`: jobs with waiting tasks in the order in which they are to be started.
//! - `refusal_log`: bounded logging of refused jobs.
//! - `reports`: answers and reports of workers.
//! - `route_load`: offered and admitted jobs of each route, and what is published of it.
//! - `run_spread`: spread of each route's run times.
//! - `scoring`: choice of the best worker for a task.
//! - `speed`: speed of each worker.
//! - `shares`: shares of the capacity by route, failure domain and size.
//! - `slowdown`: estimate of the slowdown of a route's runs by each route beside them.
//! - `starts`: start requests and their answers.
//! - `stealing`: waiting tasks that pools of other failure domains run.
//! - `summary`: summary of slots and queue for admission.
//! - `utilization`: average utilization of the workers.

mod admission;
mod answer_time;
mod caller_loss;
mod evacuation;
mod explanation;
mod faster;
mod fleet;
mod health;
mod interference;
mod jobs;
mod losses;
mod maintenance;
mod membership;
mod placement;
mod queue;
mod refusal_log;
mod reports;
mod route_load;
mod run_spread;
mod scoring;
mod shares;
mod slowdown;
mod speed;
mod starts;
mod stealing;
mod summary;
mod utilization;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::estimate::RunTimeEstimator;
use bramley_core::names::{ClassName, DomainName, TeamName, WorkerName};
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use crate::crash::CrashMemory;
use crate::decision::Decision;
use crate::job::{JobName, JobPolicy, JobRecord, JobWork, RouteName};
use crate::mechanism::Mechanism;
use crate::message::{PoolLoad, PoolMessage, RelayId, RelayMessage, WaitingTasks};
use crate::run::StopCause;
use crate::settings::PoolSettings;
use crate::worker::{WorkerCall, WorkerIndex, WorkerRecord, WorkerRequest};
use answer_time::AnswerTime;
use evacuation::EvacuationState;
use faster::FasterSlots;
use interference::InterferenceModel;
pub use interference::RoutePair;
use membership::RelayMembership;
use queue::WaitQueue;
use refusal_log::RefusalLog;
use route_load::RouteLoads;
use run_spread::RouteSpread;
use shares::CapacityShares;
pub use speed::SpeedEstimate;
use stealing::StealState;
use summary::AdmissionSummary;
use utilization::SlotUtilization;

/// Multiple of the usual answer time after which a start request is resent.
const RESEND_FACTOR: u32 = 4;

/// Multiple of the resend delay after which a start or stop request counts as unanswered.
const TIMEOUT_FACTOR: u32 = 2;

/// Action for the driver of a pool.
#[derive(Clone, Debug)]
pub enum PoolAction {
    /// Call a worker and pass the answer to [`Pool::handle_worker_answer`].
    Call(WorkerCall),
    /// Send a message to a relay.
    Send(RelayId, PoolMessage),
    /// Send a message to all connected relays.
    Broadcast(PoolMessage),
    /// Send a message to the pool of another failure domain.
    SendToPool(DomainName, RelayMessage),
    /// Tell the pools of all other failure domains about waiting tasks.
    Publish(WaitingTasks),
    /// Read the changes of worker entries without waiting for the usual time.
    ReadEntries,
    /// Log a decision.
    LogDecision(Decision),
    /// Another process controls the workers with a higher fencing token; release the claim.
    LostLeadership,
}

/// Counters for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolCounts {
    /// Start requests sent.
    pub starts: u64,
    /// Start requests refused for lack of resources.
    pub starts_without_room: u64,
    /// Start requests that were not answered.
    pub starts_unanswered: u64,
    /// Successful runs.
    pub runs_done: u64,
    /// Failed runs.
    pub runs_failed: u64,
    /// Runs whose lease expired.
    pub runs_expired: u64,
    /// Stop requests sent.
    pub stops: u64,
    /// Polls and probes sent.
    pub polls: u64,
    /// Jobs completed.
    pub jobs_completed: u64,
    /// Jobs failed.
    pub jobs_failed: u64,
    /// Jobs refused.
    pub jobs_refused: u64,
    /// Number of times a worker was scored for a task, as a measure of the cost of placement.
    pub workers_scored: u64,
    /// Begun jobs returned to their relays because the failure domain is evacuated.
    pub jobs_returned: u64,
    /// Number of workers and waiting jobs visited to estimate starts, as a measure of the cost of
    /// admission.
    pub estimate_visits: u64,
    /// Jobs cancelled because their relay or client disconnected.
    pub jobs_cancelled: u64,
    /// Active runs adopted after a change of leader.
    pub runs_adopted: u64,
    /// Placements for which another worker was chosen so as to keep interfering routes apart.
    pub placements_kept_apart: u64,
    /// Requests for tasks that wait at other pools.
    pub steal_requests: u64,
    /// Waiting tasks released to other pools.
    pub tasks_released: u64,
    /// Tasks taken over from other pools.
    pub tasks_taken: u64,
}

/// Schedules tasks on the workers of one failure domain while it holds a fencing token.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: PoolSettings,
    token: Option<u64>,
    leader_since: UnixTime,
    /// Time until which ends of runs whose jobs are unknown stay unacknowledged, so that a relay
    /// that resubmits such a job gets their results. Until then, active runs are also looked up
    /// for jobs that are not known to have started.
    orphaned_ends_kept_until: UnixTime,
    /// Earliest time at which callers of runs that an earlier leader has started may have lost
    /// their host.
    callers_lost_at: UnixTime,
    /// Relays that hold jobs here.
    membership: RelayMembership,
    /// Time until which no task is started after a process pause.
    placement_paused_until: UnixTime,
    workers: Vec<WorkerRecord>,
    by_name: FxHashMap<WorkerName, WorkerIndex>,
    jobs: FxHashMap<JobName, JobRecord>,
    /// Jobs that are known to have started although they may not be open here, with the time at
    /// which their entry expires.
    started_jobs: FxHashMap<JobName, UnixTime>,
    /// Crashes of workers under the tasks of recent jobs.
    crashes: CrashMemory,
    /// Jobs with waiting tasks.
    queue: WaitQueue,
    run_times: RunTimeEstimator,
    /// Spread of run times by route.
    spreads: FxHashMap<RouteName, RouteSpread>,
    /// Relative run time that counts as speed 1 for the run times of routes.
    common_run_time: f64,
    listed_at: UnixTime,
    /// Whether the worker list is still to be read since the pool became leader. Entries from an
    /// earlier term may be out of date, for example for workers that are being drained.
    awaits_list: bool,
    /// Evacuation of the failure domain.
    evacuation: EvacuationState,
    actions: Vec<PoolAction>,
    counts: PoolCounts,
    /// Number of times a worker was scored for a task.
    scored: Cell<u64>,
    /// Number of workers and waiting jobs visited to estimate starts.
    estimate_visits: Cell<u64>,
    /// Workers that may have gained free resources since the last placement round.
    freed_workers: Vec<WorkerIndex>,
    /// Upper bound of the free CPU of any worker; `None` if it has to be computed.
    max_free_cpu_milli: Option<u32>,
    /// Jobs whose tasks have started to wait since the last placement round.
    newly_waiting: Vec<JobName>,
    /// Whether so many tasks wait that a late job would delay jobs that can still meet their
    /// objective.
    is_contended: bool,
    /// Summary of slots and queue since the last tick.
    summary: AdmissionSummary,
    /// Offered and admitted jobs of each route.
    route_loads: RouteLoads,
    /// Shares of the capacity by route, failure domain and size.
    shares: CapacityShares,
    /// Number of logged refusals.
    refusal_log: RefusalLog,
    /// Jobs that wait for a faster worker.
    faster: FasterSlots,
    /// Average utilization of the usable workers.
    utilization: SlotUtilization,
    /// Time in which workers answer start requests.
    answer_time: AnswerTime,
    /// Latest sending time of a start or stop request that was answered.
    latest_answered_call: UnixTime,
    /// Slowdowns of routes by each other.
    interference: InterferenceModel,
    /// Work stealing between pools.
    stealing: StealState,
}

impl Pool {
    /// Creates a pool that is not the leader.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            token: None,
            leader_since: UnixTime::default(),
            orphaned_ends_kept_until: UnixTime::default(),
            callers_lost_at: UnixTime::default(),
            membership: RelayMembership::default(),
            placement_paused_until: UnixTime::default(),
            workers: Vec::new(),
            by_name: FxHashMap::default(),
            jobs: FxHashMap::default(),
            started_jobs: FxHashMap::default(),
            crashes: CrashMemory::default(),
            queue: WaitQueue::default(),
            run_times: RunTimeEstimator::default(),
            spreads: FxHashMap::default(),
            common_run_time: 1.0,
            listed_at: UnixTime::default(),
            awaits_list: false,
            evacuation: EvacuationState::default(),
            actions: Vec::new(),
            counts: PoolCounts::default(),
            scored: Cell::new(0),
            estimate_visits: Cell::new(0),
            freed_workers: Vec::new(),
            max_free_cpu_milli: None,
            newly_waiting: Vec::new(),
            is_contended: false,
            summary: AdmissionSummary::default(),
            route_loads: RouteLoads::default(),
            shares: CapacityShares::default(),
            refusal_log: RefusalLog::default(),
            faster: FasterSlots::default(),
            utilization: SlotUtilization::default(),
            answer_time: AnswerTime::default(),
            latest_answered_call: UnixTime::default(),
            interference: InterferenceModel::default(),
            stealing: StealState::default(),
        }
    }

    /// Takes the pending actions for the driver.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<PoolAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the fencing token while the pool is the leader.
    #[must_use]
    pub const fn token(&self) -> Option<u64> {
        self.token
    }

    /// Returns the counters for metrics.
    #[must_use]
    pub const fn counts(&self) -> PoolCounts {
        PoolCounts {
            placements_kept_apart: self.interference.kept_apart(),
            workers_scored: self.scored.get(),
            estimate_visits: self.estimate_visits.get(),
            ..self.counts
        }
    }

    /// Delays starts after a process pause, so that events that happened meanwhile, such as a
    /// closed relay connection, are handled before tasks are started for callers that may be gone.
    pub fn process_resumed(&mut self, now: UnixTime) {
        self.placement_paused_until = now.after(self.settings.resume_wait);
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the worker records, for state dumps.
    #[must_use]
    pub fn workers(&self) -> &[WorkerRecord] {
        &self.workers
    }

    /// Returns the load of the pool.
    #[must_use]
    pub fn load(&self, now: UnixTime) -> PoolLoad {
        let mut load = PoolLoad {
            waiting_tasks: self.queue.waiting_tasks(),
            evacuated: self.is_evacuated(),
            ..PoolLoad::default()
        };
        for worker in &self.workers {
            load.listed_workers += u32::from(worker.listed);
            if worker.is_usable() && worker.health.suspended_until <= now {
                load.usable_workers += 1;
                load.free_cpu_milli += u64::from(worker.free().cpu_milli);
            }
        }
        if self.is_evacuated() || self.evacuation.awaits_read() {
            load.free_cpu_milli = 0;
        }
        load
    }

    /// Counts workers and waiting jobs visited to estimate starts.
    fn count_visits(&self, visits: u64) {
        self.estimate_visits
            .set(self.estimate_visits.get() + visits);
    }

    /// Returns whether a mechanism is in use.
    const fn allows(&self, mechanism: Mechanism) -> bool {
        self.settings.disabled.allows(mechanism)
    }

    fn log(&mut self, decision: Decision) {
        self.actions.push(PoolAction::LogDecision(decision));
    }

    fn send(&mut self, relay: Option<RelayId>, message: PoolMessage) {
        if let Some(relay) = relay {
            self.actions.push(PoolAction::Send(relay, message));
        }
    }

    fn worker(&self, index: WorkerIndex) -> &WorkerRecord {
        &self.workers[index.0 as usize]
    }

    fn worker_mut(&mut self, index: WorkerIndex) -> &mut WorkerRecord {
        &mut self.workers[index.0 as usize]
    }

    fn indices(&self) -> impl Iterator<Item = WorkerIndex> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(WorkerIndex)
    }

    /// Returns the expected run time of a task on a healthy worker: the geometric mean of the
    /// declared run time and the one learned for the route, as both are rough estimates.
    fn expected_run_time(&self, policy: &JobPolicy, work: &JobWork) -> Duration {
        let (team, class) = run_time_key(policy);
        let learned = self.run_times.estimate(&team, &class, work.declared);
        if work.declared.is_zero() {
            return learned;
        }
        let product = learned.as_secs_f64() * work.declared.as_secs_f64();
        Duration::from_secs_f64(product.sqrt())
    }

    /// Queues a call to a worker and counts it; does nothing if the pool is not the leader.
    fn send_request(&mut self, index: WorkerIndex, request: WorkerRequest, now: UnixTime) {
        let Some(token) = self.token else {
            return;
        };
        match &request {
            WorkerRequest::Start { .. } => self.counts.starts += 1,
            WorkerRequest::Stop { .. } => self.counts.stops += 1,
            WorkerRequest::Poll { .. } => self.counts.polls += 1,
        }
        let overdue_at = match &request {
            WorkerRequest::Start { .. } => Some(now.after(self.resend_delay())),
            WorkerRequest::Stop { .. } | WorkerRequest::Poll { .. } => None,
        };
        let answer_by = now.after(self.answer_timeout(&request));
        let worker = self.worker(index);
        let call = WorkerCall {
            worker: index,
            epoch: worker.epoch,
            name: worker.entry.name.clone(),
            address: Arc::clone(&worker.entry.address),
            token,
            request,
            sent_at: now,
            overdue_at,
            answer_by,
        };
        self.actions.push(PoolAction::Call(call));
    }

    /// Returns the time after which a start request without an answer is resent.
    fn resend_delay(&self) -> Duration {
        let delay = self.answer_time.quantile() * RESEND_FACTOR;
        delay.clamp(
            self.settings.min_resend_delay,
            self.settings.max_resend_delay,
        )
    }

    /// Returns the time after which a request counts as unanswered.
    fn answer_timeout(&self, request: &WorkerRequest) -> Duration {
        match request {
            WorkerRequest::Poll { wait, .. } => *wait + self.settings.poll_answer_margin,
            WorkerRequest::Start { .. } | WorkerRequest::Stop { .. } => {
                let timeout = self.resend_delay() * TIMEOUT_FACTOR;
                timeout.max(self.settings.min_answer_timeout)
            }
        }
    }

    /// Requests the stop of a run. Its resources stay allocated until it is known to have ended.
    fn stop_run(&mut self, index: WorkerIndex, position: usize, cause: StopCause, now: UnixTime) {
        let retry_at = now.after(self.settings.stop_retry_interval);
        let worker = self.worker_mut(index);
        let run = worker.runs[position].clone();
        if run.is_stopping() {
            return;
        }
        let details = run.details().clone();
        if details.needed || cause == StopCause::NotNeeded {
            self.observe_stopped_run(index, position, now);
        }
        let worker = self.worker_mut(index);
        worker.runs[position] = run.stopped(cause, retry_at);
        let name = worker.entry.name.clone();
        self.log(Decision::Stopping {
            task: details.task.clone(),
            number: details.number,
            worker: name,
            cause,
            ran: now.since(details.started_at),
        });
        let request = WorkerRequest::Stop {
            task: details.task,
            number: details.number,
        };
        self.send_request(index, request, now);
        self.poll_if_needed(index, now);
    }
}

/// Returns the key of a route in the table of learned run times.
fn run_time_key(policy: &JobPolicy) -> (TeamName, ClassName) {
    (
        TeamName::new(policy.service.as_str()),
        ClassName::new(policy.route.as_str()),
    )
}
