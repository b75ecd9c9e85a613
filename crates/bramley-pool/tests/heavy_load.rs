//! Load near and above the capacity of the workers: admission, queue order and placement.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::JobAnswer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn started_world(workers: usize) -> World {
    let mut world = World::new(1, workers);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

fn narrow_job(number: u32) -> TestJob {
    TestJob {
        name: format!("narrow-{number}"),
        tasks: 2,
        cpu_milli: 10_000,
        run: Duration::from_millis(200),
        ..TestJob::default()
    }
}

/// Small tasks use up resources as soon as they become free, so a task that needs more of them
/// could be starved although it arrived first.
#[test]
fn wide_tasks_are_not_starved_by_narrow_ones() {
    let mut world = started_world(8);
    for worker in &mut world.workers {
        worker.capacity_milli = 16_000;
    }
    world.list_workers(0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut sent = Vec::new();
    for number in 0..800 {
        let job = TestJob {
            name: format!("job-{number}"),
            tasks: rng.random_range(1..4),
            cpu_milli: rng.random_range(5_000..9_700),
            run: Duration::from_millis(rng.random_range(100..300)),
            ..TestJob::default()
        };
        sent.push((job.name.clone(), world.now));
        world.submit(0, &job);
        world.run_for(Duration::from_millis(rng.random_range(10..38)));
    }
    world.run_for(Duration::from_secs(3));
    let mut refused_late = Vec::new();
    for (name, sent_at) in &sent {
        let (answer, at) = world.answers[name];
        let held = at.since(*sent_at);
        // An admitted job is dropped when it can no longer meet its objective: after 0.6 times its
        // run time, which is at most 300 ms, plus 60 ms.
        if matches!(answer, JobAnswer::Refused { .. }) && held.as_millis() > 265 {
            refused_late.push((name, held));
        }
    }
    assert!(
        refused_late.is_empty(),
        "{refused_late:?}\n{}",
        world.log.join("\n")
    );
}

/// The load is twice the capacity of the workers. Most of the capacity must serve jobs that meet
/// their objective, and jobs must be refused early rather than held.
#[test]
fn under_overload_most_of_the_capacity_serves_jobs_in_time() {
    let mut world = started_world(4);
    let mut sent = Vec::new();
    for number in 0..400 {
        world.submit(0, &narrow_job(number));
        sent.push((format!("narrow-{number}"), world.now));
        world.run_for(Duration::from_millis(17));
    }
    world.run_for(Duration::from_secs(3));
    let mut in_time = 0;
    let mut late_refusals = 0;
    for (name, at) in &sent {
        let (answer, answered_at) = world.answers[name];
        let elapsed = answered_at.since(*at);
        in_time += u32::from(answer == JobAnswer::Completed && elapsed.as_millis() <= 380);
        let is_refused = matches!(answer, JobAnswer::Refused { .. });
        late_refusals += u32::from(is_refused && elapsed.as_millis() > 95);
    }
    // 12 slots with tasks of 200 ms run 60 tasks, or 30 jobs, per second: about 204 jobs in 6.8 s.
    // Nine tenths of that capacity must serve jobs in time.
    assert!(in_time >= 184, "{in_time} jobs in time");
    assert_eq!(late_refusals, 0, "jobs were held and then refused");
}

#[test]
fn a_task_that_no_worker_can_hold_is_refused_at_once() {
    let mut world = started_world(2);
    let job = TestJob {
        cpu_milli: 40_000,
        ..TestJob::default()
    };
    world.submit(0, &job);
    world.run_for(Duration::from_millis(10));
    let refusal = Refusal::NeverFits;
    assert!(
        matches!(world.answer("job-1"), Some(JobAnswer::Refused { refusal: given, .. }) if given == refusal),
        "{:?}",
        world.answers
    );
}

/// Urgent and less urgent jobs wait for the same worker, and both can meet their objectives. The
/// urgent one must start first although it arrived last.
#[test]
fn urgent_jobs_go_first() {
    let mut world = started_world(1);
    let whole_worker = |name: &str, priority, millis| TestJob {
        name: String::from(name),
        cpu_milli: 32_000,
        priority,
        run: Duration::from_millis(millis),
        ..TestJob::default()
    };
    world.submit(0, &whole_worker("busy", 0, 100));
    world.run_for(Duration::from_millis(5));
    world.submit(0, &whole_worker("patient", 2, 400));
    world.run_for(Duration::from_millis(5));
    world.submit(0, &whole_worker("urgent", 0, 100));
    world.run_for(Duration::from_secs(2));
    let (patient, patient_at) = world.answers["patient"];
    let (urgent, urgent_at) = world.answers["urgent"];
    let served = (JobAnswer::Completed, JobAnswer::Completed);
    assert_eq!((patient, urgent), served, "{:#?}", world.log);
    assert!(urgent_at < patient_at, "{:#?}", world.log);
}

/// In an otherwise idle pool, capacity becomes free a few milliseconds too late for one job. It
/// must be served late rather than refused.
#[test]
fn a_job_that_would_be_a_little_late_is_served_when_nobody_else_waits() {
    let mut world = started_world(1);
    let busy = TestJob {
        name: String::from("busy"),
        tasks: 3,
        run: Duration::from_millis(200),
        ..TestJob::default()
    };
    world.submit(0, &busy);
    world.run_for(Duration::from_millis(50));
    let late = TestJob {
        name: String::from("late"),
        run: Duration::from_millis(100),
        ..TestJob::default()
    };
    world.submit(0, &late);
    world.run_for(Duration::from_secs(2));
    assert_eq!(
        world.answer("late"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
}

/// Submits a burst of jobs to one failure domain of a large deployment: three routes, with tasks
/// that need about half a worker.
fn domain_burst(world: &mut World, span: Duration, jobs_per_s: f64) -> Vec<BurstJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let end = world.now.after(span);
    let mut jobs = Vec::new();
    while world.now < end {
        let (route, tasks, run_ms, priority) = match rng.random_range(0..844) {
            0..206 => ("holds", rng.random_range(4..13), 60, 0),
            206..244 => ("allocations", rng.random_range(2..7), 900, 2),
            _ => ("releases", rng.random_range(1..4), 200, 1),
        };
        let run = Duration::from_millis(run_ms).mul_f64(rng.random_range(0.6..1.4));
        let job = TestJob {
            name: format!("job-{}", jobs.len()),
            route,
            tasks,
            cpu_milli: rng.random_range(11_000..21_000),
            run,
            priority,
            ..TestJob::default()
        };
        world.submit(0, &job);
        jobs.push(BurstJob {
            name: job.name,
            sent_at: world.now,
            objective: run.mul_f64(1.6) + Duration::from_millis(60),
        });
        world.run_for(Duration::from_secs_f64(
            rng.random_range(0.0..2.0) / jobs_per_s,
        ));
    }
    world.run_for(Duration::from_secs(6));
    jobs
}

/// A job of a burst.
struct BurstJob {
    name: String,
    sent_at: UnixTime,
    objective: Duration,
}

/// Returns a failure domain of a large deployment: 117 workers of two sizes.
fn large_domain() -> World {
    let mut world = World::new(1, 117);
    for (index, worker) in world.workers.iter_mut().enumerate() {
        worker.capacity_milli = [32_000, 32_000, 48_000][index % 3];
    }
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

/// A failure domain of a large deployment at its mean load must serve almost all jobs in time.
#[test]
fn a_large_domain_serves_its_mean_load_in_time() {
    let mut world = large_domain();
    let jobs = domain_burst(&mut world, Duration::from_secs(4), 281.0);
    let in_time = jobs.iter().filter(|job| {
        let answer = world.answers.get(&job.name);
        answer.is_some_and(|(answer, at)| {
            *answer == JobAnswer::Completed && at.since(job.sent_at) <= job.objective
        })
    });
    let share = in_time.count() as f64 / jobs.len() as f64;
    assert!(share > 0.98, "{share}");
}

/// The load is twice what a large failure domain can serve. The leader's host has half a core: if
/// it scored every worker for every waiting job at each end of a run, it would read answers too
/// late and serve only half of what its workers could.
#[test]
fn placement_costs_a_start_no_more_under_overload() {
    let mut world = large_domain();
    let before = world.hosts[0].pool.counts();
    domain_burst(&mut world, Duration::from_secs(4), 600.0);
    let after = world.hosts[0].pool.counts();
    let scored = after.workers_scored - before.workers_scored;
    let starts = after.starts - before.starts;
    // Each worker is scored once for the start itself, and once more for tasks that do not fit.
    let max_scored = 2 * world.workers.len() as u64;
    assert!(
        scored <= max_scored * starts,
        "{scored} workers scored for {starts} starts"
    );
}

/// Under a constant load at which no task waits, the size of the pool's state must not grow with
/// time.
#[test]
fn the_state_of_a_calm_pool_does_not_grow() {
    let mut world = started_world(8);
    let mut sizes = Vec::new();
    for number in 0..1_600 {
        world.submit(0, &narrow_job(number));
        world.run_for(Duration::from_millis(50));
        // Closed jobs are remembered for 10 s.
        if number % 400 == 399 {
            sizes.push(format!("{:?}", world.hosts[0].pool).len());
        }
    }
    assert!(sizes[3] < sizes[0] * 11 / 10, "{sizes:?}");
}
