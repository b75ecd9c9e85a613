//! Settings of membership.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of [`MembershipKernel`](super::MembershipKernel).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Interval between two regular heartbeat rounds, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Number of hosts in the same failure domain that receive a heartbeat in each regular round.
    pub domain_fan_out: usize,
    /// A heartbeat goes to another failure domain once in this number of rounds.
    pub cross_domain_rounds: u64,
    /// A heartbeat goes to a suspect host once in this number of rounds.
    pub suspect_probe_rounds: u64,
    /// A heartbeat goes to a seed address without a known member once in this number of rounds.
    pub seed_rounds: u64,
    /// Number of hosts in the same failure domain that receive a heartbeat in each early round.
    pub early_fan_out: usize,
    /// Minimum gap before an early round, in milliseconds; also the delay after a failed fetch.
    pub early_gap_ms: u64,
    /// Period in which the token bucket for early rounds gains one token, in milliseconds.
    pub early_refill_ms: u64,
    /// Capacity of the token bucket for early rounds.
    pub early_burst: u32,
    /// Maximum number of records of other members in one message.
    pub max_gossip_records: usize,
    /// Maximum number of workers with updates in one message.
    pub max_worker_updates: usize,
    /// Maximum number of team demands in one message.
    pub max_demands: usize,
    /// Number of consecutive failed heartbeats after which a host becomes suspect.
    pub failed_sends_limit: u32,
    /// Suspicion timeout for hosts of the same failure domain, in rounds per member of the domain.
    pub domain_suspicion_rounds: u32,
    /// Suspicion timeout for hosts of other failure domains, in rounds per known member.
    pub cross_domain_suspicion_rounds: u32,
    /// Minimum suspicion timeout, in rounds.
    pub min_suspicion_rounds: u32,
    /// Maximum lifetime of a ticket, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// Time for which gone and silent incarnations are retained, in milliseconds; never shorter
    /// than the lifetime of a ticket.
    pub retention_ms: u64,
    /// Maximum number of retained incarnations.
    pub max_members: usize,
    /// Timeout of a configuration fetch, after which another host is tried, in milliseconds.
    pub fetch_timeout_ms: u64,
    /// Time for which the platform's list cannot override a worker's own leave notice, in
    /// milliseconds. It ends early once a list has shown the worker as leaving.
    pub leave_notice_hold_ms: u64,
    /// Configured addresses of other entry hosts.
    pub seeds: Vec<SocketAddr>,
    /// Fault injection for tests of the invariants.
    pub faults: MembershipFaults,
}

/// Faults that tests inject to prove that the invariant checks detect them.
///
/// All are off by default, and no settings file can enable them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembershipFaults {
    /// Marks silent incarnations as gone instead of suspect.
    pub mark_silent_as_gone: bool,
    /// Puts an older generation into force.
    pub accept_older_generation: bool,
    /// Lets any newer list override a worker's own leave notice.
    pub accept_stale_list: bool,
    /// Sends no early rounds.
    pub no_early_rounds: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 500,
            domain_fan_out: 1,
            cross_domain_rounds: 4,
            suspect_probe_rounds: 4,
            seed_rounds: 4,
            early_fan_out: 2,
            early_gap_ms: 100,
            early_refill_ms: 1_000,
            early_burst: 5,
            max_gossip_records: 3,
            max_worker_updates: 64,
            max_demands: 4,
            failed_sends_limit: 2,
            domain_suspicion_rounds: 3,
            cross_domain_suspicion_rounds: 4,
            min_suspicion_rounds: 20,
            ticket_lifetime_ms: 600_000,
            retention_ms: 6 * 3_600_000,
            max_members: 4_096,
            fetch_timeout_ms: 1_000,
            leave_notice_hold_ms: 30_000,
            seeds: Vec::new(),
            faults: MembershipFaults::default(),
        }
    }
}

impl MembershipSettings {
    /// Returns the interval between two regular rounds.
    pub(super) const fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval_ms)
    }

    /// Returns the time for which gone and silent incarnations are retained.
    pub(super) fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms.max(self.ticket_lifetime_ms))
    }

    /// Returns the maximum lifetime of a ticket.
    pub(super) const fn ticket_lifetime(&self) -> Duration {
        Duration::from_millis(self.ticket_lifetime_ms)
    }

    /// Returns the silence after which a host becomes suspect.
    ///
    /// It grows with the number of `members` among which heartbeats are spread, by
    /// `rounds_per_member` rounds for each.
    pub(super) fn suspicion_timeout(&self, members: usize, rounds_per_member: u32) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let rounds = members.saturating_mul(rounds_per_member);
        self.heartbeat_interval() * rounds.max(self.min_suspicion_rounds)
    }
}
