//! Workers and peers as they come and go.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::configuration::DeploymentConfiguration;
use crate::names::{DomainName, HostName, WorkerName};
use crate::slots::division::rank_hosts;
use crate::slots::{SlotAccess, owner_of_slot};
use crate::teams::TeamDirectory;
use crate::units::UnixTime;
use crate::worker::{WorkerIndex, WorkerProfile, WorkerState};

use super::DispatchKernel;
use super::event::PeerView;
use super::quota::QuotaChange;

/// Slots of one worker that are used at most, whatever the platform lists.
const MAX_WORKER_SLOTS: u32 = 4_096;

/// Time for which a leaving sign holds against a list that still shows the worker as live.
///
/// A worker may change its mind before the list ever shows it as leaving. If the list is only
/// late, the worker's next refusal renews the sign.
const LEAVING_SIGN_LIFE: Duration = Duration::from_secs(60);

/// What is known of peers and of ejected workers.
#[derive(Debug, Default)]
pub struct FleetView {
    peers: Vec<PeerView>,
    probes: BTreeMap<WorkerIndex, UnixTime>,
    /// Workers that signed that they are leaving, with the time until which the sign holds.
    signed_leaving: FxHashMap<WorkerName, UnixTime>,
}

impl FleetView {
    /// Returns the peers.
    pub fn peers(&self) -> &[PeerView] {
        &self.peers
    }

    /// Returns the peers for an update of what they are believed to have.
    pub fn peers_mut(&mut self) -> &mut [PeerView] {
        &mut self.peers
    }

    /// Sets when an ejected worker is tried again.
    pub fn probe_at(&mut self, worker: WorkerIndex, time: UnixTime) {
        self.probes.insert(worker, time);
    }

    /// Forgets the probe of a worker that is well again.
    pub fn end_probe(&mut self, worker: WorkerIndex) {
        self.probes.remove(&worker);
    }

    /// Returns the time of the next probe.
    pub fn next_probe(&self) -> Option<UnixTime> {
        self.probes.values().min().copied()
    }

    fn due_probes(&mut self, now: UnixTime) -> Vec<WorkerIndex> {
        let due: Vec<WorkerIndex> = self
            .probes
            .iter()
            .filter(|(_, time)| **time <= now)
            .map(|(worker, _)| *worker)
            .collect();
        for worker in &due {
            self.probes.remove(worker);
        }
        due
    }

    fn awaits_probe(&self, worker: WorkerIndex) -> bool {
        self.probes.contains_key(&worker)
    }
}

impl DispatchKernel {
    /// Replaces the list of workers.
    ///
    /// An empty list is ignored once workers are known: a platform that lost its list must not
    /// stop the deployment.
    pub(super) fn on_workers_listed(&mut self, profiles: Vec<WorkerProfile>, now: UnixTime) {
        if profiles.is_empty() && self.workers.has_listed() {
            self.counters.ignored_worker_lists += 1;
            return;
        }
        self.fleet.signed_leaving.retain(|_, until| *until > now);
        let mut listed = FxHashSet::default();
        for mut profile in profiles {
            self.apply_sign(&mut profile);
            profile.slots = profile.slots.min(MAX_WORKER_SLOTS);
            let accepted_slots = profile.slots;
            let domain = self.places.number_domain(&profile.domain);
            let index = self.workers.upsert(profile);
            listed.insert(index);
            self.divide(index, accepted_slots);
            self.slots.set_domain(index, domain);
            self.refresh_usable(index);
        }
        let missing: Vec<WorkerIndex> = self
            .workers
            .iter()
            .filter(|(index, profile)| {
                profile.state != WorkerState::Removed && !listed.contains(index)
            })
            .map(|(index, _)| index)
            .collect();
        for index in missing {
            self.workers.set_state(index, WorkerState::Removed);
            self.refresh_usable(index);
        }
    }

    /// Keeps a leaving sign until the lagging list shows that the platform knows of it.
    fn apply_sign(&mut self, profile: &mut WorkerProfile) {
        if !self.fleet.signed_leaving.contains_key(&profile.name) {
            return;
        }
        match profile.state {
            WorkerState::Live => profile.state = WorkerState::Leaving,
            WorkerState::Leaving | WorkerState::Removed => {
                self.fleet.signed_leaving.remove(&profile.name);
            }
        }
    }

    /// Stops new starts on a worker that is leaving.
    pub(super) fn on_worker_leaving(&mut self, name: &WorkerName, now: UnixTime) {
        let until = now.after(LEAVING_SIGN_LIFE);
        self.fleet.signed_leaving.insert(name.clone(), until);
        let Some(index) = self.workers.find(name.as_str()) else {
            return;
        };
        if self.workers.get(index).state == WorkerState::Live {
            self.workers.set_state(index, WorkerState::Leaving);
            self.refresh_usable(index);
        }
    }

