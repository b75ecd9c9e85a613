//! The document together with its generation, as the store keeps it and hosts pass it on.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::configuration::check::{DocumentFault, check_document};
use crate::configuration::document::DeploymentConfiguration;

/// Largest generation; a higher one can only be a mistake, and would block every later change.
pub const MAX_GENERATION: u64 = 1 << 48;

/// Largest number of changes that an envelope records.
pub const MAX_CHANGE_RECORDS: usize = 32;

/// One change of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Generation that the change made.
    pub generation: u64,
    /// Random identity of the change, by which an operator's command finds its own change.
    pub operation_id: String,
    /// Who made the change.
    pub author: String,
    /// Time of the change by the author's clock, in milliseconds since the Unix epoch.
    pub applied_unix_ms: u64,
}

/// A document with its generation and the latest changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationEnvelope {
    /// The change that made this generation.
    pub change: ChangeRecord,
    /// Earlier changes, latest first.
    pub earlier: Vec<ChangeRecord>,
    /// The document.
    pub document: DeploymentConfiguration,
}

/// Why an envelope can't be put into force.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EnvelopeError {
    /// the configuration can't be read: {0}
    Unreadable(String),
    /// the generation {0} is out of range
    GenerationOutOfRange(u64),
    /// the document has {count} faults, the first is {first}
    Faulty {
        /// Number of faults.
        count: usize,
        /// The first fault.
        first: DocumentFault,
    },
}

impl std::error::Error for EnvelopeError {}

impl ConfigurationEnvelope {
    /// Reads and checks an envelope as a whole.
    ///
    /// # Errors
    ///
    /// Returns an [`EnvelopeError`] if any part of it may not be put into force.
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

    /// Returns the JSON text that the store keeps.
    ///
    /// # Panics
    ///
    /// Never, because every part of an envelope has a JSON form.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an envelope has a JSON form")
    }

    /// Makes the envelope of the next change.
    #[must_use]
    pub fn succeed(&self, change: ChangeRecord, document: DeploymentConfiguration) -> Self {
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

    /// Tells whether every change after a generation is recorded.
    #[must_use]
    pub fn records_since(&self, generation: u64) -> bool {
        let is_whole = self.earlier.len() < MAX_CHANGE_RECORDS;
        let mut earlier = self.earlier.iter();
        is_whole || earlier.any(|change| change.generation <= generation)
    }

    /// Returns the recorded change with an operation id.
    #[must_use]
    pub fn find_change(&self, operation_id: &str) -> Option<&ChangeRecord> {
        let mut changes = std::iter::once(&self.change).chain(&self.earlier);
        changes.find(|change| change.operation_id == operation_id)
    }
}
