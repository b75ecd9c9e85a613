//! Limits of teams on this host, as demands, hosts and configurations change.

use std::collections::BTreeMap;

use crate::membership::{HeardDemand, TeamDemand};
use crate::names::{HostName, TeamName};
use crate::units::UnixTime;

use super::DispatchKernel;
use super::quota::{QuotaChange, QuotaHosts};

impl DispatchKernel {
    /// Takes in what other hosts told about their demands.
    pub(super) fn on_demands_heard(&mut self, demands: Vec<HeardDemand>, now: UnixTime) {
        self.quotas.hear(demands);
        self.refresh_quotas(now);
    }

    /// Computes the limits anew.
    pub(super) fn refresh_quotas(&mut self, now: UnixTime) {
        let hosts = self.quota_hosts();
        let Some(configuration) = self.teams.configuration() else {
            return;
        };
        for (team, change) in self.quotas.refresh(configuration, &hosts, now) {
            self.waiting
                .set_blocked(&team, change == QuotaChange::Reached);
        }
    }

    /// Returns the hosts between which quotas are divided.
    ///
    /// A silent host counts as known: it may run tasks on its side of a network partition. So do
    /// configured hosts that were never heard of, for a host that starts while it is cut off.
    fn quota_hosts(&self) -> QuotaHosts {
        let mut peers: BTreeMap<&HostName, bool> = BTreeMap::new();
        for peer in self.fleet.peers() {
            let heard = peers.entry(&peer.host).or_default();
            *heard |= peer.reachable;
        }
        let known = self.settings.configured_hosts.max(peers.len() + 1);
        let mut heard = Vec::new();
        for (host, reachable) in peers {
            if reachable {
                heard.push(host.clone());
            }
        }
        QuotaHosts { known, heard }
    }

    /// Returns the demands that other hosts have to hear of, the largest first.
    #[must_use]
    pub fn demands(&self) -> &[TeamDemand] {
        self.quotas.told()
    }

    /// Returns how many tasks of a team may run at once from this host, or `None` if the team is
    /// unknown.
    #[must_use]
    pub fn team_limit(&self, team: &TeamName) -> Option<u32> {
        self.quotas.limit(team)
    }
}
