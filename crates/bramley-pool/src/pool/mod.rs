//! Places tasks on workers and follows their runs to the end.
//!
//! - `admission` decides whether a job can be in time.
//! - `choice` chooses the best worker for a task.
//! - `fleet` follows the platform's list of workers and changes of command.
//! - `health` judges workers by how their runs end.
//! - `jobs` takes jobs in and answers them.
//! - `placement` decides which tasks are started when.
//! - `reports` reads the answers of workers.
//! - `reservation` keeps workers free for jobs that have waited long.
//! - `starts` sends starts and reads their answers.
//! - `upkeep` renews leases, retries stops and ends what has lapsed.

mod admission;
mod choice;
mod fleet;
mod health;
mod jobs;
mod placement;
mod reports;
mod reservation;
mod starts;
mod upkeep;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::estimate::RunTimeTable;
use bramley_core::names::{ClassName, TeamName, WorkerName};
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use crate::decision::Decision;
use crate::job::{JobName, JobPolicy, JobRecord, JobWork};
use crate::message::{PoolLoad, PoolMessage, RelayId};
use crate::run::StopCause;
use crate::settings::PoolSettings;
use crate::worker::{WorkerCall, WorkerIndex, WorkerOrder, WorkerRecord};

/// What the driver of a pool is to do.
#[derive(Clone, Debug)]
pub enum PoolAction {
    /// Call a worker and hand the answer to [`Pool::worker_answered`].
    Call(WorkerCall),
    /// Send a message to a relay.
    Send(RelayId, PoolMessage),
    /// Write a line to the log.
    Note(Decision),
    /// Another process commands the workers with a higher token; give up the claim.
    Superseded,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolCounts {
    /// Starts sent.
    pub starts: u64,
    /// Starts refused for want of room.
    pub starts_without_room: u64,
    /// Starts that were not answered.
    pub starts_unanswered: u64,
    /// Runs that ended well.
    pub runs_done: u64,
    /// Runs that ended as failed.
    pub runs_failed: u64,
    /// Runs whose lease ended.
    pub runs_lapsed: u64,
    /// Stops sent.
    pub stops: u64,
    /// Looks sent.
    pub looks: u64,
    /// Jobs completed.
    pub jobs_completed: u64,
    /// Jobs failed.
    pub jobs_failed: u64,
    /// Jobs refused.
    pub jobs_refused: u64,
    /// Times that a worker was weighed for a task: what placement costs.
    pub workers_weighed: u64,
    /// Jobs whose relay or client left.
    pub jobs_cancelled: u64,
    /// Runs found under way after a change of command.
    pub runs_adopted: u64,
}

/// Commands the workers of one failure domain while it holds a fencing token.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    token: Option<u64>,
    commands_since: UnixTime,
    /// Time until which ends that no job has claimed are kept.
    adopting_until: UnixTime,
    /// Time until which runs that no job has claimed are kept.
    claiming_until: UnixTime,
    /// Time before which nothing is started, because the process has just been resumed.
    placing_from: UnixTime,
    workers: Vec<WorkerRecord>,
    by_name: FxHashMap<WorkerName, WorkerIndex>,
    jobs: FxHashMap<JobName, JobRecord>,
    /// Jobs that have begun and were dropped, with the time at which they are forgotten.
    begun: FxHashMap<JobName, UnixTime>,
    /// Jobs with tasks that wait for room, in no order.
    queue: Vec<JobName>,
    run_times: RunTimeTable,
    listed_at: UnixTime,
    /// Whether entries that are known from an earlier command were not read anew: their workers may be
    /// leaving.
    awaits_list: bool,
    actions: Vec<PoolAction>,
    counts: PoolCounts,
    /// Times that a worker was weighed for a task.
    weighed: Cell<u64>,
    /// Workers on which room may have become free since the last round of placement.
    freed_workers: Vec<WorkerIndex>,
    /// Jobs with tasks that have come to wait since then.
    fresh_jobs: Vec<JobName>,
    /// Workers that are kept free for a job that has waited long; found anew with each full round.
    reservations: FxHashMap<WorkerIndex, JobName>,
    /// Whether a late job would take room from jobs that can be in time.
    is_contended: bool,
}

