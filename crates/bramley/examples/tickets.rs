//! Issues tickets and verifies them without storing them.

use std::time::Duration;

use bramley::core::names::{DomainName, HostName, TeamName};
use bramley::core::ticket::{JobTicket, TicketIssuer};
use bramley::core::units::{IncarnationId, UnixTime};

/// Runs the example.
pub fn main() {
    let now = UnixTime::from_millis(1_000_000);
    let issuer = TicketIssuer::new(
        DomainName::from("freising"),
        HostName::from("entry-1"),
        IncarnationId::from_bits(rand::random()),
        rand::random(),
    );
    let expiry = now.after(Duration::from_secs(120));
    let text = issuer.issue(TeamName::from("booking"), expiry).to_string();
    println!("issued {text}");

    // Any host can read from a ticket which incarnation issued it and forward requests to it.
    let ticket = JobTicket::parse(&text).expect("an issued ticket should parse");
    println!("owner {} in {}", ticket.host, ticket.domain);
    ticket.check_team("booking").expect("the team should match");
    let error = ticket
        .check_team("market")
        .expect_err("another team should be rejected");
    println!("team market: {error}");

    // Only the issuer can verify that a ticket is authentic.
    assert!(issuer.owns(&ticket));
    issuer
        .check(&ticket)
        .expect("the ticket should be authentic");
    let mut altered = ticket;
    altered.expiry = expiry.after(Duration::from_secs(3_600));
    let error = issuer
        .check(&altered)
        .expect_err("a changed expiry should be rejected");
    println!("modified ticket: {error}");
}
