//! Baseline dispatchers to compare the kernel with.
//!
//! They follow the same safety rules as the kernel: a task is retried only if the worker refused it
//! or the connection failed. Each dispatcher knows only the tasks that it sent itself, and sends
//! tasks in order of arrival.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobFailure, JobSpec, ReplyToken};
use bramley_core::kernel::KernelIdentity;
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{AttemptResult, KernelEvent, PeerView};
use bramley_core::names::{HostName, WorkerName};
use bramley_core::places::PlaceId;
use bramley_core::slots::assignment::{owner_of_slot, rank_hosts};
use bramley_core::units::{AttemptId, TaskKey, TicketSerial, UnixTime};
use bramley_core::worker::{WorkerProfile, WorkerState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use super::dispatcher::Dispatcher;

/// Consecutive attempts of a task before it is delayed.
const ATTEMPTS_BEFORE_BACKOFF: u32 = 3;

/// First delay of a task after its immediate attempts were refused.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);

/// Largest number of times that the delay is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Rule by which a baseline selects a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineRule {
    /// A random worker.
    Random,
    /// The workers in turn.
    RoundRobin,
    /// The worker with the fewest outstanding tasks of this host.
    LeastOutstanding,
    /// The less loaded of two random workers, within this host's static share of each worker.
    TwoChoices,
}

#[derive(Debug)]
struct BaselineJob {
    spec: JobSpec,
    token: ReplyToken,
    outputs: Vec<Option<Arc<str>>>,
    finished: usize,
}

#[derive(Debug)]
struct BaselineWorker {
    profile: WorkerProfile,
    outstanding: u32,
    share: u32,
}

#[derive(Clone, Copy, Debug)]
struct QueuedTask {
    task: TaskKey,
    failed_attempts: u32,
}

/// A dispatcher that selects workers by a simple rule.
#[derive(Debug)]
pub struct BaselineDispatcher {
    identity: KernelIdentity,
    rule: BaselineRule,
    hosts: Vec<HostName>,
    workers: Vec<BaselineWorker>,
    jobs: FxHashMap<TicketSerial, BaselineJob>,
    ready: VecDeque<QueuedTask>,
    delayed: BTreeMap<(UnixTime, TaskKey), u32>,
    attempts: FxHashMap<AttemptId, (QueuedTask, usize)>,
    deadlines: BTreeMap<(UnixTime, TicketSerial), ()>,
    last_attempt: u64,
    round_robin_index: usize,
    rng: SmallRng,
}

impl BaselineDispatcher {
    /// Creates the dispatcher of one host.
    #[must_use]
    pub fn new(identity: KernelIdentity, rule: BaselineRule) -> Self {
        let rng = SmallRng::seed_from_u64(identity.seed);
        Self {
            hosts: vec![identity.host.clone()],
            identity,
            rule,
            workers: Vec::new(),
            jobs: FxHashMap::default(),
            ready: VecDeque::new(),
            delayed: BTreeMap::new(),
            attempts: FxHashMap::default(),
            deadlines: BTreeMap::new(),
            last_attempt: 0,
            round_robin_index: 0,
            rng,
        }
    }

    fn on_submitted(
        &mut self,
        submission: bramley_core::kernel::event::JobSubmission,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let can_run_job = |worker: &BaselineWorker| {
            let mut tasks = submission.spec.tasks.iter();
            tasks.all(|task| worker.profile.fits(task.requirements(PlaceId::EVERYWHERE)))
        };
        if !self.workers.iter().any(can_run_job) || submission.spec.deadline <= now {
            let error = DispatchError::new(ErrorKind::NeverRunnable, "");
            actions.push(rejection(submission.token, error));
            return;
        }
        let serial = submission.serial;
        let tasks = u32::try_from(submission.spec.tasks.len()).unwrap_or(u32::MAX);
        self.deadlines
            .insert((submission.spec.deadline, serial), ());
        for index in 0..tasks {
            let task = TaskKey { serial, index };
            self.ready.push_back(QueuedTask {
                task,
                failed_attempts: 0,
            });
        }
        let job = BaselineJob {
            outputs: vec![None; submission.spec.tasks.len()],
            spec: submission.spec,
            token: submission.token,
            finished: 0,
        };
        self.jobs.insert(serial, job);
    }

