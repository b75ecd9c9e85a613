//! Publishes what happens to inbound connections.

use std::rc::Rc;

use bramley_intake::ConnectionLedger;

use crate::engine::Engine;
use crate::platform::Platform;

/// Closes connections whose deadline has passed and publishes the ledger's counts until the process
/// ends.
pub async fn watch_connections<P: Platform>(engine: Rc<Engine<P>>, ledger: ConnectionLedger) {
    let publish = |interface, report| engine.metrics().record_intake(interface, &report);
    ledger.watch(publish).await;
}
