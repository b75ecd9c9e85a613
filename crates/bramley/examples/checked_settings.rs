//! Validates a program's settings in JSON with comments and reports every error with its location.

use bramley::settings::{ValidatedSettings, ValidationErrors, load_text};
use serde::Deserialize;

/// Settings of an embedding program.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct KioskSettings {
    /// Name of the kiosk.
    name: String,
    /// Time limit for an answer, in milliseconds.
    answer_within_ms: u64,
}

impl ValidatedSettings for KioskSettings {
    const REQUIRED_FIELDS: &'static [&'static str] = &["name"];

    fn validate(&self, errors: &mut ValidationErrors) {
        errors.check_name("name", &self.name);
        errors.check_range("answer_within_ms", self.answer_within_ms, 100, 60_000);
    }
}

/// Runs the example.
pub fn main() {
    let text = r#"
// Kiosk at the bus stand.
{
  "name": "kurunegala-3",
  "answer_within_ms": 5000,
}"#;
    let settings: KioskSettings =
        load_text("kiosk.jsonc", text).expect("the settings should be valid");
    println!("{} waits {} ms", settings.name, settings.answer_within_ms);

    let text = r#"{
  "name": "kurunegala-3",
  "answer_within_ms": 5,
  "colour": "blue"
}"#;
    let error = load_text::<KioskSettings>("kiosk.jsonc", text)
        .expect_err("the settings should have two errors");
    println!("{error}");
    assert_eq!(error.to_string().lines().count(), 2);
}
