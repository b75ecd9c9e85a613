//! Slot counts, demand and waiting jobs per place (set of failure domains that may run a task).

use crate::job::JobRecord;
use crate::names::DomainName;
use crate::places::PlaceId;
use crate::slots::SlotCounts;

use super::DispatchKernel;
use super::waiting::SlotDemand;

/// Divisor of a peer's idle slots that gives the number it is expected to lend. A lender rounds up;
/// this estimate rounds down.
const LENDABLE_DIVISOR: u32 = 2;

/// Slots that the waiting tasks of one place need.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceDemand {
    /// Place.
    pub place: PlaceId,
    /// Number of slots needed.
    pub demand: SlotDemand,
}

impl DispatchKernel {
    /// Returns the counts of the slots that tasks of a place may use.
    pub(super) fn slot_counts_at(&self, place: PlaceId) -> SlotCounts {
        if place == PlaceId::EVERYWHERE {
            return self.slots.counts();
        }
        self.slots
            .counts_in(|domain| self.places.allows(place, domain))
    }

    /// Returns the number of slots available to tasks of a place.
    ///
    /// A host outside the place owns none of its slots; for it, the slots that peers there could
    /// lend are included.
    pub(super) fn usable_slots_at(&self, place: PlaceId) -> u32 {
        let counts = self.slot_counts_at(place);
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

    /// Returns the demand of each place for the kinds of slot of which none is idle.
    ///
    /// Restricted places come before [`PlaceId::EVERYWHERE`].
    pub(super) fn unmet_demands(&self) -> Vec<PlaceDemand> {
        let mut unmet = Vec::new();
        for (place, mut demand) in self.waiting.demands() {
            let counts = self.slot_counts_at(place);
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

    /// Returns the part of the demands that slots of a failure domain could satisfy.
    pub(super) fn demand_in(&self, demands: &[PlaceDemand], domain: &DomainName) -> SlotDemand {
        let mut total = SlotDemand::default();
        for place_demand in demands {
            if self.places.allows_name(place_demand.place, domain) {
                total.plain = total.plain.saturating_add(place_demand.demand.plain);
                total.accelerated = total
                    .accelerated
                    .saturating_add(place_demand.demand.accelerated);
            }
        }
        total
    }

    /// Returns the demand of waiting tasks that slots of this failure domain could satisfy.
    pub(super) fn local_demand(&self) -> SlotDemand {
        let demands: Vec<PlaceDemand> = self
            .waiting
            .demands()
            .map(|(place, demand)| PlaceDemand { place, demand })
            .collect();
        self.demand_in(&demands, &self.identity.domain)
    }

    /// Subtracts slots requested from a failure domain from the demands that they could satisfy.
    pub(super) fn subtract_demand(
        &self,
        demands: &mut [PlaceDemand],
        domain: &DomainName,
        mut requested: SlotDemand,
    ) {
        for place_demand in demands {
            if !self.places.allows_name(place_demand.place, domain) {
                continue;
            }
            let plain = place_demand.demand.plain.min(requested.plain);
            let accelerated = place_demand.demand.accelerated.min(requested.accelerated);
            place_demand.demand.plain -= plain;
            place_demand.demand.accelerated -= accelerated;
            requested.plain -= plain;
            requested.accelerated -= accelerated;
        }
    }

    /// Requeues the waiting tasks of active jobs whose team was assigned another place.
    pub(super) fn relocate_waiting_jobs(&mut self) {
        for serial in self.outcomes.active_serials() {
            let Some(entry) = self.outcomes.get_mut(serial) else {
                continue;
            };
            let JobRecord::Active(job) = &mut entry.record else {
                continue;
            };
            let place = self.places.team_place(&job.team);
            if place == job.place {
                continue;
            }
            self.waiting.remove_job(serial, &job.waiting_requirements());
            job.place = place;
            let groups = job.waiting_groups();
            let mut entries = Vec::with_capacity(groups.len());
            for (requirements, indices) in groups {
                let entry = job.queue_entry(indices.len());
                entries.push((requirements, indices, entry));
            }
            for (requirements, indices, entry) in entries {
                self.push_waiting(requirements, &indices, entry);
            }
        }
    }
}
