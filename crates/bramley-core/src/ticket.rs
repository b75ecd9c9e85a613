//! Tickets: the right of one incarnation to start the tasks of one submission.
//!
//! A ticket names the incarnation that issued it, and only that incarnation ever starts the
//! tasks submitted under it. No lease or clock of another host is involved. The issuer keeps no
//! record of tickets that were not used: a keyed hash proves that it issued them.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::errors::{DispatchError, ErrorKind};
use crate::names::{DomainName, HostName, TeamName, is_valid_name};
use crate::units::{IncarnationId, TicketSerial, UnixTime};

/// Prefix that tells the version of the encoding.
const ENCODING_VERSION: &str = "bt1";

/// Number of parts of an encoded ticket.
const PART_COUNT: usize = 8;

/// Length of the keyed hash in bytes.
const SEAL_BYTES: usize = 16;

/// The right of one incarnation to start the tasks of one submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobTicket {
    /// Failure domain of the issuer.
    pub domain: DomainName,
    /// Host of the issuer.
    pub host: HostName,
    /// Incarnation of the issuer.
    pub incarnation: IncarnationId,
    /// Serial number within the incarnation.
    pub serial: TicketSerial,
    /// Time after which nothing more is started or kept under the ticket.
    pub expiry: UnixTime,
    /// Team that the ticket was issued to.
    pub team: TeamName,
    /// Keyed hash over the other fields.
    seal: [u8; SEAL_BYTES],
}

impl JobTicket {
    /// Reads an encoded ticket without checking its keyed hash, which only the issuer can check.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidTicket`] if the text is no ticket.
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
        let seal = u128::from_str_radix(parts[7], 16).ok()?;
        let ticket = Self {
            domain: DomainName::from(parts[1]),
            host: HostName::from(parts[2]),
            incarnation: IncarnationId::parse(parts[3])?,
            serial: TicketSerial(u64::from_str_radix(parts[4], 16).ok()?),
            expiry: UnixTime::from_micros(u64::from_str_radix(parts[5], 16).ok()?),
            team: TeamName::from(parts[6]),
            seal: seal.to_be_bytes(),
        };
        // One ticket has one encoding, so that a text can stand for the ticket.
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
            u128::from_be_bytes(self.seal),
        )
    }
}

/// Issues tickets for one incarnation and recognises them again.
///
/// It is shared between threads: issuing takes one atomic addition and one keyed hash.
#[derive(Debug)]
pub struct TicketIssuer {
    domain: DomainName,
    host: HostName,
    incarnation: IncarnationId,
    seal_key: [u8; 32],
    next_serial: AtomicU64,
}

impl TicketIssuer {
    /// Makes the issuer of an incarnation with a random secret key.
    #[must_use]
    pub fn new(
        domain: DomainName,
        host: HostName,
        incarnation: IncarnationId,
        seal_key: [u8; 32],
    ) -> Self {
        Self {
            domain,
            host,
            incarnation,
            seal_key,
            next_serial: AtomicU64::new(1),
        }
    }

    /// Returns the incarnation that the issuer works for.
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
            seal: [0; SEAL_BYTES],
        };
        ticket.seal = self.compute_seal(&ticket);
        ticket
    }

    /// Tells whether the ticket names this incarnation.
    #[must_use]
    pub fn owns(&self, ticket: &JobTicket) -> bool {
        ticket.incarnation == self.incarnation
    }

    /// Checks that this incarnation issued the ticket.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidTicket`] for a ticket that it did not issue.
    pub fn check(&self, ticket: &JobTicket) -> Result<(), DispatchError> {
        let genuine = blake3::Hash::from(widen(self.compute_seal(ticket)));
        // The comparison of the hash type takes constant time.
        if genuine == blake3::Hash::from(widen(ticket.seal)) {
            return Ok(());
        }
        Err(DispatchError::new(ErrorKind::InvalidTicket, ""))
    }

    fn compute_seal(&self, ticket: &JobTicket) -> [u8; SEAL_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.seal_key);
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
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_BYTES]);
        seal
    }
}

fn widen(seal: [u8; SEAL_BYTES]) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..SEAL_BYTES].copy_from_slice(&seal);
    bytes
}
