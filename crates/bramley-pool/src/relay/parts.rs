//! Jobs whose tasks are run by several pools.
//!
//! A pool may release waiting tasks of a job to the pool of another failure domain. The relay then
//! submits them there as a part of the job. Each unfinished task is assigned to exactly one pool:
//! to that of a part, or else to the pool that holds the rest of the job. Only the relay assigns
//! tasks, and it assigns a task again only if its pool has released it or if all runs that the pool
//! may have started have certainly ended.
//!
//! Pools report each completed task of a split job by itself, and the job is complete once all
//! tasks are.

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;

use super::{DoubtfulRuns, JobAnswer, JobState, PoolView, Relay, RelayAction, RelayJob};
use crate::decision::Decision;
use crate::job::{JobName, JobSubmission};
use crate::message::{JobOutcome, RelayMessage};
use crate::refusal::Refusal;

/// Tasks of a job that the pool of another failure domain has taken over.
#[derive(Clone, Debug)]
pub(super) struct JobPart {
    /// Failure domain of the pool.
    domain: DomainName,
    /// Tasks that are not done.
    tasks: Vec<u32>,
    /// The part's runs after its pool was lost; `None` while the pool is connected.
    doubt: Option<DoubtfulRuns>,
    /// Whether the pool has reported placements, so that all of them are known but the last ones.
    acknowledged: bool,
    /// Listed workers that the pool last reported.
    earlier_workers: u32,
}

/// How tasks are submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PartOrigin {
    /// A pool has released them before their first start.
    Released,
    /// Another pool, or an earlier one of the same failure domain, may have started them.
    Resumed,
}

impl Relay {
    /// Submits tasks that a pool has released to the one that has requested them, or back if that one
    /// is not connected any more.
    pub(super) fn tasks_released(
        &mut self,
        name: &JobName,
        owner: &DomainName,
        tasks: &[u32],
        requester: &DomainName,
    ) {
        let is_reachable = self
            .pools
            .get(requester)
            .is_some_and(PoolView::accepts_jobs);
        let Some(job) = self.job_at(name, owner) else {
            return;
        };
        job.started = true;
        job.is_split = true;
        let tasks: Vec<u32> = tasks
            .iter()
            .copied()
            .filter(|task| job.is_held_by(*task, owner))
            .collect();
        for part in &mut job.parts {
            part.tasks.retain(|task| !tasks.contains(task));
        }
        job.drop_empty_parts();
        let target = if is_reachable && !job.is_in_doubt_at(requester) {
            requester.clone()
        } else {
            owner.clone()
        };
        self.assign_tasks(name, tasks, target, PartOrigin::Released);
    }

