//! When early rounds of heartbeats are sent.

use std::time::Duration;

use super::settings::MembershipSettings;
use crate::units::UnixTime;

/// Number of early rounds that one urgent item of news causes.
const EARLY_ROUNDS: u32 = 2;

/// Plans early rounds for urgent news, within an allowance that refills with time.
#[derive(Debug)]
pub struct EarlySchedule {
    next_at: UnixTime,
    rounds_left: u32,
    is_wide: bool,
    /// Time up to which the allowance is used.
    used_until: UnixTime,
}

impl EarlySchedule {
    /// Makes a schedule without a planned round.
    #[must_use]
    pub const fn new(now: UnixTime) -> Self {
        Self {
            next_at: UnixTime::NEVER,
            rounds_left: 0,
            is_wide: false,
            used_until: now,
        }
    }

    /// Returns the time of the next early round, or [`UnixTime::NEVER`].
    #[must_use]
    pub const fn next_at(&self) -> UnixTime {
        self.next_at
    }

    /// Tells whether the next early round goes to other failure domains too.
    #[must_use]
    pub const fn is_wide(&self) -> bool {
        self.is_wide
    }

    /// Plans early rounds, the first one no earlier than a gap after the last round.
    pub fn request(
        &mut self,
        wide: bool,
        last_round_at: UnixTime,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        if settings.faults.no_early_rounds {
            return;
        }
        self.rounds_left = EARLY_ROUNDS;
        self.is_wide |= wide;
        if self.next_at == UnixTime::NEVER {
            let gap = Duration::from_millis(settings.early_gap_ms);
            self.next_at = now.max(last_round_at.after(gap));
        }
    }

    /// Takes a round from the allowance if there is one, or plans the round for later.
    pub fn take_allowance(&mut self, settings: &MembershipSettings, now: UnixTime) -> bool {
        let refill = Duration::from_millis(settings.early_refill_ms);
        let allowance_end = now.after(refill * settings.early_burst);
        let used_until = self.used_until.max(now).after(refill);
        if used_until > allowance_end {
            self.next_at = now.after(used_until.since(allowance_end));
            return false;
        }
        self.used_until = used_until;
        true
    }

    /// Plans what follows a round that has been sent.
    pub fn finish_round(&mut self, settings: &MembershipSettings, now: UnixTime) {
        self.rounds_left = self.rounds_left.saturating_sub(1);
        if self.rounds_left > 0 {
            self.next_at = now.after(Duration::from_millis(settings.early_gap_ms));
            return;
        }
        self.next_at = UnixTime::NEVER;
        self.is_wide = false;
    }
}
