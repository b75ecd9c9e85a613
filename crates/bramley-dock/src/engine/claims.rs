//! Applies claims read from the store and executes the actions of the local claim.

use std::net::SocketAddr;
use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_pool::claim::{ClaimAction, ClaimView, ContactView};
use bramley_pool::pool_connection::{LossCause, PoolLoss};
use tokio::task::{AbortHandle, spawn_local};

use super::peers::log_pool_lost;
use super::{Engine, EngineState, PoolLink};
use crate::links::outbound;
use crate::platform::{ClaimItem, Platform, StoreError};

impl<P: Platform> Engine<P> {
    /// Handles claims read from the store. If `complete` is set, failure domains without an item
    /// have no claim.
    pub fn claims_changed(self: &Rc<Self>, items: Vec<ClaimItem>, complete: bool) {
        let now = self.now();
        let local_domain = &self.settings.host.domain;
        if complete && items.iter().all(|item| item.domain != *local_domain) {
            self.state.borrow_mut().claim.claim_read(None, now);
        }
        for item in items {
            if item.domain == self.settings.host.domain {
                self.state
                    .borrow_mut()
                    .claim
                    .claim_read(item.view.clone(), now);
            }
            self.apply_claim(item);
        }
        self.tick_claim();
        self.process_actions();
    }

    pub(super) fn apply_claim(self: &Rc<Self>, item: ClaimItem) {
        let Some(view) = item.view else {
            log::info!("event=claim_vacant pool={}", item.domain);
            return;
        };
        let mut state = self.state.borrow_mut();
        if !view.is_readable() {
            // The next holder overwrites it; until then the connection to the last one stays.
            return;
        }
        if let Some(link) = state.pools.get_mut(&item.domain) {
            if view.revision < link.claim.revision {
                log::info!(
                    "event=claim_outdated pool={} revision={} present={}",
                    item.domain,
                    view.revision,
                    link.claim.revision,
                );
                return;
            }
            if link.claim.incarnation == view.incarnation && link.claim.address == view.address {
                link.claim = view;
                return;
            }
        }
        log::info!(
            "event=claim_held pool={} address={} incarnation={} revision={}",
            item.domain,
            view.address,
            view.incarnation,
            view.revision,
        );
        let is_local = view.incarnation == self.incarnation;
        let connector = if is_local {
            None
        } else {
            self.spawn_connector(&item.domain, &view)
        };
        let link = PoolLink {
            claim: view,
            connector,
            connection: None,
            outgoing: None,
            last_heard_at: self.now(),
            gives_way: false,
            refuses_connections: false,
        };
        let previous = state.pools.insert(item.domain.clone(), link);
        if let Some(previous) = previous {
            if let Some(connector) = previous.connector {
                connector.abort();
            }
            // The local pool needs no connection, so it counts as heard from at this moment.
            let was_local = previous.claim.incarnation == self.incarnation;
            let now = self.now();
            let heard_at = if was_local {
                now
            } else {
                previous.last_heard_at
            };
            let loss = PoolLoss {
                cause: LossCause::ClaimChanged,
                last_message_at: heard_at,
            };
            if let Some(connection) = &previous.connection {
                log_pool_lost(&item.domain, &previous.claim.address, loss, now);
                state.relay.pool_lost(connection, loss);
            }
        }
        self.connect_local_pool(&mut state);
    }

    pub(super) fn spawn_connector(
        self: &Rc<Self>,
        domain: &DomainName,
        view: &ClaimView,
    ) -> Option<AbortHandle> {
        match view.address.parse::<SocketAddr>() {
            Ok(address) => {
                let connector =
                    outbound::maintain_connection(Rc::clone(self), domain.clone(), address);
                Some(spawn_local(connector).abort_handle())
            }
            Err(error) => {
                log::error!(
                    "event=claim_unreadable pool={domain} address={} error=\"{error}\"",
                    view.address,
                );
                None
            }
        }
    }

