//! Drives the membership kernel and the configuration in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramley_core::configuration::{ConfigurationState, OfferOutcome};
use bramley_core::kernel::event::{KernelEvent, PeerView};
use bramley_core::membership::{
    HeartbeatNews, MemberSnapshot, MemberState, MembershipAction, MembershipKernel,
};
use bramley_core::names::DomainName;
use bramley_core::ownership::OwnerCandidate;
use bramley_core::units::UnixTime;
use tokio_util::sync::CancellationToken;

use crate::member_channel::{MemberHandle, MemberInbox, MemberMessage, OfferSource};
use crate::peers::convert::{news_from_wire, news_to_wire};
use crate::platform_loop::adopt_workers;
use crate::shared::{ConfigurationSnapshot, ControlCounts, MemberDirectory, SharedState};

/// Least time between two reports of the peers' load to the dispatch kernel.
const PEER_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The task that owns the membership kernel and the configuration.
#[derive(Debug)]
pub struct MemberLoop {
    kernel: MembershipKernel,
    configuration: ConfigurationState,
    state: Arc<SharedState>,
    handle: MemberHandle,
    inbox: MemberInbox,
    stop: CancellationToken,
    next_peer_report: UnixTime,
}

impl MemberLoop {
    /// Makes the task around a fresh membership kernel.
    ///
    /// `stop` is cancelled if a newer incarnation of this host appears.
    #[must_use]
    pub fn new(
        kernel: MembershipKernel,
        state: Arc<SharedState>,
        handle: MemberHandle,
        inbox: MemberInbox,
        stop: CancellationToken,
    ) -> Self {
        Self {
            kernel,
            configuration: ConfigurationState::default(),
            state,
            handle,
            inbox,
            stop,
            next_peer_report: UnixTime::default(),
        }
    }

    /// Takes messages until the channel closes.
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
            let begun = Instant::now();
            self.kernel.set_load(self.state.load.read());
            if let Some(message) = message {
                self.take(message).await;
            }
            let now = self.state.clock.now();
            let actions = self.kernel.on_tick(now);
            self.carry_out(actions).await;
            self.publish_members(now).await;
            self.publish_counts();
            self.state.metrics.add_control_time(begun.elapsed());
        }
    }

    async fn take(&mut self, message: MemberMessage) {
        let now = self.state.clock.now();
        let actions = match message {
            MemberMessage::Exchange(news, reply) => {
                let domain = news.sender.domain.clone();
                let actions = self.kernel.on_news(&news, now);
                // A sender that gave up waiting hears the news with the next heartbeat.
                let _gone = reply.send(self.kernel.reply_news(&domain, now));
                actions
            }
            MemberMessage::Reply(news) => self.kernel.on_news(&news, now),
            MemberMessage::SendFailed(address) => self.kernel.on_send_failed(address, now),
            MemberMessage::FetchFailed(address) => self.kernel.on_fetch_failed(address, now),
            MemberMessage::Offer { text, source } => self.take_offer(&text, source, now).await,
            MemberMessage::WorkersListed(workers) => {
                self.kernel
                    .on_worker_list(workers.revision, &workers.live, &workers.leaving, now)
            }
            MemberMessage::WorkerSign(worker) => self.kernel.on_worker_sign(&worker, now),
            MemberMessage::BeginLeaving => {
                self.kernel.begin_leaving(now);
                Vec::new()
            }
            MemberMessage::SayGone(reply) => {
                let actions = self.kernel.say_gone(now);
                self.send_farewells(actions).await;
                // The waiting stop may have given up.
                let _gone = reply.send(());
                Vec::new()
            }
        };
        self.carry_out(actions).await;
    }

    /// Puts an offered configuration into force if it is newer than the present one.
    async fn take_offer(
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
                    .report(KernelEvent::Configured(version.document))
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
                    // Another host may offer a better one.
                    OfferSource::Sibling(address) => self.kernel.on_fetch_failed(address, now),
                }
            }
        }
    }

    async fn carry_out(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::SendHeartbeat { address, news } => {
                    self.spawn_heartbeat(address, *news);
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
                    self.stop.cancel();
                }
            }
        }
    }

    fn spawn_heartbeat(&self, address: SocketAddr, news: HeartbeatNews) {
        let state = Arc::clone(&self.state);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let message = news_to_wire(news);
            state.metrics.count_control_message(&message);
            let message = match state.peers.heartbeat(address, message).await {
                Ok(reply) => {
                    state.metrics.count_control_message(&reply);
                    reply.news.and_then(news_from_wire)
                }
                Err(_) => None,
            };
            let message = match message {
                Some(news) => MemberMessage::Reply(Box::new(news)),
                None => MemberMessage::SendFailed(address),
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
                        adopt_workers(&state, &handle, list, "sibling").await;
                    }
                    MemberMessage::Offer {
                        text: reply.document,
                        source: OfferSource::Sibling(address),
                    }
                }
                Err(_) => MemberMessage::FetchFailed(address),
            };
            handle.send(message).await;
        });
    }

    /// Sends the last heartbeats and waits for them.
    async fn send_farewells(&self, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::SendHeartbeat { address, news } = action {
                // The process is ending, so a failure changes nothing any more.
                let _result = self
                    .state
                    .peers
                    .heartbeat(address, news_to_wire(*news))
                    .await;
            }
        }
    }

    /// Replaces the counts that the state dump and the metrics show.
    fn publish_counts(&self) {
        let counts = ControlCounts {
            configuration: self.configuration.counts(),
            membership: self.kernel.counts().clone(),
        };
        self.state.control_counts.store(Arc::new(counts));
    }

    /// Replaces the member directory and tells the dispatch kernel of the peers.
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
            .map(view_peer)
            .collect();
        let candidates = members.iter().map(make_candidate).collect();
        self.state.members.store(Arc::new(MemberDirectory {
            members,
            candidates,
        }));
        self.state
            .kernel
            .report(KernelEvent::PeersChanged(peers))
            .await;
    }
}

fn view_peer(member: &MemberSnapshot) -> PeerView {
    let alive = member.record.state == MemberState::Alive;
    PeerView {
        host: member.record.host.clone(),
        domain: DomainName::from(member.record.domain.as_str()),
        shares_slots: alive,
        reachable: alive,
        idle_slots: member.load.idle_slots,
        idle_accelerator_slots: member.load.idle_accelerator_slots,
    }
}

fn make_candidate(member: &MemberSnapshot) -> OwnerCandidate {
    OwnerCandidate {
        host: member.record.host.clone(),
        incarnation: member.record.incarnation,
        address: member.record.peer_address,
        gone: member.record.state == MemberState::Gone,
    }
}
