//! Demand of teams at this host and at others, by which quotas are divided.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::membership::HeardDemand;
use crate::names::{HostName, TeamName};
use crate::units::UnixTime;

/// Time constant of the decay of a former peak of demand.
const PEAK_DECAY_SPAN: Duration = Duration::from_secs(5);

/// Recent peak of a team's demand at this host, decaying with time.
///
/// Short tasks leave the present demand at zero again and again while a team is busy.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandPeak {
    tasks: f64,
    updated: UnixTime,
}

impl DemandPeak {
    /// Enters the present demand and returns the peak in whole tasks.
    pub fn sample(&mut self, tasks: u32, now: UnixTime) -> u32 {
        let age = now.since(self.updated).as_secs_f64();
        let decayed = self.tasks * (-age / PEAK_DECAY_SPAN.as_secs_f64()).exp();
        self.tasks = decayed.max(f64::from(tasks));
        self.updated = now;
        rounded(self.tasks)
    }
}

/// Rounds to whole tasks; the value never exceeds a `u32` that was entered before.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded(tasks: f64) -> u32 {
    tasks.round() as u32
}

/// Smallest demand of a team at this host over the hold time.
///
/// A host claims a larger part of a quota only when every host that counts its demand has heard
/// of the larger demand, and gives a part up at once when its demand falls.
#[derive(Debug)]
pub struct DemandWindow {
    /// Samples that may be the smallest, with the times until which they count. Both rise.
    samples: VecDeque<(UnixTime, u32)>,
}

impl DemandWindow {
    /// Makes the window of a team that had no demand until now.
    pub fn new(now: UnixTime, hold: Duration) -> Self {
        Self {
            samples: VecDeque::from([(now.after(hold), 0)]),
        }
    }

    /// Enters the present demand and returns the smallest one of the hold time.
    pub fn sample(&mut self, tasks: u32, now: UnixTime, hold: Duration) -> u32 {
        // The last value was told until now, however long ago it was entered.
        if let Some((until, _)) = self.samples.back_mut() {
            *until = now.after(hold);
        }
        while self.samples.front().is_some_and(|(until, _)| *until < now) {
            self.samples.pop_front();
        }
        while self
            .samples
            .back()
            .is_some_and(|(_, other)| *other >= tasks)
        {
            self.samples.pop_back();
        }
        self.samples.push_back((now.after(hold), tasks));
        self.samples.front().map_or(tasks, |(_, least)| *least)
    }
}

/// What the hosts that this host hears told about their demands.
#[derive(Debug, Default)]
pub struct DemandView {
    teams: FxHashMap<TeamName, FxHashMap<HostName, HeardDemand>>,
}

impl DemandView {
    /// Replaces the view; of two demands of a host for one team, the newer one counts.
    pub fn replace(&mut self, demands: Vec<HeardDemand>) {
        self.teams.clear();
        for demand in demands {
            let hosts = self.teams.entry(demand.team.clone()).or_default();
            let known = hosts.get(&demand.host);
            if known.is_none_or(|known| known.until < demand.until) {
                hosts.insert(demand.host.clone(), demand);
            }
        }
    }

    /// Returns the demand of a team at all the given hosts, or `None` if one of them is unknown.
    pub fn total(&self, team: &TeamName, hosts: &[HostName], now: UnixTime) -> Option<u64> {
        if hosts.is_empty() {
            return Some(0);
        }
        let told = self.teams.get(team)?;
        let mut total = 0;
        for host in hosts {
            let demand = told.get(host)?;
            if demand.until <= now {
                return None;
            }
            total += u64::from(demand.tasks);
        }
        Some(total)
    }

    /// Tells whether some host has demand for a team.
    pub fn is_wanted(&self, team: &TeamName, now: UnixTime) -> bool {
        let Some(told) = self.teams.get(team) else {
            return false;
        };
        told.values()
            .any(|demand| demand.tasks > 0 && demand.until > now)
    }
}
