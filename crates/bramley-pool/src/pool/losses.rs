//! Runs that are lost together with their worker, and tasks that are to blame for it.

use bramley_core::units::UnixTime;

use super::{Pool, PoolAction};
use crate::crash::{CrashEvidence, CrashHistory, Suspicion, TaskCrash};
use crate::decision::Decision;
use crate::job::{JobName, TaskName, TaskState};
use crate::message::{JobOutcome, PoolMessage, TaskPlacement};
use crate::refusal::Refusal;
use crate::run::{IncarnationEnd, LiveRun, RunDetails};
use crate::worker::{LostRun, RunEnd, WorkerIndex};

/// Workers lost under a task from which all relays are told, because the client may send the job
/// again at any of them.
const LOSSES_TO_BROADCAST: usize = 2;

impl Pool {
    /// Ends all runs that a worker had when it was lost.
    pub(super) fn lose_runs(
        &mut self,
        index: WorkerIndex,
        runs: &[LiveRun],
        evidence: CrashEvidence,
        now: UnixTime,
    ) {
        let beside = other_runs(runs.len());
        let seen = IncarnationEnd { beside, evidence };
        for run in runs {
            let details = run.details();
            let end = details.incarnation_end.unwrap_or(seen);
            self.lose_run(index, details, end, now);
        }
    }

    /// Ends a run that was lost with its worker.
    pub(super) fn lose_run(
        &mut self,
        index: WorkerIndex,
        details: &RunDetails,
        end: IncarnationEnd,
        now: UnixTime,
    ) {
        let IncarnationEnd { beside, evidence } = end;
        // A worker may have crashed before it started what it has not confirmed.
        let evidence = if details.is_confirmed {
            evidence
        } else {
            evidence.min(CrashEvidence::Silent)
        };
        let worker = self.worker_mut(index);
        let crash = TaskCrash {
            index: details.task.index,
            worker: worker.entry.name.clone(),
            born_unix_ms: details.born_unix_ms,
            number: details.number,
            alone: beside == 0,
            evidence,
        };
        let decision = Decision::RunLost {
            task: details.task.clone(),
            number: details.number,
            worker: crash.worker.clone(),
            born_unix_ms: crash.born_unix_ms,
            evidence,
            beside,
            ran: now.since(details.started_at),
        };
        // A leaving worker ends with its runs without a crash.
        let may_be_crash = !worker.entry.leaving && details.task.is_single_step();
        let may_have_survived = crash.born_unix_ms == worker.entry.born_unix_ms && !worker.replaced;
        if may_be_crash && may_have_survived {
            worker.lost_runs.push(LostRun {
                job: details.task.job.clone(),
                crash: crash.clone(),
                lost_at: now,
            });
        }
        self.log(decision);
        if may_be_crash {
            self.record_crash(&details.task.job, crash, now);
        }
        self.handle_run_end(index, details, Some(RunEnd::LeaseEnded), now);
    }

    /// Clears the tasks whose runs were lost with a worker that has turned out to have survived.
    pub(super) fn clear_lost_runs(&mut self, index: WorkerIndex, now: UnixTime) {
        for lost in std::mem::take(&mut self.worker_mut(index).lost_runs) {
            let crash = TaskCrash {
                evidence: CrashEvidence::Survived,
                ..lost.crash
            };
            self.record_crash(&lost.job, crash, now);
        }
    }

    /// Records a possible crash under a task and tells relays of it.
    fn record_crash(&mut self, job: &JobName, crash: TaskCrash, now: UnixTime) {
        if !self.remember_crash(job, crash.clone(), now) {
            return;
        }
        let Some(history) = self.crashes.history(job) else {
            return;
        };
        let crashes = history.possible_crashes(crash.index).count();
        let decision = Decision::CrashRecorded {
            task: TaskName::single_step(job.clone(), crash.index),
            worker: crash.worker.clone(),
            evidence: crash.evidence,
            alone: crash.alone,
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            suspicion: history.suspicion(crash.index),
        };
        self.log(decision);
        self.share_crash(job, crash);
    }

    /// Tells relays of a loss, so that it counts wherever the job is submitted next.
    fn share_crash(&mut self, job: &JobName, crash: TaskCrash) {
        let relay = self.jobs.get(job).and_then(|job| job.relay);
        let message = |crash: TaskCrash| PoolMessage::TaskCrashed {
            job: job.clone(),
            crash,
        };
        let history = self.crashes.history(job).into_iter();
        let losses: Vec<TaskCrash> = history
            .flat_map(CrashHistory::iter)
            .filter(|loss| loss.index == crash.index)
            .cloned()
            .collect();
        if losses.len() >= LOSSES_TO_BROADCAST {
            // Earlier losses may be known to the job's relay only.
            for loss in losses {
                self.actions.push(PoolAction::Broadcast(message(loss)));
            }
        } else if relay.is_some() {
            self.send(relay, message(crash));
        } else if crash.evidence > CrashEvidence::Silent {
            self.actions.push(PoolAction::Broadcast(message(crash)));
        }
    }

