//! Runs one scripted case and exits with 1 if its rule was broken, 0 if it held, and 2 if the case
//! could not run.
//!
//! `review-cases-2 CASE FOLDER`: FOLDER takes `record.txt`. `TROUBLE=0` leaves out the disruption.

mod client;
mod deployment;
mod frozen;
mod kind;
mod partition;
mod record;
mod suspended;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};

use crate::client::ClientRequest;

/// Longest time that a case takes.
const CASE_LIMIT: Duration = Duration::from_secs(100);

/// Result of a case that ran.
#[derive(Debug)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, with what was seen.
    Broken(String),
}

/// What a case is given.
#[derive(Clone, Debug)]
pub struct CaseSetup {
    /// Root of the repository.
    pub repository: PathBuf,
    /// Folder for settings and logs, which is removed at the end.
    pub scratch: PathBuf,
    /// Folder for the record.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("review-cases-2-{}", std::process::id()));
    let repository = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        eprintln!("{}: {error}", scratch.display());
        return ExitCode::from(2);
    }
    let setup = CaseSetup {
        repository,
        scratch: scratch.clone(),
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let run = async {
        match case.as_str() {
            "frozen" => frozen::run(&setup).await,
            "kind" => kind::run(&setup).await,
            "partition" => partition::run(&setup).await,
            "suspended" => suspended::run(&setup).await,
            other => Err(format!("unknown case {other}")),
        }
    };
    // Whatever ends the case, dropping it ends the processes that it has started.
    let result = tokio::select! {
        result = tokio::time::timeout(CASE_LIMIT, run) => result,
        () = terminated() => Ok(Err(String::from("terminated by a signal"))),
    };
    let _removed = std::fs::remove_dir_all(&scratch);
    match result {
        Ok(Ok(Verdict::Held)) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Ok(Verdict::Broken(seen))) => {
            println!("broken: {seen}");
            ExitCode::from(1)
        }
        Ok(Err(error)) => {
            println!("not run: {error}");
            ExitCode::from(2)
        }
        Err(_elapsed) => {
            println!("not run: took longer than {} s", CASE_LIMIT.as_secs());
            ExitCode::from(2)
        }
    }
}

/// Waits for a signal that asks this program to end.
async fn terminated() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Returns a submission of a job whose tasks each run for `run_ms` on `cpu_milli`.
fn submission(
    job: &str,
    tasks: u32,
    run_ms: u64,
    cpu_milli: u32,
    deadline_ms: u64,
) -> ClientRequest {
    ClientRequest {
        method: "POST",
        job: String::from(job),
        body: Some(json!({
            "spec": format!("{run_ms} {cpu_milli}"),
            "best_effort": true,
            "steps": [{"count": tasks, "cpu": cpu_milli, "mem_mb": 64, "estimate_ms": run_ms}],
        })),
        deadline: Duration::from_millis(deadline_ms),
    }
}

/// Adds the label that a worker must have to a submission.
fn require_label(mut request: ClientRequest, label: &str) -> ClientRequest {
    if let Some(body) = &mut request.body {
        body["steps"][0]["requirements"] = Value::from(label);
    }
    request
}

/// Returns the name of the job with this number.
fn job_name(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)
}
