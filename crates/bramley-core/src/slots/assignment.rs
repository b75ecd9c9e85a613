//! Assignment of a worker's slots to the entry hosts of its failure domain.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::{HostName, WorkerName};

/// Ranks `hosts` for the assignment of `worker`'s slots and returns their positions in that order.
///
/// The ranking uses rendezvous (highest random weight) hashing, so that adding or removing a host
/// reassigns only the slots that it gains or loses, as far as equal shares allow.
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

/// Returns the host, as an element of `ranked`, that owns a slot.
///
/// All slots with accelerators belong to the first host, so that one host can place a task that
/// needs several accelerators. The other slots are assigned round-robin, starting after the first
/// host if it owns accelerators.
#[must_use]
pub fn owner_of_slot(ranked: &[usize], slot: u32, accelerators: u32) -> Option<usize> {
    if ranked.is_empty() {
        return None;
    }
    if slot < accelerators {
        return Some(ranked[0]);
    }
    let offset = if accelerators > 0 {
        slot - accelerators + 1
    } else {
        slot
    };
    Some(ranked[offset as usize % ranked.len()])
}
