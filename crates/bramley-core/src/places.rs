//! Places: the sets of failure domains whose workers may run a task.
//!
//! A team may name the failure domains that run its tasks. Each distinct set is numbered once, so
//! that queues and checks handle a small number instead of a list of names.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::configuration::DeploymentConfiguration;
use crate::names::{DomainName, TeamName};

/// Number of a set of failure domains in the [`PlaceTable`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceId(u32);

impl PlaceId {
    /// All failure domains.
    pub const EVERYWHERE: Self = Self(0);

    /// The highest number of a place, for searches in ordered maps.
    pub const LAST: Self = Self(u32::MAX);
}

/// Number of a failure domain in the [`PlaceTable`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DomainIndex(pub u32);

/// All places and failure domains that were ever named to this incarnation.
#[derive(Debug, Default)]
pub struct PlaceTable {
    domains: FxHashMap<DomainName, DomainIndex>,
    /// Sets of domains; the place with number `n` stands at position `n - 1`.
    sets: Vec<BTreeSet<DomainIndex>>,
    teams: FxHashMap<TeamName, PlaceId>,
}

impl PlaceTable {
    /// Takes over the places of the teams; a team that is no longer listed keeps its last place.
    pub fn configure(&mut self, configuration: &DeploymentConfiguration) {
        for team in &configuration.teams {
            let place = self.number_place(&team.failure_domains);
            self.teams.insert(team.name.clone(), place);
        }
    }

    /// Returns the number of a failure domain.
    pub fn number_domain(&mut self, name: &DomainName) -> DomainIndex {
        if let Some(&domain) = self.domains.get(name) {
            return domain;
        }
        let next = u32::try_from(self.domains.len()).expect("fewer than 2^32 domains");
        self.domains.insert(name.clone(), DomainIndex(next));
        DomainIndex(next)
    }

    /// Returns the number of a set of failure domains; no domains mean all.
    pub fn number_place(&mut self, names: &[DomainName]) -> PlaceId {
        if names.is_empty() {
            return PlaceId::EVERYWHERE;
        }
        let set: BTreeSet<DomainIndex> =
            names.iter().map(|name| self.number_domain(name)).collect();
        let known = self.sets.iter().position(|other| *other == set);
        let position = known.unwrap_or(self.sets.len());
        if known.is_none() {
            self.sets.push(set);
        }
        PlaceId(u32::try_from(position + 1).expect("fewer than 2^32 places"))
    }

    /// Returns the place of a team; a team that was never listed may run everywhere.
    #[must_use]
    pub fn place_of(&self, team: &TeamName) -> PlaceId {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Tells whether a failure domain belongs to a place.
    #[must_use]
    pub fn allows(&self, place: PlaceId, domain: DomainIndex) -> bool {
        if place == PlaceId::EVERYWHERE {
            return true;
        }
        let set = self.sets.get(place.0 as usize - 1);
        set.is_some_and(|set| set.contains(&domain))
    }

    /// Tells whether a failure domain, by its name, belongs to a place.
    #[must_use]
    pub fn allows_name(&self, place: PlaceId, name: &DomainName) -> bool {
        if place == PlaceId::EVERYWHERE {
            return true;
        }
        let domain = self.domains.get(name);
        domain.is_some_and(|domain| self.allows(place, *domain))
    }
}
