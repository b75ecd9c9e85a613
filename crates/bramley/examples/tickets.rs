//! Issues tickets and recognises them again without keeping a record of them.

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

    // Any host can read which incarnation a ticket names, and hands the request to it.
    let ticket = JobTicket::parse(&text).expect("an issued ticket can be read");
    println!("owner {} in {}", ticket.host, ticket.domain);
    ticket.check_team("booking").expect("the right team");
    let refusal = ticket.check_team("market").expect_err("another team");
    println!("team market: {refusal}");

    // Only the issuer can tell that a ticket is genuine.
    assert!(issuer.owns(&ticket));
    issuer.check(&ticket).expect("a genuine ticket");
    let mut altered = ticket;
    altered.expiry = expiry.after(Duration::from_secs(3_600));
    let refusal = issuer.check(&altered).expect_err("the expiry was altered");
    println!("altered ticket: {refusal}");
}
