//! Tracks the configuration generation in force and the fetch of a newer one from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use super::counts::{MembershipCounts, check_invariant};
use super::settings::MembershipSettings;
use crate::units::UnixTime;

/// A fetch in progress.
#[derive(Clone, Copy, Debug)]
struct FetchAttempt {
    address: SocketAddr,
    deadline: UnixTime,
}

/// The generation in force and the state of the fetch of a newer one; at most one fetch runs at a
/// time.
#[derive(Debug, Default)]
pub struct GenerationTracker {
    in_force: u64,
    attempt: Option<FetchAttempt>,
    failed_address: Option<SocketAddr>,
    /// Earliest time of the next fetch after a failed one.
    retry_at: Option<UnixTime>,
}

impl GenerationTracker {
    /// Returns the generation in force.
    #[must_use]
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the time at which the current fetch times out or the delay after a failed one ends,
    /// or `None` if neither applies.
    #[must_use]
    pub fn next_deadline(&self) -> Option<UnixTime> {
        match self.attempt {
            Some(attempt) => Some(attempt.deadline),
            None => self.retry_at,
        }
    }

    /// Puts a generation into force and returns whether it is newer than the previous one.
    ///
    /// An older generation is refused and counted.
    pub fn advance(
        &mut self,
        generation: u64,
        settings: &MembershipSettings,
        counts: &mut MembershipCounts,
    ) -> bool {
        if generation < self.in_force {
            counts.generations_refused += 1;
            if !settings.faults.accept_older_generation {
                return false;
            }
        }
        let is_monotonic = generation >= self.in_force;
        check_invariant(is_monotonic, &mut counts.generation_reverted);
        let newer = generation > self.in_force;
        self.in_force = generation;
        if newer {
            self.attempt = None;
            self.failed_address = None;
            self.retry_at = None;
        }
        newer
    }

    /// Records that the current fetch from an address failed, so that another address is tried
    /// after `gap`.
    pub fn record_failure(&mut self, address: SocketAddr, gap: Duration, now: UnixTime) {
        if self
            .attempt
            .is_some_and(|attempt| attempt.address == address)
        {
            self.attempt = None;
            self.failed_address = Some(address);
            self.retry_at = Some(now.after(gap));
        }
    }

    /// Times out the current fetch, or ends the delay after a failed one, if the deadline has
    /// passed.
    pub fn expire(&mut self, now: UnixTime) {
        if let Some(attempt) = self.attempt
            && attempt.deadline <= now
        {
            self.record_failure(attempt.address, Duration::ZERO, now);
        }
        if self.retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.retry_at = None;
        }
    }

    /// Starts a fetch from one of the addresses that have a newer generation, and returns it.
    ///
    /// Addresses other than the one that failed last are preferred. Returns `None` while a fetch
    /// is in progress and during the delay after a failure.
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
