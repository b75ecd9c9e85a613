//! Tasks that wait to be sent, by the kind of slot that they need.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::names::TeamName;
use crate::places::PlaceId;
use crate::queue::{JobOrder, OrderRegistry, QueueEntry, WorkAhead};
use crate::units::TicketSerial;
use crate::worker::TaskNeeds;

/// Waiting tasks of one job that have the same needs.
#[derive(Debug)]
struct WaitingGroup {
    indices: Vec<u32>,
    team: TeamName,
}

/// Jobs that a team has in a lane.
#[derive(Debug)]
struct TeamPresence {
    jobs: usize,
    weight: u32,
}

/// Needs of the lanes that differ only in their places and have a task to send.
pub type ReadyLanes = SmallVec<[TaskNeeds; 2]>;

/// Waiting tasks with the same needs, in the configured order.
#[derive(Debug)]
struct WaitingLane {
    order: Box<dyn JobOrder>,
    groups: FxHashMap<TicketSerial, WaitingGroup>,
    tasks: usize,
    teams: FxHashMap<TeamName, TeamPresence>,
    /// Sum of the weights of the teams that have jobs here.
    weight: u32,
    /// Work sent divided by the weight, for the turns between places.
    served: Duration,
    /// What the lane contributes to the demand of its place.
    counted: PlaceTotal,
}

impl WaitingLane {
    fn enter_team(&mut self, team: &TeamName, weight: u32) {
        if let Some(presence) = self.teams.get_mut(team) {
            presence.jobs += 1;
            return;
        }
        self.weight += weight;
        let presence = TeamPresence { jobs: 1, weight };
        self.teams.insert(team.clone(), presence);
    }

    fn leave_team(&mut self, team: &TeamName) {
        let Some(presence) = self.teams.get_mut(team) else {
            return;
        };
        presence.jobs -= 1;
        if presence.jobs == 0 {
            self.weight -= presence.weight;
            self.teams.remove(team);
        }
    }

    /// Returns the demand of the lane: none while no team may start more.
    fn total(&self, needs: TaskNeeds) -> PlaceTotal {
        let tasks = self.tasks as u64;
        if self.order.next().is_none() {
            PlaceTotal::default()
        } else if needs.accelerators > 0 {
            PlaceTotal {
                plain: 0,
                accelerated: tasks * u64::from(needs.accelerators),
            }
        } else {
            PlaceTotal {
                plain: tasks,
                accelerated: 0,
            }
        }
    }
}

/// Sum of the slots that the lanes of a place could use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PlaceTotal {
    plain: u64,
    accelerated: u64,
}

/// Slots that waiting tasks could use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotDemand {
    /// Slots without an accelerator.
    pub plain: u32,
    /// Slots with an accelerator.
    pub accelerated: u32,
}

/// All waiting tasks.
#[derive(Debug)]
pub struct WaitingTasks {
    registry: OrderRegistry,
    order_name: String,
    lanes: BTreeMap<TaskNeeds, WaitingLane>,
    /// Lanes that have a task to send.
    ready: BTreeSet<TaskNeeds>,
    /// Places that have demand.
    totals: BTreeMap<PlaceId, PlaceTotal>,
    blocked: Vec<TeamName>,
    total: usize,
}

impl WaitingTasks {
    /// Makes an empty set whose lanes follow the named order.
    pub fn new(registry: OrderRegistry, order_name: String) -> Self {
        Self {
            registry,
            order_name,
            lanes: BTreeMap::new(),
            ready: BTreeSet::new(),
            totals: BTreeMap::new(),
            blocked: Vec::new(),
            total: 0,
        }
    }

    /// Returns the number of waiting tasks.
    pub const fn len(&self) -> usize {
        self.total
    }

    /// Returns the lanes that have a task to send, the largest needs first; lanes that differ only
    /// in their places stand together.
    pub fn ready_lanes(&self) -> Vec<ReadyLanes> {
        let mut sizes: Vec<ReadyLanes> = Vec::new();
        for needs in self.ready.iter().rev() {
            match sizes.last_mut() {
                Some(lanes) if same_size(lanes[0], *needs) => lanes.push(*needs),
                Some(_) | None => sizes.push(ReadyLanes::from_slice(&[*needs])),
            }
        }
        sizes
    }

    /// Returns the slots that teams within their quota wait for by place, the last place first.
    pub fn demands(&self) -> impl Iterator<Item = (PlaceId, SlotDemand)> {
        self.totals.iter().rev().map(|(place, total)| {
            let demand = SlotDemand {
                plain: u32::try_from(total.plain).unwrap_or(u32::MAX),
                accelerated: u32::try_from(total.accelerated).unwrap_or(u32::MAX),
            };
            (*place, demand)
        })
    }

    /// Enters waiting tasks of a job; the first index is sent first.
    pub fn push(&mut self, needs: TaskNeeds, indices: &[u32], entry: QueueEntry) {
        self.total += indices.len();
        let lane = self.lanes.entry(needs).or_insert_with(|| {
            let order = self
                .registry
                .create(&self.order_name)
                .expect("the order is registered");
            let mut lane = WaitingLane {
                order,
                groups: FxHashMap::default(),
                tasks: 0,
                teams: FxHashMap::default(),
                weight: 0,
                served: Duration::ZERO,
                counted: PlaceTotal::default(),
            };
            for team in &self.blocked {
                lane.order.set_blocked(team, true);
            }
            lane
        });
        lane.tasks += indices.len();
        let serial = entry.serial;
        if let Some(group) = lane.groups.get_mut(&serial) {
            group.indices.extend(indices.iter().rev());
            self.refresh(needs);
            return;
        }
        let indices = indices.iter().rev().copied().collect();
        let team = entry.team.clone();
        lane.enter_team(&team, entry.weight.max(1));
        lane.groups.insert(serial, WaitingGroup { indices, team });
        lane.order.insert(entry);
        self.refresh(needs);
    }

