//! Parameters of a watch.

use std::time::Duration;

use tokio::time::Instant;

use crate::server::RequestError;

/// Longest wait of a watch, in milliseconds.
const WAIT_LIMIT_MS: u64 = 3_600_000;

/// Parameters of a read that waits for a change.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WatchQuery {
    /// Revision that the caller knows.
    pub(super) after: u64,
    wait_ms: u64,
}

impl WatchQuery {
    /// Reads the query part of a path; a read without one is no watch.
    ///
    /// # Errors
    ///
    /// Fails for an unknown parameter and for a value that is no number.
    pub(super) fn parse(query: Option<&str>) -> Result<Option<Self>, RequestError> {
        let Some(parameters) = query else {
            return Ok(None);
        };
        let mut query = Self::default();
        for parameter in parameters.split('&') {
            query.set(parameter)?;
        }
        Ok(Some(query))
    }

    /// Returns the time at which a watch that begins now returns without a change.
    pub(super) fn deadline(self, now: Instant) -> Instant {
        now + Duration::from_millis(self.wait_ms.min(WAIT_LIMIT_MS))
    }

    fn set(&mut self, parameter: &str) -> Result<(), RequestError> {
        let malformed = || RequestError::Malformed(format!("parameter {parameter:?}"));
        let (name, value) = parameter.split_once('=').ok_or_else(malformed)?;
        let Ok(number) = value.parse() else {
            return Err(malformed());
        };
        match name {
            "after" => self.after = number,
            "wait_ms" => self.wait_ms = number,
            _ => return Err(malformed()),
        }
        Ok(())
    }
}
