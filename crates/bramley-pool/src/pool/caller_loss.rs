//! Runs whose callers may have lost their host, and when these have to end.
//!
//! A caller whose connection has ended resends its job after `caller_resend_delay`, possibly to
//! another failure domain, whose pool knows nothing of the first runs. Each such run therefore has a
//! time by which it has to have ended, counted from the earliest time at which its caller may have
//! been lost. It is stopped well before; if the stop fails, or the leader with it, the lease of its
//! worker ends then, because no leader extends it further.
//!
//! The loss may have happened under an earlier leader. Leaders publish its time with their
//! heartbeats, and relays report it to the next leader.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use crate::decision::Decision;
use crate::job::{JobName, TaskState};
use crate::worker::{WorkerIndex, min_elapsed};

impl Pool {
    /// Records that callers of runs of an earlier leader may have lost their host at `lost_at`, as
    /// reported by a relay.
    pub fn observe_caller_loss(&mut self, lost_at: UnixTime, now: UnixTime) {
        if self.token.is_none() {
            return;
        }
        // A lease is only extended beyond the limits of such runs if all callers on the worker are
        // connected. What still runs after the limits has had a caller at its last extension.
        let is_over = now >= lost_at.after(self.settings.caller_resend_delay);
        let lost_at = if is_over {
            now.before(self.settings.max_lease)
        } else {
            lost_at
        };
        if lost_at >= self.callers_lost_at {
            return;
        }
        self.callers_lost_at = lost_at;
        let end_by = self.orphan_end_by(now);
        for worker in &mut self.workers {
            for position in 0..worker.runs.len() {
                let details = worker.runs[position].details();
                if !details.needed && details.end_by > end_by {
                    worker.limit_run(position, end_by);
                }
            }
        }
    }

    /// Returns the earliest time at which callers of runs that have not ended may have lost their
    /// host; `None` if all callers are connected as far as is known.
    #[must_use]
    pub fn callers_lost_at(&self, now: UnixTime) -> Option<UnixTime> {
        self.token?;
        let limits = self.workers.iter().map(|worker| worker.lease_limit);
        let limited = limits
            .filter(|limit| *limit < UnixTime::NEVER)
            .min()
            .map(|limit| limit.before(self.settings.caller_resend_delay));
        let unread = (!self.has_settled(now)).then_some(self.callers_lost_at);
        limited.into_iter().chain(unread).min()
    }

    /// Returns whether all runs of earlier leaders are known here or have ended.
    fn has_settled(&self, now: UnixTime) -> bool {
        let window = self.settings.caller_resend_delay;
        if now >= self.callers_lost_at.after(window) {
            return true;
        }
        let mut listed = self.workers.iter().filter(|worker| worker.listed);
        let is_read = !self.awaits_list && listed.all(|worker| worker.synced);
        is_read && now >= self.orphans_kept_until()
    }

    /// Returns the time from which runs that no relay has adopted are stopped.
    pub(super) fn orphans_kept_until(&self) -> UnixTime {
        let settings = &self.settings;
        let usable = settings
            .caller_resend_delay
            .saturating_sub(settings.stop_allowance);
        let latest = self.leader_since.after(settings.orphaned_run_timeout);
        let earliest = self.leader_since.after(settings.min_adoption_time);
        let kept_until = self.callers_lost_at.after(usable).clamp(earliest, latest);
        let all_resumed_at = self.membership.all_resumed_at();
        all_resumed_at.map_or(kept_until, |resumed_at| kept_until.min(resumed_at))
    }

