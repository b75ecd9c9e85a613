//! Accepts connections from relays of other processes.

use std::rc::Rc;

use bramley_pool::job::JobName;
use bramley_pool::message::{RelayId, RelayMessage};
use bramley_wire::pool::{RelayFrame, RelayHello, relay_frame};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::convert::{decode_submission, decode_waiting};
use super::{
    DisconnectReason, FrameReader, configure_stream, read_frame, split_stream, write_frames,
};
use crate::engine::Engine;
use crate::platform::Platform;

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Accepts connections from relays until the process ends.
pub async fn serve_relays<P: Platform>(engine: Rc<Engine<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_relay(Rc::clone(&engine), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed interface=relay error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_relay<P: Platform>(engine: Rc<Engine<P>>, stream: TcpStream) {
    let idle_timeout = engine.settings().link.idle_timeout;
    configure_stream(&stream, idle_timeout);
    let (mut reader, writer) = split_stream(stream);
    let hello = match read_frame::<RelayFrame>(&mut reader, idle_timeout).await {
        Ok(RelayFrame {
            body: Some(relay_frame::Body::Hello(hello)),
        }) => hello,
        Ok(_) => return log::warn!("event=relay_refused reason=no_hello"),
        Err(reason) => return log::debug!("event=relay_refused reason={}", reason.as_str()),
    };
    let (outgoing, queue) = mpsc::unbounded_channel();
    let relay = engine.relay_connected(&hello, outgoing);
    let write_task = spawn_local(write_frames(writer, queue));
    let reason = read_messages(&engine, relay, &mut reader).await;
    log_relay_disconnected(&hello, reason);
    engine.relay_disconnected(relay);
    write_task.abort();
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
