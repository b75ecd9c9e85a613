//! Cases of the third review. `bramley-review-3 CASE FOLDER ROOT` writes `FOLDER/record.txt` and exits
//! with 1 if a rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out
//! the disruption.

#![recursion_limit = "256"]

mod again_case;
mod client;
mod deployment;
mod http;
mod overlap;
mod pipeline_case;
mod record;
mod silent_case;
mod stale_case;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::record::CaseRecord;

/// Longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(110);

/// What a case needs.
#[derive(Clone, Debug)]
pub struct CaseSettings {
    /// Repository.
    pub root: PathBuf,
    /// Temporary folder.
    pub folder: PathBuf,
    /// Record.
    pub record: CaseRecord,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Whether a rule was broken, or why the case could not run.
pub type CaseResult = Result<bool, String>;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = arguments.as_slice() else {
        eprintln!("usage: bramley-review-3 CASE FOLDER ROOT");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("bramley-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let record = match CaseRecord::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let settings = CaseSettings {
        root: PathBuf::from(root),
        folder: temporary.clone(),
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let run = async {
        match case.as_str() {
            "again" => again_case::run(&settings).await,
            "silent" => silent_case::run(&settings).await,
            "pipeline" => pipeline_case::run(&settings).await,
            "stale" => stale_case::run(&settings).await,
            _ => Err(format!("no case {case}")),
        }
    };
    // Dropping the case ends its processes.
    let stopped = async {
        match signal(SignalKind::terminate()) {
            Ok(mut stop) => drop(stop.recv().await),
            Err(_) => std::future::pending().await,
        }
    };
    let result = tokio::select! {
        result = timeout(CASE_LIMIT, run) => result.unwrap_or_else(|_| Err(String::from("out of time"))),
        () = stopped => Err(String::from("stopped")),
    };
    if std::env::var("KEEP").is_err() {
        drop(std::fs::remove_dir_all(&temporary));
    }
    match result {
        Ok(is_broken) => {
            record.line(if is_broken { "BROKEN" } else { "HELD" });
            println!("{}", if is_broken { "broken" } else { "held" });
            ExitCode::from(u8::from(is_broken))
        }
        Err(reason) => {
            record.line(format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
