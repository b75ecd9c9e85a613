//! Restarts parts of the process that end unexpectedly.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::engine::Engine;
use crate::platform::Platform;

/// Delay before a failed part is restarted, so that one that fails at once does not use up the
/// host's CPU.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a part of the process, and starts it again if it panics. Without its timers or its list of
/// workers a process would go on with outdated state, which is worse than its end.
pub fn supervise<P, F>(
    engine: &Rc<Engine<P>>,
    part: &'static str,
    start: impl Fn(Rc<Engine<P>>) -> F + 'static,
) where
    P: Platform,
    F: Future<Output = ()> + 'static,
{
    let engine = Rc::clone(engine);
    spawn_local(async move {
        while let Err(error) = spawn_local(start(Rc::clone(&engine))).await {
            log::error!("event=part_failed part={part} error=\"{error}\" outcome=restarted");
            engine.metrics().record_part_failure(part);
            sleep(RESTART_DELAY).await;
        }
    });
}
