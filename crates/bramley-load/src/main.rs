//! Command line of the load generator.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use bramley_load::compare::compare_reports;
use bramley_load::fleet::comparison::compare_days;
use bramley_load::fleet::experiment::FleetExperiment;
use bramley_load::fleet::outcome::DayOutcome;
use bramley_load::fleet::scenario::FleetScenario;
use bramley_load::offer::offer_load;
use bramley_load::overhead::{OverheadPlan, measure_overhead};
use bramley_load::plot::draw_reports;
use bramley_load::report::{RunReport, rows_to_table};
use bramley_load::scaling::{measure_all, to_markdown};
use bramley_load::scenario::Scenario;
use bramley_load::simulation::dispatcher::{POLICIES, PolicyDescriptor, find_policy};
use bramley_load::simulation::run_scenario;
use bramley_pool::mechanism::{DisabledMechanisms, Mechanism};

/// Generates load for bramleydock and measures it.
#[derive(Debug, FromArgs)]
struct LoadOptions {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Virtual(VirtualOptions),
    Compare(CompareOptions),
    Offer(OfferOptions),
    Overhead(OverheadOptions),
    Slopes(SlopesOptions),
    Fleet(FleetOptions),
}

/// Simulates a scenario in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "virtual")]
struct VirtualOptions {
    /// scenario file
    #[argh(option)]
    scenario: PathBuf,
    /// policy name, or `all`; default `fair`
    #[argh(option, default = "String::from(\"fair\")")]
    policy: String,
    /// seed, overrides the one in the scenario file
    #[argh(option)]
    seed: Option<u64>,
    /// offered load in percent, overrides the one in the scenario file
    #[argh(option)]
    load: Option<u32>,
    /// write the reports to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// write a plot to this file as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Compares the first reports of two JSON files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareOptions {
    /// first report file
    #[argh(positional)]
    first: PathBuf,
    /// second report file
    #[argh(positional)]
    second: PathBuf,
}

/// Sends the load of a scenario over HTTP to running entry hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "offer")]
struct OfferOptions {
    /// scenario file
    #[argh(option)]
    scenario: PathBuf,
    /// address of an entry host; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// offered load in percent, overrides the one in the scenario file
    #[argh(option)]
    load: Option<u32>,
}

/// Measures the latency an entry host adds to a call, compared with direct calls in the same run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
struct OverheadOptions {
    /// address of the entry host
    #[argh(option)]
    entry: SocketAddr,
    /// address of a worker that is not used by any entry host; may be repeated
    #[argh(option)]
    direct_worker: Vec<SocketAddr>,
    /// team
    #[argh(option)]
    team: String,
    /// task class
    #[argh(option)]
    class: String,
    /// rate of jobs and of direct calls, per second each; default 500
    #[argh(option, default = "500")]
    rate: u32,
    /// tasks per job; default 1
    #[argh(option, default = "1")]
    tasks: u32,
    /// run time of each task in milliseconds; default 1
    #[argh(option, default = "1")]
    run_ms: u32,
    /// duration of the run in seconds; default 10
    #[argh(option, default = "10")]
    seconds: u32,
    /// process id of the entry host, to read its CPU time
    #[argh(option)]
    process: Option<u32>,
}

