//! Takes the events of membership and returns the actions for the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::action::{MemberSnapshot, MembershipAction};
use super::counts::{MembershipCounts, check_invariant};
use super::early::EarlySchedule;
use super::generations::GenerationTracker;
use super::record::{HeartbeatNews, MemberLoad, MemberRecord, MemberState, TeamDemand};
use super::settings::MembershipSettings;
use super::signs::WorkerSigns;
use super::table::MemberTable;
use super::targets::TargetChooser;
use crate::names::{DomainName, WorkerName};
use crate::units::{IncarnationId, UnixTime};

/// Number of missed rounds after which the process itself counts as paused.
const PAUSE_ROUNDS: u32 = 4;

/// Largest number of records of one message that are taken in.
const MAX_RECORDS_TAKEN: usize = 64;

/// Membership of one entry host.
///
/// Every method takes the present time, which must not go back. The daemon calls
/// [`on_tick`](Self::on_tick) at [`next_wakeup`](Self::next_wakeup) at the latest, and does the
/// actions that every method returns.
#[derive(Debug)]
pub struct MembershipKernel {
    settings: MembershipSettings,
    own: MemberRecord,
    table: MemberTable,
    signs: WorkerSigns,
    generations: GenerationTracker,
    chooser: TargetChooser,
    counts: MembershipCounts,
    rng: StdRng,
    load: MemberLoad,
    demands: Vec<TeamDemand>,
    next_demand: usize,
    next_round_at: UnixTime,
    last_round_at: UnixTime,
    last_seen_at: UnixTime,
    early: EarlySchedule,
    superseded: bool,
}

impl MembershipKernel {
    /// Makes the membership of a host that has just started, with its own record.
    #[must_use]
    pub fn new(
        settings: MembershipSettings,
        own: MemberRecord,
        rng: &mut impl Rng,
        now: UnixTime,
    ) -> Self {
        let mut rng = StdRng::from_rng(rng);
        let chooser = TargetChooser::new(&mut rng);
        let interval_ms = settings.heartbeat_interval_ms.max(1);
        let first_wait = Duration::from_millis(rng.random_range(0..interval_ms));
        Self {
            table: MemberTable::new(own.clone()),
            settings,
            own,
            signs: WorkerSigns::default(),
            generations: GenerationTracker::default(),
            chooser,
            counts: MembershipCounts::default(),
            rng,
            load: MemberLoad::default(),
            demands: Vec::new(),
            next_demand: 0,
            next_round_at: now.after(first_wait),
            last_round_at: now,
            last_seen_at: now,
            early: EarlySchedule::new(now),
            superseded: false,
        }
    }

