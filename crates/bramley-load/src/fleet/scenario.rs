//! Scenario files of emulated fleets.

use bramley_settings::{ValidatedSettings, ValidationErrors};
use serde::Deserialize;

/// Largest number of routes; the emulation distinguishes them by position.
pub const MAX_ROUTES: usize = 8;

/// An emulated fleet and its load, as described by a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetScenario {
    /// Name that appears in reports.
    pub name: String,
    /// Time in which jobs arrive, in milliseconds.
    pub span_ms: u64,
    /// Failure domains.
    pub domains: usize,
    /// Entry hosts in each failure domain.
    pub hosts: usize,
    /// Workers in each failure domain.
    pub workers: usize,
    /// CPU of the workers in cores, repeated over all of them.
    pub worker_cores: Vec<u32>,
    /// Run times on the workers relative to those declared, in percent, repeated in groups as large as
    /// the list of cores.
    pub run_time_percents: Vec<u32>,
    /// Offered load in percent of that of the routes.
    pub load_percent: u32,
    /// Swing of the load around its mean in percent.
    pub swing_percent: u32,
    /// Time of one swing in milliseconds.
    pub swing_ms: u64,
    /// Routes.
    pub routes: Vec<FleetRoute>,
    /// Faults.
    pub faults: Vec<FleetFault>,
}

/// Jobs of one route. Numbers and times are drawn from log-normal distributions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetRoute {
    /// Name that appears in reports.
    pub name: String,
    /// Mean number of jobs in a second.
    pub jobs_per_s: f64,
    /// Mean and largest number of tasks.
    pub tasks: [u32; 2],
    /// Mean and longest run time in milliseconds.
    pub run_ms: [u32; 2],
    /// Mean and largest CPU of a task in thousandths of a core.
    pub cpu_milli: [u32; 2],
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

impl Default for FleetRoute {
    fn default() -> Self {
        Self {
            name: String::new(),
            jobs_per_s: 10.0,
            tasks: [2, 8],
            run_ms: [200, 800],
            cpu_milli: [6_800, 10_000],
            priority: 0,
        }
    }
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum FleetFaultKind {
    /// Workers are gone with their runs, and come back at the end.
    WorkersLost,
    /// Workers take `percent` of their time for each task.
    WorkersSlow,
}

/// A fault of some of the workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFault {
    /// What happens.
    pub kind: FleetFaultKind,
    /// Start in milliseconds.
    pub from_ms: u64,
    /// End in milliseconds.
    pub until_ms: u64,
    /// Share of the workers in percent.
    pub workers_percent: u32,
    /// Run time in percent, of slow workers.
    #[serde(default)]
    pub percent: u32,
}

impl Default for FleetScenario {
    fn default() -> Self {
        Self {
            name: String::new(),
            span_ms: 20_000,
            domains: 4,
            hosts: 2,
            workers: 12,
            worker_cores: vec![16],
            run_time_percents: vec![100],
            load_percent: 100,
            swing_percent: 0,
            swing_ms: 10_000,
            routes: Vec::new(),
            faults: Vec::new(),
        }
    }
}

impl ValidatedSettings for FleetScenario {
    fn validate(&self, errors: &mut ValidationErrors) {
        errors.check_range("span_ms", self.span_ms, 100, 600_000);
        errors.check_range("domains", self.domains as u64, 1, 16);
        errors.check_range("hosts", self.hosts as u64, 1, 64);
        errors.check_range("workers", self.workers as u64, 1, 2_000);
        errors.check_range("load_percent", u64::from(self.load_percent), 1, 10_000);
        errors.check_range("swing_percent", u64::from(self.swing_percent), 0, 99);
        errors.check_range("swing_ms", self.swing_ms, 100, 600_000);
        let route_count = self.routes.len() as u64;
        errors.check_range("routes", route_count, 1, MAX_ROUTES as u64);
        if self.worker_cores.is_empty() || self.run_time_percents.is_empty() {
            let field = if self.worker_cores.is_empty() {
                "worker_cores"
            } else {
                "run_time_percents"
            };
            errors.report(field, "the list is empty", "at least one value");
        }
        for (percent, position) in self.run_time_percents.iter().zip(0_usize..) {
            let field = format!("run_time_percents[{position}]");
            errors.check_range(&field, u64::from(*percent), 10, 10_000);
        }
        for (route, position) in self.routes.iter().zip(0_usize..) {
            self.validate_route(route, position, errors);
        }
        for (fault, position) in self.faults.iter().zip(0_usize..) {
            let field = format!("faults[{position}]");
            let share = u64::from(fault.workers_percent);
            errors.check_range(&format!("{field}.workers_percent"), share, 1, 100);
            if fault.from_ms >= fault.until_ms {
                errors.report(
                    &format!("{field}.until_ms"),
                    "the fault ends before it starts",
                    format!("more than {}", fault.from_ms),
                );
            }
            if fault.kind == FleetFaultKind::WorkersSlow {
                let percent = u64::from(fault.percent);
                errors.check_range(&format!("{field}.percent"), percent, 10, 10_000);
            }
        }
    }
}

impl FleetScenario {
    fn validate_route(&self, route: &FleetRoute, position: usize, errors: &mut ValidationErrors) {
        let field = format!("routes[{position}]");
        if !(0.001..=100_000.0).contains(&route.jobs_per_s) {
            errors.report(
                &format!("{field}.jobs_per_s"),
                "the rate is out of range",
                "0.001 to 100000",
            );
        }
        for (name, [mean, most]) in [
            ("tasks", route.tasks),
            ("run_ms", route.run_ms),
            ("cpu_milli", route.cpu_milli),
        ] {
            if mean == 0 || most < mean {
                errors.report(
                    &format!("{field}.{name}"),
                    format!("[{mean}, {most}] is no mean with its limit"),
                    "a mean of at least 1 and a limit that is not below it",
                );
            }
        }
        let largest = self.worker_cores.iter().max().copied().unwrap_or(0) * 1_000;
        let [_, most] = route.cpu_milli;
        if most > largest {
            errors.report(
                &format!("{field}.cpu_milli[1]"),
                format!("no worker holds a task of {most}"),
                format!("at most {largest}, the largest worker"),
            );
        }
    }
}
