//! Carries out what the kernels decide.

use std::rc::Rc;

use bramley_pool::decision::{Decision, DecisionWeight};
use bramley_pool::pool::PoolAction;
use bramley_pool::relay::RelayAction;
use bramley_wire::pool::PoolFrame;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::{Engine, OWN_RELAY};
use crate::clock::time_of_day;
use crate::links::convert::{pool_frame_of, relay_frame_of};
use crate::port::PlatformPort;

impl<P: PlatformPort> Engine<P> {
    /// Carries out what the kernels have decided until they decide nothing more.
    pub(super) fn carry_out(self: &Rc<Self>) {
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

    pub(super) fn carry_out_pool(self: &Rc<Self>, action: PoolAction) {
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
                if let Some(frames) = self.state.borrow().relays.get(&relay) {
                    queue_frame(frames, pool_frame_of(message));
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

    pub(super) fn carry_out_relay(&self, action: RelayAction) {
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

    pub(super) fn note(&self, decision: &Decision) {
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
pub(super) fn queue_frame(frames: &mpsc::UnboundedSender<PoolFrame>, frame: PoolFrame) {
    if frames.send(frame).is_err() {
        log::trace!("event=frame_dropped reason=connection_ended");
    }
}
