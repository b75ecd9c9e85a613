//! Follows the platform's list of workers and changes of command.

use std::time::Duration;

use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;

use super::Pool;
use crate::decision::Decision;
use crate::job::JobRecord;
use crate::run::LiveRun;
use crate::worker::{ClockEstimate, RunEnd, WorkerEntry, WorkerHealth, WorkerIndex, WorkerRecord};

impl Pool {
    /// Takes command of the workers with a fencing token that is higher than all before.
    pub fn take_command(&mut self, token: u64, now: UnixTime) {
        let is_new = self.token.is_none();
        self.awaits_list |= is_new;
        self.commands_since = now;
        self.adopting_until = now.after(self.settings.adoption_window);
        self.claiming_until = now.after(self.settings.claim_wait);
        for worker in &mut self.workers {
            if is_new {
                worker.reset_life();
                worker.health = WorkerHealth::default();
            }
            // Even a pool that still had command cannot know who had it since its last call.
            worker.synced = false;
            worker.clock.mistrust();
        }
        self.token = Some(token);
        self.note_command();
        for index in self.indices() {
            self.look_now(index, now);
        }
    }

    /// Tells whether a waiting task of a job may get a new run: no run of an earlier pool can be
    /// under way any more without being known here.
    pub(super) fn has_lost_earlier_run(&self, job: &JobRecord, task: usize, now: UnixTime) -> bool {
        let bound = self.commands_since.after(self.settings.takeover_bound);
        if !job.submission.resumed || now >= bound {
            return true;
        }
        if !job.submission.acknowledged {
            return false;
        }
        // The entry of a worker may have lapsed although the worker runs on.
        let is_last_worker_read = job
            .submission
            .placements
            .iter()
            .filter(|placement| placement.index as usize == task)
            .all(|placement| {
                let index = self.by_name.get(&placement.worker);
                index.is_some_and(|index| self.worker(*index).synced)
            });
        is_last_worker_read && self.has_read_workers(job.submission.earlier_workers)
    }

    /// Tells whether the list, and the runs of all workers on it, were read since taking command,
    /// and whether these are as many as the earlier pool had.
    fn has_read_workers(&self, earlier_workers: u32) -> bool {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        let mut synced = 0;
        for worker in listed {
            if !worker.synced {
                return false;
            }
            synced += 1;
        }
        self.listed_at > self.commands_since && synced >= earlier_workers
    }

    /// Gives command up: open jobs are left to the relays, which submit them elsewhere.
    pub fn give_up_command(&mut self, _now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        self.token = None;
        self.note_command();
        self.jobs.clear();
        self.queue.clear();
        for worker in &mut self.workers {
            worker.reset_life();
        }
    }

    fn note_command(&mut self) {
        let decision = Decision::CommandChanged {
            token: self.token,
            workers: u32::try_from(self.workers.len()).unwrap_or(u32::MAX),
            jobs: u32::try_from(self.jobs.len()).unwrap_or(u32::MAX),
        };
        self.note(decision);
    }

    /// Returns the time since the list of workers was read; zero without command.
    #[must_use]
    pub fn list_age(&self, now: UnixTime) -> Duration {
        match self.token {
            Some(_) => now.since(self.listed_at),
            None => Duration::ZERO,
        }
    }

    /// Notes that the list of workers was read up to now.
    pub const fn list_read(&mut self, now: UnixTime) {
        self.listed_at = now;
        self.awaits_list = false;
    }

    /// Takes an entry of the platform's list.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now: UnixTime) {
        let Some(index) = self.by_name.get(&entry.name).copied() else {
            let index = WorkerIndex(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
            self.by_name.insert(entry.name.clone(), index);
            self.workers.push(WorkerRecord::new(entry));
            self.note_worker(index, "new", now);
            self.look_now(index, now);
            return;
        };
        let worker = self.worker_mut(index);
        if entry.born_unix_ms < worker.entry.born_unix_ms {
            return;
        }
        let leaves = entry.leaving && !worker.entry.leaving;
        let returns = !worker.listed;
        let born = entry.born_unix_ms;
        let reborn = born > worker.entry.born_unix_ms;
        worker.listed = true;
        if reborn {
            self.worker_reborn(index, born, now);
        }
        self.worker_mut(index).entry = entry;
        if leaves {
            self.note_worker(index, "leaving", now);
        }
        if returns || reborn {
            if returns {
                self.note_worker(index, "listed_again", now);
            }
            self.worker_mut(index).synced = false;
            self.look_now(index, now);
        }
    }

    /// Notes that the platform does not list a worker any more; what runs there is followed to its
    /// end.
    pub fn worker_unlisted(&mut self, name: &WorkerName, now: UnixTime) {
        let Some(index) = self.by_name.get(name).copied() else {
            return;
        };
        if self.worker(index).listed {
            self.worker_mut(index).listed = false;
            self.note_worker(index, "unlisted", now);
        }
    }

    /// Returns the names of the workers that are listed.
    pub fn listed_workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers
            .iter()
            .filter(|worker| worker.listed)
            .map(|worker| &worker.entry.name)
    }

    /// The worker has started again under its name. What ran before has ended, but starts that
    /// were on their way may have reached the new life: its first report tells.
    pub(super) fn worker_reborn(&mut self, index: WorkerIndex, born_unix_ms: u64, now: UnixTime) {
        let worker = self.worker_mut(index);
        worker.entry.born_unix_ms = born_unix_ms;
        worker.clock = ClockEstimate::default();
        worker.acknowledged = 0;
        worker.acknowledgement_sent = 0;
        worker.last_read_end = 0;
        worker.unclaimed.clear();
        worker.health = WorkerHealth::default();
        worker.synced = false;
        self.note_worker(index, "reborn", now);
        self.look_now(index, now);
    }

    /// Another worker answers at the address, so this one has ended.
    pub(super) fn worker_replaced(&mut self, index: WorkerIndex, now: UnixTime) {
        let runs = self.take_life(index);
        self.worker_mut(index).listed = false;
        self.note_worker(index, "replaced", now);
        self.settle_lost(index, &runs, now);
        self.place_due(now);
    }

    fn take_life(&mut self, index: WorkerIndex) -> Vec<LiveRun> {
        let worker = self.worker_mut(index);
        let runs = std::mem::take(&mut worker.runs);
        worker.reset_life();
        worker.health = WorkerHealth::default();
        runs
    }

    fn settle_lost(&mut self, index: WorkerIndex, runs: &[LiveRun], now: UnixTime) {
        for run in runs {
            self.settle(index, run.facts(), Some(RunEnd::LeaseEnded), now);
        }
    }
}

impl WorkerRecord {
    /// Forgets everything that belongs to one life of the worker under one command.
    fn reset_life(&mut self) {
        self.life += 1;
        self.synced = false;
        self.fenced = false;
        self.clock = ClockEstimate::default();
        self.acknowledged = 0;
        self.acknowledgement_sent = 0;
        self.last_read_end = 0;
        self.unclaimed.clear();
        self.runs.clear();
        self.booked = crate::room::TaskRoom::default();
        self.looking = false;
        self.look_sent_at = UnixTime::default();
        self.missed_looks = 0;
        self.rechecking = false;
        self.next_look_at = UnixTime::default();
        self.next_probe_at = UnixTime::default();
        self.reported_at = UnixTime::default();
        self.last_end_at = UnixTime::default();
    }
}