impl Pool {
    /// Makes a pool without command.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            token: None,
            commands_since: UnixTime::default(),
            adopting_until: UnixTime::default(),
            claiming_until: UnixTime::default(),
            placing_from: UnixTime::default(),
            workers: Vec::new(),
            by_name: FxHashMap::default(),
            jobs: FxHashMap::default(),
            begun: FxHashMap::default(),
            queue: Vec::new(),
            run_times: RunTimeTable::default(),
            listed_at: UnixTime::default(),
            awaits_list: false,
            actions: Vec::new(),
            counts: PoolCounts::default(),
            weighed: Cell::new(0),
            freed_workers: Vec::new(),
            fresh_jobs: Vec::new(),
            reservations: FxHashMap::default(),
            is_contended: false,
        }
    }

    /// Returns what the driver is to do, and forgets it.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<PoolAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the fencing token while the pool has command.
    #[must_use]
    pub const fn token(&self) -> Option<u64> {
        self.token
    }

    /// Returns the counts for metrics.
    #[must_use]
    pub const fn counts(&self) -> PoolCounts {
        PoolCounts {
            workers_weighed: self.weighed.get(),
            ..self.counts
        }
    }

    /// The process was paused. What happened meanwhile, such as the end of a relay's connection, is
    /// to be handled before anything is started for jobs whose callers may have left.
    pub fn process_resumed(&mut self, now: UnixTime) {
        self.placing_from = now.after(self.settings.resume_wait);
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the workers for dumps.
    #[must_use]
    pub fn workers(&self) -> &[WorkerRecord] {
        &self.workers
    }

    /// Returns how busy the pool is.
    #[must_use]
    pub fn load(&self, now: UnixTime) -> PoolLoad {
        let mut load = PoolLoad {
            waiting_tasks: self.waiting_tasks(),
            ..PoolLoad::default()
        };
        for worker in &self.workers {
            load.listed_workers += u32::from(worker.listed);
            if worker.is_usable() && worker.health.suspended_until <= now {
                load.usable_workers += 1;
                load.free_cpu_milli += u64::from(worker.free().cpu_milli);
            }
        }
        load
    }

    fn waiting_tasks(&self) -> u32 {
        self.queue
            .iter()
            .filter_map(|name| self.jobs.get(name))
            .map(|job| job.waiting)
            .sum()
    }

    fn note(&mut self, decision: Decision) {
        self.actions.push(PoolAction::Note(decision));
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

    /// Returns the expected run time of a task on a sound worker: the geometric mean of what the
    /// client declares and what was learned of the route, as both are rough.
    fn expect(&self, policy: &JobPolicy, work: &JobWork) -> Duration {
        let (team, class) = learned_key(policy);
        let learned = self.run_times.expect(&team, &class, work.declared);
        if work.declared.is_zero() {
            return learned;
        }
        let product = learned.as_secs_f64() * work.declared.as_secs_f64();
        Duration::from_secs_f64(product.sqrt())
    }

    /// Sends an order to a worker.
    fn order(&mut self, index: WorkerIndex, order: WorkerOrder, now: UnixTime) {
        let Some(token) = self.token else {
            return;
        };
        match &order {
            WorkerOrder::Start { .. } => self.counts.starts += 1,
            WorkerOrder::Stop { .. } => self.counts.stops += 1,
            WorkerOrder::Look { .. } => self.counts.looks += 1,
        }
        let worker = self.worker(index);
        let call = WorkerCall {
            worker: index,
            life: worker.life,
            name: worker.entry.name.clone(),
            address: Arc::clone(&worker.entry.address),
            token,
            order,
            sent_at: now,
        };
        self.actions.push(PoolAction::Call(call));
    }

    /// Stops a run whose result is not wanted, or whose presence is unknown.
    fn stop_run(&mut self, index: WorkerIndex, position: usize, cause: StopCause, now: UnixTime) {
        let retry_at = now.after(self.settings.stop_retry);
        let worker = self.worker_mut(index);
        let run = worker.runs[position].clone();
        if run.is_stopping() {
            return;
        }
        let facts = run.facts().clone();
        worker.runs[position] = run.stopped(cause, retry_at);
        let name = worker.entry.name.clone();
        self.note(Decision::Stopping {
            task: facts.task.clone(),
            number: facts.number,
            worker: name,
            cause,
            ran: now.since(facts.started_at),
        });
        let order = WorkerOrder::Stop {
            task: facts.task,
            number: facts.number,
        };
        self.order(index, order, now);
        self.look_if_needed(index, now);
    }
}

/// Returns the keys under which run times of a route are learned.
fn learned_key(policy: &JobPolicy) -> (TeamName, ClassName) {
    (
        TeamName::new(policy.service.as_str()),
        ClassName::new(policy.route.as_str()),
    )
}
