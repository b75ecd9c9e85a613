//! Runs a small deployment of each user on loopback in one process and checks what must hold.
//!
//! - `audit`: compares the answers to callers with the workers' own ledgers.
//! - `deployment`: the platform, the workers and the entry hosts of one user.
//! - `driver`: sends the jobs of a plan and records how they end.
//! - `options`: the command line.
//! - `outcome`: how jobs ended.
//! - `plan`: the jobs of a run, drawn from a seed.
//! - `report`: the users' measures.
//! - `run`: the course of a run, with the loss of a host on the way.
//! - `violation`: broken promises.
//! - `watch`: follows generations and invariants while a run lasts.
//! - `workload`: what both users do.

mod audit;
mod deployment;
mod driver;
mod options;
mod outcome;
mod plan;
mod report;
mod run;
mod violation;
mod watch;
mod workload;

use std::process::ExitCode;

use crate::options::TryOptions;

#[tokio::main]
async fn main() -> ExitCode {
    let options: TryOptions = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let report = match run::run_all(&options).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("bramley-try: {error}");
            return ExitCode::FAILURE;
        }
    };
    if options.json {
        println!("{}", report.to_json());
    } else {
        println!("{}", report.to_table());
    }
    if report.violations() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
