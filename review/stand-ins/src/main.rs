//! Runs one case of the review: `review-cases CASE FOLDER`.
//!
//! It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

#![recursion_limit = "256"]

mod balancer;
mod client;
mod deployment;
mod dock;
mod record;
mod server;
mod worker;

mod cancel_elsewhere;
mod leader_chain;
mod other_kind;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::record::Record;

/// Limit of a whole case.
const LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = runtime.block_on(async {
        let run = async {
            match case.as_str() {
                "cancel-elsewhere" => cancel_elsewhere::run(&record, has_trouble).await,
                "leader-chain" => leader_chain::run(&record, has_trouble).await,
                "other-kind" => other_kind::run(&record, has_trouble).await,
                other => Err(std::io::Error::other(format!("unknown case {other}"))),
            }
        };
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            outcome = timeout(LIMIT, run) => {
                outcome.unwrap_or_else(|_elapsed| Err(std::io::Error::other("it took too long")))
            }
            _ = terminate.recv() => Err(std::io::Error::other("it was ended")),
        }
    });
    let code = match outcome {
        Ok(Verdict::Held) => {
            record.line("result: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.line("result: the rule was broken");
            1
        }
        Err(error) => {
            record.line(format!("result: the case could not run: {error}"));
            eprintln!("{error}");
            2
        }
    };
    record.write();
    ExitCode::from(code)
}
