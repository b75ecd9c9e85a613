//! Validation of configuration documents in files.

use bramley_core::configuration::{DeploymentConfiguration, check_document};

use crate::fault::FaultList;
use crate::load::CheckedSettings;

impl CheckedSettings for DeploymentConfiguration {
    const REQUIRED_FIELDS: &'static [&'static str] = &["deployment", "failure_domains", "teams"];

    fn check(&self, faults: &mut FaultList) {
        for fault in check_document(self) {
            faults.report(&fault.field, fault.problem, fault.expected);
        }
    }
}
