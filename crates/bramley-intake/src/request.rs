//! Life of one request on a connection.

use std::marker::PhantomData;

use bytes::Bytes;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::body::{BodyError, collect_body};
use crate::ledger::ConnectionHandle;

/// State of a request whose head has been read.
#[derive(Debug)]
pub enum Receiving {}

/// State of a request that is being served.
#[derive(Debug)]
pub enum Serving {}

/// Request that a connection is busy with. When it is dropped, its response is known.
#[derive(Debug)]
pub struct RequestIntake<S> {
    guard: AnswerGuard,
    state: PhantomData<S>,
}

#[derive(Debug)]
struct AnswerGuard(ConnectionHandle);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.begin_answer();
    }
}

impl<S> RequestIntake<S> {
    /// Returns the connection of the request.
    #[must_use]
    pub const fn connection(&self) -> &ConnectionHandle {
        &self.guard.0
    }
}

impl RequestIntake<Receiving> {
    /// Registers a request whose head has been read.
    #[must_use]
    pub fn new(connection: ConnectionHandle) -> Self {
        connection.begin_body();
        Self {
            guard: AnswerGuard(connection),
            state: PhantomData,
        }
    }

    /// Reads the body of the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger than `limit` bytes, is not complete by the deadline
    /// or cannot be read, or if no other connection can be closed to make room for it.
    pub async fn read_body(
        &self,
        body: &mut Incoming,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, BodyError> {
        match timeout_at(deadline, collect_body(body, limit, &self.guard.0)).await {
            Ok(read) => read,
            Err(_elapsed) => Err(BodyError::TimedOut),
        }
    }

    /// Turns to serving the request, for which `held_bytes` are kept.
    #[must_use]
    pub fn serve(self, held_bytes: usize) -> RequestIntake<Serving> {
        self.guard.0.begin_serving(held_bytes);
        RequestIntake {
            guard: self.guard,
            state: PhantomData,
        }
    }
}
