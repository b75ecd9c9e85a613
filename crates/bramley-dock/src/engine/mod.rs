//! Feeds events to the pool and relay state machines and executes their actions.
//!
//! - `actions` executes the actions of the state machines.
//! - `callers` tracks callers that wait for an answer.
//! - `claims` applies claims read from the store.
//! - `dump` describes the state for operators.
//! - `inbox` queues messages of other processes' relays.
//! - `peers` handles connections between relays and pools.
//! - `placement` explains where a request would go now.
//! - `timers` runs periodic work and detects pauses of the process.

mod actions;
mod callers;
mod claims;
mod dump;
mod inbox;
mod peers;
mod placement;
mod timers;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_intake::ConnectionLedger;
use bramley_pool::claim::{Claim, ClaimView};
use bramley_pool::job::JobName;
use bramley_pool::message::{PoolMessage, RelayId, RelayMessage};
use bramley_pool::pool::Pool;
use bramley_pool::pool_connection::PoolConnection;
use bramley_pool::relay::{JobAnswer, Relay};
use bramley_pool::shedding::{HostShedder, SheddingSettings};
use bramley_wire::pool::{PoolFrame, RelayFrame};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;

pub use self::callers::PendingJob;
use crate::clock::{MonotonicClock, time_since_boot};
use crate::links::OutgoingFrame;
use crate::logging::JobLogSampler;
use crate::metrics::DockMetrics;
use crate::placement_query::ExplanationLimit;
use crate::platform::{EvacuationItem, Platform, WorkerChange};
use crate::refusal_log::RefusalLog;
use crate::routes::RouteTable;
use crate::settings::DockSettings;

/// Identifier of the local relay at the local pool.
const LOCAL_RELAY: RelayId = RelayId(0);

/// Caller that waits for the answer to a job.
#[derive(Debug)]
struct WaitingCaller {
    caller_number: u64,
    answer: oneshot::Sender<JobAnswer>,
}

/// Connection of another process's relay to the local pool.
#[derive(Debug)]
struct RelayLink {
    /// Incarnation of the process.
    incarnation: u64,
    outgoing: mpsc::UnboundedSender<OutgoingFrame<PoolFrame>>,
    last_heard_at: UnixTime,
}

/// Connection of the local relay to a pool.
#[derive(Debug)]
struct PoolLink {
    claim: ClaimView,
    connector: Option<AbortHandle>,
    /// Connection of the local relay to the pool, which needs no socket if the pool is the local one.
    connection: Option<PoolConnection>,
    outgoing: Option<mpsc::UnboundedSender<OutgoingFrame<RelayFrame>>>,
    last_heard_at: UnixTime,
    /// Whether the pool asks for its leadership to be taken over, as its last heartbeat stated.
    gives_way: bool,
    refuses_connections: bool,
}

#[derive(Debug)]
struct EngineState {
    pool: Pool,
    relay: Relay,
    claim: Claim,
    callers: FxHashMap<JobName, WaitingCaller>,
    next_caller_number: u64,
    /// Connections of other processes' relays to the local pool.
    relays: FxHashMap<RelayId, RelayLink>,
    next_relay_id: u64,
    pools: BTreeMap<DomainName, PoolLink>,
    routes: Arc<RouteTable>,
    /// Time at which this process applied the routes.
    routes_applied_at: UnixTime,
    stopping_since: Option<UnixTime>,
    /// Whether a relay of another host in the same failure domain has ever connected.
    has_successor: bool,
    sampler: JobLogSampler,
    refusal_log: RefusalLog,
    shedder: HostShedder,
    last_heartbeat_at: UnixTime,
    /// Messages of other processes' relays that the local pool has not handled yet.
    inbox: VecDeque<(RelayId, RelayMessage)>,
    /// Messages between the local relay and the local pool, which need no connection.
    local_pool_inbox: Vec<RelayMessage>,
    /// Each with the latest connection to the local pool when it was sent.
    local_relay_inbox: Vec<(PoolConnection, PoolMessage)>,
    /// Latest connection of the local relay to the local pool, which may have ended.
    local_connection: Option<PoolConnection>,
}

impl EngineState {
    /// Returns the earliest time at which callers of active runs may have lost their host: as the
    /// pool knows, or since a connected relay has been silent for longer than `limit`.
    fn callers_lost_at(&self, limit: Duration, now: UnixTime) -> Option<UnixTime> {
        let heard_at = self.relays.values().map(|link| link.last_heard_at).min();
        let silent_since = heard_at.filter(|heard_at| now.since(*heard_at) > limit);
        let lost_at = self.pool.callers_lost_at(now);
        lost_at.into_iter().chain(silent_since).min()
    }

    /// Queues a message of the local pool for the local relay.
    fn send_to_local_relay(&mut self, message: PoolMessage) {
        match &self.local_connection {
            Some(connection) => {
                let message = (connection.clone(), message);
                self.local_relay_inbox.push(message);
            }
            None => log::debug!(
                "event=message_ignored relay={} reason=never_connected",
                LOCAL_RELAY.0,
            ),
        }
    }

