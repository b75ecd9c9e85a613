//! Runs the examples in `docs/CALLERS.md` and compares the error table there with the code.

mod support;

use std::process::Command;

use bramley::core::errors::ERROR_RESPONSES;
use serde_json::Value;
use support::{PageDeployment, PageExample, read_examples, read_page, section};

/// Line that is printed after the output of each example.
const SEPARATOR: &str = "-- next example --";

/// JSON fields whose values differ between runs.
const MASKED_FIELDS: [&str; 3] = ["expires_unix_ms", "ticket", "tickets"];

#[tokio::test(flavor = "multi_thread")]
async fn examples_of_the_page_print_what_it_says() {
    let found = Command::new("curl").arg("--version").output();
    assert!(found.is_ok(), "this test runs curl, which is not installed");
    let examples = read_examples(&read_page());
    assert!(
        examples.len() > 5,
        "the page should have more than five examples"
    );
    let deployment = PageDeployment::start().await;
    let outputs = run_examples(&examples, &deployment).await;
    assert_eq!(outputs.len(), examples.len());
    for (example, output) in examples.iter().zip(&outputs) {
        check_output(example, output);
    }
}

#[test]
fn error_table_of_the_page_is_that_of_the_code() {
    let mut table =
        String::from("\n| code | status | retry | execution | meaning |\n|---|---|---|---|---|\n");
    for row in ERROR_RESPONSES {
        let (retry, execution) = (row.retry.as_str(), row.execution.as_str());
        table += &format!(
            "| `{}` | {} | `{retry}` | `{execution}` | {} |\n",
            row.code, row.status, row.kind
        );
    }
    table.push('\n');
    let page = read_page();
    assert_eq!(section(&page, "errors"), table, "expected table:\n{table}");
}

/// Runs all examples in one shell, because later examples use tickets from earlier ones. Returns the
/// output of each.
async fn run_examples(examples: &[PageExample], deployment: &PageDeployment) -> Vec<String> {
    let mut script = String::from("set -eu\n");
    for example in examples {
        script += &format!("{}\nprintf '\\n%s\\n' '{SEPARATOR}'\n", example.commands);
    }
    let mut shell = Command::new("sh");
    shell
        .args(["-c", &script])
        .env("BRAMLEY", deployment.caller_url());
    let output = tokio::task::spawn_blocking(move || shell.output())
        .await
        .expect("the task that runs the shell should not panic")
        .expect("sh should start");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let text = String::from_utf8(output.stdout).expect("the output should be UTF-8");
    let mut outputs: Vec<String> = text.split(SEPARATOR).map(str::to_owned).collect();
    // Only a line break follows the last separator.
    outputs.pop();
    outputs
}

/// Compares the output of an example with the page: as masked JSON, or as text without surrounding
/// whitespace.
fn check_output(example: &PageExample, output: &str) {
    let output = output.trim();
    let commands = &example.commands;
    if example.is_json {
        let printed = parse_masked(output, commands);
        let expected = parse_masked(&example.expected, commands);
        assert_eq!(printed, expected, "printed by {commands}");
    } else {
        assert_eq!(output, example.expected.trim(), "printed by {commands}");
    }
}

/// Parses JSON and replaces the values of [`MASKED_FIELDS`] with null. Arrays keep their length, so
/// the number of values is still compared.
fn parse_masked(text: &str, commands: &str) -> Value {
    let mut value: Value = serde_json::from_str(text)
        .unwrap_or_else(|error| panic!("{error} in {text:?} of {commands}"));
    for field in MASKED_FIELDS {
        match value.get_mut(field) {
            Some(Value::Array(values)) => values.fill(Value::Null),
            Some(value) => *value = Value::Null,
            None => {}
        }
    }
    value
}
