//! Tickets: the exclusive right of one incarnation to start the tasks of one submission.
//!
//! A ticket names the incarnation that issued it, and only that incarnation ever starts the
//! tasks submitted under it. No lease and no clock of another host is involved. The issuer keeps no
//! record of unused tickets: a message authentication code (MAC) proves that it issued them.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::errors::{DispatchError, ErrorKind};
use crate::names::{DomainName, HostName, TeamName, is_valid_name};
use crate::units::{IncarnationId, TicketSerial, UnixTime};

/// Prefix that identifies the version of the encoding.
const ENCODING_VERSION: &str = "bt1";

/// Number of dot-separated parts of an encoded ticket.
const PART_COUNT: usize = 8;

/// Length of the MAC in bytes.
const MAC_BYTES: usize = 16;

/// The exclusive right of one incarnation to start the tasks of one submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobTicket {
    /// Failure domain of the issuing host.
    pub domain: DomainName,
    /// Issuing host.
    pub host: HostName,
    /// Issuing incarnation.
    pub incarnation: IncarnationId,
    /// Serial number within the incarnation.
    pub serial: TicketSerial,
    /// Time after which nothing is started or retained under the ticket.
    pub expiry: UnixTime,
    /// Team that the ticket was issued to.
    pub team: TeamName,
    /// Message authentication code over the other fields.
    mac: [u8; MAC_BYTES],
}

impl JobTicket {
    /// Parses an encoded ticket without verifying its MAC, which only the issuer can verify.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidTicket`] if the text is not an encoded ticket.
    pub fn parse(text: &str) -> Result<Self, DispatchError> {
        Self::parse_parts(text)
            .ok_or_else(|| DispatchError::new(ErrorKind::InvalidTicket, "unreadable ticket"))
    }

    fn parse_parts(text: &str) -> Option<Self> {
        let parts: Vec<&str> = text.split('.').collect();
        if parts.len() != PART_COUNT || parts[0] != ENCODING_VERSION {
            return None;
        }
        if ![parts[1], parts[2], parts[6]]
            .into_iter()
            .all(is_valid_name)
        {
            return None;
        }
        let mac = u128::from_str_radix(parts[7], 16).ok()?;
        let ticket = Self {
            domain: DomainName::from(parts[1]),
            host: HostName::from(parts[2]),
            incarnation: IncarnationId::parse(parts[3])?,
            serial: TicketSerial(u64::from_str_radix(parts[4], 16).ok()?),
            expiry: UnixTime::from_micros(u64::from_str_radix(parts[5], 16).ok()?),
            team: TeamName::from(parts[6]),
            mac: mac.to_be_bytes(),
        };
        // Only the canonical encoding is accepted, so that encoded tickets can be compared as text.
        (ticket.to_string() == text).then_some(ticket)
    }

    /// Checks that the ticket was issued to `team`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::WrongTeam`] for any other team.
    pub fn check_team(&self, team: &str) -> Result<(), DispatchError> {
        if self.team.as_str() == team {
            return Ok(());
        }
        Err(DispatchError::new(ErrorKind::WrongTeam, ""))
    }
}

impl fmt::Display for JobTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{ENCODING_VERSION}.{}.{}.{}.{:x}.{:x}.{}.{:032x}",
            self.domain,
            self.host,
            self.incarnation,
            self.serial.0,
            self.expiry.as_micros(),
            self.team,
            u128::from_be_bytes(self.mac),
        )
    }
}

/// Issues and verifies the tickets of one incarnation.
///
/// It can be shared between threads: issuing takes one atomic addition and one MAC computation.
#[derive(Debug)]
pub struct TicketIssuer {
    domain: DomainName,
    host: HostName,
    incarnation: IncarnationId,
    mac_key: [u8; 32],
    next_serial: AtomicU64,
}

impl TicketIssuer {
    /// Creates the issuer of an incarnation. The key must be random and secret.
    #[must_use]
    pub fn new(
        domain: DomainName,
        host: HostName,
        incarnation: IncarnationId,
        mac_key: [u8; 32],
    ) -> Self {
        Self {
            domain,
            host,
            incarnation,
            mac_key,
            next_serial: AtomicU64::new(1),
        }
    }

    /// Returns the incarnation of the issuer.
    #[must_use]
    pub const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Issues a ticket.
    #[must_use]
    pub fn issue(&self, team: TeamName, expiry: UnixTime) -> JobTicket {
        let serial = TicketSerial(self.next_serial.fetch_add(1, Ordering::Relaxed));
        let mut ticket = JobTicket {
            domain: self.domain.clone(),
            host: self.host.clone(),
            incarnation: self.incarnation,
            serial,
            expiry,
            team,
            mac: [0; MAC_BYTES],
        };
        ticket.mac = self.compute_mac(&ticket);
        ticket
    }

    /// Returns whether the ticket names this incarnation as its issuer. The MAC is not verified.
    #[must_use]
    pub fn owns(&self, ticket: &JobTicket) -> bool {
        ticket.incarnation == self.incarnation
    }

    /// Verifies that this incarnation issued the ticket.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidTicket`] for any other ticket.
    pub fn check(&self, ticket: &JobTicket) -> Result<(), DispatchError> {
        let expected = blake3::Hash::from(zero_extend(self.compute_mac(ticket)));
        // Comparing `blake3::Hash` values takes constant time.
        if expected == blake3::Hash::from(zero_extend(ticket.mac)) {
            return Ok(());
        }
        Err(DispatchError::new(ErrorKind::InvalidTicket, ""))
    }

    fn compute_mac(&self, ticket: &JobTicket) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.mac_key);
        hasher.update(&ticket.incarnation.to_bits().to_le_bytes());
        hasher.update(&ticket.serial.0.to_le_bytes());
        hasher.update(&ticket.expiry.as_micros().to_le_bytes());
        for name in [
            ticket.domain.as_str(),
            ticket.host.as_str(),
            ticket.team.as_str(),
        ] {
            hasher.update(name.as_bytes());
            hasher.update(b"\0");
        }
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }
}

fn zero_extend(mac: [u8; MAC_BYTES]) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..MAC_BYTES].copy_from_slice(&mac);
    bytes
}
