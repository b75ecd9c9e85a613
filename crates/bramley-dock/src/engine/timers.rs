//! Runs what is due by time and notices pauses of the process.

use std::rc::Rc;
use std::time::Duration;

use bramley_core::units::UnixTime;
use tokio::time::{MissedTickBehavior, interval};

use super::Engine;
use super::actions::queue_frame;
use crate::clock::time_since_boot;
use crate::links::convert::beat_frame_of;
use crate::port::PlatformPort;

/// Time between two rounds of what is due by time; run leases and stops need this resolution.
const TICK: Duration = Duration::from_millis(25);

/// Time between two rounds from which the process counts as paused; a busy host is late by less.
const PAUSE_LIMIT: Duration = Duration::from_millis(300);

impl<P: PlatformPort> Engine<P> {
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
    pub(super) fn detect_pause(&self) {
        let time = time_since_boot();
        let pause = time.saturating_sub(self.active_at.replace(time));
        if pause > PAUSE_LIMIT {
            self.process_resumed(pause);
        }
    }

    /// The process did not run for a while: relays that it may have missed are to connect again.
    pub(super) fn process_resumed(&self, pause: Duration) {
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

    pub(super) fn send_beats(&self, now: UnixTime) {
        let mut state = self.state.borrow_mut();
        if now.since(state.last_beat) < self.settings.link.heartbeat_every {
            return;
        }
        state.last_beat = now;
        let load = state.pool.load(now);
        let commands = state.pool.token().is_some();
        let gives_way = state.gives_way(now);
        for frames in state.relays.values() {
            queue_frame(frames, beat_frame_of(load, commands, gives_way));
        }
        let home = self.settings.host.domain.clone();
        if commands {
            state.relay.pool_loaded(&home, load);
        }
        self.metrics.note_load(load, commands, state.callers.len());
        let list_age = state.pool.list_age(now);
        self.metrics
            .note_ages(now.since(state.routes_since), list_age);
    }

    pub(super) fn beat_now(&self) {
        let now = self.now();
        self.state.borrow_mut().last_beat = UnixTime::default();
        self.send_beats(now);
    }
}
