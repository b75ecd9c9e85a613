//! Feeds events to the kernels and carries their actions out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::claim::{Claim, ClaimAction, ClaimView, ContactView};
use bramley_pool::decision::{Decision, DecisionWeight};
use bramley_pool::job::{JobName, JobSubmission};
use bramley_pool::message::{PoolLoad, PoolMessage, RelayId, RelayMessage};
use bramley_pool::pool::{Pool, PoolAction};
use bramley_pool::relay::{JobAnswer, Relay, RelayAction};
use bramley_wire::pool::{PoolFrame, RelayFrame, RelayHello};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::{SteadyClock, time_of_day, time_since_boot};
use crate::links::convert::{beat_frame_of, pool_frame_of, relay_frame_of};
use crate::links::{LinkEnd, outbound};
use crate::logging::RoutineSampler;
use crate::metrics::DockMetrics;
use crate::port::{ClaimItem, PlatformPort, WorkerChange};
use crate::routes::RouteTable;
use crate::settings::DockSettings;

/// Time between two rounds of what is due by time; run leases and stops need this resolution.
const TICK: Duration = Duration::from_millis(25);

/// Time between two rounds from which the process counts as paused; a busy host is late by less.
const PAUSE_LIMIT: Duration = Duration::from_millis(300);

/// Number of the own relay at the own pool.
const OWN_RELAY: RelayId = RelayId(0);

/// A caller that waits for the answer to a job.
#[derive(Debug)]
struct WaitingCaller {
    number: u64,
    answer: oneshot::Sender<JobAnswer>,
}

/// Connection of the own relay to a pool.
#[derive(Debug)]
struct PoolLink {
    claim: ClaimView,
    keeper: Option<AbortHandle>,
    frames: Option<mpsc::UnboundedSender<RelayFrame>>,
    heard_at: UnixTime,
    gives_way: bool,
    refuses: bool,
}

/// Connection of another process's relay to the own pool.
#[derive(Debug)]
struct RelayLink {
    frames: mpsc::UnboundedSender<PoolFrame>,
    /// Whether its host is a large one of the own failure domain.
    is_large_neighbour: bool,
}

#[derive(Debug)]
struct EngineState {
    pool: Pool,
    relay: Relay,
    claim: Claim,
    callers: FxHashMap<JobName, WaitingCaller>,
    next_caller: u64,
    relays: FxHashMap<RelayId, RelayLink>,
    next_relay: u64,
    pools: BTreeMap<DomainName, PoolLink>,
    routes: Arc<RouteTable>,
    routes_at: UnixTime,
    stopping_since: Option<UnixTime>,
    /// Whether a relay on another host of the own failure domain was ever connected.
    has_successor: bool,
    sampler: RoutineSampler,
    last_beat: UnixTime,
    /// Messages between the own relay and the own pool, which need no connection.
    to_own_pool: Vec<RelayMessage>,
    to_own_relay: Vec<PoolMessage>,
}

impl EngineState {
    /// Tells whether another host should take command over.
    fn gives_way(&self, now: UnixTime) -> bool {
        let is_leaving = self.stopping_since.is_some() || self.claim.is_yielding(now);
        is_leaving || self.claim.has_lost_store(now)
    }
}

/// One process: relay, pool and claim with their driver.
#[derive(Debug)]
pub struct Engine<P> {
    settings: DockSettings,
    port: P,
    clock: SteadyClock,
    incarnation: u64,
    metrics: DockMetrics,
    state: RefCell<EngineState>,
    /// Time since boot at which the process was last seen to run.
    active_at: Cell<Duration>,
    command_changed: Notify,
}

/// A caller's place; dropping it before the answer tells that the caller has left.
#[derive(Debug)]
pub struct CallerTicket<P: PlatformPort> {
    engine: Rc<Engine<P>>,
    job: JobName,
    number: u64,
    answer: oneshot::Receiver<JobAnswer>,
    answered: bool,
}

impl<P: PlatformPort> CallerTicket<P> {
    /// Waits for the answer; none if another connection of the caller has taken the job over.
    pub async fn answer(&mut self) -> Option<JobAnswer> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        answer
    }
}

impl<P: PlatformPort> Drop for CallerTicket<P> {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.caller_left(&self.job, self.number);
        }
    }
}

