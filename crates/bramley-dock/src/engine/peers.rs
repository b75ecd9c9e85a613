//! Handles connections between relays and pools of different processes.

use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_pool::message::{PoolMessage, RelayId};
use bramley_pool::pool_connection::{LossCause, PoolConnection, PoolLoss};
use bramley_wire::pool::{PoolBeat, PoolFrame, RelayFrame, RelayHello};
use tokio::sync::mpsc;

use super::actions::queue_frame;
use super::{Engine, RelayLink};
use crate::links::convert::{
    PoolHeartbeat, decode_admissions, decode_age, decode_load, decode_term, encode_age,
    encode_heartbeat,
};
use crate::links::{DisconnectReason, OutgoingFrame};
use crate::platform::Platform;

impl<P: Platform> Engine<P> {
    /// Registers a relay of another process and returns its identifier at the local pool.
    pub(crate) fn relay_connected(
        &self,
        hello: &RelayHello,
        outgoing: mpsc::UnboundedSender<OutgoingFrame<PoolFrame>>,
    ) -> RelayId {
        let mut state = self.state.borrow_mut();
        let relay = RelayId(state.next_relay_id);
        state.next_relay_id += 1;
        let domain = DomainName::from(hello.relay_domain.as_str());
        let now = self.now();
        state.drop_relay_of(hello.incarnation, now);
        state.pool.relay_connected(relay, domain);
        state.pool.relay_introduced(relay, hello.incarnation);
        state.pool.relay_heard(relay, now);
        if let Some(lost_at) = decode_age(hello.caller_loss_age_ms, now) {
            state.pool.observe_caller_loss(lost_at, now);
        }
        if !hello.splits_jobs {
            state.pool.keep_jobs_whole(relay);
        }
        state.has_successor |= hello.relay_domain == self.settings.host.domain.as_str();
        log::info!(
            "event=relay_connected host={} incarnation={} relay={}",
            hello.host,
            hello.incarnation,
            relay.0,
        );
        let admissions = state.pool.route_admissions(now);
        let heartbeat = encode_heartbeat(&PoolHeartbeat {
            load: state.pool.load(now),
            admissions: &admissions,
            token: state.pool.token(),
            gives_way: state.gives_way(now),
            callers_lost_at: state.callers_lost_at(self.settings.link.silence_limit(), now),
            // Follow with the next heartbeat, because the relays of all hosts connect at once.
            members: None,
            sent_at: now,
        });
        queue_frame(&outgoing, OutgoingFrame::Single(heartbeat));
        let link = RelayLink {
            incarnation: hello.incarnation,
            outgoing,
            last_heard_at: now,
        };
        state.relays.insert(relay, link);
        relay
    }

    /// Records that a relay has sent a frame. One that is read soon after a pause of this process may
    /// have been sent long before and does not show that the relay is alive.
    pub(crate) fn relay_frame_received(&self, relay: RelayId) {
        self.detect_pause();
        let now = self.now();
        if now < self.resumed_at.get().after(self.settings.relay.resume_wait) {
            return;
        }
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(link) = state.relays.get_mut(&relay) {
            link.last_heard_at = now;
            state.pool.relay_heard(relay, now);
        }
    }

    /// Returns what the local relay reports to a new leader of a failure domain: the time in
    /// milliseconds since callers may have lost their host.
    pub(crate) fn caller_loss_age_ms(&self, domain: &DomainName) -> Option<u32> {
        let now = self.now();
        encode_age(self.state.borrow().relay.callers_lost_at(domain), now)
    }

    pub(crate) fn relay_disconnected(self: &Rc<Self>, relay: RelayId) {
        let now = self.now();
        self.update_state(|state| state.drop_relay(relay, now));
        self.process_actions();
    }

    pub(crate) fn pool_frame_received(&self, domain: &DomainName) {
        let now = self.now();
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain) {
            link.last_heard_at = now;
            link.refuses_connections = false;
        }
    }

    /// Registers a connection of the local relay, over which the pool has told that it is the leader.
    pub(crate) fn pool_connected(
        self: &Rc<Self>,
        domain: &DomainName,
        term: Option<u64>,
        outgoing: mpsc::UnboundedSender<OutgoingFrame<RelayFrame>>,
    ) -> Option<PoolConnection> {
        self.detect_pause();
        let now = self.now();
        let connection = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let link = state.pools.get_mut(domain)?;
            let address = &link.claim.address;
            log::info!("event=pool_connected pool={domain} address={address}");
            link.outgoing = Some(outgoing);
            let connection = state.relay.pool_connected(domain, term, now);
            link.connection = Some(connection.clone());
            connection
        };
        self.process_actions();
        Some(connection)
    }

    pub(crate) fn heartbeat_received(&self, connection: &PoolConnection, beat: &PoolBeat) {
        let now = self.now();
        let admissions = decode_admissions(beat, now);
        let mut state = self.state.borrow_mut();
        let relay = &mut state.relay;
        relay.update_pool_load(connection, decode_load(beat));
        relay.update_term(connection, decode_term(beat));
        relay.update_route_admissions(connection, admissions, now);
        let callers_lost_at = decode_age(beat.caller_loss_age_ms, now);
        relay.update_caller_loss(connection, callers_lost_at, now);
        if let Some(members) = &beat.members {
            relay.update_members(connection, members.incarnations.clone());
        }
        if let Some(link) = state.pools.get_mut(connection.domain()) {
            link.gives_way = beat.gives_way;
        }
    }

    pub(crate) fn handle_pool_message(
        self: &Rc<Self>,
        connection: &PoolConnection,
        message: PoolMessage,
    ) {
        self.detect_pause();
        let now = self.now();
        self.update_state(|state| match message {
            PoolMessage::Steal(request) => {
                state.pool.handle_steal(connection.domain(), &request, now);
            }
            message => state.relay.handle_pool_message(connection, message, now),
        });
        self.process_actions();
    }

    pub(crate) fn pool_connect_failed(&self, domain: &DomainName, is_refused: bool) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(link) = state.pools.get_mut(domain)
            && link.refuses_connections != is_refused
        {
            link.refuses_connections = is_refused;
            if is_refused {
                state.relay.leader_ended(domain, link.claim.incarnation);
            }
            let address = &link.claim.address;
            log::info!(
                "event=pool_unreachable pool={domain} address={address} refuses={is_refused}"
            );
        }
    }

    pub(crate) fn pool_disconnected(
        self: &Rc<Self>,
        domain: &DomainName,
        reason: DisconnectReason,
    ) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(link) = state.pools.get_mut(domain) else {
            return;
        };
        link.outgoing = None;
        if let Some(connection) = link.connection.take() {
            log::warn!(
                "event=pool_lost pool={domain} address={} reason={} heard_ms_ago={}",
                link.claim.address,
                reason.as_str(),
                self.now().since(link.last_heard_at).as_millis(),
            );
            let loss = PoolLoss {
                cause: LossCause::ConnectionEnded,
                last_message_at: link.last_heard_at,
            };
            state.relay.pool_lost(&connection, loss);
        }
    }
}

/// Logs a loss for another reason than the end of the connection. `address` is that of the pool.
pub(super) fn log_pool_lost(domain: &DomainName, address: &str, loss: PoolLoss, now: UnixTime) {
    log::warn!(
        "event=pool_lost pool={domain} address={address} reason={} heard_ms_ago={}",
        loss.cause.as_str(),
        now.since(loss.last_message_at).as_millis(),
    );
}
