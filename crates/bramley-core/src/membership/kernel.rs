//! Membership state machine: processes events and returns actions for the driver.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::action::{MemberSnapshot, MembershipAction};
use super::counts::{MembershipCounts, check_invariant};
use super::departures::DepartureTracker;
use super::early_rounds::EarlyRoundScheduler;
use super::generations::GenerationTracker;
use super::peer_selector::PeerSelector;
use super::record::{HeartbeatMessage, MemberLoad, MemberRecord, MemberState, TeamDemand};
use super::settings::MembershipSettings;
use super::table::MemberTable;
use crate::names::{DomainName, WorkerName};
use crate::units::{IncarnationId, UnixTime};

/// Number of heartbeat intervals without any event after which this process is assumed to have
/// been paused.
const PAUSE_THRESHOLD_ROUNDS: u32 = 4;

/// Maximum number of member records merged from one message.
const MAX_MERGED_RECORDS: usize = 64;

/// Membership state of one entry host.
///
/// Event handlers take the current time, which must not decrease. The driver calls
/// [`on_tick`](Self::on_tick) no later than [`next_wakeup`](Self::next_wakeup) and carries out the
/// returned actions.
#[derive(Debug)]
pub struct MembershipKernel {
    settings: MembershipSettings,
    own: MemberRecord,
    table: MemberTable,
    departures: DepartureTracker,
    generations: GenerationTracker,
    peer_selector: PeerSelector,
    counts: MembershipCounts,
    rng: StdRng,
    load: MemberLoad,
    demands: Vec<TeamDemand>,
    next_demand: usize,
    next_round_at: UnixTime,
    last_round_at: UnixTime,
    last_event_at: UnixTime,
    early_scheduler: EarlyRoundScheduler,
    superseded: bool,
}

impl MembershipKernel {
    /// Creates the membership state of a newly started host from its own record.
    #[must_use]
    pub fn new(
        settings: MembershipSettings,
        own: MemberRecord,
        rng: &mut impl Rng,
        now: UnixTime,
    ) -> Self {
        let mut rng = StdRng::from_rng(rng);
        let peer_selector = PeerSelector::new(&mut rng);
        let interval_ms = settings.heartbeat_interval_ms.max(1);
        let first_wait = Duration::from_millis(rng.random_range(0..interval_ms));
        Self {
            table: MemberTable::new(own.clone()),
            settings,
            own,
            departures: DepartureTracker::default(),
            generations: GenerationTracker::default(),
            peer_selector,
            counts: MembershipCounts::default(),
            rng,
            load: MemberLoad::default(),
            demands: Vec::new(),
            next_demand: 0,
            next_round_at: now.after(first_wait),
            last_round_at: now,
            last_event_at: now,
            early_scheduler: EarlyRoundScheduler::new(now),
            superseded: false,
        }
    }

