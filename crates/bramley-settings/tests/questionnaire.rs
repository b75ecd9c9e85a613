//! Tests of answers, interactive prompts and the generated configuration.

use std::collections::BTreeSet;

use bramley_core::configuration::check_document;
use bramley_settings::load_text;
use bramley_settings::questionnaire::answers::question_path;
use bramley_settings::questionnaire::{
    DeploymentAnswers, GeneratedConfiguration, QUESTIONS, TeamAnswers, generate_configuration,
    prompt_for_answers,
};
use serde_json::Value;

const LANDESAMT: &str = include_str!("../../../deployments/landesamt.answers.jsonc");
const JALAKANDA: &str = include_str!("../../../deployments/jalakanda.answers.jsonc");

fn parse_answers(text: &str) -> DeploymentAnswers {
    load_text("answers.jsonc", text).expect("valid answers")
}

fn generate(text: &str) -> GeneratedConfiguration {
    let generated = generate_configuration(&parse_answers(text));
    assert_eq!(check_document(&generated.document), Vec::new());
    assert_every_value_is_traced(&generated);
    generated
}

/// Collects the paths of all leaf values of a document, including empty lists.
fn collect_leaves(value: &Value, path: &str, leaves: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                collect_leaves(field, &format!("{path}{separator}{name}"), leaves);
            }
        }
        Value::Array(elements) if !elements.is_empty() => {
            for (index, element) in elements.iter().enumerate() {
                collect_leaves(element, &format!("{path}[{index}]"), leaves);
            }
        }
        _ => {
            leaves.insert(String::from(path));
        }
    }
}

/// Asserts that every leaf value has one trace entry and that a question exists for each of its
/// answers.
fn assert_every_value_is_traced(generated: &GeneratedConfiguration) {
    let document = serde_json::to_value(&generated.document).expect("a document with a JSON form");
    let mut leaves = BTreeSet::new();
    collect_leaves(&document, "", &mut leaves);
    let traced: BTreeSet<String> = generated.trace.iter().map(|e| e.value.clone()).collect();
    assert_eq!(leaves, traced);
    for answer in generated.trace.iter().flat_map(|entry| &entry.answers) {
        let path = question_path(answer);
        let is_asked = QUESTIONS.iter().any(|question| {
            question.field == path || question.field == path.trim_end_matches("[]")
        });
        assert!(is_asked, "no question asks for {answer}");
    }
}

fn format_with_trace(generated: &GeneratedConfiguration) -> String {
    let document =
        serde_json::to_string_pretty(&generated.document).expect("a document with a JSON form");
    let trace: Vec<String> = generated.trace.iter().map(ToString::to_string).collect();
    format!("{document}\n\n{}", trace.join("\n"))
}

#[test]
fn the_landesamt_is_configured_from_its_answers() {
    insta::assert_snapshot!(format_with_trace(&generate(LANDESAMT)));
}

#[test]
fn jalakanda_is_configured_from_its_answers() {
    insta::assert_snapshot!(format_with_trace(&generate(JALAKANDA)));
}

#[test]
fn answers_are_checked_as_a_whole() {
    let cases = [
        (
            "unknown failure domain",
            "\"work\": [",
            "\"failure_domains\": [\"passau\"], \"work\": [",
        ),
        (
            "job too slow",
            "\"answer_within_ms\": 60000",
            "\"answer_within_ms\": 1500",
        ),
        (
            "task too large",
            "\"typical_run_ms\": 50,",
            "\"typical_run_ms\": 50, \"memory_mib\": 65537,",
        ),
        (
            "too few connections",
            "\"connections\": 60",
            "\"connections\": 7",
        ),
        (
            "more than 100 percent",
            "\"max_slots_percent\": 100",
            "\"max_slots_percent\": 101",
        ),
        (
            "invalid failure domain name",
            "\"freising\"",
            "\"Freising\"",
        ),
        ("duplicate class", "\"cancellations\"", "\"holds\""),
        ("missing answer", "\"weight\": 1,", ""),
    ];
    let mut report = String::new();
    for (name, from, to) in cases {
        assert!(LANDESAMT.contains(from));
        let text = LANDESAMT.replacen(from, to, 1);
        let error = load_text::<DeploymentAnswers>("answers.jsonc", &text);
        let error = error.expect_err("invalid answers");
        report.push_str(&format!("{name}:\n{error}\n"));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn an_interview_asks_again_and_helps() {
    let lines = [
        "Landesamt",
        "landesamt",
        "southern_bavaria",
        "?",
        "muenchen freising",
        "",
        "50",
        "0",
        "",
        "",
        "",
        "",
        "booking",
        "",
        "",
        "",
        "holds",
        "100",
        "5000",
        "",
        "maybe",
        "no",
        "",
        "",
        "",
        "",
    ];
    let input = lines.join("\n") + "\n";
    let mut output = Vec::new();
    let (answers, text) = prompt_for_answers(input.as_bytes(), &mut output).expect("valid answers");
    assert_eq!(answers, parse_answers(&text));
    assert_eq!(answers.teams.len(), 1);
    let output = String::from_utf8(output).expect("prompts in UTF-8");
    insta::assert_snapshot!(format!(
        "{}\n\n{text}",
        output.replace("(? for help) ", "\n")
    ));
}

#[test]
fn a_deployment_of_380_teams_fits_into_one_value() {
    const VALUE_LIMIT_BYTES: usize = 1_000_000;
    let mut answers = parse_answers(JALAKANDA);
    let team = answers.teams[0].clone();
    answers.teams.clear();
    for index in 0..380 {
        answers.teams.push(TeamAnswers {
            name: format!("team_{index}"),
            ..team.clone()
        });
    }
    let document = generate_configuration(&answers).document;
    let text = serde_json::to_string(&document).expect("a document with a JSON form");
    println!("document of 380 teams: {} bytes", text.len());
    assert!(text.len() < VALUE_LIMIT_BYTES);
}
