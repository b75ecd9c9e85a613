//! Places: sets of failure domains whose workers may run a task.
//!
//! A team may restrict its tasks to some failure domains. Each distinct set is assigned a number,
//! so that queues and checks compare integers instead of lists of names.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::configuration::DeploymentConfiguration;
use crate::names::{DomainName, TeamName};

/// Identifier of a set of failure domains in the [`PlaceTable`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceId(u32);

impl PlaceId {
    /// All failure domains.
    pub const EVERYWHERE: Self = Self(0);

    /// Upper bound of all identifiers, for range queries on ordered maps.
    pub const MAX: Self = Self(u32::MAX);
}

/// Index of a failure domain in the [`PlaceTable`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DomainIndex(pub u32);

/// All places and failure domains that this incarnation has ever seen.
#[derive(Debug, Default)]
pub struct PlaceTable {
    domains: FxHashMap<DomainName, DomainIndex>,
    /// Sets of domains; the place with identifier `n` is at index `n - 1`, as 0 stands for all
    /// failure domains.
    sets: Vec<BTreeSet<DomainIndex>>,
    teams: FxHashMap<TeamName, PlaceId>,
}

impl PlaceTable {
    /// Updates the places of the teams. A team that is no longer configured keeps its last place.
    pub fn configure(&mut self, configuration: &DeploymentConfiguration) {
        for team in &configuration.teams {
            let place = self.intern_domains(&team.failure_domains);
            self.teams.insert(team.name.clone(), place);
        }
    }

    /// Returns the index of a failure domain, adding the domain if it is new.
    pub fn intern_domain(&mut self, name: &DomainName) -> DomainIndex {
        if let Some(&domain) = self.domains.get(name) {
            return domain;
        }
        let next = u32::try_from(self.domains.len()).expect("fewer than 2^32 domains");
        self.domains.insert(name.clone(), DomainIndex(next));
        DomainIndex(next)
    }

    /// Returns the identifier of a set of failure domains, adding the set if it is new. An empty
    /// list means all failure domains.
    pub fn intern_domains(&mut self, names: &[DomainName]) -> PlaceId {
        if names.is_empty() {
            return PlaceId::EVERYWHERE;
        }
        let set: BTreeSet<DomainIndex> =
            names.iter().map(|name| self.intern_domain(name)).collect();
        let known = self.sets.iter().position(|other| *other == set);
        let position = known.unwrap_or(self.sets.len());
        if known.is_none() {
            self.sets.push(set);
        }
        PlaceId(u32::try_from(position + 1).expect("fewer than 2^32 places"))
    }

    /// Returns the place of a team; a team that was never configured may run everywhere.
    #[must_use]
    pub fn team_place(&self, team: &TeamName) -> PlaceId {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns whether a failure domain belongs to a place.
    #[must_use]
    pub fn allows(&self, place: PlaceId, domain: DomainIndex) -> bool {
        if place == PlaceId::EVERYWHERE {
            return true;
        }
        let set = self.sets.get(place.0 as usize - 1);
        set.is_some_and(|set| set.contains(&domain))
    }

    /// Returns whether the failure domain with the given name belongs to a place.
    #[must_use]
    pub fn allows_name(&self, place: PlaceId, name: &DomainName) -> bool {
        if place == PlaceId::EVERYWHERE {
            return true;
        }
        let domain = self.domains.get(name);
        domain.is_some_and(|domain| self.allows(place, *domain))
    }
}
