//! Command-line arguments.

use std::net::SocketAddr;

use argh::FromArgs;

/// Operates a bramleydock deployment.
#[derive(Clone, Debug, FromArgs)]
pub struct OperatorCommand {
    /// command to run
    #[argh(subcommand)]
    pub action: OperatorAction,
}

/// The command to run.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum OperatorAction {
    /// Applies a configuration.
    Apply(ApplyArguments),
    /// Validates a configuration file.
    Check(CheckArguments),
    /// Compares a file with the stored configuration.
    Diff(DiffArguments),
    /// Begins a planned stop of an entry process.
    Drain(DrainArguments),
    /// Prints the state of an entry process.
    Dump(DumpArguments),
    /// Explains the outcome of a request from logs.
    Explain(ExplainArguments),
    /// Lists the latest configuration changes.
    History(HistoryArguments),
    /// Counts lost jobs by cause from logs.
    Losses(LossesArguments),
    /// Generates a configuration from questionnaire answers.
    Questionnaire(QuestionnaireArguments),
    /// Shows the stored configuration.
    Show(ShowArguments),
}

/// applies a configuration
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// configuration file in JSON with comments
    #[argh(positional)]
    pub file: String,
    /// address of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// key of the configuration
    #[argh(option, default = "default_key()")]
    pub key: String,
    /// generation that the file is based on; required once a configuration is stored
    #[argh(option)]
    pub base: Option<u64>,
    /// name recorded as the author; default: the user's name
    #[argh(option, default = "default_author()")]
    pub author: String,
    /// control address of an entry process; may be given several times
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// wait until the change is in force on every given host
    #[argh(switch)]
    pub wait: bool,
    /// maximum time to wait for the hosts, in milliseconds
    #[argh(option, default = "10_000")]
    pub wait_ms: u64,
    /// maximum time to retry writes to the store, in milliseconds
    #[argh(option, default = "30_000")]
    pub store_ms: u64,
}

/// explains the outcome of a request from the logs of all hosts
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// job ID or request ID
    #[argh(positional)]
    pub id: String,
    /// log files, each named after its host
    #[argh(positional)]
    pub logs: Vec<String>,
}

/// counts refused, late and failed jobs by cause from the logs of all hosts
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct LossesArguments {
    /// log files, each named after its host
    #[argh(positional)]
    pub logs: Vec<String>,
}

/// checks a configuration file
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// configuration file in JSON with comments
    #[argh(positional)]
    pub file: String,
}

/// compares a file with the stored configuration
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArguments {
    /// configuration file in JSON with comments
    #[argh(positional)]
    pub file: String,
    /// address of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// key of the configuration
    #[argh(option, default = "default_key()")]
    pub key: String,
}

/// begins a planned stop of an entry process
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArguments {
    /// control address of the entry process
    #[argh(positional)]
    pub host: SocketAddr,
}

/// prints the state of an entry process as JSON
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArguments {
    /// control address of the entry process
    #[argh(positional)]
    pub host: SocketAddr,
}

/// lists the latest changes of the configuration
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArguments {
    /// address of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// key of the configuration
    #[argh(option, default = "default_key()")]
    pub key: String,
    /// print the document of one of the latest generations instead
    #[argh(option)]
    pub generation: Option<u64>,
}

/// generates a configuration from answers
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "questionnaire")]
pub struct QuestionnaireArguments {
    /// answers file in JSON with comments; default: ask the questions interactively
    #[argh(option)]
    pub answers: Option<String>,
    /// file to which the given answers are written
    #[argh(option)]
    pub save_answers: Option<String>,
    /// file to which the configuration is written; default: standard output
    #[argh(option)]
    pub output: Option<String>,
    /// print the answers that each value was derived from
    #[argh(switch)]
    pub trace: bool,
}

/// shows the stored configuration
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArguments {
    /// address of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// key of the configuration
    #[argh(option, default = "default_key()")]
    pub key: String,
    /// control address of an entry process; may be given several times
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// print only the document, for editing
    #[argh(switch)]
    pub document: bool,
}

fn default_key() -> String {
    String::from("bramley/configuration")
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| String::from("unknown"))
}
