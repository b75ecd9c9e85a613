//! The load of one failure domain of a grown deployment, with workers of different speeds and with
//! tasks that take far longer than declared.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_pool::relay::JobAnswer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::workers::Behaviour;
use crate::{TestJob, World};

/// Factor by which a long task takes longer than others.
const LONG_FACTOR: f64 = 7.0;

/// Load and workers of a failure domain.
#[derive(Clone, Debug)]
pub struct BurstKind {
    /// Mean number of jobs per second.
    pub jobs_per_s: f64,
    /// Time in which jobs arrive.
    pub span: Duration,
    /// Run time factors of the workers, repeated over all of them.
    pub factors: Vec<f64>,
    /// Share of tasks that take [`LONG_FACTOR`] times as long on any worker.
    pub long_share: f64,
    /// Factor by which declared run times are wrong at most, in either direction.
    pub declared_error: f64,
    /// Number of workers.
    pub workers: usize,
    /// Seed of the random draws.
    pub seed: u64,
}

impl Default for BurstKind {
    fn default() -> Self {
        Self {
            jobs_per_s: 281.0,
            span: Duration::from_secs(5),
            factors: vec![1.0],
            long_share: 0.0,
            declared_error: 1.4,
            workers: 117,
            seed: 7,
        }
    }
}

/// A job of a burst.
#[derive(Clone, Debug)]
pub struct BurstJob {
    /// Name of the job.
    pub name: String,
    /// Route of the job.
    pub route: &'static str,
    /// Time at which its caller sent it.
    pub sent_at: UnixTime,
    /// Latency objective as counted by the caller: 1.6 times the longest task plus 60 ms.
    pub objective: Duration,
}

/// What became of the jobs of a burst, or of one of its routes.
#[derive(Clone, Copy, Debug, Default)]
pub struct BurstResult {
    /// Jobs that were sent.
    pub jobs: u32,
    /// Jobs completed within their objective.
    pub in_time: u32,
    /// Completed within three times the objective.
    pub late: u32,
    /// Jobs that were refused.
    pub refused: u32,
}

impl BurstResult {
    /// Returns the share of jobs in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }
}

/// Creates a failure domain whose workers have the speeds of a burst.
pub fn uneven_domain(kind: &BurstKind) -> World {
    let mut world = World::new(1, kind.workers);
    for (index, worker) in world.workers.iter_mut().enumerate() {
        worker.capacity_milli = [16_000, 16_000, 24_000][index / kind.factors.len() % 3];
        worker.behaviour = Behaviour::RunTimeFactor(kind.factors[index % kind.factors.len()]);
    }
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

/// Submits a burst of jobs of three routes and returns them.
pub fn submit_burst(world: &mut World, kind: &BurstKind) -> Vec<BurstJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(kind.seed);
    let end = world.now.after(kind.span);
    let mut jobs = Vec::new();
    while world.now < end {
        let (route, tasks, run_ms, priority) = match rng.random_range(0..844) {
            0..206 => ("holds", rng.random_range(4..13), 60, 0),
            206..244 => ("allocations", rng.random_range(2..7), 900, 2),
            _ => ("releases", rng.random_range(1..4), 200, 1),
        };
        let run = Duration::from_millis(run_ms).mul_f64(rng.random_range(0.8..1.2));
        let error = kind.declared_error.powf(rng.random_range(-1.0..1.0));
        let task_runs: Vec<(u32, Duration)> = (0..tasks)
            .filter(|_| rng.random_bool(kind.long_share))
            .map(|index| (index, run.mul_f64(LONG_FACTOR)))
            .collect();
        let longest = task_runs.first().map_or(run, |(_, run)| *run);
        let job = TestJob {
            name: format!("burst-{}-{}", world.now.as_millis(), jobs.len()),
            route,
            tasks,
            cpu_milli: rng.random_range(6_400..9_600),
            run,
            declared: Some(run.mul_f64(error)),
            task_runs,
            priority,
            ..TestJob::default()
        };
        world.submit(0, &job);
        jobs.push(BurstJob {
            name: job.name,
            route,
            sent_at: world.now,
            objective: longest.mul_f64(1.6) + Duration::from_millis(60),
        });
        let pause = rng.random_range(0.0..2.0) / kind.jobs_per_s;
        world.run_for(Duration::from_secs_f64(pause));
    }
    world.run_for(Duration::from_secs(9));
    jobs
}

/// Counts what became of the jobs of a route, or of all if `route` is empty.
pub fn count_answers(world: &World, jobs: &[BurstJob], route: &str) -> BurstResult {
    let mut result = BurstResult::default();
    for job in jobs {
        if !route.is_empty() && job.route != route {
            continue;
        }
        result.jobs += 1;
        match world.answers.get(&job.name) {
            Some((JobAnswer::Completed, at)) => {
                let elapsed = at.since(job.sent_at);
                if elapsed <= job.objective {
                    result.in_time += 1;
                } else if elapsed <= job.objective * 3 {
                    result.late += 1;
                }
            }
            Some((JobAnswer::Refused { .. }, _)) => result.refused += 1,
            Some((JobAnswer::Failed, _)) | None => {}
        }
    }
    result
}
