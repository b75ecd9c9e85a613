//! Leader election: decides which process controls the workers of its failure domain.
//!
//! The claim is a key in the platform's store that is bound to a lease. The revision of its last
//! write is the fencing token, so a later claim always has the higher token. A process that cannot
//! reach the store never becomes leader; a leader that loses the store stays leader until another
//! process takes over.

use std::time::Duration;

use bramley_core::units::UnixTime;

use crate::settings::ClaimSettings;

/// The failure domain's claim as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimView {
    /// Incarnation of the process that holds the claim.
    pub incarnation: u64,
    /// Address of that process's pool interface.
    pub address: String,
    /// Revision of the last write.
    pub revision: u64,
    /// CPU of the holder's host in thousandths of a core; 0 if not stated.
    pub cpu_milli: u32,
}

impl ClaimView {
    /// Returns the view of a claim that cannot be read: nobody holds it, and any host may overwrite
    /// it.
    #[must_use]
    pub const fn unreadable(revision: u64) -> Self {
        Self {
            incarnation: 0,
            address: String::new(),
            revision,
            cpu_milli: 0,
        }
    }

    /// Returns whether the claim names a holder.
    #[must_use]
    pub const fn is_readable(&self) -> bool {
        !self.address.is_empty()
    }
}

/// A claim that was written successfully.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimGrant {
    /// Fencing token.
    pub token: u64,
    /// Lease in the store to which the claim is bound.
    pub lease: u64,
}

/// State of the connections to other processes at the time of a decision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ContactView {
    /// Whether the local relay is connected to the holder of the claim, and it is the leader.
    pub holder_answers: bool,
    /// Whether that holder asks another host to take over, because it is stopping or cannot reach
    /// the store.
    pub holder_gives_way: bool,
    /// Whether the holder's host refuses connections, so that the process is gone.
    pub holder_refuses_connections: bool,
    /// Whether any other process of the system is connected, as pool or relay.
    pub is_connected_to_others: bool,
    /// Whether a claim of another process, in any failure domain, was ever read. If not, there is
    /// nobody to connect to yet.
    pub knows_others: bool,
    /// Whether a process on another host of the failure domain was ever connected and so could take
    /// over.
    pub has_successor: bool,
}

/// Action for the driver of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Write the claim if the key still has the expected revision; 0 if the key must not exist.
    Write {
        /// Expected revision of the key.
        expected_revision: u64,
    },
    /// Renew the lease of the claim.
    Renew {
        /// Lease to renew.
        lease: u64,
    },
    /// Revoke the lease, which deletes the claim.
    Release {
        /// Lease to revoke.
        lease: u64,
    },
    /// Step down as leader.
    StepDown {
        /// Reason for the log.
        cause: &'static str,
    },
}

/// Another process holds the claim.
const STEP_DOWN_AS_SUCCEEDED: ClaimAction = ClaimAction::StepDown {
    cause: "claimed_elsewhere",
};

/// State of the local process in the election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimState {
    /// Does not hold the claim.
    Standby,
    /// A write of the claim is in flight.
    Writing,
    /// Holds the claim.
    Holding {
        grant: ClaimGrant,
        renew_at: UnixTime,
        is_renewing: bool,
    },
}

/// State machine of the leader election of one failure domain in one process.
#[derive(Debug)]
pub struct Claim {
    settings: ClaimSettings,
    incarnation: u64,
    address: String,
    cpu_milli: u32,
    state: ClaimState,
    /// Claim as last read from the store; `None` if the key does not exist.
    view: Option<ClaimView>,
    /// Whether the claim was read from the store at least once.
    view_known: bool,
    /// CPU of the last seen holder's host in thousandths of a core.
    last_holder_cpu: Option<u32>,
    /// Time since which the claim has been vacant and open to this process; the wait for larger
    /// hosts counts from it.
    claimable_since: Option<UnixTime>,
    last_store_contact: UnixTime,
    last_peer_contact: Option<UnixTime>,
    stopping: bool,
    /// Time at which a stopping process releases its claim if no other host has taken over.
    release_at: UnixTime,
    retry_at: UnixTime,
}

impl Claim {
    /// Creates the state of a process on a host with `cpu_milli` thousandths of a core.
    #[must_use]
    pub fn new(
        settings: ClaimSettings,
        incarnation: u64,
        address: impl Into<String>,
        cpu_milli: u32,
    ) -> Self {
        Self {
            settings,
            incarnation,
            address: address.into(),
            cpu_milli,
            state: ClaimState::Standby,
            view: None,
            view_known: false,
            last_holder_cpu: None,
            claimable_since: None,
            last_store_contact: UnixTime::default(),
            last_peer_contact: None,
            stopping: false,
            release_at: UnixTime::default(),
            retry_at: UnixTime::default(),
        }
    }

