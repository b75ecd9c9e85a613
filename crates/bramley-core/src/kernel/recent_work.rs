//! Recently started work per team on this host, used by admission control.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::names::TeamName;
use crate::units::UnixTime;

/// Time constant of the exponential decay of recent work.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Recent work below which a team is considered inactive.
const MIN_ACTIVE_WORK: Duration = Duration::from_millis(10);

/// Exponentially decaying sum of work.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedWork {
    seconds: f64,
    updated: UnixTime,
}

impl DecayedWork {
    /// Returns the decayed sum at a time.
    fn value_at(&self, now: UnixTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.seconds * (-age / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn add(&mut self, work: Duration, now: UnixTime) {
        self.seconds = self.value_at(now) + work.as_secs_f64();
        self.updated = now;
    }
}

/// Recent work and weight of one team.
#[derive(Clone, Copy, Debug, Default)]
struct TeamRecentWork {
    started: DecayedWork,
    weight: u32,
}

/// Tracks recently started work, by team and in total.
#[derive(Debug, Default)]
pub struct RecentWorkTracker {
    teams: FxHashMap<TeamName, TeamRecentWork>,
    total: DecayedWork,
    /// Sum of the weights of the active teams.
    active_weight: u32,
}

impl RecentWorkTracker {
    /// Records the expected work of a started task.
    pub fn record(&mut self, team: &TeamName, weight: u32, work: Duration, now: UnixTime) {
        self.total.add(work, now);
        if let Some(team_work) = self.teams.get_mut(team) {
            team_work.started.add(work, now);
            team_work.weight = weight;
            return;
        }
        let mut team_work = TeamRecentWork {
            weight,
            ..TeamRecentWork::default()
        };
        team_work.started.add(work, now);
        self.active_weight += weight;
        self.teams.insert(team.clone(), team_work);
    }

    /// Removes the teams whose recent work is negligible.
    pub fn forget_inactive(&mut self, now: UnixTime) {
        let min_work = MIN_ACTIVE_WORK.as_secs_f64();
        self.teams
            .retain(|_, team_work| team_work.started.value_at(now) >= min_work);
        self.active_weight = self.teams.values().map(|team_work| team_work.weight).sum();
    }

    /// Returns how many of `slots` are available to a team.
    ///
    /// A team gets the slots that other teams leave unused, but not less than its weighted share.
    #[must_use]
    pub fn available_slots_for(
        &self,
        team: &TeamName,
        weight: u32,
        slots: f64,
        now: UnixTime,
    ) -> f64 {
        let team_work = self.teams.get(team);
        let own = team_work.map_or(0.0, |team_work| team_work.started.value_at(now));
        let others = (self.total.value_at(now) - own).max(0.0) / DECAY_TIME_CONSTANT.as_secs_f64();
        let others_weight = self.active_weight - team_work.map_or(0, |team_work| team_work.weight);
        let weight = f64::from(weight.max(1));
        let share = slots * weight / (weight + f64::from(others_weight));
        (slots - others).max(share)
    }
}
