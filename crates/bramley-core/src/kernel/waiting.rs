//! Queues of tasks waiting to be sent, by the kind of slot that they need.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::names::TeamName;
use crate::places::PlaceId;
use crate::queue::{QueueEntry, QueuePolicy, QueuePolicyRegistry, WorkAhead};
use crate::units::TicketSerial;
use crate::worker::TaskRequirements;

/// Waiting tasks of one job that have the same requirements.
#[derive(Debug)]
struct WaitingGroup {
    indices: Vec<u32>,
    team: TeamName,
}

/// Number of jobs of a team in a queue, and the weight of the team.
#[derive(Debug)]
struct TeamJobs {
    jobs: usize,
    weight: u32,
}

/// Keys of ready queues that differ only in their places.
pub type ReadyQueues = SmallVec<[TaskRequirements; 2]>;

/// Waiting tasks with the same requirements, sorted by the configured policy.
#[derive(Debug)]
struct TaskQueue {
    policy: Box<dyn QueuePolicy>,
    /// Waiting tasks by job.
    groups: FxHashMap<TicketSerial, WaitingGroup>,
    tasks: usize,
    teams: FxHashMap<TeamName, TeamJobs>,
    /// Sum of the weights of the teams that have jobs in the queue.
    weight: u32,
    /// Work sent divided by the weight, for fair queueing between places.
    normalized_service: Duration,
    /// Part of the demand of the place that comes from this queue.
    counted_demand: DemandSum,
}

impl TaskQueue {
    fn add_team_job(&mut self, team: &TeamName, weight: u32) {
        if let Some(team_jobs) = self.teams.get_mut(team) {
            team_jobs.jobs += 1;
            return;
        }
        self.weight += weight;
        let team_jobs = TeamJobs { jobs: 1, weight };
        self.teams.insert(team.clone(), team_jobs);
    }

    fn remove_team_job(&mut self, team: &TeamName) {
        let Some(team_jobs) = self.teams.get_mut(team) else {
            return;
        };
        team_jobs.jobs -= 1;
        if team_jobs.jobs == 0 {
            self.weight -= team_jobs.weight;
            self.teams.remove(team);
        }
    }

    /// Returns the demand of the queue, which is zero while all its teams are blocked.
    fn demand(&self, requirements: TaskRequirements) -> DemandSum {
        let tasks = self.tasks as u64;
        if self.policy.next().is_none() {
            DemandSum::default()
        } else if requirements.accelerators > 0 {
            DemandSum {
                plain: 0,
                accelerated: tasks * u64::from(requirements.accelerators),
            }
        } else {
            DemandSum {
                plain: tasks,
                accelerated: 0,
            }
        }
    }
}

/// Number of slots that the queues of a place could use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct DemandSum {
    plain: u64,
    accelerated: u64,
}

/// Number of slots that waiting tasks could use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotDemand {
    /// Slots without an accelerator.
    pub plain: u32,
    /// Slots with an accelerator.
    pub accelerated: u32,
}

/// All waiting tasks, queued by their requirements.
#[derive(Debug)]
pub struct WaitingTasks {
    registry: QueuePolicyRegistry,
    policy_name: String,
    queues: BTreeMap<TaskRequirements, TaskQueue>,
    /// Queues that have a task that may be sent.
    ready: BTreeSet<TaskRequirements>,
    /// Demand of each place that has any.
    place_demands: BTreeMap<PlaceId, DemandSum>,
    /// Teams that have reached their quota.
    blocked: Vec<TeamName>,
    task_count: usize,
}

impl WaitingTasks {
    /// Creates an empty set whose queues use the named policy.
    pub fn new(registry: QueuePolicyRegistry, policy_name: String) -> Self {
        Self {
            registry,
            policy_name,
            queues: BTreeMap::new(),
            ready: BTreeSet::new(),
            place_demands: BTreeMap::new(),
            blocked: Vec::new(),
            task_count: 0,
        }
    }