    /// Returns the work that is sent up to the end of a job that would be entered now.
    pub fn work_ahead(&self, needs: TaskNeeds, entry: &QueueEntry) -> WorkAhead {
        match self.lanes.get(&needs) {
            Some(lane) => lane.order.work_ahead(entry),
            None => WorkAhead::OwnTeam(entry.remaining),
        }
    }

    /// Returns the job whose task goes next and its lane, out of lanes that differ in their places.
    ///
    /// The lane that was served least for its weight has its turn, so that a place with many tasks
    /// does not hold up the others where they overlap.
    pub fn next(&self, lanes: &[TaskNeeds]) -> Option<(TaskNeeds, TicketSerial)> {
        let mut best: Option<(Duration, TaskNeeds, TicketSerial)> = None;
        for needs in lanes {
            let Some(lane) = self.lanes.get(needs) else {
                continue;
            };
            let Some(serial) = lane.order.next() else {
                continue;
            };
            if best.is_none_or(|(served, _, _)| lane.served < served) {
                best = Some((lane.served, *needs, serial));
            }
        }
        best.map(|(_, needs, serial)| (needs, serial))
    }

    /// Takes the next task of a job out and charges its expected run time.
    pub fn take(&mut self, needs: TaskNeeds, serial: TicketSerial, work: Duration) -> Option<u32> {
        let lane = self.lanes.get_mut(&needs)?;
        let group = lane.groups.get_mut(&serial)?;
        let index = group.indices.pop()?;
        self.total -= 1;
        lane.tasks -= 1;
        lane.order.charge(serial, work);
        lane.served += work / lane.weight.max(1);
        if group.indices.is_empty() {
            let team = group.team.clone();
            lane.groups.remove(&serial);
            lane.order.remove(serial);
            lane.leave_team(&team);
        }
        self.refresh(needs);
        Some(index)
    }

    /// Removes the waiting tasks of a job with the given needs.
    ///
    /// Returns the number of lanes and tasks visited.
    pub fn remove_job(&mut self, serial: TicketSerial, needs: &BTreeSet<TaskNeeds>) -> u64 {
        let mut steps = 0;
        for need in needs {
            let Some(lane) = self.lanes.get_mut(need) else {
                continue;
            };
            steps += 1;
            if let Some(group) = lane.groups.remove(&serial) {
                steps += group.indices.len() as u64;
                self.total -= group.indices.len();
                lane.tasks -= group.indices.len();
                lane.order.remove(serial);
                lane.leave_team(&group.team);
            }
            self.refresh(*need);
        }
        steps
    }

    /// Sets whether a team has used up its quota.
    pub fn set_blocked(&mut self, team: &TeamName, blocked: bool) {
        self.blocked.retain(|other| other != team);
        if blocked {
            self.blocked.push(team.clone());
        }
        for lane in self.lanes.values_mut() {
            lane.order.set_blocked(team, blocked);
        }
        let concerned: Vec<TaskNeeds> = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.teams.contains_key(team))
            .map(|(needs, _)| *needs)
            .collect();
        for needs in concerned {
            self.refresh(needs);
        }
    }

    /// Brings the demand and the readiness of a lane up to date, and drops it if it is empty.
    fn refresh(&mut self, needs: TaskNeeds) {
        let Some(lane) = self.lanes.get_mut(&needs) else {
            return;
        };
        let ready = lane.order.next().is_some();
        let counted = lane.total(needs);
        let former = std::mem::replace(&mut lane.counted, counted);
        let empty = lane.groups.is_empty();
        let total = self.totals.entry(needs.place).or_default();
        total.plain = total.plain + counted.plain - former.plain;
        total.accelerated = total.accelerated + counted.accelerated - former.accelerated;
        if *total == PlaceTotal::default() {
            self.totals.remove(&needs.place);
        }
        if !ready {
            self.ready.remove(&needs);
        } else if !self.ready.contains(&needs) {
            self.enter_turns(needs);
        }
        if empty && needs != TaskNeeds::default() {
            self.lanes.remove(&needs);
        }
    }

    /// Lets a lane take turns with the others of its size, without credit or debt.
    fn enter_turns(&mut self, needs: TaskNeeds) {
        let others = needs.at(PlaceId::EVERYWHERE)..=needs.at(PlaceId::LAST);
        let mut served: Option<Duration> = None;
        for other in self.ready.range(others) {
            let other = self.lanes[other].served;
            served = Some(served.map_or(other, |least| least.min(other)));
        }
        if let Some(lane) = self.lanes.get_mut(&needs) {
            lane.served = served.unwrap_or_default();
        }
        self.ready.insert(needs);
    }
}

fn same_size(left: TaskNeeds, right: TaskNeeds) -> bool {
    left.at(PlaceId::EVERYWHERE) == right.at(PlaceId::EVERYWHERE)
}
