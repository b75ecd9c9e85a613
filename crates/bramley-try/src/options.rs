//! Command line options.

use std::str::FromStr;

use argh::FromArgs;

/// Runs a small deployment of each user on loopback and checks the guarantees.
#[derive(Clone, Debug, FromArgs)]
pub struct RunOptions {
    /// time for which jobs are sent, in seconds, from 5 to 600
    #[argh(option, default = "40")]
    pub seconds: u32,
    /// seed for generating the jobs
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
    /// inject a fault that the audit must detect: start-twice
    #[argh(option, long = "break", hidden_help)]
    pub deliberate_fault: Option<DeliberateFault>,
}

/// An injected fault, which shows that the audit detects violations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeliberateFault {
    /// One ledger entry of a worker counts an additional start.
    StartTwice,
}

impl FromStr for DeliberateFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "start-twice" => Ok(Self::StartTwice),
            _ => Err(format!("unknown fault {text:?}, expected start-twice")),
        }
    }
}
