//! Settings of membership.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of [`MembershipKernel`](super::MembershipKernel).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Time between two regular rounds of heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Hosts of the own failure domain that get a heartbeat in each regular round.
    pub domain_fan_out: usize,
    /// Number of rounds from one heartbeat to another failure domain to the next.
    pub cross_domain_rounds: u64,
    /// Number of rounds from one heartbeat to a suspect host to the next.
    pub suspect_probe_rounds: u64,
    /// Number of rounds from one heartbeat to an unanswered seed address to the next.
    pub seed_rounds: u64,
    /// Hosts of the own failure domain that get a heartbeat in each early round.
    pub early_fan_out: usize,
    /// Shortest time between two rounds, in milliseconds.
    pub early_gap_ms: u64,
    /// Time after which one more early round is allowed, in milliseconds.
    pub early_refill_ms: u64,
    /// Number of early rounds that may follow each other closely.
    pub early_burst: u32,
    /// Largest number of records of other members in one message.
    pub max_member_rumours: usize,
    /// Largest number of worker signs in one message.
    pub max_worker_news: usize,
    /// Largest number of team demands in one message.
    pub max_demands: usize,
    /// Failed sendings in a row after which a host is suspect.
    pub failed_sends_limit: u32,
    /// Silence in rounds, for each member of the own failure domain, after which a host of the
    /// own failure domain is suspect.
    pub domain_silence_rounds: u32,
    /// Silence in rounds, for each known member, after which a host of another failure domain is
    /// suspect.
    pub cross_silence_rounds: u32,
    /// Shortest silence in rounds after which a host is suspect.
    pub min_silence_rounds: u32,
    /// Longest lifetime of a ticket, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// Time for which gone and silent incarnations are remembered, in milliseconds; at least the
    /// lifetime of a ticket counts.
    pub retention_ms: u64,
    /// Largest number of remembered incarnations.
    pub max_members: usize,
    /// Time after which a fetch of the configuration is tried at another host, in milliseconds.
    pub fetch_timeout_ms: u64,
    /// Time for which the platform's list cannot overrule a worker's own leaving sign unless the
    /// list showed the worker leaving in between, in milliseconds.
    pub worker_sign_hold_ms: u64,
    /// Configured addresses of siblings.
    pub seeds: Vec<SocketAddr>,
    /// Faults that tests switch on to see the invariants fail.
    pub faults: MembershipFaults,
}

/// Faults of the mechanism that tests switch on to see the invariants fail.
///
/// Everything is off by default, and no settings file can switch it on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembershipFaults {
    /// Concludes from silence that an incarnation is gone.
    pub gone_from_silence: bool,
    /// Puts an older generation into force.
    pub obey_older_generation: bool,
    /// Lets any newer list overrule a worker's own leaving sign.
    pub obey_lagging_list: bool,
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
            max_member_rumours: 3,
            max_worker_news: 64,
            max_demands: 4,
            failed_sends_limit: 2,
            domain_silence_rounds: 3,
            cross_silence_rounds: 4,
            min_silence_rounds: 20,
            ticket_lifetime_ms: 600_000,
            retention_ms: 6 * 3_600_000,
            max_members: 4_096,
            fetch_timeout_ms: 1_000,
            worker_sign_hold_ms: 30_000,
            seeds: Vec::new(),
            faults: MembershipFaults::default(),
        }
    }
}

impl MembershipSettings {
    /// Returns the time between two regular rounds.
    pub(super) const fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval_ms)
    }

    /// Returns the time for which gone and silent incarnations are remembered.
    pub(super) fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms.max(self.ticket_lifetime_ms))
    }

    /// Returns the longest lifetime of a ticket.
    pub(super) const fn ticket_lifetime(&self) -> Duration {
        Duration::from_millis(self.ticket_lifetime_ms)
    }

    /// Returns the silence after which a host is suspect, with `members` hosts that share the
    /// heartbeats and `rounds_per_member` rounds for each of them.
    pub(super) fn silence_limit(&self, members: usize, rounds_per_member: u32) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let rounds = members.saturating_mul(rounds_per_member);
        self.heartbeat_interval() * rounds.max(self.min_silence_rounds)
    }
}
