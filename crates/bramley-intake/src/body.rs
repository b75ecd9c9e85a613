//! Reads bodies into one buffer, so that a byte of payload costs the same in pieces of any size.

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Capacity in bytes that is reserved for a body before any of it has arrived.
const FIRST_CAPACITY: usize = 4 * 1024;

/// Reason why a body was not read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the body is larger than the limit
    TooLarge,
    /// the body did not arrive in time
    TimedOut,
    /// there is no memory for the body
    NoMemory,
    /// the body cannot be read: {0}
    Unreadable(hyper::Error),
}

impl std::error::Error for BodyError {}

/// Budget from which the memory of a body is taken.
pub trait BodyMemory {
    /// Takes bytes before they are allocated. Returns whether there was room for them.
    fn reserve(&self, bytes: usize) -> impl Future<Output = bool>;
}

/// No budget: the limit of the body alone bounds its memory.
impl BodyMemory for () {
    async fn reserve(&self, _bytes: usize) -> bool {
        true
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large or cannot be read, or if there is no memory for it.
pub async fn collect_body(
    body: &mut Incoming,
    limit: usize,
    memory: &impl BodyMemory,
) -> Result<Bytes, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::new();
    let mut reserved_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Unreadable)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = bytes.len() + data.len();
        if needed > limit {
            return Err(BodyError::TooLarge);
        }
        if needed > reserved_bytes {
            // Doubling bounds the number of copies. The exact size is taken where it is known.
            let announced = hint.exact().and_then(|exact| usize::try_from(exact).ok());
            let doubled = reserved_bytes.saturating_mul(2).max(FIRST_CAPACITY);
            let capacity = doubled.min(announced.unwrap_or(limit)).max(needed);
            if !memory.reserve(capacity - reserved_bytes).await {
                return Err(BodyError::NoMemory);
            }
            bytes.reserve_exact(capacity - bytes.len());
            reserved_bytes = capacity;
        }
        bytes.extend_from_slice(data);
    }
    Ok(Bytes::from(bytes))
}

/// Reads the rest of a body without keeping it, so that the client can read the response and the
/// connection can be used for further requests. Returns whether its end was reached within `limit`
/// bytes.
pub async fn discard_body(body: &mut Incoming, limit: usize) -> bool {
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > limit {
            return false;
        }
    }
    true
}
