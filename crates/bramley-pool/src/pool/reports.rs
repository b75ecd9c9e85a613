//! Answers and reports of workers.

use bramley_core::units::UnixTime;

use super::fleet::is_possible_start;
use super::placement::report_age;
use super::{Pool, PoolAction};
use crate::decision::Decision;
use crate::exposure::RunExposure;
use crate::job::{JobName, TaskName, TaskState};
use crate::message::{JobOutcome, PoolMessage};
use crate::resources::TaskResources;
use crate::run::{LiveRun, Run, RunDetails, StopCause};
use crate::worker::{
    CallAnswer, CallRefusal, EndedRun, RunEnd, WorkerCall, WorkerIndex, WorkerReport, WorkerRequest,
};

impl Pool {
    /// Handles the result of a call to a worker.
    pub fn handle_worker_answer(&mut self, call: &WorkerCall, answer: CallAnswer, now: UnixTime) {
        let known = self.workers.get(call.worker.0 as usize);
        let is_current = known.is_some_and(|worker| worker.epoch == call.epoch);
        if self.token.is_none() || !is_current {
            return;
        }
        let is_answered = matches!(answer, CallAnswer::Accepted(_) | CallAnswer::Refused(..));
        self.record_reachability(call.worker, &answer, now);
        if is_answered && !matches!(call.request, WorkerRequest::Poll { .. }) {
            self.latest_answered_call = self.latest_answered_call.max(call.sent_at);
            let worker = self.worker_mut(call.worker);
            worker.latest_answered_call = worker.latest_answered_call.max(call.sent_at);
        }
        let max_lease = self.settings.max_lease;
        if let CallAnswer::Accepted(clock) | CallAnswer::Refused(_, Some(clock)) = &answer {
            self.worker_mut(call.worker)
                .clock
                .observe(*clock, now, max_lease);
        }
        if let CallAnswer::Refused(refusal, _) = &answer {
            match refusal {
                // A refusal of a call from an earlier term does not concern the current one.
                CallRefusal::Fenced if self.token == Some(call.token) => {
                    self.lose_leadership(call.worker, now);
                    return;
                }
                CallRefusal::OtherIncarnation => {
                    self.worker_replaced(call.worker, now);
                    return;
                }
                _ => {}
            }
        }
        match &call.request {
            WorkerRequest::Start { task, number, .. } => {
                let is_lost = matches!(answer, CallAnswer::Unanswered);
                self.answer_time
                    .observe((!is_lost).then(|| now.since(call.sent_at)));
                self.start_answered(call.worker, task, *number, &answer, now);
            }
            WorkerRequest::Stop { task, number } => {
                self.stop_answered(call.worker, task, *number, &answer, now);
            }
            WorkerRequest::Poll { wait, .. } => {
                let worker = self.worker_mut(call.worker);
                if !wait.is_zero() && worker.poll_sent_at == call.sent_at {
                    worker.poll_in_flight = false;
                }
                self.poll_answered(call, answer, now);
            }
        }
        self.place_due(now);
    }

    /// Records whether the worker's process is alive, as far as the result of a call shows it.
    fn record_reachability(&mut self, index: WorkerIndex, answer: &CallAnswer, now: UnixTime) {
        let limit = self.settings.crash_notice_limit;
        let worker = self.worker_mut(index);
        match answer {
            // After a silence, only a report tells whether the same incarnation has answered.
            CallAnswer::Accepted(_) if worker.missed_polls == 0 => worker.record_answer(now),
            CallAnswer::ConnectionRefused => {
                worker.notice_end(limit, now);
                worker.refuses_connections = true;
            }
            CallAnswer::Accepted(_)
            | CallAnswer::Report(_)
            | CallAnswer::Refused(..)
            | CallAnswer::NotSent
            | CallAnswer::Unanswered => {}
        }
    }

    fn stop_answered(
        &mut self,
        index: WorkerIndex,
        task: &TaskName,
        number: u32,
        answer: &CallAnswer,
        now: UnixTime,
    ) {
        let worker = self.worker_mut(index);
        let Some(position) = worker.find_run(task, number) else {
            return;
        };
        if let (CallAnswer::Accepted(_), LiveRun::Stopping(run)) =
            (answer, &mut worker.runs[position])
        {
            run.phase.answered_at.get_or_insert(now);
        }
    }

