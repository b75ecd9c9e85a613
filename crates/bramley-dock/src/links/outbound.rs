//! Keeps the connection of the own relay to the pool of one failure domain.

use std::net::SocketAddr;
use std::rc::Rc;

use bramley_core::names::DomainName;
use bramley_wire::pool::{PoolFrame, RelayBeat, RelayFrame, RelayHello, pool_frame, relay_frame};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

use super::convert::{load_of, pool_message_of};
use super::{FrameReader, LinkEnd, prepare_stream, read_frame, split_stream, write_frames};
use crate::engine::Engine;
use crate::port::PlatformPort;

/// Connects to the pool at `address` again and again; aborted when the claim changes.
pub async fn keep_pool<P: PlatformPort>(
    engine: Rc<Engine<P>>,
    domain: DomainName,
    address: SocketAddr,
) {
    loop {
        match connect(&engine, address).await {
            Ok(stream) => run_link(&engine, &domain, stream).await,
            Err(refused) => engine.pool_refused(&domain, refused),
        }
        sleep(engine.settings().link.reconnect_wait).await;
    }
}

/// Opens a connection; the error tells whether the machine refused it.
async fn connect<P: PlatformPort>(
    engine: &Rc<Engine<P>>,
    address: SocketAddr,
) -> Result<TcpStream, bool> {
    let limit = engine.settings().link.connect_limit;
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log::trace!("event=pool_connect_failed address={address} error=\"{error}\"");
            Err(error.kind() == std::io::ErrorKind::ConnectionRefused)
        }
        Err(_elapsed) => Err(false),
    }
}

async fn run_link<P: PlatformPort>(engine: &Rc<Engine<P>>, domain: &DomainName, stream: TcpStream) {
    let settings = engine.settings().link;
    prepare_stream(&stream, settings.silence_limit);
    let (mut reader, writer) = split_stream(stream);
    let (frames, queue) = mpsc::unbounded_channel();
    let hello = RelayHello {
        host: String::from(engine.settings().host.host.as_str()),
        incarnation: engine.incarnation(),
        failure_domain: String::from(domain.as_str()),
        cpu_milli: engine.settings().host.cpu_milli,
        relay_domain: String::from(engine.settings().host.domain.as_str()),
    };
    send(&frames, relay_frame::Body::Hello(hello));
    let writing = spawn_local(write_frames(writer, queue));
    let beats = frames.clone();
    let beating = spawn_local(async move {
        let mut ticks = interval(settings.heartbeat_every);
        loop {
            ticks.tick().await;
            send(&beats, relay_frame::Body::Beat(RelayBeat {}));
        }
    });
    let end = read_pool(engine, domain, &mut reader, frames).await;
    beating.abort();
    writing.abort();
    engine.pool_disconnected(domain, end);
}

async fn read_pool<P: PlatformPort>(
    engine: &Rc<Engine<P>>,
    domain: &DomainName,
    reader: &mut FrameReader,
    frames: mpsc::UnboundedSender<RelayFrame>,
) -> LinkEnd {
    let silence_limit = engine.settings().link.silence_limit;
    let mut is_connected = false;
    loop {
        let frame = match read_frame::<PoolFrame>(reader, silence_limit).await {
            Ok(frame) => frame,
            Err(end) => return end,
        };
        let Some(body) = frame.body else {
            continue;
        };
        engine.pool_heard(domain);
        if let pool_frame::Body::Beat(beat) = &body {
            if !beat.commands {
                return LinkEnd::Closed;
            }
            if !is_connected {
                is_connected = true;
                engine.pool_connected(domain, frames.clone());
            }
            engine.pool_loaded(domain, load_of(beat), beat.gives_way);
        } else if let Some(message) = pool_message_of(body) {
            engine.pool_said(domain, message);
        }
    }
}

/// Queues a frame; a closed queue means that the connection has ended, which its reader reports.
fn send(frames: &mpsc::UnboundedSender<RelayFrame>, body: relay_frame::Body) {
    if frames.send(RelayFrame { body: Some(body) }).is_err() {
        log::trace!("event=frame_dropped reason=connection_ended");
    }
}
