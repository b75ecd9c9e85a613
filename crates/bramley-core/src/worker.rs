//! Table of the workers known to this host.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::names::{DomainName, RackName, WorkerName};
use crate::places::{PlaceId, PlaceTable};

/// Index of a worker in the [`WorkerTable`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WorkerIndex(pub u32);

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker accepts tasks.
    Live,
    /// The worker is leaving and receives no new tasks.
    Leaving,
    /// The worker is no longer listed.
    Removed,
}

/// Properties of a worker, as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WorkerProfile {
    /// Name, unique within the deployment.
    pub name: WorkerName,
    /// Address of its task service.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: RackName,
    /// Number of tasks that it runs concurrently.
    pub slots: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Whether it accepts new tasks.
    pub state: WorkerState,
}

/// Resource and placement requirements of a task.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskRequirements {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Memory in mebibytes; 0 means unspecified.
    pub memory_mib: u32,
    /// Failure domains whose workers may run the task.
    pub place: PlaceId,
}

impl TaskRequirements {
    /// Returns the same requirements with another place.
    #[must_use]
    pub const fn at(self, place: PlaceId) -> Self {
        Self { place, ..self }
    }
}

impl WorkerProfile {
    /// Returns whether the worker has the resources for a task, regardless of the task's place.
    ///
    /// A task without accelerators needs a slot without one: slots with accelerators are reserved
    /// for tasks that cannot run elsewhere.
    #[must_use]
    pub const fn fits(&self, requirements: TaskRequirements) -> bool {
        let slots_fit = if requirements.accelerators == 0 {
            self.slots > self.accelerators
        } else {
            requirements.accelerators <= self.accelerators
                && requirements.accelerators <= self.slots
        };
        slots_fit && requirements.memory_mib <= self.memory_mib
    }
}

/// All workers that this incarnation has ever seen listed. Entries are never removed, so indices
/// stay valid.
#[derive(Debug, Default)]
pub struct WorkerTable {
    profiles: Vec<WorkerProfile>,
    positions: FxHashMap<WorkerName, WorkerIndex>,
}

impl WorkerTable {
    /// Inserts or updates a worker and returns its index.
    pub fn upsert(&mut self, profile: WorkerProfile) -> WorkerIndex {
        if let Some(&index) = self.positions.get(&profile.name) {
            self.profiles[index.0 as usize] = profile;
            return index;
        }
        let index =
            WorkerIndex(u32::try_from(self.profiles.len()).expect("fewer than 2^32 workers"));
        self.positions.insert(profile.name.clone(), index);
        self.profiles.push(profile);
        index
    }

    /// Returns the worker at an index.
    #[must_use]
    pub fn get(&self, index: WorkerIndex) -> &WorkerProfile {
        &self.profiles[index.0 as usize]
    }

    /// Sets the state of a worker.
    pub fn set_state(&mut self, index: WorkerIndex, state: WorkerState) {
        self.profiles[index.0 as usize].state = state;
    }

    /// Returns the index of the worker with the given name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<WorkerIndex> {
        self.positions.get(name).copied()
    }

    /// Returns all workers with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerProfile)> {
        (0_u32..).map(WorkerIndex).zip(&self.profiles)
    }

    /// Returns the number of workers that were ever listed, including removed ones.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.profiles.len()
    }

    /// Returns whether no worker has ever been listed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.profiles.is_empty()
    }

    /// Returns whether any worker is currently listed.
    #[must_use]
    pub fn any_listed(&self) -> bool {
        self.profiles
            .iter()
            .any(|profile| profile.state != WorkerState::Removed)
    }

    /// Returns whether any listed worker at the place of a task has the resources for it.
    #[must_use]
    pub fn any_fits(&self, requirements: TaskRequirements, places: &PlaceTable) -> bool {
        self.profiles.iter().any(|profile| {
            profile.state != WorkerState::Removed
                && profile.fits(requirements)
                && places.allows_name(requirements.place, &profile.domain)
        })
    }
}
