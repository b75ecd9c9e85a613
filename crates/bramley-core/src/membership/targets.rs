//! To whom heartbeats go.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::record::{MemberRecord, MemberState};
use super::settings::MembershipSettings;
use super::table::{MemberEntry, MemberTable};
use crate::names::DomainName;
use crate::units::IncarnationId;

/// Largest number of failed sendings that one round tries again.
const MAX_RETRIES: usize = 2;

/// Number of failed sendings in a row after which a leaving host gets no more heartbeats.
const LEAVING_FAILED_SENDS_LIMIT: u32 = 2;

/// Chooses to whom the heartbeats of each round go.
///
/// Members of the own failure domain take turns in a random order, so that none is left out for
/// long. Other domains, suspects and unanswered seed addresses get one heartbeat now and then.
#[derive(Debug, Default)]
pub struct TargetChooser {
    domain_queue: Vec<IncarnationId>,
    retries: Vec<IncarnationId>,
    round: u64,
}

impl TargetChooser {
    /// Makes a chooser whose first round is a random one, so that hosts started together do not
    /// stay in step.
    #[must_use]
    pub fn new(rng: &mut impl Rng) -> Self {
        Self {
            round: rng.random_range(0..1_000),
            ..Self::default()
        }
    }

    /// Tries an incarnation again in the next round.
    pub fn retry(&mut self, incarnation: IncarnationId) {
        if !self.retries.contains(&incarnation) {
            self.retries.push(incarnation);
        }
    }

    /// Chooses the addresses of a regular round.
    pub fn choose_regular(
        &mut self,
        own: &MemberRecord,
        table: &MemberTable,
        settings: &MembershipSettings,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.round += 1;
        let mut addresses = Vec::new();
        self.add_retries(table, &mut addresses);
        self.add_domain(own, table, settings.domain_fan_out, rng, &mut addresses);
        if self.is_turn(settings.cross_domain_rounds, 0) {
            add_cross(own, table, rng, &mut addresses);
        }
        if self.is_turn(settings.suspect_probe_rounds, 1) {
            add_suspect(table, rng, &mut addresses);
        }
        if addresses.is_empty() || self.is_turn(settings.seed_rounds, 2) {
            add_seed(own, table, &settings.seeds, rng, &mut addresses);
        }
        addresses
    }

    /// Chooses the addresses of an early round, across failure domains too if `wide`.
    pub fn choose_early(
        &mut self,
        own: &MemberRecord,
        table: &MemberTable,
        settings: &MembershipSettings,
        wide: bool,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        self.add_domain(own, table, settings.early_fan_out, rng, &mut addresses);
        if wide {
            add_cross(own, table, rng, &mut addresses);
        }
        addresses
    }

    const fn is_turn(&self, rounds: u64, phase: u64) -> bool {
        let rounds = if rounds == 0 { 1 } else { rounds };
        self.round % rounds == phase % rounds
    }

    fn add_retries(&mut self, table: &MemberTable, addresses: &mut Vec<SocketAddr>) {
        let count = self.retries.len().min(MAX_RETRIES);
        for incarnation in self.retries.drain(..count) {
            if let Some(entry) = table.entry(incarnation)
                && is_in_touch(entry)
            {
                add_address(entry.record.peer_address, addresses);
            }
        }
    }

    fn add_domain(
        &mut self,
        own: &MemberRecord,
        table: &MemberTable,
        count: usize,
        rng: &mut impl Rng,
        addresses: &mut Vec<SocketAddr>,
    ) {
        let wanted = addresses.len() + count;
        let mut refilled = false;
        while addresses.len() < wanted {
            let Some(incarnation) = self.domain_queue.pop() else {
                if refilled {
                    return;
                }
                refilled = true;
                self.refill_domain_queue(own, table, rng);
                continue;
            };
            if let Some(entry) = table.entry(incarnation)
                && is_in_touch(entry)
            {
                add_address(entry.record.peer_address, addresses);
            }
        }
    }

    fn refill_domain_queue(&mut self, own: &MemberRecord, table: &MemberTable, rng: &mut impl Rng) {
        for entry in table.entries() {
            if entry.record.domain == own.domain && is_in_touch(entry) {
                self.domain_queue.push(entry.record.incarnation);
            }
        }
        self.domain_queue.shuffle(rng);
    }
}

const fn is_in_touch(entry: &MemberEntry) -> bool {
    match entry.record.state {
        MemberState::Alive => true,
        // A leaving host may end without a word; it never becomes suspect.
        MemberState::Leaving => entry.failed_sends < LEAVING_FAILED_SENDS_LIMIT,
        MemberState::Suspect | MemberState::Gone => false,
    }
}

fn add_address(address: SocketAddr, addresses: &mut Vec<SocketAddr>) {
    if !addresses.contains(&address) {
        addresses.push(address);
    }
}

/// Adds one member of one other failure domain; small domains are chosen as often as large ones.
fn add_cross(
    own: &MemberRecord,
    table: &MemberTable,
    rng: &mut impl Rng,
    addresses: &mut Vec<SocketAddr>,
) {
    let mut domains: Vec<&DomainName> = Vec::new();
    for entry in table.entries() {
        let domain = &entry.record.domain;
        if *domain != own.domain && is_in_touch(entry) && !domains.contains(&domain) {
            domains.push(domain);
        }
    }
    let Some(domain) = domains.choose(rng) else {
        return;
    };
    let mut candidates = Vec::new();
    for entry in table.entries() {
        if entry.record.domain == **domain && is_in_touch(entry) {
            candidates.push(entry.record.peer_address);
        }
    }
    if let Some(address) = candidates.choose(rng) {
        add_address(*address, addresses);
    }
}

fn add_suspect(table: &MemberTable, rng: &mut impl Rng, addresses: &mut Vec<SocketAddr>) {
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

fn add_seed(
    own: &MemberRecord,
    table: &MemberTable,
    seeds: &[SocketAddr],
    rng: &mut impl Rng,
    addresses: &mut Vec<SocketAddr>,
) {
    let mut unanswered = Vec::new();
    for seed in seeds {
        let is_known = *seed == own.peer_address || table.entry_at(*seed).is_some();
        if !is_known {
            unanswered.push(*seed);
        }
    }
    if let Some(address) = unanswered.choose(rng) {
        add_address(*address, addresses);
    }
}
