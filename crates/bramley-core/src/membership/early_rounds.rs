//! Rate-limited scheduling of early heartbeat rounds for urgent updates.

use std::time::Duration;

use super::settings::MembershipSettings;
use crate::units::UnixTime;

/// Number of early rounds that one urgent update triggers.
const ROUNDS_PER_REQUEST: u32 = 2;

/// Schedules early rounds for urgent updates, limited by a token bucket.
#[derive(Debug)]
pub struct EarlyRoundScheduler {
    next_at: UnixTime,
    rounds_left: u32,
    is_cross_domain: bool,
    /// Time at which the token bucket is full again; each round moves it one refill period later.
    consumed_until: UnixTime,
}

impl EarlyRoundScheduler {
    /// Creates a scheduler without a pending round.
    #[must_use]
    pub const fn new(now: UnixTime) -> Self {
        Self {
            next_at: UnixTime::NEVER,
            rounds_left: 0,
            is_cross_domain: false,
            consumed_until: now,
        }
    }

    /// Returns the time of the next early round, or [`UnixTime::NEVER`] if none is pending.
    #[must_use]
    pub const fn next_at(&self) -> UnixTime {
        self.next_at
    }

    /// Returns whether the next early round also goes to other failure domains.
    #[must_use]
    pub const fn is_cross_domain(&self) -> bool {
        self.is_cross_domain
    }

    /// Schedules early rounds. The first one keeps the minimum gap to the last round.
    pub fn request(
        &mut self,
        cross_domain: bool,
        last_round_at: UnixTime,
        settings: &MembershipSettings,
        now: UnixTime,
    ) {
        if settings.faults.no_early_rounds {
            return;
        }
        self.rounds_left = ROUNDS_PER_REQUEST;
        self.is_cross_domain |= cross_domain;
        if self.next_at == UnixTime::NEVER {
            let gap = Duration::from_millis(settings.early_gap_ms);
            self.next_at = now.max(last_round_at.after(gap));
        }
    }

    /// Takes one token and returns `true`, or postpones the round until a token is available.
    pub fn try_acquire(&mut self, settings: &MembershipSettings, now: UnixTime) -> bool {
        let refill = Duration::from_millis(settings.early_refill_ms);
        let burst_limit = now.after(refill * settings.early_burst);
        let consumed_until = self.consumed_until.max(now).after(refill);
        if consumed_until > burst_limit {
            self.next_at = now.after(consumed_until.since(burst_limit));
            return false;
        }
        self.consumed_until = consumed_until;
        true
    }

    /// Schedules the next early round after one was sent, or clears the schedule if none is left.
    pub fn finish_round(&mut self, settings: &MembershipSettings, now: UnixTime) {
        self.rounds_left = self.rounds_left.saturating_sub(1);
        if self.rounds_left > 0 {
            self.next_at = now.after(Duration::from_millis(settings.early_gap_ms));
            return;
        }
        self.next_at = UnixTime::NEVER;
        self.is_cross_domain = false;
    }
}
