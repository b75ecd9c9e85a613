//! Deadlines of calls in a process that is short of processor time.

use std::time::Duration;

use bramley_dock::deadline::{DeadlineExceeded, timeout_at_with_grace};
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, advance, sleep};

const TIMEOUT: Duration = Duration::from_millis(150);

/// Guards against discarding a response that arrived in time. A host that has just become the
/// leader is so busy that responses wait in its sockets until after their deadline, and repeating
/// those calls adds even more work.
#[tokio::test(start_paused = true)]
async fn a_result_that_waits_behind_other_work_is_not_lost() {
    let (answer, answered) = oneshot::channel();
    let reader = tokio::spawn(async move {
        for _turn in 0..4 {
            yield_now().await;
        }
        answer.send(7)
    });
    let call = tokio::spawn(timeout_at_with_grace(Instant::now() + TIMEOUT, answered));
    yield_now().await;
    advance(TIMEOUT * 2).await;
    assert_eq!(call.await.expect("the call ends"), Ok(Ok(7)));
    assert_eq!(reader.await.expect("the reader ends"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_is_noticed_in_time_is_kept() {
    let began = Instant::now();
    let missing = timeout_at_with_grace(began + TIMEOUT, std::future::pending::<()>()).await;
    assert_eq!(missing, Err(DeadlineExceeded));
    assert!(began.elapsed() < TIMEOUT + Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn a_late_deadline_is_not_extended_for_ever() {
    let began = Instant::now();
    let call = tokio::spawn(timeout_at_with_grace(
        began + TIMEOUT,
        std::future::pending::<()>(),
    ));
    yield_now().await;
    for _round in 0..40 {
        advance(Duration::from_millis(100)).await;
        sleep(Duration::ZERO).await;
    }
    assert!(call.is_finished());
    assert_eq!(call.await.expect("the call ends"), Err(DeadlineExceeded));
}
