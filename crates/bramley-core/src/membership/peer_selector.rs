//! Selection of the receivers of heartbeats.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::record::{MemberRecord, MemberState};
use super::settings::MembershipSettings;
use super::table::{MemberEntry, MemberTable};
use crate::names::DomainName;
use crate::units::IncarnationId;

/// Maximum number of failed heartbeats that are retried in one round.
const MAX_RETRIES: usize = 2;

/// Number of consecutive failed heartbeats after which a leaving host receives no more.
const LEAVING_FAILED_SENDS_LIMIT: u32 = 2;

/// Selects the receivers of the heartbeats of each round.
///
/// Members of the same failure domain are visited in shuffled round-robin order, which bounds the
/// time between two heartbeats to one of them. Other domains, suspects and seed addresses without a
/// known member receive one heartbeat every few rounds.
#[derive(Debug, Default)]
pub struct PeerSelector {
    domain_queue: Vec<IncarnationId>,
    retries: Vec<IncarnationId>,
    round: u64,
}

impl PeerSelector {
    /// Creates a selector with a random initial round number, so that hosts started together do not
    /// stay synchronised.
    #[must_use]
    pub fn new(rng: &mut impl Rng) -> Self {
        Self {
            round: rng.random_range(0..1_000),
            ..Self::default()
        }
    }

    /// Retries an incarnation in the next regular round.
    pub fn retry(&mut self, incarnation: IncarnationId) {
        if !self.retries.contains(&incarnation) {
            self.retries.push(incarnation);
        }
    }

    /// Selects the addresses of a regular round.
    pub fn select_regular(
        &mut self,
        own: &MemberRecord,
        table: &MemberTable,
        settings: &MembershipSettings,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.round += 1;
        let mut addresses = Vec::new();
        self.add_retries(table, &mut addresses);
        self.add_domain_peers(own, table, settings.domain_fan_out, rng, &mut addresses);
        if self.is_round_due(settings.cross_domain_rounds, 0) {
            add_cross_domain_peer(own, table, rng, &mut addresses);
        }
        if self.is_round_due(settings.suspect_probe_rounds, 1) {
            add_suspect_peer(table, rng, &mut addresses);
        }
        if addresses.is_empty() || self.is_round_due(settings.seed_rounds, 2) {
            add_seed_address(own, table, &settings.seeds, rng, &mut addresses);
        }
        addresses
    }

    /// Selects the addresses of an early round, including another failure domain if
    /// `cross_domain` is set.
    pub fn select_early(
        &mut self,
        own: &MemberRecord,
        table: &MemberTable,
        settings: &MembershipSettings,
        cross_domain: bool,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        self.add_domain_peers(own, table, settings.early_fan_out, rng, &mut addresses);
        if cross_domain {
            add_cross_domain_peer(own, table, rng, &mut addresses);
        }
        addresses
    }

    const fn is_round_due(&self, rounds: u64, phase: u64) -> bool {
        let rounds = if rounds == 0 { 1 } else { rounds };
        self.round % rounds == phase % rounds
    }

    fn add_retries(&mut self, table: &MemberTable, addresses: &mut Vec<SocketAddr>) {
        let count = self.retries.len().min(MAX_RETRIES);
        for incarnation in self.retries.drain(..count) {
            if let Some(entry) = table.entry(incarnation)
                && is_reachable(entry)
            {
                add_address(entry.record.peer_address, addresses);
            }
        }
    }

    fn add_domain_peers(
        &mut self,
        own: &MemberRecord,
        table: &MemberTable,
        count: usize,
        rng: &mut impl Rng,
        addresses: &mut Vec<SocketAddr>,
    ) {
        let target_len = addresses.len() + count;
        let mut refilled = false;
        while addresses.len() < target_len {
            let Some(incarnation) = self.domain_queue.pop() else {
                if refilled {
                    return;
                }
                refilled = true;
                self.refill_domain_queue(own, table, rng);
                continue;
            };
            if let Some(entry) = table.entry(incarnation)
                && is_reachable(entry)
            {
                add_address(entry.record.peer_address, addresses);
            }
        }
    }

    fn refill_domain_queue(&mut self, own: &MemberRecord, table: &MemberTable, rng: &mut impl Rng) {
        for entry in table.entries() {
            if entry.record.domain == own.domain && is_reachable(entry) {
                self.domain_queue.push(entry.record.incarnation);
            }
        }
        self.domain_queue.shuffle(rng);
    }
}

const fn is_reachable(entry: &MemberEntry) -> bool {
    match entry.record.state {
        MemberState::Alive => true,
        // A leaving host may exit without an announcement and never becomes suspect.
        MemberState::Leaving => entry.failed_sends < LEAVING_FAILED_SENDS_LIMIT,
        MemberState::Suspect | MemberState::Gone => false,
    }
}

fn add_address(address: SocketAddr, addresses: &mut Vec<SocketAddr>) {
    if !addresses.contains(&address) {
        addresses.push(address);
    }
}

/// Adds one member of a random other failure domain. The domain is drawn first, so that small
/// domains are chosen as often as large ones.
fn add_cross_domain_peer(
    own: &MemberRecord,
    table: &MemberTable,
    rng: &mut impl Rng,
    addresses: &mut Vec<SocketAddr>,
) {
    let mut domains: Vec<&DomainName> = Vec::new();
    for entry in table.entries() {
        let domain = &entry.record.domain;
        if *domain != own.domain && is_reachable(entry) && !domains.contains(&domain) {
            domains.push(domain);
        }
    }
    let Some(domain) = domains.choose(rng) else {
        return;
    };
    let mut candidates = Vec::new();
    for entry in table.entries() {
        if entry.record.domain == **domain && is_reachable(entry) {
            candidates.push(entry.record.peer_address);
        }
    }
    if let Some(address) = candidates.choose(rng) {
        add_address(*address, addresses);
    }
}

fn add_suspect_peer(table: &MemberTable, rng: &mut impl Rng, addresses: &mut Vec<SocketAddr>) {
    let mut suspects = Vec::new();
    for entry in table.entries() {
        if entry.record.state == MemberState::Suspect {
            suspects.push(entry.record.peer_address);
        }
    }
    if let Some(address) = suspects.choose(rng) {
        add_address(*address, addresses);
    }
}

fn add_seed_address(
    own: &MemberRecord,
    table: &MemberTable,
    seeds: &[SocketAddr],
    rng: &mut impl Rng,
    addresses: &mut Vec<SocketAddr>,
) {
    let mut unknown_seeds = Vec::new();
    for seed in seeds {
        let is_known = *seed == own.peer_address || table.entry_by_address(*seed).is_some();
        if !is_known {
            unknown_seeds.push(*seed);
        }
    }
    if let Some(address) = unknown_seeds.choose(rng) {
        add_address(*address, addresses);
    }
}
