//! Selection of the member records that a heartbeat carries.

use std::ops::Bound;

use super::record::{MemberRecord, MemberState};
use super::settings::MembershipSettings;
use super::table::MemberTable;
use crate::units::IncarnationId;

impl MemberTable {
    /// Selects records for one message: recent changes, least often sent first, then the next
    /// members in round-robin order.
    pub fn select_records(&mut self, settings: &MembershipSettings) -> Vec<MemberRecord> {
        let limit = settings.max_gossip_records;
        let recent_limit = limit.saturating_sub(1);
        let mut selected = self.recent_changes(recent_limit);
        for incarnation in &selected {
            if let Some(entry) = self.entries.get_mut(incarnation) {
                entry.sends_left -= 1;
            }
        }
        for _ in selected.len()..limit {
            match self.next_in_rotation() {
                Some(incarnation) if !selected.contains(&incarnation) => selected.push(incarnation),
                _ => break,
            }
        }
        let mut records = Vec::with_capacity(selected.len());
        for incarnation in selected {
            records.push(self.entries[&incarnation].record.clone());
        }
        records
    }

    fn recent_changes(&self, limit: usize) -> Vec<IncarnationId> {
        let mut recent = Vec::new();
        for (incarnation, entry) in &self.entries {
            if entry.sends_left > 0 {
                recent.push((entry.sends_left, *incarnation));
            }
        }
        recent.sort_unstable_by(|left, right| right.cmp(left));
        recent.truncate(limit);
        recent
            .into_iter()
            .map(|(_, incarnation)| incarnation)
            .collect()
    }

    fn next_in_rotation(&mut self) -> Option<IncarnationId> {
        let after_last = (Bound::Excluded(self.rotation_cursor), Bound::Unbounded);
        let later = self.entries.range(after_last);
        let next = later
            .chain(self.entries.iter())
            .find(|(_, entry)| entry.record.state != MemberState::Gone)
            .map(|(incarnation, _)| *incarnation)?;
        self.rotation_cursor = next;
        Some(next)
    }
}
