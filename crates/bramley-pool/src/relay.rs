//! Follows callers' jobs across pools.
//!
//! A relay offers each job to the pool of its own failure domain first and then to pools that have
//! told it of free room. When the connection to a pool is lost, its jobs are in doubt: they go to
//! the pool that takes over the same workers, or anywhere else once their runs have surely ended.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use crate::decision::Decision;
use crate::job::{JobName, JobSubmission};
use crate::message::{JobOutcome, PoolLoad, PoolMessage, RelayMessage, TaskPlacement};
use crate::refusal::Refusal;
use crate::settings::RelaySettings;

/// Answer to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobAnswer {
    /// Every task has ended well.
    Completed,
    /// A task has failed as often as the route allows.
    Failed,
    /// The job was not run, or its outcome is unknown.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// What the driver of a relay is to do.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Send a message to the pool of a failure domain.
    Send(DomainName, RelayMessage),
    /// Answer the caller of a job.
    Answer(JobName, JobAnswer),
    /// Write a line to the log.
    Note(Decision),
}

/// Where a job stands.
#[derive(Clone, Debug)]
enum JobStanding {
    /// Not sent to any pool, because the process has just been resumed.
    Held,
    /// At the pool of this failure domain.
    AtPool(DomainName),
    /// The connection to the pool of this failure domain was lost; its runs have ended by the
    /// stated time.
    InDoubt {
        domain: DomainName,
        ended_by: UnixTime,
    },
}

#[derive(Clone, Debug)]
struct RelayJob {
    submission: JobSubmission,
    standing: JobStanding,
    tried: Vec<DomainName>,
    started: bool,
}

/// What a relay knows of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolView {
    connected: bool,
    load: PoolLoad,
}

/// Keeps the open jobs of the callers of one process.
#[derive(Debug)]
pub struct Relay {
    settings: RelaySettings,
    home: DomainName,
    jobs: FxHashMap<JobName, RelayJob>,
    pools: FxHashMap<DomainName, PoolView>,
    /// Time before which no job is sent, because the process has just been resumed.
    sending_from: UnixTime,
    /// Pools that were connected before that time.
    connected_early: Vec<DomainName>,
    actions: Vec<RelayAction>,
}

impl Relay {
    /// Makes a relay of a failure domain.
    #[must_use]
    pub fn new(settings: RelaySettings, home: DomainName) -> Self {
        Self {
            settings,
            home,
            jobs: FxHashMap::default(),
            pools: FxHashMap::default(),
            sending_from: UnixTime::default(),
            connected_early: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Returns what the driver is to do, and forgets it.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<RelayAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of open jobs of a route of which no task has started.
    #[must_use]
    pub fn unstarted_jobs(&self, route: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.started && job.submission.policy.route.as_str() == route)
            .count()
    }

    /// Tells whether any pool is connected.
    #[must_use]
    pub fn reaches_pool(&self) -> bool {
        self.pools.values().any(|pool| pool.connected)
    }

    /// Tells whether the pool of a failure domain is connected.
    #[must_use]
    pub fn is_connected(&self, domain: &DomainName) -> bool {
        self.pools.get(domain).is_some_and(|pool| pool.connected)
    }

    /// The process was paused. The end of a caller's connection is to be handled before its job is
    /// sent anywhere, as the caller may have sent it again meanwhile.
    pub fn process_resumed(&mut self, now: UnixTime) {
        self.sending_from = now.after(self.settings.resume_wait);
    }

    /// Takes in a job of a caller. A job that is already open keeps its runs, and the answer goes
    /// to the newest caller.
    pub fn accept(&mut self, submission: JobSubmission, now: UnixTime) {
        let name = submission.work.job.clone();
        if let Some(job) = self.jobs.get_mut(&name) {
            job.submission.deadline = submission.deadline;
            return;
        }
        let job = RelayJob {
            submission,
            standing: JobStanding::Held,
            tried: Vec::new(),
            started: false,
        };
        self.jobs.insert(name.clone(), job);
        if now >= self.sending_from {
            self.offer(&name);
        }
    }

    /// Sends a job to its first pool.
    fn offer(&mut self, name: &JobName) {
        match self.first_pool() {
            Some(domain) => self.move_job(name, domain),
            None => self.answer_unserved(name, Refusal::NoPool),
        }
    }

    /// The caller of a job has left.
    pub fn caller_left(&mut self, name: &JobName) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        if let JobStanding::AtPool(domain) = job.standing {
            let message = RelayMessage::Cancel(name.clone());
            self.actions.push(RelayAction::Send(domain, message));
        }
    }