    /// Records a possible crash and judges the task anew. Returns whether anything is new.
    fn remember_crash(&mut self, job: &JobName, crash: TaskCrash, now: UnixTime) -> bool {
        let index = crash.index;
        let retention = self.settings.crash_retention;
        let is_new = self.crashes.record(job, crash, retention, now);
        let suspicion = self
            .crashes
            .history(job)
            .map(|history| history.suspicion(index))
            .unwrap_or_default();
        let record = self.jobs.get_mut(job);
        if let Some(task) = record.and_then(|job| job.tasks.get_mut(index as usize)) {
            task.suspicion = suspicion;
        }
        is_new
    }

    /// Adds the crashes that a relay knows of to those known here.
    pub(super) fn remember_crashes(
        &mut self,
        job: &JobName,
        history: &CrashHistory,
        now: UnixTime,
    ) {
        for crash in history.iter() {
            self.remember_crash(job, crash.clone(), now);
        }
    }

    /// Records a possible crash under a task that an earlier leader started on a worker that has
    /// been lost since. To be called before the task is started again.
    pub(super) fn judge_earlier_placement(
        &mut self,
        name: &JobName,
        position: usize,
        now: UnixTime,
    ) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let placements = &mut job.submission.placements;
        let found = placements
            .iter()
            .position(|placement| placement.index as usize == position);
        let Some(placement) = found.map(|found| placements.swap_remove(found)) else {
            return;
        };
        if self.has_lost_worker_of(&placement) {
            let crash = TaskCrash {
                index: placement.index,
                worker: placement.worker,
                born_unix_ms: placement.born_unix_ms,
                number: 0,
                // What ran beside it is not known.
                alone: false,
                evidence: CrashEvidence::Missing,
            };
            self.record_crash(name, crash, now);
        }
    }

    /// Returns whether a worker may have crashed since it was assigned a task: the incarnation of
    /// then has not reported without the task, and it is not leaving. A crashed worker may have
    /// come back under another name, so one that is not listed counts as well.
    fn has_lost_worker_of(&self, placement: &TaskPlacement) -> bool {
        let Some(index) = self.by_name.get(&placement.worker) else {
            return true;
        };
        let worker = self.worker(*index);
        let has_restarted = worker.entry.born_unix_ms > placement.born_unix_ms || worker.replaced;
        !worker.entry.leaving && (has_restarted || !worker.synced)
    }

    /// Closes a job if any of its waiting tasks must not be started. Returns whether it was closed.
    pub(super) fn close_if_any_barred(&mut self, name: &JobName, now: UnixTime) -> bool {
        let tasks = self.jobs.get(name).map_or(0, |job| job.tasks.len());
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        (0..tasks).any(|index| self.close_if_barred(name, index, now))
    }

    /// Closes a job if the task waits and must not be started. The job of a convicted task has
    /// failed. The outcome of one that is held back is unknown: its client may send the job again,
    /// and it is served if the workers turn out to have survived by then. Returns whether the job
    /// was closed.
    pub(super) fn close_if_barred(&mut self, name: &JobName, index: u32, now: UnixTime) -> bool {
        let Some(job) = self.jobs.get(name) else {
            return false;
        };
        let Some(task) = job.tasks.get(index as usize) else {
            return false;
        };
        let outcome = match task.suspicion {
            Suspicion::Unsuspected | Suspicion::Suspected => return false,
            Suspicion::Held => JobOutcome::Refused(Refusal::Unknown),
            Suspicion::Convicted => JobOutcome::Failed,
        };
        if task.state != TaskState::Waiting {
            return false;
        }
        let suspicion = task.suspicion;
        let crashes = self.crashes.history(name).map_or_else(Vec::new, |history| {
            history.possible_crashes(index).cloned().collect()
        });
        let decision = Decision::TaskGivenUp {
            task: TaskName::single_step(name.clone(), index),
            suspicion,
            crashes,
            age: now.since(job.submission.arrived_at),
        };
        self.log(decision);
        self.finish(name, outcome, now);
        true
    }
}

/// Returns how many other runs each of `runs` runs has beside it.
pub(super) fn other_runs(runs: usize) -> u32 {
    u32::try_from(runs.saturating_sub(1)).unwrap_or(u32::MAX)
}