impl<P: PlatformPort> Engine<P> {
    /// Makes the engine of a process.
    #[must_use]
    pub fn new(settings: DockSettings, port: P, routine_lines_per_s: u32) -> Rc<Self> {
        let clock = SteadyClock::default();
        let incarnation = rand::random::<u64>() >> 1;
        let address = SocketAddr::new(settings.host.ip, settings.host.peer_port).to_string();
        let claim = Claim::new(
            settings.claim.clone(),
            incarnation,
            address,
            settings.host.cpu_milli,
        );
        let state = EngineState {
            pool: Pool::new(settings.pool.clone()),
            relay: Relay::new(settings.relay.clone(), settings.host.domain.clone()),
            claim,
            callers: FxHashMap::default(),
            next_caller: 0,
            relays: FxHashMap::default(),
            next_relay: OWN_RELAY.0 + 1,
            pools: BTreeMap::new(),
            routes: Arc::default(),
            routes_at: UnixTime::default(),
            stopping_since: None,
            has_successor: false,
            sampler: RoutineSampler::new(routine_lines_per_s),
            last_beat: UnixTime::default(),
            to_own_pool: Vec::new(),
            to_own_relay: Vec::new(),
        };
        Rc::new(Self {
            settings,
            port,
            clock,
            incarnation,
            metrics: DockMetrics::default(),
            state: RefCell::new(state),
            active_at: Cell::new(time_since_boot()),
            command_changed: Notify::new(),
        })
    }

    /// Changes the state; what the kernels decide is carried out by [`Engine::carry_out`].
    fn change(&self, change: impl FnOnce(&mut EngineState)) {
        change(&mut self.state.borrow_mut());
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &DockSettings {
        &self.settings
    }

    /// Returns the platform.
    #[must_use]
    pub const fn port(&self) -> &P {
        &self.port
    }

    /// Returns the metrics.
    #[must_use]
    pub const fn metrics(&self) -> &DockMetrics {
        &self.metrics
    }

    /// Returns the number of this incarnation of the process.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> UnixTime {
        self.clock.now()
    }

