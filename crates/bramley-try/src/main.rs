//! Runs a small deployment of each user on loopback in one process and checks the guarantees.
//!
//! - `audit`: checks the answers to callers against the workers' ledgers.
//! - `deployment`: the platform, the workers and the entry hosts of one user.
//! - `driver`: submits the generated jobs and records their outcomes.
//! - `monitor`: checks configuration generations and invariants during a run.
//! - `options`: command line options.
//! - `outcome`: job outcomes.
//! - `plan`: generates the jobs of a run from a seed.
//! - `report`: the results, as a table and as JSON.
//! - `run`: runs the deployments and the scheduled steps, such as the loss of a host.
//! - `violation`: violations of guarantees.
//! - `workload`: the workloads of both users.

mod audit;
mod deployment;
mod driver;
mod monitor;
mod options;
mod outcome;
mod plan;
mod report;
mod run;
mod violation;
mod workload;

use std::process::ExitCode;

use crate::options::RunOptions;

#[tokio::main]
async fn main() -> ExitCode {
    let options: RunOptions = argh::from_env();
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
