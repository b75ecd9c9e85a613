//! Fair between teams by weight; within a team, the job with the least remaining work first.
//!
//! Teams are served in the order of their virtual time, which advances by the work sent divided
//! by the team's weight (start-time fair queueing). Within a team a job's rank is its acceptance
//! time plus a part of its remaining work, so that small jobs pass large ones but no job is passed
//! by one that came later by more than that part of its own work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{JobOrder, OrderDescriptor, OrderRegistry, QueueEntry, WorkAhead};
use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};

/// Part of its remaining work, as one over this number, for which a job may be passed.
///
/// Work is the sum over all tasks, which run beside each other: without the division a job of
/// hundreds of tasks would be passed for many times the time that it takes.
const AGEING_DIVISOR: u32 = 4;

/// Jobs of a team that are looked at one by one to find the work ahead of a new job.
const MAX_JOBS_SCANNED: usize = 64;

const DESCRIPTOR: OrderDescriptor = OrderDescriptor {
    name: "fair",
    summary: "Shares slots between teams by weight and serves the smallest remaining job first.",
    create: || Box::new(FairOrder::default()),
};

/// Enters the order into a registry.
pub(super) fn register(registry: &mut OrderRegistry) {
    registry.register(DESCRIPTOR);
}

/// Virtual time of a team in microseconds of work for each unit of weight.
type VirtualTime = u64;

#[derive(Debug, Default)]
struct TeamLane {
    virtual_time: VirtualTime,
    blocked: bool,
    jobs: BTreeSet<(UnixTime, TicketSerial)>,
    backlog: Duration,
}

#[derive(Debug)]
struct RankedEntry {
    entry: QueueEntry,
    rank: UnixTime,
}

/// Jobs by team and remaining work.
#[derive(Debug, Default)]
struct FairOrder {
    lanes: BTreeMap<TeamName, TeamLane>,
    ready: BTreeSet<(VirtualTime, TeamName)>,
    entries: FxHashMap<TicketSerial, RankedEntry>,
    clock: VirtualTime,
}

fn rank_of(entry: &QueueEntry) -> UnixTime {
    entry.submitted.after(entry.remaining / AGEING_DIVISOR)
}

impl FairOrder {
    fn unlist(&mut self, team: &TeamName) {
        if let Some(lane) = self.lanes.get(team) {
            self.ready.remove(&(lane.virtual_time, team.clone()));
        }
    }

    fn relist(&mut self, team: &TeamName) {
        let Some(lane) = self.lanes.get(team) else {
            return;
        };
        if !lane.blocked && !lane.jobs.is_empty() {
            self.ready.insert((lane.virtual_time, team.clone()));
        }
    }
}

impl JobOrder for FairOrder {
    fn insert(&mut self, entry: QueueEntry) {
        let team = entry.team.clone();
        let rank = rank_of(&entry);
        self.unlist(&team);
        let lane = self.lanes.entry(team.clone()).or_default();
        if lane.jobs.is_empty() {
            // A team that was idle gets no credit for the time in which it asked for nothing.
            lane.virtual_time = lane.virtual_time.max(self.clock);
        }
        lane.jobs.insert((rank, entry.serial));
        lane.backlog += entry.remaining;
        self.entries
            .insert(entry.serial, RankedEntry { entry, rank });
        self.relist(&team);
    }

    fn remove(&mut self, serial: TicketSerial) {
        let Some(ranked) = self.entries.remove(&serial) else {
            return;
        };
        let team = ranked.entry.team;
        self.unlist(&team);
        if let Some(lane) = self.lanes.get_mut(&team) {
            lane.jobs.remove(&(ranked.rank, serial));
            lane.backlog = lane.backlog.saturating_sub(ranked.entry.remaining);
        }
        self.relist(&team);
    }

    fn next(&self) -> Option<TicketSerial> {
        let (_, team) = self.ready.first()?;
        self.lanes[team].jobs.first().map(|(_, serial)| *serial)
    }

    fn charge(&mut self, serial: TicketSerial, work: Duration) {
        let Some(mut ranked) = self.entries.remove(&serial) else {
            return;
        };
        let team = ranked.entry.team.clone();
        self.unlist(&team);
        if let Some(lane) = self.lanes.get_mut(&team) {
            self.clock = self.clock.max(lane.virtual_time);
            let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
            let step = micros / u64::from(ranked.entry.weight.max(1));
            lane.virtual_time = lane.virtual_time.saturating_add(step.max(1));
            lane.jobs.remove(&(ranked.rank, serial));
            let sent = work.min(ranked.entry.remaining);
            ranked.entry.remaining -= sent;
            lane.backlog = lane.backlog.saturating_sub(sent);
            ranked.rank = rank_of(&ranked.entry);
            lane.jobs.insert((ranked.rank, serial));
        }
        self.entries.insert(serial, ranked);
        self.relist(&team);
    }

    fn set_blocked(&mut self, team: &TeamName, blocked: bool) {
        self.unlist(team);
        self.lanes.entry(team.clone()).or_default().blocked = blocked;
        self.relist(team);
    }

    fn work_ahead(&self, entry: &QueueEntry) -> WorkAhead {
        let Some(lane) = self.lanes.get(&entry.team) else {
            return WorkAhead::OfTeam(entry.remaining);
        };
        let rank = rank_of(entry);
        let mut work = entry.remaining;
        for (position, (other, serial)) in lane.jobs.iter().enumerate() {
            if *other > rank {
                break;
            }
            if position == MAX_JOBS_SCANNED {
                return WorkAhead::OfTeam(entry.remaining + lane.backlog);
            }
            work += self.entries[serial].entry.remaining;
        }
        WorkAhead::OfTeam(work)
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