    /// A pool was connected: jobs that an earlier connection to the same workers had are handed to
    /// it again.
    pub fn pool_connected(&mut self, domain: &DomainName, now: UnixTime) {
        let view = PoolView {
            connected: true,
            load: PoolLoad::default(),
        };
        self.pools.insert(domain.clone(), view);
        if now >= self.sending_from {
            self.resume_jobs_of(domain);
        } else {
            self.connected_early.push(domain.clone());
        }
    }

    /// Hands jobs that were at an earlier pool of a failure domain to its present one.
    fn resume_jobs_of(&mut self, domain: &DomainName) {
        let names: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_in_doubt_at(domain))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.resume(&name, domain.clone());
        }
    }

    /// The connection to a pool, last heard of at `heard_at`, was lost.
    pub fn pool_lost(&mut self, domain: &DomainName, heard_at: UnixTime) {
        let mut earlier_workers = 0;
        if let Some(pool) = self.pools.get_mut(domain) {
            pool.connected = false;
            earlier_workers = pool.load.listed_workers;
        }
        let ended_by = heard_at.after(self.settings.lost_pool_wait);
        for job in self.jobs.values_mut() {
            if matches!(&job.standing, JobStanding::AtPool(at) if at == domain) {
                let known = &mut job.submission.earlier_workers;
                *known = earlier_workers.max(*known);
                job.standing = JobStanding::InDoubt {
                    domain: domain.clone(),
                    ended_by,
                };
            }
        }
    }

    /// A pool has told how busy it is.
    pub fn pool_loaded(&mut self, domain: &DomainName, load: PoolLoad) {
        if let Some(pool) = self.pools.get_mut(domain) {
            pool.load = load;
        }
    }

    /// Handles a message of a pool.
    pub fn pool_said(&mut self, domain: &DomainName, message: PoolMessage, now: UnixTime) {
        match message {
            PoolMessage::Placed { job, placements } => {
                if let Some(job) = self.job_at(&job, domain) {
                    job.started |= !placements.is_empty();
                    job.submission.acknowledged = true;
                    job.note_placements(placements);
                }
            }
            PoolMessage::TaskDone { job, index } => {
                if let Some(job) = self.job_at(&job, domain)
                    && !job.submission.done.contains(&index)
                {
                    job.submission.done.push(index);
                }
            }
            PoolMessage::Ended { job, outcome, wait } => {
                let ended_by = now.after(self.settings.lost_pool_wait);
                let Some(record) = self.job_at(&job, domain) else {
                    return;
                };
                let may_have_run = record.started || record.submission.resumed;
                if may_have_run && matches!(outcome, JobOutcome::Refused(_)) {
                    // The pool has lost command, so that the job's runs may go on for a while.
                    record.standing = JobStanding::InDoubt {
                        domain: domain.clone(),
                        ended_by,
                    };
                    return;
                }
                self.job_ended(&job, outcome, wait);
            }
        }
    }

    /// Does what is due; called at least every 50 ms while jobs are open.
    pub fn tick(&mut self, now: UnixTime) {
        if now < self.sending_from {
            return;
        }
        let held = self.jobs.iter().filter(|(_, job)| job.is_held());
        let held: Vec<JobName> = held.map(|(name, _)| name.clone()).collect();
        for name in held {
            self.offer(&name);
        }
        for domain in std::mem::take(&mut self.connected_early) {
            if self.is_connected(&domain) {
                self.resume_jobs_of(&domain);
            }
        }
        let due: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_settled_by(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            match self.first_pool() {
                Some(domain) => self.resume(&name, domain),
                None => self.answer_unserved(&name, Refusal::Unknown),
            }
        }
    }

    fn job_at(&mut self, name: &JobName, domain: &DomainName) -> Option<&mut RelayJob> {
        let job = self.jobs.get_mut(name)?;
        let is_there = matches!(&job.standing, JobStanding::AtPool(at) if at == domain);
        is_there.then_some(job)
    }

    fn job_ended(&mut self, name: &JobName, outcome: JobOutcome, wait: Duration) {
        let answer = match outcome {
            JobOutcome::Completed => JobAnswer::Completed,
            JobOutcome::Failed => JobAnswer::Failed,
            JobOutcome::Refused(refusal) => {
                let may_move = matches!(refusal, Refusal::Overloaded | Refusal::NoPool);
                if may_move && let Some(domain) = self.next_pool(name) {
                    self.move_job(name, domain);
                    return;
                }
                JobAnswer::Refused {
                    refusal,
                    retry_after: wait.max(self.settings.retry_after_least),
                }
            }
        };
        self.jobs.remove(name);
        self.actions.push(RelayAction::Answer(name.clone(), answer));
    }

    /// Offers a job that no pool has started to another pool.
    fn move_job(&mut self, name: &JobName, domain: DomainName) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.standing = JobStanding::AtPool(domain.clone());
        job.tried.push(domain.clone());
        let submission = job.submission.clone();
        self.send_submit(&domain, &submission);
    }

    /// Hands a job to a pool again after its runs may have begun.
    fn resume(&mut self, name: &JobName, domain: DomainName) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.submission.resumed = true;
        let text = format!(
            "event=job_handed_over job={name} pool={domain} done={} started={}",
            job.submission.done.len(),
            job.started,
        );
        let decision = Decision::Text {
            job: Some(name.as_str().into()),
            text,
        };
        self.actions.push(RelayAction::Note(decision));
        self.move_job(name, domain);
        // From now on the new pool's word counts.
        if let Some(job) = self.jobs.get_mut(name) {
            job.submission.acknowledged = false;
        }
    }

    fn answer_unserved(&mut self, name: &JobName, refusal: Refusal) {
        self.jobs.remove(name);
        let text = format!(
            "event=job_refused job={name} reason={} pools_connected={}",
            refusal.answer().word,
            self.pools.values().filter(|pool| pool.connected).count(),
        );
        let decision = Decision::Text {
            job: Some(name.as_str().into()),
            text,
        };
        self.actions.push(RelayAction::Note(decision));
        let answer = JobAnswer::Refused {
            refusal,
            retry_after: self.settings.retry_after_least,
        };
        self.actions.push(RelayAction::Answer(name.clone(), answer));
    }

    fn send_submit(&mut self, domain: &DomainName, submission: &JobSubmission) {
        let message = RelayMessage::Submit(Box::new(submission.clone()));
        self.actions
            .push(RelayAction::Send(domain.clone(), message));
    }

    /// Returns the pool of the own failure domain, else the one with the most free room.
    fn first_pool(&self) -> Option<DomainName> {
        if self.is_connected(&self.home) {
            return Some(self.home.clone());
        }
        self.freest_pool(|_, _| true)
    }

    /// Returns a pool that the job was not offered to and that has told of room for a task of it.
    fn next_pool(&self, name: &JobName) -> Option<DomainName> {
        let job = self.jobs.get(name)?;
        let room = u64::from(job.submission.work.room.cpu_milli);
        self.freest_pool(|domain, pool| {
            !job.tried.contains(domain) && pool.load.free_cpu_milli >= room
        })
    }

    fn freest_pool(&self, suits: impl Fn(&DomainName, &PoolView) -> bool) -> Option<DomainName> {
        self.pools
            .iter()
            .filter(|(domain, pool)| pool.connected && suits(domain, pool))
            .max_by_key(|(domain, pool)| (pool.load.free_cpu_milli, (*domain).clone()))
            .map(|(domain, _)| domain.clone())
    }
}

impl RelayJob {
    fn note_placements(&mut self, placements: Vec<TaskPlacement>) {
        let known = &mut self.submission.placements;
        known.retain(|old| placements.iter().all(|new| new.index != old.index));
        known.extend(placements);
    }

    fn is_in_doubt_at(&self, lost: &DomainName) -> bool {
        matches!(&self.standing, JobStanding::InDoubt { domain, .. } if domain == lost)
    }

    const fn is_held(&self) -> bool {
        matches!(self.standing, JobStanding::Held)
    }

    fn is_settled_by(&self, now: UnixTime) -> bool {
        matches!(&self.standing, JobStanding::InDoubt { ended_by, .. } if *ended_by <= now)
    }
}