    fn poll_answered(&mut self, call: &WorkerCall, answer: CallAnswer, now: UnixTime) {
        match answer {
            CallAnswer::Report(report) => {
                let is_of_this_term = self.token == Some(call.token);
                self.read_report(call.worker, &report, call.sent_at, is_of_this_term, now);
                self.poll_if_needed(call.worker, now);
            }
            CallAnswer::Accepted(_)
            | CallAnswer::Refused(..)
            | CallAnswer::ConnectionRefused
            | CallAnswer::NotSent
            | CallAnswer::Unanswered => self.poll_missed(call.worker, call.sent_at, now),
        }
    }

    /// Applies a report. One that an earlier term has requested does not tell what another leader may
    /// have started before this term, so the worker's runs stay unread.
    fn read_report(
        &mut self,
        index: WorkerIndex,
        report: &WorkerReport,
        requested_at: UnixTime,
        is_of_this_term: bool,
        now: UnixTime,
    ) {
        if let Some(born) = report.born_unix_ms {
            if !is_possible_start(born, now) {
                self.log_worker_change(index, "start_impossible", now);
                self.poll_missed(index, requested_at, now);
                return;
            }
            let known = self.worker(index).entry.born_unix_ms;
            if born < known {
                return;
            }
            if born > known {
                self.worker_restarted(index, born, now);
                self.await_entry(index, now);
            }
        }
        let max_lease = self.settings.max_lease;
        if self.is_poll_overdue(index, now) {
            // The worker answers, so the answer to the overdue poll was lost; allow a new poll.
            self.worker_mut(index).poll_in_flight = false;
        }
        let worker = self.worker_mut(index);
        let was_synced = worker.synced;
        let is_newest = requested_at >= worker.report_requested_at;
        let may_have_unknown_runs = !was_synced || requested_at > worker.last_end_at;
        worker.clock.observe(report.clock, now, max_lease);
        worker.report_requested_at = worker.report_requested_at.max(requested_at);
        worker.missed_polls = 0;
        worker.retrying_probe = false;
        worker.record_answer(now);
        worker.synced |= is_of_this_term;
        let has_survived = report.born_unix_ms == Some(worker.entry.born_unix_ms)
            && worker
                .lost_runs
                .iter()
                .any(|lost| lost.lost_at < requested_at);
        if has_survived {
            self.clear_lost_runs(index, now);
        }
        self.read_ends(index, &report.ended, now);
        if is_newest && may_have_unknown_runs {
            self.read_active(index, report, now);
        }
        self.drop_missing_runs(index, report, requested_at, now);
        if !was_synced && is_of_this_term {
            self.freed_workers.push(index);
            self.log_worker_change(index, "synced", now);
        }
    }

    fn read_ends(&mut self, index: WorkerIndex, ended: &[EndedRun], now: UnixTime) {
        for end in ended {
            let worker = self.worker_mut(index);
            if end.position <= worker.acknowledged
                || worker
                    .orphaned_ends
                    .iter()
                    .any(|other| other.position == end.position)
            {
                continue;
            }
            if let Some(position) = worker.find_run(&end.task, end.number) {
                let run = worker.remove_run(position);
                self.handle_run_end(index, run.details(), Some(end.end), now);
            } else if self.jobs.contains_key(&end.task.job) {
                self.adopt_end(end);
                if self
                    .jobs
                    .get(&end.task.job)
                    .is_some_and(|job| job.unfinished == 0)
                {
                    self.complete(&end.task.job, now);
                }
            } else if self.orphaned_ends_kept_until > now {
                self.worker_mut(index).orphaned_ends.push(end.clone());
            }
            let worker = self.worker_mut(index);
            worker.last_read_end = worker.last_read_end.max(end.position);
        }
        self.worker_mut(index).acknowledge_ends();
    }