    /// Returns the grant if the claim is held.
    #[must_use]
    pub const fn grant(&self) -> Option<ClaimGrant> {
        match self.state {
            ClaimState::Holding { grant, .. } => Some(grant),
            ClaimState::Standby | ClaimState::Writing => None,
        }
    }

    /// Returns whether the store has been unreachable for so long that another host should take
    /// over.
    #[must_use]
    pub fn has_lost_store(&self, now: UnixTime) -> bool {
        now.since(self.last_store_contact) > self.settings.store_loss_limit
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now: UnixTime) {
        self.last_store_contact = self.last_store_contact.max(now);
    }

    /// Records the stored claim, or its absence, after a read. A claim that is older than the known
    /// one changes nothing: the response to an own write may arrive after a later write by another
    /// process was read.
    pub fn claim_read(&mut self, view: Option<ClaimView>, now: UnixTime) {
        self.last_store_contact = now;
        self.view_known = true;
        if let (Some(known), Some(read)) = (&self.view, &view)
            && read.revision < known.revision
        {
            return;
        }
        if let Some(view) = view.as_ref().filter(|view| view.is_readable()) {
            self.last_holder_cpu = Some(view.cpu_milli);
        }
        self.view = view;
    }

    /// Starts the shutdown: the process makes no new claim and keeps an existing one for a while,
    /// so that a host of the same size can take it over.
    pub fn stop(&mut self, now: UnixTime) {
        self.stopping = true;
        self.release_at = now.after(self.settings.stop_hold);
    }

    /// Drops the claim after another process was found to control the workers.
    pub fn lost_leadership(&mut self) -> Option<ClaimAction> {
        let grant = self.grant()?;
        self.state = ClaimState::Standby;
        Some(ClaimAction::Release { lease: grant.lease })
    }

    /// Records that the write succeeded. Returns whether the process holds the claim now; it does not
    /// if another one has overwritten it since.
    pub fn claim_written(&mut self, grant: ClaimGrant, now: UnixTime) -> bool {
        self.last_store_contact = now;
        let is_overwritten = self
            .view
            .as_ref()
            .is_some_and(|view| view.revision > grant.token);
        if is_overwritten {
            self.state = ClaimState::Standby;
            return false;
        }
        self.state = ClaimState::Holding {
            grant,
            renew_at: now.after(self.settings.renew_interval),
            is_renewing: false,
        };
        true
    }

    /// Records that the write failed or that its outcome is unknown.
    pub fn write_failed(&mut self, now: UnixTime) {
        if self.state == ClaimState::Writing {
            self.state = ClaimState::Standby;
        }
        self.retry_at = now.after(self.settings.small_host_wait);
    }

    /// Records the result of a renewal; `ended` is true if the lease no longer exists. The result for
    /// the lease of an earlier claim changes nothing.
    pub fn lease_renewed(&mut self, lease: u64, ended: bool, now: UnixTime) {
        let ClaimState::Holding {
            grant,
            renew_at,
            is_renewing,
        } = &mut self.state
        else {
            return;
        };
        if grant.lease != lease {
            return;
        }
        *is_renewing = false;
        *renew_at = now.after(self.settings.renew_interval);
        if ended {
            self.last_store_contact = now;
            self.state = ClaimState::Standby;
            self.retry_at = now;
        }
    }

