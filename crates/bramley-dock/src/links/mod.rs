//! Connections between relays and pools of different processes.
//!
//! Each relay keeps one connection to the pool of each failure domain. Frames are length-prefixed
//! protobuf messages. Both ends send heartbeats and treat a silent connection as lost, because a
//! device on the network path may lose the connection's state without sending a reset.

pub mod convert;
pub mod inbound;
pub mod outbound;

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use prost::Message;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Largest frame in bytes: the largest request body plus room for the rest of the frame.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Largest number of frames written with one system call.
const BATCH_FRAMES: usize = 64;

/// Capacity in bytes up to which the buffer of a writer is kept for the next frames. Most batches
/// are smaller, and there are up to 42 connections.
const KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Frame that waits to be written.
#[derive(Clone, Debug)]
pub(crate) enum OutgoingFrame<M> {
    /// A frame for one connection.
    Single(M),
    /// A frame for several connections, encoded once.
    Shared(Bytes),
}

impl<M: Message> OutgoingFrame<M> {
    /// Encodes a frame for several connections.
    pub(crate) fn shared(frame: &M) -> Self {
        let mut bytes = BytesMut::new();
        append_frame(&mut bytes, frame);
        Self::Shared(bytes.freeze())
    }
}

/// Reader of length-prefixed frames.
pub type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Configures a connection: small frames are sent without delay, and the connection fails if sent
/// data stays unacknowledged for too long.
pub(crate) fn configure_stream(stream: &TcpStream, idle_timeout: Duration) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=socket_option_failed option=nodelay error=\"{error}\"");
    }
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(idle_timeout)) {
        log::debug!("event=socket_option_failed option=user_timeout error=\"{error}\"");
    }
}

pub(crate) fn split_stream(stream: TcpStream) -> (FrameReader, OwnedWriteHalf) {
    let (reader, writer) = stream.into_split();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    (FramedRead::new(reader, codec), writer)
}

/// Reads the next frame. Returns an error once the connection has ended or was silent for too long.
pub(crate) async fn read_frame<M: Default + Message>(
    reader: &mut FrameReader,
    idle_timeout: Duration,
) -> Result<M, DisconnectReason> {
    match timeout(idle_timeout, reader.next()).await {
        Err(_elapsed) => Err(DisconnectReason::Silent),
        Ok(None) => Err(DisconnectReason::Closed),
        Ok(Some(Err(error))) => Err(DisconnectReason::Failed(error.kind())),
        Ok(Some(Ok(bytes))) => decode_frame(bytes),
    }
}

fn decode_frame<M: Default + Message>(bytes: BytesMut) -> Result<M, DisconnectReason> {
    M::decode(bytes).map_err(|error| {
        log::warn!("event=frame_unreadable error=\"{error}\"");
        DisconnectReason::Unreadable
    })
}

/// Writes frames until their sender is dropped.
pub(crate) async fn write_frames<M: Message>(
    mut writer: OwnedWriteHalf,
    mut frames: UnboundedReceiver<OutgoingFrame<M>>,
) -> io::Result<()> {
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    let mut bytes = BytesMut::new();
    while frames.recv_many(&mut batch, BATCH_FRAMES).await > 0 {
        for frame in batch.drain(..) {
            match frame {
                OutgoingFrame::Single(frame) => append_frame(&mut bytes, &frame),
                OutgoingFrame::Shared(encoded) => bytes.extend_from_slice(&encoded),
            }
        }
        writer.write_all(&bytes).await?;
        bytes.clear();
        if bytes.capacity() > KEPT_BUFFER_BYTES {
            bytes = BytesMut::new();
        }
    }
    writer.shutdown().await
}

/// Appends the length of a frame and the frame, which is encoded in place.
fn append_frame<M: Message>(bytes: &mut BytesMut, frame: &M) {
    let length_at = bytes.len();
    bytes.put_u32(0);
    let frame_at = bytes.len();
    if let Err(error) = frame.encode(bytes) {
        // The buffer grows as needed, so this does not happen.
        log::error!("event=frame_dropped reason=not_encoded error=\"{error}\"");
        bytes.truncate(length_at);
        return;
    }
    let length = u32::try_from(bytes.len() - frame_at).unwrap_or(u32::MAX);
    bytes[length_at..frame_at].copy_from_slice(&length.to_be_bytes());
}

/// Reason why a connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisconnectReason {
    /// The peer closed the connection.
    Closed,
    /// No frame was received for too long.
    Silent,
    /// Reading failed.
    Failed(io::ErrorKind),
    /// A frame could not be decoded.
    Unreadable,
}

impl DisconnectReason {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Failed(_) => "failed",
            Self::Unreadable => "unreadable",
        }
    }
}