    /// Applies the end of a run that is not tracked here, because an earlier pool started it or its
    /// lease was assumed to have expired.
    fn adopt_end(&mut self, end: &EndedRun) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        task.last_number = task.last_number.max(end.number);
        if end.end != RunEnd::Done || task.state != TaskState::Waiting {
            return;
        }
        task.state = TaskState::Done;
        job.waiting -= 1;
        job.unfinished -= 1;
        let relay = job.relay;
        self.update_queued(&end.task.job);
        let message = PoolMessage::TaskDone {
            job: end.task.job.clone(),
            index: end.task.index,
        };
        self.send(relay, message);
    }

    /// Applies the orphaned ends of a job that a relay has just submitted.
    pub(super) fn adopt_orphaned_ends(&mut self, name: &JobName) {
        for index in self.indices() {
            let worker = self.worker_mut(index);
            let (adopted, others): (Vec<_>, Vec<_>) = std::mem::take(&mut worker.orphaned_ends)
                .into_iter()
                .partition(|end| end.task.job == *name);
            worker.orphaned_ends = others;
            worker.acknowledge_ends();
            for end in &adopted {
                self.adopt_end(end);
            }
        }
    }

    fn read_active(&mut self, index: WorkerIndex, report: &WorkerReport, now: UnixTime) {
        for active in &report.active {
            let worker = self.worker_mut(index);
            if let Some(position) = worker.find_run(&active.task, active.number) {
                let run = worker.runs[position].clone();
                worker.runs[position] = run.confirmed(now);
                // A start that was in flight when the worker crashed has reached its next
                // incarnation.
                let born_unix_ms = worker.entry.born_unix_ms;
                let details = worker.runs[position].details_mut();
                details.born_unix_ms = born_unix_ms;
                details.incarnation_end = None;
                continue;
            }
            self.add_unknown_run(index, active.task.clone(), active.number, now);
        }
    }

    fn add_unknown_run(&mut self, index: WorkerIndex, task: TaskName, number: u32, now: UnixTime) {
        let entry = &self.worker(index).entry;
        let (capacity, born_unix_ms) = (entry.capacity, entry.born_unix_ms);
        let mut details = RunDetails {
            task: task.clone(),
            number,
            resources: TaskResources {
                cpu_milli: capacity.cpu_milli / 2,
                ..TaskResources::default()
            },
            is_sized: false,
            started_at: now,
            expected: self.run_times.overall_mean(),
            needed: false,
            resent: false,
            is_confirmed: false,
            end_by: self.orphan_end_by(now),
            pending_starts: 0,
            born_unix_ms,
            incarnation_end: None,
            exposure: RunExposure::unknown(),
        };
        let mut duplicate = false;
        if let Some(job) = self.jobs.get_mut(&task.job)
            && task.is_single_step()
            && (task.index as usize) < job.tasks.len()
        {
            let position = task.index as usize;
            details.resources = job.resources_on(&self.workers[index.0 as usize], position);
            details.is_sized = true;
            let record = &mut job.tasks[position];
            record.last_number = record.last_number.max(number);
            if record.state == TaskState::Waiting {
                record.state = TaskState::Placed(index);
                record.placed_number = number;
                job.waiting -= 1;
                job.may_have_started = true;
                details.expected = job.expected;
                details.needed = true;
                details.end_by = UnixTime::NEVER;
                self.counts.runs_adopted += 1;
            } else {
                duplicate = true;
            }
        }
        if details.needed {
            self.update_queued(&task.job);
        } else {
            self.remember_started(&task.job, now);
        }
        let stop_now = duplicate || (!details.needed && self.orphans_kept_until() <= now);
        let worker = self.worker_mut(index);
        let position = worker.runs.len();
        worker.add_run(LiveRun::Starting(Run::new(details)).confirmed(now));
        if stop_now {
            self.stop_run(index, position, StopCause::Orphaned, now);
        }
    }

    /// Ends runs that are missing from a report that was requested after the worker had confirmed
    /// them or, for runs being stopped, had acknowledged the stop.
    fn drop_missing_runs(
        &mut self,
        index: WorkerIndex,
        report: &WorkerReport,
        requested_at: UnixTime,
        now: UnixTime,
    ) {
        let mut position = 0;
        while let Some(run) = self.worker(index).runs.get(position) {
            let known_at = match run {
                LiveRun::Starting(_) => None,
                LiveRun::Running(run) => Some(run.phase.confirmed_at),
                LiveRun::Stopping(run) => run.phase.answered_at,
            };
            let details = run.details();
            let is_listed = report
                .active
                .iter()
                .any(|active| active.number == details.number && active.task == details.task);
            if is_listed || known_at.is_none_or(|known| known >= requested_at) {
                position += 1;
                continue;
            }
            let run = self.worker_mut(index).remove_run(position);
            match run.details().incarnation_end {
                Some(end) => self.lose_run(index, run.details(), end, now),
                None => self.handle_run_end(index, run.details(), None, now),
            }
        }
    }

    /// Handles the end of a run; `end` is `None` if the run is known not to exist on the worker.
    pub(super) fn handle_run_end(
        &mut self,
        index: WorkerIndex,
        details: &RunDetails,
        end: Option<RunEnd>,
        now: UnixTime,
    ) {
        self.freed_workers.push(index);
        let ran = now.since(details.started_at);
        let exposure = self.end_exposure(index, details, end, now);
        let worker = self.worker_mut(index);
        worker.last_end_at = now;
        let decision = Decision::RunEnded {
            task: details.task.clone(),
            number: details.number,
            worker: worker.entry.name.clone(),
            end,
            ran,
        };
        self.log(decision);
        match end {
            Some(RunEnd::Done) => {
                self.counts.runs_done += 1;
                let stretch = self.observe_neighbours(index, details, &exposure, now);
                self.record_success(index, details, stretch, now);
            }
            Some(RunEnd::Failed) => {
                self.counts.runs_failed += 1;
                self.worker_mut(index).health.last_failure_at = now;
            }
            Some(RunEnd::LeaseEnded) => self.counts.runs_expired += 1,
            Some(RunEnd::Stopped | RunEnd::GroupBroken | RunEnd::GroupMissing) | None => {}
        }
        let Some(job) = self.jobs.get_mut(&details.task.job) else {
            if end == Some(RunEnd::Failed) {
                self.record_fault(index, now);
            }
            self.remember_started(&details.task.job, now);
            return;
        };
        let Some(task) = job.tasks.get_mut(details.task.index as usize) else {
            return;
        };
        if task.state != TaskState::Placed(index) || task.placed_number != details.number {
            return;
        }
        if end == Some(RunEnd::Done) {
            task.state = TaskState::Done;
            job.unfinished -= 1;
            let (relay, is_split) = (job.relay, job.is_split);
            let is_complete = job.unfinished == 0;
            let message = PoolMessage::TaskDone {
                job: details.task.job.clone(),
                index: details.task.index,
            };
            if !is_complete || is_split {
                self.send(relay, message);
            }
            if is_complete {
                self.complete(&details.task.job, now);
            }
            return;
        }
        task.state = TaskState::Waiting;
        task.avoided = Some(index);
        job.waiting += 1;
        if end == Some(RunEnd::Failed) {
            task.failures += 1;
            let failures: u32 = job.tasks.iter().map(|task| task.failures).sum();
            let failures_of_task = job.tasks[details.task.index as usize].failures;
            let attempts = job.submission.policy.attempts.max(1);
            // Further failures of one job point to the job rather than to the workers.
            if failures == 1 {
                self.record_fault(index, now);
            }
            if failures_of_task >= attempts {
                self.finish(&details.task.job, JobOutcome::Failed, now);
                return;
            }
        }
        if self.close_if_barred(&details.task.job, details.task.index, now) {
            return;
        }
        self.enqueue(&details.task.job);
    }

    pub(super) fn log_worker_change(
        &mut self,
        index: WorkerIndex,
        belief: &'static str,
        now: UnixTime,
    ) {
        self.summary.invalidate();
        self.max_free_cpu_milli = None;
        let worker = self.worker(index);
        let decision = Decision::WorkerChanged {
            worker: worker.entry.name.clone(),
            belief,
            runs: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
            born_unix_ms: worker.entry.born_unix_ms,
            report_age: (worker.report_requested_at > UnixTime::default())
                .then(|| report_age(worker, now)),
        };
        self.log(decision);
    }

    fn lose_leadership(&mut self, index: WorkerIndex, now: UnixTime) {
        self.log_worker_change(index, "commanded_elsewhere", now);
        self.step_down(now);
        self.actions.push(PoolAction::LostLeadership);
    }
}
