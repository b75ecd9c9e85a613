//! Serves connections of relays of other processes.

use std::rc::Rc;

use bramley_pool::job::JobName;
use bramley_pool::message::{RelayId, RelayMessage};
use bramley_wire::pool::{RelayFrame, RelayHello, relay_frame};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::convert::submission_of;
use super::{FrameReader, LinkEnd, prepare_stream, read_frame, split_stream, write_frames};
use crate::engine::Engine;
use crate::port::PlatformPort;

/// Wait after the listener has failed, so that a lack of descriptors does not spin.
const ACCEPT_RETRY: std::time::Duration = std::time::Duration::from_millis(50);

/// Accepts connections of relays until the process ends.
pub async fn serve_relays<P: PlatformPort>(engine: Rc<Engine<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_relay(Rc::clone(&engine), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed interface=relay error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_relay<P: PlatformPort>(engine: Rc<Engine<P>>, stream: TcpStream) {
    let silence_limit = engine.settings().link.silence_limit;
    prepare_stream(&stream, silence_limit);
    let (mut reader, writer) = split_stream(stream);
    let hello = match read_frame::<RelayFrame>(&mut reader, silence_limit).await {
        Ok(RelayFrame {
            body: Some(relay_frame::Body::Hello(hello)),
        }) => hello,
        Ok(_) => return log::warn!("event=relay_refused reason=no_hello"),
        Err(end) => return log::debug!("event=relay_refused reason={}", end.as_str()),
    };
    let (frames, queue) = mpsc::unbounded_channel();
    let relay = engine.relay_connected(&hello, frames);
    let writing = spawn_local(write_frames(writer, queue));
    let end = read_messages(&engine, relay, &mut reader).await;
    note_relay_lost(&hello, end);
    engine.relay_disconnected(relay);
    writing.abort();
}

fn note_relay_lost(hello: &RelayHello, end: LinkEnd) {
    log::info!(
        "event=relay_lost host={} incarnation={} reason={}",
        hello.host,
        hello.incarnation,
        end.as_str(),
    );
}

async fn read_messages<P: PlatformPort>(
    engine: &Rc<Engine<P>>,
    relay: RelayId,
    reader: &mut FrameReader,
) -> LinkEnd {
    let silence_limit = engine.settings().link.silence_limit;
    loop {
        let frame = match read_frame::<RelayFrame>(reader, silence_limit).await {
            Ok(frame) => frame,
            Err(end) => return end,
        };
        let message = match frame.body {
            Some(relay_frame::Body::Submit(submit)) => {
                RelayMessage::Submit(Box::new(submission_of(submit, engine.now())))
            }
            Some(relay_frame::Body::Cancel(cancel)) => {
                RelayMessage::Cancel(JobName::new(cancel.job))
            }
            Some(relay_frame::Body::Hello(_) | relay_frame::Body::Beat(_)) | None => continue,
        };
        engine.relay_said(relay, message);
    }
}
