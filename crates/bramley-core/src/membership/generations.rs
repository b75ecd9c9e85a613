//! From whom a newer configuration is fetched.

use std::net::SocketAddr;
use std::time::Duration;

use super::counts::{MembershipCounts, check_invariant};
use super::settings::MembershipSettings;
use crate::units::UnixTime;

/// A fetch that is under way.
#[derive(Clone, Copy, Debug)]
struct FetchAttempt {
    address: SocketAddr,
    deadline: UnixTime,
}

/// The generation in force and the one fetch that may be under way.
#[derive(Debug, Default)]
pub struct GenerationTracker {
    in_force: u64,
    attempt: Option<FetchAttempt>,
    failed_address: Option<SocketAddr>,
    /// Time at which another fetch may follow a failed one.
    retry_at: Option<UnixTime>,
}

impl GenerationTracker {
    /// Returns the generation in force.
    #[must_use]
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the time at which the fetch under way is given up or a failed one is followed by
    /// another, or `None` without either.
    #[must_use]
    pub fn next_deadline(&self) -> Option<UnixTime> {
        match self.attempt {
            Some(attempt) => Some(attempt.deadline),
            None => self.retry_at,
        }
    }

    /// Puts a generation into force and tells whether it is newer than the one before.
    ///
    /// An older one is refused and counted.
    pub fn advance(
        &mut self,
        generation: u64,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
    ) -> bool {
        if generation < self.in_force {
            counts.generations_refused += 1;
            if !settings.faults.obey_older_generation {
                return false;
            }
        }
        let rises = generation >= self.in_force;
        check_invariant(rises, &mut counts.generation_reverted);
        let newer = generation > self.in_force;
        self.in_force = generation;
        if newer {
            self.attempt = None;
            self.failed_address = None;
            self.retry_at = None;
        }
        newer
    }

    /// Ends the fetch under way at an address, so that another address is tried after `gap`.
    pub fn note_failure(&mut self, address: SocketAddr, gap: Duration, now: UnixTime) {
        if self
            .attempt
            .is_some_and(|attempt| attempt.address == address)
        {
            self.attempt = None;
            self.failed_address = Some(address);
            self.retry_at = Some(now.after(gap));
        }
    }

    /// Gives up the fetch under way, or ends the wait after a failed one, if it is time.
    pub fn expire(&mut self, now: UnixTime) {
        if let Some(attempt) = self.attempt
            && attempt.deadline <= now
        {
            self.note_failure(attempt.address, Duration::ZERO, now);
        }
        if self.retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.retry_at = None;
        }
    }

    /// Chooses an address to fetch from among those that have a newer generation.
    ///
    /// It prefers one that has not just failed. It returns `None` while a fetch is under way and
    /// shortly after a failure.
    pub fn start_fetch(
        &mut self,
        newer: &[SocketAddr],
        timeout: Duration,
        now: UnixTime,
    ) -> Option<SocketAddr> {
        if self.attempt.is_some() || self.retry_at.is_some() {
            return None;
        }
        let untried = newer
            .iter()
            .find(|address| Some(**address) != self.failed_address);
        let address = *untried.or_else(|| newer.first())?;
        self.attempt = Some(FetchAttempt {
            address,
            deadline: now.after(timeout),
        });
        Some(address)
    }
}