    pub(super) fn tick_claim(self: &Rc<Self>) {
        let now = self.now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let local_domain = &self.settings.host.domain;
            let link = state.pools.get(local_domain);
            let contacts = ContactView {
                holder_answers: link.is_some_and(|link| link.outgoing.is_some()),
                holder_gives_way: link.is_some_and(|link| link.gives_way),
                holder_refuses_connections: link.is_some_and(|link| link.refuses_connections),
                has_successor: state.has_successor,
                knows_others: state
                    .pools
                    .values()
                    .any(|link| link.claim.incarnation != self.incarnation),
                is_connected_to_others: !state.relays.is_empty()
                    || state.pools.values().any(|link| link.outgoing.is_some()),
            };
            let is_leader = state.pool.token().is_some();
            state.claim.tick(contacts, is_leader, now)
        };
        for action in actions {
            self.execute_claim_action(action);
        }
    }

    pub(super) fn execute_claim_action(self: &Rc<Self>, action: ClaimAction) {
        match action {
            ClaimAction::StepDown { cause } => {
                log::warn!("event=command_given_up reason={cause}");
                self.step_down();
            }
            ClaimAction::Write { expected_revision } => {
                spawn_local(Rc::clone(self).write_claim(expected_revision));
            }
            ClaimAction::Renew { lease } => {
                spawn_local(Rc::clone(self).renew_claim(lease));
            }
            ClaimAction::Release { lease } => {
                let engine = Rc::clone(self);
                spawn_local(async move {
                    let ended = engine.platform.end_lease(lease).await;
                    engine.record_claim_call("claim_release", ended.as_ref().err());
                    match ended {
                        Ok(()) => log::info!("event=claim_released lease={lease}"),
                        Err(error) => {
                            log::warn!(
                                "event=claim_release_failed lease={lease} reason={} \
                                 outcome=lease_ends_by_itself",
                                error.as_str(),
                            );
                        }
                    }
                });
            }
        }
    }

    pub(super) fn step_down(self: &Rc<Self>) {
        let now = self.now();
        self.update_state(|state| state.pool.step_down(now));
        self.lose_local_pool(LossCause::SteppedDown);
        self.leadership_changed.notify_waiters();
        self.send_heartbeats_now();
        self.process_actions();
    }

    /// Records that the pool of this process does not serve the local relay any more. If the relay has
    /// turned to another leader of the failure domain by then, its connection stays.
    pub(super) fn lose_local_pool(&self, cause: LossCause) {
        let now = self.now();
        let domain = &self.settings.host.domain;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let link = state.pools.get_mut(domain);
        let link = link.filter(|link| link.claim.incarnation == self.incarnation);
        let Some(connection) = link.and_then(|link| link.connection.take()) else {
            return;
        };
        let loss = PoolLoss {
            cause,
            last_message_at: now,
        };
        log_pool_lost(domain, "local", loss, now);
        state.relay.pool_lost(&connection, loss);
    }

    pub(super) async fn write_claim(self: Rc<Self>, expected_revision: u64) {
        let domain = self.settings.host.domain.clone();
        let address = SocketAddr::new(self.settings.host.ip, self.settings.host.peer_port);
        let view = ClaimView {
            incarnation: self.incarnation,
            address: address.to_string(),
            revision: 0,
            cpu_milli: self.settings.host.cpu_milli,
        };
        let lease_duration = self.settings.claim.lease_duration;
        let written = self
            .platform
            .write_claim(&domain, expected_revision, &view, lease_duration)
            .await;
        self.record_claim_call("claim_write", written.as_ref().err());
        let now = self.now();
        match written {
            Ok(grant) => {
                log::info!(
                    "event=claim_won pool={domain} token={} lease={} expected_revision={expected_revision}",
                    grant.token,
                    grant.lease,
                );
                if !self.state.borrow_mut().claim.claim_written(grant, now) {
                    log::info!(
                        "event=claim_not_won pool={domain} expected_revision={expected_revision} \
                         reason=overwritten"
                    );
                    let lease = grant.lease;
                    return self.execute_claim_action(ClaimAction::Release { lease });
                }
                self.update_state(|state| {
                    state.pool.become_leader(grant.token, now);
                    if let Some(members) = state.relay.members(&domain) {
                        state.pool.await_relays(members.iter().copied());
                    }
                    if let Some(lost_at) = state.relay.callers_lost_at(&domain) {
                        state.pool.observe_caller_loss(lost_at, now);
                    }
                });
                let view = ClaimView {
                    revision: grant.token,
                    ..view
                };
                self.leadership_changed.notify_waiters();
                let item = ClaimItem {
                    domain,
                    view: Some(view),
                };
                self.claims_changed(vec![item], false);
                self.connect_local_pool(&mut self.state.borrow_mut());
                self.send_heartbeats_now();
                self.process_actions();
            }
            Err(error) => {
                log::info!(
                    "event=claim_not_won pool={domain} expected_revision={expected_revision} \
                     reason={}",
                    error.as_str(),
                );
                let mut state = self.state.borrow_mut();
                if error.store_responded() {
                    state.claim.store_answered(now);
                }
                state.claim.write_failed(now);
            }
        }
    }

    fn record_claim_call(&self, kind: &'static str, error: Option<&StoreError>) {
        let result = error.map_or("ok", |error| error.as_str());
        self.metrics.record_store_call(kind, result);
    }

    /// Connects the local relay to the local pool if that is the leader by the latest claim.
    fn connect_local_pool(&self, state: &mut EngineState) {
        let domain = &self.settings.host.domain;
        let token = state.pool.token();
        let Some(link) = state.pools.get_mut(domain) else {
            return;
        };
        let is_local = link.claim.incarnation == self.incarnation;
        if is_local && token.is_some() && link.connection.is_none() {
            let connection = state.relay.pool_connected(domain, token, self.now());
            link.connection = Some(connection.clone());
            state.local_connection = Some(connection);
        }
    }

    pub(super) async fn renew_claim(self: Rc<Self>, lease: u64) {
        let renewed = self.platform.renew_lease(lease).await;
        self.record_claim_call("claim_renewal", renewed.as_ref().err());
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match renewed {
            Ok(()) => {
                state.claim.store_answered(now);
                state.claim.lease_renewed(lease, false, now);
            }
            Err(error) => {
                log::warn!(
                    "event=claim_renewal_failed lease={lease} reason={}",
                    error.as_str()
                );
                let ended = error == StoreError::Gone;
                state.claim.lease_renewed(lease, ended, now);
            }
        }
    }
}
