//! Tests of tickets taken ahead.

use std::time::Duration;

use tokio::time::Instant;

use super::TicketStock;

const SECOND: Duration = Duration::from_secs(1);

fn stock(now: Instant, lifetime: Duration, margin_ms: u64) -> TicketStock {
    let mut stock = TicketStock::default();
    let tickets = vec!["a".to_owned(), "b".to_owned()];
    stock.add(tickets, now + lifetime, margin_ms, now);
    stock
}

#[test]
fn tickets_near_their_expiry_are_thrown_away() {
    let now = Instant::now();
    let mut stock = stock(now, 60 * SECOND, 10_000);
    assert_eq!(stock.take(now + 49 * SECOND).as_deref(), Some("a"));
    assert_eq!(stock.len(), 1);
    assert_eq!(stock.take(now + 50 * SECOND), None);
    assert_eq!(stock.len(), 0);
}

#[test]
fn margin_leaves_half_of_a_short_lifetime() {
    let now = Instant::now();
    let mut stock = stock(now, 4 * SECOND, 10_000);
    assert_eq!(stock.take(now + SECOND).as_deref(), Some("a"));
    assert_eq!(stock.take(now + 2 * SECOND), None);
}

#[test]
fn expired_tickets_are_never_taken() {
    let now = Instant::now();
    let mut stock = stock(now, Duration::ZERO, 0);
    assert_eq!(stock.take(now), None);
}
