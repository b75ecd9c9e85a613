//! The `explain` command.

use std::path::Path;
use std::process::{Command, Output};

const RELAY_LOG: &str = "\
time_ms=1000 level=debug event=request_received job=915a request=14d2 tasks=9
time_ms=1009 level=debug event=request_answered job=915a request=14d2 status=503 ms=9
";

const POOL_LOG: &str = "\
time_ms=1004 level=warn event=job_refused job=915a reason=overloaded wait_ms=65 workers=13
not a line of the program
";

/// Runs the command in a directory of its own per test, because tests run concurrently.
fn explain(test: &str, id: &str, logs: &[&str]) -> Output {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    std::fs::write(directory.join("entry-1.log"), RELAY_LOG).expect("the log can be written");
    std::fs::write(directory.join("entry-2.log"), POOL_LOG).expect("the log can be written");
    Command::new(env!("CARGO_BIN_EXE_bramleyctl"))
        .current_dir(directory)
        .args(["explain", id])
        .args(logs)
        .output()
        .expect("the command starts")
}

#[test]
fn a_request_is_explained_from_the_logs_of_its_hosts() {
    let output = explain("explain-known", "14d2", &["entry-1.log", "entry-2.log"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn an_unknown_request_and_a_missing_log_end_with_1() {
    let unknown = explain("explain-unknown", "ffff", &["entry-1.log", "entry-2.log"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("ffff"));
    let missing = explain("explain-unknown", "14d2", &["entry-9.log"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("entry-9.log"));
}
