//! Routing of callers' jobs to pools and failover between pools.
//!
//! A relay submits each job to the pool of its own failure domain first, and then to pools that
//! have reported free capacity. While the local failure domain is evacuated, jobs are distributed
//! over the other pools in proportion to their free CPU. When the connection to a pool is lost, its jobs are in doubt: they
//! are resubmitted to the pool that takes over the same workers, or to any other pool once their
//! runs have certainly ended.

mod doubted;
mod overload;
mod parts;

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use rustc_hash::FxHashMap;

use crate::crash::CrashMemory;
use crate::decision::{Decision, HandoverReason};
use crate::explanation::PoolState;
use crate::job::{JobName, JobSubmission, RouteName};
use crate::message::{
    JobOutcome, PoolLoad, PoolMessage, RelayMessage, RouteAdmission, TaskPlacement,
};
use crate::pool_connection::{LossCause, PoolConnection, PoolLoss};
use crate::pool_rotation::PoolRotation;
use crate::refusal::Refusal;
use crate::route_gate::RouteGate;
use crate::settings::RelaySettings;

use self::doubted::PauseSeries;
pub use self::overload::{RefusalSource, RouteOffer, RouteRefusal};
use self::parts::JobPart;

/// Answer to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobAnswer {
    /// All tasks succeeded.
    Completed,
    /// A task used up the attempts that its route allows, or crashes its workers.
    Failed,
    /// The job was not run, or its outcome is unknown.
    Refused {
        /// Reason for the refusal.
        refusal: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Action for the driver of a relay.
#[derive(Clone, Debug)]
pub enum RelayAction {
    /// Send a message to the pool of a failure domain.
    Send(DomainName, RelayMessage),
    /// Answer the caller of a job.
    Answer(JobName, JobAnswer),
    /// Log a decision.
    LogDecision(Decision),
}

/// Location of a job.
#[derive(Clone, Debug)]
enum JobState {
    /// Not submitted yet, because the process has just resumed from a pause.
    Held,
    /// Submitted to the pool of this failure domain.
    AtPool(DomainName),
    /// The connection to the pool of this failure domain was lost, and the job's runs may go on.
    InDoubt {
        domain: DomainName,
        runs: DoubtfulRuns,
    },
    /// All unfinished tasks belong to parts at other pools.
    Elsewhere,
}

/// Runs that a lost pool may have started or go on controlling.
#[derive(Clone, Copy, Debug)]
struct DoubtfulRuns {
    /// Term of the pool; `None` if it is not known.
    term: Option<u64>,
    /// Time by which the runs have certainly ended, unless the pool of the same term goes on with them.
    ended_by: UnixTime,
}

/// An open job of a caller.
#[derive(Clone, Debug)]
struct RelayJob {
    submission: JobSubmission,
    /// Location of the job, or of what belongs to no part.
    state: JobState,
    /// Tasks that other pools have taken over.
    parts: Vec<JobPart>,
    /// Whether any pool has released tasks of the job.
    is_split: bool,
    /// Failure domains to whose pools the job was submitted.
    submitted_to: Vec<DomainName>,
    /// Refusals of pools that could not serve the job in time.
    declined: Vec<DeclinedOffer>,
    /// Number of pools that were asked to serve the job late.
    late_offers: usize,
    /// Whether a pool has reported that a task was placed.
    started: bool,
    /// Earliest time at which the caller can have sent the job last.
    caller_seen_at: UnixTime,
    /// Earliest time at which the caller may have left unheard; `None` if it still waits as far as is
    /// known.
    doubted_from: Option<UnixTime>,
}

/// Refusal of a pool that could not serve a job in time.
#[derive(Clone, Debug)]
struct DeclinedOffer {
    domain: DomainName,
    /// Wait that the pool expects for such a job.
    wait: Duration,
}

/// Last known state of a pool.
#[derive(Clone, Debug, Default)]
struct PoolView {
    /// Current connection; `None` while there is none.
    connection: Option<PoolConnection>,
    /// Fencing token of the pool's term as leader, as it last told; `None` if it has told none.
    term: Option<u64>,
    load: PoolLoad,
    /// Time of the last heartbeat of any pool of the failure domain.
    heartbeat_at: Option<UnixTime>,
    /// Earliest time at which callers of runs there may have lost their host, unless a leader has
    /// ended these runs since.
    callers_lost_at: Option<UnixTime>,
    /// Processes whose relays held jobs at the last leader, as it has published them.
    members: Option<Vec<u64>>,
}

/// Routes the open jobs of the callers of one process.
#[derive(Clone, Debug)]
pub struct Relay {
    settings: RelaySettings,
    local_domain: DomainName,
    jobs: FxHashMap<JobName, RelayJob>,
    pools: FxHashMap<DomainName, PoolView>,
    /// Number of the next connection to a pool.
    next_connection: u64,
    /// Distribution of jobs while the local failure domain is evacuated.
    rotation: PoolRotation,
    /// Crashes of workers under the tasks of recent jobs, as pools have reported them.
    crashes: CrashMemory,
    /// Admission state as published by pools.
    gate: RouteGate,
    /// Jobs whose callers have left after a task started, with the time until which they are kept.
    started_jobs: FxHashMap<JobName, UnixTime>,
    /// Time of the last tick.
    ticked_at: UnixTime,
    /// Time until which no job is submitted after a process pause.
    sending_paused_until: UnixTime,
    /// Time from which jobs of doubted callers are given up after a process pause.
    giving_up_from: UnixTime,
    /// Last pauses of the process, while ends of connections that were sent during them may arrive.
    pauses: Option<PauseSeries>,
    /// Time since which the connections of callers have been set up that can still carry a request.
    callers_connected_since: UnixTime,
    /// Pools that connected before that time.
    connected_while_paused: Vec<DomainName>,
    /// Messages that arrived before that time and may lead to a submission, with all that arrived
    /// later about the same jobs over the same connections.
    held_messages: Vec<(PoolConnection, PoolMessage)>,
    actions: Vec<RelayAction>,
}

impl Relay {
    /// Creates a relay in a failure domain.
    #[must_use]
    pub fn new(settings: RelaySettings, local_domain: DomainName) -> Self {
        Self {
            settings,
            local_domain,
            jobs: FxHashMap::default(),
            pools: FxHashMap::default(),
            next_connection: 1,
            rotation: PoolRotation::default(),
            crashes: CrashMemory::default(),
            gate: RouteGate::default(),
            started_jobs: FxHashMap::default(),
            ticked_at: UnixTime::default(),
            sending_paused_until: UnixTime::default(),
            giving_up_from: UnixTime::default(),
            pauses: None,
            callers_connected_since: UnixTime::default(),
            connected_while_paused: Vec::new(),
            held_messages: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Takes the pending actions for the driver.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<RelayAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of open jobs of a route without a started task.
    #[must_use]
    pub fn unstarted_jobs(&self, route: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.started && job.submission.policy.route.as_str() == route)
            .count()
    }

    /// Returns whether callers are served here as well as elsewhere: the local pool is connected, or
    /// at least half of the `known_pools`. A relay that is cut off with a single foreign pool would
    /// overload it with the callers of its own failure domain.
    #[must_use]
    pub fn is_well_connected(&self, known_pools: usize) -> bool {
        let connected = self
            .pools
            .values()
            .filter(|pool| pool.is_connected())
            .count();
        let reaches_most = connected > 0 && connected * 2 >= known_pools;
        reaches_most || self.is_connected(&self.local_domain)
    }

    /// Returns whether the pool of a failure domain is connected.
    #[must_use]
    pub fn is_connected(&self, domain: &DomainName) -> bool {
        self.pools.get(domain).is_some_and(PoolView::is_connected)
    }

    /// Returns whether the failure domain of a connected pool is evacuated, as it last reported.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        let pool = self.pools.get(domain);
        pool.is_some_and(|pool| pool.is_connected() && pool.load.evacuated)
    }

    /// Accepts a job of a caller. A job that is already open keeps its runs, and its answer goes to
    /// the latest caller.
    pub fn accept(&mut self, submission: JobSubmission, now: UnixTime) {
        self.accept_offered(submission, None, now);
    }

    /// Accepts a job of a caller for which [`Relay::offer_early`] has decided on the first offer.
    pub fn accept_offered(
        &mut self,
        submission: JobSubmission,
        early_offer: Option<RouteOffer>,
        now: UnixTime,
    ) {
        let name = submission.work.job.clone();
        let caller_seen_at = self.earliest_sending(now);
        if let Some(job) = self.jobs.get_mut(&name) {
            job.submission.deadline = submission.deadline;
            job.caller_seen_at = caller_seen_at;
            job.doubted_from = None;
            return;
        }
        let job = RelayJob {
            submission,
            state: JobState::Held,
            parts: Vec::new(),
            is_split: false,
            submitted_to: Vec::new(),
            declined: Vec::new(),
            late_offers: 0,
            started: false,
            caller_seen_at,
            doubted_from: None,
        };
        self.jobs.insert(name.clone(), job);
        if now >= self.sending_paused_until {
            self.make_first_offer(&name, early_offer, now);
        }
    }

    /// Submits a job to its first pool, or refuses it if no pool is connected or the failure domains
    /// of all connected pools are evacuated.
    fn submit_to_first_pool(&mut self, name: &JobName) {
        match self.first_pool(name) {
            Some(domain) => self.submit_to(name, domain),
            None if self.pools.values().any(PoolView::is_connected) => {
                self.refuse_unserved(name, Refusal::Evacuated);
            }
            None => self.refuse_unserved(name, Refusal::NoPool),
        }
    }

    /// Cancels the job of a caller that has disconnected.
    pub fn caller_disconnected(&mut self, name: &JobName) {
        let Some(job) = self.jobs.remove(name) else {
            return;
        };
        if job.started || job.submission.resumed {
            self.remember_started(name);
        }
        self.cancel_elsewhere(name, &job, None);
    }

    /// Records a connection to a pool, which leads with the fencing token `term` if it tells so, and
    /// returns it, to be passed on with all that the pool reports. Jobs in doubt after the loss of an
    /// earlier connection to the same failure domain are resubmitted.
    pub fn pool_connected(
        &mut self,
        domain: &DomainName,
        term: Option<u64>,
        now: UnixTime,
    ) -> PoolConnection {
        if let Some(replaced) = self.connection(domain) {
            let heard_at = self.pools.get(domain).and_then(|pool| pool.heartbeat_at);
            let loss = PoolLoss {
                cause: LossCause::ClaimChanged,
                last_message_at: heard_at.unwrap_or(now),
            };
            self.pool_lost(&replaced, loss);
        }
        let connection = PoolConnection::new(domain.clone(), self.next_connection);
        self.next_connection += 1;
        let view = self.pools.entry(domain.clone()).or_default();
        view.connection = Some(connection.clone());
        view.term = term;
        view.load = PoolLoad::default();
        self.gate.forget_pool(domain);
        if now >= self.sending_paused_until {
            self.resume_jobs_of(domain);
        } else {
            self.connected_while_paused.push(domain.clone());
        }
        connection
    }

    /// Returns the current connection to the pool of a failure domain.
    #[must_use]
    pub fn connection(&self, domain: &DomainName) -> Option<PoolConnection> {
        self.pools.get(domain)?.connection.clone()
    }

    /// Returns the pool of a connection if that is the current one to its failure domain.
    fn current_pool(&mut self, connection: &PoolConnection) -> Option<&mut PoolView> {
        let pool = self.pools.get_mut(connection.domain())?;
        (pool.connection.as_ref() == Some(connection)).then_some(pool)
    }

    /// Logs that something is not applied because it concerns a connection that has ended.
    fn log_former_pool(&mut self, connection: &PoolConnection, what: &'static str) {
        let decision = Decision::FormerPoolIgnored {
            pool: connection.domain().clone(),
            what,
            is_connected: self.is_connected(connection.domain()),
        };
        self.actions.push(RelayAction::LogDecision(decision));
    }

    /// Resubmits the jobs of an earlier pool of a failure domain to its current pool.
    fn resume_jobs_of(&mut self, domain: &DomainName) {
        let names: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.doubted_from.is_none() && job.is_rest_in_doubt_at(domain))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.resume(&name, domain.clone(), HandoverReason::Reconnected);
        }
        self.resume_parts_of(domain);
        let resumed = RelayAction::Send(domain.clone(), RelayMessage::Resumed);
        self.actions.push(resumed);
    }

    /// Records the loss of a connection to a pool. The jobs there are in doubt from now on. The loss of
    /// a connection that is not the current one changes nothing.
    pub fn pool_lost(&mut self, connection: &PoolConnection, loss: PoolLoss) {
        let Some(pool) = self.current_pool(connection) else {
            self.log_former_pool(connection, "loss");
            return;
        };
        pool.connection = None;
        pool.callers_lost_at = pool.callers_lost_at.or(pool.heartbeat_at);
        let earlier_workers = pool.load.listed_workers;
        let runs = DoubtfulRuns {
            term: pool.term,
            ended_by: loss.last_message_at.after(self.settings.lost_pool_wait),
        };
        let domain = connection.domain();
        self.gate.forget_pool(domain);
        let parts = self.parts_lost(domain, runs, earlier_workers);
        let mut jobs = 0;
        for job in self.jobs.values_mut() {
            if matches!(&job.state, JobState::AtPool(at) if at == domain) {
                let known = &mut job.submission.earlier_workers;
                *known = earlier_workers.max(*known);
                job.state = JobState::InDoubt {
                    domain: domain.clone(),
                    runs,
                };
                jobs += 1;
            }
        }
        if jobs + parts > 0 {
            let decision = Decision::JobsInDoubt {
                pool: domain.clone(),
                cause: loss.cause,
                jobs,
                parts,
            };
            self.actions.push(RelayAction::LogDecision(decision));
        }
    }

    /// Records the fencing token with which a pool leads, as it reports it.
    pub fn update_term(&mut self, connection: &PoolConnection, term: Option<u64>) {
        if let Some(pool) = self.current_pool(connection) {
            pool.term = term;
        }
    }

    /// Records the load reported by a pool.
    pub fn update_pool_load(&mut self, connection: &PoolConnection, load: PoolLoad) {
        if let Some(pool) = self.current_pool(connection) {
            pool.load = load;
        }
    }

    /// Records the time at which callers of runs of a failure domain may have lost their host, as
    /// its leader has published it; `None` if they are all connected.
    pub fn update_caller_loss(
        &mut self,
        connection: &PoolConnection,
        lost_at: Option<UnixTime>,
        now: UnixTime,
    ) {
        if let Some(pool) = self.current_pool(connection) {
            pool.heartbeat_at = Some(now);
            pool.callers_lost_at = lost_at;
        }
    }

    /// Returns the earliest time at which callers of runs of a failure domain may have lost their
    /// host, to be reported to its next leader: what the last one has published, or the time of its
    /// last heartbeat. `None` if no leader was ever connected.
    #[must_use]
    pub fn callers_lost_at(&self, domain: &DomainName) -> Option<UnixTime> {
        let pool = self.pools.get(domain)?;
        pool.callers_lost_at.or(pool.heartbeat_at)
    }

    /// Records the processes whose relays hold jobs at a pool, as it has published them.
    pub fn update_members(&mut self, connection: &PoolConnection, incarnations: Vec<u64>) {
        if let Some(pool) = self.current_pool(connection) {
            pool.members = Some(incarnations);
        }
    }

    /// Records that the process of a leader has ended, together with its relay.
    pub fn leader_ended(&mut self, domain: &DomainName, incarnation: u64) {
        let pool = self.pools.get_mut(domain);
        if let Some(members) = pool.and_then(|pool| pool.members.as_mut()) {
            members.retain(|member| *member != incarnation);
        }
    }

    /// Returns the processes whose relays will resubmit jobs to the next leader of a failure domain;
    /// `None` if they are not known.
    #[must_use]
    pub fn members(&self, domain: &DomainName) -> Option<&[u64]> {
        self.pools.get(domain)?.members.as_deref()
    }

    /// Handles time that the process's clock did not count, because its host was suspended.
    pub fn clock_skipped(&mut self, span: Duration) {
        for pool in self.pools.values_mut() {
            pool.heartbeat_at = pool.heartbeat_at.map(|at| at.before(span));
            pool.callers_lost_at = pool.callers_lost_at.map(|at| at.before(span));
        }
        for job in self.jobs.values_mut() {
            job.clock_skipped(span);
        }
        if let Some(series) = &mut self.pauses {
            series.clock_skipped(span);
        }
        self.callers_connected_since = self.callers_connected_since.before(span);
    }

    /// Records the admission state of routes as published by a pool, which replaces its earlier
    /// state.
    pub fn update_route_admissions(
        &mut self,
        connection: &PoolConnection,
        admissions: Vec<RouteAdmission>,
        now: UnixTime,
    ) {
        if self.current_pool(connection).is_none() {
            return;
        }
        let domain = connection.domain();
        let Some(contradiction) = self.gate.update(domain, admissions, now) else {
            return;
        };
        let text = format!(
            "event=admission_state_ignored pool={domain} route={} reason={} pass_permille={} count={}",
            contradiction.route,
            contradiction.reason,
            contradiction.pass_permille,
            contradiction.count,
        );
        let decision = Decision::Text { job: None, text };
        self.actions.push(RelayAction::LogDecision(decision));
    }

    /// Sets the routes of the configuration. Published states of other routes are not used.
    pub fn set_known_routes(&mut self, routes: Vec<RouteName>) {
        self.gate.set_known_routes(routes);
    }

    /// Handles a message of a pool. Over a connection that has ended, only what stays true whichever
    /// pool holds the job is applied: ends of tasks and losses of workers.
    pub fn handle_pool_message(
        &mut self,
        connection: &PoolConnection,
        message: PoolMessage,
        now: UnixTime,
    ) {
        if now >= self.sending_paused_until {
            self.handle_held_messages(now);
        } else if self.is_to_be_held(connection, &message) {
            self.hold_message(connection, message);
            return;
        }
        self.apply_pool_message(connection, message, now);
    }

    fn apply_pool_message(
        &mut self,
        connection: &PoolConnection,
        message: PoolMessage,
        now: UnixTime,
    ) {
        let domain = connection.domain();
        if self.current_pool(connection).is_none() && !message.is_fact() {
            self.log_former_pool(connection, message.kind());
            return;
        }
        if message.may_move_job()
            && let Some(job) = message.job()
            && self.is_caller_doubted(job)
            && self.job_at(job, domain).is_some()
        {
            self.give_up_moved_job(&job.clone(), &message, now);
            return;
        }
        match message {
            PoolMessage::Placed { job, placements } => {
                if let Some(job) = self.job_at(&job, domain) {
                    job.started |= !placements.is_empty();
                    job.acknowledged_by(domain);
                    job.record_placements(placements);
                } else if !placements.is_empty() {
                    self.stop_foreign_start(&job, domain);
                }
            }
            PoolMessage::TaskDone { job, index } => {
                if let Some(record) = self.jobs.get_mut(&job) {
                    record.task_done(index);
                    self.complete_if_done(&job);
                }
            }
            PoolMessage::Released {
                job,
                tasks,
                requester,
            } => self.tasks_released(&job, domain, &tasks, &requester),
            // Handled by the pool of this process.
            PoolMessage::Steal(_) => {}
            PoolMessage::TaskCrashed { job, crash } => {
                let retention = self.settings.crash_retention;
                self.crashes.record(&job, crash, retention, now);
            }
            PoolMessage::Ended { job, outcome, wait } => {
                let runs = DoubtfulRuns {
                    term: self.pools.get(domain).and_then(|pool| pool.term),
                    ended_by: now.after(self.settings.lost_pool_wait),
                };
                let Some(record) = self.job_at(&job, domain) else {
                    return;
                };
                if outcome == JobOutcome::PartCompleted {
                    record.started = true;
                    record.is_split = true;
                }
                if record.is_split {
                    self.part_ended(&job, domain, outcome, now);
                    return;
                }
                if outcome == JobOutcome::Returned {
                    self.job_returned(&job, domain);
                    return;
                }
                let may_have_run = record.started || record.submission.resumed;
                let is_unknown = outcome == JobOutcome::Refused(Refusal::Unknown);
                if may_have_run && matches!(outcome, JobOutcome::Refused(_)) && !is_unknown {
                    // The pool is no longer leader, and the job's runs may continue for a while.
                    record.state = JobState::InDoubt {
                        domain: domain.clone(),
                        runs,
                    };
                    return;
                }
                self.job_ended(&job, outcome, wait, now);
            }
        }
    }

    /// Returns whether a message that arrives soon after a process pause is handled later: because it
    /// may move a job, or because such a message about the same job has arrived over the same
    /// connection and what it means depends on that one. Jobs of doubted callers are not moved.
    fn is_to_be_held(&self, connection: &PoolConnection, message: &PoolMessage) -> bool {
        let is_doubted = message.job().is_some_and(|job| self.is_caller_doubted(job));
        let mut held = self.held_messages.iter();
        message.may_move_job() && !is_doubted
            || held.any(|(other, earlier)| other == connection && earlier.job() == message.job())
    }

    /// Handles the messages that were held after a process pause, in the order of their arrival.
    fn handle_held_messages(&mut self, now: UnixTime) {
        for (connection, message) in std::mem::take(&mut self.held_messages) {
            self.apply_pool_message(&connection, message, now);
        }
    }

    /// Puts a message aside until submissions are allowed again.
    fn hold_message(&mut self, connection: &PoolConnection, message: PoolMessage) {
        if let Some(job) = message.job() {
            let text = format!(
                "event=pool_message_held job={job} pool={} kind={}",
                connection.domain(),
                message.kind(),
            );
            let decision = Decision::Text {
                job: Some(job.as_str().into()),
                text,
            };
            self.actions.push(RelayAction::LogDecision(decision));
        }
        self.held_messages.push((connection.clone(), message));
    }

    /// Performs timed work; to be called at least every 50 ms while jobs are open.
    pub fn tick(&mut self, now: UnixTime) {
        self.crashes.expire(now);
        self.expire_started_jobs(now);
        self.give_up_doubted_jobs(now);
        if now < self.sending_paused_until {
            return;
        }
        self.handle_held_messages(now);
        let held_jobs = self.jobs.iter().filter(|(_, job)| job.is_held());
        let held_jobs: Vec<JobName> = held_jobs.map(|(name, _)| name.clone()).collect();
        for name in held_jobs {
            self.make_first_offer(&name, None, now);
        }
        for domain in std::mem::take(&mut self.connected_while_paused) {
            if self.is_connected(&domain) {
                self.resume_jobs_of(&domain);
            }
        }
        let due: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.has_ended_by(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            match self.first_pool(&name) {
                Some(domain) => self.resume(&name, domain, HandoverReason::RunsEnded),
                None => self.refuse_unserved(&name, Refusal::Unknown),
            }
        }
        self.reassign_ended_parts(now);
    }

    /// Cancels a job at a pool that has started tasks of it although it is at another pool by now.
    fn stop_foreign_start(&mut self, name: &JobName, domain: &DomainName) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let decision = Decision::ForeignStart {
            job: name.clone(),
            pool: domain.clone(),
            held_by: job.domain().cloned(),
        };
        self.actions.push(RelayAction::LogDecision(decision));
        self.cancel_at(name, domain);
    }

    fn job_at(&mut self, name: &JobName, domain: &DomainName) -> Option<&mut RelayJob> {
        let job = self.jobs.get_mut(name)?;
        job.is_at(domain).then_some(job)
    }

    /// Resubmits a begun job whose runs have all ended at the pool of an evacuated failure domain.
    fn job_returned(&mut self, name: &JobName, domain: &DomainName) {
        self.record_evacuation(domain);
        if let Some(job) = self.jobs.get_mut(name) {
            // The pool knows that no run is left, so the next one has no earlier runs to wait for.
            job.submission.placements.clear();
            job.submission.earlier_workers = 0;
            job.submission.acknowledged = true;
        }
        match self.first_pool(name) {
            Some(domain) => self.resume(name, domain, HandoverReason::Returned),
            None => self.refuse_unserved(name, Refusal::Unknown),
        }
    }

    /// Records that a pool's failure domain is evacuated, which its next load report would tell.
    fn record_evacuation(&mut self, domain: &DomainName) {
        if let Some(pool) = self.pools.get_mut(domain) {
            pool.load.evacuated = true;
            pool.load.free_cpu_milli = 0;
        }
    }

    fn job_ended(&mut self, name: &JobName, outcome: JobOutcome, wait: Duration, now: UnixTime) {
        let answer = match outcome {
            JobOutcome::Completed => JobAnswer::Completed,
            JobOutcome::Failed => JobAnswer::Failed,
            // Handled by `part_ended` and `job_returned`.
            JobOutcome::PartCompleted | JobOutcome::Returned => return,
            JobOutcome::Refused(refusal) => {
                if let Some(domain) = self.pool_after_refusal(name, refusal, wait, now) {
                    self.submit_to(name, domain);
                    return;
                }
                JobAnswer::Refused {
                    refusal,
                    retry_after: self.retry_after_refusal(name, wait, now),
                }
            }
        };
        self.jobs.remove(name);
        self.actions.push(RelayAction::Answer(name.clone(), answer));
    }

    /// Submits a job to the given pool.
    fn submit_to(&mut self, name: &JobName, domain: DomainName) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.absorb_part(&domain);
        let Some(mut submission) = job.rest_submission() else {
            job.state = JobState::Elsewhere;
            return;
        };
        job.state = JobState::AtPool(domain.clone());
        job.submitted_to.push(domain.clone());
        if let Some(history) = self.crashes.history(name) {
            submission.crashes = history.clone();
        }
        let message = RelayMessage::Submit(Box::new(submission));
        // Only the new pool's acknowledgement counts from now on.
        job.submission.acknowledged = false;
        self.actions.push(RelayAction::Send(domain, message));
    }

    /// Resubmits a job that another pool may have started.
    fn resume(&mut self, name: &JobName, domain: DomainName, reason: HandoverReason) {
        let term = self.pools.get(&domain).and_then(|pool| pool.term);
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if let JobState::InDoubt { runs, .. } = job.state {
            job.wait_for(runs, term);
        }
        job.submission.resumed = true;
        let from = job.domain().cloned();
        let decision = Decision::JobHandedOver {
            job: name.clone(),
            pool: domain.clone(),
            from: from.clone(),
            reason,
            done: job.submission.done.len(),
            started: job.started,
        };
        self.actions.push(RelayAction::LogDecision(decision));
        if let Some(from) = from.filter(|from| *from != domain) {
            self.cancel_at(name, &from);
        }
        self.submit_to(name, domain);
    }

    /// Cancels a job at the pool of a failure domain that holds none of it any more, if that pool is
    /// connected.
    fn cancel_at(&mut self, name: &JobName, domain: &DomainName) {
        let is_held_there = self.jobs.get(name).is_some_and(|job| job.is_at(domain));
        if self.is_connected(domain) && !is_held_there {
            let message = RelayMessage::Cancel(name.clone());
            self.actions
                .push(RelayAction::Send(domain.clone(), message));
        }
    }

    fn refuse_unserved(&mut self, name: &JobName, refusal: Refusal) {
        if let Some(job) = self.jobs.remove(name)
            && job.is_split
        {
            self.cancel_elsewhere(name, &job, None);
        }
        let decision = Decision::RefusedUnserved {
            job: name.clone(),
            refusal,
            pools_connected: self
                .pools
                .values()
                .filter(|pool| pool.is_connected())
                .count(),
        };
        self.actions.push(RelayAction::LogDecision(decision));
        let answer = JobAnswer::Refused {
            refusal,
            retry_after: self.settings.min_retry_after,
        };
        self.actions.push(RelayAction::Answer(name.clone(), answer));
    }

    /// Returns the pool of the local failure domain if it is connected, else the pool with the most
    /// free CPU. While the local failure domain is evacuated, returns the pool whose turn it is.
    fn first_pool(&mut self, name: &JobName) -> Option<DomainName> {
        let local = self.pools.get(&self.local_domain);
        match local.filter(|pool| pool.is_connected()) {
            Some(pool) if pool.load.evacuated => self.spread_over_others(name),
            Some(_) => Some(self.local_domain.clone()),
            None => self.pool_with_most_free_cpu(|_, _| true),
        }
    }

    /// Returns the pool whose turn it is among those that have free CPU for a task of the job, or
    /// among all if none has.
    fn spread_over_others(&mut self, name: &JobName) -> Option<DomainName> {
        let job = self.jobs.get(name)?;
        let cpu_milli = u64::from(job.submission.work.resources.cpu_milli);
        let mut pools: Vec<(DomainName, u64)> = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.accepts_jobs())
            .map(|(domain, pool)| (domain.clone(), pool.load.free_cpu_milli))
            .collect();
        pools.sort_unstable();
        if pools
            .iter()
            .any(|(_, free_cpu_milli)| *free_cpu_milli >= cpu_milli)
        {
            pools.retain(|(_, free_cpu_milli)| *free_cpu_milli >= cpu_milli);
        }
        self.rotation.choose(&pools)
    }

    /// Returns the pool to which a refused job is submitted next: first pools that may serve it in
    /// time, then those that may serve it late. Returns `None` if its caller is to be refused.
    fn pool_after_refusal(
        &mut self,
        name: &JobName,
        refusal: Refusal,
        wait: Duration,
        now: UnixTime,
    ) -> Option<DomainName> {
        let job = self.jobs.get_mut(name)?;
        match refusal {
            Refusal::Overloaded => {
                if let JobState::AtPool(domain) = &job.state {
                    let domain = domain.clone();
                    job.declined.retain(|declined| declined.domain != domain);
                    if !job.submission.accepts_late {
                        job.declined.push(DeclinedOffer { domain, wait });
                    }
                }
            }
            Refusal::Expired => job.submission.accepts_late = true,
            Refusal::Evacuated => return self.pool_after_evacuation(name, now),
            Refusal::NoPool => {}
            Refusal::NeverFits
            | Refusal::NoConfiguration
            | Refusal::NoRoute
            | Refusal::Malformed
            | Refusal::TooLarge
            | Refusal::Unsupported
            | Refusal::Unknown
            | Refusal::HostFull
            | Refusal::TooSlow
            | Refusal::OutOfDate => return None,
        }
        if !job.submission.accepts_late
            && let Some(domain) = self.next_pool(name, now)
        {
            return Some(domain);
        }
        self.next_late_pool(name, now)
    }

    /// Returns the pool to which a job is submitted next that an evacuated pool has refused. That
    /// pool has not evaluated the job, so the submission to it does not count as an offer.
    fn pool_after_evacuation(&mut self, name: &JobName, now: UnixTime) -> Option<DomainName> {
        let job = self.jobs.get_mut(name)?;
        let JobState::AtPool(domain) = &job.state else {
            return None;
        };
        let domain = domain.clone();
        job.declined.retain(|declined| declined.domain != domain);
        let accepts_late = job.submission.accepts_late;
        if accepts_late {
            job.late_offers = job.late_offers.saturating_sub(1);
        }
        let is_evaluated = accepts_late || !job.declined.is_empty();
        self.record_evacuation(&domain);
        if !is_evaluated {
            return self.first_pool(name);
        }
        if !accepts_late && let Some(next) = self.next_pool(name, now) {
            return Some(next);
        }
        self.next_late_pool(name, now)
    }

    /// Returns the pool that expects to serve the job soonest, or one that was not asked yet.
    fn next_late_pool(&mut self, name: &JobName, now: UnixTime) -> Option<DomainName> {
        let job = self.jobs.get(name)?;
        if job.late_offers >= self.max_late_offers(&job.submission.policy.route, now) {
            return None;
        }
        let soonest = job
            .declined
            .iter()
            .filter(|declined| {
                let pool = self.pools.get(&declined.domain);
                pool.is_some_and(PoolView::accepts_jobs)
            })
            .min_by_key(|declined| declined.wait)
            .map(|declined| declined.domain.clone());
        let domain = match soonest {
            Some(domain) if self.passes_on_late(name, &domain, now) => domain,
            Some(_) => return None,
            None => self.next_pool(name, now)?,
        };
        let job = self.jobs.get_mut(name)?;
        job.late_offers += 1;
        job.submission.accepts_late = true;
        Some(domain)
    }

    /// Returns a pool to which the job was not submitted yet, that has enough free CPU for one of
    /// its tasks and whose published state passes the job.
    fn next_pool(&mut self, name: &JobName, now: UnixTime) -> Option<DomainName> {
        let mut passed_over: Vec<DomainName> = Vec::new();
        loop {
            let job = self.jobs.get(name)?;
            let cpu_milli = u64::from(job.submission.work.resources.cpu_milli);
            let domain = self.pool_with_most_free_cpu(|domain, pool| {
                !job.submitted_to.contains(domain)
                    && !passed_over.contains(domain)
                    && pool.load.free_cpu_milli >= cpu_milli
            })?;
            if self.passes_on(name, &domain, now) {
                return Some(domain);
            }
            passed_over.push(domain);
        }
    }

    /// Returns the published state of a route at a pool if it is recent and the pool does not pass
    /// all jobs.
    #[must_use]
    pub fn published_overload(
        &self,
        domain: &DomainName,
        route: &RouteName,
        now: UnixTime,
    ) -> Option<&RouteAdmission> {
        self.gate.overload(domain, route, now)
    }

    /// Returns the known pools in order of their names.
    pub(crate) fn pool_states(&self) -> Vec<PoolState> {
        let mut states: Vec<PoolState> = self
            .pools
            .iter()
            .map(|(domain, view)| PoolState {
                domain: domain.clone(),
                is_local: *domain == self.local_domain,
                is_connected: view.is_connected(),
                load: view.load,
            })
            .collect();
        states.sort_by(|left, right| left.domain.cmp(&right.domain));
        states
    }

    fn pool_with_most_free_cpu(
        &self,
        is_eligible: impl Fn(&DomainName, &PoolView) -> bool,
    ) -> Option<DomainName> {
        self.pools
            .iter()
            .filter(|(domain, pool)| pool.accepts_jobs() && is_eligible(domain, pool))
            .max_by_key(|(domain, pool)| (pool.load.free_cpu_milli, (*domain).clone()))
            .map(|(domain, _)| domain.clone())
    }
}