    /// Ends the wait for relays to adopt runs of earlier leaders once it is over.
    pub(super) fn end_adoption(&mut self, now: UnixTime) {
        if !self.membership.is_adopting() || self.orphans_kept_until() > now {
            return;
        }
        let reason = match self.membership.all_resumed_at() {
            Some(_) => "all_relays_resumed",
            None => "time_over",
        };
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        let orphans = runs.filter(|run| !run.details().needed).count();
        let text = format!(
            "event=adoption_ended reason={reason} after_ms={} callers_lost_ms_ago={} \
             relays_missing={} orphans={orphans}",
            now.since(self.leader_since).as_millis(),
            now.since(self.callers_lost_at).as_millis(),
            self.membership.missing(),
        );
        self.log(Decision::Text { job: None, text });
        self.membership.end_adoption();
    }

    /// Returns the time by which a run has to have ended that is discovered now and that no relay
    /// has adopted.
    pub(super) fn orphan_end_by(&self, now: UnixTime) -> UnixTime {
        let end_by = self
            .callers_lost_at
            .after(self.settings.caller_resend_delay);
        if end_by > now {
            end_by
        } else {
            // A start that was carried out late. It is stopped as soon as it is discovered.
            now.after(self.settings.stop_allowance)
        }
    }

    /// Sets the time by which the runs of a job have to have ended.
    pub(super) fn limit_runs_of(&mut self, name: &JobName, end_by: UnixTime) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        for task in &job.tasks {
            let TaskState::Placed(WorkerIndex(index)) = task.state else {
                continue;
            };
            let worker = &mut self.workers[index as usize];
            for position in 0..worker.runs.len() {
                if worker.runs[position].details().task.job == *name {
                    worker.limit_run(position, end_by);
                }
            }
        }
    }

    /// Lifts the limits of the runs of a job whose caller is connected again. Workers whose lease was
    /// limited by them can be assigned tasks again.
    pub(super) fn lift_run_limits_of(&mut self, name: &JobName) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        for task in &job.tasks {
            let TaskState::Placed(index) = task.state else {
                continue;
            };
            let worker = &mut self.workers[index.0 as usize];
            for position in 0..worker.runs.len() {
                let details = worker.runs[position].details();
                if details.task.job == *name && details.end_by < UnixTime::NEVER {
                    worker.limit_run(position, UnixTime::NEVER);
                    self.freed_workers.push(index);
                }
            }
        }
    }

    /// Returns whether a task can be started on a worker although runs there have to end soon.
    pub(super) fn has_start_lease(&self, limit: UnixTime, now: UnixTime) -> bool {
        limit.since(now) >= self.settings.min_start_lease
    }

    /// Returns the length of the run lease that may be granted on a worker now. It does not outlast the
    /// time by which one of the worker's runs has to have ended, nor `caller_resend_delay` after the last
    /// message of a relay of such a run: its callers may have lost their host then, and this pool may
    /// not be able to stop the run. A clock that runs slow does not carry the lease beyond that.
    pub(super) fn allowed_lease(&self, index: WorkerIndex, now: UnixTime) -> Duration {
        let worker = self.worker(index);
        let relays = worker.runs.iter().filter_map(|run| {
            let job = self.jobs.get(&run.details().task.job)?;
            job.relay
        });
        let heard_at = relays.filter_map(|relay| self.membership.heard_at(relay));
        let resend_delay = self.settings.caller_resend_delay;
        let silence_limit = heard_at.min().map(|heard_at| heard_at.after(resend_delay));
        let limit = silence_limit.map_or(worker.lease_limit, |limit| limit.min(worker.lease_limit));
        min_elapsed(limit.since(now), self.settings.clock_error_permille)
            .min(self.settings.run_lease)
    }

    /// Handles time that the process's clock did not count, because its host was suspended.
    pub fn clock_skipped(&mut self, span: Duration) {
        self.membership.clock_skipped(span);
        self.callers_lost_at = self.callers_lost_at.before(span);
        for worker in &mut self.workers {
            for position in 0..worker.runs.len() {
                let end_by = worker.runs[position].details().end_by;
                if end_by < UnixTime::NEVER {
                    worker.limit_run(position, end_by.before(span));
                }
            }
        }
    }
}
