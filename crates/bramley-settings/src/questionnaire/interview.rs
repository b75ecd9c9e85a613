//! Asks the questions one by one.

use std::io::{BufRead, Write};

use bramley_core::names::is_valid_name;
use displaydoc::Display;
use serde_json::{Map, Value};

use crate::fault::SettingsError;
use crate::load::load_text;
use crate::questionnaire::answers::DeploymentAnswers;
use crate::questionnaire::questions::{AnswerKind, QUESTIONS, Question};

/// Why an interview gave no answers.
#[derive(Debug, Display)]
pub enum InterviewError {
    /// the input can't be read or the output can't be written: {0}
    Io(std::io::Error),
    /// the input ended before the last question
    InputEnded,
    /// the answers don't fit together:\n{0}
    Faulty(SettingsError),
}

impl std::error::Error for InterviewError {}

impl From<std::io::Error> for InterviewError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Asks all questions and returns the answers, checked as a whole, with their JSON text.
///
/// An answer that does not fit its question is asked for again; `?` shows the help.
///
/// # Errors
///
/// Returns an [`InterviewError`] if the input ends or the answers don't fit together.
pub fn hold_interview(
    input: impl BufRead,
    output: impl Write,
) -> Result<(DeploymentAnswers, String), InterviewError> {
    let mut interview = Interview { input, output };
    let mut root = interview.ask_all("")?;
    let regions = interview.ask_list("regions[].", "Is there another region?")?;
    root.insert(String::from("regions"), regions);
    let workers = interview.ask_all("workers.")?;
    root.insert(String::from("workers"), Value::Object(workers));
    let teams = interview.ask_list("teams[].", "Is there another team?")?;
    root.insert(String::from("teams"), teams);
    let text = format!("{:#}", Value::Object(root));
    let answers = load_text("answers", &text).map_err(InterviewError::Faulty)?;
    Ok((answers, text))
}

/// A conversation on an input and an output.
struct Interview<I, O> {
    input: I,
    output: O,
}

impl<I: BufRead, O: Write> Interview<I, O> {
    /// Asks the questions whose field is `prefix` and one more name.
    fn ask_all(&mut self, prefix: &str) -> Result<Map<String, Value>, InterviewError> {
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

    /// Asks for entries of a list until there are no more.
    fn ask_list(&mut self, prefix: &str, another: &'static str) -> Result<Value, InterviewError> {
        let mut entries = Vec::new();
        loop {
            let mut entry = self.ask_all(prefix)?;
            if prefix == "teams[]." {
                let work =
                    self.ask_list("teams[].work[].", "Has the team another kind of work?")?;
                entry.insert(String::from("work"), work);
            }
            entries.push(Value::Object(entry));
            let more = self.ask(&Question {
                field: "",
                prompt: another,
                help: "Answer `yes` to describe one more.",
                kind: AnswerKind::YesNo,
                default: Some("no"),
            })?;
            if more == Value::Bool(false) {
                return Ok(Value::Array(entries));
            }
        }
    }

    fn ask(&mut self, question: &Question) -> Result<Value, InterviewError> {
        loop {
            self.show_prompt(question)?;
            let mut line = String::new();
            if self.input.read_line(&mut line)? == 0 {
                return Err(InterviewError::InputEnded);
            }
            let text = match (line.trim(), question.default) {
                ("?", _) => {
                    writeln!(self.output, "  {}", question.help)?;
                    continue;
                }
                ("", Some(default)) => default,
                (text, _) => text,
            };
            match read_answer(question, text) {
                Ok(answer) => return Ok(answer),
                Err(expected) => {
                    writeln!(self.output, "  {text:?} does not fit; expected {expected}")?
                }
            }
        }
    }

    fn show_prompt(&mut self, question: &Question) -> Result<(), InterviewError> {
        write!(self.output, "{}", question.prompt)?;
        if let Some(default) = question.default {
            write!(self.output, " [{default}]")?;
        }
        write!(self.output, " (? for help) ")?;
        self.output.flush()?;
        Ok(())
    }
}

/// Reads an answer, or tells what would be right.
fn read_answer(question: &Question, text: &str) -> Result<Value, String> {
    match question.kind {
        AnswerKind::Name if is_valid_name(text) => Ok(Value::from(text)),
        AnswerKind::Name => Err(String::from(
            "1 to 63 lower-case letters, digits, `-` and `_`",
        )),
        AnswerKind::NameList => read_names(text, question.default.is_some()),
        AnswerKind::Number { least, most } => match text.parse::<u32>() {
            Ok(number) if (least..=most).contains(&number) => Ok(Value::from(number)),
            _ => Err(format!("a whole number from {least} to {most}")),
        },
        AnswerKind::YesNo => match text {
            "yes" | "y" => Ok(Value::Bool(true)),
            "no" | "n" => Ok(Value::Bool(false)),
            _ => Err(String::from("`yes` or `no`")),
        },
    }
}

fn read_names(text: &str, may_be_empty: bool) -> Result<Value, String> {
    let names: Vec<&str> = text.split_whitespace().collect();
    let is_right = names.iter().all(|name| is_valid_name(name));
    if is_right && (may_be_empty || !names.is_empty()) {
        return Ok(Value::from(names));
    }
    Err(String::from(
        "names separated by blanks, of lower-case letters, digits, `-` and `_`",
    ))
}
