//! Work stealing between pools: tasks that wait here are run by the pool of another failure domain
//! that has free workers.
//!
//! A pool in which tasks wait tells the pools of other failure domains. One of them that has free
//! resources and no waiting tasks requests some, and gets those that are first in the queue and fit
//! there. The released tasks are not started here any more. The job's relay submits them to the
//! requesting pool and stays the only one that keeps the job's runs alive, so that the loss of any
//! process has the same effect as for jobs that run in one pool.
//!
//! Only tasks that were never started are released, so that their run numbers and failures need not
//! move along.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Pool, PoolAction};
use crate::crash::Suspicion;
use crate::decision::Decision;
use crate::job::{JobName, JobRecord, QueueClass, TaskState};
use crate::mechanism::Mechanism;
use crate::message::{FreeSlot, PoolMessage, RelayId, RelayMessage, StealRequest, WaitingTasks};

/// Shortest time between two messages about waiting tasks, which bounds their number while tasks
/// keep coming and going.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(5);

/// Age from which a message about waiting tasks is not used. It is repeated at each tick of 25 ms
/// while tasks wait.
const MAX_WAITING_AGE: Duration = Duration::from_millis(100);

/// Time after which a request counts as unanswered, and released tasks as lost: many round trips
/// between failure domains.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum number of workers in one request.
const MAX_SLOTS: usize = 16;

/// Maximum number of tasks released for one request.
const MAX_RELEASED: usize = 32;

/// Run times on workers of a pool are compared in thousandths of that on a usual worker.
const USUAL_PACE_PERMILLE: u32 = 1_000;

/// Tasks that wait at another pool.
#[derive(Clone, Copy, Debug)]
struct WaitingView {
    waiting: WaitingTasks,
    received_at: UnixTime,
}

/// Request of this pool for tasks of others. There is one at a time, so that no free resources are
/// promised twice.
#[derive(Clone, Copy, Debug, Default)]
enum RequestState {
    #[default]
    Idle,
    /// Sent to the pool of this relay's process.
    Sent {
        owner: RelayId,
        expires_at: UnixTime,
    },
    /// Some tasks were released and are on their way.
    Released { tasks: u32, expires_at: UnixTime },
}

/// Work stealing as seen by one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct StealState {
    /// Tasks that wait at other pools, by the relay of the pool's process.
    others: FxHashMap<RelayId, WaitingView>,
    request: RequestState,
    /// Time from which the waiting tasks of this pool may be published again.
    publish_at: UnixTime,
    /// Relays that cannot submit a part of a job to another pool.
    whole_job_relays: FxHashSet<RelayId>,
}

impl StealState {
    /// Forgets what is known of other pools; for the start and the end of a term as leader.
    pub(super) fn clear(&mut self) {
        *self = Self {
            whole_job_relays: std::mem::take(&mut self.whole_job_relays),
            ..Self::default()
        };
    }

    /// Forgets the pool of a process whose relay has disconnected.
    pub(super) fn relay_lost(&mut self, relay: RelayId) {
        self.others.remove(&relay);
        self.whole_job_relays.remove(&relay);
    }

    /// Records that a part of a job has arrived.
    fn part_arrived(&mut self, count: u32) {
        if let RequestState::Released { tasks, .. } = &mut self.request {
            *tasks = tasks.saturating_sub(count);
            if *tasks == 0 {
                self.request = RequestState::Idle;
            }
        }
    }

    fn is_busy(&self, now: UnixTime) -> bool {
        match self.request {
            RequestState::Idle => false,
            RequestState::Sent { expires_at, .. } | RequestState::Released { expires_at, .. } => {
                now < expires_at
            }
        }
    }
}

/// Tasks of a job to be released.
#[derive(Debug)]
struct ReleasedPart {
    job: JobName,
    tasks: Vec<u32>,
}

impl Pool {
    /// Records that a relay, of an earlier version, ignores released tasks. Its jobs stay whole.
    pub fn keep_jobs_whole(&mut self, relay: RelayId) {
        self.stealing.whole_job_relays.insert(relay);
    }

    /// Returns whether tasks of a job may run in any failure domain.
    fn is_job_stealable(&self, job: &JobRecord) -> bool {
        let work = &job.submission.work;
        let relays = &self.stealing.whole_job_relays;
        job.relay.is_some_and(|relay| !relays.contains(&relay))
            && work.required_label.is_empty()
            && work.preferred_rack.is_empty()
    }

    /// Tells other pools about the tasks that wait here for lack of resources.
    pub(super) fn publish_waiting(&mut self, now: UnixTime) {
        if !self.allows(Mechanism::Stealing)
            || self.queue.is_empty()
            || self.token.is_none()
            || now < self.stealing.publish_at
        {
            return;
        }
        let waiting = self.stealable_tasks(now);
        if waiting.tasks > 0 {
            self.stealing.publish_at = now.after(PUBLISH_INTERVAL);
            self.actions.push(PoolAction::Publish(waiting));
        }
    }

