//! The dispatch kernel: every decision of one entry process about tasks.
//!
//! The driver calls [`DispatchKernel::handle`] with an event and the present time, and carries
//! out the [`KernelAction`]s that come back. The kernel is the only writer of its state; it does
//! no input or output.
//!
//! - [`action`] holds what the driver is asked to do.
//! - [`event`] holds what the driver reports.
//! - [`settings`] holds the limits.
//! - [`snapshot`] holds the state dump.

pub mod action;
mod admission;
mod answers;
mod attempts;
mod demand;
mod dispatch;
pub mod event;
mod fleet;
mod loans;
mod places;
mod quota;
mod retry;
pub mod settings;
pub mod snapshot;
mod submissions;
mod waiting;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::estimate::RunTimeTable;
use crate::health::HealthTable;
use crate::invariants::InvariantMonitor;
use crate::names::{DomainName, HostName};
use crate::outcomes::OutcomeBook;
use crate::places::PlaceTable;
use crate::queue::{OrderRegistry, register_enabled};
use crate::slots::{SlotCounts, SlotTable};
use crate::teams::TeamDirectory;
use crate::units::{TicketSerial, UnixTime};
use crate::worker::WorkerTable;

use self::action::KernelAction;
use self::attempts::AttemptTable;
use self::demand::DemandMeter;
use self::event::KernelEvent;
use self::fleet::FleetView;
use self::loans::LoanDesk;
use self::quota::QuotaLedger;
use self::retry::RetryBudget;
use self::settings::KernelSettings;
use self::snapshot::KernelCounters;
use self::waiting::WaitingTasks;

/// Who the kernel decides for.
#[derive(Clone, Debug)]
pub struct KernelIdentity {
    /// Own host.
    pub host: HostName,
    /// Own failure domain.
    pub domain: DomainName,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Every decision of one entry process about tasks.
#[derive(Debug)]
pub struct DispatchKernel {
    identity: KernelIdentity,
    settings: KernelSettings,
    teams: TeamDirectory,
    book: OutcomeBook,
    deadlines: BTreeSet<(UnixTime, TicketSerial)>,
    waiting: WaitingTasks,
    attempts: AttemptTable,
    workers: WorkerTable,
    places: PlaceTable,
    fleet: FleetView,
    slots: SlotTable,
    loans: LoanDesk,
    quotas: QuotaLedger,
    health: HealthTable,
    estimates: RunTimeTable,
    demand: DemandMeter,
    budget: RetryBudget,
    counters: KernelCounters,
    monitor: InvariantMonitor,
    draining: bool,
    active_jobs: usize,
    next_sweep: UnixTime,
    random: SmallRng,
}

impl DispatchKernel {
    /// Makes the kernel of a fresh incarnation.
    ///
    /// # Panics
    ///
    /// Panics if the settings name an unregistered queue policy; check the name with
    /// [`KernelSettings::is_known_queue_policy`] first.
    #[must_use]
    pub fn new(identity: KernelIdentity, settings: KernelSettings) -> Self {
        let mut registry = OrderRegistry::default();
        register_enabled(&mut registry);
        let waiting = WaitingTasks::new(registry, settings.queue_order.clone());
        let random = SmallRng::seed_from_u64(identity.seed);
        let budget = RetryBudget::new(settings.retry_percent);
        Self {
            identity,
            settings,
            teams: TeamDirectory::default(),
            book: OutcomeBook::default(),
            deadlines: BTreeSet::new(),
            waiting,
            attempts: AttemptTable::default(),
            workers: WorkerTable::default(),
            places: PlaceTable::default(),
            fleet: FleetView::default(),
            slots: SlotTable::default(),
            loans: LoanDesk::default(),
            quotas: QuotaLedger::default(),
            health: HealthTable::default(),
            estimates: RunTimeTable::default(),
            demand: DemandMeter::default(),
            budget,
            counters: KernelCounters::default(),
            monitor: InvariantMonitor::default(),
            draining: false,
            active_jobs: 0,
            next_sweep: UnixTime::default(),
            random,
        }
    }

    /// Takes an event and appends the actions that follow from it.
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
            KernelEvent::AttemptEnded { attempt, end } => {
                self.on_attempt_ended(attempt, end, now, actions);
            }
            KernelEvent::WorkersListed(profiles) => self.on_workers_listed(profiles, now),
            KernelEvent::WorkerLeaving(name) => self.on_worker_leaving(&name, now),
            KernelEvent::WorkerLive(name) => self.on_worker_live(&name),
            KernelEvent::PeersChanged(peers) => self.on_peers_changed(peers),
            KernelEvent::Configured(configuration) => self.on_configured(&configuration),
            KernelEvent::LoanAsked(request) => self.on_loan_asked(&request, now, actions),
            KernelEvent::LoanAnswered(reply) => self.on_loan_answered(reply, now),
            KernelEvent::LoanReturned { borrower, slots } => {
                self.on_loan_returned(&borrower, &slots)
            }
            KernelEvent::DrainStarted => self.draining = true,
            KernelEvent::StopDeadlineReached => self.give_up_everything(now, actions),
            KernelEvent::Ticked => {}
        }
        self.expire(now, actions);
        self.dispatch(now, actions);
        self.ask_for_loans(now, actions);
    }

    /// Returns the time at which the kernel wants its next [`KernelEvent::Ticked`] at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<UnixTime> {
        let times = [
            self.deadlines.first().map(|(time, _)| *time),
            self.attempts.next_deadline(),
            self.slots.next_timer(),
            self.fleet.next_probe(),
            self.loans.next_wakeup(),
            self.book.next_expiry().map(|time| self.forget_time(time)),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the time of the sweep that forgets an outcome with the given expiry.
    fn forget_time(&self, expiry: UnixTime) -> UnixTime {
        let expired = expiry.after(Duration::from_micros(1));
        expired.max(self.next_sweep)
    }

    /// Tells whether a drain was started and no accepted work is left.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.active_jobs == 0
    }

    /// Returns the checks of invariants made so far.
    #[must_use]
    pub const fn monitor(&self) -> &InvariantMonitor {
        &self.monitor
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> &KernelCounters {
        &self.counters
    }

    /// Returns the number of tasks that wait to be sent.
    #[must_use]
    pub const fn waiting_tasks(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the counts of slot rights.
    #[must_use]
    pub const fn right_counts(&self) -> SlotCounts {
        self.slots.counts()
    }

    fn expire(&mut self, now: UnixTime, actions: &mut Vec<KernelAction>) {
        self.slots.expire(now);
        self.end_probe_waits(now);
        self.give_up_overdue_jobs(now, actions);
        self.abandon_overdue_attempts(now, actions);
        if now >= self.next_sweep {
            self.next_sweep = now.after(self.settings.sweep_interval);
            self.book.forget_expired(now);
            self.demand.forget_inactive(now);
            self.return_idle_loans(now, actions);
        }
    }
}
