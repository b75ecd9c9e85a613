//! Runs the soak test once for each of one or more seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use bramley_soak::callers::{CallerSettings, OutcomeList, run_caller};
use bramley_soak::checks::{
    count_outcomes, find_cut_offs, find_misjudged_crashes, find_violations,
};
use bramley_soak::crowd::{find_crowd_runs, run_crowd_client};
use bramley_soak::deployment::{Deployment, DeploymentSize, PaceSettings, ProcessLimits};
use bramley_soak::faults::{FaultInjector, FaultProfile};
use bramley_soak::traces::find_lines;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Wait between the last fault and the service check; the platform requires recovery within this
/// time.
const RECOVERY_WAIT: Duration = Duration::from_secs(12);

/// Shortest wait for outstanding responses after the callers are told to stop.
const DRAIN_WAIT: Duration = Duration::from_secs(7);

/// Longest such wait, for which the callers' last jobs are waited for. It is longer than the longest
/// deadline of a job and one more response.
const MAX_DRAIN_WAIT: Duration = Duration::from_secs(30);

/// Period after the recovery wait in which at least one new job must be served.
const MEASURE_WINDOW: Duration = Duration::from_secs(3);

/// runs the real binaries as processes, injects random faults and checks the guarantees
#[derive(Debug, FromArgs)]
struct Arguments {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,

    /// number of consecutive seeds, run one after the other
    #[argh(option, default = "1")]
    seeds: u64,

    /// seconds of fault injection per seed
    #[argh(option, default = "20")]
    seconds: u64,

    /// number of failure domains
    #[argh(option, default = "2")]
    domains: usize,

    /// number of hosts in each failure domain
    #[argh(option, default = "2")]
    hosts: usize,

    /// number of workers in each failure domain
    #[argh(option, default = "5")]
    workers: usize,

    /// number of concurrent callers
    #[argh(option, default = "12")]
    callers: u64,

    /// number of concurrent clients that do not behave; hosts then have low limits of memory and
    /// descriptors, which are checked
    #[argh(option, default = "0")]
    crowd: u64,

    /// inject only planned operations and store faults, during which no request may be cut off
    #[argh(switch)]
    planned: bool,

    /// faults to inject: all (default), series (only series of faults that belong together) or classic
    /// (only single faults, with short tasks, patient callers and equal workers); planned operations
    /// are always classic
    #[argh(option, default = "FaultProfile::All")]
    profile: FaultProfile,

    /// host binary to run; default: bramley-dock in the directory of this binary
    #[argh(option)]
    program: Option<PathBuf>,

    /// directory for settings and logs
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

fn resolve_program(arguments: &Arguments) -> std::io::Result<PathBuf> {
    match &arguments.program {
        Some(program) => Ok(program.clone()),
        None => Ok(std::env::current_exe()?.with_file_name("bramley-dock")),
    }
}

async fn run_seed(arguments: &Arguments, seed: u64) -> std::io::Result<bool> {
    let folder = arguments.folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    // Planned operations alone say nothing about tasks that outlive a host's grace.
    let profile = if arguments.planned {
        FaultProfile::Classic
    } else {
        arguments.profile
    };
    let is_classic = profile == FaultProfile::Classic;
    let size = DeploymentSize {
        domains: arguments.domains,
        hosts: arguments.hosts,
        workers: arguments.workers,
        pace: if is_classic {
            PaceSettings::none()
        } else {
            PaceSettings {
                seed,
                ..PaceSettings::default()
            }
        },
        limits: (arguments.crowd > 0).then_some(ProcessLimits::LOW),
    };
    let caller_settings = if is_classic {
        CallerSettings::classic()
    } else {
        CallerSettings::default()
    };
    let mut deployment = Deployment::start(resolve_program(arguments)?, &folder, &size).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let fault_duration = Duration::from_secs(arguments.seconds);
    let outcomes = OutcomeList::default();
    let hosts: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    let stop_callers = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..arguments.callers {
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(caller);
        let caller = run_caller(
            caller_seed,
            caller_settings.clone(),
            hosts.clone(),
            outcomes.clone(),
            Arc::clone(&stop_callers),
        );
        callers.spawn(caller);
    }
    for client in 0..arguments.crowd {
        let client_seed = seed.wrapping_mul(1_000_000).wrapping_add(client);
        callers.spawn(run_crowd_client(
            client_seed,
            hosts.clone(),
            Arc::clone(&stop_callers),
        ));
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let began_ms = since_epoch.map_or(0, |span| span.as_millis());
    let mut faults = FaultInjector::new(seed, arguments.planned, profile, arguments.domains);
    faults.run(&mut deployment, fault_duration).await?;
    std::fs::write(folder.join("faults.log"), faults.log.join("\n"))?;
    tokio::time::sleep(RECOVERY_WAIT).await;
    let recovered_at = Instant::now();
    tokio::time::sleep(MEASURE_WINDOW).await;
    stop_callers.store(true, Ordering::Relaxed);
    tokio::time::sleep(DRAIN_WAIT).await;
    let are_drained = timeout(MAX_DRAIN_WAIT - DRAIN_WAIT, async {
        while callers.join_next().await.is_some() {}
    })
    .await
    .is_ok();
    let all = outcomes.all();
    let mut violations = find_violations(&deployment.recorder, &all);
    violations.extend(find_misjudged_crashes(&deployment.recorder, &all));
    violations.extend(find_crowd_runs(&deployment.recorder));
    violations.extend(deployment.find_oversized_hosts());
    let (barred, excused) = faults.evacuations.find_barred_starts(&deployment.recorder);
    violations.extend(barred);
    violations.append(&mut faults.stop_timeouts);
    violations.extend(deployment.find_stopped_hosts());
    if arguments.planned {
        violations.extend(find_cut_offs(&all));
    }
    let served_again = all
        .iter()
        .filter(|outcome| outcome.sent_at >= recovered_at && outcome.state.is_some())
        .count();
    if !are_drained {
        violations.push(String::from("a caller did not end"));
    }
    if served_again == 0 {
        violations.push(String::from("no job was served after the recovery wait"));
    }
    let counts = count_outcomes(&deployment.recorder, &all);
    println!(
        "seed {seed}: {counts:?} evacuations={} excused_starts={excused} \
         served_again={served_again} violations={}",
        faults.evacuations.count(),
        violations.len()
    );
    if !violations.is_empty() {
        for line in &faults.log {
            println!("  fault {line}");
        }
        let mut shown_lines = Vec::new();
        for violation in violations.iter().take(10) {
            println!("  violation {violation}");
            let lines = find_lines(&folder, violation)?;
            // Tasks of one job share their lines.
            if lines != shown_lines {
                for line in &lines {
                    println!("    {line}");
                }
                shown_lines = lines;
            }
        }
        let command: Vec<String> = std::env::args().collect();
        println!("  command {}", command.join(" "));
        println!(
            "  host logs {}/host-*.log, faults also in faults.log; the name of a job finds its lines; the faults' times count from {began_ms} ms",
            folder.display()
        );
    }
    Ok(violations.is_empty())
}
