//! A short run of the program, and one with an injected fault that the audit must detect.

use std::process::{Command, Output};

use serde_json::Value;

fn run_program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bramley-try"))
        .args(["--seconds", "6", "--seed", "7", "--json"])
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn read_report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| {
        let log = String::from_utf8_lossy(&output.stderr);
        panic!("cannot parse the report: {error}\n{log}")
    })
}

/// Returns the violations of both users.
fn violations(report: &Value) -> Vec<Value> {
    let users = report["users"].as_array().expect("users");
    let lists = users.iter().map(|user| user["violations"].as_array());
    lists.flatten().flatten().cloned().collect()
}

#[test]
fn a_run_holds_its_promises_and_a_deliberate_fault_is_seen() {
    let output = run_program(&[]);
    let report = read_report(&output);
    assert_eq!(violations(&report), Vec::<Value>::new());
    assert!(output.status.success());
    for user in report["users"].as_array().expect("users") {
        assert!(user["useful_starts"].as_u64() > Some(0), "{user:#}");
    }

    let output = run_program(&["--break", "start-twice"]);
    let report = read_report(&output);
    let violations = violations(&report);
    assert_eq!(violations.len(), 1, "{violations:#?}");
    assert_eq!(violations[0]["kind"], "started_twice");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn a_time_out_of_range_starts_nothing() {
    let output = Command::new(env!("CARGO_BIN_EXE_bramley-try"))
        .args(["--seconds", "4"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
}
