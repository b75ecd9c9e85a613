//! Team quotas: the maximum number of concurrently running tasks per team.

use rustc_hash::FxHashMap;

use crate::configuration::{DeploymentConfiguration, TeamConfiguration};
use crate::names::TeamName;

/// Change in whether a team may start more tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaChange {
    /// Nothing changed.
    Unchanged,
    /// The team reached its limit on this host.
    Reached,
    /// The team dropped below its limit on this host.
    Cleared,
}

/// Running tasks and limit of one team on this host.
#[derive(Debug, Default)]
struct TeamUsage {
    limit: u32,
    running: u32,
}

/// Tracks the running tasks and limits of all teams on this host.
#[derive(Debug, Default)]
pub struct QuotaTracker {
    teams: FxHashMap<TeamName, TeamUsage>,
}

impl QuotaTracker {
    /// Sets the limits. Each host may use an equal share of a team's quota, at least one task.
    ///
    /// Returns the teams that reached their limit or dropped below it.
    pub fn configure(
        &mut self,
        configuration: &DeploymentConfiguration,
        hosts: usize,
    ) -> Vec<(TeamName, QuotaChange)> {
        let mut changes = Vec::new();
        for team in &configuration.teams {
            let usage = self.teams.entry(team.name.clone()).or_default();
            let was_full = usage.limit > 0 && usage.running >= usage.limit;
            usage.limit = local_share(team, hosts);
            let is_full = usage.running >= usage.limit;
            if was_full != is_full {
                let change = if is_full {
                    QuotaChange::Reached
                } else {
                    QuotaChange::Cleared
                };
                changes.push((team.name.clone(), change));
            }
        }
        changes
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, team: &TeamName) -> QuotaChange {
        let Some(usage) = self.teams.get_mut(team) else {
            return QuotaChange::Unchanged;
        };
        usage.running += 1;
        if usage.running == usage.limit {
            QuotaChange::Reached
        } else {
            QuotaChange::Unchanged
        }
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, team: &TeamName) -> QuotaChange {
        let Some(usage) = self.teams.get_mut(team) else {
            return QuotaChange::Unchanged;
        };
        let was_full = usage.running >= usage.limit;
        usage.running = usage.running.saturating_sub(1);
        let is_full = usage.running >= usage.limit;
        if was_full && !is_full {
            QuotaChange::Cleared
        } else {
            QuotaChange::Unchanged
        }
    }
}

/// Returns this host's share of a team's quota.
fn local_share(team: &TeamConfiguration, hosts: usize) -> u32 {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    team.max_running_tasks.div_ceil(hosts).max(1)
}