    /// Lets new starts happen on a worker that was leaving and is live again.
    pub(super) fn on_worker_live(&mut self, name: &WorkerName) {
        self.fleet.signed_leaving.remove(name);
        let Some(index) = self.workers.find(name.as_str()) else {
            return;
        };
        if self.workers.get(index).state == WorkerState::Leaving {
            self.workers.set_state(index, WorkerState::Live);
            self.refresh_usable(index);
        }
    }

    /// Takes a new view of the peers and divides the slots anew if their set changed.
    pub(super) fn on_peers_changed(&mut self, peers: Vec<PeerView>) {
        let former = self.sharing_hosts();
        let former_total = self.host_count();
        self.fleet.peers = peers;
        if self.sharing_hosts() != former {
            let workers: Vec<(WorkerIndex, u32)> = self
                .workers
                .iter()
                .map(|(index, profile)| (index, profile.slots))
                .collect();
            for (index, slots) in workers {
                self.divide(index, slots);
            }
        }
        if self.host_count() != former_total {
            self.reconfigure_quotas();
        }
    }

    /// Puts a configuration into force.
    pub(super) fn on_configured(&mut self, configuration: &Arc<DeploymentConfiguration>) {
        self.teams = TeamDirectory::new(Arc::clone(configuration));
        self.places.configure(configuration);
        self.move_waiting_jobs();
        self.reconfigure_quotas();
    }

    fn reconfigure_quotas(&mut self) {
        let Some(configuration) = self.teams.configuration() else {
            return;
        };
        let hosts = self.host_count();
        for (team, change) in self.quotas.configure(configuration, hosts) {
            self.waiting
                .set_blocked(&team, change == QuotaChange::Reached);
        }
    }

    /// Returns the number of hosts between which quotas are divided.
    ///
    /// A silent host is taken for lost if another host of its failure domain is heard. If none
    /// is, the domain may be cut off and serve on, so its hosts keep their shares.
    fn host_count(&self) -> usize {
        let mut hosts = FxHashSet::default();
        for peer in &self.fleet.peers {
            if peer.shares_slots || !self.hears_domain(&peer.domain) {
                hosts.insert(&peer.host);
            }
        }
        1 + hosts.len()
    }

    fn hears_domain(&self, domain: &DomainName) -> bool {
        let mut peers = self.fleet.peers.iter();
        *domain == self.identity.domain
            || peers.any(|peer| peer.shares_slots && peer.domain == *domain)
    }

    /// Returns the hosts of the own failure domain that divide its slots, in order of name.
    fn sharing_hosts(&self) -> Vec<HostName> {
        let mut hosts = vec![self.identity.host.clone()];
        for peer in &self.fleet.peers {
            if peer.shares_slots && peer.domain == self.identity.domain {
                hosts.push(peer.host.clone());
            }
        }
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Computes which slots of a worker this host owns.
    fn divide(&mut self, index: WorkerIndex, slots: u32) {
        let profile = self.workers.get(index);
        let accelerators = profile.accelerators;
        let mut owned = vec![false; slots as usize];
        if profile.domain == self.identity.domain {
            let hosts = self.sharing_hosts();
            let ranked = rank_hosts(&profile.name, &hosts);
            for (slot, flag) in (0_u32..).zip(owned.iter_mut()) {
                let owner = owner_of_slot(&ranked, slot, accelerators);
                *flag = owner.is_some_and(|position| hosts[position] == self.identity.host);
            }
        }
        self.slots.set_worker(index, accelerators, &owned);
    }

    /// Sets how far tasks may start on a worker: not at all unless it is live, and one at a time
    /// while an ejected worker is probed.
    pub(super) fn refresh_usable(&mut self, index: WorkerIndex) {
        let live = self.workers.get(index).state == WorkerState::Live;
        let access = if !live || self.fleet.awaits_probe(index) {
            SlotAccess::Closed
        } else if self.health.is_ejected(index) {
            SlotAccess::Probing
        } else {
            SlotAccess::Open
        };
        self.slots.set_access(index, access);
    }

    /// Lets tasks start again on ejected workers whose probes are due.
    pub(super) fn end_probe_waits(&mut self, now: UnixTime) {
        if self.fleet.next_probe().is_none_or(|time| time > now) {
            return;
        }
        for worker in self.fleet.due_probes(now) {
            self.refresh_usable(worker);
        }
    }
}