    /// Returns the routes in force.
    #[must_use]
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(&self.state.borrow().routes)
    }

    /// Returns the number of open jobs of a route of which no task has started.
    #[must_use]
    pub fn unstarted_jobs(&self, route: &str) -> usize {
        self.state.borrow().relay.unstarted_jobs(route)
    }

    /// Tells whether new connections of callers should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.stopping_since.is_none() && state.routes.version > 0 && state.relay.reaches_pool()
    }

    /// Tells whether the process is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping_since.is_some()
    }

    /// Returns the time since the begin of the planned stop; zero before it.
    #[must_use]
    pub fn stopping_for(&self) -> Duration {
        let since = self.state.borrow().stopping_since;
        since.map_or(Duration::ZERO, |since| self.now().since(since))
    }

    /// Returns the number of callers that wait.
    #[must_use]
    pub fn waiting_callers(&self) -> usize {
        self.state.borrow().callers.len()
    }

    /// Tells whether the own pool has command.
    #[must_use]
    pub fn commands(&self) -> bool {
        self.state.borrow().pool.token().is_some()
    }

    /// Waits until the own pool takes or loses command.
    pub async fn command_change(&self) {
        self.command_changed.notified().await;
    }

    /// Returns the state for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let now = self.now();
        let load = state.pool.load(now);
        let pools: BTreeMap<&str, serde_json::Value> = state
            .pools
            .iter()
            .map(|(domain, link)| {
                let value = serde_json::json!({
                    "address": link.claim.address,
                    "incarnation": link.claim.incarnation,
                    "connected": state.relay.is_connected(domain),
                    "heard_ms_ago": now.since(link.heard_at).as_millis(),
                });
                (domain.as_str(), value)
            })
            .collect();
        let workers: Vec<serde_json::Value> = state
            .pool
            .workers()
            .iter()
            .map(|worker| {
                serde_json::json!({
                    "name": worker.entry.name.as_str(),
                    "listed": worker.listed,
                    "leaving": worker.entry.leaving,
                    "usable": worker.is_usable(),
                    "runs": worker.runs.len(),
                    "free_cpu_milli": worker.free().cpu_milli,
                    "pace": worker.pace,
                    "missed_looks": worker.missed_looks,
                })
            })
            .collect();
        serde_json::json!({
            "host": self.settings.host.host.as_str(),
            "domain": self.settings.host.domain.as_str(),
            "incarnation": self.incarnation,
            "token": state.pool.token(),
            "configuration": state.routes.version,
            "open_jobs": state.relay.open_jobs(),
            "pool_jobs": state.pool.open_jobs(),
            "free_cpu_milli": load.free_cpu_milli,
            "waiting_tasks": load.waiting_tasks,
            "pools": pools,
            "workers": workers,
        })
    }

    /// Hands a caller's job to the relay.
    pub fn submit(self: &Rc<Self>, submission: JobSubmission) -> CallerTicket<P> {
        self.detect_pause();
        let job = submission.work.job.clone();
        let (answer, receiver) = oneshot::channel();
        let number = {
            let mut state = self.state.borrow_mut();
            let number = state.next_caller;
            state.next_caller += 1;
            let caller = WaitingCaller { number, answer };
            if state.callers.insert(job.clone(), caller).is_some() {
                log::info!("event=job_sent_again job={job} outcome=answer_moves_to_new_caller");
            }
            state.relay.accept(submission, self.now());
            number
        };
        self.carry_out();
        CallerTicket {
            engine: Rc::clone(self),
            job,
            number,
            answer: receiver,
            answered: false,
        }
    }

    /// Cancels an open job; returns whether there was one.
    pub fn cancel(self: &Rc<Self>, job: &JobName) -> bool {
        let was_open = self.state.borrow_mut().callers.remove(job).is_some();
        if was_open {
            self.state.borrow_mut().relay.caller_left(job);
            self.carry_out();
        }
        was_open
    }

    /// Tells whether the job is open and whether a task of it was started.
    #[must_use]
    pub fn is_open(&self, job: &JobName) -> bool {
        self.state.borrow().callers.contains_key(job)
    }

    fn caller_left(self: &Rc<Self>, job: &JobName, number: u64) {
        let is_current = {
            let mut state = self.state.borrow_mut();
            let is_current = state
                .callers
                .get(job)
                .is_some_and(|caller| caller.number == number);
            if is_current {
                state.callers.remove(job);
                state.relay.caller_left(job);
            }
            is_current
        };
        if is_current {
            log::info!("event=caller_left job={job}");
            self.carry_out();
        }
    }

    /// A relay of another process has connected; returns its number at the own pool.
    pub(crate) fn relay_connected(
        &self,
        hello: &RelayHello,
        frames: mpsc::UnboundedSender<PoolFrame>,
    ) -> RelayId {
        let mut state = self.state.borrow_mut();
        let relay = RelayId(state.next_relay);
        state.next_relay += 1;
        let is_neighbour = hello.relay_domain == self.settings.host.domain.as_str();
        state.has_successor |= is_neighbour;
        let is_large_neighbour =
            is_neighbour && hello.cpu_milli >= self.settings.claim.large_host_milli;
        log::info!(
            "event=relay_connected host={} incarnation={} relay={}",
            hello.host,
            hello.incarnation,
            relay.0,
        );
        let now = self.now();
        let load = state.pool.load(now);
        let beat = beat_frame_of(load, state.pool.token().is_some(), state.gives_way(now));
        queue_frame(&frames, beat);
        let link = RelayLink {
            frames,
            is_large_neighbour,
        };
        state.relays.insert(relay, link);
        relay
    }

    pub(crate) fn relay_disconnected(self: &Rc<Self>, relay: RelayId) {
        let now = self.now();
        self.change(|state| {
            state.relays.remove(&relay);
            state.pool.relay_lost(relay, now);
        });
        self.carry_out();
    }

    pub(crate) fn relay_said(self: &Rc<Self>, relay: RelayId, message: RelayMessage) {
        self.detect_pause();
        let now = self.now();
        let is_connected = self.state.borrow().relays.contains_key(&relay);
        if !is_connected {
            let number = relay.0;
            log::info!("event=message_ignored relay={number} reason=connection_dropped");
            return;
        }
        self.change(|state| state.pool.relay_said(relay, message, now));
        self.carry_out();
    }

    pub(crate) fn pool_heard(&self, domain: &DomainName) {
        let now = self.now();
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain) {
            link.heard_at = now;
            link.refuses = false;
        }
    }

    pub(crate) fn pool_connected(
        self: &Rc<Self>,
        domain: &DomainName,
        frames: mpsc::UnboundedSender<RelayFrame>,
    ) {
        self.detect_pause();
        let now = self.now();
        self.change(|state| {
            if let Some(link) = state.pools.get_mut(domain) {
                link.frames = Some(frames);
                let address = &link.claim.address;
                log::info!("event=pool_connected pool={domain} address={address}");
            }
            state.relay.pool_connected(domain, now);
        });
        self.carry_out();
    }

    pub(crate) fn pool_loaded(&self, domain: &DomainName, load: PoolLoad, gives_way: bool) {
        let mut state = self.state.borrow_mut();
        state.relay.pool_loaded(domain, load);
        if let Some(link) = state.pools.get_mut(domain) {
            link.gives_way = gives_way;
        }
    }

    pub(crate) fn pool_said(self: &Rc<Self>, domain: &DomainName, message: PoolMessage) {
        self.detect_pause();
        let now = self.now();
        self.state
            .borrow_mut()
            .relay
            .pool_said(domain, message, now);
        self.carry_out();
    }

    pub(crate) fn pool_refused(&self, domain: &DomainName, refuses: bool) {
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain)
            && link.refuses != refuses
        {
            link.refuses = refuses;
            let address = &link.claim.address;
            log::info!("event=pool_unreachable pool={domain} address={address} refuses={refuses}");
        }
    }

    pub(crate) fn pool_disconnected(self: &Rc<Self>, domain: &DomainName, end: LinkEnd) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(link) = state.pools.get_mut(domain) else {
            return;
        };
        if link.frames.take().is_some() {
            log::warn!(
                "event=pool_lost pool={domain} address={} reason={} heard_ms_ago={}",
                link.claim.address,
                end.as_str(),
                self.now().since(link.heard_at).as_millis(),
            );
            state.relay.pool_lost(domain, link.heard_at);
        }
    }

    /// The store has answered.
    pub fn store_answered(&self) {
        self.state.borrow_mut().claim.store_answered(self.now());
    }

    /// A newer configuration is in force.
    pub fn routes_changed(&self, table: RouteTable) {
        let mut state = self.state.borrow_mut();
        let present = state.routes.version;
        if table.version <= present {
            log::info!(
                "event=configuration_ignored version={} present={present} reason=not_newer",
                table.version,
            );
            return;
        }
        log::info!(
            "event=configuration_in_force version={} before={present}",
            table.version
        );
        state.routes = Arc::new(table);
        state.routes_at = self.now();
    }

    /// Claims were read from the store; `complete` tells that domains not named have none.
    pub fn claims_changed(self: &Rc<Self>, items: Vec<ClaimItem>, complete: bool) {
        let now = self.now();
        let home = &self.settings.host.domain;
        if complete && items.iter().all(|item| item.domain != *home) {
            self.state.borrow_mut().claim.viewed(None, now);
        }
        for item in items {
            if item.domain == self.settings.host.domain {
                self.state.borrow_mut().claim.viewed(item.view.clone(), now);
            }
            self.follow_claim(item);
        }
        self.run_claim();
        self.carry_out();
    }

    fn follow_claim(self: &Rc<Self>, item: ClaimItem) {
        let Some(view) = item.view else {
            log::info!("event=claim_vacant pool={}", item.domain);
            return;
        };
        let mut state = self.state.borrow_mut();
        let same = state.pools.get(&item.domain).is_some_and(|link| {
            link.claim.incarnation == view.incarnation && link.claim.address == view.address
        });
        if same {
            return;
        }
        log::info!(
            "event=claim_held pool={} address={} incarnation={} revision={}",
            item.domain,
            view.address,
            view.incarnation,
            view.revision,
        );
        let is_own = view.incarnation == self.incarnation;
        let keeper = if is_own {
            None
        } else {
            self.start_keeper(&item.domain, &view)
        };
        let link = PoolLink {
            claim: view,
            keeper,
            frames: None,
            heard_at: self.now(),
            gives_way: false,
            refuses: false,
        };
        let before = state.pools.insert(item.domain.clone(), link);
        if let Some(before) = before {
            if let Some(keeper) = before.keeper {
                keeper.abort();
            }
            // The own pool needs no connection, so it is heard at any time.
            let was_own = before.claim.incarnation == self.incarnation;
            let heard_at = if was_own { self.now() } else { before.heard_at };
            state.relay.pool_lost(&item.domain, heard_at);
        }
        if is_own && state.pool.token().is_some() {
            let now = self.now();
            state.relay.pool_connected(&item.domain, now);
        }
    }

    fn start_keeper(self: &Rc<Self>, domain: &DomainName, view: &ClaimView) -> Option<AbortHandle> {
        match view.address.parse::<SocketAddr>() {
            Ok(address) => {
                let keeper = outbound::keep_pool(Rc::clone(self), domain.clone(), address);
                Some(spawn_local(keeper).abort_handle())
            }
            Err(error) => {
                log::error!(
                    "event=claim_unreadable pool={domain} address={} error=\"{error}\"",
                    view.address,
                );
                None
            }
        }
    }

    /// The list of workers has changed; `complete` tells that workers not named are not listed.
    pub fn workers_changed(self: &Rc<Self>, changes: Vec<WorkerChange>, complete: bool) {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            let mut missing: Vec<_> = if complete {
                state.pool.listed_workers().cloned().collect()
            } else {
                Vec::new()
            };
            state.pool.list_read(now);
            for change in changes {
                match change {
                    WorkerChange::Listed(entry) => {
                        missing.retain(|name| *name != entry.name);
                        if *entry.failure_domain == *self.settings.host.domain.as_str() {
                            state.pool.worker_listed(entry, now);
                        }
                    }
                    WorkerChange::Unlisted(name) => state.pool.worker_unlisted(&name, now),
                }
            }
            for name in missing {
                state.pool.worker_unlisted(&name, now);
            }
        }
        self.carry_out();
    }

    /// Starts the planned stop: command passes on, and callers with open jobs are still served.
    pub fn stop(self: &Rc<Self>) {
        let action = {
            let mut state = self.state.borrow_mut();
            if state.stopping_since.is_some() {
                return;
            }
            state.stopping_since = Some(self.now());
            state.claim.stop()
        };
        log::info!(
            "event=stop_begun callers={} commands={}",
            self.waiting_callers(),
            self.commands(),
        );
        if let Some(action) = action {
            self.start_claim_action(action);
        }
        self.beat_now();
    }

    /// Runs what is due by time until the process ends.
    pub async fn run_timers(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.detect_pause();
            self.run_claim();
            let now = self.now();
            self.change(|state| {
                state.pool.tick(now);
                state.relay.tick(now);
            });
            self.send_beats(now);
            self.carry_out();
        }
    }

    /// Finds out whether the process did not run for a while. To be called before anything is handled
    /// that may have arrived meanwhile.
    fn detect_pause(&self) {
        let time = time_since_boot();
        let pause = time.saturating_sub(self.active_at.replace(time));
        if pause > PAUSE_LIMIT {
            self.process_resumed(pause);
        }
    }

    /// The process did not run for a while: relays that it may have missed are to connect again.
    fn process_resumed(&self, pause: Duration) {
        log::warn!("event=process_resumed pause_ms={}", pause.as_millis());
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.pool.process_resumed(now);
        state.relay.process_resumed(now);
        if pause > self.settings.link.silence_limit {
            for (relay, _) in state.relays.drain() {
                state.pool.relay_lost(relay, now);
            }
        }
    }

    fn send_beats(&self, now: UnixTime) {
        let mut state = self.state.borrow_mut();
        if now.since(state.last_beat) < self.settings.link.heartbeat_every {
            return;
        }
        state.last_beat = now;
        let load = state.pool.load(now);
        let commands = state.pool.token().is_some();
        let gives_way = state.gives_way(now);
        for link in state.relays.values() {
            queue_frame(&link.frames, beat_frame_of(load, commands, gives_way));
        }
        let home = self.settings.host.domain.clone();
        if commands {
            state.relay.pool_loaded(&home, load);
        }
        self.metrics.note_load(load, commands, state.callers.len());
    }

    fn run_claim(self: &Rc<Self>) {
        let now = self.now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let home = &self.settings.host.domain;
            let link = state.pools.get(home);
            let contacts = ContactView {
                holder_answers: link.is_some_and(|link| link.frames.is_some()),
                holder_gives_way: link.is_some_and(|link| link.gives_way),
                holder_refuses: link.is_some_and(|link| link.refuses),
                reaches_large_host: state.relays.values().any(|link| link.is_large_neighbour),
                has_successor: state.has_successor,
                reaches_others: !state.relays.is_empty()
                    || state.pools.values().any(|link| link.frames.is_some()),
            };
            let commands = state.pool.token().is_some();
            state.claim.tick(contacts, commands, now)
        };
        for action in actions {
            self.start_claim_action(action);
        }
    }

    fn start_claim_action(self: &Rc<Self>, action: ClaimAction) {
        match action {
            ClaimAction::GiveUp { cause } => {
                log::warn!("event=command_given_up reason={cause}");
                self.give_up_command();
            }
            ClaimAction::Write { expected_revision } => {
                spawn_local(Rc::clone(self).write_claim(expected_revision));
            }
            ClaimAction::Renew { lease } => {
                spawn_local(Rc::clone(self).renew_claim(lease));
            }
            ClaimAction::Release { lease } => {
                let engine = Rc::clone(self);
                spawn_local(async move {
                    match engine.port.end_lease(lease).await {
                        Ok(()) => log::info!("event=claim_released lease={lease}"),
                        Err(fault) => {
                            log::warn!(
                                "event=claim_release_failed lease={lease} reason={} \
                                 outcome=lease_ends_by_itself",
                                fault.as_str(),
                            );
                        }
                    }
                });
            }
        }
    }

    fn give_up_command(self: &Rc<Self>) {
        let now = self.now();
        self.change(|state| {
            state.pool.give_up_command(now);
            state.relay.pool_lost(&self.settings.host.domain, now);
        });
        self.command_changed.notify_waiters();
        self.beat_now();
        self.carry_out();
    }

    fn beat_now(&self) {
        let now = self.now();
        self.state.borrow_mut().last_beat = UnixTime::default();
        self.send_beats(now);
    }

    async fn write_claim(self: Rc<Self>, expected_revision: u64) {
        let domain = self.settings.host.domain.clone();
        let address = SocketAddr::new(self.settings.host.ip, self.settings.host.peer_port);
        let view = ClaimView {
            incarnation: self.incarnation,
            address: address.to_string(),
            revision: 0,
        };
        let life = self.settings.claim.lease_life;
        let written = self
            .port
            .write_claim(&domain, expected_revision, &view, life)
            .await;
        let now = self.now();
        match written {
            Ok(grant) => {
                log::info!(
                    "event=claim_won pool={domain} token={} lease={} expected_revision={expected_revision}",
                    grant.token,
                    grant.lease,
                );
                self.change(|state| {
                    state.claim.written(grant, now);
                    state.pool.take_command(grant.token, now);
                });
                let view = ClaimView {
                    revision: grant.token,
                    ..view
                };
                self.command_changed.notify_waiters();
                let item = ClaimItem {
                    domain,
                    view: Some(view),
                };
                self.claims_changed(vec![item], false);
                self.connect_own_pool();
                self.beat_now();
                self.carry_out();
            }
            Err(fault) => {
                log::info!(
                    "event=claim_not_won pool={domain} expected_revision={expected_revision} \
                     reason={}",
                    fault.as_str(),
                );
                let mut state = self.state.borrow_mut();
                if fault.was_heard() {
                    state.claim.store_answered(now);
                }
                state.claim.write_failed(now);
            }
        }
    }

    fn connect_own_pool(&self) {
        let mut state = self.state.borrow_mut();
        let home = &self.settings.host.domain;
        if !state.relay.is_connected(home) {
            state.relay.pool_connected(home, self.now());
        }
    }

    async fn renew_claim(self: Rc<Self>, lease: u64) {
        let renewed = self.port.renew_lease(lease).await;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match renewed {
            Ok(()) => {
                state.claim.store_answered(now);
                state.claim.renewed(false, now);
            }
            Err(fault) => {
                log::warn!(
                    "event=claim_renewal_failed lease={lease} reason={}",
                    fault.as_str()
                );
                state
                    .claim
                    .renewed(fault == crate::port::StoreFault::Gone, now);
            }
        }
    }

    /// Carries out what the kernels have decided until they decide nothing more.
    fn carry_out(self: &Rc<Self>) {
        loop {
            let (pool_actions, relay_actions) = {
                let mut state = self.state.borrow_mut();
                let now = self.now();
                for message in std::mem::take(&mut state.to_own_pool) {
                    state.pool.relay_said(OWN_RELAY, message, now);
                }
                let home = self.settings.host.domain.clone();
                for message in std::mem::take(&mut state.to_own_relay) {
                    state.relay.pool_said(&home, message, now);
                }
                (state.pool.take_actions(), state.relay.take_actions())
            };
            if pool_actions.is_empty() && relay_actions.is_empty() {
                return;
            }
            for action in pool_actions {
                self.carry_out_pool(action);
            }
            for action in relay_actions {
                self.carry_out_relay(action);
            }
        }
    }

    fn carry_out_pool(self: &Rc<Self>, action: PoolAction) {
        match action {
            PoolAction::Call(call) => {
                let engine = Rc::clone(self);
                spawn_local(async move {
                    let answer = engine.port.call_worker(&call).await;
                    engine.detect_pause();
                    engine.metrics.note_call(&call, &answer, engine.now());
                    let now = engine.now();
                    engine
                        .state
                        .borrow_mut()
                        .pool
                        .worker_answered(&call, answer, now);
                    engine.carry_out();
                });
            }
            PoolAction::Send(OWN_RELAY, message) => {
                self.state.borrow_mut().to_own_relay.push(message);
            }
            PoolAction::Send(relay, message) => {
                if let Some(link) = self.state.borrow().relays.get(&relay) {
                    queue_frame(&link.frames, pool_frame_of(message));
                }
            }
            PoolAction::Note(decision) => self.note(&decision),
            PoolAction::Superseded => {
                let action = self.state.borrow_mut().claim.superseded();
                if let Some(action) = action {
                    self.start_claim_action(action);
                }
                let now = self.now();
                self.state
                    .borrow_mut()
                    .relay
                    .pool_lost(&self.settings.host.domain, now);
                self.command_changed.notify_waiters();
                self.beat_now();
            }
        }
    }

    fn carry_out_relay(&self, action: RelayAction) {
        match action {
            RelayAction::Send(domain, message) => {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                let is_own = state
                    .pools
                    .get(&domain)
                    .is_some_and(|link| link.claim.incarnation == self.incarnation);
                if is_own {
                    state.to_own_pool.push(message);
                } else if let Some(frames) = state
                    .pools
                    .get(&domain)
                    .and_then(|link| link.frames.as_ref())
                {
                    let frame = relay_frame_of(message, now);
                    if frames.send(frame).is_err() {
                        log::debug!("event=frame_dropped pool={domain} reason=connection_ended");
                    }
                }
            }
            RelayAction::Answer(job, answer) => {
                let caller = self.state.borrow_mut().callers.remove(&job);
                if let Some(caller) = caller
                    && caller.answer.send(answer).is_err()
                {
                    log::info!("event=answer_dropped job={job} reason=caller_left");
                }
            }
            RelayAction::Note(decision) => self.note(&decision),
        }
    }

    fn note(&self, decision: &Decision) {
        match decision.weight() {
            DecisionWeight::Routine => {
                let job = decision.job().unwrap_or_default();
                let second = time_of_day().as_millis() / 1_000;
                if log::log_enabled!(log::Level::Debug)
                    && self.state.borrow_mut().sampler.passes(job, second)
                {
                    log::debug!("{decision}");
                }
            }
            DecisionWeight::Notable => log::info!("{decision}"),
            DecisionWeight::Important => log::warn!("{decision}"),
        }
        self.metrics.note_decision(decision);
    }
}

/// Queues a frame; a closed queue means that the connection has ended, which its reader reports.
fn queue_frame(frames: &mpsc::UnboundedSender<PoolFrame>, frame: PoolFrame) {
    if frames.send(frame).is_err() {
        log::trace!("event=frame_dropped reason=connection_ended");
    }
}
