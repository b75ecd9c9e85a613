//! Publishes what happens to inbound connections.

use std::rc::Rc;
use std::time::Duration;

use bramley_intake::ConnectionLedger;

use crate::engine::Engine;
use crate::platform::Platform;

/// Time at rest after which a connection to a stopping process is closed, so that its next request
/// goes to another host and does not delay the end of the process.
const STOPPING_REST_LIMIT: Duration = Duration::from_millis(300);

/// Closes connections whose deadline has passed and publishes the ledger's counts until the process
/// ends.
pub async fn watch_connections<P: Platform>(engine: Rc<Engine<P>>, ledger: ConnectionLedger) {
    let publish = |interface, report| {
        engine.metrics().record_intake(interface, &report);
        if engine.is_stopping() {
            ledger.limit_rest(STOPPING_REST_LIMIT);
        }
    };
    ledger.clone().watch(publish).await;
}
