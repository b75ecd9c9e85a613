//! Connection of the local relay to the pool of one failure domain.

use std::net::SocketAddr;
use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_pool::pool_connection::PoolConnection;
use bramley_wire::pool::{PoolFrame, RelayBeat, RelayFrame, RelayHello, pool_frame, relay_frame};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::convert::{decode_pool_message, decode_term};
use super::{
    DisconnectReason, FrameReader, OutgoingFrame, configure_stream, read_frame, split_stream,
    write_frames,
};
use crate::engine::Engine;
use crate::platform::Platform;

/// Connects to the pool at `address` and reconnects whenever the connection ends. The task is
/// aborted when the claim changes.
pub async fn maintain_connection<P: Platform>(
    engine: Rc<Engine<P>>,
    domain: DomainName,
    address: SocketAddr,
) {
    loop {
        match connect(&engine, address).await {
            Ok(stream) => run_connection(&engine, &domain, stream).await,
            Err(is_refused) => engine.pool_connect_failed(&domain, is_refused),
        }
        sleep(engine.settings().link.reconnect_delay).await;
    }
}

/// Opens a connection. The error tells whether the peer refused it.
async fn connect<P: Platform>(
    engine: &Rc<Engine<P>>,
    address: SocketAddr,
) -> Result<TcpStream, bool> {
    let connect_timeout = engine.settings().link.connect_timeout;
    match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log::trace!("event=pool_connect_failed address={address} error=\"{error}\"");
            Err(error.kind() == std::io::ErrorKind::ConnectionRefused)
        }
        Err(_elapsed) => Err(false),
    }
}

async fn run_connection<P: Platform>(
    engine: &Rc<Engine<P>>,
    domain: &DomainName,
    stream: TcpStream,
) {
    let settings = engine.settings().link;
    configure_stream(&stream, settings.idle_timeout);
    let (mut reader, writer) = split_stream(stream);
    let (outgoing, queue) = mpsc::unbounded_channel();
    let hello = RelayHello {
        host: String::from(engine.settings().host.host.as_str()),
        incarnation: engine.incarnation(),
        failure_domain: String::from(domain.as_str()),
        cpu_milli: engine.settings().host.cpu_milli,
        relay_domain: String::from(engine.settings().host.domain.as_str()),
        splits_jobs: true,
        caller_loss_age_ms: engine.caller_loss_age_ms(domain),
    };
    send(&outgoing, relay_frame::Body::Hello(hello));
    // A change of the claim aborts this task. The connection has to end with it, or the earlier pool
    // would keep the jobs of this relay.
    let _write_task = AbortOnDropHandle::new(spawn_local(write_frames(writer, queue)));
    let heartbeat_sender = outgoing.clone();
    let _heartbeat_task = AbortOnDropHandle::new(spawn_local(async move {
        let mut ticks = interval(settings.heartbeat_interval);
        loop {
            ticks.tick().await;
            send(&heartbeat_sender, relay_frame::Body::Beat(RelayBeat {}));
        }
    }));
    let reason = read_frames(engine, domain, &mut reader, outgoing).await;
    engine.pool_disconnected(domain, reason);
}

async fn read_frames<P: Platform>(
    engine: &Rc<Engine<P>>,
    domain: &DomainName,
    reader: &mut FrameReader,
    outgoing: mpsc::UnboundedSender<OutgoingFrame<RelayFrame>>,
) -> DisconnectReason {
    let idle_timeout = engine.settings().link.idle_timeout;
    let mut connection: Option<PoolConnection> = None;
    loop {
        let frame = match read_frame::<PoolFrame>(reader, idle_timeout).await {
            Ok(frame) => frame,
            Err(reason) => return reason,
        };
        let Some(body) = frame.body else {
            continue;
        };
        engine.pool_frame_received(domain);
        if let pool_frame::Body::Beat(beat) = &body {
            if !beat.commands {
                return DisconnectReason::Closed;
            }
            if connection.is_none() {
                connection = engine.pool_connected(domain, decode_term(beat), outgoing.clone());
            }
            if let Some(connection) = &connection {
                engine.heartbeat_received(connection, beat);
            }
        } else if let Some(message) = decode_pool_message(body) {
            match &connection {
                Some(connection) => engine.handle_pool_message(connection, message),
                None => log::debug!("event=frame_dropped pool={domain} reason=no_heartbeat"),
            }
        }
    }
}

/// Queues a frame. If the queue is closed, the connection has ended, which its reader reports.
fn send(outgoing: &mpsc::UnboundedSender<OutgoingFrame<RelayFrame>>, body: relay_frame::Body) {
    let frame = OutgoingFrame::Single(RelayFrame { body: Some(body) });
    if outgoing.send(frame).is_err() {
        log::trace!("event=frame_dropped reason=connection_ended");
    }
}