    fn on_attempt_ended(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let Some((queued, worker)) = self.attempts.remove(&attempt) else {
            return;
        };
        self.workers[worker].outstanding -= 1;
        match result {
            AttemptResult::Finished(output) => self.finish(queued.task, output, actions),
            AttemptResult::NotStarted { .. } => self.retry(queued, now),
            AttemptResult::Failed => self.fail(queued.task.serial, ErrorKind::TaskFailed, actions),
            AttemptResult::Unknown => {
                self.fail(queued.task.serial, ErrorKind::UnknownOutcome, actions);
            }
        }
    }

    fn finish(&mut self, task: TaskKey, output: Arc<str>, actions: &mut Vec<KernelAction>) {
        let Some(job) = self.jobs.get_mut(&task.serial) else {
            return;
        };
        job.outputs[task.index as usize] = Some(output);
        job.finished += 1;
        if job.finished < job.outputs.len() {
            return;
        }
        let Some(job) = self.jobs.remove(&task.serial) else {
            return;
        };
        self.deadlines.remove(&(job.spec.deadline, task.serial));
        let outputs = job.outputs.into_iter().flatten().collect();
        actions.push(KernelAction::Reply {
            token: job.token,
            answer: Arc::new(JobAnswer::Complete(outputs)),
        });
    }

    fn fail(&mut self, serial: TicketSerial, kind: ErrorKind, actions: &mut Vec<KernelAction>) {
        let Some(job) = self.jobs.remove(&serial) else {
            return;
        };
        self.deadlines.remove(&(job.spec.deadline, serial));
        let mut failure = JobFailure::refusal(DispatchError::new(kind, ""));
        failure.execution = bramley_core::errors::ExecutionStatus::MayHaveRun;
        actions.push(KernelAction::Reply {
            token: job.token,
            answer: Arc::new(JobAnswer::Failed(failure)),
        });
    }

    fn retry(&mut self, mut queued: QueuedTask, now: UnixTime) {
        queued.failed_attempts += 1;
        if queued.failed_attempts < ATTEMPTS_BEFORE_BACKOFF {
            self.ready.push_front(queued);
            return;
        }
        let doublings =
            (queued.failed_attempts - ATTEMPTS_BEFORE_BACKOFF).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF * (1 << doublings);
        let jittered = backoff.mul_f64(self.rng.random_range(0.5..1.5));
        self.delayed
            .insert((now.after(jittered), queued.task), queued.failed_attempts);
    }

    fn dispatch_ready(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        while let Some((&(time, task), &failed_attempts)) = self.delayed.first_key_value() {
            if time > now {
                break;
            }
            self.delayed.remove(&(time, task));
            self.ready.push_back(QueuedTask {
                task,
                failed_attempts,
            });
        }
        while let Some(queued) = self.ready.front().copied() {
            if !self.jobs.contains_key(&queued.task.serial) {
                self.ready.pop_front();
                continue;
            }
            let Some(worker) = self.select_worker() else {
                break;
            };
            self.ready.pop_front();
            self.start_attempt(queued, worker, actions);
        }
    }

    fn start_attempt(
        &mut self,
        queued: QueuedTask,
        worker: usize,
        actions: &mut Vec<KernelAction>,
    ) {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let job = &self.jobs[&queued.task.serial];
        let input = &job.spec.tasks[queued.task.index as usize];
        let chosen = &mut self.workers[worker];
        chosen.outstanding += 1;
        actions.push(KernelAction::Start(Box::new(TaskStart {
            attempt,
            task: queued.task,
            worker: chosen.profile.name.clone(),
            address: chosen.profile.address,
            team: job.spec.team.clone(),
            class: job.spec.class.clone(),
            payload: Arc::clone(&input.payload),
            accelerators: input.accelerators,
            start_deadline: job.spec.deadline,
            stalled_after: job.spec.deadline,
        })));
        self.attempts.insert(attempt, (queued, worker));
    }

