//! Submission, adoption, completion and cancellation of jobs.

use std::time::Duration;

use bramley_core::units::UnixTime;

use super::Pool;
use crate::crash::Suspicion;
use crate::decision::Decision;
use crate::job::{JobName, JobRecord, JobSubmission, QueueClass, TaskRecord, TaskState};
use crate::message::{JobOutcome, PoolMessage, RelayId, RelayMessage, TaskPlacement};
use crate::refusal::Refusal;
use crate::run::StopCause;
use crate::worker::WorkerIndex;

impl Pool {
    /// Handles a message of a relay.
    pub fn handle_relay_message(&mut self, relay: RelayId, message: RelayMessage, now: UnixTime) {
        match message {
            RelayMessage::Submit(submission) => self.submit(relay, *submission, now),
            RelayMessage::Resumed => self.membership.relay_resumed(relay, now),
            RelayMessage::Waiting(waiting) => self.waiting_published(relay, waiting, now),
            RelayMessage::Cancel(job) => {
                if self
                    .jobs
                    .get(&job)
                    .is_some_and(|record| record.relay == Some(relay))
                {
                    self.cancel(&job, "caller_left", now);
                }
            }
        }
    }

    /// Records the loss of the connection to a relay whose last message arrived at
    /// `last_message_at`; its jobs are cancelled unless it reconnects in time. Its callers may have
    /// lost their host at any time since that message.
    pub fn relay_lost(&mut self, relay: RelayId, last_message_at: UnixTime, now: UnixTime) {
        self.shares.relay_lost(relay);
        self.stealing.relay_lost(relay);
        let abandoned_at = now.after(self.settings.relay_grace);
        self.membership.relay_lost(relay, abandoned_at);
        let mut names = Vec::new();
        for (name, job) in &mut self.jobs {
            if job.relay == Some(relay) {
                job.relay = None;
                job.abandoned_at = abandoned_at;
                names.push(name.clone());
            }
        }
        let end_by = last_message_at.after(self.settings.caller_resend_delay);
        for name in names {
            self.limit_runs_of(&name, end_by);
        }
    }

    fn submit(&mut self, relay: RelayId, submission: JobSubmission, now: UnixTime) {
        let name = submission.work.job.clone();
        self.count_arrived_part(&submission.part);
        if let Some(job) = self.jobs.get_mut(&name) {
            let former_relay = job.relay.filter(|known| *known != relay);
            if job.is_split && former_relay.is_some() {
                // Only the relay that has split the job knows where its other tasks run.
                self.refuse_unread(relay, name, Refusal::Unknown);
                return;
            }
            job.relay = Some(relay);
            job.submission.deadline = submission.deadline;
            job.submission.resumed |= submission.resumed;
            job.submission.placements = submission.placements;
            job.submission.earlier_workers = submission.earlier_workers;
            let ended_by = &mut job.submission.earlier_runs_end_by;
            *ended_by = submission.earlier_runs_end_by.max(*ended_by);
            if let Some(former_relay) = former_relay {
                self.dismiss_relay(former_relay, relay, &name);
            }
            self.lift_run_limits_of(&name);
            self.apply_done_tasks(&name, &submission.done, now);
            self.assign_part(&name, &submission.part);
            self.remember_crashes(&name, &submission.crashes, now);
            if self.close_if_any_barred(&name, now) {
                return;
            }
            let Some(job) = self.jobs.get(&name) else {
                return;
            };
            let job_is_done = job.unfinished == 0;
            let done: Vec<u32> = job.done_tasks().collect();
            self.report_progress(relay, &name, &done);
            if job_is_done {
                self.complete(&name, now);
                return;
            }
            self.enqueue(&name);
            self.place_due(now);
            return;
        }
        if self.token.is_none() {
            self.refuse_unread(relay, name, Refusal::NoPool);
            return;
        }
        if !submission.is_valid() {
            let text = format!(
                "event=job_refused job={name} reason=malformed tasks={} stretch_factor={} \
                 target_ms={} declared_ms={}",
                submission.work.tasks,
                submission.policy.stretch_factor,
                submission.policy.target.as_millis(),
                submission.work.declared.as_millis(),
            );
            let job = Some(name.as_str().into());
            self.log(Decision::Text { job, text });
            self.refuse_unread(relay, name, Refusal::Malformed);
            return;
        }
        self.update_contention(now);
        if !submission.part.is_empty() && !submission.resumed {
            self.submit_part(relay, submission, now);
            return;
        }
        if self.is_surely_new(&submission, now) {
            self.submit_new(relay, submission, now);
            return;
        }
        self.remember_crashes(&name, &submission.crashes, now);
        self.probe_earlier_workers(&submission, now);
        let mut job = self.make_record(relay, submission, now);
        self.add_tasks(&mut job);
        job.route = self.track_route(&job.submission.policy);
        let adopted = self.adopt_runs(&name, job, now);
        if self.close_if_any_barred(&name, now) {
            return;
        }
        let Some(job) = self.jobs.get(&name) else {
            return;
        };
        let done = job.tasks.len() - job.unfinished as usize;
        if job.unfinished == 0 {
            if job.is_split {
                let tasks: Vec<u32> = job.done_tasks().collect();
                self.report_progress(relay, &name, &tasks);
            }
            self.complete(&name, now);
            return;
        }
        if job.may_have_started || done > 0 {
            let decision = Decision::JobResumed {
                job: name.clone(),
                done: u32::try_from(done).unwrap_or(u32::MAX),
                adopted,
            };
            let tasks: Vec<u32> = job.done_tasks().collect();
            self.log(decision);
            self.report_progress(relay, &name, &tasks);
            if let Some(job) = self.jobs.remove(&name) {
                self.occupy_summary(&job, now);
                self.jobs.insert(name.clone(), job);
            }
        } else if !self.is_evacuated() {
            let Some(mut job) = self.jobs.remove(&name) else {
                return;
            };
            if !self.admit_or_refuse(&mut job, now) {
                return;
            }
            self.jobs.insert(name.clone(), job);
        }
        self.place_admitted(relay, &name, now);
    }

