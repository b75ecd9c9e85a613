//! Accepts connections from relays of other processes.

use std::rc::Rc;
use std::time::Duration;

use bramley_intake::{
    ConnectionLedger, IntakeListener, ListenSettings, OpenConnection, PhaseTimes,
};
use bramley_pool::job::JobName;
use bramley_pool::message::{RelayId, RelayMessage};
use bramley_wire::pool::{RelayFrame, RelayHello, relay_frame};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::convert::{decode_submission, decode_waiting};
use super::{
    DisconnectReason, FrameReader, MAX_FRAME_BYTES, configure_stream, read_frame, split_stream,
    write_frames,
};
use crate::engine::Engine;
use crate::intake::watch_connections;
use crate::platform::Platform;

/// Largest first frame in bytes, which names a relay and its host.
const MAX_HELLO_BYTES: usize = 4 * 1024;

/// Accepts connections from relays until the process ends.
pub async fn serve_relays<P: Platform>(engine: Rc<Engine<P>>, listener: TcpListener) {
    let settings = engine.settings().host.capacity.relay_intake();
    let ledger = ConnectionLedger::new("relay", settings);
    spawn_local(watch_connections(Rc::clone(&engine), ledger.clone()));
    let mut listener = IntakeListener::new(listener, ledger, b"", ListenSettings::default());
    loop {
        let (stream, connection) = listener.accept(PhaseTimes::default).await;
        spawn_local(serve_relay(Rc::clone(&engine), stream, connection));
    }
}

async fn serve_relay<P: Platform>(
    engine: Rc<Engine<P>>,
    stream: TcpStream,
    connection: OpenConnection,
) {
    let idle_timeout = engine.settings().link.idle_timeout;
    configure_stream(&stream, idle_timeout);
    let (mut reader, writer) = split_stream(stream);
    let hello = tokio::select! {
        hello = read_hello(&mut reader, idle_timeout) => hello,
        // Only a connection that has not named its relay is closed to make room.
        () = connection.closed() => None,
    };
    let Some(hello) = hello else {
        return;
    };
    connection.handle().begin_serving(0);
    let (outgoing, queue) = mpsc::unbounded_channel();
    let relay = engine.relay_connected(&hello, outgoing);
    let write_task = spawn_local(write_frames(writer, queue));
    let reason = read_messages(&engine, relay, &mut reader).await;
    log_relay_disconnected(&hello, reason);
    engine.relay_disconnected(relay);
    write_task.abort();
}

/// Reads the first frame of a connection, which names the relay.
async fn read_hello(reader: &mut FrameReader, idle_timeout: Duration) -> Option<RelayHello> {
    reader.decoder_mut().set_max_frame_length(MAX_HELLO_BYTES);
    let frame = read_frame::<RelayFrame>(reader, idle_timeout).await;
    reader.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    match frame {
        Ok(RelayFrame {
            body: Some(relay_frame::Body::Hello(hello)),
        }) => Some(hello),
        Ok(_) => {
            log::warn!("event=relay_refused reason=no_hello");
            None
        }
        Err(reason) => {
            log::debug!("event=relay_refused reason={}", reason.as_str());
            None
        }
    }
}

fn log_relay_disconnected(hello: &RelayHello, reason: DisconnectReason) {
    log::info!(
        "event=relay_lost host={} incarnation={} reason={}",
        hello.host,
        hello.incarnation,
        reason.as_str(),
    );
}

async fn read_messages<P: Platform>(
    engine: &Rc<Engine<P>>,
    relay: RelayId,
    reader: &mut FrameReader,
) -> DisconnectReason {
    let idle_timeout = engine.settings().link.idle_timeout;
    loop {
        let frame = match read_frame::<RelayFrame>(reader, idle_timeout).await {
            Ok(frame) => frame,
            Err(reason) => return reason,
        };
        engine.relay_frame_received(relay);
        let message = match frame.body {
            Some(relay_frame::Body::Submit(submit)) => {
                RelayMessage::Submit(Box::new(decode_submission(submit, engine.now())))
            }
            Some(relay_frame::Body::Cancel(cancel)) => {
                RelayMessage::Cancel(JobName::new(cancel.job))
            }
            Some(relay_frame::Body::Resumed(_)) => RelayMessage::Resumed,
            Some(relay_frame::Body::Waiting(waiting)) => {
                RelayMessage::Waiting(decode_waiting(waiting))
            }
            Some(relay_frame::Body::Hello(_) | relay_frame::Body::Beat(_)) | None => continue,
        };
        engine.handle_relay_message(relay, message);
    }
}
