//! Parsing and validation of settings files.

use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use crate::field_path::FieldPath;
use crate::position::{
    find_key_offset, find_offset, has_value, line_and_column, report_duplicate_fields,
};
use crate::prune::PrunedTree;
use crate::validation::{SettingsError, ValidationError, ValidationErrors, ValidationReport};

/// Exit code of a program whose settings are invalid.
pub const INVALID_SETTINGS_EXIT_CODE: i32 = 2;

/// Number of reported errors after which deserialisation of a file is abandoned.
const MAX_ERRORS: usize = 50;

/// Settings whose values are validated beyond their types.
pub trait ValidatedSettings: DeserializeOwned {
    /// Paths of the fields that a file must contain although the type has default values.
    const REQUIRED_FIELDS: &'static [&'static str] = &[];

    /// Reports every invalid value.
    fn validate(&self, errors: &mut ValidationErrors);
}

/// Whether a program only validates its settings or also runs with them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingsMode {
    /// Validate the file and exit, as requested by `--check`.
    Check,
    /// Validate the file and run with it.
    Run,
}

/// Result of loading valid settings, which depends on the [`SettingsMode`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartOutcome<T> {
    /// Print the text and exit with code 0 without starting anything.
    Valid(String),
    /// Start with the settings.
    Run(T),
}

/// Loads and validates the settings of a program.
///
/// # Errors
///
/// Returns all errors of the file. The program prints them and exits with
/// [`INVALID_SETTINGS_EXIT_CODE`] before it starts anything.
pub fn load_for_start<T: ValidatedSettings>(
    path: impl AsRef<Path>,
    mode: SettingsMode,
) -> Result<StartOutcome<T>, SettingsError> {
    let path = path.as_ref();
    let settings = load_file(path)?;
    Ok(match mode {
        SettingsMode::Check => {
            StartOutcome::Valid(format!("{}: settings are valid", path.display()))
        }
        SettingsMode::Run => StartOutcome::Run(settings),
    })
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn load_file<T: ValidatedSettings>(path: impl AsRef<Path>) -> Result<T, SettingsError> {
    let file = path.as_ref().display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => load_text(&file, &text),
        Err(error) => Err(SettingsError::Unreadable {
            file,
            reason: error.to_string(),
        }),
    }
}

/// Loads and validates settings from a string. `file` is the file name in error messages.
///
/// # Errors
///
/// Returns all errors of the text.
pub fn load_text<T: ValidatedSettings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let root = parse_root(file, text)?;
    let mut errors = ValidationErrors::default();
    report_duplicate_fields(&root, &FieldPath::default(), &mut errors);
    report_missing_fields(&root, T::REQUIRED_FIELDS, &mut errors);
    let settings = deserialize_settings(&root, &mut errors);
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(resolve_positions(file, text, &root, errors)),
    }
}

fn parse_root<'a>(file: &str, text: &'a str) -> Result<Value<'a>, SettingsError> {
    let options = ParseOptions {
        allow_comments: true,
        allow_hexadecimal_numbers: false,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_trailing_commas: true,
        allow_unary_plus_numbers: false,
    };
    let error = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => match parsed.value {
            Some(root @ Value::Object(_)) => return Ok(root),
            _ => (0, String::from("the file does not contain a JSON object")),
        },
        Err(error) => (error.range().start, error.kind().to_string()),
    };
    let (offset, problem) = error;
    let (line, column) = line_and_column(text, offset);
    Err(SettingsError::Invalid(ValidationReport(vec![
        ValidationError {
            file: String::from(file),
            line,
            column,
            field: FieldPath::default(),
            problem,
            expected: String::from("one JSON object, with comments and trailing commas allowed"),
        },
    ])))
}

fn report_missing_fields(root: &Value<'_>, required: &[&str], errors: &mut ValidationErrors) {
    for field in required {
        if !has_value(root, &FieldPath::parse(field)) {
            errors.report(
                field,
                "missing required field",
                "a value, because there is no default",
            );
        }
    }
}

