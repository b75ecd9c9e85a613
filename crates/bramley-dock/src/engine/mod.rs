//! Feeds events to the kernels and carries their actions out.
//!
//! - `actions` carries out what the kernels decide.
//! - `callers` keeps the callers that wait for answers.
//! - `claims` follows claims in the store.
//! - `dump` describes the state for operators.
//! - `peers` follows connections between relays and pools.
//! - `timers` runs what is due by time and notices pauses.

mod actions;
mod callers;
mod claims;
mod dump;
mod peers;
mod timers;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::claim::{Claim, ClaimView};
use bramley_pool::job::JobName;
use bramley_pool::message::{PoolMessage, RelayId, RelayMessage};
use bramley_pool::pool::Pool;
use bramley_pool::relay::{JobAnswer, Relay};
use bramley_wire::pool::{PoolFrame, RelayFrame};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;

pub use self::callers::CallerTicket;
use crate::clock::{SteadyClock, time_since_boot};
use crate::logging::RoutineSampler;
use crate::metrics::DockMetrics;
use crate::port::{PlatformPort, WorkerChange};
use crate::routes::RouteTable;
use crate::settings::DockSettings;

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

#[derive(Debug)]
struct EngineState {
    pool: Pool,
    relay: Relay,
    claim: Claim,
    callers: FxHashMap<JobName, WaitingCaller>,
    next_caller: u64,
    /// Connections of other processes' relays to the own pool.
    relays: FxHashMap<RelayId, mpsc::UnboundedSender<PoolFrame>>,
    next_relay: u64,
    pools: BTreeMap<DomainName, PoolLink>,
    routes: Arc<RouteTable>,
    /// Time at which the routes came into force here.
    routes_since: UnixTime,
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
        self.stopping_since.is_some() || self.claim.has_lost_store(now)
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
            routes_since: UnixTime::default(),
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

    /// Tells whether the process holds the claim of its failure domain.
    #[must_use]
    pub fn holds_claim(&self) -> bool {
        self.state.borrow().claim.grant().is_some()
    }

    /// Waits until the own pool takes or loses command.
    pub async fn command_change(&self) {
        self.command_changed.notified().await;
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
        state.routes_since = self.now();
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
        if self.is_stopping() {
            return;
        }
        let now = self.now();
        self.change(|state| {
            state.stopping_since = Some(now);
            state.claim.stop(now);
        });
        log::info!(
            "event=stop_begun callers={} commands={}",
            self.waiting_callers(),
            self.commands(),
        );
        self.beat_now();
    }
}
