//! Handles connections between relays and pools of different processes.

use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_pool::message::{PoolMessage, RelayId};
use bramley_wire::pool::{PoolBeat, PoolFrame, RelayFrame, RelayHello};
use tokio::sync::mpsc;

use super::Engine;
use super::actions::queue_frame;
use crate::links::convert::{decode_admissions, decode_load, encode_heartbeat};
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
        state.pool.relay_connected(relay, domain);
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
        let now = self.now();
        let load = state.pool.load(now);
        let admissions = state.pool.route_admissions(now);
        let is_leader = state.pool.token().is_some();
        let gives_way = state.gives_way(now);
        let heartbeat = encode_heartbeat(load, &admissions, is_leader, gives_way, now);
        queue_frame(&outgoing, OutgoingFrame::Single(heartbeat));
        state.relays.insert(relay, outgoing);
        relay
    }

    pub(crate) fn relay_disconnected(self: &Rc<Self>, relay: RelayId) {
        let now = self.now();
        self.update_state(|state| {
            state.relays.remove(&relay);
            // The relay submits unfinished jobs again, here or elsewhere.
            state.inbox.retain(|(sender, _)| *sender != relay);
            state.pool.relay_lost(relay, now);
        });
        self.process_actions();
    }

    pub(crate) fn pool_frame_received(&self, domain: &DomainName) {
        let now = self.now();
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain) {
            link.last_heard_at = now;
            link.refuses_connections = false;
        }
    }

    pub(crate) fn pool_connected(
        self: &Rc<Self>,
        domain: &DomainName,
        outgoing: mpsc::UnboundedSender<OutgoingFrame<RelayFrame>>,
    ) {
        self.detect_pause();
        let now = self.now();
        self.update_state(|state| {
            if let Some(link) = state.pools.get_mut(domain) {
                link.outgoing = Some(outgoing);
                let address = &link.claim.address;
                log::info!("event=pool_connected pool={domain} address={address}");
            }
            state.relay.pool_connected(domain, now);
        });
        self.process_actions();
    }

    pub(crate) fn heartbeat_received(&self, domain: &DomainName, beat: &PoolBeat) {
        let now = self.now();
        let admissions = decode_admissions(beat, now);
        let mut state = self.state.borrow_mut();
        state.relay.update_pool_load(domain, decode_load(beat));
        state.relay.update_route_admissions(domain, admissions, now);
        if let Some(link) = state.pools.get_mut(domain) {
            link.gives_way = beat.gives_way;
        }
    }

    pub(crate) fn handle_pool_message(self: &Rc<Self>, domain: &DomainName, message: PoolMessage) {
        self.detect_pause();
        let now = self.now();
        self.update_state(|state| match message {
            PoolMessage::Steal(request) => state.pool.handle_steal(domain, &request, now),
            message => state.relay.handle_pool_message(domain, message, now),
        });
        self.process_actions();
    }

    pub(crate) fn pool_connect_failed(&self, domain: &DomainName, is_refused: bool) {
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain)
            && link.refuses_connections != is_refused
        {
            link.refuses_connections = is_refused;
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
        if link.outgoing.take().is_some() {
            log::warn!(
                "event=pool_lost pool={domain} address={} reason={} heard_ms_ago={}",
                link.claim.address,
                reason.as_str(),
                self.now().since(link.last_heard_at).as_millis(),
            );
            state.relay.pool_lost(domain, link.last_heard_at);
        }
    }
}
