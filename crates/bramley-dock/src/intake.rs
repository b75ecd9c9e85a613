//! Publishes what happens to inbound connections.

use std::rc::Rc;
use std::time::Duration;

use bramley_intake::ConnectionLedger;

use crate::engine::Engine;
use crate::platform::Platform;

/// Time from the start of a planned stop after which connections at rest are closed, so that their
/// next request is not refused: the platform no longer sends new connections here by then.
const REST_LIMIT_AFTER: Duration = Duration::from_millis(2_000);

/// Time at rest after which a connection to a stopping process is closed.
const STOPPING_REST_LIMIT: Duration = Duration::from_millis(300);

/// Closes connections whose deadline has passed and publishes the ledger's counts until the process
/// ends.
pub async fn watch_connections<P: Platform>(engine: Rc<Engine<P>>, ledger: ConnectionLedger) {
    let publish = |interface, report| {
        engine.metrics().record_intake(interface, &report);
        if engine.time_since_stop_began() >= REST_LIMIT_AFTER {
            ledger.limit_rest(STOPPING_REST_LIMIT);
        }
    };
    ledger.clone().watch(publish).await;
}
