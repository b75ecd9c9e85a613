//! Simple dispatchers to compare the kernel with.
//!
//! They keep to the same safety rules: a task is sent again only after a refusal or a failed
//! connection. They know only what they sent themselves and send in order of arrival.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::{DispatchError, ErrorKind};
use bramley_core::job::{JobAnswer, JobFailure, JobSpec, ReplyToken};
use bramley_core::kernel::KernelIdentity;
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{AttemptEnd, KernelEvent, PeerView};
use bramley_core::names::{HostName, WorkerName};
use bramley_core::places::PlaceId;
use bramley_core::slots::division::{owner_of_slot, rank_hosts};
use bramley_core::units::{AttemptId, TaskKey, TicketSerial, UnixTime};
use bramley_core::worker::{WorkerProfile, WorkerState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use super::dispatcher::Dispatcher;

/// Tries of a task in a row before it waits.
const QUICK_TRIES: u32 = 3;

/// First wait of a task whose quick tries were refused.
const FIRST_WAIT: Duration = Duration::from_millis(5);

/// Doublings of the wait at most.
const MAX_DOUBLINGS: u32 = 4;

/// How a baseline picks a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineRule {
    /// A random worker.
    Random,
    /// One worker after the other.
    RoundRobin,
    /// The worker with fewest tasks of this host.
    LeastOutstanding,
    /// The less busy of two random workers, within this host's static share of each.
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
struct WaitingTask {
    task: TaskKey,
    tries: u32,
}

/// A dispatcher that follows one simple rule.
#[derive(Debug)]
pub struct BaselineDispatcher {
    identity: KernelIdentity,
    rule: BaselineRule,
    hosts: Vec<HostName>,
    workers: Vec<BaselineWorker>,
    jobs: FxHashMap<TicketSerial, BaselineJob>,
    ready: VecDeque<WaitingTask>,
    delayed: BTreeMap<(UnixTime, TaskKey), u32>,
    attempts: FxHashMap<AttemptId, (WaitingTask, usize)>,
    deadlines: BTreeMap<(UnixTime, TicketSerial), ()>,
    last_attempt: u64,
    turn: usize,
    random: SmallRng,
}

impl BaselineDispatcher {
    /// Makes the dispatcher of one host.
    #[must_use]
    pub fn new(identity: KernelIdentity, rule: BaselineRule) -> Self {
        let random = SmallRng::seed_from_u64(identity.seed);
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
            turn: 0,
            random,
        }
    }

    fn on_submitted(
        &mut self,
        submission: bramley_core::kernel::event::JobSubmission,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let fits = |worker: &BaselineWorker| {
            let mut tasks = submission.spec.tasks.iter();
            tasks.all(|task| worker.profile.fits(task.needs(PlaceId::EVERYWHERE)))
        };
        if !self.workers.iter().any(fits) || submission.spec.deadline <= now {
            let error = DispatchError::new(ErrorKind::NeverRunnable, "");
            actions.push(refuse(submission.token, error));
            return;
        }
        let serial = submission.serial;
        let tasks = u32::try_from(submission.spec.tasks.len()).unwrap_or(u32::MAX);
        self.deadlines
            .insert((submission.spec.deadline, serial), ());
        for index in 0..tasks {
            let task = TaskKey { serial, index };
            self.ready.push_back(WaitingTask { task, tries: 0 });
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
        end: AttemptEnd,
        now: UnixTime,
        actions: &mut Vec<KernelAction>,
    ) {
        let Some((waiting, worker)) = self.attempts.remove(&attempt) else {
            return;
        };
        self.workers[worker].outstanding -= 1;
        match end {
            AttemptEnd::Finished(output) => self.finish(waiting.task, output, actions),
            AttemptEnd::NotStarted { .. } => self.try_again(waiting, now),
            AttemptEnd::Failed => self.fail(waiting.task.serial, ErrorKind::TaskFailed, actions),
            AttemptEnd::Unknown => {
                self.fail(waiting.task.serial, ErrorKind::UnknownOutcome, actions);
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
        failure.execution = bramley_core::errors::ExecutionClaim::MayHaveRun;
        actions.push(KernelAction::Reply {
            token: job.token,
            answer: Arc::new(JobAnswer::Failed(failure)),
        });
    }

    fn try_again(&mut self, mut waiting: WaitingTask, now: UnixTime) {
        waiting.tries += 1;
        if waiting.tries < QUICK_TRIES {
            self.ready.push_front(waiting);
            return;
        }
        let doublings = (waiting.tries - QUICK_TRIES).min(MAX_DOUBLINGS);
        let wait = FIRST_WAIT * (1 << doublings);
        let spread = wait.mul_f64(self.random.random_range(0.5..1.5));
        self.delayed
            .insert((now.after(spread), waiting.task), waiting.tries);
    }

    fn pump(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        while let Some((&(time, task), &tries)) = self.delayed.first_key_value() {
            if time > now {
                break;
            }
            self.delayed.remove(&(time, task));
            self.ready.push_back(WaitingTask { task, tries });
        }
        while let Some(waiting) = self.ready.front().copied() {
            if !self.jobs.contains_key(&waiting.task.serial) {
                self.ready.pop_front();
                continue;
            }
            let Some(worker) = self.choose() else {
                break;
            };
            self.ready.pop_front();
            self.send(waiting, worker, actions);
        }
    }

    fn send(&mut self, waiting: WaitingTask, worker: usize, actions: &mut Vec<KernelAction>) {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let job = &self.jobs[&waiting.task.serial];
        let input = &job.spec.tasks[waiting.task.index as usize];
        let target = &mut self.workers[worker];
        target.outstanding += 1;
        actions.push(KernelAction::Start(Box::new(TaskStart {
            attempt,
            task: waiting.task,
            worker: target.profile.name.clone(),
            address: target.profile.address,
            team: job.spec.team.clone(),
            class: job.spec.class.clone(),
            payload: Arc::clone(&input.payload),
            accelerators: input.accelerators,
            start_before: job.spec.deadline,
            silent_after: job.spec.deadline,
        })));
        self.attempts.insert(attempt, (waiting, worker));
    }

    fn choose(&mut self) -> Option<usize> {
        let count = self.workers.len();
        if count == 0 {
            return None;
        }
        match self.rule {
            BaselineRule::Random => {
                let first = self.random.random_range(0..count);
                self.first_free_from(first)
            }
            BaselineRule::RoundRobin => {
                self.turn = (self.turn + 1) % count;
                self.first_free_from(self.turn)
            }
            BaselineRule::LeastOutstanding => {
                let first = self.random.random_range(0..count);
                let order = (0..count).map(|step| (first + step) % count);
                let free = order.filter(|worker| self.has_room(*worker));
                free.min_by_key(|worker| self.workers[*worker].outstanding)
            }
            BaselineRule::TwoChoices => {
                let starts = [(); 2].map(|()| self.random.random_range(0..count));
                let first = self.first_free_from(starts[0])?;
                let second = self.first_free_from(starts[1])?;
                let load = |worker: usize| self.workers[worker].outstanding;
                Some(if load(second) < load(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    fn first_free_from(&self, first: usize) -> Option<usize> {
        let count = self.workers.len();
        (0..count)
            .map(|step| (first + step) % count)
            .find(|worker| self.has_room(*worker))
    }

    fn has_room(&self, worker: usize) -> bool {
        let worker = &self.workers[worker];
        let limit = if self.rule == BaselineRule::TwoChoices {
            worker.share
        } else {
            worker.profile.slots
        };
        worker.profile.state == WorkerState::Live && worker.outstanding < limit
    }

    fn on_listed(&mut self, profiles: Vec<WorkerProfile>) {
        for profile in profiles {
            let known = self
                .workers
                .iter_mut()
                .find(|worker| worker.profile.name == profile.name);
            match known {
                Some(worker) => worker.profile = profile,
                None => self.workers.push(BaselineWorker {
                    profile,
                    outstanding: 0,
                    share: 0,
                }),
            }
        }
        self.share_out();
    }

    fn share_out(&mut self) {
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

    fn on_peers(&mut self, peers: &[PeerView]) {
        let mut hosts = vec![self.identity.host.clone()];
        for peer in peers {
            if peer.shares_slots && peer.domain == self.identity.domain {
                hosts.push(peer.host.clone());
            }
        }
        hosts.sort();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.share_out();
        }
    }

    fn give_up_overdue(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
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
    fn set_state(&mut self, name: &WorkerName, state: WorkerState) {
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
            KernelEvent::AttemptEnded { attempt, end } => {
                self.on_attempt_ended(attempt, end, now, actions);
            }
            KernelEvent::Cancelled { serial, .. } => {
                self.fail(serial, ErrorKind::Cancelled, actions);
            }
            KernelEvent::WorkersListed(profiles) => self.on_listed(profiles),
            KernelEvent::PeersChanged(peers) => self.on_peers(&peers),
            KernelEvent::WorkerLeaving(name) => self.set_state(&name, WorkerState::Leaving),
            KernelEvent::WorkerLive(name) => self.set_state(&name, WorkerState::Live),
            KernelEvent::Queried { .. }
            | KernelEvent::Configured(_)
            | KernelEvent::LoanAsked(_)
            | KernelEvent::LoanAnswered(_)
            | KernelEvent::LoanReturned { .. }
            | KernelEvent::DrainStarted
            | KernelEvent::StopDeadlineReached
            | KernelEvent::Ticked => {}
        }
        self.give_up_overdue(now, actions);
        self.pump(now, actions);
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

fn refuse(token: ReplyToken, error: DispatchError) -> KernelAction {
    KernelAction::Reply {
        token,
        answer: Arc::new(JobAnswer::Failed(JobFailure::refusal(error))),
    }
}
