//! The platform's list of workers and changes of leader.

use std::time::Duration;

use bramley_core::names::WorkerName;
use bramley_core::units::UnixTime;

use super::evacuation::EvacuationState;
use super::losses::other_runs;
use super::{Pool, PoolAction};
use crate::crash::CrashEvidence;
use crate::decision::Decision;
use crate::job::JobRecord;
use crate::run::{IncarnationEnd, LiveRun};
use crate::worker::{ClockEstimate, WorkerEntry, WorkerHealth, WorkerIndex, WorkerRecord};

/// Largest time by which a worker can have started in the future of this process's clock. Clocks of
/// hosts differ by seconds.
const MAX_BORN_LEAD: Duration = Duration::from_secs(24 * 3_600);

impl Pool {
    /// Becomes leader with a fencing token that is higher than all earlier ones.
    pub fn become_leader(&mut self, token: u64, now: UnixTime) {
        let is_new = self.token.is_none();
        self.awaits_list |= is_new;
        if is_new {
            self.evacuation = EvacuationState::at_term_start();
        }
        self.leader_since = now;
        self.orphaned_ends_kept_until = now.after(self.settings.adoption_window);
        self.callers_lost_at = now;
        self.membership.reset(true);
        for worker in &mut self.workers {
            if is_new {
                worker.reset();
                worker.health = WorkerHealth::default();
            }
            // Even if this pool has not noticed a loss of leadership, another process may have led
            // since its last call.
            worker.synced = false;
            worker.next_probe_at = UnixTime::default();
            worker.clock.invalidate();
        }
        self.token = Some(token);
        self.log_leadership_change();
        for index in self.indices() {
            self.probe(index, now);
        }
    }

    /// Returns whether a waiting task can be started without the risk of a second concurrent run,
    /// because all runs that an earlier pool may have started have ended or are known here. How long
    /// this pool has led shows neither: an earlier leader that is cut off together with a worker goes
    /// on renewing its leases, and only the relay that was connected to it knows until when.
    pub(super) fn is_safe_to_start(&self, job: &JobRecord, task: usize, now: UnixTime) -> bool {
        if !job.submission.resumed || now >= job.submission.earlier_runs_end_by {
            return true;
        }
        if !job.submission.acknowledged {
            return false;
        }
        // A worker's entry may have expired although the worker still runs.
        let is_last_worker_synced = job
            .submission
            .placements
            .iter()
            .filter(|placement| placement.index as usize == task)
            .all(|placement| {
                let index = self.by_name.get(&placement.worker);
                index.is_some_and(|index| self.worker(*index).synced)
            });
        is_last_worker_synced && self.has_synced_workers(job.submission.earlier_workers)
    }

    /// Returns whether the list and the runs of all listed workers were read since the pool became
    /// leader, and whether there are at least as many workers as the previous pool knew.
    pub(super) fn has_synced_workers(&self, earlier_workers: u32) -> bool {
        let listed = self.workers.iter().filter(|worker| worker.listed);
        let mut synced = 0;
        for worker in listed {
            if !worker.synced {
                return false;
            }
            synced += 1;
        }
        self.listed_at > self.leader_since && synced >= earlier_workers
    }

    /// Steps down as leader. Open jobs are dropped; the relays resubmit them to another pool.
    pub fn step_down(&mut self, _now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        self.token = None;
        self.membership.reset(false);
        self.evacuation = EvacuationState::default();
        self.log_leadership_change();
        self.jobs.clear();
        self.route_loads.clear();
        self.shares.clear();
        self.queue.clear();
        self.interference.reset();
        self.stealing.clear();
        for worker in &mut self.workers {
            worker.reset();
        }
    }

    fn log_leadership_change(&mut self) {
        self.summary.invalidate();
        self.max_free_cpu_milli = None;
        let decision = Decision::LeadershipChanged {
            token: self.token,
            workers: u32::try_from(self.workers.len()).unwrap_or(u32::MAX),
            jobs: u32::try_from(self.jobs.len()).unwrap_or(u32::MAX),
        };
        self.log(decision);
    }

    /// Returns the time since the list of workers was read; zero if the pool is not the leader.
    #[must_use]
    pub fn list_age(&self, now: UnixTime) -> Duration {
        match self.token {
            Some(_) => now.since(self.listed_at),
            None => Duration::ZERO,
        }
    }

    /// Records that the whole list of workers is up to date.
    pub const fn worker_list_read(&mut self, now: UnixTime) {
        self.listed_at = now;
        self.awaits_list = false;
    }

    /// Processes an entry of the platform's list.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now: UnixTime) {
        if !is_possible_start(entry.born_unix_ms, now) {
            // Would hide all later entries of the worker, which are taken for those of an earlier
            // incarnation.
            let text = format!(
                "event=worker_entry_ignored worker={} born_ms={} expected=\"a start that is past\"",
                entry.name, entry.born_unix_ms,
            );
            self.log(Decision::Text { job: None, text });
            self.worker_unlisted(&entry.name, now);
            return;
        }
        let Some(index) = self.by_name.get(&entry.name).copied() else {
            let index = WorkerIndex(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
            self.by_name.insert(entry.name.clone(), index);
            let cold_until = now.after(entry.cold_remaining);
            self.workers.push(WorkerRecord {
                cold_until,
                ..WorkerRecord::new(entry)
            });
            self.log_worker_change(index, "new", now);
            self.probe(index, now);
            return;
        };
        let worker = self.worker_mut(index);
        if entry.born_unix_ms < worker.entry.born_unix_ms {
            return;
        }
        let starts_leaving = entry.leaving && !worker.entry.leaving;
        let is_relisted = !worker.listed;
        let born = entry.born_unix_ms;
        let has_restarted = born > worker.entry.born_unix_ms;
        worker.listed = true;
        if has_restarted {
            self.worker_restarted(index, born, now);
        }
        let worker = self.worker_mut(index);
        worker.cold_until = now.after(entry.cold_remaining);
        worker.entry = entry;
        let was_awaited = std::mem::take(&mut worker.awaits_entry);
        self.max_free_cpu_milli = None;
        if was_awaited {
            self.log_worker_change(index, "entry_read", now);
            self.freed_workers.push(index);
            self.place_due(now);
        }
        if starts_leaving {
            self.log_worker_change(index, "leaving", now);
        }
        if is_relisted || has_restarted {
            if is_relisted {
                self.log_worker_change(index, "listed_again", now);
            }
            self.worker_mut(index).synced = false;
            self.probe(index, now);
        }
    }

