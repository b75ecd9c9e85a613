//! Generates a configuration from questionnaire answers.

use std::io::Write;

use bramley_settings::load_file;
use bramley_settings::questionnaire::{
    DeploymentAnswers, generate_configuration, prompt_for_answers,
};

use crate::cli::QuestionnaireArguments;
use crate::error::CommandError;

/// Runs `questionnaire`.
///
/// # Errors
///
/// Returns a [`CommandError`] if the answers are invalid or a file can't be written.
pub fn run_questionnaire(
    arguments: QuestionnaireArguments,
    output: &mut impl Write,
) -> Result<(), CommandError> {
    let answers: DeploymentAnswers = match &arguments.answers {
        Some(file) => load_file(file)?,
        None => prompt_operator(arguments.save_answers.as_deref())?,
    };
    let generated = generate_configuration(&answers);
    let text = serde_json::to_string_pretty(&generated.document).unwrap_or_default();
    match &arguments.output {
        Some(file) => write_file(file, &text)?,
        None => writeln!(output, "{text}")?,
    }
    if arguments.trace {
        for entry in &generated.trace {
            writeln!(output, "{entry}")?;
        }
    }
    Ok(())
}

fn prompt_operator(save_answers: Option<&str>) -> Result<DeploymentAnswers, CommandError> {
    // Prompts go to standard error, so that standard output contains only the configuration.
    let (answers, text) = prompt_for_answers(std::io::stdin().lock(), std::io::stderr())?;
    if let Some(file) = save_answers {
        write_file(file, &text)?;
    }
    Ok(answers)
}

fn write_file(file: &str, text: &str) -> Result<(), CommandError> {
    std::fs::write(file, format!("{text}\n")).map_err(|reason| CommandError::File {
        file: String::from(file),
        reason,
    })
}
