//! The dispatch kernel, which takes all task scheduling decisions of one entry process.
//!
//! The driver calls [`DispatchKernel::handle`] with an event and the current time, and performs the
//! [`KernelAction`]s that the kernel returns. The kernel is the only writer of its state and does
//! no I/O.
//!
//! - [`action`] defines the requests to the driver.
//! - [`event`] defines the inputs from the driver.
//! - [`settings`] defines limits and timeouts.
//! - [`snapshot`] defines counters and the state dump.

pub mod action;
mod admission;
mod attempt_results;
mod attempts;
mod dispatch;
pub mod event;
mod fleet;
mod loans;
mod places;
mod quota;
mod recent_work;
mod retry;
pub mod settings;
pub mod snapshot;
mod submissions;
mod waiting;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::estimate::RunTimeEstimator;
use crate::health::HealthTable;
use crate::invariants::InvariantMonitor;
use crate::names::{DomainName, HostName};
use crate::outcomes::OutcomeStore;
use crate::places::PlaceTable;
use crate::queue::{QueuePolicyRegistry, register_enabled};
use crate::slots::{SlotCounts, SlotTable};
use crate::teams::TeamIndex;
use crate::units::{TicketSerial, UnixTime};
use crate::worker::WorkerTable;

use self::action::KernelAction;
use self::attempts::AttemptTable;
use self::event::KernelEvent;
use self::fleet::FleetState;
use self::loans::LoanRequestTracker;
use self::quota::QuotaTracker;
use self::recent_work::RecentWorkTracker;
use self::retry::RetryBudget;
use self::settings::KernelSettings;
use self::snapshot::KernelCounters;
use self::waiting::WaitingTasks;

/// Identity of the host that the kernel runs on.
#[derive(Clone, Debug)]
pub struct KernelIdentity {
    /// Name of this host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Accepts jobs, dispatches their tasks to workers and answers callers.
///
/// See the [module documentation](self).
#[derive(Debug)]
pub struct DispatchKernel {
    identity: KernelIdentity,
    settings: KernelSettings,
    teams: TeamIndex,
    outcomes: OutcomeStore,
    deadlines: BTreeSet<(UnixTime, TicketSerial)>,
    waiting: WaitingTasks,
    attempts: AttemptTable,
    workers: WorkerTable,
    places: PlaceTable,
    fleet: FleetState,
    slots: SlotTable,
    loans: LoanRequestTracker,
    quotas: QuotaTracker,
    health: HealthTable,
    estimates: RunTimeEstimator,
    recent_work: RecentWorkTracker,
    retry_budget: RetryBudget,
    counters: KernelCounters,
    monitor: InvariantMonitor,
    draining: bool,
    active_jobs: usize,
    next_sweep: UnixTime,
    rng: SmallRng,
}

impl DispatchKernel {
    /// Creates the kernel of a new incarnation.
    ///
    /// # Panics
    ///
    /// Panics if the settings name an unregistered queue policy; check the name with
    /// [`KernelSettings::is_known_queue_policy`] first.
    #[must_use]
    pub fn new(identity: KernelIdentity, settings: KernelSettings) -> Self {
        let mut registry = QueuePolicyRegistry::default();
        register_enabled(&mut registry);
        let waiting = WaitingTasks::new(registry, settings.queue_policy.clone());
        let rng = SmallRng::seed_from_u64(identity.seed);
        let retry_budget = RetryBudget::new(settings.retry_percent);
        Self {
            identity,
            settings,
            teams: TeamIndex::default(),
            outcomes: OutcomeStore::default(),
            deadlines: BTreeSet::new(),
            waiting,
            attempts: AttemptTable::default(),
            workers: WorkerTable::default(),
            places: PlaceTable::default(),
            fleet: FleetState::default(),
            slots: SlotTable::default(),
            loans: LoanRequestTracker::default(),
            quotas: QuotaTracker::default(),
            health: HealthTable::default(),
            estimates: RunTimeEstimator::default(),
            recent_work: RecentWorkTracker::default(),
            retry_budget,
            counters: KernelCounters::default(),
            monitor: InvariantMonitor::default(),
            draining: false,
            active_jobs: 0,
            next_sweep: UnixTime::default(),
            rng,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: KernelEvent, now: UnixTime, actions: &mut Vec<KernelAction>) {
        match event {
            KernelEvent::Submitted(submission) => self.on_submitted(submission, now, actions),
            KernelEvent::Queried {
                serial,
                expiry,
                token,
            } => {
                self.on_queried(serial, expiry, token, now, actions);
            }
            KernelEvent::Cancelled {
                serial,
                expiry,
                token,
            } => {
                self.on_cancelled(serial, expiry, token, now, actions);
            }
            KernelEvent::AttemptEnded { attempt, result } => {
                self.on_attempt_ended(attempt, result, now, actions);
            }
            KernelEvent::WorkersListed(profiles) => self.on_workers_listed(profiles, now),
            KernelEvent::WorkerLeaving(name) => self.on_worker_leaving(&name, now),
            KernelEvent::WorkerLive(name) => self.on_worker_live(&name),
            KernelEvent::PeersChanged(peers) => self.on_peers_changed(peers),
            KernelEvent::ConfigurationChanged(configuration) => {
                self.on_configuration_changed(&configuration)
            }
            KernelEvent::LoanRequested(request) => self.on_loan_requested(&request, now, actions),
            KernelEvent::LoanReplied(reply) => self.on_loan_replied(reply, now),
            KernelEvent::LoanReturned { borrower, slots } => {
                self.on_loan_returned(&borrower, &slots)
            }
            KernelEvent::DrainStarted => self.draining = true,
            KernelEvent::StopDeadlineReached => self.fail_all_jobs(now, actions),
            KernelEvent::Tick => {}
        }
        self.expire(now, actions);
        self.dispatch(now, actions);
        self.request_loans(now, actions);
    }

    /// Returns the latest time by which the driver must send the next [`KernelEvent::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Option<UnixTime> {
        let times = [
            self.deadlines.first().map(|(time, _)| *time),
            self.attempts.next_deadline(),
            self.slots.next_timer(),
            self.fleet.next_probe(),
            self.loans.next_wakeup(),
            self.outcomes
                .next_expiry()
                .map(|time| self.removal_time(time)),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the time of the sweep that removes an outcome with the given expiry.
    fn removal_time(&self, expiry: UnixTime) -> UnixTime {
        let expired = expiry.after(Duration::from_micros(1));
        expired.max(self.next_sweep)
    }

    /// Returns whether a drain was started and no accepted job is left.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.active_jobs == 0
    }

    /// Returns the results of the invariant checks.
    #[must_use]
    pub const fn monitor(&self) -> &InvariantMonitor {
        &self.monitor
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> &KernelCounters {
        &self.counters
    }

    /// Returns the number of tasks that are waiting to be sent.
    #[must_use]
    pub const fn waiting_tasks(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the slot counts by state.
    #[must_use]
    pub const fn slot_counts(&self) -> SlotCounts {
        self.slots.counts()
    }

    /// Handles all timers and deadlines that are due at `now`.
    fn expire(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        self.slots.expire(now);
        self.start_due_probes(now);
        self.fail_overdue_jobs(now, actions);
        self.abandon_overdue_attempts(now, actions);
        if now >= self.next_sweep {
            self.next_sweep = now.after(self.settings.sweep_interval);
            self.outcomes.remove_expired(now);
            self.recent_work.forget_inactive(now);
            self.return_idle_loans(now, actions);
        }
    }
}