    /// Counts the waiting tasks that other pools may request.
    fn stealable_tasks(&self, now: UnixTime) -> WaitingTasks {
        let mut waiting = WaitingTasks::default();
        let order = self.queue.in_order(self.is_contended, now);
        for name in order.take(self.settings.scan_limit) {
            let Some(job) = self.jobs.get(name).filter(|job| self.is_job_stealable(job)) else {
                continue;
            };
            let positions = 0..job.tasks.len();
            let tasks = positions
                .filter(|position| self.is_task_stealable(job, *position, now))
                .count();
            if tasks > 0 {
                let cpu_milli = job.submission.work.resources.cpu_milli;
                waiting.min_cpu_milli = match waiting.tasks {
                    0 => cpu_milli,
                    _ => waiting.min_cpu_milli.min(cpu_milli),
                };
                waiting.tasks += u32::try_from(tasks).unwrap_or(u32::MAX);
            }
        }
        waiting
    }

    /// Returns whether a task waits, was never started and can be started anywhere.
    fn is_task_stealable(&self, job: &JobRecord, position: usize, now: UnixTime) -> bool {
        let task = &job.tasks[position];
        task.last_number == 0
            && task.suspicion == Suspicion::Unsuspected
            && self.awaits_placement(job, position, now)
    }

    /// Handles the request of the pool of another failure domain: releases the tasks that are first
    /// in the queue and fit on its free workers.
    pub fn handle_steal(&mut self, requester: &DomainName, request: &StealRequest, now: UnixTime) {
        let mut released = 0;
        // After a process pause, callers of waiting jobs may be gone, as for starts.
        let is_paused = now < self.placement_paused_until;
        if self.token.is_some() && self.allows(Mechanism::Stealing) && !is_paused {
            for part in self.choose_released(request, now) {
                released += u32::try_from(part.tasks.len()).unwrap_or(u32::MAX);
                self.release_tasks(part, requester, now);
            }
        }
        let waiting = WaitingTasks {
            released: Some(released),
            ..self.stealable_tasks(now)
        };
        let message = RelayMessage::Waiting(waiting);
        self.actions
            .push(PoolAction::SendToPool(requester.clone(), message));
    }

    fn choose_released(&self, request: &StealRequest, now: UnixTime) -> Vec<ReleasedPart> {
        let mut slots = request.slots.clone();
        slots.truncate(MAX_SLOTS);
        let mut parts = Vec::new();
        let mut left = MAX_RELEASED;
        let order = self.queue.in_order(self.is_contended, now);
        for name in order.take(self.settings.scan_limit) {
            let Some(job) = self.jobs.get(name).filter(|job| self.is_job_stealable(job)) else {
                continue;
            };
            let mut tasks = Vec::new();
            for position in 0..job.tasks.len() {
                if tasks.len() >= left || !self.is_task_stealable(job, position, now) {
                    continue;
                }
                let Some(slot) = best_slot(&mut slots, job, now) else {
                    break;
                };
                slot.free = slot.free.saturating_sub(job.submission.work.resources);
                tasks.push(u32::try_from(position).unwrap_or(u32::MAX));
            }
            left -= tasks.len();
            if !tasks.is_empty() {
                let job = name.clone();
                parts.push(ReleasedPart { job, tasks });
            }
        }
        parts
    }

    /// Gives up tasks to another pool. The job counts as begun from now on, because the other pool
    /// may start them at any time.
    fn release_tasks(&mut self, part: ReleasedPart, requester: &DomainName, now: UnixTime) {
        let ReleasedPart { job: name, tasks } = part;
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        for index in &tasks {
            job.tasks[*index as usize].state = TaskState::Elsewhere;
            job.waiting -= 1;
            job.unfinished -= 1;
        }
        job.may_have_started = true;
        job.is_split = true;
        let (relay, is_complete) = (job.relay, job.unfinished == 0);
        let decision = Decision::TasksReleased {
            job: name.clone(),
            tasks: u32::try_from(tasks.len()).unwrap_or(u32::MAX),
            requester: requester.clone(),
            waiting: self.queue.waiting_tasks(),
            age: now.since(job.submission.arrived_at),
        };
        self.counts.tasks_released += tasks.len() as u64;
        self.log(decision);
        self.update_queued(&name);
        let message = PoolMessage::Released {
            job: name.clone(),
            tasks,
            requester: requester.clone(),
        };
        self.send(relay, message);
        if is_complete {
            self.complete(&name, now);
        }
    }