    /// Returns the number of waiting tasks.
    pub const fn len(&self) -> usize {
        self.task_count
    }

    /// Returns the queues that have a task that may be sent, largest requirements first, grouped
    /// by requirements without the place.
    pub fn ready_queues(&self) -> Vec<ReadyQueues> {
        let mut grouped: Vec<ReadyQueues> = Vec::new();
        for requirements in self.ready.iter().rev() {
            match grouped.last_mut() {
                Some(queues) if differ_only_in_place(queues[0], *requirements) => {
                    queues.push(*requirements)
                }
                Some(_) | None => grouped.push(ReadyQueues::from_slice(&[*requirements])),
            }
        }
        grouped
    }

    /// Returns the demand of teams within their quota by place, in descending place number.
    pub fn demands(&self) -> impl Iterator<Item = (PlaceId, SlotDemand)> {
        self.place_demands.iter().rev().map(|(place, sum)| {
            let demand = SlotDemand {
                plain: u32::try_from(sum.plain).unwrap_or(u32::MAX),
                accelerated: u32::try_from(sum.accelerated).unwrap_or(u32::MAX),
            };
            (*place, demand)
        })
    }

    /// Adds waiting tasks of a job. They are sent in the sequence of `indices`, before tasks of the
    /// job that are already waiting.
    pub fn push(&mut self, requirements: TaskRequirements, indices: &[u32], entry: QueueEntry) {
        self.task_count += indices.len();
        let queue = self.queues.entry(requirements).or_insert_with(|| {
            let policy = self
                .registry
                .create(&self.policy_name)
                .expect("the policy is registered");
            let mut queue = TaskQueue {
                policy,
                groups: FxHashMap::default(),
                tasks: 0,
                teams: FxHashMap::default(),
                weight: 0,
                normalized_service: Duration::ZERO,
                counted_demand: DemandSum::default(),
            };
            for team in &self.blocked {
                queue.policy.set_blocked(team, true);
            }
            queue
        });
        queue.tasks += indices.len();
        let serial = entry.serial;
        if let Some(group) = queue.groups.get_mut(&serial) {
            group.indices.extend(indices.iter().rev());
            self.update_queue(requirements);
            return;
        }
        let indices = indices.iter().rev().copied().collect();
        let team = entry.team.clone();
        queue.add_team_job(&team, entry.weight.max(1));
        queue.groups.insert(serial, WaitingGroup { indices, team });
        queue.policy.insert(entry);
        self.update_queue(requirements);
    }

    /// Returns the work ahead of a job if it were added now.
    pub fn work_ahead(&self, requirements: TaskRequirements, entry: &QueueEntry) -> WorkAhead {
        match self.queues.get(&requirements) {
            Some(queue) => queue.policy.work_ahead(entry),
            None => WorkAhead::OwnTeam(entry.remaining),
        }
    }

    /// Returns the queue to send from next, out of queues that differ only in their places, and the
    /// job whose task is next in it.
    ///
    /// The queue with the least work sent per weight is chosen, so that a place with many tasks does
    /// not starve others that share workers with it.
    pub fn next(&self, queues: &[TaskRequirements]) -> Option<(TaskRequirements, TicketSerial)> {
        let mut best: Option<(Duration, TaskRequirements, TicketSerial)> = None;
        for requirements in queues {
            let Some(queue) = self.queues.get(requirements) else {
                continue;
            };
            let Some(serial) = queue.policy.next() else {
                continue;
            };
            if best.is_none_or(|(normalized_service, _, _)| {
                queue.normalized_service < normalized_service
            }) {
                best = Some((queue.normalized_service, *requirements, serial));
            }
        }
        best.map(|(_, requirements, serial)| (requirements, serial))
    }

