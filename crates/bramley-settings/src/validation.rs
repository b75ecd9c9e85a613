//! Validation errors of a settings file.

use std::fmt;

use displaydoc::Display;

use crate::field_path::FieldPath;

/// A validation error with its position and the expected value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// File name as passed to the program.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the invalid value.
    pub field: FieldPath,
    /// Description of the error.
    pub problem: String,
    /// Description of valid values.
    pub expected: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        write!(f, "{}: {}", self.field, self.problem)?;
        write!(f, "; expected {}", self.expected)
    }
}

/// Reason why settings could not be loaded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingsError {
    /// {file}: cannot read the file: {reason}
    Unreadable {
        /// File name.
        file: String,
        /// Error message of the operating system.
        reason: String,
    },
    /// {0}
    Invalid(ValidationReport),
}

impl std::error::Error for SettingsError {}

/// All validation errors of one file in file order, formatted one per line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationReport(pub Vec<ValidationError>);

impl fmt::Display for ValidationReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            fmt::Display::fmt(error, f)?;
        }
        Ok(())
    }
}

/// A validation error whose line and column are not resolved yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FieldError {
    pub(crate) field: FieldPath,
    pub(crate) problem: String,
    pub(crate) expected: String,
    /// Byte offset in the file if it can't be derived from the field path, as for duplicate fields.
    pub(crate) offset: Option<usize>,
}

/// Collects validation errors.
#[derive(Clone, Debug, Default)]
pub struct ValidationErrors {
    pub(crate) errors: Vec<FieldError>,
}

impl ValidationErrors {
    /// Reports an error in the value at `field`, such as `limits.max_job_tasks` or `siblings[2]`.
    pub fn report(&mut self, field: &str, problem: impl Into<String>, expected: impl Into<String>) {
        self.push(FieldPath::parse(field), problem.into(), expected.into());
    }

    /// Reports a number that is not between `min` and `max`, both inclusive.
    pub fn check_range(&mut self, field: &str, value: u64, min: u64, max: u64) {
        if (min..=max).contains(&value) {
            return;
        }
        let expected = format!("a whole number from {min} to {max}");
        self.report(field, format!("{value} is out of range"), expected);
    }

    /// Reports a string that is not a valid name.
    pub fn check_name(&mut self, field: &str, name: &str) {
        if bramley_core::names::is_valid_name(name) {
            return;
        }
        let expected = "1 to 63 lower-case letters, digits, `-` and `_`";
        self.report(field, format!("{name:?} is not a valid name"), expected);
    }

    /// Returns whether no error was reported.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    pub(crate) fn push(&mut self, field: FieldPath, problem: String, expected: String) {
        self.errors.push(FieldError {
            field,
            problem,
            expected,
            offset: None,
        });
    }
}
