//! Mechanisms of decisions that can be switched off, to measure what each is worth.

use std::fmt;
use std::str::FromStr;

/// A mechanism that decides on admission, order or placement. No guarantee depends on one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Mechanism {
    /// Waiting tasks are run by pools of other failure domains that have free workers.
    Stealing,
    /// Routes with more than their part of the capacity give way to others under overload.
    RouteShares,
    /// Jobs of large sizes and of failure domains that get too little are admitted before others.
    Guarantees,
    /// Waiting jobs that can no longer be in time go behind those that can.
    Deferral,
    /// Jobs wait for a faster worker if they are in time only there.
    SpeedPlans,
    /// Relays refuse by the shares that pools publish.
    PublishedShares,
    /// Jobs that cannot be in time are offered to be served late.
    LateOffers,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 7] = [
        Self::Stealing,
        Self::RouteShares,
        Self::Guarantees,
        Self::Deferral,
        Self::SpeedPlans,
        Self::PublishedShares,
        Self::LateOffers,
    ];

    /// Returns the name used in settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stealing => "stealing",
            Self::RouteShares => "route_shares",
            Self::Guarantees => "guarantees",
            Self::Deferral => "deferral",
            Self::SpeedPlans => "speed_plans",
            Self::PublishedShares => "published_shares",
            Self::LateOffers => "late_offers",
        }
    }

    /// Returns the names of all mechanisms, for error messages.
    #[must_use]
    pub fn names() -> String {
        let names: Vec<&str> = Self::ALL.into_iter().map(Self::as_str).collect();
        names.join(", ")
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// No mechanism has this name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownMechanism;

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|mechanism| mechanism.as_str() == name)
            .ok_or(UnknownMechanism)
    }
}

/// Mechanisms that are switched off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DisabledMechanisms {
    bits: u32,
}

impl DisabledMechanisms {
    /// Returns the set together with another mechanism.
    #[must_use]
    pub const fn with(self, mechanism: Mechanism) -> Self {
        Self {
            bits: self.bits | 1 << mechanism as u32,
        }
    }

    /// Returns whether a mechanism is in use.
    #[must_use]
    pub const fn allows(self, mechanism: Mechanism) -> bool {
        self.bits & 1 << mechanism as u32 == 0
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<I: IntoIterator<Item = Mechanism>>(iter: I) -> Self {
        let mut set = Self::default();
        for mechanism in iter {
            set = set.with(mechanism);
        }
        set
    }
}
