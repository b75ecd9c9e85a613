//! Moves a host to higher generations of the configuration only.

use std::sync::Arc;

use serde::Serialize;

use crate::configuration::document::DeploymentConfiguration;
use crate::configuration::envelope::{ConfigurationEnvelope, EnvelopeError};
use crate::digest::BodyDigest;

/// A configuration that is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationVersion {
    /// Generation.
    pub generation: u64,
    /// Identity of the change that made it.
    pub operation_id: Arc<str>,
    /// Fingerprint of the envelope's text.
    pub digest: BodyDigest,
    /// Text of the envelope, which is passed on to other hosts unchanged.
    pub text: Arc<str>,
    /// The document.
    pub document: Arc<DeploymentConfiguration>,
}

/// What became of an envelope that the store or another host offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The offered generation is in force now.
    Adopted(ConfigurationVersion),
    /// The offered envelope was in force already.
    AlreadyInForce,
    /// The offered generation is older than the one in force; it is not obeyed.
    Older {
        /// Generation offered.
        offered: u64,
        /// Generation in force.
        in_force: u64,
    },
    /// Another envelope of the generation in force was offered; it is not obeyed.
    Conflicting {
        /// Generation of both.
        generation: u64,
    },
    /// The envelope may not be put into force on any host of this version.
    Refused(EnvelopeError),
}

/// Counts of offers by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ConfigurationCounts {
    /// Generations put into force.
    pub adopted: u64,
    /// Offers of what was in force already.
    pub repeated: u64,
    /// Offers of an older generation.
    pub older: u64,
    /// Offers of another envelope with the generation in force.
    pub conflicting: u64,
    /// Offers that may not be put into force.
    pub refused: u64,
}

/// The configuration in force on one host.
///
/// An envelope is read and checked as a whole before anything changes, so that no part of it is
/// ever in force alone.
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

    /// Returns the counts of offers.
    #[must_use]
    pub const fn counts(&self) -> ConfigurationCounts {
        self.counts
    }

    /// Takes an envelope that the store or another host offers, and puts it into force if its
    /// generation is higher than the one in force.
    pub fn offer(&mut self, text: &str) -> OfferOutcome {
        let outcome = self.judge(text);
        match &outcome {
            OfferOutcome::Adopted(version) => self.adopt(version.clone()),
            OfferOutcome::AlreadyInForce => self.counts.repeated += 1,
            OfferOutcome::Older { .. } => self.counts.older += 1,
            OfferOutcome::Conflicting { .. } => self.counts.conflicting += 1,
            OfferOutcome::Refused(_) => self.counts.refused += 1,
        }
        outcome
    }

    fn judge(&self, text: &str) -> OfferOutcome {
        // The usual offer repeats what is in force and needs no parsing.
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
            digest: BodyDigest::of_fields([text.as_bytes()]),
            text: Arc::from(text),
            document: Arc::new(envelope.document),
        })
    }

    fn adopt(&mut self, version: ConfigurationVersion) {
        // This holds in release builds too: a host must never go back.
        assert!(
            version.generation > self.generation(),
            "generation {} must not follow generation {}",
            version.generation,
            self.generation()
        );
        self.counts.adopted += 1;
        self.in_force = Some(version);
    }
}
