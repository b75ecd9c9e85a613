//! The command-line tool for operators.

use std::io::Write;
use std::process::ExitCode;

use bramleyctl::cli::OperatorCommand;
use bramleyctl::commands::run_command;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let command: OperatorCommand = argh::from_env();
    let mut output = std::io::stdout();
    let result = run_command(command, &mut output).await;
    // A closed standard output doesn't change the reported result.
    output.flush().unwrap_or_default();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
