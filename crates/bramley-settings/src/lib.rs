//! Checked settings files in JSON with comments, and the questionnaire for new deployments.
//!
//! A settings file is read once at the start of a program. Every fault is reported with its file,
//! line, column, field and what would be right, and all faults of a file are reported together,
//! so that a file is mended in one go.
//!
//! - [`document_file`] reads configuration documents from files.
//! - [`entry`] holds the settings of the entry daemon.
//! - [`fault`] collects and shows faults.
//! - [`field_path`] names the place of a value in a settings file.
//! - [`load`] reads settings files.
//! - [`position`] finds the line and column of a value.
//! - [`prune`] takes faulty values out, so that the rest of a file can be checked too.
//! - [`questionnaire`] asks about a deployment and generates its configuration.

mod document_file;
pub mod entry;
pub mod fault;
pub mod field_path;
pub mod load;
mod position;
mod prune;
pub mod questionnaire;

pub use entry::{EntryLimits, EntryPolicies, EntrySettings, EntryTiming};
pub use fault::{FaultList, SettingsError, SettingsFault};
pub use field_path::{FieldPath, FieldStep};
pub use load::{
    CheckedSettings, SETTINGS_FAULT_EXIT_CODE, SettingsMode, StartOutcome, load_file, load_text,
    prepare_start,
};