    /// Handles the end of a connection of another process's relay, which submits its unfinished jobs
    /// again, here or elsewhere.
    fn drop_relay(&mut self, relay: RelayId, now: UnixTime) {
        let Some(link) = self.relays.remove(&relay) else {
            return;
        };
        self.inbox.retain(|(sender, _)| *sender != relay);
        self.pool.relay_lost(relay, link.last_heard_at, now);
    }

    /// Drops the earlier connection of a process whose relay connects again. What was sent over it and
    /// is not read yet must not be handled after the messages of the new one.
    fn drop_relay_of(&mut self, incarnation: u64, now: UnixTime) {
        let links = self.relays.iter();
        let earlier = links.filter(|(_, link)| link.incarnation == incarnation);
        let earlier: Vec<RelayId> = earlier.map(|(relay, _)| *relay).collect();
        for relay in earlier {
            log::info!(
                "event=relay_replaced relay={} incarnation={incarnation}",
                relay.0
            );
            self.drop_relay(relay, now);
        }
    }

    /// Returns whether another host should take over leadership of the failure domain.
    fn gives_way(&self, now: UnixTime) -> bool {
        self.stopping_since.is_some() || self.claim.has_lost_store(now)
    }
}

/// Runtime of one process: its relay, pool and claim together with their I/O.
#[derive(Debug)]
pub struct Engine<P> {
    settings: DockSettings,
    platform: P,
    clock: MonotonicClock,
    incarnation: u64,
    metrics: DockMetrics,
    state: RefCell<EngineState>,
    /// Time since boot at which the process was last known to run.
    last_active_at: Cell<Duration>,
    /// The same time on the process's clock.
    last_active_clock: Cell<UnixTime>,
    /// Time at which the process ran again after its last pause.
    resumed_at: Cell<UnixTime>,
    explanation_limit: Cell<ExplanationLimit>,
    /// Connections from callers, once they are accepted.
    caller_connections: OnceCell<ConnectionLedger>,
    leadership_changed: Notify,
    /// Tells that the pool waits for the entry of a worker.
    entries_wanted: Notify,
}

impl<P: Platform> Engine<P> {
    /// Creates the engine of a process.
    #[must_use]
    pub fn new(settings: DockSettings, platform: P, routine_lines_per_s: u32) -> Rc<Self> {
        let clock = MonotonicClock::default();
        let incarnation = rand::random::<u64>() >> 1;
        let address = SocketAddr::new(settings.host.ip, settings.host.peer_port).to_string();
        let claim = Claim::new(
            settings.claim.clone(),
            incarnation,
            address,
            settings.host.cpu_milli,
        );
        let mut pool = Pool::new(settings.pool.clone());
        pool.relay_connected(LOCAL_RELAY, settings.host.domain.clone());
        pool.relay_introduced(LOCAL_RELAY, incarnation);
        let state = EngineState {
            pool,
            relay: Relay::new(settings.relay.clone(), settings.host.domain.clone()),
            claim,
            callers: FxHashMap::default(),
            next_caller_number: 0,
            relays: FxHashMap::default(),
            next_relay_id: LOCAL_RELAY.0 + 1,
            pools: BTreeMap::new(),
            routes: Arc::default(),
            routes_applied_at: UnixTime::default(),
            stopping_since: None,
            has_successor: false,
            sampler: JobLogSampler::new(routine_lines_per_s),
            refusal_log: RefusalLog::default(),
            shedder: HostShedder::new(SheddingSettings::default()),
            last_heartbeat_at: UnixTime::default(),
            inbox: VecDeque::new(),
            local_pool_inbox: Vec::new(),
            local_relay_inbox: Vec::new(),
            local_connection: None,
        };
        Rc::new(Self {
            settings,
            platform,
            clock,
            incarnation,
            metrics: DockMetrics::default(),
            state: RefCell::new(state),
            last_active_at: Cell::new(time_since_boot()),
            last_active_clock: Cell::new(clock.now()),
            resumed_at: Cell::default(),
            explanation_limit: Cell::default(),
            caller_connections: OnceCell::new(),
            leadership_changed: Notify::new(),
            entries_wanted: Notify::new(),
        })
    }

    /// Sets the connections from callers, which are retired after a long pause of the process. Only the
    /// first call has an effect.
    pub fn set_caller_connections(&self, connections: ConnectionLedger) {
        if self.caller_connections.set(connections).is_err() {
            log::error!("event=caller_connections_ignored reason=set_before");
        }
    }

    /// Updates the state. Actions that result from it are executed by [`Engine::process_actions`].
    fn update_state(&self, update: impl FnOnce(&mut EngineState)) {
        update(&mut self.state.borrow_mut());
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &DockSettings {
        &self.settings
    }

    /// Returns the interface to the platform.
    #[must_use]
    pub const fn platform(&self) -> &P {
        &self.platform
    }

    /// Returns the metrics.
    #[must_use]
    pub const fn metrics(&self) -> &DockMetrics {
        &self.metrics
    }

    /// Returns the random identifier of this run of the process.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> UnixTime {
        self.clock.now()
    }

