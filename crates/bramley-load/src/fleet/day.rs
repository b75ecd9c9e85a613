//! One emulated day.

use std::f64::consts::TAU;
use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_fleet::workers::Behaviour;
use bramley_fleet::{TestJob, World};
use bramley_pool::relay::JobAnswer;
use bramley_pool::settings::PoolSettings;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use super::outcome::{DayOutcome, JobCounts};
use super::scenario::{FleetFault, FleetFaultKind, FleetRoute, FleetScenario, MAX_ROUTES};

/// Names of the routes in the emulation.
const ROUTE_NAMES: [&str; MAX_ROUTES] = [
    "route-0", "route-1", "route-2", "route-3", "route-4", "route-5", "route-6", "route-7",
];

/// Relative standard deviation of sizes, numbers and mean run times of jobs.
const JOB_SPREAD: f64 = 0.4;

/// Relative standard deviation of the CPU of tasks.
const CPU_SPREAD: f64 = 0.2;

/// Relative standard deviation of the run times of the tasks of one job.
const TASK_SPREAD: f64 = 0.15;

/// Relative standard deviation of declared run times.
const DECLARED_SPREAD: f64 = 0.4;

/// Factor on the longest task in the latency objective.
const STRETCH_FACTOR: f64 = 1.6;

/// Time on top of it.
const TARGET: Duration = Duration::from_millis(60);

/// Multiple of the objective after which an answer has no value.
const USEFUL_OBJECTIVES: u32 = 3;

/// Time before the first job, in which pools learn of their workers.
const START_TIME: Duration = Duration::from_millis(300);

/// Time after the last job until all are answered.
const END_TIME: Duration = Duration::from_secs(12);

/// A job that was sent.
#[derive(Debug)]
struct SentJob {
    name: String,
    route: usize,
    sent_at: UnixTime,
    objective: Duration,
    /// Work in CPU seconds.
    work: f64,
}

/// A change of workers at a time.
#[derive(Clone, Copy, Debug)]
struct FaultChange {
    at: UnixTime,
    fault: usize,
    begins: bool,
}

/// Plays a day with the given settings of the pools. The same seed gives the same arrivals and faults
/// with any settings.
#[must_use]
pub fn play_day(scenario: &FleetScenario, settings: &PoolSettings, seed: u64) -> DayOutcome {
    let mut day = FleetDay::new(scenario, settings, seed);
    let sent = day.send_jobs();
    day.count(&sent)
}

struct FleetDay<'a> {
    scenario: &'a FleetScenario,
    world: World,
    rng: ChaCha8Rng,
    /// Workers that each fault affects.
    affected: Vec<Vec<usize>>,
    changes: Vec<FaultChange>,
}

impl<'a> FleetDay<'a> {
    fn new(scenario: &'a FleetScenario, settings: &PoolSettings, seed: u64) -> Self {
        let domains: Vec<String> = (1..=scenario.domains)
            .map(|number| format!("domain-{number}"))
            .collect();
        let domains: Vec<&str> = domains.iter().map(String::as_str).collect();
        let mut world = World::with_domains(&domains, scenario.hosts, scenario.workers, settings);
        let cores = &scenario.worker_cores;
        for (worker, index) in world.workers.iter_mut().zip(0..) {
            worker.capacity_milli = cores[index % cores.len()] * 1_000;
            worker.behaviour = Behaviour::RunTimeFactor(usual_factor(scenario, index));
        }
        for domain in 0..domains.len() {
            world.become_leader(domain * scenario.hosts);
        }
        world.run_for(START_TIME);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let affected = scenario
            .faults
            .iter()
            .map(|fault| draw_workers(fault, world.workers.len(), &mut rng))
            .collect();
        let start = world.now;
        let mut changes: Vec<FaultChange> = Vec::new();
        for (fault, index) in scenario.faults.iter().zip(0..) {
            for (at_ms, begins) in [(fault.from_ms, true), (fault.until_ms, false)] {
                changes.push(FaultChange {
                    at: start.after(Duration::from_millis(at_ms)),
                    fault: index,
                    begins,
                });
            }
        }
        changes.sort_by_key(|change| std::cmp::Reverse(change.at));
        Self {
            scenario,
            world,
            rng,
            affected,
            changes,
        }
    }

    fn send_jobs(&mut self) -> Vec<SentJob> {
        let start = self.world.now;
        let end = start.after(Duration::from_millis(self.scenario.span_ms));
        let rates: f64 = self.scenario.routes.iter().map(|r| r.jobs_per_s).sum();
        let mean_rate = rates * f64::from(self.scenario.load_percent) / 100.0;
        let swing = f64::from(self.scenario.swing_percent) / 100.0;
        let swing_time = Duration::from_millis(self.scenario.swing_ms).as_secs_f64();
        let mut sent = Vec::new();
        loop {
            let passed = self.world.now.since(start).as_secs_f64();
            let rate = mean_rate * (1.0 + swing * (TAU * passed / swing_time).sin());
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            self.run_until(
                self.world
                    .now
                    .after(Duration::from_secs_f64(-draw.ln() / rate)),
            );
            if self.world.now >= end {
                break;
            }
            sent.push(self.send_job(sent.len(), rates));
        }
        self.run_until(end.after(END_TIME));
        sent
    }

