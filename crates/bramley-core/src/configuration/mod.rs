//! The deployment's configuration: its document, its checks and its generation.

pub mod document;

pub use document::{ClassConfiguration, DeploymentConfiguration, TeamConfiguration};