    /// Returns the current routes.
    #[must_use]
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(&self.state.borrow().routes)
    }

    /// Returns the number of open jobs of a route without a started task.
    #[must_use]
    pub fn unstarted_jobs(&self, route: &str) -> usize {
        self.state.borrow().relay.unstarted_jobs(route)
    }

    /// Returns whether the process should receive new connections from callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.stopping_since.is_none()
            && state.routes.version > 0
            && !state.shedder.is_unready(self.now())
            && state.relay.is_well_connected(state.pools.len())
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping_since.is_some()
    }

    /// Returns the time since the planned stop began, or zero before it.
    #[must_use]
    pub fn time_since_stop_began(&self) -> Duration {
        let since = self.state.borrow().stopping_since;
        since.map_or(Duration::ZERO, |since| self.now().since(since))
    }

    /// Returns the number of callers waiting for an answer.
    #[must_use]
    pub fn waiting_callers(&self) -> usize {
        self.state.borrow().callers.len()
    }

    /// Returns whether the local pool is the leader, which controls the workers of the failure
    /// domain.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.state.borrow().pool.token().is_some()
    }

    /// Returns whether the process holds the claim on its failure domain.
    #[must_use]
    pub fn holds_claim(&self) -> bool {
        self.state.borrow().claim.grant().is_some()
    }

    /// Waits until the local pool gains or loses leadership.
    pub async fn wait_for_leadership_change(&self) {
        self.leadership_changed.notified().await;
    }

    /// Waits until the pool wants the worker entries to be read.
    pub async fn wait_for_wanted_entries(&self) {
        self.entries_wanted.notified().await;
    }

    /// Records that the store has responded.
    pub fn store_answered(&self) {
        self.state.borrow_mut().claim.store_answered(self.now());
    }

    /// Applies a configuration if it is newer than the current one.
    pub fn routes_changed(&self, table: RouteTable) {
        let mut state = self.state.borrow_mut();
        let current_version = state.routes.version;
        if table.version <= current_version {
            log::info!(
                "event=configuration_ignored version={} present={current_version} reason=not_newer",
                table.version,
            );
            return;
        }
        log::info!(
            "event=configuration_in_force version={} before={current_version}",
            table.version
        );
        state.relay.set_known_routes(table.route_names());
        state.routes = Arc::new(table);
        state.routes_applied_at = self.now();
    }

    /// Applies changes of the worker list. If `complete` is set, workers without a change are no
    /// longer listed.
    pub fn workers_changed(self: &Rc<Self>, changes: Vec<WorkerChange>, complete: bool) {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            let mut missing: Vec<_> = if complete {
                state.pool.listed_workers().cloned().collect()
            } else {
                Vec::new()
            };
            state.pool.worker_list_read(now);
            for change in changes {
                match change {
                    WorkerChange::Listed(entry) => {
                        missing.retain(|name| *name != entry.name);
                        if *entry.failure_domain == *self.settings.host.domain.as_str() {
                            state.pool.worker_listed(entry, now);
                        } else {
                            state.pool.worker_unlisted(&entry.name, now);
                        }
                    }
                    WorkerChange::Unlisted(name) => state.pool.worker_unlisted(&name, now),
                }
            }
            for name in missing {
                state.pool.worker_unlisted(&name, now);
            }
        }
        self.process_actions();
    }

    /// Applies evacuations read by a request that was sent at `requested_at`. If `complete` is set,
    /// failure domains without an item are not evacuated. Those of other failure domains are left to
    /// their leaders.
    pub fn evacuations_changed(
        self: &Rc<Self>,
        items: Vec<EvacuationItem>,
        complete: bool,
        requested_at: UnixTime,
    ) {
        let now = self.now();
        let has_changed = {
            let mut state = self.state.borrow_mut();
            let was_evacuated = state.pool.is_evacuated();
            let mut is_evacuated = was_evacuated && !complete;
            for item in items {
                if item.domain == self.settings.host.domain {
                    is_evacuated = item.is_evacuated;
                }
            }
            state.pool.evacuation_read(is_evacuated, requested_at, now);
            is_evacuated != was_evacuated
        };
        if has_changed {
            self.send_heartbeats_now();
        }
        self.process_actions();
    }

    /// Begins the planned stop: leadership is handed over, and callers with open jobs are still
    /// served.
    pub fn stop(self: &Rc<Self>) {
        if self.is_stopping() {
            return;
        }
        let now = self.now();
        self.update_state(|state| {
            state.stopping_since = Some(now);
            state.claim.stop(now);
        });
        log::info!(
            "event=stop_begun callers={} commands={}",
            self.waiting_callers(),
            self.is_leader(),
        );
        self.send_heartbeats_now();
    }
}
