//! Routing of requests to the incarnation that issued their ticket.

use std::net::SocketAddr;

use crate::names::HostName;
use crate::ticket::JobTicket;
use crate::units::IncarnationId;

/// An incarnation of an entry host, as known to the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownIncarnation {
    /// Name of the host.
    pub host: HostName,
    /// Identifier of the incarnation.
    pub incarnation: IncarnationId,
    /// Address of the peer service.
    pub address: SocketAddr,
    /// Whether the incarnation is known to have ended.
    pub gone: bool,
}

/// Destination of a request under a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketRoute {
    /// This incarnation issued the ticket.
    Here,
    /// The incarnation at this address is the owner or may know whether the owner has ended.
    Forward(SocketAddr),
    /// The owner has ended and cannot start any more tasks.
    OwnerGone,
    /// The owner is not known to the membership.
    OwnerUnknown,
}

/// Returns the destination of a request under a ticket.
///
/// `own_host` and `own` identify this incarnation. Only one process of a host runs at a time, so a
/// ticket from another incarnation of this host belongs to one that has ended.
#[must_use]
pub fn route_ticket(
    ticket: &JobTicket,
    own_host: &HostName,
    own: IncarnationId,
    known_incarnations: &[KnownIncarnation],
) -> TicketRoute {
    if ticket.incarnation == own {
        return TicketRoute::Here;
    }
    if ticket.host == *own_host {
        return TicketRoute::OwnerGone;
    }
    let mut replacement = None;
    for known in known_incarnations {
        if known.incarnation == ticket.incarnation {
            return if known.gone {
                TicketRoute::OwnerGone
            } else {
                TicketRoute::Forward(known.address)
            };
        }
        if known.host == ticket.host && !known.gone {
            replacement = Some(known.address);
        }
    }
    // The current process on the owner's host can determine whether the owner has ended.
    replacement.map_or(TicketRoute::OwnerUnknown, TicketRoute::Forward)
}
