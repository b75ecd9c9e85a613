//! Connects relays and pools of different processes.
//!
//! Each relay keeps one connection to the pool of each failure domain. Frames are protobuf messages
//! with their length before them. Both ends send a heartbeat and treat a silent connection as lost,
//! because something between them may have lost track of it without a reset.

pub mod convert;
pub mod inbound;
pub mod outbound;

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use prost::Message;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Largest frame in bytes: the largest body of a request with room for the rest of the frame.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Frames that are written with one system call.
const BATCH_FRAMES: usize = 64;

/// Reads frames.
pub type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Prepares a connection: no delay for small frames, and unacknowledged bytes end it.
pub(crate) fn prepare_stream(stream: &TcpStream, silence_limit: Duration) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=socket_option_failed option=nodelay error=\"{error}\"");
    }
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(silence_limit)) {
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

/// Reads the next frame; none once the connection has ended or was silent for too long.
pub(crate) async fn read_frame<M: Default + Message>(
    reader: &mut FrameReader,
    silence_limit: Duration,
) -> Result<M, LinkEnd> {
    match timeout(silence_limit, reader.next()).await {
        Err(_elapsed) => Err(LinkEnd::Silent),
        Ok(None) => Err(LinkEnd::Closed),
        Ok(Some(Err(error))) => Err(LinkEnd::Failed(error.kind())),
        Ok(Some(Ok(bytes))) => decode_frame(bytes),
    }
}

fn decode_frame<M: Default + Message>(bytes: BytesMut) -> Result<M, LinkEnd> {
    M::decode(bytes).map_err(|error| {
        log::warn!("event=frame_unreadable error=\"{error}\"");
        LinkEnd::Unreadable
    })
}

/// Writes frames until their sender is dropped.
pub(crate) async fn write_frames<M: Message>(
    mut writer: OwnedWriteHalf,
    mut frames: UnboundedReceiver<M>,
) -> io::Result<()> {
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    while frames.recv_many(&mut batch, BATCH_FRAMES).await > 0 {
        let mut bytes = BytesMut::new();
        for frame in batch.drain(..) {
            append_frame(&mut bytes, &frame);
        }
        let bytes = bytes.freeze();
        writer.write_all(&bytes).await?;
    }
    writer.shutdown().await
}

fn append_frame<M: Message>(bytes: &mut BytesMut, frame: &M) {
    let length = u32::try_from(frame.encoded_len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&frame.encode_to_vec());
}

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// The other end has closed it.
    Closed,
    /// Nothing was heard for too long.
    Silent,
    /// It has failed.
    Failed(io::ErrorKind),
    /// A frame could not be read.
    Unreadable,
}

impl LinkEnd {
    /// Returns the word for logs.
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
