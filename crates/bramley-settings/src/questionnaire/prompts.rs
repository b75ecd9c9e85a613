//! Interactive prompts for all answers.

use std::io::{BufRead, Write};

use bramley_core::names::is_valid_name;
use displaydoc::Display;
use serde_json::{Map, Value};

use crate::load::load_text;
use crate::questionnaire::answers::DeploymentAnswers;
use crate::questionnaire::questions::{AnswerKind, QUESTIONS, Question};
use crate::validation::SettingsError;

/// Reason why the prompts returned no answers.
#[derive(Debug, Display)]
pub enum PromptError {
    /// cannot read the input or write the output: {0}
    Io(std::io::Error),
    /// the input ended before all questions were answered
    InputEnded,
    /// the answers are invalid:\n{0}
    InvalidAnswers(SettingsError),
}

impl std::error::Error for PromptError {}

impl From<std::io::Error> for PromptError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Prompts for all answers and returns them, validated as a whole, together with their JSON text.
///
/// An invalid answer is prompted for again. The answer `?` prints the help text of the question.
///
/// # Errors
///
/// Returns a [`PromptError`] if the input ends, an I/O error occurs or the answers contradict
/// each other.
pub fn prompt_for_answers(
    input: impl BufRead,
    output: impl Write,
) -> Result<(DeploymentAnswers, String), PromptError> {
    let mut prompter = Prompter { input, output };
    let mut root = prompter.ask_section("")?;
    let regions = prompter.ask_list("regions[].", "Is there another region?")?;
    root.insert(String::from("regions"), regions);
    let workers = prompter.ask_section("workers.")?;
    root.insert(String::from("workers"), Value::Object(workers));
    let teams = prompter.ask_list("teams[].", "Is there another team?")?;
    root.insert(String::from("teams"), teams);
    let text = format!("{:#}", Value::Object(root));
    let answers = load_text("answers", &text).map_err(PromptError::InvalidAnswers)?;
    Ok((answers, text))
}

/// Prompts on an output and reads answers from an input.
struct Prompter<I, O> {
    input: I,
    output: O,
}

impl<I: BufRead, O: Write> Prompter<I, O> {
    /// Asks the questions whose field consists of `prefix` and one more name.
    fn ask_section(&mut self, prefix: &str) -> Result<Map<String, Value>, PromptError> {
        let mut answers = Map::new();
        for question in QUESTIONS {
            let Some(name) = question.field.strip_prefix(prefix) else {
                continue;
            };
            if !name.contains('.') {
                answers.insert(String::from(name), self.ask(question)?);
            }
        }
        Ok(answers)
    }

    /// Asks for the entries of a list until the user answers that there are no more.
    fn ask_list(&mut self, prefix: &str, more_prompt: &'static str) -> Result<Value, PromptError> {
        let mut entries = Vec::new();
        loop {
            let mut entry = self.ask_section(prefix)?;
            if prefix == "teams[]." {
                let work = self.ask_list(
                    "teams[].work[].",
                    "Does the team have another kind of work?",
                )?;
                entry.insert(String::from("work"), work);
            }
            entries.push(Value::Object(entry));
            let more = self.ask(&Question {
                field: "",
                prompt: more_prompt,
                help: "Answer `yes` to add another entry.",
                kind: AnswerKind::YesNo,
                default: Some("no"),
            })?;
            if more == Value::Bool(false) {
                return Ok(Value::Array(entries));
            }
        }
    }

    /// Asks a question until the answer is valid.
    fn ask(&mut self, question: &Question) -> Result<Value, PromptError> {
        loop {
            self.show_prompt(question)?;
            let mut line = String::new();
            if self.input.read_line(&mut line)? == 0 {
                return Err(PromptError::InputEnded);
            }
            let text = match (line.trim(), question.default) {
                ("?", _) => {
                    writeln!(self.output, "  {}", question.help)?;
                    continue;
                }
                ("", Some(default)) => default,
                (text, _) => text,
            };
            match parse_answer(question, text) {
                Ok(answer) => return Ok(answer),
                Err(expected) => writeln!(
                    self.output,
                    "  invalid answer {text:?}; expected {expected}"
                )?,
            }
        }
    }

    fn show_prompt(&mut self, question: &Question) -> Result<(), PromptError> {
        write!(self.output, "{}", question.prompt)?;
        if let Some(default) = question.default {
            write!(self.output, " [{default}]")?;
        }
        write!(self.output, " (? for help) ")?;
        self.output.flush()?;
        Ok(())
    }
}

/// Parses an answer. The error describes valid answers.
fn parse_answer(question: &Question, text: &str) -> Result<Value, String> {
    match question.kind {
        AnswerKind::Name if is_valid_name(text) => Ok(Value::from(text)),
        AnswerKind::Name => Err(String::from(
            "1 to 63 lower-case letters, digits, `-` and `_`",
        )),
        AnswerKind::NameList => parse_names(text, question.default.is_some()),
        AnswerKind::Number { min, max } => match text.parse::<u32>() {
            Ok(number) if (min..=max).contains(&number) => Ok(Value::from(number)),
            _ => Err(format!("a whole number from {min} to {max}")),
        },
        AnswerKind::YesNo => match text {
            "yes" | "y" => Ok(Value::Bool(true)),
            "no" | "n" => Ok(Value::Bool(false)),
            _ => Err(String::from("`yes` or `no`")),
        },
    }
}

fn parse_names(text: &str, may_be_empty: bool) -> Result<Value, String> {
    let names: Vec<&str> = text.split_whitespace().collect();
    let are_valid = names.iter().all(|name| is_valid_name(name));
    if are_valid && (may_be_empty || !names.is_empty()) {
        return Ok(Value::from(names));
    }
    Err(String::from(
        "names separated by spaces, each of lower-case letters, digits, `-` and `_`",
    ))
}