    /// Assigns tasks of a job to a connected pool and submits them.
    fn assign_tasks(
        &mut self,
        name: &JobName,
        tasks: Vec<u32>,
        domain: DomainName,
        origin: PartOrigin,
    ) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if tasks.is_empty() {
            return;
        }
        if matches!(job.state, JobState::Elsewhere) {
            job.state = JobState::AtPool(domain.clone());
        }
        let is_rest = matches!(&job.state, JobState::AtPool(at) if *at == domain);
        if !is_rest {
            match job.parts.iter_mut().find(|part| part.domain == domain) {
                Some(part) => part.tasks.extend(&tasks),
                None => job.parts.push(JobPart {
                    domain: domain.clone(),
                    tasks: tasks.clone(),
                    doubt: None,
                    acknowledged: false,
                    earlier_workers: 0,
                }),
            }
        }
        let mut submission = JobSubmission {
            resumed: origin == PartOrigin::Resumed,
            ..job.part_submission(tasks)
        };
        if origin == PartOrigin::Released {
            submission.placements.clear();
        }
        self.submit_part(name, domain, submission);
    }

    fn submit_part(&mut self, name: &JobName, domain: DomainName, mut submission: JobSubmission) {
        if let Some(history) = self.crashes.history(name) {
            submission.crashes = history.clone();
        }
        let message = RelayMessage::Submit(Box::new(submission));
        self.actions.push(RelayAction::Send(domain, message));
    }

    /// Marks the parts at a lost pool as in doubt and returns their number.
    pub(super) fn parts_lost(
        &mut self,
        domain: &DomainName,
        runs: DoubtfulRuns,
        earlier_workers: u32,
    ) -> usize {
        let mut count = 0;
        let jobs = self.jobs.values_mut();
        let parts = jobs.flat_map(|job| job.parts.iter_mut());
        for part in parts.filter(|part| part.domain == *domain && part.doubt.is_none()) {
            part.doubt = Some(runs);
            part.earlier_workers = earlier_workers.max(part.earlier_workers);
            count += 1;
        }
        count
    }

    /// Submits the parts in doubt at a failure domain to its current pool, which knows their runs or
    /// finds them on its workers.
    pub(super) fn resume_parts_of(&mut self, domain: &DomainName) {
        let is_due = |part: &JobPart| part.domain == *domain && part.doubt.is_some();
        let term = self.pools.get(domain).and_then(|pool| pool.term);
        let names = self.jobs_with_part(is_due);
        for name in names {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            let Some(part) = job.parts.iter_mut().find(|part| is_due(part)) else {
                continue;
            };
            let doubt = part.doubt.take();
            let acknowledged = std::mem::take(&mut part.acknowledged);
            let (tasks, earlier_workers) = (part.tasks.clone(), part.earlier_workers);
            if let Some(runs) = doubt {
                job.wait_for(runs, term);
            }
            let submission = JobSubmission {
                resumed: true,
                acknowledged,
                earlier_workers,
                ..job.part_submission(tasks)
            };
            self.log_part(
                &name,
                format!("event=job_part_resumed job={name} pool={domain}"),
            );
            self.submit_part(&name, domain.clone(), submission);
        }
    }

    /// Assigns the tasks of parts whose runs have certainly ended to other pools.
    pub(super) fn reassign_ended_parts(&mut self, now: UnixTime) {
        let is_due = |part: &JobPart| part.doubt.is_some_and(|runs| runs.ended_by <= now);
        for name in self.jobs_with_part(is_due) {
            let Some(domain) = self.pool_for_part(&name) else {
                self.refuse_unserved(&name, Refusal::Unknown);
                continue;
            };
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            let mut tasks = Vec::new();
            let mut left = Vec::new();
            for part in job.parts.iter_mut().filter(|part| is_due(part)) {
                tasks.append(&mut part.tasks);
                left.push(part.domain.clone());
            }
            job.drop_empty_parts();
            left.retain(|former| *former != domain);
            for former in left {
                self.cancel_at(&name, &former);
            }
            self.log_part(
                &name,
                format!("event=job_part_moved job={name} pool={domain}"),
            );
            self.assign_tasks(&name, tasks, domain, PartOrigin::Resumed);
        }
    }

    /// Returns a connected pool that can take tasks of a job: the one that holds the rest of it, or
    /// else the first one for the job without a part in doubt.
    fn pool_for_part(&mut self, name: &JobName) -> Option<DomainName> {
        let job = self.jobs.get(name)?;
        if let JobState::AtPool(domain) = &job.state {
            return Some(domain.clone());
        }
        let domain = self.first_pool(name)?;
        let job = self.jobs.get(name)?;
        (!job.is_in_doubt_at(&domain)).then_some(domain)
    }

    /// Returns the jobs with such a part whose callers still wait as far as is known.
    fn jobs_with_part(&self, is_wanted: impl Fn(&JobPart) -> bool) -> Vec<JobName> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.doubted_from.is_none() && job.parts.iter().any(&is_wanted))
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn log_part(&mut self, name: &JobName, text: String) {
        let decision = Decision::Text {
            job: Some(name.as_str().into()),
            text,
        };
        self.actions.push(RelayAction::LogDecision(decision));
    }

    /// Answers the caller of a split job once all of its tasks are done.
    pub(super) fn complete_if_done(&mut self, name: &JobName) {
        let is_complete = self.jobs.get(name).is_some_and(|job| {
            job.is_split && job.submission.done.len() == job.submission.work.tasks as usize
        });
        if is_complete && let Some(job) = self.jobs.remove(name) {
            self.cancel_elsewhere(name, &job, None);
            let answer = RelayAction::Answer(name.clone(), JobAnswer::Completed);
            self.actions.push(answer);
        }
    }

    /// Handles the end of a split job at one of its pools.
    pub(super) fn part_ended(
        &mut self,
        name: &JobName,
        domain: &DomainName,
        outcome: JobOutcome,
        now: UnixTime,
    ) {
        let runs = DoubtfulRuns {
            term: self.pools.get(domain).and_then(|pool| pool.term),
            ended_by: now.after(self.settings.lost_pool_wait),
        };
        match outcome {
            JobOutcome::Completed | JobOutcome::PartCompleted => {
                if let Some(job) = self.jobs.get_mut(name) {
                    // Tasks that were assigned while the message was under way are still to come.
                    let is_rest = matches!(&job.state, JobState::AtPool(at) if at == domain);
                    if is_rest && job.rest().is_empty() {
                        job.state = JobState::Elsewhere;
                    }
                }
                self.complete_if_done(name);
            }
            JobOutcome::Failed => self.close_split(name, domain, JobAnswer::Failed),
            JobOutcome::Refused(Refusal::Unknown) => {
                let answer = JobAnswer::Refused {
                    refusal: Refusal::Unknown,
                    retry_after: self.settings.min_retry_after,
                };
                self.close_split(name, domain, answer);
            }
            // Tasks may have been assigned to the pool while the message was under way; it cancels
            // them, and they count as ended as if the pool had been lost.
            JobOutcome::Returned | JobOutcome::Refused(_) => {
                if outcome == JobOutcome::Returned {
                    self.record_evacuation(domain);
                }
                let Some(job) = self.jobs.get_mut(name) else {
                    return;
                };
                for part in &mut job.parts {
                    if part.domain == *domain {
                        part.doubt.get_or_insert(runs);
                    }
                }
                if matches!(&job.state, JobState::AtPool(at) if at == domain) {
                    job.state = JobState::InDoubt {
                        domain: domain.clone(),
                        runs,
                    };
                }
                let message = RelayMessage::Cancel(name.clone());
                let action = RelayAction::Send(domain.clone(), message);
                self.actions.push(action);
            }
        }
    }

    /// Answers the caller of a split job that has ended at one pool, and cancels it at the others.
    fn close_split(&mut self, name: &JobName, ended_at: &DomainName, answer: JobAnswer) {
        if let Some(job) = self.jobs.remove(name) {
            self.remember_started(name);
            self.cancel_elsewhere(name, &job, Some(ended_at));
            self.actions.push(RelayAction::Answer(name.clone(), answer));
        }
    }

    /// Cancels a job at all pools that hold tasks of it, except at the one where it has ended.
    pub(super) fn cancel_elsewhere(
        &mut self,
        name: &JobName,
        job: &RelayJob,
        ended_at: Option<&DomainName>,
    ) {
        let parts = job.parts.iter().map(|part| &part.domain);
        for domain in parts.chain(job.domain()) {
            if Some(domain) != ended_at {
                self.cancel_at(name, domain);
            }
        }
    }
}

