//! Team demands that other hosts told, with the time until which each counts.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::TeamDemand;
use crate::names::{HostName, TeamName};
use crate::units::{IncarnationId, UnixTime};

/// Largest number of demands remembered; a demand that finds no room stays unknown.
const MAX_HEARD_DEMANDS: usize = 16_384;

/// Newest demand of one team that one incarnation told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeardDemand {
    /// Host that told it.
    pub host: HostName,
    /// Name of the team.
    pub team: TeamName,
    /// Tasks queued or running there; zero was told as such.
    pub tasks: u32,
    /// Time at which it was heard.
    pub heard_at: UnixTime,
    /// Time until which it counts.
    pub until: UnixTime,
}

/// Newest demand for each member incarnation and team.
#[derive(Debug, Default)]
pub struct DemandBook {
    heard: BTreeMap<(IncarnationId, TeamName), HeardDemand>,
}

impl DemandBook {
    /// Takes in the demands of one message and forgets what no longer counts.
    pub fn take_news(
        &mut self,
        incarnation: IncarnationId,
        host: &HostName,
        demands: &[TeamDemand],
        life: Duration,
        now: UnixTime,
    ) {
        self.heard.retain(|_, demand| demand.until > now);
        for demand in demands {
            let key = (incarnation, demand.team.clone());
            if self.heard.len() >= MAX_HEARD_DEMANDS && !self.heard.contains_key(&key) {
                continue;
            }
            let heard = HeardDemand {
                host: host.clone(),
                team: demand.team.clone(),
                tasks: demand.tasks,
                heard_at: now,
                until: now.after(life),
            };
            self.heard.insert(key, heard);
        }
    }

    /// Returns the demands that count at the given time.
    #[must_use]
    pub fn counting(&self, now: UnixTime) -> Vec<HeardDemand> {
        let mut demands = Vec::new();
        for demand in self.heard.values() {
            if demand.until > now {
                demands.push(demand.clone());
            }
        }
        demands
    }
}
