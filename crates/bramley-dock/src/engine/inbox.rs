//! Messages of other processes' relays that the local pool has not handled yet.
//!
//! Under overload, submissions arrive faster than they can be handled on a host with a fraction of
//! a core. They are handled in turns of bounded length, between which answers of workers, lease
//! renewals and timers are handled. Messages keep their order, and a submission that has waited for
//! longer than its slack is refused by the pool without an evaluation.

use std::rc::Rc;
use std::time::Duration;

use bramley_pool::message::{RelayId, RelayMessage};
use tokio::task::{spawn_local, yield_now};

use super::Engine;
use crate::platform::Platform;

/// Longest time for which messages are handled before everything else that is ready: short against
/// the 25 ms between ticks and the 15 ms after which a start is resent.
const TURN_TIME: Duration = Duration::from_millis(1);

impl<P: Platform> Engine<P> {
    /// Queues a message of another process's relay.
    pub(crate) fn handle_relay_message(self: &Rc<Self>, relay: RelayId, message: RelayMessage) {
        let was_empty = {
            let inbox = &mut self.state.borrow_mut().inbox;
            inbox.push_back((relay, message));
            inbox.len() == 1
        };
        if was_empty {
            let engine = Rc::clone(self);
            spawn_local(async move {
                while engine.handle_inbox() {
                    yield_now().await;
                }
            });
        }
    }

    /// Handles queued messages for one turn. Returns whether any are left.
    pub(super) fn handle_inbox(self: &Rc<Self>) -> bool {
        self.detect_pause();
        let turn_ends_at = self.now().after(TURN_TIME);
        let is_left = loop {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            if now > turn_ends_at {
                break !state.inbox.is_empty();
            }
            let Some((relay, message)) = state.inbox.pop_front() else {
                break false;
            };
            if state.relays.contains_key(&relay) {
                state.pool.handle_relay_message(relay, message, now);
            } else {
                let number = relay.0;
                log::info!("event=message_ignored relay={number} reason=connection_dropped");
            }
        };
        self.process_actions();
        is_left
    }
}
