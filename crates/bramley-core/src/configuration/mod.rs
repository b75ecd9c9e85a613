//! Deployment configuration: the document, its validation and its generation.
//!
//! - [`check`] validates a document.
//! - [`document`] defines the document.
//! - [`envelope`] defines the stored form: the document with its generation and change history.
//! - [`generation`] applies new generations on a host; the generation never decreases.

pub mod check;
pub mod document;
pub mod envelope;
pub mod generation;

pub use check::{DocumentFault, check_document};
pub use document::{
    ClassConfiguration, DeploymentConfiguration, DeploymentSizes, RegionConfiguration,
    TeamConfiguration,
};
pub use envelope::{ChangeRecord, ConfigurationEnvelope, EnvelopeError};
pub use generation::{ConfigurationCounts, ConfigurationState, ConfigurationVersion, OfferOutcome};