fn describe_missing_field() -> (String, String) {
    let problem = String::from("missing required field");
    (
        problem,
        String::from("a value, because there is no default"),
    )
}

/// Deserialises the settings. Invalid values are reported and removed until the remaining values
/// can be deserialised and validated.
fn deserialize_settings<T: ValidatedSettings>(
    root: &Value<'_>,
    errors: &mut ValidationErrors,
) -> Option<T> {
    let mut tree = PrunedTree::new(root.clone().into());
    while errors.errors.len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(&tree.value) {
            Ok(settings) => {
                check_remaining(&settings, &tree, errors);
                return Some(settings);
            }
            Err(error) => error,
        };
        let path = FieldPath::from(error.path());
        let message = error.inner().to_string();
        let (problem, expected) = describe_type_error(&message);
        let field = missing_field_path(tree.original_path(&path), &message);
        let key_offset = problem
            .starts_with("unknown field")
            .then(|| find_key_offset(root, &field));
        errors.push(field, problem, expected);
        if let Some(error) = errors.errors.last_mut() {
            error.offset = key_offset;
        }
        if !tree.remove(&path) {
            return None;
        }
    }
    None
}

/// Validates the deserialised values. Errors in defaults that replace removed values are ignored.
fn check_remaining(
    settings: &impl ValidatedSettings,
    tree: &PrunedTree,
    errors: &mut ValidationErrors,
) {
    let mut new_errors = ValidationErrors::default();
    settings.validate(&mut new_errors);
    for mut error in new_errors.errors {
        error.field = tree.original_path(&error.field);
        // An error with an offset is about the key of a field, so an error in the value is new.
        let is_reported = errors
            .errors
            .iter()
            .any(|earlier| earlier.offset.is_none() && earlier.field == error.field);
        if !tree.overlaps_removed(&error.field) && !is_reported {
            errors.errors.push(error);
        }
    }
}

/// Adds the line and column to each error and sorts the errors by position.
fn resolve_positions(
    file: &str,
    text: &str,
    root: &Value<'_>,
    list: ValidationErrors,
) -> SettingsError {
    let mut errors: Vec<ValidationError> = Vec::new();
    for error in list.errors {
        let offset = error
            .offset
            .unwrap_or_else(|| find_offset(root, &error.field));
        let (line, column) = line_and_column(text, offset);
        errors.push(ValidationError {
            file: String::from(file),
            line,
            column,
            field: error.field,
            problem: error.problem,
            expected: error.expected,
        });
    }
    errors.sort_by_key(|error| (error.line, error.column));
    SettingsError::Invalid(ValidationReport(errors))
}

/// Returns the path of the missing field if the message names one, otherwise `path`.
fn missing_field_path(path: FieldPath, message: &str) -> FieldPath {
    let name = message.strip_prefix("missing field `");
    match name.and_then(|rest| rest.strip_suffix('`')) {
        Some(name) => path.field(name),
        None => path,
    }
}

/// Splits an error message of the deserialiser into a problem and an expected value.
fn describe_type_error(message: &str) -> (String, String) {
    if message.contains("socket address") {
        let problem = String::from("invalid address");
        return (
            problem,
            String::from("an IP address and a port, such as `127.0.0.1:7400`"),
        );
    }
    if message.starts_with("missing field") {
        return describe_missing_field();
    }
    let Some((problem, expected)) = message.split_once(", expected ") else {
        return (String::from(message), String::from("a valid value"));
    };
    (String::from(problem), describe_expected(expected))
}

/// Describes a Rust type name from an error message in terms of JSON values.
fn describe_expected(expected: &str) -> String {
    let max = match expected {
        "u8" => u64::from(u8::MAX),
        "u16" => u64::from(u16::MAX),
        "u32" => u64::from(u32::MAX),
        "u64" | "usize" => u64::MAX,
        "struct" => return String::from("an object"),
        other if other.starts_with("struct ") => return String::from("an object"),
        "a sequence" => return String::from("a list"),
        other => return String::from(other),
    };
    format!("a whole number from 0 to {max}")
}
