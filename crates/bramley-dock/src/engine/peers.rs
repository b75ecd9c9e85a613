//! Follows connections between relays and pools of different processes.

use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_pool::message::{PoolLoad, PoolMessage, RelayId, RelayMessage};
use bramley_wire::pool::{PoolFrame, RelayFrame, RelayHello};
use tokio::sync::mpsc;

use super::Engine;
use super::actions::queue_frame;
use crate::links::LinkEnd;
use crate::links::convert::beat_frame_of;
use crate::port::PlatformPort;

impl<P: PlatformPort> Engine<P> {
    /// A relay of another process has connected; returns its number at the own pool.
    pub(crate) fn relay_connected(
        &self,
        hello: &RelayHello,
        frames: mpsc::UnboundedSender<PoolFrame>,
    ) -> RelayId {
        let mut state = self.state.borrow_mut();
        let relay = RelayId(state.next_relay);
        state.next_relay += 1;
        state.has_successor |= hello.relay_domain == self.settings.host.domain.as_str();
        log::info!(
            "event=relay_connected host={} incarnation={} relay={}",
            hello.host,
            hello.incarnation,
            relay.0,
        );
        let now = self.now();
        let load = state.pool.load(now);
        let beat = beat_frame_of(load, state.pool.token().is_some(), state.gives_way(now));
        queue_frame(&frames, beat);
        state.relays.insert(relay, frames);
        relay
    }

    pub(crate) fn relay_disconnected(self: &Rc<Self>, relay: RelayId) {
        let now = self.now();
        self.change(|state| {
            state.relays.remove(&relay);
            state.pool.relay_lost(relay, now);
        });
        self.carry_out();
    }

    pub(crate) fn relay_said(self: &Rc<Self>, relay: RelayId, message: RelayMessage) {
        self.detect_pause();
        let now = self.now();
        let is_connected = self.state.borrow().relays.contains_key(&relay);
        if !is_connected {
            let number = relay.0;
            log::info!("event=message_ignored relay={number} reason=connection_dropped");
            return;
        }
        self.change(|state| state.pool.relay_said(relay, message, now));
        self.carry_out();
    }

    pub(crate) fn pool_heard(&self, domain: &DomainName) {
        let now = self.now();
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain) {
            link.heard_at = now;
            link.refuses = false;
        }
    }

    pub(crate) fn pool_connected(
        self: &Rc<Self>,
        domain: &DomainName,
        frames: mpsc::UnboundedSender<RelayFrame>,
    ) {
        self.detect_pause();
        let now = self.now();
        self.change(|state| {
            if let Some(link) = state.pools.get_mut(domain) {
                link.frames = Some(frames);
                let address = &link.claim.address;
                log::info!("event=pool_connected pool={domain} address={address}");
            }
            state.relay.pool_connected(domain, now);
        });
        self.carry_out();
    }

    pub(crate) fn pool_loaded(&self, domain: &DomainName, load: PoolLoad, gives_way: bool) {
        let mut state = self.state.borrow_mut();
        state.relay.pool_loaded(domain, load);
        if let Some(link) = state.pools.get_mut(domain) {
            link.gives_way = gives_way;
        }
    }

    pub(crate) fn pool_said(self: &Rc<Self>, domain: &DomainName, message: PoolMessage) {
        self.detect_pause();
        let now = self.now();
        self.state
            .borrow_mut()
            .relay
            .pool_said(domain, message, now);
        self.carry_out();
    }

    pub(crate) fn pool_refused(&self, domain: &DomainName, refuses: bool) {
        if let Some(link) = self.state.borrow_mut().pools.get_mut(domain)
            && link.refuses != refuses
        {
            link.refuses = refuses;
            let address = &link.claim.address;
            log::info!("event=pool_unreachable pool={domain} address={address} refuses={refuses}");
        }
    }

    pub(crate) fn pool_disconnected(self: &Rc<Self>, domain: &DomainName, end: LinkEnd) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(link) = state.pools.get_mut(domain) else {
            return;
        };
        if link.frames.take().is_some() {
            log::warn!(
                "event=pool_lost pool={domain} address={} reason={} heard_ms_ago={}",
                link.claim.address,
                end.as_str(),
                self.now().since(link.heard_at).as_millis(),
            );
            state.relay.pool_lost(domain, link.heard_at);
        }
    }
}