    /// Returns the record of this incarnation.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the generation in force.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generations.in_force()
    }

    /// Returns the tracker of leaving workers.
    #[must_use]
    pub const fn departures(&self) -> &DepartureTracker {
        &self.departures
    }

    /// Returns the event and violation counters.
    #[must_use]
    pub const fn counts(&self) -> &MembershipCounts {
        &self.counts
    }

    /// Returns the other members.
    #[must_use]
    pub fn members(&self) -> Vec<MemberSnapshot> {
        self.table.entries().map(MemberSnapshot::from).collect()
    }

    /// Returns one other member, or `None` if the incarnation is not known.
    #[must_use]
    pub fn member(&self, incarnation: IncarnationId) -> Option<MemberSnapshot> {
        self.table.entry(incarnation).map(MemberSnapshot::from)
    }

    /// Returns the latest time for the next call of [`on_tick`](Self::on_tick).
    #[must_use]
    pub fn next_wakeup(&self) -> UnixTime {
        let round_at = self.next_round_at.min(self.early_scheduler.next_at());
        match self.generations.next_deadline() {
            Some(deadline) => round_at.min(deadline),
            None => round_at,
        }
    }

    /// Starts a heartbeat round if one is due and processes expired deadlines.
    pub fn on_tick(&mut self, now: UnixTime) -> Vec<MembershipAction> {
        self.advance_clock(now);
        let mut actions = Vec::new();
        if self.next_round_at <= now {
            self.start_regular_round(now, &mut actions);
        } else if self.early_scheduler.next_at() <= now {
            self.start_early_round(now, &mut actions);
        }
        self.generations.expire(now);
        self.finish(actions, now)
    }

    /// Processes a received heartbeat or a reply to one.
    pub fn on_heartbeat(
        &mut self,
        message: &HeartbeatMessage,
        now: UnixTime,
    ) -> Vec<MembershipAction> {
        self.advance_clock(now);
        self.counts.news_received += 1;
        let mut actions = Vec::new();
        self.merge_record(&message.sender, &mut actions, now);
        for record in message.members.iter().take(MAX_MERGED_RECORDS) {
            self.merge_record(record, &mut actions, now);
        }
        self.table
            .update_from_sender(message.sender.incarnation, message.generation, message.load);
        if message.sender.domain == self.own.domain {
            for update in &message.workers {
                self.departures.merge_update(update, &self.settings, now);
            }
        }
        self.finish(actions, now)
    }

    /// Builds the reply to a heartbeat from a host of the given failure domain.
    #[must_use]
    pub fn heartbeat_reply(&mut self, domain: &DomainName, now: UnixTime) -> HeartbeatMessage {
        let same_domain = *domain == self.own.domain;
        self.build_message(same_domain, now)
    }

    /// Records that a heartbeat was not answered.
    pub fn on_heartbeat_failed(
        &mut self,
        address: SocketAddr,
        now: UnixTime,
    ) -> Vec<MembershipAction> {
        self.advance_clock(now);
        self.counts.sends_failed += 1;
        if let Some(entry) = self.table.entry_by_address(address) {
            let incarnation = entry.record.incarnation;
            let failed_sends =
                self.table
                    .record_failed_send(incarnation, &self.settings, &mut self.counts, now);
            if failed_sends < self.settings.failed_sends_limit {
                self.peer_selector.retry(incarnation);
            }
        }
        self.finish(Vec::new(), now)
    }

    /// Records that fetching the configuration failed.
    pub fn on_fetch_failed(&mut self, address: SocketAddr, now: UnixTime) -> Vec<MembershipAction> {
        self.advance_clock(now);
        let gap = Duration::from_millis(self.settings.early_gap_ms);
        self.generations.record_failure(address, gap, now);
        self.finish(Vec::new(), now)
    }

    /// Applies the platform's list of the workers in this failure domain.
    pub fn on_worker_list(
        &mut self,
        revision: u64,
        live: &[WorkerName],
        leaving: &[WorkerName],
        now: UnixTime,
    ) -> Vec<MembershipAction> {
        self.advance_clock(now);
        self.departures.apply_list(
            revision,
            live,
            leaving,
            &self.settings,
            &mut self.counts,
            now,
        );
        self.finish(Vec::new(), now)
    }

    /// Records that a worker itself reported that it is leaving.
    pub fn on_leave_notice(&mut self, worker: &WorkerName, now: UnixTime) -> Vec<MembershipAction> {
        self.advance_clock(now);
        self.departures
            .record_local_notice(worker, &self.settings, now);
        self.finish(Vec::new(), now)
    }

    /// Records the generation that this host has put into force.
    ///
    /// A generation older than the current one is refused and counted.
    pub fn set_generation(&mut self, generation: u64, now: UnixTime) -> Vec<MembershipAction> {
        self.advance_clock(now);
        let is_newer = self
            .generations
            .advance(generation, &self.settings, &mut self.counts);
        if is_newer {
            self.request_early_rounds(true, now);
        }
        self.finish(Vec::new(), now)
    }

    /// Sets the load reported in heartbeats.
    pub const fn set_load(&mut self, load: MemberLoad) {
        self.load = load;
    }

    /// Sets the team demands reported in heartbeats; each message carries a few in turn.
    pub fn set_demands(&mut self, demands: Vec<TeamDemand>) {
        self.demands = demands;
    }

    /// Announces that this host is shutting down gracefully.
    pub fn begin_leaving(&mut self, now: UnixTime) {
        if self.own.state == MemberState::Alive {
            self.own.state = MemberState::Leaving;
            self.request_early_rounds(true, now);
        }
    }

    /// Announces to some peers that this incarnation has ended.
    ///
    /// This must be the last call, made once no task can start and no request can be answered.
    pub fn announce_gone(&mut self, now: UnixTime) -> Vec<MembershipAction> {
        self.own.state = MemberState::Gone;
        let mut actions = Vec::new();
        self.send_early_heartbeats(true, now, &mut actions);
        actions
    }

    /// Updates the clock and expires table entries.
    ///
    /// If this process was paused, the suspicion timers are reset first: it could not receive
    /// heartbeats, so the silence says nothing about its peers. A pause of at least the lifetime
    /// of a ticket does not reset them.
    fn advance_clock(&mut self, now: UnixTime) {
        let pause = now.since(self.last_event_at);
        let was_paused = pause > self.settings.heartbeat_interval() * PAUSE_THRESHOLD_ROUNDS;
        if was_paused && pause < self.settings.ticket_lifetime() {
            self.table.reset_suspicion_timers(&self.settings, now);
        }
        self.last_event_at = self.last_event_at.max(now);
        self.table.expire(&self.settings, &mut self.counts, now);
        self.departures.expire(now);
    }

    fn merge_record(
        &mut self,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
        now: UnixTime,
    ) {
        if record.incarnation == self.own.incarnation {
            self.check_own_record(record);
            return;
        }
        if record.supersedes(&self.own) && !self.superseded {
            self.superseded = true;
            actions.push(MembershipAction::Superseded {
                by: Box::new(record.clone()),
            });
        }
        self.table
            .merge(record, &self.settings, &mut self.counts, now);
    }

    /// Checks a peer's record of this incarnation.
    ///
    /// A suspicion needs no explicit refutation: the next heartbeat carries a higher counter.
    fn check_own_record(&mut self, record: &MemberRecord) {
        if record.heartbeat > self.own.heartbeat {
            self.counts.records_refused += 1;
        }
        let called_gone = record.state == MemberState::Gone;
        let has_ended = self.superseded || self.own.state == MemberState::Gone;
        check_invariant(!called_gone || has_ended, &mut self.counts.called_gone);
    }

    fn request_early_rounds(&mut self, cross_domain: bool, now: UnixTime) {
        self.early_scheduler
            .request(cross_domain, self.last_round_at, &self.settings, now);
    }

    fn start_regular_round(&mut self, now: UnixTime, actions: &mut Vec<MembershipAction>) {
        let interval_ms = self.settings.heartbeat_interval_ms.max(10);
        let spread_ms = interval_ms / 10;
        let wait_ms = self
            .rng
            .random_range(interval_ms - spread_ms..=interval_ms + spread_ms);
        self.next_round_at = now.after(Duration::from_millis(wait_ms));
        self.last_round_at = now;
        let addresses = self.peer_selector.select_regular(
            &self.own,
            &self.table,
            &self.settings,
            &mut self.rng,
        );
        self.send_to(&addresses, now, actions);
    }

    fn start_early_round(&mut self, now: UnixTime, actions: &mut Vec<MembershipAction>) {
        if !self.early_scheduler.try_acquire(&self.settings, now) {
            return;
        }
        self.counts.early_rounds += 1;
        self.send_early_heartbeats(self.early_scheduler.is_cross_domain(), now, actions);
        self.early_scheduler.finish_round(&self.settings, now);
    }

    /// Sends a heartbeat to each receiver of an early round.
    fn send_early_heartbeats(
        &mut self,
        cross_domain: bool,
        now: UnixTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.last_round_at = now;
        let addresses = self.peer_selector.select_early(
            &self.own,
            &self.table,
            &self.settings,
            cross_domain,
            &mut self.rng,
        );
        self.send_to(&addresses, now, actions);
    }

    fn send_to(
        &mut self,
        addresses: &[SocketAddr],
        now: UnixTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        for address in addresses {
            let same_domain = self
                .table
                .entry_by_address(*address)
                .is_some_and(|entry| entry.record.domain == self.own.domain);
            let message = self.build_message(same_domain, now);
            self.counts.heartbeats_sent += 1;
            actions.push(MembershipAction::SendHeartbeat {
                address: *address,
                message: Box::new(message),
            });
        }
    }

    /// Builds one message. Worker updates are only sent within the failure domain.
    fn build_message(&mut self, same_domain: bool, now: UnixTime) -> HeartbeatMessage {
        self.own.heartbeat += 1;
        let workers = if same_domain {
            self.departures.select_updates(&self.settings, now)
        } else {
            Vec::new()
        };
        HeartbeatMessage {
            sender: self.own.clone(),
            members: self.table.select_records(&self.settings),
            workers,
            generation: self.generations.in_force(),
            load: self.load,
            demands: self.select_demands(),
        }
    }

    fn select_demands(&mut self) -> Vec<TeamDemand> {
        let count = self.demands.len().min(self.settings.max_demands);
        let mut selected = Vec::with_capacity(count);
        for _ in 0..count {
            self.next_demand %= self.demands.len();
            selected.push(self.demands[self.next_demand].clone());
            self.next_demand += 1;
        }
        selected
    }

    /// Adds actions for the state changes that an event caused, and starts a fetch if needed.
    fn finish(
        &mut self,
        mut actions: Vec<MembershipAction>,
        now: UnixTime,
    ) -> Vec<MembershipAction> {
        for change in self.table.take_changes() {
            actions.push(MembershipAction::MemberChanged {
                record: Box::new(change.record),
                previous: change.previous,
            });
        }
        for change in self.departures.take_changes() {
            if change.leaving {
                self.request_early_rounds(false, now);
                actions.push(MembershipAction::WorkerLeaving {
                    worker: change.worker,
                });
            } else {
                actions.push(MembershipAction::WorkerLive {
                    worker: change.worker,
                });
            }
        }
        self.start_fetch(now, &mut actions);
        actions
    }

    fn start_fetch(&mut self, now: UnixTime, actions: &mut Vec<MembershipAction>) {
        let in_force = self.generations.in_force();
        let mut newer = Vec::new();
        for entry in self.table.entries() {
            let is_active = matches!(
                entry.record.state,
                MemberState::Alive | MemberState::Leaving
            );
            if is_active && entry.generation > in_force {
                newer.push(entry.record.peer_address);
            }
        }
        if newer.is_empty() {
            return;
        }
        let start = self.rng.random_range(0..newer.len());
        newer.rotate_left(start);
        let timeout = Duration::from_millis(self.settings.fetch_timeout_ms);
        if let Some(address) = self.generations.start_fetch(&newer, timeout, now) {
            actions.push(MembershipAction::FetchConfiguration { address });
        }
    }
}
