//! Recent work of each team on this host, for admission.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::names::TeamName;
use crate::units::UnixTime;

/// Time constant of the decay of recent work.
const DECAY_SPAN: Duration = Duration::from_secs(3);

/// Recent work below which a team no longer counts as active.
const ACTIVE_WORK: Duration = Duration::from_millis(10);

/// Work that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedWork {
    seconds: f64,
    updated: UnixTime,
}

impl DecayedWork {
    fn at(&self, now: UnixTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.seconds * (-age / DECAY_SPAN.as_secs_f64()).exp()
    }

    fn add(&mut self, work: Duration, now: UnixTime) {
        self.seconds = self.at(now) + work.as_secs_f64();
        self.updated = now;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamMeter {
    started: DecayedWork,
    weight: u32,
}

/// Work that was started lately, by team and in all.
#[derive(Debug, Default)]
pub struct DemandMeter {
    teams: FxHashMap<TeamName, TeamMeter>,
    total: DecayedWork,
    active_weight: u32,
}

impl DemandMeter {
    /// Records the expected work of a start.
    pub fn record(&mut self, team: &TeamName, weight: u32, work: Duration, now: UnixTime) {
        self.total.add(work, now);
        if let Some(meter) = self.teams.get_mut(team) {
            meter.started.add(work, now);
            meter.weight = weight;
            return;
        }
        let mut meter = TeamMeter {
            weight,
            ..TeamMeter::default()
        };
        meter.started.add(work, now);
        self.active_weight += weight;
        self.teams.insert(team.clone(), meter);
    }

    /// Forgets the teams that started next to nothing lately.
    pub fn forget_inactive(&mut self, now: UnixTime) {
        let least = ACTIVE_WORK.as_secs_f64();
        self.teams.retain(|_, meter| meter.started.at(now) >= least);
        self.active_weight = self.teams.values().map(|meter| meter.weight).sum();
    }

    /// Returns the number of slots that a team can count on out of `slots`.
    ///
    /// It gets what the other teams leave, and at least its share by weight.
    #[must_use]
    pub fn slots_for(&self, team: &TeamName, weight: u32, slots: f64, now: UnixTime) -> f64 {
        let meter = self.teams.get(team);
        let own = meter.map_or(0.0, |meter| meter.started.at(now));
        let others = (self.total.at(now) - own).max(0.0) / DECAY_SPAN.as_secs_f64();
        let others_weight = self.active_weight - meter.map_or(0, |meter| meter.weight);
        let weight = f64::from(weight.max(1));
        let share = slots * weight / (weight + f64::from(others_weight));
        (slots - others).max(share)
    }
}