    /// Records the tasks that wait at the pool of a relay's process, and requests some of them if
    /// there are free resources.
    pub(super) fn waiting_published(
        &mut self,
        owner: RelayId,
        waiting: WaitingTasks,
        now: UnixTime,
    ) {
        if !self.allows(Mechanism::Stealing) {
            return;
        }
        if let Some(released) = waiting.released
            && matches!(self.stealing.request, RequestState::Sent { owner: asked, .. } if asked == owner)
        {
            self.stealing.request = match released {
                0 => RequestState::Idle,
                tasks => RequestState::Released {
                    tasks,
                    expires_at: now.after(ANSWER_TIMEOUT),
                },
            };
        }
        if waiting.tasks == 0 {
            self.stealing.others.remove(&owner);
        } else {
            let view = WaitingView {
                waiting,
                received_at: now,
            };
            self.stealing.others.insert(owner, view);
        }
        self.request_tasks(now);
    }

    /// Requests tasks from the pool in which most of them wait, if there are free resources and no
    /// task waits here.
    pub(super) fn request_tasks(&mut self, now: UnixTime) {
        if self.stealing.others.is_empty()
            || !self.queue.is_empty()
            || self.stealing.is_busy(now)
            || !self.may_start_tasks(now)
            || self.is_evacuated()
        {
            return;
        }
        let others = &mut self.stealing.others;
        others.retain(|_, view| now.since(view.received_at) < MAX_WAITING_AGE);
        let busiest = others
            .iter()
            .max_by_key(|(relay, view)| (view.waiting.tasks, **relay))
            .map(|(relay, view)| (*relay, view.waiting));
        let Some((owner, waiting)) = busiest else {
            return;
        };
        let slots = self.free_slots(waiting, now);
        if slots.is_empty() {
            return;
        }
        self.stealing.request = RequestState::Sent {
            owner,
            expires_at: now.after(ANSWER_TIMEOUT),
        };
        self.counts.steal_requests += 1;
        let message = PoolMessage::Steal(StealRequest { slots });
        self.send(Some(owner), message);
    }

    /// Returns the free resources of workers that can take one of the waiting tasks, the fastest
    /// workers first.
    fn free_slots(&self, waiting: WaitingTasks, now: UnixTime) -> Vec<FreeSlot> {
        let mut slots: Vec<FreeSlot> = self
            .workers
            .iter()
            .filter(|worker| worker.is_usable() && worker.health.suspended_until <= now)
            .filter(|worker| worker.free().cpu_milli >= waiting.min_cpu_milli.max(1))
            .map(|worker| FreeSlot {
                service: worker.entry.service.clone(),
                free: worker.free(),
                pace_permille: (worker.relative_run_time * f64::from(USUAL_PACE_PERMILLE)) as u32,
            })
            .collect();
        slots.sort_by_key(|slot| slot.pace_permille);
        slots.truncate(MAX_SLOTS.min(waiting.tasks as usize));
        slots
    }

    /// Takes over tasks of a job that another pool has released. The relay has assigned them to this
    /// pool, so they are run whatever the load is.
    pub fn assign_part(&mut self, name: &JobName, part: &[u32]) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.is_split |= !part.is_empty();
        for (task, index) in job.tasks.iter_mut().zip(0_u32..) {
            let is_assigned = part.is_empty() || part.contains(&index);
            if task.state == TaskState::Elsewhere && is_assigned {
                task.state = TaskState::Waiting;
                job.waiting += 1;
                job.unfinished += 1;
            }
        }
    }

    /// Counts a part that has arrived against the tasks that were released to this pool.
    pub(super) fn count_arrived_part(&mut self, part: &[u32]) {
        let tasks = u32::try_from(part.len()).unwrap_or(u32::MAX);
        self.counts.tasks_taken += u64::from(tasks);
        self.stealing.part_arrived(tasks);
    }
}

/// Returns the slot that a task of the job fills best among those on which it ends in time, or, if
/// it can no longer be in time, among all.
fn best_slot<'a>(
    slots: &'a mut [FreeSlot],
    job: &JobRecord,
    now: UnixTime,
) -> Option<&'a mut FreeSlot> {
    let resources = job.submission.work.resources;
    let limit = match job.queue_class {
        QueueClass::InTime => job.objective_at,
        QueueClass::Late => job.useful_until,
    };
    let is_late = now.after(job.expected) > limit;
    slots
        .iter_mut()
        .filter(|slot| {
            let run_time = job.expected * slot.pace_permille / USUAL_PACE_PERMILLE;
            slot.service == job.submission.policy.service
                && resources.fits_in(slot.free)
                && (is_late || now.after(run_time) <= limit)
        })
        .min_by_key(|slot| slot.free.cpu_milli)
}
