//! The command line.

use std::str::FromStr;

use argh::FromArgs;

/// Runs a small deployment of each user on loopback and checks what must always hold.
#[derive(Clone, Debug, FromArgs)]
pub struct TryOptions {
    /// time for which jobs are sent, in seconds, from 5 to 600
    #[argh(option, default = "40")]
    pub seconds: u32,
    /// seed of the jobs
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
    /// make the audit see a deliberate fault: start-twice
    #[argh(option, long = "break", hidden_help)]
    pub deliberate_fault: Option<DeliberateFault>,
}

/// A fault with which a run shows that its audit would notice one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeliberateFault {
    /// A worker's ledger shows one task as started twice.
    StartTwice,
}

impl FromStr for DeliberateFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "start-twice" => Ok(Self::StartTwice),
            _ => Err(format!("{text:?} is unknown, expected start-twice")),
        }
    }
}
