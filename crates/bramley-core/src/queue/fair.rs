//! Weighted fair queueing between teams; within a team, shortest remaining work first with ageing.
//!
//! Teams are served in the order of their virtual time, which advances by the work sent divided
//! by the team's weight (start-time fair queueing). Within a team a job's rank is its acceptance
//! time plus a fraction of its remaining work. Small jobs therefore overtake large ones, but a job
//! is overtaken only by jobs accepted within that fraction of its own work after it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{QueueEntry, QueuePolicy, QueuePolicyDescriptor, QueuePolicyRegistry, WorkAhead};
use crate::names::TeamName;
use crate::units::{TicketSerial, UnixTime};

/// Divisor of the remaining work that gives the time for which a job may be overtaken.
///
/// Remaining work is summed over all tasks, but tasks run in parallel: without the division a job
/// of hundreds of tasks could be overtaken for many times its own run time.
const AGEING_DIVISOR: u32 = 4;

/// Maximum number of a team's jobs scanned to compute the work ahead of a new job.
const MAX_JOBS_SCANNED: usize = 64;

const DESCRIPTOR: QueuePolicyDescriptor = QueuePolicyDescriptor {
    name: "fair",
    summary: "Shares slots between teams by weight and serves the smallest remaining job first.",
    create: || Box::new(FairPolicy::default()),
};

/// Registers the policy.
pub(super) fn register(registry: &mut QueuePolicyRegistry) {
    registry.register(DESCRIPTOR);
}

/// Virtual time of a team, in microseconds of work per unit of weight.
type VirtualTime = u64;

/// Waiting jobs of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    virtual_time: VirtualTime,
    /// Whether the team has reached its quota.
    blocked: bool,
    /// Jobs by rank.
    jobs: BTreeSet<(UnixTime, TicketSerial)>,
    /// Expected run time of all tasks that are not sent yet.
    backlog: Duration,
}

/// A job with the rank under which it is queued.
#[derive(Debug)]
struct RankedEntry {
    entry: QueueEntry,
    rank: UnixTime,
}

/// Shares slots between teams by weight.
#[derive(Debug, Default)]
struct FairPolicy {
    teams: BTreeMap<TeamName, TeamQueue>,
    /// Teams that have jobs and are not blocked, by virtual time.
    ready: BTreeSet<(VirtualTime, TeamName)>,
    entries: FxHashMap<TicketSerial, RankedEntry>,
    /// Largest virtual time at which a team was served.
    virtual_clock: VirtualTime,
}

/// Returns the rank of a job within its team; the lowest rank is served first.
fn rank_of(entry: &QueueEntry) -> UnixTime {
    entry.submitted.after(entry.remaining / AGEING_DIVISOR)
}

impl FairPolicy {
    /// Removes a team from the ready set; call before its queue changes.
    fn remove_ready(&mut self, team: &TeamName) {
        if let Some(queue) = self.teams.get(team) {
            self.ready.remove(&(queue.virtual_time, team.clone()));
        }
    }

    /// Adds a team to the ready set if it has jobs and is not blocked.
    fn update_ready(&mut self, team: &TeamName) {
        let Some(queue) = self.teams.get(team) else {
            return;
        };
        if !queue.blocked && !queue.jobs.is_empty() {
            self.ready.insert((queue.virtual_time, team.clone()));
        }
    }
}

impl QueuePolicy for FairPolicy {
    fn insert(&mut self, entry: QueueEntry) {
        let team = entry.team.clone();
        let rank = rank_of(&entry);
        self.remove_ready(&team);
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.jobs.is_empty() {
            // A team accumulates no credit while it has no jobs.
            queue.virtual_time = queue.virtual_time.max(self.virtual_clock);
        }
        queue.jobs.insert((rank, entry.serial));
        queue.backlog += entry.remaining;
        self.entries
            .insert(entry.serial, RankedEntry { entry, rank });
        self.update_ready(&team);
    }

    fn remove(&mut self, serial: TicketSerial) {
        let Some(ranked) = self.entries.remove(&serial) else {
            return;
        };
        let team = ranked.entry.team;
        self.remove_ready(&team);
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.jobs.remove(&(ranked.rank, serial));
            queue.backlog = queue.backlog.saturating_sub(ranked.entry.remaining);
        }
        self.update_ready(&team);
    }

    fn next(&self) -> Option<TicketSerial> {
        let (_, team) = self.ready.first()?;
        self.teams[team].jobs.first().map(|(_, serial)| *serial)
    }

    fn charge(&mut self, serial: TicketSerial, work: Duration) {
        let Some(mut ranked) = self.entries.remove(&serial) else {
            return;
        };
        let team = ranked.entry.team.clone();
        self.remove_ready(&team);
        if let Some(queue) = self.teams.get_mut(&team) {
            self.virtual_clock = self.virtual_clock.max(queue.virtual_time);
            let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
            let virtual_step = micros / u64::from(ranked.entry.weight.max(1));
            queue.virtual_time = queue.virtual_time.saturating_add(virtual_step.max(1));
            queue.jobs.remove(&(ranked.rank, serial));
            let sent = work.min(ranked.entry.remaining);
            ranked.entry.remaining -= sent;
            queue.backlog = queue.backlog.saturating_sub(sent);
            ranked.rank = rank_of(&ranked.entry);
            queue.jobs.insert((ranked.rank, serial));
        }
        self.entries.insert(serial, ranked);
        self.update_ready(&team);
    }

    fn set_blocked(&mut self, team: &TeamName, blocked: bool) {
        self.remove_ready(team);
        self.teams.entry(team.clone()).or_default().blocked = blocked;
        self.update_ready(team);
    }

    fn work_ahead(&self, entry: &QueueEntry) -> WorkAhead {
        let Some(queue) = self.teams.get(&entry.team) else {
            return WorkAhead::OwnTeam(entry.remaining);
        };
        let rank = rank_of(entry);
        let mut work = entry.remaining;
        for (position, (other_rank, serial)) in queue.jobs.iter().enumerate() {
            if *other_rank > rank {
                break;
            }
            if position == MAX_JOBS_SCANNED {
                return WorkAhead::OwnTeam(entry.remaining + queue.backlog);
            }
            work += self.entries[serial].entry.remaining;
        }
        WorkAhead::OwnTeam(work)
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