    /// Returns the actions that are due. `is_leader` is true while the local pool is the leader.
    pub fn tick(
        &mut self,
        contacts: ContactView,
        is_leader: bool,
        now: UnixTime,
    ) -> Vec<ClaimAction> {
        if contacts.is_connected_to_others {
            self.last_peer_contact = Some(now);
        }
        let mut actions = Vec::new();
        if is_leader && contacts.has_successor && self.is_isolated_holder(now) {
            self.last_peer_contact = None;
            if let Some(grant) = self.grant() {
                actions.push(ClaimAction::Release { lease: grant.lease });
            }
            self.state = ClaimState::Standby;
            self.retry_at = now.after(self.settings.isolated_wait);
            return actions;
        }
        match &mut self.state {
            ClaimState::Holding {
                grant,
                renew_at,
                is_renewing,
            } => {
                let lease = grant.lease;
                if !*is_renewing && *renew_at <= now {
                    *is_renewing = true;
                    actions.push(ClaimAction::Renew { lease });
                }
                let is_overwritten = self.view.as_ref().is_some_and(|view| !view.is_readable());
                if is_overwritten && !self.stopping {
                    // Written again in the next step; the pool goes on as leader.
                    self.state = ClaimState::Standby;
                } else if self.stopping && self.release_at <= now {
                    self.state = ClaimState::Standby;
                    actions.push(ClaimAction::Release { lease });
                } else if self.is_held_by_other() {
                    self.state = ClaimState::Standby;
                    actions.push(STEP_DOWN_AS_SUCCEEDED);
                    actions.push(ClaimAction::Release { lease });
                }
            }
            ClaimState::Writing => {
                // The outcome of the write may take until its timeout to be known.
                if is_leader && self.is_held_by_other() {
                    actions.push(STEP_DOWN_AS_SUCCEEDED);
                }
            }
            ClaimState::Standby => {
                if is_leader && self.is_held_by_other() {
                    actions.push(STEP_DOWN_AS_SUCCEEDED);
                }
                if let Some(expected_revision) = self.writable_revision(contacts, is_leader, now) {
                    self.state = ClaimState::Writing;
                    actions.push(ClaimAction::Write { expected_revision });
                }
            }
        }
        actions
    }

    /// Returns the revision that the claim may overwrite now, if any.
    fn writable_revision(
        &mut self,
        contacts: ContactView,
        is_leader: bool,
        now: UnixTime,
    ) -> Option<u64> {
        let may_write =
            !self.stopping && self.view_known && self.retry_at <= now && !self.has_lost_store(now);
        let has_healthy_holder = contacts.holder_answers && !contacts.holder_gives_way;
        let is_claimable = may_write && self.view.is_none() && (is_leader || !has_healthy_holder);
        if !is_claimable {
            self.claimable_since = None;
        }
        if !may_write {
            return None;
        }
        let Some(view) = &self.view else {
            if !is_claimable {
                return None;
            }
            let since = *self.claimable_since.get_or_insert(now);
            let waited = now.since(since);
            let mut wait = if is_leader || !self.is_small_host() {
                Duration::ZERO
            } else {
                self.settings.small_host_wait
            };
            let is_cut_off = contacts.knows_others && !contacts.is_connected_to_others;
            if !is_leader && is_cut_off {
                wait += self.settings.small_host_wait;
            }
            return (waited >= wait).then_some(0);
        };
        let is_own = view.incarnation == self.incarnation;
        let has_same_address = view.address == self.address && !is_own;
        let is_dead = contacts.holder_refuses_connections && !contacts.holder_answers;
        // The holder keeps its claim until another host overwrites it, so that leadership moves
        // only once, and only to a host that reaches the store and has at least as much CPU.
        let is_handed_over = contacts.holder_answers
            && contacts.holder_gives_way
            && self.cpu_milli >= view.cpu_milli;
        let is_too_small = is_much_smaller(view.cpu_milli, self.cpu_milli);
        let is_unheld = !view.is_readable();
        let is_writable =
            is_own || is_unheld || has_same_address || is_dead || is_handed_over || is_too_small;
        is_writable.then_some(view.revision)
    }

    /// Returns whether larger hosts should claim first: the last holder's host was much larger, or
    /// no holder was seen and this host is small.
    fn is_small_host(&self) -> bool {
        match self.last_holder_cpu {
            Some(cpu_milli) => is_much_smaller(self.cpu_milli, cpu_milli),
            None => self.cpu_milli < self.settings.large_host_cpu_milli,
        }
    }

    fn is_held_by_other(&self) -> bool {
        self.view
            .as_ref()
            .is_some_and(|view| view.is_readable() && view.incarnation != self.incarnation)
    }

    /// Returns whether the process reaches no other host while the claim that it renews keeps them
    /// from taking over. If the store is unreachable, too, the claim expires by itself, and there
    /// may be no other host to take over.
    fn is_isolated_holder(&self, now: UnixTime) -> bool {
        let limit = self.settings.isolation_limit;
        let is_isolated = self
            .last_peer_contact
            .is_some_and(|contact| now.since(contact) > limit);
        is_isolated && now.since(self.last_store_contact) <= limit
    }
}

/// Returns whether a host has at most half of the CPU of another.
const fn is_much_smaller(cpu_milli: u32, other_cpu_milli: u32) -> bool {
    cpu_milli.saturating_mul(2) <= other_cpu_milli
}
