//! Follows claims in the store and carries out what the own claim decides.

use std::net::SocketAddr;
use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_pool::claim::{ClaimAction, ClaimView, ContactView};
use tokio::task::{AbortHandle, spawn_local};

use super::{Engine, PoolLink};
use crate::links::outbound;
use crate::port::{ClaimItem, PlatformPort, StoreFault};

impl<P: PlatformPort> Engine<P> {
    /// Claims were read from the store; `complete` tells that domains not named have none.
    pub fn claims_changed(self: &Rc<Self>, items: Vec<ClaimItem>, complete: bool) {
        let now = self.now();
        let home = &self.settings.host.domain;
        if complete && items.iter().all(|item| item.domain != *home) {
            self.state.borrow_mut().claim.viewed(None, now);
        }
        for item in items {
            if item.domain == self.settings.host.domain {
                self.state.borrow_mut().claim.viewed(item.view.clone(), now);
            }
            self.follow_claim(item);
        }
        self.run_claim();
        self.carry_out();
    }

    pub(super) fn follow_claim(self: &Rc<Self>, item: ClaimItem) {
        let Some(view) = item.view else {
            log::info!("event=claim_vacant pool={}", item.domain);
            return;
        };
        let mut state = self.state.borrow_mut();
        let same = state.pools.get(&item.domain).is_some_and(|link| {
            link.claim.incarnation == view.incarnation && link.claim.address == view.address
        });
        if same {
            return;
        }
        log::info!(
            "event=claim_held pool={} address={} incarnation={} revision={}",
            item.domain,
            view.address,
            view.incarnation,
            view.revision,
        );
        let is_own = view.incarnation == self.incarnation;
        let keeper = if is_own {
            None
        } else {
            self.start_keeper(&item.domain, &view)
        };
        let link = PoolLink {
            claim: view,
            keeper,
            frames: None,
            heard_at: self.now(),
            gives_way: false,
            refuses: false,
        };
        let before = state.pools.insert(item.domain.clone(), link);
        if let Some(before) = before {
            if let Some(keeper) = before.keeper {
                keeper.abort();
            }
            // The own pool needs no connection, so it is heard at any time.
            let was_own = before.claim.incarnation == self.incarnation;
            let heard_at = if was_own { self.now() } else { before.heard_at };
            state.relay.pool_lost(&item.domain, heard_at);
        }
        if is_own && state.pool.token().is_some() {
            let now = self.now();
            state.relay.pool_connected(&item.domain, now);
        }
    }

    pub(super) fn start_keeper(
        self: &Rc<Self>,
        domain: &DomainName,
        view: &ClaimView,
    ) -> Option<AbortHandle> {
        match view.address.parse::<SocketAddr>() {
            Ok(address) => {
                let keeper = outbound::keep_pool(Rc::clone(self), domain.clone(), address);
                Some(spawn_local(keeper).abort_handle())
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

    pub(super) fn run_claim(self: &Rc<Self>) {
        let now = self.now();
        let actions = {
            let mut state = self.state.borrow_mut();
            let home = &self.settings.host.domain;
            let link = state.pools.get(home);
            let contacts = ContactView {
                holder_answers: link.is_some_and(|link| link.frames.is_some()),
                holder_gives_way: link.is_some_and(|link| link.gives_way),
                holder_refuses: link.is_some_and(|link| link.refuses),
                has_successor: state.has_successor,
                reaches_others: !state.relays.is_empty()
                    || state.pools.values().any(|link| link.frames.is_some()),
            };
            let commands = state.pool.token().is_some();
            state.claim.tick(contacts, commands, now)
        };
        for action in actions {
            self.start_claim_action(action);
        }
    }

    pub(super) fn start_claim_action(self: &Rc<Self>, action: ClaimAction) {
        match action {
            ClaimAction::GiveUp { cause } => {
                log::warn!("event=command_given_up reason={cause}");
                self.give_up_command();
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
                    let ended = engine.port.end_lease(lease).await;
                    engine.note_claim_call("claim_release", ended.as_ref().err());
                    match ended {
                        Ok(()) => log::info!("event=claim_released lease={lease}"),
                        Err(fault) => {
                            log::warn!(
                                "event=claim_release_failed lease={lease} reason={} \
                                 outcome=lease_ends_by_itself",
                                fault.as_str(),
                            );
                        }
                    }
                });
            }
        }
    }

    pub(super) fn give_up_command(self: &Rc<Self>) {
        let now = self.now();
        self.change(|state| {
            state.pool.give_up_command(now);
            state.relay.pool_lost(&self.settings.host.domain, now);
        });
        self.command_changed.notify_waiters();
        self.beat_now();
        self.carry_out();
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
        let life = self.settings.claim.lease_life;
        let written = self
            .port
            .write_claim(&domain, expected_revision, &view, life)
            .await;
        self.note_claim_call("claim_write", written.as_ref().err());
        let now = self.now();
        match written {
            Ok(grant) => {
                log::info!(
                    "event=claim_won pool={domain} token={} lease={} expected_revision={expected_revision}",
                    grant.token,
                    grant.lease,
                );
                self.change(|state| {
                    state.claim.written(grant, now);
                    state.pool.take_command(grant.token, now);
                });
                let view = ClaimView {
                    revision: grant.token,
                    ..view
                };
                self.command_changed.notify_waiters();
                let item = ClaimItem {
                    domain,
                    view: Some(view),
                };
                self.claims_changed(vec![item], false);
                self.connect_own_pool();
                self.beat_now();
                self.carry_out();
            }
            Err(fault) => {
                log::info!(
                    "event=claim_not_won pool={domain} expected_revision={expected_revision} \
                     reason={}",
                    fault.as_str(),
                );
                let mut state = self.state.borrow_mut();
                if fault.was_heard() {
                    state.claim.store_answered(now);
                }
                state.claim.write_failed(now);
            }
        }
    }

    fn note_claim_call(&self, kind: &'static str, fault: Option<&StoreFault>) {
        let result = fault.map_or("ok", |fault| fault.as_str());
        self.metrics.note_store_call(kind, result);
    }

    pub(super) fn connect_own_pool(&self) {
        let mut state = self.state.borrow_mut();
        let home = &self.settings.host.domain;
        if !state.relay.is_connected(home) {
            state.relay.pool_connected(home, self.now());
        }
    }

    pub(super) async fn renew_claim(self: Rc<Self>, lease: u64) {
        let renewed = self.port.renew_lease(lease).await;
        self.note_claim_call("claim_renewal", renewed.as_ref().err());
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match renewed {
            Ok(()) => {
                state.claim.store_answered(now);
                state.claim.renewed(false, now);
            }
            Err(fault) => {
                log::warn!(
                    "event=claim_renewal_failed lease={lease} reason={}",
                    fault.as_str()
                );
                state.claim.renewed(fault == StoreFault::Gone, now);
            }
        }
    }
}
