//! Runs the examples of the page for callers and compares its table with the code.

mod support;

use std::process::Command;

use bramley::core::errors::ANSWER_TABLE;
use serde_json::Value;
use support::{PageDeployment, PageExample, read_examples, read_page, section};

/// Line between the outputs of two examples.
const SEPARATOR: &str = "-- next example --";

/// Fields whose values differ from run to run.
const VARYING_FIELDS: [&str; 3] = ["expires_unix_ms", "ticket", "tickets"];

#[tokio::test(flavor = "multi_thread")]
async fn examples_of_the_page_print_what_it_says() {
    let found = Command::new("curl").arg("--version").output();
    assert!(found.is_ok(), "this test needs curl; please install it");
    let examples = read_examples(&read_page());
    assert!(examples.len() > 5, "the page has examples");
    let deployment = PageDeployment::start().await;
    let outputs = run_examples(&examples, &deployment).await;
    assert_eq!(outputs.len(), examples.len());
    for (example, output) in examples.iter().zip(&outputs) {
        compare(example, output);
    }
}

#[test]
fn error_table_of_the_page_is_that_of_the_code() {
    let mut table =
        String::from("\n| code | status | retry | execution | meaning |\n|---|---|---|---|---|\n");
    for row in ANSWER_TABLE {
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

/// Runs all examples in one shell, because later ones use the tickets of earlier ones.
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
        .expect("the shell is waited for")
        .expect("sh runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let text = String::from_utf8(output.stdout).expect("text");
    let mut outputs: Vec<String> = text.split(SEPARATOR).map(str::to_owned).collect();
    // Nothing but a line break follows the last separator.
    outputs.pop();
    outputs
}

fn compare(example: &PageExample, output: &str) {
    let output = output.trim();
    let commands = &example.commands;
    if example.is_json {
        let printed = parse(output, commands);
        let expected = parse(&example.expected, commands);
        assert_eq!(printed, expected, "printed by {commands}");
    } else {
        assert_eq!(output, example.expected.trim(), "printed by {commands}");
    }
}

/// Reads JSON and hides the values that differ from run to run, but not their number.
fn parse(text: &str, commands: &str) -> Value {
    let mut value: Value = serde_json::from_str(text)
        .unwrap_or_else(|error| panic!("{error} in {text:?} of {commands}"));
    for field in VARYING_FIELDS {
        match value.get_mut(field) {
            Some(Value::Array(values)) => values.fill(Value::Null),
            Some(value) => *value = Value::Null,
            None => {}
        }
    }
    value
}