    fn select_worker(&mut self) -> Option<usize> {
        let count = self.workers.len();
        if count == 0 {
            return None;
        }
        match self.rule {
            BaselineRule::Random => {
                let first = self.rng.random_range(0..count);
                self.first_available_from(first)
            }
            BaselineRule::RoundRobin => {
                self.round_robin_index = (self.round_robin_index + 1) % count;
                self.first_available_from(self.round_robin_index)
            }
            BaselineRule::LeastOutstanding => {
                let first = self.rng.random_range(0..count);
                let order = (0..count).map(|step| (first + step) % count);
                let available = order.filter(|worker| self.has_capacity(*worker));
                available.min_by_key(|worker| self.workers[*worker].outstanding)
            }
            BaselineRule::TwoChoices => {
                let starts = [(); 2].map(|()| self.rng.random_range(0..count));
                let first = self.first_available_from(starts[0])?;
                let second = self.first_available_from(starts[1])?;
                let load = |worker: usize| self.workers[worker].outstanding;
                Some(if load(second) < load(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    fn first_available_from(&self, first: usize) -> Option<usize> {
        let count = self.workers.len();
        (0..count)
            .map(|step| (first + step) % count)
            .find(|worker| self.has_capacity(*worker))
    }

    fn has_capacity(&self, worker: usize) -> bool {
        let worker = &self.workers[worker];
        let limit = if self.rule == BaselineRule::TwoChoices {
            worker.share
        } else {
            worker.profile.slots
        };
        worker.profile.state == WorkerState::Live && worker.outstanding < limit
    }

    fn on_workers_listed(&mut self, profiles: Vec<WorkerProfile>) {
        for profile in profiles {
            let existing = self
                .workers
                .iter_mut()
                .find(|worker| worker.profile.name == profile.name);
            match existing {
                Some(worker) => worker.profile = profile,
                None => self.workers.push(BaselineWorker {
                    profile,
                    outstanding: 0,
                    share: 0,
                }),
            }
        }
        self.recompute_shares();
    }

    fn recompute_shares(&mut self) {
        for worker in &mut self.workers {
            let ranked = rank_hosts(&worker.profile.name, &self.hosts);
            let owned = (0..worker.profile.slots).filter(|slot| {
                let owner = owner_of_slot(&ranked, *slot, 0);
                owner.is_some_and(|owner| self.hosts[owner] == self.identity.host)
            });
            let in_domain = worker.profile.domain == self.identity.domain;
            worker.share = if in_domain {
                u32::try_from(owned.count()).unwrap_or(0)
            } else {
                0
            };
        }
    }

    fn on_peers_changed(&mut self, peers: &[PeerView]) {
        let mut hosts = vec![self.identity.host.clone()];
        for peer in peers {
            if peer.owns_slots && peer.domain == self.identity.domain {
                hosts.push(peer.host.clone());
            }
        }
        hosts.sort();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.recompute_shares();
        }
    }

    fn expire_overdue_jobs(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        while let Some((&(deadline, serial), ())) = self.deadlines.first_key_value() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, serial));
            self.fail(serial, ErrorKind::DeadlinePassed, actions);
        }
    }
}

impl BaselineDispatcher {
    fn set_worker_state(&mut self, name: &WorkerName, state: WorkerState) {
        for worker in &mut self.workers {
            if worker.profile.name == *name {
                worker.profile.state = state;
            }
        }
    }
}

impl Dispatcher for BaselineDispatcher {
    fn handle(&mut self, event: KernelEvent, now: UnixTime, actions: &mut Vec<KernelAction>) {
        match event {
            KernelEvent::Submitted(submission) => self.on_submitted(submission, now, actions),
            KernelEvent::AttemptEnded { attempt, result } => {
                self.on_attempt_ended(attempt, result, now, actions);
            }
            KernelEvent::Cancelled { serial, .. } => {
                self.fail(serial, ErrorKind::Cancelled, actions);
            }
            KernelEvent::WorkersListed(profiles) => self.on_workers_listed(profiles),
            KernelEvent::PeersChanged(peers) => self.on_peers_changed(&peers),
            KernelEvent::WorkerLeaving(name) => self.set_worker_state(&name, WorkerState::Leaving),
            KernelEvent::WorkerLive(name) => self.set_worker_state(&name, WorkerState::Live),
            KernelEvent::Queried { .. }
            | KernelEvent::ConfigurationChanged(_)
            | KernelEvent::LoanRequested(_)
            | KernelEvent::LoanReplied(_)
            | KernelEvent::LoanReturned { .. }
            | KernelEvent::DrainStarted
            | KernelEvent::StopDeadlineReached
            | KernelEvent::Tick => {}
        }
        self.expire_overdue_jobs(now, actions);
        self.dispatch_ready(now, actions);
    }

    fn next_wakeup(&self) -> Option<UnixTime> {
        let delayed = self.delayed.keys().next().map(|(time, _)| *time);
        let deadline = self.deadlines.keys().next().map(|(time, _)| *time);
        delayed.into_iter().chain(deadline).min()
    }

    fn idle_slots(&self) -> (u32, u32) {
        (0, 0)
    }

    fn violations(&self) -> u64 {
        0
    }
}

fn rejection(token: ReplyToken, error: DispatchError) -> KernelAction {
    KernelAction::Reply {
        token,
        answer: Arc::new(JobAnswer::Failed(JobFailure::refusal(error))),
    }
}
