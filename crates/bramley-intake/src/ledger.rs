//! Shares the state of all connections to one address between their tasks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

use crate::admission::{Admission, CloseCause, LedgerState};
use crate::body::BodyMemory;
use crate::report::IntakeReport;
use crate::settings::{IntakeSettings, PhaseTimes};
use crate::stream::MeteredStream;

/// Interval at which overdue connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two log lines on closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Turns of the event loop for which a connection waits for others to close.
const CLOSE_TURNS: usize = 256;

#[derive(Debug)]
struct SharedLedger {
    state: LedgerState,
    /// Signals that end the tasks of connections.
    signals: FxHashMap<u64, CancellationToken>,
    next_connection: u64,
    report: IntakeReport,
}

/// Number of times that the connections of a ledger have been retired.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RetirementCount(u64);

impl SharedLedger {
    fn close(&mut self, connection: u64, cause: CloseCause) {
        self.report.closed[cause as usize] += 1;
        if let Some(signal) = self.signals.get(&connection) {
            signal.cancel();
        }
    }
}

/// Ledger of the connections to one address. Clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionLedger {
    shared: Arc<Mutex<SharedLedger>>,
    retirements: watch::Sender<RetirementCount>,
    interface: &'static str,
}

/// What a connection that asked for room is to do.
enum NextStep {
    Proceed,
    Wait,
    GiveUp,
}

impl ConnectionLedger {
    /// Creates an empty ledger. `interface` is the name of the address in logs and metrics.
    #[must_use]
    pub fn new(interface: &'static str, settings: IntakeSettings) -> Self {
        let shared = SharedLedger {
            state: LedgerState::new(settings),
            signals: FxHashMap::default(),
            next_connection: 0,
            report: IntakeReport::default(),
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
            retirements: watch::Sender::default(),
            interface,
        }
    }

    fn lock(&self) -> MutexGuard<'_, SharedLedger> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of the address in logs and metrics.
    #[must_use]
    pub const fn interface(&self) -> &'static str {
        self.interface
    }

    /// Returns what is open now and what has happened so far.
    #[must_use]
    pub fn report(&self) -> IntakeReport {
        let shared = self.lock();
        IntakeReport {
            open: shared.state.open(),
            held_bytes: shared.state.held_bytes(),
            ..shared.report
        }
    }

    /// Closes connections from now on that have been at rest for this long.
    pub fn limit_rest(&self, limit: Duration) {
        self.lock().state.limit_rest(limit);
    }

    /// Retires all connections that clients have set up before this call, and returns the number of those
    /// that are open. They carry no further request: a connection at rest is closed, others after their
    /// response. Requests that are read from one before must not be served, which
    /// [`ConnectionHandle::is_retired`] tells. [`IntakeListener`](crate::IntakeListener) retires those that
    /// wait to be accepted as well.
    pub fn retire_connections(&self) -> usize {
        self.retirements.send_modify(|count| count.0 += 1);
        let mut shared = self.lock();
        let open = shared.state.open();
        shared.report.closed[CloseCause::Retired as usize] += open as u64;
        open
    }

    /// Returns how many times connections have been retired.
    pub(crate) fn retirements(&self) -> RetirementCount {
        *self.retirements.borrow()
    }

    /// Waits until connections have been retired more than `count` times.
    pub(crate) async fn wait_for_retirement(&self, count: RetirementCount) {
        let mut retirements = self.retirements.subscribe();
        // The sender lives as long as this ledger.
        let passed = retirements.wait_for(|current| *current > count).await;
        drop(passed);
    }

    /// Registers a new connection, which was set up after `retirements`. Others are closed if there is no
    /// room; `None` means that none of them may be closed.
    pub(crate) async fn admit(
        &self,
        times: PhaseTimes,
        retirements: RetirementCount,
    ) -> Option<OpenConnection> {
        let connection = {
            let mut shared = self.lock();
            shared.next_connection += 1;
            shared.next_connection
        };
        for _ in 0..CLOSE_TURNS {
            let step = {
                let mut shared = self.lock();
                let admission = shared.state.admit(connection, times, Instant::now());
                let step = apply_admission(&mut shared, admission, CloseCause::Connections);
                if matches!(step, NextStep::Proceed) {
                    shared.report.accepted += 1;
                    let signal = CancellationToken::new();
                    shared.signals.insert(connection, signal.clone());
                    let handle = ConnectionHandle {
                        ledger: self.clone(),
                        connection,
                        accepted_at: Instant::now(),
                        retirements,
                    };
                    return Some(OpenConnection { handle, signal });
                }
                step
            };
            match step {
                NextStep::Wait => yield_now().await,
                NextStep::Proceed | NextStep::GiveUp => break,
            }
        }
        self.lock().report.refused += 1;
        None
    }

    /// Closes connections whose deadline has passed, and logs when connections were closed or
    /// refused to keep the limits. `observe` gets a report after each round.
    pub async fn watch(self, observe: impl Fn(&'static str, IntakeReport)) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut logged = IntakeReport::default();
        let mut logged_at: Option<Instant> = None;
        loop {
            ticks.tick().await;
            self.close_overdue();
            let report = self.report();
            observe(self.interface, report);
            let is_due = logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
            let is_changed = report.closed != logged.closed || report.refused != logged.refused;
            if is_due && is_changed {
                self.log_changes(&logged, &report);
                logged = report;
                logged_at = Some(Instant::now());
            }
        }
    }

    fn close_overdue(&self) {
        let mut shared = self.lock();
        let overdue = shared.state.expire(Instant::now());
        for (connection, cause) in overdue {
            shared.close(connection, cause);
        }
    }

    fn log_changes(&self, before: &IntakeReport, now: &IntakeReport) {
        let since = |cause: CloseCause| now.closed_for(cause) - before.closed_for(cause);
        let level = match now.pressed() - before.pressed() {
            0 => log::Level::Debug,
            _ => log::Level::Warn,
        };
        log::log!(
            level,
            "event=connections_closed interface={} for_connections={} for_held_bytes={} \
             for_idle_time={} for_head_time={} for_answer_time={} retired={} refused={} open={} \
             held_bytes={} \
             longest_ms={}",
            self.interface,
            since(CloseCause::Connections),
            since(CloseCause::HeldBytes),
            since(CloseCause::IdleTime),
            since(CloseCause::HeadTime),
            since(CloseCause::AnswerTime),
            since(CloseCause::Retired),
            now.refused - before.refused,
            now.open,
            now.held_bytes,
            self.lock()
                .state
                .longest_occupied(Instant::now())
                .as_millis(),
        );
    }
}