    /// Records that the platform no longer lists a worker. Its active runs are tracked until they
    /// end.
    pub fn worker_unlisted(&mut self, name: &WorkerName, now: UnixTime) {
        let Some(index) = self.by_name.get(name).copied() else {
            return;
        };
        if self.worker(index).listed {
            self.worker_mut(index).listed = false;
            self.log_worker_change(index, "unlisted", now);
        }
    }

    /// Returns the names of the listed workers.
    pub fn listed_workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers
            .iter()
            .filter(|worker| worker.listed)
            .map(|worker| &worker.entry.name)
    }

    /// Handles the restart of a worker under the same name. Runs of the previous incarnation have
    /// ended, but starts that were in flight may have reached the new one; its first report shows
    /// which.
    pub(super) fn worker_restarted(
        &mut self,
        index: WorkerIndex,
        born_unix_ms: u64,
        now: UnixTime,
    ) {
        let evidence = self.judge_restart(index, now);
        let worker = self.worker_mut(index);
        worker.lost_runs.clear();
        worker.forget_speed();
        worker.entry.born_unix_ms = born_unix_ms;
        worker.clock = ClockEstimate::default();
        worker.acknowledged = 0;
        worker.acknowledgement_sent = 0;
        worker.last_read_end = 0;
        worker.orphaned_ends.clear();
        worker.health = WorkerHealth::default();
        worker.synced = false;
        worker.refuses_connections = false;
        worker.replaced = false;
        let beside = other_runs(worker.runs.len());
        let end = IncarnationEnd { beside, evidence };
        for run in &mut worker.runs {
            run.details_mut().incarnation_end.get_or_insert(end);
        }
        self.log_worker_change(index, "reborn", now);
        self.probe(index, now);
    }

    /// Waits for the entry of a worker that has told its restart. Until it is read, its kind and
    /// capacity are not known, and it gets no task.
    pub(super) fn await_entry(&mut self, index: WorkerIndex, now: UnixTime) {
        self.worker_mut(index).awaits_entry = true;
        self.log_worker_change(index, "entry_awaited", now);
        self.actions.push(PoolAction::ReadEntries);
    }

    /// Returns the evidence that a worker crashed whose successor has answered.
    fn judge_restart(&mut self, index: WorkerIndex, now: UnixTime) -> CrashEvidence {
        let limit = self.settings.crash_notice_limit;
        let worker = self.worker_mut(index);
        worker.notice_end(limit, now);
        if worker.has_ended_suddenly {
            CrashEvidence::Restarted
        } else {
            CrashEvidence::Silent
        }
    }

    /// Handles an answer from another worker at the same address, which means that this one is
    /// gone.
    pub(super) fn worker_replaced(&mut self, index: WorkerIndex, now: UnixTime) {
        let evidence = self.judge_restart(index, now);
        let runs = self.take_runs(index);
        let worker = self.worker_mut(index);
        worker.listed = false;
        worker.replaced = true;
        self.log_worker_change(index, "replaced", now);
        self.lose_runs(index, &runs, evidence, now);
        self.place_due(now);
    }

    fn take_runs(&mut self, index: WorkerIndex) -> Vec<LiveRun> {
        let worker = self.worker_mut(index);
        let runs = std::mem::take(&mut worker.runs);
        worker.reset();
        worker.health = WorkerHealth::default();
        runs
    }
}

/// Returns whether a worker can have started at this time, in milliseconds since the Unix epoch.
pub(super) fn is_possible_start(born_unix_ms: u64, now: UnixTime) -> bool {
    born_unix_ms <= now.after(MAX_BORN_LEAD).as_millis()
}

impl WorkerRecord {
    /// Resets all state that belongs to one incarnation of the worker and one term of the leader.
    fn reset(&mut self) {
        self.epoch += 1;
        self.synced = false;
        self.fenced = false;
        self.record_answer(UnixTime::default());
        self.replaced = false;
        self.clock = ClockEstimate::default();
        self.acknowledged = 0;
        self.acknowledgement_sent = 0;
        self.last_read_end = 0;
        self.orphaned_ends.clear();
        self.lost_runs.clear();
        self.forget_speed();
        self.runs.clear();
        self.allocated = crate::resources::TaskResources::default();
        self.lease_limit = UnixTime::NEVER;
        self.poll_in_flight = false;
        self.poll_sent_at = UnixTime::default();
        self.poll_overdue_at = UnixTime::default();
        self.missed_polls = 0;
        self.retrying_probe = false;
        self.next_poll_at = UnixTime::default();
        self.next_probe_at = UnixTime::default();
        self.report_requested_at = UnixTime::default();
        self.latest_answered_call = UnixTime::default();
        self.last_end_at = UnixTime::default();
    }
}
