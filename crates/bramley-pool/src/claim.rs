//! Decides which process commands the workers of its failure domain.
//!
//! The claim is a key in the platform's store under a lease. The revision of its last
//! write is the fencing token, so that a later claim always has the higher token. A process that does not reach the
//! store never takes command; one that has command and loses the store keeps it as long as no
//! other process takes over.

use std::time::Duration;

use bramley_core::units::UnixTime;

use crate::settings::ClaimSettings;

/// The claim of the own failure domain as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimView {
    /// Incarnation of the process that holds it.
    pub incarnation: u64,
    /// Address of its pool interface.
    pub address: String,
    /// Revision of the last change.
    pub revision: u64,
    /// Processor share of its host in thousandths of a core; 0 if it is not stated.
    pub cpu_milli: u32,
}

/// A claim that was won.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimGrant {
    /// Fencing token.
    pub token: u64,
    /// Lease in the store that keeps the claim.
    pub lease: u64,
}

/// Facts about other processes at the time of a decision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ContactView {
    /// Whether the holder of the claim answers over the own relay's connection and has command.
    pub holder_answers: bool,
    /// Whether that holder asks another host to take over, because it stops or does not reach the
    /// store.
    pub holder_gives_way: bool,
    /// Whether the holder's host answers without its process: connections are refused.
    pub holder_refuses: bool,
    /// Whether any other process of the system is connected, as a pool or a relay.
    pub reaches_others: bool,
    /// Whether a process on another host of the failure domain was ever connected, so that it
    /// could take over.
    pub has_successor: bool,
}

/// What the driver of a claim is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Write the claim if the key's revision is still the stated one; 0 for no key.
    Write {
        /// Expected revision.
        expected_revision: u64,
    },
    /// Renew the lease.
    Renew {
        /// Lease.
        lease: u64,
    },
    /// End the lease, and with it the claim.
    Release {
        /// Lease.
        lease: u64,
    },
    /// Give up command of the workers.
    GiveUp {
        /// Why.
        cause: &'static str,
    },
}

/// Where the process stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimStanding {
    /// Has no claim.
    Standby,
    /// A write is on its way.
    Writing,
    /// Holds the claim.
    Holding {
        grant: ClaimGrant,
        renew_at: UnixTime,
        is_renewing: bool,
    },
}

/// Follows the claim of one failure domain for one process.
#[derive(Debug)]
pub struct Claim {
    settings: ClaimSettings,
    incarnation: u64,
    address: String,
    cpu_milli: u32,
    standing: ClaimStanding,
    view: Option<ClaimView>,
    view_known: bool,
    /// Processor share of the last holder's host in thousandths of a core, once one was seen.
    last_holder_cpu: Option<u32>,
    claimable_since: Option<UnixTime>,
    store_heard_at: UnixTime,
    others_heard_at: Option<UnixTime>,
    stopping: bool,
    /// Time at which a stopping process releases a claim that nobody has taken over.
    release_at: UnixTime,
    retry_at: UnixTime,
}

