//! Deadlines of calls while the process is short of processor time.

use std::time::Duration;

use bramley_dock::deadline::{DeadlinePassed, before};
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, advance, sleep};

const LIMIT: Duration = Duration::from_millis(150);

/// Pattern: a host that has just taken command has so much to do that answers wait in its sockets until
/// after their deadline; taking them as missing makes still more work.
#[tokio::test(start_paused = true)]
async fn a_result_that_waits_behind_other_work_is_not_lost() {
    let (answer, answered) = oneshot::channel();
    let reader = tokio::spawn(async move {
        for _turn in 0..4 {
            yield_now().await;
        }
        answer.send(7)
    });
    let call = tokio::spawn(before(Instant::now() + LIMIT, answered));
    yield_now().await;
    advance(LIMIT * 2).await;
    assert_eq!(call.await.expect("the call ends"), Ok(Ok(7)));
    assert_eq!(reader.await.expect("the reader ends"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_is_noticed_in_time_is_kept() {
    let began = Instant::now();
    let missing = before(began + LIMIT, std::future::pending::<()>()).await;
    assert_eq!(missing, Err(DeadlinePassed));
    assert!(began.elapsed() < LIMIT + Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn a_late_deadline_is_not_extended_for_ever() {
    let began = Instant::now();
    let call = tokio::spawn(before(began + LIMIT, std::future::pending::<()>()));
    yield_now().await;
    for _round in 0..40 {
        advance(Duration::from_millis(100)).await;
        sleep(Duration::ZERO).await;
    }
    assert!(call.is_finished());
    assert_eq!(call.await.expect("the call ends"), Err(DeadlinePassed));
}