    /// Returns the own record.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the generation in force.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generations.in_force()
    }

    /// Returns the leaving signs of workers.
    #[must_use]
    pub const fn signs(&self) -> &WorkerSigns {
        &self.signs
    }

    /// Returns the counts.
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

    /// Returns the time at which [`on_tick`](Self::on_tick) has to be called.
    #[must_use]
    pub fn next_wakeup(&self) -> UnixTime {
        let round_at = self.next_round_at.min(self.early.next_at());
        match self.generations.next_deadline() {
            Some(deadline) => round_at.min(deadline),
            None => round_at,
        }
    }

    /// Does what is due at the present time.
    pub fn on_tick(&mut self, now: UnixTime) -> Vec<MembershipAction> {
        self.observe_time(now);
        let mut actions = Vec::new();
        if self.next_round_at <= now {
            self.start_regular_round(now, &mut actions);
        } else if self.early.next_at() <= now {
            self.start_early_round(now, &mut actions);
        }
        self.generations.expire(now);
        self.finish(actions, now)
    }

    /// Takes in a heartbeat or the reply to one.
    pub fn on_news(&mut self, news: &HeartbeatNews, now: UnixTime) -> Vec<MembershipAction> {
        self.observe_time(now);
        self.counts.news_received += 1;
        let mut actions = Vec::new();
        self.take_record(&news.sender, &mut actions, now);
        for record in news.members.iter().take(MAX_RECORDS_TAKEN) {
            self.take_record(record, &mut actions, now);
        }
        self.table
            .note_direct(news.sender.incarnation, news.generation, news.load);
        if news.sender.domain == self.own.domain {
            for sign in &news.workers {
                self.signs.take_news(sign, &self.settings, now);
            }
        }
        self.finish(actions, now)
    }

    /// Returns the news for the reply to a heartbeat from a host of the given failure domain.
    #[must_use]
    pub fn reply_news(&mut self, domain: &DomainName, now: UnixTime) -> HeartbeatNews {
        let same_domain = *domain == self.own.domain;
        self.make_news(same_domain, now)
    }

    /// Takes in that a heartbeat was not answered.
    pub fn on_send_failed(&mut self, address: SocketAddr, now: UnixTime) -> Vec<MembershipAction> {
        self.observe_time(now);
        self.counts.sends_failed += 1;
        if let Some(entry) = self.table.entry_at(address) {
            let incarnation = entry.record.incarnation;
            let failed_sends =
                self.table
                    .note_failed_send(incarnation, &self.settings, &mut self.counts, now);
            if failed_sends < self.settings.failed_sends_limit {
                self.chooser.retry(incarnation);
            }
        }
        self.finish(Vec::new(), now)
    }

    /// Takes in that a fetch of the configuration failed.
    pub fn on_fetch_failed(&mut self, address: SocketAddr, now: UnixTime) -> Vec<MembershipAction> {
        self.observe_time(now);
        let gap = Duration::from_millis(self.settings.early_gap_ms);
        self.generations.note_failure(address, gap, now);
        self.finish(Vec::new(), now)
    }

    /// Takes in the platform's list of the workers of this failure domain.
    pub fn on_worker_list(
        &mut self,
        revision: u64,
        live: &[WorkerName],
        leaving: &[WorkerName],
        now: UnixTime,
    ) -> Vec<MembershipAction> {
        self.observe_time(now);
        self.signs.take_list(
            revision,
            live,
            leaving,
            &self.settings,
            &mut self.counts,
            now,
        );
        self.finish(Vec::new(), now)
    }

    /// Takes in that a worker said itself that it leaves.
    pub fn on_worker_sign(&mut self, worker: &WorkerName, now: UnixTime) -> Vec<MembershipAction> {
        self.observe_time(now);
        self.signs.take_own_sign(worker, &self.settings, now);
        self.finish(Vec::new(), now)
    }

    /// Notes the generation that this host has put into force.
    ///
    /// An older one than before is refused and counted.
    pub fn set_generation(&mut self, generation: u64, now: UnixTime) -> Vec<MembershipAction> {
        self.observe_time(now);
        let is_newer = self
            .generations
            .advance(generation, &self.settings, &mut self.counts);
        if is_newer {
            self.request_early_rounds(true, now);
        }
        self.finish(Vec::new(), now)
    }

    /// Sets the load that heartbeats tell.
    pub const fn set_load(&mut self, load: MemberLoad) {
        self.load = load;
    }

    /// Sets the team demands that heartbeats tell, a few at a time.
    pub fn set_demands(&mut self, demands: Vec<TeamDemand>) {
        self.demands = demands;
    }

    /// Tells the others that this host shuts down gracefully.
    pub fn begin_leaving(&mut self, now: UnixTime) {
        if self.own.state == MemberState::Alive {
            self.own.state = MemberState::Leaving;
            self.request_early_rounds(true, now);
        }
    }

    /// Tells some others that this incarnation has ended.
    ///
    /// The daemon calls it last, when nothing can start or be answered any more.
    pub fn say_gone(&mut self, now: UnixTime) -> Vec<MembershipAction> {
        self.own.state = MemberState::Gone;
        let mut actions = Vec::new();
        self.start_round(true, now, &mut actions);
        actions
    }

    /// Expires what is due, unless this process itself was paused.
    fn observe_time(&mut self, now: UnixTime) {
        let pause = now.since(self.last_seen_at);
        let was_paused = pause > self.settings.heartbeat_interval() * PAUSE_ROUNDS;
        if was_paused && pause < self.settings.ticket_lifetime() {
            self.table.restart_silence(&self.settings, now);
        }
        self.last_seen_at = self.last_seen_at.max(now);
        self.table.expire(&self.settings, &mut self.counts, now);
        self.signs.expire(now);
    }

    fn take_record(
        &mut self,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
        now: UnixTime,
    ) {
        if record.incarnation == self.own.incarnation {
            self.take_own_record(record);
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

    /// Checks what others say about this incarnation.
    ///
    /// A suspicion needs no answer of its own: the next message carries a higher counter.
    fn take_own_record(&mut self, record: &MemberRecord) {
        if record.heartbeat > self.own.heartbeat {
            self.counts.records_refused += 1;
        }
        let called_gone = record.state == MemberState::Gone;
        let is_ended = self.superseded || self.own.state == MemberState::Gone;
        check_invariant(!called_gone || is_ended, &mut self.counts.called_gone);
    }

    fn request_early_rounds(&mut self, wide: bool, now: UnixTime) {
        self.early
            .request(wide, self.last_round_at, &self.settings, now);
    }

    fn start_regular_round(&mut self, now: UnixTime, actions: &mut Vec<MembershipAction>) {
        let interval_ms = self.settings.heartbeat_interval_ms.max(10);
        let spread_ms = interval_ms / 10;
        let wait_ms = self
            .rng
            .random_range(interval_ms - spread_ms..=interval_ms + spread_ms);
        self.next_round_at = now.after(Duration::from_millis(wait_ms));
        self.last_round_at = now;
        let addresses =
            self.chooser
                .choose_regular(&self.own, &self.table, &self.settings, &mut self.rng);
        self.send_to(&addresses, now, actions);
    }

    fn start_early_round(&mut self, now: UnixTime, actions: &mut Vec<MembershipAction>) {
        if !self.early.take_allowance(&self.settings, now) {
            return;
        }
        self.counts.early_rounds += 1;
        self.start_round(self.early.is_wide(), now, actions);
        self.early.finish_round(&self.settings, now);
    }

    fn start_round(&mut self, wide: bool, now: UnixTime, actions: &mut Vec<MembershipAction>) {
        self.last_round_at = now;
        let addresses =
            self.chooser
                .choose_early(&self.own, &self.table, &self.settings, wide, &mut self.rng);
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
                .entry_at(*address)
                .is_some_and(|entry| entry.record.domain == self.own.domain);
            let news = self.make_news(same_domain, now);
            self.counts.heartbeats_sent += 1;
            actions.push(MembershipAction::SendHeartbeat {
                address: *address,
                news: Box::new(news),
            });
        }
    }

    /// Writes one message. Worker signs stay within the failure domain.
    fn make_news(&mut self, same_domain: bool, now: UnixTime) -> HeartbeatNews {
        self.own.heartbeat += 1;
        let workers = if same_domain {
            self.signs.pick_news(&self.settings, now)
        } else {
            Vec::new()
        };
        HeartbeatNews {
            sender: self.own.clone(),
            members: self.table.pick_rumours(&self.settings),
            workers,
            generation: self.generations.in_force(),
            load: self.load,
            demands: self.pick_demands(),
        }
    }

    fn pick_demands(&mut self) -> Vec<TeamDemand> {
        let count = self.demands.len().min(self.settings.max_demands);
        let mut picked = Vec::with_capacity(count);
        for _ in 0..count {
            self.next_demand %= self.demands.len();
            picked.push(self.demands[self.next_demand].clone());
            self.next_demand += 1;
        }
        picked
    }

    /// Turns the changes of an event into actions.
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
        for change in self.signs.take_changes() {
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
            let in_touch = matches!(
                entry.record.state,
                MemberState::Alive | MemberState::Leaving
            );
            if in_touch && entry.generation > in_force {
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