    /// Removes the next task of a job and charges its expected run time to the queue.
    pub fn take(
        &mut self,
        requirements: TaskRequirements,
        serial: TicketSerial,
        work: Duration,
    ) -> Option<u32> {
        let queue = self.queues.get_mut(&requirements)?;
        let group = queue.groups.get_mut(&serial)?;
        let index = group.indices.pop()?;
        self.task_count -= 1;
        queue.tasks -= 1;
        queue.policy.charge(serial, work);
        queue.normalized_service += work / queue.weight.max(1);
        if group.indices.is_empty() {
            let team = group.team.clone();
            queue.groups.remove(&serial);
            queue.policy.remove(serial);
            queue.remove_team_job(&team);
        }
        self.update_queue(requirements);
        Some(index)
    }

    /// Removes the waiting tasks of a job that have any of the given requirements.
    ///
    /// Returns the number of queues and tasks visited.
    pub fn remove_job(
        &mut self,
        serial: TicketSerial,
        requirements: &BTreeSet<TaskRequirements>,
    ) -> u64 {
        let mut steps = 0;
        for required in requirements {
            let Some(queue) = self.queues.get_mut(required) else {
                continue;
            };
            steps += 1;
            if let Some(group) = queue.groups.remove(&serial) {
                steps += group.indices.len() as u64;
                self.task_count -= group.indices.len();
                queue.tasks -= group.indices.len();
                queue.policy.remove(serial);
                queue.remove_team_job(&group.team);
            }
            self.update_queue(*required);
        }
        steps
    }

    /// Sets whether a team has reached its quota.
    pub fn set_blocked(&mut self, team: &TeamName, blocked: bool) {
        self.blocked.retain(|other| other != team);
        if blocked {
            self.blocked.push(team.clone());
        }
        for queue in self.queues.values_mut() {
            queue.policy.set_blocked(team, blocked);
        }
        let affected: Vec<TaskRequirements> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.teams.contains_key(team))
            .map(|(requirements, _)| *requirements)
            .collect();
        for requirements in affected {
            self.update_queue(requirements);
        }
    }

    /// Updates the demand and readiness of a queue, and removes the queue if it is empty.
    fn update_queue(&mut self, requirements: TaskRequirements) {
        let Some(queue) = self.queues.get_mut(&requirements) else {
            return;
        };
        let ready = queue.policy.next().is_some();
        let counted_demand = queue.demand(requirements);
        let previous = std::mem::replace(&mut queue.counted_demand, counted_demand);
        let empty = queue.groups.is_empty();
        let place_demand = self.place_demands.entry(requirements.place).or_default();
        place_demand.plain = place_demand.plain + counted_demand.plain - previous.plain;
        place_demand.accelerated =
            place_demand.accelerated + counted_demand.accelerated - previous.accelerated;
        if *place_demand == DemandSum::default() {
            self.place_demands.remove(&requirements.place);
        }
        if !ready {
            self.ready.remove(&requirements);
        } else if !self.ready.contains(&requirements) {
            self.mark_ready(requirements);
        }
        if empty && requirements != TaskRequirements::default() {
            self.queues.remove(&requirements);
        }
    }

    /// Marks a queue as ready, at the minimum normalized service of the ready queues that differ
    /// from it only in place, so that it starts without credit or debt.
    fn mark_ready(&mut self, requirements: TaskRequirements) {
        let others = requirements.at(PlaceId::EVERYWHERE)..=requirements.at(PlaceId::MAX);
        let mut normalized_service: Option<Duration> = None;
        for other in self.ready.range(others) {
            let other = self.queues[other].normalized_service;
            normalized_service = Some(normalized_service.map_or(other, |least| least.min(other)));
        }
        if let Some(queue) = self.queues.get_mut(&requirements) {
            queue.normalized_service = normalized_service.unwrap_or_default();
        }
        self.ready.insert(requirements);
    }
}

/// Returns whether two requirements are equal except for the place.
fn differ_only_in_place(left: TaskRequirements, right: TaskRequirements) -> bool {
    left.at(PlaceId::EVERYWHERE) == right.at(PlaceId::EVERYWHERE)
}
