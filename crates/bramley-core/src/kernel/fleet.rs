//! Tracks workers and peer hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::configuration::DeploymentConfiguration;
use crate::names::{DomainName, HostName, WorkerName};
use crate::slots::assignment::rank_hosts;
use crate::slots::{SlotAccess, owner_of_slot};
use crate::teams::TeamIndex;
use crate::units::UnixTime;
use crate::worker::{WorkerIndex, WorkerProfile, WorkerState};

use super::DispatchKernel;
use super::event::PeerView;
use super::quota::QuotaChange;

/// Maximum number of slots used per worker, even if the platform lists more.
const MAX_WORKER_SLOTS: u32 = 4_096;

/// Time for which a leave notice overrides a worker list that still shows the worker as live.
///
/// The notice expires because a worker may decide to stay before any list shows it as leaving. If
/// the list is merely outdated, the worker's next refusal renews the notice.
const LEAVE_NOTICE_TTL: Duration = Duration::from_secs(60);

/// Peer hosts, scheduled probes of ejected workers and leave notices.
#[derive(Debug, Default)]
pub struct FleetState {
    peers: Vec<PeerView>,
    /// Ejected workers with the time of their next probe.
    probes: BTreeMap<WorkerIndex, UnixTime>,
    /// Workers that announced that they are leaving, with the expiry of the notice.
    leave_notices: FxHashMap<WorkerName, UnixTime>,
}

impl FleetState {
    /// Returns the peers.
    pub fn peers(&self) -> &[PeerView] {
        &self.peers
    }

    /// Returns the peers mutably, to adjust their presumed idle slots.
    pub fn peers_mut(&mut self) -> &mut [PeerView] {
        &mut self.peers
    }

    /// Schedules the probe of an ejected worker.
    pub fn schedule_probe(&mut self, worker: WorkerIndex, time: UnixTime) {
        self.probes.insert(worker, time);
    }

    /// Cancels the probe of a worker that has recovered.
    pub fn cancel_probe(&mut self, worker: WorkerIndex) {
        self.probes.remove(&worker);
    }

    /// Returns the time of the next scheduled probe.
    pub fn next_probe(&self) -> Option<UnixTime> {
        self.probes.values().min().copied()
    }

    fn take_due_probes(&mut self, now: UnixTime) -> Vec<WorkerIndex> {
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

    fn is_probe_scheduled(&self, worker: WorkerIndex) -> bool {
        self.probes.contains_key(&worker)
    }
}

impl DispatchKernel {
    /// Replaces the list of workers.
    ///
    /// An empty list is ignored once workers are known, so that a platform that has lost its list
    /// does not stop the deployment.
    pub(super) fn on_workers_listed(&mut self, profiles: Vec<WorkerProfile>, now: UnixTime) {
        if profiles.is_empty() && self.workers.any_listed() {
            self.counters.ignored_worker_lists += 1;
            return;
        }
        self.fleet.leave_notices.retain(|_, until| *until > now);
        let mut listed = FxHashSet::default();
        for mut profile in profiles {
            self.apply_leave_notice(&mut profile);
            profile.slots = profile.slots.min(MAX_WORKER_SLOTS);
            let accepted_slots = profile.slots;
            let domain = self.places.intern_domain(&profile.domain);
            let index = self.workers.upsert(profile);
            listed.insert(index);
            self.assign_slots(index, accepted_slots);
            self.slots.set_domain(index, domain);
            self.update_slot_access(index);
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
            self.update_slot_access(index);
        }
    }

    /// Applies a leave notice until the worker list also shows the worker as leaving.
    fn apply_leave_notice(&mut self, profile: &mut WorkerProfile) {
        if !self.fleet.leave_notices.contains_key(&profile.name) {
            return;
        }
        match profile.state {
            WorkerState::Live => profile.state = WorkerState::Leaving,
            WorkerState::Leaving | WorkerState::Removed => {
                self.fleet.leave_notices.remove(&profile.name);
            }
        }
    }

    /// Stops starting tasks on a worker that is leaving.
    pub(super) fn on_worker_leaving(&mut self, name: &WorkerName, now: UnixTime) {
        let until = now.after(LEAVE_NOTICE_TTL);
        self.fleet.leave_notices.insert(name.clone(), until);
        let Some(index) = self.workers.find(name.as_str()) else {
            return;
        };
        if self.workers.get(index).state == WorkerState::Live {
            self.workers.set_state(index, WorkerState::Leaving);
            self.update_slot_access(index);
        }
    }

