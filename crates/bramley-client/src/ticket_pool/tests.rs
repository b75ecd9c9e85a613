//! Tests of the ticket pool.

use std::time::Duration;

use tokio::time::Instant;

use super::TicketPool;

const SECOND: Duration = Duration::from_secs(1);

fn pool(now: Instant, lifetime: Duration, margin_ms: u64) -> TicketPool {
    let mut pool = TicketPool::default();
    let tickets = vec!["a".to_owned(), "b".to_owned()];
    pool.add(tickets, now + lifetime, margin_ms, now);
    pool
}

#[test]
fn tickets_near_their_expiry_are_thrown_away() {
    let now = Instant::now();
    let mut pool = pool(now, 60 * SECOND, 10_000);
    assert_eq!(pool.take(now + 49 * SECOND).as_deref(), Some("a"));
    assert_eq!(pool.len(), 1);
    assert_eq!(pool.take(now + 50 * SECOND), None);
    assert_eq!(pool.len(), 0);
}

#[test]
fn margin_leaves_half_of_a_short_lifetime() {
    let now = Instant::now();
    let mut pool = pool(now, 4 * SECOND, 10_000);
    assert_eq!(pool.take(now + SECOND).as_deref(), Some("a"));
    assert_eq!(pool.take(now + 2 * SECOND), None);
}

#[test]
fn expired_tickets_are_never_taken() {
    let now = Instant::now();
    let mut pool = pool(now, Duration::ZERO, 0);
    assert_eq!(pool.take(now), None);
}
