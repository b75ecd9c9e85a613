//! Validation errors of settings files and their positions.

use bramley_settings::{
    EntrySettings, SettingsError, SettingsMode, StartOutcome, load_file, load_for_start, load_text,
};

const VALID: &str = r#"{
  // One entry host of the failure domain.
  "host": "entry-1",
  "failure_domain": "muenchen",
  "caller_address": "0.0.0.0:8080",
  "peer_address": "10.0.0.1:7402",
  "platform_address": "10.0.9.1:7400",
  "siblings": ["10.0.0.2:7402", "10.0.0.3:7402"],
  "limits": { "max_job_tasks": 100, },
}"#;

/// Returns the errors of the valid file after replacing `from` with `to`.
fn errors_after_replacing(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    let text = VALID.replace(from, to);
    validation_errors(&text)
}

fn validation_errors(text: &str) -> String {
    match load_text::<EntrySettings>("entry.jsonc", text) {
        Ok(settings) => format!("no error: {settings:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn a_right_file_is_read_with_defaults() {
    let settings: EntrySettings = load_text("entry.jsonc", VALID).expect("valid settings");
    assert_eq!(settings.host, "entry-1");
    assert_eq!(settings.limits.max_job_tasks, 100);
    assert_eq!(settings.timing.heartbeat_ms, 500);
    assert_eq!(settings.siblings.len(), 2);
}

#[test]
fn each_fault_names_its_place_and_what_is_right() {
    let cases = [
        ("unknown field", "\"siblings\"", "\"sibling\""),
        ("unknown nested field", "\"max_job_tasks\"", "\"max_tasks\""),
        ("wrong type", "100", "\"many\""),
        ("too large for the type", "100", "99999999999"),
        ("negative", "100", "-1"),
        ("out of range", "100", "0"),
        ("address without port", "10.0.0.3:7402", "10.0.0.3"),
        ("port 0", "10.0.0.3:7402", "10.0.0.3:0"),
        ("duplicate sibling", "10.0.0.3:7402", "10.0.0.2:7402"),
        ("unspecified peer address", "10.0.0.1:7402", "0.0.0.0:7402"),
        ("invalid name", "muenchen", "München"),
        ("missing field", "\"host\": \"entry-1\",", ""),
        (
            "duplicate field",
            "\"host\":",
            "\"host\": \"entry-0\", \"host\":",
        ),
        ("address used twice", "0.0.0.0:8080", "10.0.0.1:7402"),
        (
            "unregistered policy",
            "\"siblings\"",
            "\"policies\": { \"queue\": \"random\" }, \"siblings\"",
        ),
        ("syntax", "\"siblings\": [", "\"siblings\": [,"),
        ("no object", VALID, "// empty"),
    ];
    let mut report = String::new();
    for (name, from, to) in cases {
        report.push_str(&format!("{name}:\n{}\n", errors_after_replacing(from, to)));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn all_faults_of_a_file_are_reported_together() {
    let text = r#"{
  "host": 7,
  "failure_domain": "Süd",
  "caller_address": "localhost:80",
  "platform_address": "10.0.9.1:7400",
  "platform_address": "10.0.9.2:7400",
  "siblings": ["10.0.0.2:7402", "nowhere", "10.0.0.3", "10.0.0.2:7402"],
  "colour": "green",
  "limits": { "max_job_tasks": 0, "max_body_bytes": true },
  "timing": { "heartbeat_ms": 1 }
}"#;
    insta::assert_snapshot!(validation_errors(text));
}

#[test]
fn check_mode_starts_nothing_and_an_absent_file_is_named() {
    let path = std::env::temp_dir().join(format!("bramley-settings-{}.jsonc", std::process::id()));
    std::fs::write(&path, VALID).expect("a writable temporary directory");
    let checked = load_for_start::<EntrySettings>(&path, SettingsMode::Check);
    let run = load_for_start::<EntrySettings>(&path, SettingsMode::Run);
    std::fs::remove_file(&path).expect("the settings file");
    assert!(matches!(checked, Ok(StartOutcome::Valid(_))));
    assert!(matches!(run, Ok(StartOutcome::Run(_))));
    let absent = load_file::<EntrySettings>(&path);
    assert!(matches!(absent, Err(SettingsError::Unreadable { .. })));
}
