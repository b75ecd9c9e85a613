//! Validated settings files in JSON with comments, and the questionnaire for new deployments.
//!
//! A settings file is read once when a program starts. Each error is reported with its file, line,
//! column, field and the expected value. All errors of a file are reported together, so that they
//! can be fixed at once.
//!
//! - `document_file`: validation of configuration documents in files.
//! - [`entry`]: settings of the entry daemon.
//! - [`validation`]: collection and formatting of validation errors.
//! - [`field_path`]: paths of values in a settings file.
//! - [`load`]: parsing and validation of settings files.
//! - `position`: lines and columns of values.
//! - `prune`: removal of invalid values, so that the remaining values can still be validated.
//! - [`questionnaire`]: questions about a deployment, from which its configuration is generated.

mod document_file;
pub mod entry;
pub mod field_path;
pub mod load;
mod position;
mod prune;
pub mod questionnaire;
pub mod validation;

pub use entry::{EntryLimits, EntryPolicies, EntrySettings, EntryTiming};
pub use field_path::{FieldPath, FieldStep};
pub use load::{
    INVALID_SETTINGS_EXIT_CODE, SettingsMode, StartOutcome, ValidatedSettings, load_file,
    load_for_start, load_text,
};
pub use validation::{SettingsError, ValidationError, ValidationErrors};