    /// Requests reports from the workers to which an earlier leader has assigned tasks of a job and that
    /// have not reported in this term. A worker whose entry has expired may still run them, and its
    /// report comes before the leases end.
    fn probe_earlier_workers(&mut self, submission: &JobSubmission, now: UnixTime) {
        for placement in &submission.placements {
            let index = self.by_name.get(&placement.worker).copied();
            if let Some(index) = index
                && !self.worker(index).synced
            {
                self.worker_mut(index).next_probe_at = now;
                self.probe(index, now);
            }
        }
    }

    /// Applies ends of tasks that other pools have reported to the relay of an open job, and stops the
    /// runs of these tasks here.
    fn apply_done_tasks(&mut self, name: &JobName, done: &[u32], now: UnixTime) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let mut needless = Vec::new();
        for index in done {
            let Some(task) = job.tasks.get_mut(*index as usize) else {
                continue;
            };
            match task.state {
                TaskState::Waiting => job.waiting -= 1,
                TaskState::Placed(worker) => needless.push((*index, worker)),
                TaskState::Done | TaskState::Elsewhere => continue,
            }
            task.state = TaskState::Done;
            job.unfinished -= 1;
        }
        for (task, worker) in needless {
            self.stop_needless_runs_at(name, Some(task), worker, now);
        }
        self.update_queued(name);
    }

    /// Returns whether a submitted job cannot have run anywhere: neither its relay nor this pool
    /// knows of a start or a crash, and no runs of an earlier leader may still be adopted.
    fn is_surely_new(&self, submission: &JobSubmission, now: UnixTime) -> bool {
        let name = &submission.work.job;
        !submission.resumed
            && submission.done.is_empty()
            && submission.placements.is_empty()
            && submission.crashes.iter().next().is_none()
            && self.orphaned_ends_kept_until <= now
            && !self.started_jobs.contains_key(name)
            && self.crashes.history(name).is_none()
    }

    /// Takes over never started tasks of a job that has begun in another pool.
    fn submit_part(&mut self, relay: RelayId, submission: JobSubmission, now: UnixTime) {
        let name = submission.work.job.clone();
        let mut job = self.make_record(relay, submission, now);
        self.add_tasks(&mut job);
        job.route = self.track_route(&job.submission.policy);
        self.occupy_summary(&job, now);
        let is_complete = job.unfinished == 0;
        self.jobs.insert(name.clone(), job);
        if is_complete {
            self.complete(&name, now);
        } else {
            self.place_admitted(relay, &name, now);
        }
    }

    /// Decides on a job that cannot have run. Records of its tasks are made only if it is admitted,
    /// because most jobs are refused under overload.
    fn submit_new(&mut self, relay: RelayId, submission: JobSubmission, now: UnixTime) {
        let mut job = self.make_record(relay, submission, now);
        job.waiting = job.submission.work.tasks;
        if self.is_evacuated() {
            let outcome = JobOutcome::Refused(Refusal::Evacuated);
            self.report_refusal(&job, outcome, self.settings.min_suspension, now);
            return;
        }
        if !self.admit_or_refuse(&mut job, now) {
            return;
        }
        job.route = self.track_route(&job.submission.policy);
        self.add_tasks(&mut job);
        let name = job.submission.work.job.clone();
        self.jobs.insert(name.clone(), job);
        self.place_admitted(relay, &name, now);
    }

    /// Admits a job that is not in the table of jobs, or reports its refusal and returns false.
    fn admit_or_refuse(&mut self, job: &mut JobRecord, now: UnixTime) -> bool {
        let (refused, wait) = self.admit(job, now);
        let refused = refused.or_else(|| self.refuse_too_slow(job, now));
        let is_counted = match refused {
            None => job.queue_class == QueueClass::InTime,
            Some(JobOutcome::Refused(Refusal::Overloaded)) => job.queue_class == QueueClass::InTime,
            Some(_) => false,
        };
        if is_counted {
            self.route_loads.count(job, refused.is_none(), now);
            self.count_share(job, refused.is_none());
        }
        if let Some(outcome) = refused {
            self.report_refusal(job, outcome, wait, now);
            return false;
        }
        self.occupy_summary(job, now);
        let decision = Decision::Admitted {
            job: job.submission.work.job.clone(),
            route: job.submission.policy.route.clone(),
            tasks: job.waiting,
            queue_class: job.queue_class,
            wait,
            slack: job.latest_start().since(now),
            waiting: self.queue.waiting_tasks(),
            list_age: now.since(self.listed_at),
        };
        let resources = job.submission.work.resources;
        self.utilization.observe_task(resources);
        self.log(decision);
        true
    }

    /// Queues an admitted job, starts what can be started and reports the admission to its relay.
    fn place_admitted(&mut self, relay: RelayId, name: &JobName, now: UnixTime) {
        self.enqueue(name);
        self.move_if_evacuated(name, now);
        self.place_due(now);
        if self.jobs.get(name).is_some_and(|job| !job.may_have_started) {
            self.report_placements(Some(relay), name, Vec::new());
        }
    }

    /// Refuses a job for which no record was made.
    fn refuse_unread(&mut self, relay: RelayId, job: JobName, refusal: Refusal) {
        let message = PoolMessage::Ended {
            job,
            outcome: JobOutcome::Refused(refusal),
            wait: Duration::ZERO,
        };
        self.send(Some(relay), message);
    }

    /// Tells a relay that another one has taken over its job, of whose end it will not hear. Tasks
    /// may have run. If both are connections of one relay, it ignores what comes over the earlier one.
    fn dismiss_relay(&mut self, former: RelayId, current: RelayId, name: &JobName) {
        let text = format!(
            "event=job_taken_over job={name} relay={} former_relay={}",
            current.0, former.0,
        );
        let job = Some(name.as_str().into());
        self.log(Decision::Text { job, text });
        let message = PoolMessage::Ended {
            job: name.clone(),
            outcome: JobOutcome::Refused(Refusal::Unknown),
            wait: Duration::ZERO,
        };
        self.send(Some(former), message);
    }

    /// Reports placements and completed tasks to a relay that may have missed them.
    fn report_progress(&mut self, relay: RelayId, name: &JobName, done: &[u32]) {
        let placements: Vec<TaskPlacement> = self.jobs.get(name).map_or_else(Vec::new, |job| {
            let tasks = job.tasks.iter().zip(0_u32..);
            tasks
                .filter_map(|(task, index)| match task.state {
                    TaskState::Placed(worker) => Some(self.placement(index, worker)),
                    TaskState::Waiting | TaskState::Done | TaskState::Elsewhere => None,
                })
                .collect()
        });
        self.report_placements(Some(relay), name, placements);
        for index in done {
            let message = PoolMessage::TaskDone {
                job: name.clone(),
                index: *index,
            };
            self.send(Some(relay), message);
        }
    }

    /// Makes the record of a submitted job, without its tasks.
    fn make_record(&self, relay: RelayId, submission: JobSubmission, now: UnixTime) -> JobRecord {
        let expected = self.expected_run_time(&submission.policy, &submission.work);
        let policy = &submission.policy;
        let objective = expected.mul_f64(policy.stretch_factor.max(1.0)) + policy.target;
        let objective_at = submission.arrived_at.after(objective);
        let valued_for = objective.mul_f64(self.settings.give_up_factor);
        let useful_until = submission
            .arrived_at
            .after(valued_for)
            .min(submission.deadline);
        let queue_class = if submission.accepts_late {
            QueueClass::Late
        } else {
            QueueClass::InTime
        };
        JobRecord {
            relay: Some(relay),
            abandoned_at: now,
            may_have_started: submission.resumed
                || !submission.part.is_empty()
                || self.started_jobs.contains_key(&submission.work.job),
            tasks: Vec::new(),
            waiting: 0,
            unfinished: 0,
            expected,
            objective_at,
            useful_until,
            queue_class,
            is_guaranteed: false,
            is_split: !submission.part.is_empty(),
            route: None,
            submission,
        }
    }

    /// Adds the records of a job's tasks.
    fn add_tasks(&self, job: &mut JobRecord) {
        let fresh = TaskRecord {
            state: TaskState::Waiting,
            failures: 0,
            placed_number: 0,
            last_number: 0,
            avoided: None,
            suspicion: Suspicion::Unsuspected,
        };
        let submission = &job.submission;
        let mut tasks = vec![fresh; submission.work.tasks as usize];
        if let Some(history) = self.crashes.history(&submission.work.job) {
            for (task, index) in tasks.iter_mut().zip(0..) {
                task.suspicion = history.suspicion(index);
            }
        }
        for index in &submission.done {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.state = TaskState::Done;
            }
        }
        if !submission.part.is_empty() {
            for (task, index) in tasks.iter_mut().zip(0_u32..) {
                if task.state == TaskState::Waiting && !submission.part.contains(&index) {
                    task.state = TaskState::Elsewhere;
                }
            }
        }
        let waiting = tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting)
            .count();
        job.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        job.unfinished = job.waiting;
        job.tasks = tasks;
    }

    /// Adopts runs of the job that were started before it was submitted here, and unacknowledged
    /// ends of such runs. Returns the number of adopted runs.
    fn adopt_runs(&mut self, name: &JobName, mut job: JobRecord, now: UnixTime) -> u32 {
        let mut adopted = 0;
        let may_have_runs = job.may_have_started || self.orphaned_ends_kept_until > now;
        let searched = if may_have_runs { self.workers.len() } else { 0 };
        for (worker, index) in self.workers.iter_mut().zip(0_u32..).take(searched) {
            let index = WorkerIndex(index);
            for position in 0..worker.runs.len() {
                let stopping = worker.runs[position].is_stopping();
                let details = worker.runs[position].details();
                if details.task.job != *name || !details.task.is_single_step() {
                    continue;
                }
                let resources = job.resources_on(worker, details.task.index as usize);
                let details = worker.runs[position].details_mut();
                let Some(task) = job.tasks.get_mut(details.task.index as usize) else {
                    continue;
                };
                worker.allocated = worker
                    .allocated
                    .saturating_sub(details.resources)
                    .saturating_add(resources);
                details.resources = resources;
                details.is_sized = true;
                task.last_number = task.last_number.max(details.number);
                if task.state != TaskState::Waiting {
                    continue;
                }
                // A run that is being stopped keeps its task placed until its end is known.
                task.state = TaskState::Placed(index);
                task.placed_number = details.number;
                job.waiting -= 1;
                job.may_have_started = true;
                if !stopping {
                    details.expected = job.expected;
                }
                details.needed = true;
                worker.limit_run(position, UnixTime::NEVER);
                adopted += 1;
            }
        }
        self.counts.runs_adopted += u64::from(adopted);
        if adopted > 0 {
            self.max_free_cpu_milli = None;
        }
        self.jobs.insert(name.clone(), job);
        if self.orphaned_ends_kept_until > now {
            self.adopt_orphaned_ends(name);
        }
        adopted
    }

    pub(super) fn refuse(
        &mut self,
        name: &JobName,
        outcome: JobOutcome,
        wait: Duration,
        now: UnixTime,
    ) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        self.queue.remove(name);
        self.report_refusal(&job, outcome, wait, now);
    }

    /// Logs the refusal of a job that is not in the table of jobs, and reports it to its relay.
    fn report_refusal(
        &mut self,
        job: &JobRecord,
        outcome: JobOutcome,
        wait: Duration,
        now: UnixTime,
    ) {
        self.counts.jobs_refused += 1;
        let name = &job.submission.work.job;
        if let JobOutcome::Refused(refusal) = outcome
            && self.allows_refusal_line(refusal, now)
        {
            // The summary may be a tick old; logged lines are few enough to add up the workers.
            let load = self.load(now);
            let decision = Decision::JobRefused {
                job: name.clone(),
                route: job.submission.policy.route.clone(),
                refusal,
                wait,
                workers: load.usable_workers,
                free_cpu_milli: load.free_cpu_milli,
                cpu_milli: job.submission.work.resources.cpu_milli,
                waiting: self.queue.waiting_tasks(),
                list_age: now.since(self.listed_at),
                age: now.since(job.submission.arrived_at),
            };
            self.log(decision);
        }
        let message = PoolMessage::Ended {
            job: name.clone(),
            outcome,
            wait,
        };
        self.send(job.relay, message);
    }

    /// Closes a job whose tasks have all succeeded, except for those that other pools run.
    pub(super) fn complete(&mut self, name: &JobName, now: UnixTime) {
        let is_split = self.jobs.get(name).is_some_and(|job| job.is_split);
        let outcome = match is_split {
            true => JobOutcome::PartCompleted,
            false => JobOutcome::Completed,
        };
        self.finish(name, outcome, now);
    }

    /// Closes a job that has run, reports its outcome and stops its remaining runs.
    pub(super) fn finish(&mut self, name: &JobName, outcome: JobOutcome, now: UnixTime) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        self.queue.remove(name);
        match outcome {
            JobOutcome::Completed | JobOutcome::PartCompleted => self.counts.jobs_completed += 1,
            JobOutcome::Failed => self.counts.jobs_failed += 1,
            JobOutcome::Returned => self.counts.jobs_returned += 1,
            JobOutcome::Refused(_) => self.counts.jobs_refused += 1,
        }
        // The answer may get lost, and the client may resend the job.
        self.remember_started(name, now);
        let decision = Decision::JobEnded {
            job: name.clone(),
            outcome,
            failures: job.tasks.iter().map(|task| task.failures).sum(),
            age: now.since(job.submission.arrived_at),
            objective: job.objective_at.since(job.submission.arrived_at),
        };
        self.log(decision);
        let message = PoolMessage::Ended {
            job: name.clone(),
            outcome,
            wait: Duration::ZERO,
        };
        self.send(job.relay, message);
        self.stop_runs_of(name, &job, now);
    }

    /// Cancels a job whose answer nobody waits for, and stops its runs.
    pub(super) fn cancel(&mut self, name: &JobName, cause: &'static str, now: UnixTime) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        self.queue.remove(name);
        self.counts.jobs_cancelled += 1;
        let decision = Decision::JobCancelled {
            job: name.clone(),
            cause,
            left: job.unfinished,
            age: now.since(job.submission.arrived_at),
        };
        self.log(decision);
        if job.may_have_started {
            self.remember_started(name, now);
        }
        self.stop_runs_of(name, &job, now);
    }

    /// Remembers that tasks of a job that may not be open here have started. If its client resends
    /// the job, it must not be refused as one that has not run, and earlier runs may still be
    /// active.
    pub(super) fn remember_started(&mut self, name: &JobName, now: UnixTime) {
        let expires_at = now.after(self.settings.started_job_retention);
        self.started_jobs.insert(name.clone(), expires_at);
    }

    pub(super) fn expire_started_jobs(&mut self, now: UnixTime) {
        self.started_jobs.retain(|_, expires_at| *expires_at > now);
        self.crashes.expire(now);
    }

    fn stop_runs_of(&mut self, name: &JobName, job: &JobRecord, now: UnixTime) {
        for task in &job.tasks {
            let TaskState::Placed(index) = task.state else {
                continue;
            };
            self.stop_needless_runs_at(name, None, index, now);
        }
    }

    /// Stops the runs of a job, or of one of its tasks, on a worker.
    fn stop_needless_runs_at(
        &mut self,
        name: &JobName,
        task: Option<u32>,
        index: WorkerIndex,
        now: UnixTime,
    ) {
        let end_by = now.after(self.settings.caller_resend_delay);
        for position in 0..self.worker(index).runs.len() {
            let details = self.worker_mut(index).runs[position].details_mut();
            let is_meant = task.is_none_or(|task| details.task.index == task);
            if details.task.job == *name && is_meant {
                details.needed = false;
                let end_by = details.end_by.min(end_by);
                self.worker_mut(index).limit_run(position, end_by);
                self.stop_run(index, position, StopCause::NotNeeded, now);
            }
        }
    }
}

impl JobRecord {
    /// Returns the indices of the completed tasks.
    pub(super) fn done_tasks(&self) -> impl Iterator<Item = u32> {
        self.tasks
            .iter()
            .zip(0_u32..)
            .filter(|(task, _)| task.state == TaskState::Done)
            .map(|(_, index)| index)
    }
}