impl Claim {
    /// Makes the claim of a process with `cpu_milli` thousandths of a core.
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
            standing: ClaimStanding::Standby,
            view: None,
            view_known: false,
            last_holder_cpu: None,
            claimable_since: None,
            store_heard_at: UnixTime::default(),
            others_heard_at: None,
            stopping: false,
            release_at: UnixTime::default(),
            retry_at: UnixTime::default(),
        }
    }

    /// Returns the grant while the claim is held.
    #[must_use]
    pub const fn grant(&self) -> Option<ClaimGrant> {
        match self.standing {
            ClaimStanding::Holding { grant, .. } => Some(grant),
            ClaimStanding::Standby | ClaimStanding::Writing => None,
        }
    }

    /// Tells whether the store has not answered for so long that another host should take over.
    #[must_use]
    pub fn has_lost_store(&self, now: UnixTime) -> bool {
        now.since(self.store_heard_at) > self.settings.store_loss_limit
    }

    /// The store has answered.
    pub fn store_answered(&mut self, now: UnixTime) {
        self.store_heard_at = self.store_heard_at.max(now);
    }

    /// The store's view of the claim was read.
    pub fn viewed(&mut self, view: Option<ClaimView>, now: UnixTime) {
        self.store_heard_at = now;
        self.view_known = true;
        if let Some(view) = &view {
            self.last_holder_cpu = Some(view.cpu_milli);
        }
        self.view = view;
    }

    /// The process is about to stop: it makes no claim any more and keeps its own one for a while, so
    /// that a host of the same size takes it over.
    pub fn stop(&mut self, now: UnixTime) {
        self.stopping = true;
        self.release_at = now.after(self.settings.stop_hold);
    }

    /// Another process commands the workers.
    pub fn superseded(&mut self) -> Option<ClaimAction> {
        let grant = self.grant()?;
        self.standing = ClaimStanding::Standby;
        Some(ClaimAction::Release { lease: grant.lease })
    }

    /// The write has succeeded.
    pub fn written(&mut self, grant: ClaimGrant, now: UnixTime) {
        self.store_heard_at = now;
        self.standing = ClaimStanding::Holding {
            grant,
            renew_at: now.after(self.settings.renew_every),
            is_renewing: false,
        };
    }

    /// The write has failed or its outcome is unknown.
    pub fn write_failed(&mut self, now: UnixTime) {
        if self.standing == ClaimStanding::Writing {
            self.standing = ClaimStanding::Standby;
        }
        self.retry_at = now.after(self.settings.small_host_wait);
    }

    /// The lease was renewed, or not; `ended` tells that the store no longer knows it.
    pub fn renewed(&mut self, ended: bool, now: UnixTime) {
        let ClaimStanding::Holding {
            renew_at,
            is_renewing,
            ..
        } = &mut self.standing
        else {
            return;
        };
        *is_renewing = false;
        *renew_at = now.after(self.settings.renew_every);
        if ended {
            self.store_heard_at = now;
            self.standing = ClaimStanding::Standby;
            self.retry_at = now;
        }
    }

    /// Decides what is due. `commands` tells whether the own pool has command.
    pub fn tick(
        &mut self,
        contacts: ContactView,
        commands: bool,
        now: UnixTime,
    ) -> Vec<ClaimAction> {
        if contacts.reaches_others {
            self.others_heard_at = Some(now);
        }
        let mut actions = Vec::new();
        if commands && contacts.has_successor && self.blocks_others(now) {
            self.others_heard_at = None;
            if let Some(grant) = self.grant() {
                actions.push(ClaimAction::Release { lease: grant.lease });
            }
            self.standing = ClaimStanding::Standby;
            self.retry_at = now.after(self.settings.isolated_wait);
            return actions;
        }
        match &mut self.standing {
            ClaimStanding::Holding {
                grant,
                renew_at,
                is_renewing,
            } => {
                let lease = grant.lease;
                if !*is_renewing && *renew_at <= now {
                    *is_renewing = true;
                    actions.push(ClaimAction::Renew { lease });
                }
                if self.stopping && self.release_at <= now {
                    self.standing = ClaimStanding::Standby;
                    actions.push(ClaimAction::Release { lease });
                } else if self.is_held_by_other() {
                    self.standing = ClaimStanding::Standby;
                    actions.push(ClaimAction::GiveUp {
                        cause: "claimed_elsewhere",
                    });
                    actions.push(ClaimAction::Release { lease });
                }
            }
            ClaimStanding::Writing => {}
            ClaimStanding::Standby => {
                if commands && self.is_held_by_other() {
                    actions.push(ClaimAction::GiveUp {
                        cause: "claimed_elsewhere",
                    });
                }
                if let Some(expected_revision) = self.writable(contacts, commands, now) {
                    self.standing = ClaimStanding::Writing;
                    actions.push(ClaimAction::Write { expected_revision });
                }
            }
        }
        actions
    }

    /// Returns the revision over which the claim may be written now.
    fn writable(&mut self, contacts: ContactView, commands: bool, now: UnixTime) -> Option<u64> {
        let may_write =
            !self.stopping && self.view_known && self.retry_at <= now && !self.has_lost_store(now);
        let is_other_well = contacts.holder_answers && !contacts.holder_gives_way;
        let is_claimable = may_write && self.view.is_none() && (commands || !is_other_well);
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
            let mut wait = if commands || !self.is_small_host() {
                Duration::ZERO
            } else {
                self.settings.small_host_wait
            };
            if !commands && !contacts.reaches_others {
                wait += self.settings.small_host_wait;
            }
            return (waited >= wait).then_some(0);
        };
        let is_own = view.incarnation == self.incarnation;
        let was_here = view.address == self.address && !is_own;
        let is_dead = contacts.holder_refuses && !contacts.holder_answers;
        // The holder keeps its claim until another host writes it over, so that command passes on once,
        // and only to a host that reaches the store and has the processor share.
        let is_left = contacts.holder_answers
            && contacts.holder_gives_way
            && self.cpu_milli >= view.cpu_milli;
        let is_too_small = is_much_smaller(view.cpu_milli, self.cpu_milli);
        let is_writable = is_own || was_here || is_dead || is_left || is_too_small;
        is_writable.then_some(view.revision)
    }

    /// Tells whether larger hosts are to claim first: the last holder's was much larger, or none was
    /// seen and this one is small.
    fn is_small_host(&self) -> bool {
        match self.last_holder_cpu {
            Some(cpu_milli) => is_much_smaller(self.cpu_milli, cpu_milli),
            None => self.cpu_milli < self.settings.large_host_milli,
        }
    }

    fn is_held_by_other(&self) -> bool {
        self.view
            .as_ref()
            .is_some_and(|view| view.incarnation != self.incarnation)
    }

    /// Tells whether the process reaches no other host while its claim, which it renews, keeps them from
    /// taking over. Without the store the claim ends by itself, and nobody else may be there.
    fn blocks_others(&self, now: UnixTime) -> bool {
        let limit = self.settings.isolation_limit;
        let is_isolated = self
            .others_heard_at
            .is_some_and(|heard| now.since(heard) > limit);
        is_isolated && now.since(self.store_heard_at) <= limit
    }
}

/// Tells whether a host has at most half of another's processor share.
const fn is_much_smaller(cpu_milli: u32, other_cpu_milli: u32) -> bool {
    cpu_milli.saturating_mul(2) <= other_cpu_milli
}
