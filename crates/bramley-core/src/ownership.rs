//! Finds the incarnation that a ticket names.

use std::net::SocketAddr;

use crate::names::HostName;
use crate::ticket::JobTicket;
use crate::units::IncarnationId;

/// What the membership knows of one incarnation of an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// Host.
    pub host: HostName,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Address of the peer service.
    pub address: SocketAddr,
    /// Whether the incarnation is known to have ended.
    pub gone: bool,
}

/// Where a request under a ticket has to go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketRoute {
    /// This incarnation issued the ticket.
    Here,
    /// Another incarnation may be the owner or may know of it.
    Forward(SocketAddr),
    /// The owner has ended and can start nothing more.
    OwnerGone,
    /// Nothing is known of the owner now.
    OwnerUnknown,
}

/// Finds where a request under a ticket has to go.
///
/// `own_host` and `own` name this incarnation. Only one process of a host runs at a time, so a
/// ticket of this host that names another incarnation belongs to one that has ended.
#[must_use]
pub fn route_ticket(
    ticket: &JobTicket,
    own_host: &HostName,
    own: IncarnationId,
    candidates: &[OwnerCandidate],
) -> TicketRoute {
    if ticket.incarnation == own {
        return TicketRoute::Here;
    }
    if ticket.host == *own_host {
        return TicketRoute::OwnerGone;
    }
    let mut replacement = None;
    for candidate in candidates {
        if candidate.incarnation == ticket.incarnation {
            return if candidate.gone {
                TicketRoute::OwnerGone
            } else {
                TicketRoute::Forward(candidate.address)
            };
        }
        if candidate.host == ticket.host && !candidate.gone {
            replacement = Some(candidate.address);
        }
    }
    // The process that now runs on the owner's host can tell whether the owner has ended.
    replacement.map_or(TicketRoute::OwnerUnknown, TicketRoute::Forward)
}
