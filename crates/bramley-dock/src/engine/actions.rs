//! Executes the actions of the pool and relay state machines.

use std::pin::pin;
use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::decision::{Decision, LogPriority};
use bramley_pool::message::RelayMessage;
use bramley_pool::pool::PoolAction;
use bramley_pool::pool_connection::LossCause;
use bramley_pool::relay::RelayAction;
use bramley_pool::worker::{CallAnswer, WorkerCall};
use bramley_wire::pool::PoolFrame;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::{Engine, LOCAL_RELAY};
use crate::clock::wall_clock_now;
use crate::deadline::timeout_at_with_grace;
use crate::links::OutgoingFrame;
use crate::links::convert::{encode_pool_message, encode_relay_message};
use crate::platform::Platform;

impl<P: Platform> Engine<P> {
    /// Executes pending actions until the state machines request no more.
    pub(super) fn process_actions(self: &Rc<Self>) {
        loop {
            let (pool_actions, relay_actions) = {
                let mut state = self.state.borrow_mut();
                let now = self.now();
                for message in std::mem::take(&mut state.local_pool_inbox) {
                    state.pool.handle_relay_message(LOCAL_RELAY, message, now);
                }
                for (connection, message) in std::mem::take(&mut state.local_relay_inbox) {
                    state.relay.handle_pool_message(&connection, message, now);
                }
                (state.pool.take_actions(), state.relay.take_actions())
            };
            if pool_actions.is_empty() && relay_actions.is_empty() {
                return;
            }
            for action in pool_actions {
                self.execute_pool_action(action);
            }
            for action in relay_actions {
                self.execute_relay_action(action);
            }
        }
    }

    pub(super) fn execute_pool_action(self: &Rc<Self>, action: PoolAction) {
        match action {
            PoolAction::Call(call) => {
                let engine = Rc::clone(self);
                spawn_local(async move {
                    let answer = engine.await_answer(&call).await;
                    engine.detect_pause();
                    engine
                        .metrics
                        .record_worker_call(&call, &answer, engine.now());
                    let now = engine.now();
                    engine
                        .state
                        .borrow_mut()
                        .pool
                        .handle_worker_answer(&call, answer, now);
                    engine.process_actions();
                });
            }
            PoolAction::Send(LOCAL_RELAY, message) => {
                self.state.borrow_mut().send_to_local_relay(message);
            }
            PoolAction::Send(relay, message) => {
                if let Some(link) = self.state.borrow().relays.get(&relay) {
                    queue_frame(
                        &link.outgoing,
                        OutgoingFrame::Single(encode_pool_message(message)),
                    );
                }
            }
            PoolAction::Broadcast(message) => {
                let mut state = self.state.borrow_mut();
                if !state.relays.is_empty() {
                    let frame = OutgoingFrame::shared(&encode_pool_message(message.clone()));
                    for link in state.relays.values() {
                        queue_frame(&link.outgoing, frame.clone());
                    }
                }
                state.send_to_local_relay(message);
            }
            PoolAction::SendToPool(domain, message) => self.send_to_pool(&domain, message),
            PoolAction::Publish(waiting) => {
                let domains: Vec<DomainName> = {
                    let state = self.state.borrow();
                    let links = state.pools.iter();
                    let others = links.filter(|(_, link)| link.outgoing.is_some());
                    others.map(|(domain, _)| domain.clone()).collect()
                };
                for domain in domains {
                    self.send_to_pool(&domain, RelayMessage::Waiting(waiting));
                }
            }
            PoolAction::ReadEntries => self.entries_wanted.notify_one(),
            PoolAction::LogDecision(decision) => self.log_decision(&decision),
            PoolAction::LostLeadership => {
                let action = self.state.borrow_mut().claim.lost_leadership();
                if let Some(action) = action {
                    self.execute_claim_action(action);
                }
                self.lose_local_pool(LossCause::Fenced);
                self.leadership_changed.notify_waiters();
                self.send_heartbeats_now();
            }
        }
    }

    /// Calls a worker. If the answer is overdue, reports it to the pool and goes on waiting.
    async fn await_answer(self: &Rc<Self>, call: &WorkerCall) -> CallAnswer {
        let mut answer = pin!(self.platform.call_worker(call));
        let Some(overdue_at) = call.overdue_at else {
            return answer.await;
        };
        let overdue_at = Instant::now() + overdue_at.since(call.sent_at);
        if let Ok(answer) = timeout_at_with_grace(overdue_at, answer.as_mut()).await {
            return answer;
        }
        self.detect_pause();
        let now = self.now();
        self.state.borrow_mut().pool.start_overdue(call, now);
        self.process_actions();
        answer.await
    }

    pub(super) fn execute_relay_action(&self, action: RelayAction) {
        match action {
            RelayAction::Send(domain, message) => self.send_to_pool(&domain, message),
            RelayAction::Answer(job, answer) => {
                let caller = self.state.borrow_mut().callers.remove(&job);
                if let Some(caller) = caller
                    && caller.answer.send(answer).is_err()
                {
                    log::info!("event=answer_dropped job={job} reason=caller_left");
                }
            }
            RelayAction::LogDecision(decision) => self.log_decision(&decision),
        }
    }

    /// Sends a message to the pool of a failure domain, if it is connected or local.
    fn send_to_pool(&self, domain: &DomainName, message: RelayMessage) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let link = state.pools.get(domain);
        let is_local = link.is_some_and(|link| link.claim.incarnation == self.incarnation);
        if is_local {
            state.local_pool_inbox.push(message);
        } else if let Some(outgoing) = link.and_then(|link| link.outgoing.as_ref()) {
            let frame = OutgoingFrame::Single(encode_relay_message(message, now));
            if outgoing.send(frame).is_err() {
                log::debug!("event=frame_dropped pool={domain} reason=connection_ended");
            }
        }
    }

    /// Logs the numbers of refusals that were not logged in full.
    pub(super) fn log_omitted_refusals(&self, now: UnixTime) {
        let mut state = self.state.borrow_mut();
        while let Some(omitted) = state.refusal_log.take_omitted(now) {
            log::warn!(
                "event=refusals_omitted reason={} count={}",
                omitted.reason,
                omitted.count,
            );
        }
    }

    /// Returns whether a refusal for the given reason is logged in full.
    pub fn should_log_refusal(&self, reason: &'static str) -> bool {
        let now = self.now();
        self.state.borrow_mut().refusal_log.should_log(reason, now)
    }

    pub(super) fn log_decision(&self, decision: &Decision) {
        self.metrics.record_decision(decision);
        if let Some(reason) = decision.refusal_reason()
            && !self.should_log_refusal(reason)
        {
            return;
        }
        match decision.priority() {
            LogPriority::Routine => {
                let job = decision.job().unwrap_or_default();
                let now_second = wall_clock_now().as_millis() / 1_000;
                if log::log_enabled!(log::Level::Debug)
                    && self.state.borrow_mut().sampler.should_log(job, now_second)
                {
                    log::debug!("{decision}");
                }
            }
            LogPriority::Notable => log::info!("{decision}"),
            LogPriority::Important => log::warn!("{decision}"),
        }
    }
}

/// Queues a frame. If the queue is closed, the connection has ended, which its reader reports.
pub(super) fn queue_frame(
    outgoing: &mpsc::UnboundedSender<OutgoingFrame<PoolFrame>>,
    frame: OutgoingFrame<PoolFrame>,
) {
    if outgoing.send(frame).is_err() {
        log::trace!("event=frame_dropped reason=connection_ended");
    }
}
