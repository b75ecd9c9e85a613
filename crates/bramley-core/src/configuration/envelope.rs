//! Stored and transmitted form of the configuration: the document with its generation and change
//! history.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::configuration::check::{DocumentFault, check_document};
use crate::configuration::document::DeploymentConfiguration;

/// Maximum generation. A higher one can only be a mistake, and accepting it would block every later
/// change, because hosts only adopt higher generations.
pub const MAX_GENERATION: u64 = 1 << 48;

/// Maximum number of earlier changes recorded in an envelope.
pub const MAX_CHANGE_RECORDS: usize = 32;

/// Metadata of a configuration change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Generation that the change created.
    pub generation: u64,
    /// Random identifier of the change, by which an operator's command recognises its own change.
    pub operation_id: String,
    /// Who made the change.
    pub author: String,
    /// Time of the change by the author's clock, in milliseconds since the Unix epoch.
    pub applied_unix_ms: u64,
}

/// A document with its generation and the most recent changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationEnvelope {
    /// The change that created this generation.
    pub change: ChangeRecord,
    /// Earlier changes, latest first.
    pub earlier: Vec<ChangeRecord>,
    /// The document.
    pub document: DeploymentConfiguration,
}

/// Reason why an envelope is refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EnvelopeError {
    /// cannot parse the configuration: {0}
    Unreadable(String),
    /// the generation {0} is out of range
    GenerationOutOfRange(u64),
    /// the document has {count} errors, the first is {first}
    Faulty {
        /// Number of validation errors.
        count: usize,
        /// The first validation error.
        first: DocumentFault,
    },
}

impl std::error::Error for EnvelopeError {}

impl ConfigurationEnvelope {
    /// Parses and validates an envelope.
    ///
    /// # Errors
    ///
    /// Returns an [`EnvelopeError`] if the envelope cannot be parsed, its generation is out of
    /// range or its document is invalid.
    pub fn parse(text: &str) -> Result<Self, EnvelopeError> {
        let envelope: Self = serde_json::from_str(text)
            .map_err(|error| EnvelopeError::Unreadable(error.to_string()))?;
        let generation = envelope.generation();
        if generation == 0 || generation > MAX_GENERATION {
            return Err(EnvelopeError::GenerationOutOfRange(generation));
        }
        let faults = check_document(&envelope.document);
        let count = faults.len();
        match faults.into_iter().next() {
            Some(first) => Err(EnvelopeError::Faulty { count, first }),
            None => Ok(envelope),
        }
    }

    /// Returns the generation.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.change.generation
    }

    /// Returns the JSON text to store.
    ///
    /// # Panics
    ///
    /// Never, because every field of an envelope can be serialised to JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every field of an envelope can be serialised to JSON")
    }

    /// Creates the envelope for the next change.
    #[must_use]
    pub fn next_change(&self, change: ChangeRecord, document: DeploymentConfiguration) -> Self {
        let mut earlier = Vec::new();
        if self.generation() > 0 {
            earlier.push(self.change.clone());
            earlier.extend(self.earlier.iter().cloned());
            earlier.truncate(MAX_CHANGE_RECORDS);
        }
        Self {
            change,
            earlier,
            document,
        }
    }

    /// Returns whether the history contains every change after a generation.
    #[must_use]
    pub fn has_history_since(&self, generation: u64) -> bool {
        let is_complete = self.earlier.len() < MAX_CHANGE_RECORDS;
        let mut earlier = self.earlier.iter();
        is_complete || earlier.any(|change| change.generation <= generation)
    }

    /// Returns the recorded change with the given operation id.
    #[must_use]
    pub fn find_change(&self, operation_id: &str) -> Option<&ChangeRecord> {
        let mut changes = std::iter::once(&self.change).chain(&self.earlier);
        changes.find(|change| change.operation_id == operation_id)
    }
}
