//! Scenario files, which describe the deployment, the load and the injected faults of a run.

use bramley_settings::{ValidatedSettings, ValidationErrors};
use rand::Rng;
use serde::Deserialize;

/// A run as described by a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Name that appears in reports.
    pub name: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Period in which jobs arrive, in milliseconds.
    pub duration_ms: u64,
    /// Initial period that is excluded from the results, in milliseconds.
    pub warmup_ms: u64,
    /// Failure domains.
    pub domains: Vec<DomainLayout>,
    /// Slots per worker.
    pub slots_per_worker: u32,
    /// Accelerators per worker.
    pub accelerators_per_worker: u32,
    /// Memory per worker in mebibytes.
    pub worker_memory_mib: u32,
    /// One-way delay between failure domains in microseconds.
    pub domain_delay_us: u64,
    /// One-way delay within a failure domain in microseconds.
    pub local_delay_us: u64,
    /// One-way delay between callers and hosts in microseconds.
    pub caller_delay_us: u64,
    /// Offered work in percent of the capacity of all slots.
    pub load_percent: u32,
    /// Periods with a different load; where they overlap, the last one in the list applies.
    pub bursts: Vec<LoadBurst>,
    /// Workloads.
    pub workloads: Vec<Workload>,
    /// Injected faults.
    pub faults: Vec<ScenarioFault>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: String::new(),
            seed: 1,
            duration_ms: 30_000,
            warmup_ms: 5_000,
            domains: Vec::new(),
            slots_per_worker: 8,
            accelerators_per_worker: 0,
            worker_memory_mib: 65_536,
            domain_delay_us: 1_500,
            local_delay_us: 200,
            caller_delay_us: 1_000,
            load_percent: 90,
            bursts: Vec::new(),
            workloads: Vec::new(),
            faults: Vec::new(),
        }
    }
}

/// Numbers of hosts and workers in one failure domain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainLayout {
    /// Name.
    pub name: String,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of workers.
    pub workers: usize,
}

/// A period with a different load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBurst {
    /// Start in milliseconds.
    pub from_ms: u64,
    /// End in milliseconds.
    pub until_ms: u64,
    /// Offered work in percent of the capacity of all slots.
    pub load_percent: u32,
}

/// A stream of similar jobs of one team and class.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    /// Team.
    pub team: String,
    /// Task class.
    pub class: String,
    /// Share of the offered work, in percent.
    pub share_percent: u32,
    /// Smallest number of tasks per job.
    pub min_tasks: u32,
    /// Largest number of tasks per job.
    pub max_tasks: u32,
    /// Shortest run time in milliseconds.
    pub min_run_ms: u32,
    /// Longest run time in milliseconds; run times are log-uniformly distributed between the two.
    pub max_run_ms: u32,
    /// Run time that callers declare for each task, in milliseconds.
    pub declared_ms: u32,
    /// Time limit for the answer to a job, in milliseconds.
    pub answer_within_ms: u32,
    /// Whether the task of a single-task job may run more than once.
    pub idempotent: bool,
    /// Memory required by each task, in mebibytes.
    pub memory_mib: u32,
    /// Accelerators required by each task.
    pub accelerators: u32,
    /// Whether every task fails, on any worker.
    pub fails: bool,
    /// Weight of the team; taken from the team's first workload.
    pub weight: u32,
    /// Quota of running tasks of the team; taken from the team's first workload.
    pub max_running_tasks: u32,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            team: String::new(),
            class: String::new(),
            share_percent: 0,
            min_tasks: 1,
            max_tasks: 1,
            min_run_ms: 50,
            max_run_ms: 1_000,
            declared_ms: 200,
            answer_within_ms: 30_000,
            idempotent: false,
            memory_mib: 0,
            accelerators: 0,
            fails: false,
            weight: 1,
            max_running_tasks: 10_000,
        }
    }
}