    fn send_job(&mut self, number: usize, rates: f64) -> SentJob {
        let mut draw = self.rng.random_range(0.0..rates);
        let mut route = 0;
        while route + 1 < self.scenario.routes.len()
            && draw >= self.scenario.routes[route].jobs_per_s
        {
            draw -= self.scenario.routes[route].jobs_per_s;
            route += 1;
        }
        let host = self.rng.random_range(0..self.world.hosts.len());
        let name = format!("job-{number}");
        let job = draw_job(&self.scenario.routes[route], route, &name, &mut self.rng);
        let longest = job.task_runs.iter().map(|(_, run)| *run).max();
        let longest = longest.unwrap_or(job.run);
        let run_time: f64 = job.task_runs.iter().map(|(_, run)| run.as_secs_f64()).sum();
        self.world.submit(host, &job);
        SentJob {
            name,
            route,
            sent_at: self.world.now,
            objective: longest.mul_f64(STRETCH_FACTOR) + TARGET,
            work: run_time * f64::from(job.cpu_milli) / 1_000.0,
        }
    }

    fn run_until(&mut self, until: UnixTime) {
        while let Some(change) = self.changes.last().copied()
            && change.at <= until
        {
            self.changes.pop();
            self.world.run_for(change.at.since(self.world.now));
            self.apply(change);
        }
        self.world.run_for(until.since(self.world.now));
    }

    fn apply(&mut self, change: FaultChange) {
        let now = self.world.now;
        let fault = &self.scenario.faults[change.fault];
        for index in &self.affected[change.fault] {
            let usual = usual_factor(self.scenario, *index);
            let worker = &mut self.world.workers[*index];
            match fault.kind {
                FleetFaultKind::WorkersLost if change.begins => {
                    worker.crash(now);
                    worker.listed = false;
                }
                FleetFaultKind::WorkersLost => {
                    worker.restart(now);
                    worker.listed = true;
                }
                FleetFaultKind::WorkersSlow => {
                    let factor = if change.begins {
                        usual * f64::from(fault.percent) / 100.0
                    } else {
                        usual
                    };
                    worker.behaviour = Behaviour::RunTimeFactor(factor);
                }
            }
        }
        for domain in 0..self.scenario.domains {
            self.world.list_workers(domain * self.scenario.hosts);
        }
    }

    fn count(&self, sent: &[SentJob]) -> DayOutcome {
        let names = self.scenario.routes.iter().map(|route| route.name.clone());
        let mut routes: Vec<(String, JobCounts)> =
            names.map(|name| (name, JobCounts::default())).collect();
        let limits: Vec<f64> = (0..routes.len())
            .map(|route| large_work(sent, route))
            .collect();
        for job in sent {
            let counts = &mut routes[job.route].1;
            let is_large = job.work >= limits[job.route];
            counts.jobs += 1;
            counts.large_jobs += u32::from(is_large);
            match self.world.answers.get(&job.name) {
                Some((JobAnswer::Completed, at)) => {
                    let elapsed = at.since(job.sent_at);
                    let is_served = elapsed <= job.objective * USEFUL_OBJECTIVES;
                    counts.large_served += u32::from(is_large && is_served);
                    if elapsed <= job.objective {
                        counts.in_time += 1;
                    } else if is_served {
                        counts.late += 1;
                    } else {
                        counts.failed += 1;
                    }
                }
                Some((JobAnswer::Refused { .. }, _)) => counts.refused += 1,
                Some((JobAnswer::Failed, _)) | None => counts.failed += 1,
            }
        }
        let mut outcome = DayOutcome {
            routes,
            ..DayOutcome::default()
        };
        for host in &self.world.hosts {
            let counts = host.pool.counts();
            outcome.tasks_taken += counts.tasks_taken;
            outcome.steal_requests += counts.steal_requests;
        }
        outcome
    }
}

/// Returns the work from which a job of a route is among the largest tenth.
fn large_work(sent: &[SentJob], route: usize) -> f64 {
    let jobs = sent.iter().filter(|job| job.route == route);
    let mut work: Vec<f64> = jobs.map(|job| job.work).collect();
    work.sort_by(f64::total_cmp);
    let position = work.len() * 9 / 10;
    work.get(position).copied().unwrap_or(f64::INFINITY)
}

/// Returns a worker's run times relative to those declared, without faults.
fn usual_factor(scenario: &FleetScenario, worker: usize) -> f64 {
    let percents = &scenario.run_time_percents;
    let group = worker / scenario.worker_cores.len();
    f64::from(percents[group % percents.len()]) / 100.0
}

fn draw_workers(fault: &FleetFault, workers: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..workers).collect();
    indices.shuffle(rng);
    let count = (workers * fault.workers_percent as usize).div_ceil(100);
    indices.truncate(count);
    indices
}

fn draw_job(route: &FleetRoute, position: usize, name: &str, rng: &mut ChaCha8Rng) -> TestJob {
    let tasks = draw(route.tasks, JOB_SPREAD, rng).round().max(1.0) as u32;
    let run_ms = draw(route.run_ms, JOB_SPREAD, rng);
    let declared_factor = draw_around_one(DECLARED_SPREAD, rng);
    let task_runs = (0..tasks)
        .map(|task| {
            let run_ms = run_ms * draw_around_one(TASK_SPREAD, rng);
            (task, Duration::from_secs_f64(run_ms / 1_000.0))
        })
        .collect();
    TestJob {
        name: String::from(name),
        route: ROUTE_NAMES[position],
        tasks,
        cpu_milli: draw(route.cpu_milli, CPU_SPREAD, rng) as u32,
        run: Duration::from_secs_f64(run_ms / 1_000.0),
        declared: Some(Duration::from_secs_f64(run_ms * declared_factor / 1_000.0)),
        task_runs,
        priority: route.priority,
        ..TestJob::default()
    }
}

/// Draws a value with a mean, up to a limit.
fn draw([mean, most]: [u32; 2], spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    (f64::from(mean) * draw_around_one(spread, rng)).min(f64::from(most))
}

/// Draws from a log-normal distribution with mean 1 and this standard deviation.
fn draw_around_one(spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |normal| normal.sample(rng))
}
