//! What places mean for counts, demand and waiting jobs.

use crate::job::JobRecord;
use crate::names::DomainName;
use crate::places::PlaceId;
use crate::slots::SlotCounts;

use super::DispatchKernel;
use super::waiting::SlotDemand;

/// Part of a peer's idle slots, as one over this number, that it lends at most.
const LENDABLE_DIVISOR: u32 = 2;

/// Slots that waiting tasks of one place lack.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceDemand {
    /// Place.
    pub place: PlaceId,
    /// Slots that are lacking.
    pub demand: SlotDemand,
}

impl DispatchKernel {
    /// Returns the counts of the slot rights that tasks of a place may use.
    pub(super) fn counts_at(&self, place: PlaceId) -> SlotCounts {
        if place == PlaceId::EVERYWHERE {
            return self.slots.counts();
        }
        self.slots
            .counts_in(|domain| self.places.allows(place, domain))
    }

    /// Returns the number of slots that tasks of a place can count on.
    ///
    /// A host outside the place owns none of its slots, and counts on what peers there could lend.
    pub(super) fn slots_at(&self, place: PlaceId) -> u32 {
        let counts = self.counts_at(place);
        let mut slots = counts.owned.saturating_add(counts.borrowed);
        if self.places.allows_name(place, &self.identity.domain) {
            return slots;
        }
        for peer in self.fleet.peers() {
            if peer.reachable && self.places.allows_name(place, &peer.domain) {
                slots = slots.saturating_add(peer.idle_slots / LENDABLE_DIVISOR);
            }
        }
        slots
    }

    /// Returns the demand of each place of whose kind of slot none is idle, restricted places first.
    pub(super) fn unmet_demands(&self) -> Vec<PlaceDemand> {
        let mut unmet = Vec::new();
        for (place, mut demand) in self.waiting.demands() {
            let counts = self.counts_at(place);
            if counts.idle_plain > 0 {
                demand.plain = 0;
            }
            if counts.idle_accelerated > 0 {
                demand.accelerated = 0;
            }
            if demand != SlotDemand::default() {
                unmet.push(PlaceDemand { place, demand });
            }
        }
        unmet
    }

    /// Returns the part of demands that slots of a failure domain could meet.
    pub(super) fn demand_in(&self, demands: &[PlaceDemand], domain: &DomainName) -> SlotDemand {
        let mut total = SlotDemand::default();
        for part in demands {
            if self.places.allows_name(part.place, domain) {
                total.plain = total.plain.saturating_add(part.demand.plain);
                total.accelerated = total.accelerated.saturating_add(part.demand.accelerated);
            }
        }
        total
    }

    /// Returns the waiting demand that slots of the own failure domain could meet.
    pub(super) fn own_demand(&self) -> SlotDemand {
        let demands: Vec<PlaceDemand> = self
            .waiting
            .demands()
            .map(|(place, demand)| PlaceDemand { place, demand })
            .collect();
        self.demand_in(&demands, &self.identity.domain)
    }

    /// Subtracts slots that were asked for in a failure domain from the demands they could meet.
    pub(super) fn settle_demands(
        &self,
        demands: &mut [PlaceDemand],
        domain: &DomainName,
        mut asked: SlotDemand,
    ) {
        for part in demands {
            if !self.places.allows_name(part.place, domain) {
                continue;
            }
            let plain = part.demand.plain.min(asked.plain);
            let accelerated = part.demand.accelerated.min(asked.accelerated);
            part.demand.plain -= plain;
            part.demand.accelerated -= accelerated;
            asked.plain -= plain;
            asked.accelerated -= accelerated;
        }
    }

    /// Moves the waiting tasks of teams whose places changed.
    pub(super) fn move_waiting_jobs(&mut self) {
        for serial in self.book.active_serials() {
            let Some(entry) = self.book.get_mut(serial) else {
                continue;
            };
            let JobRecord::Active(job) = &mut entry.record else {
                continue;
            };
            let place = self.places.place_of(&job.team);
            if place == job.place {
                continue;
            }
            self.waiting.remove_job(serial, &job.waiting_needs());
            job.place = place;
            let groups = job.waiting_groups();
            let mut entries = Vec::with_capacity(groups.len());
            for (needs, indices) in groups {
                let entry = job.queue_entry(indices.len());
                entries.push((needs, indices, entry));
            }
            for (needs, indices, entry) in entries {
                self.push_waiting(needs, &indices, entry);
            }
        }
    }
}
