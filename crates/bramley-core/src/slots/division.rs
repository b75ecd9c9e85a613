//! Division of a worker's slots between the entry hosts of its failure domain.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::{HostName, WorkerName};

/// Returns the positions of `hosts` in the order in which they own slots of `worker`.
///
/// The order follows highest-random-weight hashing, so that a host that comes or goes moves only
/// the slots that it gains or loses, as far as equal shares allow.
#[must_use]
pub fn rank_hosts(worker: &WorkerName, hosts: &[HostName]) -> Vec<usize> {
    let seed = xxh3_64_with_seed(worker.as_str().as_bytes(), 0);
    let mut ranked: Vec<(u64, usize)> = hosts
        .iter()
        .enumerate()
        .map(|(position, host)| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), position))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, position)| position).collect()
}

/// Returns the position in `ranked` order that owns a slot.
///
/// Slots that carry accelerators all belong to the first host, so that a task that needs several
/// accelerators can be placed by one host. The other slots go around the hosts, beginning after
/// the first host if it owns accelerators.
#[must_use]
pub fn owner_of_slot(ranked: &[usize], slot: u32, accelerators: u32) -> Option<usize> {
    if ranked.is_empty() {
        return None;
    }
    if slot < accelerators {
        return Some(ranked[0]);
    }
    let turn = if accelerators > 0 {
        slot - accelerators + 1
    } else {
        slot
    };
    Some(ranked[turn as usize % ranked.len()])
}
