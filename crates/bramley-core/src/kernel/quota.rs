//! Quotas of teams: the largest number of tasks that run at once.
//!
//! Half of a quota is divided equally between all known hosts. The other half, reduced to the
//! part of the hosts that are heard, is divided between those by demand. A host that hears nobody
//! or misses the demand of a host that it hears keeps an equal share.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::configuration::{DeploymentConfiguration, TeamConfiguration};
use crate::membership::{HeardDemand, TeamDemand};
use crate::names::{HostName, TeamName};
use crate::units::UnixTime;

use super::quota_demand::{DemandPeak, DemandView, DemandWindow};

/// Change of whether a team may start more tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaChange {
    /// The team may go on as before.
    Unchanged,
    /// The team has reached its limit here.
    Reached,
    /// The team has fallen below its limit here.
    Cleared,
}

/// Hosts between which quotas are divided.
#[derive(Debug)]
pub struct QuotaHosts {
    /// Number of known hosts, the own one and silent ones included.
    pub known: usize,
    /// Other hosts that are heard.
    pub heard: Vec<HostName>,
}

#[derive(Debug, Default)]
struct TeamUsage {
    limit: u32,
    running: u32,
    /// Tasks of accepted jobs that have not ended.
    open: u32,
    /// Recent peak of the demand, which the others are told.
    peak: DemandPeak,
    told: u32,
    /// Smallest told demand lately; only kept for teams with demand somewhere.
    window: Option<DemandWindow>,
}

impl TeamUsage {
    /// Enters the present demand and returns the smallest one told in the hold time.
    fn sample(&mut self, wanted: bool, now: UnixTime, hold: Duration) -> u32 {
        self.told = self.peak.sample(self.open.max(self.running), now);
        if self.told == 0 && !wanted {
            self.window = None;
            return 0;
        }
        let window = self
            .window
            .get_or_insert_with(|| DemandWindow::new(now, hold));
        window.sample(self.told, now, hold)
    }
}

/// Running tasks and limits of all teams on this host.
#[derive(Debug)]
pub struct QuotaLedger {
    teams: FxHashMap<TeamName, TeamUsage>,
    view: DemandView,
    hold: Duration,
    told: Vec<TeamDemand>,
}

impl QuotaLedger {
    /// Makes an empty ledger; a larger demand counts after the hold time.
    pub fn new(hold: Duration) -> Self {
        Self {
            teams: FxHashMap::default(),
            view: DemandView::default(),
            hold,
            told: Vec::new(),
        }
    }

    /// Replaces what is known of the demands at other hosts.
    pub fn hear(&mut self, demands: Vec<HeardDemand>) {
        self.view.replace(demands);
    }

    /// Sets the limits by the demands at the present time, at least one task for each team.
    ///
    /// Returns the teams whose standing changed.
    pub fn refresh(
        &mut self,
        configuration: &DeploymentConfiguration,
        hosts: &QuotaHosts,
        now: UnixTime,
    ) -> Vec<(TeamName, QuotaChange)> {
        let mut changes = Vec::new();
        self.told.clear();
        for team in &configuration.teams {
            let wanted = self.view.is_wanted(&team.name, now);
            let usage = self.teams.entry(team.name.clone()).or_default();
            let was_full = usage.limit > 0 && usage.running >= usage.limit;
            let own = usage.sample(wanted, now, self.hold);
            let others = self.view.total(&team.name, &hosts.heard, now);
            usage.limit = local_limit(team, hosts, own, others);
            if usage.window.is_some() {
                self.told.push(TeamDemand {
                    team: team.name.clone(),
                    tasks: usage.told,
                });
            }
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
        self.told
            .sort_by(|left, right| (right.tasks, &left.team).cmp(&(left.tasks, &right.team)));
        changes
    }

    /// Returns the demands as of the last refresh, the largest first.
    ///
    /// A zero is told for teams that other hosts have demand for.
    pub fn told(&self) -> &[TeamDemand] {
        &self.told
    }

    /// Returns the limit of a team on this host.
    pub fn limit(&self, team: &TeamName) -> Option<u32> {
        self.teams.get(team).map(|usage| usage.limit)
    }

    /// Records tasks of an accepted job.
    pub fn open(&mut self, team: &TeamName, tasks: usize) {
        if let Some(usage) = self.teams.get_mut(team) {
            let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
            usage.open = usage.open.saturating_add(tasks);
        }
    }

    /// Records that tasks of an accepted job ended or were given up.
    pub fn close(&mut self, team: &TeamName, tasks: usize) {
        if let Some(usage) = self.teams.get_mut(team) {
            let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
            usage.open = usage.open.saturating_sub(tasks);
        }
    }

    /// Records a start.
    pub fn start(&mut self, team: &TeamName) -> QuotaChange {
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

    /// Records the end of a start.
    pub fn end(&mut self, team: &TeamName) -> QuotaChange {
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

/// Computes the limit from the own demand and that of the other heard hosts, if it is known.
fn local_limit(team: &TeamConfiguration, hosts: &QuotaHosts, own: u32, others: Option<u64>) -> u32 {
    let quota = u128::from(team.max_running_tasks);
    let known = hosts.known.max(1) as u128;
    let own = u128::from(own);
    let total = own + others.map_or(0, u128::from);
    let limit = match others {
        Some(_) if total > 0 => {
            let heard = hosts.heard.len() as u128 + 1;
            (quota * (total + heard * own)).div_ceil(2 * known * total)
        }
        Some(_) | None => quota.div_ceil(known),
    };
    u32::try_from(limit).unwrap_or(u32::MAX).max(1)
}
