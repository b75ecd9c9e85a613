//! The deployment's configuration: its document, its checks and its generation.
//!
//! - [`check`] tells whether a document may be put into force.
//! - [`document`] holds the document.
//! - [`envelope`] holds the document together with its generation, as the store keeps it.
//! - [`generation`] moves a host to higher generations only.

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
