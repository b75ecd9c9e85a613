//! Faults of a settings file.

use std::fmt;

use displaydoc::Display;

use crate::field_path::FieldPath;

/// One fault of a settings file, with its place and what would be right.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// File name, as given to the program.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Place of the value.
    pub field: FieldPath,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        write!(f, "{}: {}", self.field, self.problem)?;
        write!(f, "; expected {}", self.expected)
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingsError {
    /// {file}: cannot be read: {reason}; expected a readable file
    Unreadable {
        /// File name.
        file: String,
        /// Reason given by the system.
        reason: String,
    },
    /// {0}
    Faulty(FaultReport),
}

impl std::error::Error for SettingsError {}

/// All faults of one file in the order of the file, shown one on each line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultReport(pub Vec<SettingsFault>);

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            fmt::Display::fmt(fault, f)?;
        }
        Ok(())
    }
}

/// A fault before its line and column are known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FieldFault {
    pub(crate) field: FieldPath,
    pub(crate) problem: String,
    pub(crate) expected: String,
    /// Byte offset in the file where the field path does not lead to the place.
    pub(crate) offset: Option<usize>,
}

/// Collects the faults that checks find.
#[derive(Clone, Debug, Default)]
pub struct FaultList {
    pub(crate) faults: Vec<FieldFault>,
}

impl FaultList {
    /// Reports a fault of the value at `field`, such as `limits.max_job_tasks` or `siblings[2]`.
    pub fn report(&mut self, field: &str, problem: impl Into<String>, expected: impl Into<String>) {
        self.push(FieldPath::parse(field), problem.into(), expected.into());
    }

    /// Reports a number that lies outside of the range from `least` to `most`.
    pub fn check_range(&mut self, field: &str, value: u64, least: u64, most: u64) {
        if (least..=most).contains(&value) {
            return;
        }
        let expected = format!("a whole number from {least} to {most}");
        self.report(field, format!("{value} is out of range"), expected);
    }

    /// Reports a text that may not be a name.
    pub fn check_name(&mut self, field: &str, name: &str) {
        if bramley_core::names::is_valid_name(name) {
            return;
        }
        let expected = "1 to 63 lower-case letters, digits, `-` and `_`";
        self.report(field, format!("{name:?} is not a name"), expected);
    }

    /// Tells whether no fault was reported.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(crate) fn push(&mut self, field: FieldPath, problem: String, expected: String) {
        self.faults.push(FieldFault {
            field,
            problem,
            expected,
            offset: None,
        });
    }
}
