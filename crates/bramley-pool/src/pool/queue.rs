//! Jobs with waiting tasks in the order in which they are to be started.

use std::collections::BTreeMap;

use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use super::Pool;
use crate::job::{JobName, JobRecord, QueueClass};

/// Position of a job in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    /// Whether the job goes behind those that are guaranteed.
    is_not_guaranteed: bool,
    /// Latest start that serves the job's class, delayed by its priority.
    due: UnixTime,
    /// Sequence number, which keeps jobs that are due at the same time in order of arrival.
    number: u64,
}

/// A waiting job.
#[derive(Clone, Debug)]
struct QueuedJob {
    name: JobName,
    /// Latest start that serves the job's class.
    limit: UnixTime,
    /// Whether any task may have started or the job is guaranteed, so that it never goes behind jobs
    /// that can meet their limit.
    keeps_place: bool,
}

/// Place of a job in the queue and what it counts for.
#[derive(Clone, Copy, Debug)]
struct QueuedPlace {
    key: QueueKey,
    tasks: u32,
}

/// Jobs with waiting tasks. All changes take time that is logarithmic in the number of jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    order: BTreeMap<QueueKey, QueuedJob>,
    places: FxHashMap<JobName, QueuedPlace>,
    waiting_tasks: u32,
    /// Number of the job that was added last.
    last_number: u64,
}

impl WaitQueue {
    /// Returns the number of waiting tasks.
    pub(super) const fn waiting_tasks(&self) -> u32 {
        self.waiting_tasks
    }

    /// Returns whether no task waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of jobs with waiting tasks.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Removes a job, if it waits.
    pub(super) fn remove(&mut self, name: &JobName) {
        if let Some(place) = self.places.remove(name) {
            self.order.remove(&place.key);
            self.waiting_tasks -= place.tasks;
        }
    }

    /// Removes all jobs.
    pub(super) fn clear(&mut self) {
        self.order.clear();
        self.places.clear();
        self.waiting_tasks = 0;
    }

    /// Adds a job or moves it to its current place.
    fn put(&mut self, job: &JobRecord, due: UnixTime) {
        let name = &job.submission.work.job;
        let earlier = self.places.get(name).copied();
        let number = earlier.map_or(self.last_number + 1, |place| place.key.number);
        let key = QueueKey {
            is_not_guaranteed: !job.is_guaranteed,
            due,
            number,
        };
        self.last_number = self.last_number.max(number);
        self.waiting_tasks += job.waiting;
        let place = QueuedPlace {
            key,
            tasks: job.waiting,
        };
        match earlier {
            Some(earlier) => {
                self.waiting_tasks -= earlier.tasks;
                if let Some(known) = self.places.get_mut(name) {
                    *known = place;
                }
                self.order.remove(&earlier.key);
            }
            None => {
                self.places.insert(name.clone(), place);
            }
        }
        let queued = QueuedJob {
            name: name.clone(),
            limit: job.start_limit(),
            keeps_place: job.keeps_place(),
        };
        self.order.insert(key, queued);
    }

    /// Returns the waiting jobs in queue order. Under contention, those that have missed the latest
    /// start that serves their class come last.
    pub(super) fn in_order(
        &self,
        is_contended: bool,
        now: UnixTime,
    ) -> impl Iterator<Item = &JobName> {
        let has_missed = move |job: &QueuedJob| is_contended && !job.keeps_place && job.limit < now;
        let jobs = || self.order.values();
        let ahead = jobs().filter(move |job| !has_missed(job));
        let behind = jobs().filter(move |job| has_missed(job));
        ahead.chain(behind).map(|job| &job.name)
    }
}

impl Pool {
    /// Adds a job to the queue if any of its tasks waits.
    pub(super) fn enqueue(&mut self, name: &JobName) {
        let Some(job) = self.jobs.get(name).filter(|job| job.waiting > 0) else {
            return;
        };
        self.newly_waiting.push(name.clone());
        self.queue.put(job, self.due_time(job));
    }

    /// Moves a waiting job to its current place in the queue, or removes it if none of its tasks
    /// waits any more. To be called after each change of the number of waiting tasks, the queue
    /// class or the expected run time.
    pub(super) fn update_queued(&mut self, name: &JobName) {
        if !self.queue.places.contains_key(name) {
            return;
        }
        match self.jobs.get(name).filter(|job| job.waiting > 0) {
            Some(job) => {
                let due = self.due_time(job);
                self.queue.put(job, due);
            }
            None => self.queue.remove(name),
        }
    }

    /// Returns the time by which a job is ordered: its latest start, delayed by its priority. A late
    /// job comes earlier by a run time, in which all slots with such runs become free, so that it is
    /// not held in vain behind jobs that arrive just in time.
    pub(super) fn due_time(&self, job: &JobRecord) -> UnixTime {
        let priority_delay = self.settings.priority_step * job.submission.policy.priority;
        let due = job.start_limit().after(priority_delay);
        match job.queue_class {
            QueueClass::InTime => due,
            QueueClass::Late => due.before(job.expected),
        }
    }
}
