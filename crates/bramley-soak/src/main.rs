//! Runs the soak with one or more seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use argh::FromArgs;
use bramley_soak::callers::{OutcomeList, run_caller};
use bramley_soak::checks::{count, find_cuts, find_violations};
use bramley_soak::deployment::{Deployment, DeploymentSize};
use bramley_soak::faults::FaultDriver;

/// Time after the last fault in which service returns; the platform's bound for recovery.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time in which the last jobs are answered; longer than callers wait.
const LAST_ANSWERS: Duration = Duration::from_secs(7);

/// Time in which service is measured after the recovery.
const AFTER: Duration = Duration::from_secs(3);

/// runs the real programs as processes under random faults and checks the promises
#[derive(Debug, FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds, run one after the other
    #[argh(option, default = "1")]
    seeds: u64,

    /// seconds with faults for each seed
    #[argh(option, default = "20")]
    seconds: u64,

    /// failure domains
    #[argh(option, default = "2")]
    domains: usize,

    /// hosts in each failure domain
    #[argh(option, default = "2")]
    hosts: usize,

    /// workers in each failure domain
    #[argh(option, default = "5")]
    workers: usize,

    /// callers that send jobs at the same time
    #[argh(option, default = "12")]
    callers: u64,

    /// only planned work and troubles of the store, during which no request may be cut off
    #[argh(switch)]
    planned: bool,

    /// program to run; default: bramley-dock beside this program
    #[argh(option)]
    program: Option<PathBuf>,

    /// folder for settings and logs
    #[argh(option)]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        match run_seed(&arguments, seed).await {
            Ok(true) => {}
            Ok(false) => failed += 1,
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                failed += 1;
            }
        }
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn program_of(arguments: &Arguments) -> std::io::Result<PathBuf> {
    match &arguments.program {
        Some(program) => Ok(program.clone()),
        None => Ok(std::env::current_exe()?.with_file_name("bramley-dock")),
    }
}

async fn run_seed(arguments: &Arguments, seed: u64) -> std::io::Result<bool> {
    let folder = arguments.folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    let size = DeploymentSize {
        domains: arguments.domains,
        hosts: arguments.hosts,
        workers: arguments.workers,
    };
    let mut deployment = Deployment::start(program_of(arguments)?, &folder, &size).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let span = Duration::from_secs(arguments.seconds);
    let outcomes = OutcomeList::default();
    let hosts: Vec<_> = deployment.hosts.iter().map(|host| host.callers).collect();
    let callers_end = Arc::new(AtomicBool::new(false));
    for caller in 0..arguments.callers {
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(caller);
        let caller = run_caller(
            caller_seed,
            hosts.clone(),
            outcomes.clone(),
            Arc::clone(&callers_end),
        );
        tokio::spawn(caller);
    }
    let mut faults = FaultDriver::new(seed, arguments.planned);
    faults.run(&mut deployment, span).await?;
    tokio::time::sleep(RECOVERY).await;
    let recovered_at = Instant::now();
    tokio::time::sleep(AFTER).await;
    callers_end.store(true, Ordering::Relaxed);
    tokio::time::sleep(LAST_ANSWERS).await;
    let all = outcomes.all();
    let mut violations = find_violations(&deployment.ledger, &all);
    violations.append(&mut faults.late_stops);
    violations.extend(deployment.ended_hosts());
    if arguments.planned {
        violations.extend(find_cuts(&all));
    }
    let served_again = all
        .iter()
        .filter(|outcome| outcome.sent_at >= recovered_at && outcome.state.is_some())
        .count();
    if served_again == 0 {
        violations.push(String::from("nothing is served after the recovery"));
    }
    let counts = count(&deployment.ledger, &all);
    println!(
        "seed {seed}: {counts:?} served_again={served_again} violations={}",
        violations.len()
    );
    if !violations.is_empty() {
        for line in &faults.log {
            println!("  fault {line}");
        }
        for violation in violations.iter().take(10) {
            println!("  violation {violation}");
        }
    }
    Ok(violations.is_empty())
}
