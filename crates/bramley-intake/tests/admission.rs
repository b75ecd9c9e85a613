//! Decisions on connections in virtual time.

use std::time::Duration;

use bramley_intake::{Admission, CloseCause, IntakeSettings, LedgerState, PhaseTimes};
use tokio::time::Instant;

const CONNECTION_BYTES: usize = 20 * 1024;

fn ledger(connections: usize, held_bytes: usize) -> LedgerState {
    LedgerState::new(IntakeSettings {
        connections,
        held_bytes,
    })
}

fn admit(ledger: &mut LedgerState, connection: u64, now: Instant) -> Admission {
    ledger.admit(connection, PhaseTimes::default(), now)
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a crowd of idle connections that keeps an ordinary caller out, or closes it.
#[test]
fn the_connection_at_rest_for_longest_makes_room() {
    let start = Instant::now();
    let mut ledger = ledger(3, usize::MAX / 2);
    for connection in 1..=3 {
        let admission = admit(&mut ledger, connection, start + millis(connection));
        assert_eq!(admission, Admission::Granted);
    }
    // Connection 1 has had an answer and rests as long as the others.
    ledger.receive(1, 500, start + millis(2));
    ledger.begin_body(1);
    ledger.begin_answer(1, start + millis(3));
    ledger.finish_answer(1, start + millis(3));
    let now = start + millis(100);
    assert_eq!(admit(&mut ledger, 4, now), Admission::Close(2));
    assert_eq!(
        admit(&mut ledger, 4, now),
        Admission::Closing,
        "it is still open"
    );
    ledger.remove(2);
    assert_eq!(admit(&mut ledger, 4, now), Admission::Granted);
}

/// Guards against closing a connection whose job runs.
#[test]
fn requests_being_served_are_not_closed() {
    let now = Instant::now();
    let mut ledger = ledger(2, usize::MAX / 2);
    for connection in 1..=2 {
        assert_eq!(admit(&mut ledger, connection, now), Admission::Granted);
        ledger.begin_body(connection);
        ledger.begin_serving(connection, 4_096);
    }
    assert_eq!(admit(&mut ledger, 3, now), Admission::Full);
    ledger.begin_answer(2, now);
    assert_eq!(admit(&mut ledger, 3, now), Admission::Close(2));
}

/// Guards against many incomplete bodies that take the memory of a small request.
#[test]
fn the_body_that_holds_most_for_longest_makes_room() {
    let start = Instant::now();
    let mut ledger = ledger(100, 3 * CONNECTION_BYTES + 300_000);
    for (connection, bytes) in [(1, 200_000), (2, 99_000)] {
        assert_eq!(admit(&mut ledger, connection, start), Admission::Granted);
        ledger.begin_body(connection);
        assert_eq!(ledger.hold(connection, bytes, start), Admission::Granted);
    }
    let now = start + millis(50);
    assert_eq!(admit(&mut ledger, 3, now), Admission::Granted);
    ledger.begin_body(3);
    let later = now + millis(1);
    assert_eq!(ledger.hold(3, 2_000, later), Admission::Close(1));
    assert_eq!(ledger.hold(3, 2_000, later), Admission::Closing);
    ledger.remove(1);
    assert_eq!(ledger.hold(3, 2_000, later), Admission::Granted);
    assert_eq!(ledger.held_bytes(), 2 * CONNECTION_BYTES + 101_000);
}

/// Guards against heads that are received without counting.
#[test]
fn received_heads_count_and_close_the_largest() {
    let start = Instant::now();
    let mut ledger = ledger(10, 2 * CONNECTION_BYTES + 10_000);
    for connection in 1..=2 {
        assert_eq!(admit(&mut ledger, connection, start), Admission::Granted);
    }
    assert_eq!(ledger.receive(1, 8_000, start), None);
    let now = start + millis(1);
    assert_eq!(ledger.receive(2, 3_000, now), Some(1));
    assert_eq!(
        ledger.receive(2, 1_000, now),
        None,
        "the room is on its way"
    );
    ledger.begin_serving(2, 1_000);
    ledger.remove(1);
    assert_eq!(ledger.held_bytes(), CONNECTION_BYTES + 1_000);
}

/// Guards against a connection at rest that ends after the time of a head, and the reverse.
#[test]
fn each_phase_has_its_deadline() {
    let start = Instant::now();
    let times = PhaseTimes {
        idle: millis(5_000),
        head: millis(3_000),
        answer: millis(1_000),
    };
    let mut ledger = ledger(10, usize::MAX / 2);
    for connection in 1..=5 {
        assert_eq!(ledger.admit(connection, times, start), Admission::Granted);
    }
    ledger.receive(1, 10, start);
    ledger.receive(2, 10, start);
    ledger.begin_body(2);
    ledger.begin_answer(2, start);
    ledger.begin_body(3);
    ledger.begin_serving(4, 0);
    let expired = |ledger: &mut LedgerState, at: u64| {
        let mut expired = ledger.expire(start + millis(at));
        expired.sort_by_key(|(connection, _)| *connection);
        expired
    };
    assert_eq!(expired(&mut ledger, 999), []);
    assert_eq!(expired(&mut ledger, 1_000), [(2, CloseCause::AnswerTime)]);
    assert_eq!(expired(&mut ledger, 3_000), [(1, CloseCause::HeadTime)]);
    assert_eq!(expired(&mut ledger, 5_000), [(5, CloseCause::IdleTime)]);
    // The reader of a body and the job keep their own deadlines.
    assert_eq!(expired(&mut ledger, 60_000), []);
}

/// Guards against connections at rest on which a stopping process has to refuse requests.
#[test]
fn connections_at_rest_are_closed_before_the_process_ends() {
    let start = Instant::now();
    let mut ledger = ledger(10, usize::MAX / 2);
    for connection in 1..=3 {
        assert_eq!(admit(&mut ledger, connection, start), Admission::Granted);
    }
    ledger.begin_body(2);
    ledger.begin_serving(2, 0);
    ledger.receive(3, 10, start);
    assert_eq!(ledger.expire(start + millis(400)), []);
    ledger.limit_rest(millis(300));
    assert_eq!(ledger.expire(start + millis(299)), []);
    let closed = ledger.expire(start + millis(300));
    assert_eq!(
        closed,
        [(1, CloseCause::IdleTime)],
        "a request is served, another arrives"
    );
}
