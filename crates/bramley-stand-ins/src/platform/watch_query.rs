//! Query parameters of a watch.

use std::time::Duration;

use tokio::time::Instant;

use crate::server::RequestError;

/// Maximum wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Parameters of a read that waits for a change.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WatchQuery {
    /// Revision known to the client.
    pub(super) after: u64,
    wait_ms: u64,
}

impl WatchQuery {
    /// Parses the query of a URI. A request without a query is not a watch.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is unknown or its value is not an integer.
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

    /// Returns the time at which a watch that starts at `now` returns without a change.
    pub(super) fn deadline(self, now: Instant) -> Instant {
        now + Duration::from_millis(self.wait_ms.min(MAX_WAIT_MS))
    }

    fn set(&mut self, parameter: &str) -> Result<(), RequestError> {
        let malformed = || RequestError::Malformed(format!("invalid parameter {parameter:?}"));
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
