//! Runs periodic work and detects pauses of the process.

use std::rc::Rc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use tokio::time::{MissedTickBehavior, interval};

use super::Engine;
use super::actions::queue_frame;
use crate::clock::time_since_boot;
use crate::links::OutgoingFrame;
use crate::links::convert::{PoolHeartbeat, encode_heartbeat};
use crate::platform::Platform;

/// Interval of periodic work; run leases and stops need this resolution.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two runs of periodic work from which the process counts as paused. On a busy host
/// the delay is shorter.
const MIN_PAUSE: Duration = Duration::from_millis(300);

impl<P: Platform> Engine<P> {
    /// Runs periodic work until the process ends.
    pub async fn run_timers(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let scheduled_at = ticks.tick().await;
            self.detect_pause();
            self.record_queueing_delay(scheduled_at.elapsed());
            self.tick_claim();
            let now = self.now();
            self.update_state(|state| {
                state.pool.tick(now);
                state.relay.tick(now);
            });
            self.send_due_heartbeats(now);
            // Goes on if handling a message has failed by a bug.
            self.handle_inbox();
            self.log_omitted_refusals(now);
        }
    }

    /// Records the delay of the timer, which is the time that work waits for the processor.
    fn record_queueing_delay(&self, delay: Duration) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_leader = state.pool.token().is_some();
        let due_at = now.after(TICK_INTERVAL);
        let change = state.shedder.timer_fired(delay, due_at, is_leader, now);
        self.metrics
            .record_shedding(state.shedder.delay(), state.shedder.shed_permille());
        if let Some(change) = change {
            log::warn!("{change}");
        }
    }

    /// Detects that the process was paused, for example suspended. Must be called before handling
    /// anything that may have arrived during the pause.
    pub fn detect_pause(&self) {
        let since_boot = time_since_boot();
        let pause = since_boot.saturating_sub(self.last_active_at.replace(since_boot));
        let now = self.now();
        let counted = now.since(self.last_active_clock.replace(now));
        if pause > MIN_PAUSE {
            self.process_resumed(pause, pause.saturating_sub(counted));
        }
    }

    /// Handles a pause of the process, of which its clock has not counted `skipped`. After a long
    /// one, connected relays are dropped and have to reconnect, because the process may have missed
    /// that their connections ended, and so do callers, because what they sent may arrive late.
    pub(super) fn process_resumed(&self, pause: Duration, skipped: Duration) {
        log::warn!(
            "event=process_resumed pause_ms={} skipped_ms={}",
            pause.as_millis(),
            skipped.as_millis(),
        );
        let now = self.now();
        self.resumed_at.set(now);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.pool.clock_skipped(skipped);
        state.relay.clock_skipped(skipped);
        state.pool.process_resumed(now);
        if state.relay.process_resumed(pause, now)
            && let Some(connections) = self.caller_connections.get()
        {
            let count = connections.retire_connections();
            log::info!("event=connections_retired interface=caller count={count}");
        }
        for link in state.relays.values_mut() {
            link.last_heard_at = link.last_heard_at.before(skipped);
        }
        if pause > self.settings.link.idle_timeout {
            state.inbox.clear();
            for (relay, link) in state.relays.drain() {
                state.pool.relay_lost(relay, link.last_heard_at, now);
            }
        }
    }

    pub(super) fn send_due_heartbeats(&self, now: UnixTime) {
        let mut state = self.state.borrow_mut();
        if now.since(state.last_heartbeat_at) < self.settings.link.heartbeat_interval {
            return;
        }
        state.last_heartbeat_at = now;
        let load = state.pool.load(now);
        let token = state.pool.token();
        let is_leader = token.is_some();
        let gives_way = state.gives_way(now);
        let admissions = state.pool.route_admissions(now);
        let callers_lost_at = state.callers_lost_at(self.settings.link.silence_limit(), now);
        let members = state.pool.take_changed_members(now);
        if !state.relays.is_empty() {
            let heartbeat = encode_heartbeat(&PoolHeartbeat {
                load,
                admissions: &admissions,
                token,
                gives_way,
                callers_lost_at,
                members: members.as_deref(),
                sent_at: now,
            });
            let heartbeat = OutgoingFrame::shared(&heartbeat);
            for link in state.relays.values() {
                queue_frame(&link.outgoing, heartbeat.clone());
            }
        }
        self.metrics.record_admissions(&admissions);
        if let Some(connection) = state.local_connection.clone()
            && is_leader
        {
            let relay = &mut state.relay;
            relay.update_pool_load(&connection, load);
            relay.update_term(&connection, token);
            relay.update_caller_loss(&connection, callers_lost_at, now);
            if let Some(members) = members {
                relay.update_members(&connection, members);
            }
            relay.update_route_admissions(&connection, admissions, now);
        }
        self.metrics
            .record_load(load, is_leader, state.callers.len());
        self.metrics.record_slow_workers(state.pool.slow_workers());
        let counts = state.pool.counts();
        self.metrics
            .record_interference(&state.pool.route_pairs(), counts.placements_kept_apart);
        self.metrics.record_stealing(counts);
        let list_age = state.pool.list_age(now);
        self.metrics
            .record_ages(now.since(state.routes_applied_at), list_age);
    }

    pub(super) fn send_heartbeats_now(&self) {
        let now = self.now();
        self.state.borrow_mut().last_heartbeat_at = UnixTime::default();
        self.send_due_heartbeats(now);
    }
}
