//! Tasks that wait to be sent, by the kind of slot that they need.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::names::TeamName;
use crate::queue::{JobOrder, OrderRegistry, QueueEntry, WorkAhead};
use crate::units::TicketSerial;
use crate::worker::TaskNeeds;

/// Waiting tasks of one job that have the same needs.
#[derive(Debug)]
struct WaitingGroup {
    indices: Vec<u32>,
}

/// Waiting tasks with the same needs, in the configured order.
#[derive(Debug)]
struct WaitingLane {
    order: Box<dyn JobOrder>,
    groups: FxHashMap<TicketSerial, WaitingGroup>,
    tasks: usize,
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
            blocked: Vec::new(),
            total: 0,
        }
    }

    /// Returns the number of waiting tasks.
    pub const fn len(&self) -> usize {
        self.total
    }

    /// Returns the needs for which tasks wait, the largest first.
    pub fn needs(&self) -> Vec<TaskNeeds> {
        self.lanes.keys().rev().copied().collect()
    }

    /// Returns the number of slots that teams within their quota wait for.
    pub fn demand(&self) -> SlotDemand {
        let mut demand = SlotDemand::default();
        for (needs, lane) in &self.lanes {
            if lane.order.next().is_none() {
                continue;
            }
            let tasks = u32::try_from(lane.tasks).unwrap_or(u32::MAX);
            if needs.accelerators > 0 {
                let slots = tasks.saturating_mul(needs.accelerators);
                demand.accelerated = demand.accelerated.saturating_add(slots);
            } else {
                demand.plain = demand.plain.saturating_add(tasks);
            }
        }
        demand
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
            return;
        }
        let indices = indices.iter().rev().copied().collect();
        lane.groups.insert(serial, WaitingGroup { indices });
        lane.order.insert(entry);
    }

    /// Returns the work that is sent up to the end of a job that would be entered now.
    pub fn work_ahead(&self, needs: TaskNeeds, entry: &QueueEntry) -> WorkAhead {
        match self.lanes.get(&needs) {
            Some(lane) => lane.order.work_ahead(entry),
            None => WorkAhead::OfTeam(entry.remaining),
        }
    }

    /// Returns the job whose task with these needs goes next.
    pub fn next(&self, needs: TaskNeeds) -> Option<TicketSerial> {
        self.lanes.get(&needs)?.order.next()
    }

    /// Takes the next task of a job out and charges its expected run time.
    pub fn take(&mut self, needs: TaskNeeds, serial: TicketSerial, work: Duration) -> Option<u32> {
        let lane = self.lanes.get_mut(&needs)?;
        let group = lane.groups.get_mut(&serial)?;
        let index = group.indices.pop()?;
        self.total -= 1;
        lane.tasks -= 1;
        lane.order.charge(serial, work);
        if group.indices.is_empty() {
            lane.groups.remove(&serial);
            lane.order.remove(serial);
        }
        if lane.groups.is_empty() && needs != TaskNeeds::default() {
            self.lanes.remove(&needs);
        }
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
            }
            if lane.groups.is_empty() && *need != TaskNeeds::default() {
                self.lanes.remove(need);
            }
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
    }
}
