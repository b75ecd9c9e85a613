//! Workers of different speed and tasks that take far longer than declared.

use std::time::Duration;

use bramley_fleet::burst::{BurstKind, BurstResult, count_answers, submit_burst, uneven_domain};
use bramley_fleet::workers::Behaviour;
use bramley_fleet::{TestJob, World};
use bramley_pool::relay::JobAnswer;

/// Run time factors with 40 % of the workers three times slower.
const TWO_SLOW_IN_FIVE: [f64; 5] = [1.0, 3.0, 1.0, 3.0, 1.0];

/// Run time factors at speeds 0.7, 0.7 and 1.7.
const MOSTLY_SLOW: [f64; 3] = [1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7];

fn burst_answers(kind: &BurstKind) -> (World, BurstResult) {
    let mut world = uneven_domain(kind);
    let jobs = submit_burst(&mut world, kind);
    let result = count_answers(&world, &jobs, "");
    (world, result)
}

fn count_lines(world: &World, part: &str) -> usize {
    world.log.iter().filter(|line| line.contains(part)).count()
}

/// Load: the mean of a failure domain, with 3 % of tasks that take seven times as long. Each was
/// stopped at three times its time and started again, its worker was suspended, and only 0.88 of
/// the jobs were in time.
#[test]
fn long_tasks_neither_suspend_workers_nor_shut_out_routes() {
    let kind = BurstKind {
        long_share: 0.03,
        ..BurstKind::default()
    };
    let (world, result) = burst_answers(&kind);
    assert!(result.share_in_time() > 0.99, "{result:?}");
    assert_eq!(count_lines(&world, "belief=suspended"), 0);
    let stalled = count_lines(&world, "reason=stalled");
    assert!(stalled < 20, "{stalled} runs stopped");
}

/// Load: 1.5 times the mean on workers of speed 0.7, 0.7 and 1.7, with 3 % of long tasks. 0.60 of
/// the jobs were in time when runs of all workers were mixed and late runs were stopped.
#[test]
fn long_tasks_on_uneven_workers_leave_most_jobs_in_time() {
    let kind = BurstKind {
        jobs_per_s: 421.5,
        factors: MOSTLY_SLOW.to_vec(),
        long_share: 0.03,
        ..BurstKind::default()
    };
    let (_, result) = burst_answers(&kind);
    assert!(result.share_in_time() > 0.78, "{result:?}");
}

/// Load: 40 % of the workers three times slower and half more traffic. Tasks went to slow workers
/// on which no job could be in time, and 0.37 of the jobs were in time.
#[test]
fn slow_workers_do_not_make_jobs_late_that_fast_ones_can_serve() {
    let kind = BurstKind {
        jobs_per_s: 421.5,
        factors: TWO_SLOW_IN_FIVE.to_vec(),
        ..BurstKind::default()
    };
    let (_, result) = burst_answers(&kind);
    assert!(result.share_in_time() > 0.47, "{result:?}");
}

/// Returns a world with one fast worker and one three times slower, whose speed is known.
fn fast_and_slow() -> World {
    let mut world = World::new(1, 2);
    world.workers[1].behaviour = Behaviour::RunTimeFactor(3.0);
    for worker in &mut world.workers {
        worker.capacity_milli = 16_000;
    }
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    for number in 0..6 {
        let job = TestJob {
            name: format!("known-{number}"),
            tasks: 2,
            ..TestJob::default()
        };
        world.submit(0, &job);
        world.run_for(Duration::from_millis(400));
    }
    let speeds = world.hosts[0].pool.workers();
    assert!(speeds[1].relative_run_time > 2.0, "{speeds:#?}");
    world
}

/// Submits a job that occupies the fast worker and, `after` that, one of 200 ms with the objective
/// 380 ms. Returns the time until its answer.
fn second_job(world: &mut World, first_run: u64, after: u64) -> Duration {
    let job = |name: &str, run_ms| TestJob {
        name: String::from(name),
        run: Duration::from_millis(run_ms),
        ..TestJob::default()
    };
    world.submit(0, &job("first", first_run));
    world.run_for(Duration::from_millis(after));
    let sent_at = world.now;
    world.submit(0, &job("second", 200));
    world.run_for(Duration::from_secs(3));
    let (answer, answered_at) = world.answers["second"];
    assert_eq!(answer, JobAnswer::Completed, "{:#?}", world.log);
    answered_at.since(sent_at)
}

/// Load: the fast worker is free in 80 ms, and a job of 200 ms would take 600 ms on the slow one.
#[test]
fn a_job_waits_for_the_only_worker_on_which_it_is_in_time() {
    let mut world = fast_and_slow();
    let elapsed = second_job(&mut world, 150, 70);
    assert!(elapsed <= Duration::from_millis(380), "{elapsed:?}");
}

/// Load: the fast worker is busy for longer than the slack of a job. Waiting for it would only
/// delay the job, which must start on the slow one at once.
#[test]
fn a_job_that_is_late_everywhere_starts_at_once() {
    let mut world = fast_and_slow();
    let elapsed = second_job(&mut world, 900, 70);
    assert!(elapsed >= Duration::from_millis(600), "{elapsed:?}");
    assert!(elapsed <= Duration::from_millis(640), "{elapsed:?}");
}

/// Load: a task takes seven times as long while its worker ends others. Stopping it would only
/// start it anew.
#[test]
fn a_long_task_on_a_working_worker_is_not_stopped() {
    let mut world = World::new(1, 1);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    let long = TestJob {
        name: String::from("long"),
        task_runs: vec![(0, Duration::from_millis(700))],
        ..TestJob::default()
    };
    world.submit(0, &long);
    for number in 0..8 {
        let job = TestJob {
            name: format!("usual-{number}"),
            ..TestJob::default()
        };
        world.submit(0, &job);
        world.run_for(Duration::from_millis(150));
    }
    assert_eq!(world.answer("long"), Some(JobAnswer::Completed));
    let pool = &world.hosts[0].pool;
    assert_eq!(pool.counts().stops, 0, "{:#?}", world.log);
    assert!(pool.workers()[0].relative_run_time < 1.25);
}

/// Run with `cargo test -p bramley-pool --test uneven_workers -- --ignored --nocapture`.
#[test]
#[ignore = "prints the shares of several loads, to compare two commits"]
fn figures() {
    let uneven = |factors: &[f64]| BurstKind {
        factors: factors.to_vec(),
        ..BurstKind::default()
    };
    let cases = [
        ("one speed", BurstKind::default()),
        ("40 % at a third", uneven(&TWO_SLOW_IN_FIVE)),
        ("0.7 0.7 1.7", uneven(&MOSTLY_SLOW)),
        ("0.8 1.0 1.25", uneven(&[1.25, 1.0, 0.8])),
    ];
    for (name, kind) in &cases {
        for (load, long_share) in [(1.0, 0.0), (1.5, 0.0), (2.0, 0.0), (1.0, 0.03), (1.5, 0.03)] {
            for seed in [7, 8] {
                let kind = BurstKind {
                    jobs_per_s: kind.jobs_per_s * load,
                    long_share,
                    seed,
                    ..kind.clone()
                };
                let (world, result) = burst_answers(&kind);
                println!(
                    "{name}, load {load}, long {long_share}, seed {seed}: {:.3} in time, {result:?}, \
                     stalled {}, suspended {}, workers scored {}",
                    result.share_in_time(),
                    count_lines(&world, "reason=stalled"),
                    count_lines(&world, "belief=suspended"),
                    world.hosts[0].pool.counts().workers_scored,
                );
            }
        }
    }
}
