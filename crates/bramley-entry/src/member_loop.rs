//! The task that drives the membership kernel and adopts configurations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramley_core::configuration::{ConfigurationState, OfferOutcome};
use bramley_core::kernel::event::{KernelEvent, PeerView};
use bramley_core::membership::{
    HeartbeatMessage, MemberSnapshot, MemberState, MembershipAction, MembershipKernel,
};
use bramley_core::names::DomainName;
use bramley_core::ownership::KnownIncarnation;
use bramley_core::units::UnixTime;
use tokio_util::sync::CancellationToken;

use crate::member_channel::{MembershipHandle, MembershipInbox, MembershipMessage, OfferSource};
use crate::peers::convert::{heartbeat_from_wire, heartbeat_to_wire};
use crate::platform_loop::apply_worker_list;
use crate::shared::{ConfigurationSnapshot, ControlCounts, MemberDirectory, SharedState};

/// Minimum interval between reports of the peers' load to the dispatch kernel.
const PEER_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Event loop that owns the membership kernel and the configuration state.
#[derive(Debug)]
pub struct MembershipLoop {
    kernel: MembershipKernel,
    configuration: ConfigurationState,
    state: Arc<SharedState>,
    handle: MembershipHandle,
    inbox: MembershipInbox,
    drain: CancellationToken,
    next_peer_report: UnixTime,
}

impl MembershipLoop {
    /// Creates the event loop for a new membership kernel.
    ///
    /// `drain` is cancelled if a newer incarnation of this host appears.
    #[must_use]
    pub fn new(
        kernel: MembershipKernel,
        state: Arc<SharedState>,
        handle: MembershipHandle,
        inbox: MembershipInbox,
        drain: CancellationToken,
    ) -> Self {
        Self {
            kernel,
            configuration: ConfigurationState::default(),
            state,
            handle,
            inbox,
            drain,
            next_peer_report: UnixTime::default(),
        }
    }

    /// Handles messages and timers until the channel closes.
    pub async fn run(mut self) {
        loop {
            let wakeup = self.state.clock.instant_of(self.kernel.next_wakeup());
            let message = tokio::select! {
                message = self.inbox.receiver.recv() => match message {
                    Some(message) => Some(message),
                    None => return,
                },
                () = tokio::time::sleep_until(wakeup) => None,
            };
            let started = Instant::now();
            self.kernel.set_load(self.state.load.read());
            if let Some(message) = message {
                self.handle_message(message).await;
            }
            let now = self.state.clock.now();
            let actions = self.kernel.on_tick(now);
            self.execute(actions).await;
            self.publish_members(now).await;
            self.publish_counts();
            self.state.metrics.add_control_time(started.elapsed());
        }
    }

    async fn handle_message(&mut self, message: MembershipMessage) {
        let now = self.state.clock.now();
        let actions = match message {
            MembershipMessage::HeartbeatReceived(message, reply) => {
                let domain = message.sender.domain.clone();
                let actions = self.kernel.on_heartbeat(&message, now);
                // A sender that has timed out gets the information with the next heartbeat.
                let _gone = reply.send(self.kernel.heartbeat_reply(&domain, now));
                actions
            }
            MembershipMessage::HeartbeatReply(message) => self.kernel.on_heartbeat(&message, now),
            MembershipMessage::HeartbeatFailed(address) => {
                self.kernel.on_heartbeat_failed(address, now)
            }
            MembershipMessage::ConfigurationFetchFailed(address) => {
                self.kernel.on_fetch_failed(address, now)
            }
            MembershipMessage::ConfigurationOffered { text, source } => {
                self.handle_offer(&text, source, now).await
            }
            MembershipMessage::WorkersListed(workers) => {
                self.kernel
                    .on_worker_list(workers.revision, &workers.live, &workers.leaving, now)
            }
            MembershipMessage::WorkerLeaving(worker) => self.kernel.on_leave_notice(&worker, now),
            MembershipMessage::BeginLeaving => {
                self.kernel.begin_leaving(now);
                Vec::new()
            }
            MembershipMessage::AnnounceGone(reply) => {
                let actions = self.kernel.announce_gone(now);
                self.send_final_heartbeats(actions).await;
                // The shutdown may have stopped waiting.
                let _gone = reply.send(());
                Vec::new()
            }
        };
        self.execute(actions).await;
    }

    /// Adopts an offered configuration if it is newer than the active one.
    async fn handle_offer(
        &mut self,
        text: &str,
        source: OfferSource,
        now: UnixTime,
    ) -> Vec<MembershipAction> {
        match self.configuration.offer(text) {
            OfferOutcome::Adopted(version) => {
                let generation = version.generation;
                log::info!("event=configuration_in_force generation={generation} source={source}");
                self.state
                    .configuration
                    .store(Arc::new(ConfigurationSnapshot {
                        generation,
                        stored: version.text.to_string(),
                        document: Arc::clone(&version.document),
                    }));
                self.state
                    .kernel
                    .report(KernelEvent::ConfigurationChanged(version.document))
                    .await;
                self.kernel.set_generation(generation, now)
            }
            OfferOutcome::AlreadyInForce => Vec::new(),
            outcome @ (OfferOutcome::Older { .. }
            | OfferOutcome::Conflicting { .. }
            | OfferOutcome::Refused(_)) => {
                let present = self.configuration.generation();
                log::warn!(
                    "event=configuration_not_obeyed source={source} in_force={present} outcome=\"{outcome:?}\""
                );
                match source {
                    OfferSource::Store => Vec::new(),
                    // Lets the kernel fetch from another host, which may have a usable one.
                    OfferSource::Peer(address) => self.kernel.on_fetch_failed(address, now),
                }
            }
        }
    }

