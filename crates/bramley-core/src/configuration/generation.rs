//! Configuration state of a host, whose generation never decreases.

use std::sync::Arc;

use serde::Serialize;

use crate::configuration::document::DeploymentConfiguration;
use crate::configuration::envelope::{ConfigurationEnvelope, EnvelopeError};
use crate::digest::ContentDigest;

/// A configuration that is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationVersion {
    /// Generation.
    pub generation: u64,
    /// Identifier of the change that created it.
    pub operation_id: Arc<str>,
    /// Digest of the envelope's text.
    pub digest: ContentDigest,
    /// Text of the envelope, which is forwarded to other hosts unchanged.
    pub text: Arc<str>,
    /// The document.
    pub document: Arc<DeploymentConfiguration>,
}

/// Result of offering an envelope from the store or another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The offered generation is now in force.
    Adopted(ConfigurationVersion),
    /// The offered envelope was already in force.
    AlreadyInForce,
    /// The offered generation is older than the one in force and was ignored.
    Older {
        /// Generation offered.
        offered: u64,
        /// Generation in force.
        in_force: u64,
    },
    /// A different envelope with the generation in force was offered and was ignored.
    Conflicting {
        /// Generation of both.
        generation: u64,
    },
    /// The envelope is invalid; every host of this version refuses it.
    Refused(EnvelopeError),
}

/// Number of offers by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ConfigurationCounts {
    /// Generations put into force.
    pub adopted: u64,
    /// Offers of the envelope already in force.
    pub repeated: u64,
    /// Offers of an older generation.
    pub older: u64,
    /// Offers of a different envelope with the generation in force.
    pub conflicting: u64,
    /// Offers of an invalid envelope.
    pub refused: u64,
}

/// The configuration in force on one host.
///
/// An envelope is parsed and validated completely before the state changes, so a configuration is
/// never applied in part.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationState {
    in_force: Option<ConfigurationVersion>,
    counts: ConfigurationCounts,
}

impl ConfigurationState {
    /// Returns the configuration in force, or `None` if none is known yet.
    #[must_use]
    pub const fn in_force(&self) -> Option<&ConfigurationVersion> {
        self.in_force.as_ref()
    }

    /// Returns the generation in force, or 0 if none is known yet.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |version| version.generation)
    }

    /// Returns the number of offers by outcome.
    #[must_use]
    pub const fn counts(&self) -> ConfigurationCounts {
        self.counts
    }

    /// Processes an envelope from the store or another host. A valid envelope is put into force if
    /// its generation is higher than the current one.
    pub fn offer(&mut self, text: &str) -> OfferOutcome {
        let outcome = self.evaluate(text);
        match &outcome {
            OfferOutcome::Adopted(version) => self.adopt(version.clone()),
            OfferOutcome::AlreadyInForce => self.counts.repeated += 1,
            OfferOutcome::Older { .. } => self.counts.older += 1,
            OfferOutcome::Conflicting { .. } => self.counts.conflicting += 1,
            OfferOutcome::Refused(_) => self.counts.refused += 1,
        }
        outcome
    }

    fn evaluate(&self, text: &str) -> OfferOutcome {
        // Most offers repeat the envelope in force, so parsing is skipped for them.
        if self
            .in_force
            .as_ref()
            .is_some_and(|version| &*version.text == text)
        {
            return OfferOutcome::AlreadyInForce;
        }
        let envelope = match ConfigurationEnvelope::parse(text) {
            Ok(envelope) => envelope,
            Err(error) => return OfferOutcome::Refused(error),
        };
        let offered = envelope.generation();
        let in_force = self.generation();
        if offered < in_force {
            return OfferOutcome::Older { offered, in_force };
        }
        if offered == in_force {
            return OfferOutcome::Conflicting {
                generation: offered,
            };
        }
        OfferOutcome::Adopted(ConfigurationVersion {
            generation: offered,
            operation_id: Arc::from(envelope.change.operation_id),
            digest: ContentDigest::of_fields([text.as_bytes()]),
            text: Arc::from(text),
            document: Arc::new(envelope.document),
        })
    }

    fn adopt(&mut self, version: ConfigurationVersion) {
        // Also checked in release builds: the generation of a host must never decrease.
        assert!(
            version.generation > self.generation(),
            "generation {} is not higher than the current generation {}",
            version.generation,
            self.generation()
        );
        self.counts.adopted += 1;
        self.in_force = Some(version);
    }
}