impl RelayJob {
    /// Returns whether a connected pool holds tasks of the job.
    pub(super) fn is_at(&self, domain: &DomainName) -> bool {
        let is_rest_there = matches!(&self.state, JobState::AtPool(at) if at == domain);
        let mut parts = self.parts.iter();
        is_rest_there || parts.any(|part| part.domain == *domain && part.doubt.is_none())
    }

    /// Returns whether a pool that held a part of the job was lost.
    pub(super) fn has_part_in_doubt(&self) -> bool {
        self.parts.iter().any(|part| part.doubt.is_some())
    }

    /// Returns whether tasks of the job are in doubt at a failure domain.
    fn is_in_doubt_at(&self, domain: &DomainName) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|part| part.domain == *domain && part.doubt.is_some())
            || self.is_rest_in_doubt_at(domain)
    }

    /// Returns whether an unfinished task is assigned to the pool of a failure domain.
    fn is_held_by(&self, task: u32, domain: &DomainName) -> bool {
        let mut parts = self.parts.iter();
        match parts.find(|part| part.tasks.contains(&task)) {
            Some(part) => part.domain == *domain,
            None => self.rest().contains(&task),
        }
    }

    /// Returns the unfinished tasks that belong to no part.
    pub(super) fn rest(&self) -> Vec<u32> {
        let is_in_part = |task: &u32| self.parts.iter().any(|part| part.tasks.contains(task));
        (0..self.submission.work.tasks)
            .filter(|task| !self.submission.done.contains(task) && !is_in_part(task))
            .collect()
    }

    /// Records that a task is done.
    pub(super) fn task_done(&mut self, task: u32) {
        if !self.submission.done.contains(&task) {
            self.submission.done.push(task);
        }
        for part in &mut self.parts {
            part.tasks.retain(|other| *other != task);
        }
        self.drop_empty_parts();
    }

    /// Records that a pool has acknowledged what it holds of the job.
    pub(super) fn acknowledged_by(&mut self, domain: &DomainName) {
        match self.parts.iter_mut().find(|part| part.domain == *domain) {
            Some(part) => part.acknowledged = true,
            None => self.submission.acknowledged = true,
        }
    }

    /// Returns the submission of some of the job's tasks.
    fn part_submission(&self, tasks: Vec<u32>) -> JobSubmission {
        let placements = self.submission.placements.iter();
        let placements = placements.filter(|placement| tasks.contains(&placement.index));
        JobSubmission {
            placements: placements.cloned().collect(),
            part: tasks,
            ..self.submission.clone()
        }
    }

    /// Returns the submission of what belongs to no part; `None` if that is nothing.
    pub(super) fn rest_submission(&self) -> Option<JobSubmission> {
        if !self.is_split {
            return Some(self.submission.clone());
        }
        let rest = self.rest();
        (!rest.is_empty()).then(|| self.part_submission(rest))
    }

    /// Moves the part at a failure domain into the rest of the job.
    pub(super) fn absorb_part(&mut self, domain: &DomainName) {
        self.parts.retain(|part| part.domain != *domain);
    }

    fn drop_empty_parts(&mut self) {
        self.parts.retain(|part| !part.tasks.is_empty());
    }
}