/// Carries out an admission, which may name a connection to close.
fn apply_admission(shared: &mut SharedLedger, admission: Admission, cause: CloseCause) -> NextStep {
    match admission {
        Admission::Granted => NextStep::Proceed,
        Admission::Close(victim) => {
            shared.close(victim, cause);
            NextStep::Wait
        }
        Admission::Closing => NextStep::Wait,
        Admission::Full => NextStep::GiveUp,
    }
}

/// Reports what one connection does.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    ledger: ConnectionLedger,
    connection: u64,
    accepted_at: Instant,
    /// Retirements that the connection has outlived.
    retirements: RetirementCount,
}

impl BodyMemory for ConnectionHandle {
    /// Waits for room, for which other connections are closed.
    async fn reserve(&self, bytes: usize) -> bool {
        for _ in 0..CLOSE_TURNS {
            let step = {
                let mut shared = self.ledger.lock();
                let admission = shared.state.hold(self.connection, bytes, Instant::now());
                apply_admission(&mut shared, admission, CloseCause::HeldBytes)
            };
            match step {
                NextStep::Proceed => return true,
                NextStep::Wait => yield_now().await,
                NextStep::GiveUp => return false,
            }
        }
        false
    }
}

impl ConnectionHandle {
    /// Returns whether the connection was retired. A request that is read from it may have been sent long
    /// ago, by a client that has left since.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retirements < self.ledger.retirements()
    }

    /// Returns the time for which the connection has been open.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    /// Records received bytes.
    pub(crate) fn receive(&self, bytes: usize) {
        let mut shared = self.ledger.lock();
        let victim = shared.state.receive(self.connection, bytes, Instant::now());
        if let Some(victim) = victim {
            shared.close(victim, CloseCause::HeldBytes);
        }
    }

    /// Records that everything written so far was sent.
    pub(crate) fn flushed(&self) {
        let mut shared = self.ledger.lock();
        if shared.state.is_answering(self.connection) {
            shared.state.finish_answer(self.connection, Instant::now());
        }
    }

    pub(crate) fn begin_body(&self) {
        self.ledger.lock().state.begin_body(self.connection);
    }

    /// Records that the connection is in use and is not to be closed to make room.
    pub fn begin_serving(&self, held_bytes: usize) {
        let mut shared = self.ledger.lock();
        shared.state.begin_serving(self.connection, held_bytes);
    }

    pub(crate) fn begin_answer(&self) {
        let mut shared = self.ledger.lock();
        shared.state.begin_answer(self.connection, Instant::now());
    }
}

/// Open connection; dropping it frees its room.
#[derive(Debug)]
pub struct OpenConnection {
    handle: ConnectionHandle,
    signal: CancellationToken,
}

impl OpenConnection {
    /// Returns a handle that reports what the connection does.
    #[must_use]
    pub fn handle(&self) -> ConnectionHandle {
        self.handle.clone()
    }

    /// Completes when the connection is to be closed to keep the limits.
    pub fn closed(&self) -> WaitForCancellationFuture<'_> {
        self.signal.cancelled()
    }

    /// Completes when the connection is retired and is to be closed after its present response.
    pub async fn retired(&self) {
        let handle = &self.handle;
        handle.ledger.wait_for_retirement(handle.retirements).await;
    }

    /// Wraps the stream of the connection, so that received and sent bytes are reported.
    #[must_use]
    pub fn meter<S>(&self, stream: S) -> MeteredStream<S> {
        MeteredStream::new(stream, self.handle())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut shared = self.handle.ledger.lock();
        shared.signals.remove(&self.handle.connection);
        shared.state.remove(self.handle.connection);
    }
}