    async fn execute(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::SendHeartbeat { address, message } => {
                    self.spawn_heartbeat(address, *message);
                }
                MembershipAction::FetchConfiguration { address } => self.spawn_fetch(address),
                MembershipAction::WorkerLeaving { worker } => {
                    log::info!("event=worker_leaving worker={worker}");
                    self.state
                        .kernel
                        .report(KernelEvent::WorkerLeaving(worker))
                        .await;
                }
                MembershipAction::WorkerLive { worker } => {
                    self.state
                        .kernel
                        .report(KernelEvent::WorkerLive(worker))
                        .await;
                }
                MembershipAction::MemberChanged { record, previous } => {
                    let previous = previous.map_or("unknown", MemberState::as_str);
                    log::info!(
                        "event=member_changed host={} incarnation={} state={} previous={previous}",
                        record.host,
                        record.incarnation,
                        record.state.as_str()
                    );
                    self.next_peer_report = UnixTime::default();
                }
                MembershipAction::Superseded { by } => {
                    log::error!("event=superseded host={} by={}", by.host, by.incarnation);
                    self.drain.cancel();
                }
            }
        }
    }

    fn spawn_heartbeat(&self, address: SocketAddr, message: HeartbeatMessage) {
        let state = Arc::clone(&self.state);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let message = heartbeat_to_wire(message);
            state.metrics.count_control_message(&message);
            let message = match state.peers.heartbeat(address, message).await {
                Ok(reply) => {
                    state.metrics.count_control_message(&reply);
                    reply.news.and_then(heartbeat_from_wire)
                }
                Err(_) => None,
            };
            let message = match message {
                Some(message) => MembershipMessage::HeartbeatReply(Box::new(message)),
                None => MembershipMessage::HeartbeatFailed(address),
            };
            handle.send(message).await;
        });
    }

    fn spawn_fetch(&self, address: SocketAddr) {
        let state = Arc::clone(&self.state);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let message = match state.peers.fetch_configuration(address).await {
                Ok(reply) => {
                    state.metrics.count_control_message(&reply);
                    if let Ok(list) = serde_json::from_str(&reply.worker_list) {
                        apply_worker_list(&state, &handle, list, "sibling").await;
                    }
                    MembershipMessage::ConfigurationOffered {
                        text: reply.document,
                        source: OfferSource::Peer(address),
                    }
                }
                Err(_) => MembershipMessage::ConfigurationFetchFailed(address),
            };
            handle.send(message).await;
        });
    }

    /// Sends the final heartbeats and waits for the calls to complete.
    async fn send_final_heartbeats(&self, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::SendHeartbeat { address, message } = action {
                // The process is shutting down, so failures are ignored.
                let _result = self
                    .state
                    .peers
                    .heartbeat(address, heartbeat_to_wire(*message))
                    .await;
            }
        }
    }

    /// Publishes the counters that the state dump and the metrics show.
    fn publish_counts(&self) {
        let counts = ControlCounts {
            configuration: self.configuration.counts(),
            membership: self.kernel.counts().clone(),
        };
        self.state.control_counts.store(Arc::new(counts));
    }

    /// Publishes the member directory and reports the peers to the dispatch kernel.
    async fn publish_members(&mut self, now: UnixTime) {
        if now < self.next_peer_report {
            return;
        }
        self.next_peer_report = now.after(PEER_REPORT_INTERVAL);
        let members = self.kernel.members();
        let own = self.kernel.own().incarnation;
        let peers = members
            .iter()
            .filter(|member| member.record.incarnation != own)
            .filter(|member| member.record.state != MemberState::Gone)
            .map(peer_view)
            .collect();
        let known_incarnations = members.iter().map(known_incarnation).collect();
        self.state.members.store(Arc::new(MemberDirectory {
            members,
            known_incarnations,
        }));
        self.state
            .kernel
            .report(KernelEvent::PeersChanged(peers))
            .await;
    }
}

fn peer_view(member: &MemberSnapshot) -> PeerView {
    let alive = member.record.state == MemberState::Alive;
    PeerView {
        host: member.record.host.clone(),
        domain: DomainName::from(member.record.domain.as_str()),
        owns_slots: alive,
        reachable: alive,
        idle_slots: member.load.idle_slots,
        idle_accelerator_slots: member.load.idle_accelerator_slots,
    }
}

fn known_incarnation(member: &MemberSnapshot) -> KnownIncarnation {
    KnownIncarnation {
        host: member.record.host.clone(),
        incarnation: member.record.incarnation,
        address: member.record.peer_address,
        gone: member.record.state == MemberState::Gone,
    }
}
