//! Checks that `docs/OPERATIONS.md` matches the program.

mod support;

use std::collections::BTreeSet;
use std::path::Path;

use bramley_core::errors::ERROR_RESPONSES;
use bramley_settings::EntrySettings;
use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use support::TestDeployment;

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Asserts that the page contains each word, set in backticks.
fn assert_documented(kind: &str, words: &BTreeSet<String>) {
    assert!(!words.is_empty(), "no {kind} found");
    let missing: Vec<&String> = words
        .iter()
        .filter(|word| !OPERATIONS_PAGE.contains(&format!("`{word}`")))
        .collect();
    assert!(
        missing.is_empty(),
        "{kind} missing from the page: {missing:?}"
    );
}

/// Collects the field names of a JSON value recursively.
fn collect_field_names(value: &Value, fields: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (name, inner) in object {
                fields.insert(name.clone());
                collect_field_names(inner, fields);
            }
        }
        Value::Array(values) => {
            for inner in values {
                collect_field_names(inner, fields);
            }
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
    }
}

/// Collects the names that follow `event=` in the source files of a folder.
fn collect_event_names(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_event_names(&path, events);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("the source can be read");
        for rest in text.split("event=").skip(1) {
            let end = rest.find(|letter: char| !letter.is_ascii_lowercase() && letter != '_');
            events.insert(rest[..end.unwrap_or(rest.len())].to_owned());
        }
    }
}

#[test]
fn every_log_event_is_on_the_page() {
    let mut events = BTreeSet::new();
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    collect_event_names(&sources, &mut events);
    assert_documented("log events", &events);
}

#[test]
fn every_setting_is_on_the_page() {
    let settings = serde_json::to_value(EntrySettings::default()).expect("settings are JSON");
    let mut fields = BTreeSet::new();
    collect_field_names(&settings, &mut fields);
    assert_documented("settings", &fields);
}

#[test]
fn every_error_kind_is_on_the_page_with_its_row() {
    for response in ERROR_RESPONSES {
        let line = format!(
            "| `{}` | {} | {} | {} |",
            response.code,
            response.status,
            response.retry.as_str(),
            response.execution.as_str()
        );
        assert!(
            OPERATIONS_PAGE.contains(&line),
            "missing from the page: {line:?}"
        );
    }
}

#[tokio::test]
async fn every_metric_and_dump_field_is_on_the_page() {
    // Two hosts and one worker, so that the lists in the dump are not empty.
    let deployment = TestDeployment::start("operations_page", &["north"], 1, 2).await;
    let address = deployment.entries[0].callers();
    let (_, metrics) = deployment
        .call_raw(Method::GET, address, "/metrics", Bytes::new())
        .await;
    let metrics = String::from_utf8(metrics.to_vec()).expect("metrics are text");
    let names: BTreeSet<String> = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect();
    assert_documented("metrics", &names);

    let mut dump = deployment.state(0).await;
    for (counts, prefix) in [
        (dump["configuration"].take(), "bramley_configuration_"),
        (dump["membership"].take(), "bramley_membership_"),
        (dump["kernel"]["counters"].take(), "bramley_"),
    ] {
        // The page lists counters under the names of their metrics.
        let mut fields = BTreeSet::new();
        collect_field_names(&counts, &mut fields);
        let counters: BTreeSet<String> = fields
            .iter()
            .map(|name| format!("{prefix}{name}"))
            .collect();
        assert!(
            counters.is_subset(&names),
            "not every counter is a metric: {counters:?}"
        );
        assert_documented("counters", &counters);
    }
    let mut fields = BTreeSet::new();
    collect_field_names(&dump, &mut fields);
    assert_documented("dump fields", &fields);
    assert_documented_metrics_exist(&names);
}

/// Asserts that the daemon exports every metric that the page names.
fn assert_documented_metrics_exist(names: &BTreeSet<String>) {
    for rest in OPERATIONS_PAGE.split("`bramley_").skip(1) {
        let word = rest.split('`').next().unwrap_or_default();
        let name = format!("bramley_{}", word.trim_end_matches("_total"));
        let is_prefix = word.is_empty() || word.ends_with('_');
        assert!(
            is_prefix || names.contains(&name),
            "the page names the unknown metric {name}"
        );
    }
}