/// Measures how the kernel's cost grows with each dimension of a deployment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesOptions {
    /// write the tables to this file as Markdown
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Compares decisions of relays and pools on an emulated fleet in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetOptions {
    /// scenario file
    #[argh(option)]
    scenario: PathBuf,
    /// number of seeds; default 6
    #[argh(option, default = "6")]
    seeds: u64,
    /// offered load in percent, overrides the one in the scenario file
    #[argh(option)]
    load: Option<u32>,
    /// mechanism to switch off and to compare with all in use; may be repeated
    #[argh(option)]
    without: Vec<String>,
    /// switch off each mechanism in turn
    #[argh(switch)]
    ablate: bool,
    /// days played at the same time; default 4
    #[argh(option, default = "4")]
    jobs: usize,
    /// write the outcomes by variant and seed to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

fn main() -> ExitCode {
    env_logger::init();
    let options: LoadOptions = argh::from_env();
    let outcome = match options.command {
        LoadCommand::Virtual(options) => run_virtual(&options),
        LoadCommand::Compare(options) => run_compare(&options),
        LoadCommand::Offer(options) => run_offer(&options),
        LoadCommand::Overhead(options) => run_overhead(options),
        LoadCommand::Slopes(options) => run_slopes(&options),
        LoadCommand::Fleet(options) => run_fleet(&options),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run_virtual(options: &VirtualOptions) -> Result<(), String> {
    let mut scenario: Scenario =
        bramley_settings::load_file(&options.scenario).map_err(|error| error.to_string())?;
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    scenario.load_percent = options.load.unwrap_or(scenario.load_percent);
    let mut reports = Vec::new();
    for policy in select_policies(&options.policy)? {
        let report = run_scenario(&scenario, policy);
        println!("{}", report.to_table());
        reports.push(report);
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&reports).map_err(|error| error.to_string())?;
        write_file(path, &text)?;
    }
    if let Some(path) = &options.svg {
        write_file(path, &draw_reports(&reports)?)?;
    }
    Ok(())
}

fn select_policies(name: &str) -> Result<Vec<&'static PolicyDescriptor>, String> {
    if name == "all" {
        return Ok(POLICIES.iter().collect());
    }
    let policy = find_policy(name).ok_or_else(|| {
        let names: Vec<&str> = POLICIES.iter().map(|policy| policy.name).collect();
        format!(
            "unknown policy {name:?}, expected one of: all, {}",
            names.join(", ")
        )
    })?;
    Ok(vec![policy])
}

fn run_compare(options: &CompareOptions) -> Result<(), String> {
    let first = read_report(&options.first)?;
    let second = read_report(&options.second)?;
    println!("{}", compare_reports(&first, &second));
    Ok(())
}

fn run_offer(options: &OfferOptions) -> Result<(), String> {
    let mut scenario: Scenario =
        bramley_settings::load_file(&options.scenario).map_err(|error| error.to_string())?;
    scenario.load_percent = options.load.unwrap_or(scenario.load_percent);
    if options.entry.is_empty() {
        return Err("at least one entry host is required (--entry)".to_owned());
    }
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let report = runtime.block_on(offer_load(&scenario, &options.entry));
    println!("crossed_answers={}", report.crossed_answers);
    print!("{}", rows_to_table(&report.rows));
    Ok(())
}

fn run_overhead(options: OverheadOptions) -> Result<(), String> {
    let plan = OverheadPlan {
        entry: options.entry,
        direct_workers: options.direct_worker,
        team: options.team,
        class: options.class,
        rate: options.rate.max(1),
        tasks: options.tasks,
        run_ms: options.run_ms,
        seconds: options.seconds,
        process_id: options.process,
    };
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let report = runtime.block_on(measure_overhead(plan))?;
    println!("{}", report.to_text());
    Ok(())
}

fn run_slopes(options: &SlopesOptions) -> Result<(), String> {
    let text = to_markdown(&measure_all());
    print!("{text}");
    match &options.out {
        Some(path) => write_file(path, &text),
        None => Ok(()),
    }
}

fn run_fleet(options: &FleetOptions) -> Result<(), String> {
    let mut scenario: FleetScenario =
        bramley_settings::load_file(&options.scenario).map_err(|error| error.to_string())?;
    scenario.load_percent = options.load.unwrap_or(scenario.load_percent);
    if options.seeds == 0 || scenario.load_percent == 0 {
        return Err("--seeds and --load have to be at least 1".to_owned());
    }
    let mut variants: Vec<(String, DisabledMechanisms)> = Vec::new();
    if !options.without.is_empty() {
        let disabled: DisabledMechanisms = options
            .without
            .iter()
            .map(|name| parse_mechanism(name))
            .collect::<Result<Vec<_>, _>>()?
            .into_iter()
            .collect();
        variants.push((options.without.join(", "), disabled));
    }
    if options.ablate {
        for mechanism in Mechanism::ALL {
            let disabled = DisabledMechanisms::default().with(mechanism);
            variants.push((mechanism.to_string(), disabled));
        }
    }
    let experiment = FleetExperiment {
        scenario,
        seeds: options.seeds,
        parallel_days: options.jobs,
    };
    let base = experiment.play(DisabledMechanisms::default());
    println!("{}, {} seeds", experiment.scenario.name, options.seeds);
    println!("{}", DayOutcome::sum_of(&base).to_table());
    let mut results = vec![(String::from("all mechanisms"), base.clone())];
    for (name, disabled) in variants {
        let days = experiment.play(disabled);
        println!("without {name}\n{}", DayOutcome::sum_of(&days).to_table());
        println!("difference without {name}, with its 95 % interval");
        println!("{}", compare_days(&base, &days));
        results.push((format!("without {name}"), days));
    }
    match &options.json {
        Some(path) => {
            let text = serde_json::to_string_pretty(&results).map_err(|error| error.to_string())?;
            write_file(path, &text)
        }
        None => Ok(()),
    }
}

fn parse_mechanism(name: &str) -> Result<Mechanism, String> {
    let mechanism = name.parse();
    mechanism.map_err(|_unknown| {
        let names = Mechanism::names();
        format!("unknown mechanism {name:?}, expected one of: {names}")
    })
}

fn read_report(path: &Path) -> Result<RunReport, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let reports: Vec<RunReport> =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let first = reports.into_iter().next();
    first.ok_or_else(|| format!("{}: contains no report", path.display()))
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}
