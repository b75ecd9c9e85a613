//! Validation of configuration documents in files.

use bramley_core::configuration::{DeploymentConfiguration, check_document};

use crate::load::ValidatedSettings;
use crate::validation::ValidationErrors;

impl ValidatedSettings for DeploymentConfiguration {
    const REQUIRED_FIELDS: &'static [&'static str] = &["deployment", "failure_domains", "teams"];

    fn validate(&self, errors: &mut ValidationErrors) {
        for error in check_document(self) {
            errors.report(&error.field, error.problem, error.expected);
        }
    }
}