impl Workload {
    /// Returns the mean run time of a task in microseconds, that of the log-uniform distribution.
    #[must_use]
    pub fn mean_run_us(&self) -> f64 {
        let (low, high) = (f64::from(self.min_run_ms), f64::from(self.max_run_ms));
        if high <= low {
            return low * 1_000.0;
        }
        1_000.0 * (high - low) / (high / low).ln()
    }

    /// Samples the run time of a task in microseconds.
    pub fn sample_run_us(&self, rng: &mut impl Rng) -> u64 {
        let low = f64::from(self.min_run_ms).ln();
        let high = f64::from(self.max_run_ms.max(self.min_run_ms)).ln();
        let exponent = low + (high - low) * rng.random::<f64>();
        (exponent.exp() * 1_000.0) as u64
    }

    /// Returns the mean number of tasks per job.
    #[must_use]
    pub fn mean_tasks(&self) -> f64 {
        f64::from(self.min_tasks + self.max_tasks) / 2.0
    }
}

/// An injected fault and the period in which it is active.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start in milliseconds.
    pub from_ms: u64,
    /// End in milliseconds.
    pub until_ms: u64,
    /// Index of the first affected worker, host or domain.
    #[serde(default)]
    pub first: usize,
    /// Number of affected workers, hosts or domains.
    #[serde(default = "one")]
    pub count: usize,
    /// Run time factor for `workers_slow`, percentage of jobs for `cancel_wave`.
    #[serde(default)]
    pub amount: u32,
}

const fn one() -> usize {
    1
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Workers fail every task within a few milliseconds.
    WorkersFail,
    /// Workers take `amount` times as long to run a task.
    WorkersSlow,
    /// Workers are lost: their running tasks are lost and connections are refused.
    WorkersLost,
    /// Workers are marked as leaving.
    WorkersLeave,
    /// Domains are partitioned from all other domains, but not from callers.
    DomainCutOff,
    /// Hosts process no events.
    HostFrozen,
    /// Callers cancel `amount` percent of the jobs that are unanswered at the start of the period.
    CancelWave,
}

impl ScenarioFault {
    /// Returns whether the fault affects a worker, host or domain at a time in microseconds.
    #[must_use]
    pub const fn is_active_for(&self, position: usize, time_us: u64) -> bool {
        self.affects(position) && time_us >= self.from_ms * 1_000 && time_us < self.until_ms * 1_000
    }

    /// Returns whether the fault affects a worker, host or domain at any time.
    #[must_use]
    pub const fn affects(&self, position: usize) -> bool {
        position >= self.first && position < self.first + self.count
    }
}

impl Scenario {
    /// Returns the offered load in percent at a time in microseconds.
    #[must_use]
    pub fn load_percent_at(&self, time_us: u64) -> u32 {
        let mut load = self.load_percent;
        for burst in &self.bursts {
            if time_us >= burst.from_ms * 1_000 && time_us < burst.until_ms * 1_000 {
                load = burst.load_percent;
            }
        }
        load
    }

    /// Returns the total number of slots.
    #[must_use]
    pub fn total_slots(&self) -> u64 {
        let workers: usize = self.domains.iter().map(|domain| domain.workers).sum();
        workers as u64 * u64::from(self.slots_per_worker)
    }
}

impl ValidatedSettings for Scenario {
    const REQUIRED_FIELDS: &'static [&'static str] = &["name", "domains", "workloads"];

    fn validate(&self, errors: &mut ValidationErrors) {
        errors.check_name("name", &self.name);
        errors.check_range("duration_ms", self.duration_ms, 1, 3_600_000);
        errors.check_range("load_percent", u64::from(self.load_percent), 1, 1_000);
        for (position, workload) in self.workloads.iter().enumerate() {
            errors.check_name(&format!("workloads[{position}].team"), &workload.team);
            let tasks = u64::from(workload.max_tasks);
            let lower_bound = u64::from(workload.min_tasks.max(1));
            errors.check_range(
                &format!("workloads[{position}].max_tasks"),
                tasks,
                lower_bound,
                500,
            );
        }
    }
}