impl PoolView {
    /// Returns whether jobs that are not running there can be submitted to the pool.
    const fn accepts_jobs(&self) -> bool {
        self.is_connected() && !self.load.evacuated
    }

    const fn is_connected(&self) -> bool {
        self.connection.is_some()
    }
}

impl RelayJob {
    /// Returns the failure domain at whose pool the job, or what belongs to no part, is or was last.
    const fn domain(&self) -> Option<&DomainName> {
        match &self.state {
            JobState::AtPool(domain) | JobState::InDoubt { domain, .. } => Some(domain),
            JobState::Held | JobState::Elsewhere => None,
        }
    }

    fn record_placements(&mut self, placements: Vec<TaskPlacement>) {
        let known = &mut self.submission.placements;
        known.retain(|old| placements.iter().all(|new| new.index != old.index));
        known.extend(placements);
    }

    fn is_rest_in_doubt_at(&self, lost: &DomainName) -> bool {
        matches!(&self.state, JobState::InDoubt { domain, .. } if domain == lost)
    }

    const fn is_held(&self) -> bool {
        matches!(self.state, JobState::Held)
    }

    fn has_ended_by(&self, now: UnixTime) -> bool {
        matches!(&self.state, JobState::InDoubt { runs, .. } if runs.ended_by <= now)
    }

    /// Lets the next pool, which leads with the fencing token `term`, start no task before the runs
    /// of a lost pool have ended. A pool that has led since then knows its own runs.
    fn wait_for(&mut self, runs: DoubtfulRuns, term: Option<u64>) {
        if runs.term.is_none() || runs.term != term {
            let ended_by = &mut self.submission.earlier_runs_end_by;
            *ended_by = runs.ended_by.max(*ended_by);
        }
    }
}