    /// Resumes starting tasks on a worker that was leaving and is live again.
    pub(super) fn on_worker_live(&mut self, name: &WorkerName) {
        self.fleet.leave_notices.remove(name);
        let Some(index) = self.workers.find(name.as_str()) else {
            return;
        };
        if self.workers.get(index).state == WorkerState::Leaving {
            self.workers.set_state(index, WorkerState::Live);
            self.update_slot_access(index);
        }
    }

    /// Replaces the peers, and reassigns slots and quotas if the set of hosts changed.
    pub(super) fn on_peers_changed(&mut self, peers: Vec<PeerView>) {
        let previous_sharing = self.slot_sharing_hosts();
        let previous_quota_hosts = self.quota_host_count();
        self.fleet.peers = peers;
        if self.slot_sharing_hosts() != previous_sharing {
            let workers: Vec<(WorkerIndex, u32)> = self
                .workers
                .iter()
                .map(|(index, profile)| (index, profile.slots))
                .collect();
            for (index, slots) in workers {
                self.assign_slots(index, slots);
            }
        }
        if self.quota_host_count() != previous_quota_hosts {
            self.update_quotas();
        }
    }

    /// Applies a configuration.
    pub(super) fn on_configuration_changed(
        &mut self,
        configuration: &Arc<DeploymentConfiguration>,
    ) {
        self.teams = TeamIndex::new(Arc::clone(configuration));
        self.places.configure(configuration);
        self.relocate_waiting_jobs();
        self.update_quotas();
    }

    fn update_quotas(&mut self) {
        let Some(configuration) = self.teams.configuration() else {
            return;
        };
        let hosts = self.quota_host_count();
        for (team, change) in self.quotas.configure(configuration, hosts) {
            self.waiting
                .set_blocked(&team, change == QuotaChange::Reached);
        }
    }

    /// Returns the number of hosts that share the quotas.
    ///
    /// A peer that owns no slots is considered lost if another host of its failure domain owns some.
    /// Otherwise the domain may be partitioned and still serving, so its hosts keep their shares.
    fn quota_host_count(&self) -> usize {
        let mut hosts = FxHashSet::default();
        for peer in &self.fleet.peers {
            if peer.owns_slots || !self.has_slot_owner(&peer.domain) {
                hosts.insert(&peer.host);
            }
        }
        1 + hosts.len()
    }

    /// Returns whether a failure domain has a host that owns slots.
    fn has_slot_owner(&self, domain: &DomainName) -> bool {
        let mut peers = self.fleet.peers.iter();
        *domain == self.identity.domain
            || peers.any(|peer| peer.owns_slots && peer.domain == *domain)
    }

    /// Returns the hosts that share the slots of this failure domain, ordered by name.
    fn slot_sharing_hosts(&self) -> Vec<HostName> {
        let mut hosts = vec![self.identity.host.clone()];
        for peer in &self.fleet.peers {
            if peer.owns_slots && peer.domain == self.identity.domain {
                hosts.push(peer.host.clone());
            }
        }
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Recomputes which slots of a worker this host owns.
    fn assign_slots(&mut self, index: WorkerIndex, slots: u32) {
        let profile = self.workers.get(index);
        let accelerators = profile.accelerators;
        let mut owned = vec![false; slots as usize];
        if profile.domain == self.identity.domain {
            let hosts = self.slot_sharing_hosts();
            let ranked = rank_hosts(&profile.name, &hosts);
            for (slot, flag) in (0_u32..).zip(owned.iter_mut()) {
                let owner = owner_of_slot(&ranked, slot, accelerators);
                *flag = owner.is_some_and(|position| hosts[position] == self.identity.host);
            }
        }
        self.slots.set_worker(index, accelerators, &owned);
    }

    /// Updates whether tasks may start on a worker.
    ///
    /// No task may start unless the worker is live, nor on an ejected worker before its next probe
    /// is due. From then on one task at a time may start until the worker is restored or ejected
    /// again.
    pub(super) fn update_slot_access(&mut self, index: WorkerIndex) {
        let live = self.workers.get(index).state == WorkerState::Live;
        let access = if !live || self.fleet.is_probe_scheduled(index) {
            SlotAccess::Closed
        } else if self.health.is_ejected(index) {
            SlotAccess::Probing
        } else {
            SlotAccess::Open
        };
        self.slots.set_access(index, access);
    }

    /// Allows a probe task on ejected workers whose probes are due.
    pub(super) fn start_due_probes(&mut self, now: UnixTime) {
        if self.fleet.next_probe().is_none_or(|time| time > now) {
            return;
        }
        for worker in self.fleet.take_due_probes(now) {
            self.update_slot_access(worker);
        }
    }
}
