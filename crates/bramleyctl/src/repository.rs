//! Reads and writes the stored configuration and its history.

use std::time::Duration;

use bramley_core::configuration::{ConfigurationEnvelope, EnvelopeError};
use bramley_store::{BackoffSettings, RetryBackoff, StoreClient, StoreError};
use bramley_wire::platform::{KeyValue, PutReply, PutRequest};
use tokio::time::Instant;

/// Maximum size of the history in bytes, below the platform's limit for a value.
const MAX_HISTORY_BYTES: usize = 900_000;

/// Maximum number of envelopes in the history.
const MAX_HISTORY_ENTRIES: usize = 16;

/// Number of attempts to add an envelope to the history.
const HISTORY_ATTEMPTS: usize = 3;

/// The configuration as read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoredConfiguration {
    /// Revision of the configuration's key.
    pub revision: u64,
    /// Parsed envelope, or why it is invalid; `None` if the key is absent or its value is empty.
    pub envelope: Option<Result<ConfigurationEnvelope, EnvelopeError>>,
}

impl StoredConfiguration {
    /// Parses the value of the configuration's key.
    #[must_use]
    pub fn from_value(value: &KeyValue) -> Self {
        let is_present = value.revision > 0 && !value.value.is_empty();
        Self {
            revision: value.revision,
            envelope: is_present.then(|| ConfigurationEnvelope::parse(&value.value)),
        }
    }
}

/// Access to one configuration in the store and to its history.
#[derive(Clone, Debug)]
pub struct ConfigurationRepository {
    store: StoreClient,
    key: String,
}

impl ConfigurationRepository {
    /// Creates a repository for the configuration under `key`.
    #[must_use]
    pub fn new(store: StoreClient, key: impl Into<String>) -> Self {
        Self {
            store,
            key: key.into(),
        }
    }

    /// Reads the configuration and retries transient errors until the deadline.
    ///
    /// # Errors
    ///
    /// Returns the last [`StoreError`].
    pub async fn read(&self, deadline: Instant) -> Result<StoredConfiguration, StoreError> {
        let value = self.read_value(&self.key, deadline).await?;
        Ok(StoredConfiguration::from_value(&value))
    }

    /// Writes an envelope if the key still has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store gives no valid reply.
    pub async fn write(&self, text: &str, expected_revision: u64) -> Result<PutReply, StoreError> {
        let request = PutRequest {
            value: String::from(text),
            expected_revision,
            lease_ms: 0,
        };
        self.store.put(&self.key, &request).await
    }

    /// Reads the envelopes in the history, newest first.
    ///
    /// # Errors
    ///
    /// Returns the last [`StoreError`].
    pub async fn read_history(
        &self,
        deadline: Instant,
    ) -> Result<Vec<ConfigurationEnvelope>, StoreError> {
        let value = self.read_value(&self.history_key(), deadline).await?;
        Ok(parse_history(&value.value))
    }

    /// Adds an envelope that is about to be replaced to the history, unless it is there already.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the envelope could not be added.
    pub async fn add_to_history(
        &self,
        envelope: &ConfigurationEnvelope,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        let mut last =
            StoreError::ResponseLost(String::from("the history was changed concurrently"));
        for _ in 0..HISTORY_ATTEMPTS {
            let value = self.read_value(&self.history_key(), deadline).await?;
            let history = parse_history(&value.value);
            if history.iter().any(|entry| entry.change == envelope.change) {
                return Ok(());
            }
            let request = PutRequest {
                value: prepend_to_history(envelope, &history),
                expected_revision: value.revision,
                lease_ms: 0,
            };
            match self.store.put(&self.history_key(), &request).await {
                Ok(reply) if reply.applied => return Ok(()),
                Ok(_) => {}
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn history_key(&self) -> String {
        format!("{}-history", self.key)
    }

    async fn read_value(&self, key: &str, deadline: Instant) -> Result<KeyValue, StoreError> {
        let mut backoff = DeadlineBackoff::new(deadline);
        loop {
            match self.store.get(key).await {
                Ok(value) => return Ok(value),
                Err(error) if !error.is_transient() => return Err(error),
                Err(error) => {
                    if !backoff.wait().await {
                        return Err(error);
                    }
                }
            }
        }
    }
}

/// Exponential backoff between attempts, limited by a deadline.
#[derive(Debug)]
pub struct DeadlineBackoff {
    backoff: RetryBackoff,
    deadline: Instant,
}

impl DeadlineBackoff {
    /// Creates the backoff for an operation that may be retried until the deadline.
    #[must_use]
    pub const fn new(deadline: Instant) -> Self {
        let settings = BackoffSettings {
            first_delay_ms: 100,
            max_delay_ms: 2_000,
        };
        Self {
            backoff: RetryBackoff::new(settings),
            deadline,
        }
    }

    /// Waits before the next attempt, or returns `false` at once if the delay would exceed the
    /// deadline.
    pub async fn wait(&mut self) -> bool {
        let delay: Duration = self.backoff.next_delay(&mut rand::rng());
        if Instant::now() + delay >= self.deadline {
            return false;
        }
        tokio::time::sleep(delay).await;
        true
    }
}

/// Parses the history. An invalid history is treated as empty and gets overwritten.
fn parse_history(text: &str) -> Vec<ConfigurationEnvelope> {
    serde_json::from_str(text).unwrap_or_default()
}

/// Serialises the history with a new first envelope and drops the oldest ones above the limits.
fn prepend_to_history(
    envelope: &ConfigurationEnvelope,
    history: &[ConfigurationEnvelope],
) -> String {
    let mut texts = Vec::new();
    let mut size = 0;
    for entry in std::iter::once(envelope).chain(history) {
        let text = entry.to_json();
        size += text.len() + 1;
        if size > MAX_HISTORY_BYTES || texts.len() == MAX_HISTORY_ENTRIES {
            break;
        }
        texts.push(text);
    }
    format!("[{}]", texts.join(","))
}
