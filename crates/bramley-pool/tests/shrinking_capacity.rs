//! Workers whose capacity shrinks and grows while they run, and that start whatever they are told
//! to. No start may bring them over their capacity; runs that are being stopped count.

use std::time::Duration;

use bramley_fleet::{TestJob, World};
use bramley_pool::relay::JobAnswer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time that the platform allows until a smaller capacity must be respected: `contact_ms` and one
/// heartbeat of the worker.
const NOTICE: Duration = Duration::from_millis(4_500);

/// Interval at which the test passes the list of workers to the pool.
const LIST_INTERVAL: Duration = Duration::from_millis(200);

fn unguarded_world(hosts: usize, workers: usize) -> World {
    let mut world = World::new(hosts, workers);
    world.guarded = false;
    for worker in &mut world.workers {
        worker.unguarded = true;
    }
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

fn job(name: String, cpu_milli: u32, run_ms: u64) -> TestJob {
    TestJob {
        name,
        cpu_milli,
        run: Duration::from_millis(run_ms),
        ..TestJob::default()
    }
}

fn assert_within_capacity(world: &World) {
    for worker in &world.workers {
        let excess = &worker.excess_starts;
        assert_eq!(*excess, Vec::<String>::new(), "{:#?}", world.log);
    }
}

/// Guards against starts on the strength of the capacity that a worker had when it started.
#[test]
fn a_smaller_capacity_is_respected_and_a_larger_one_used() {
    let mut world = unguarded_world(1, 2);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for round in 0..24 {
        let cpu_milli = [32_000, 9_000, 20_000][round % 3];
        let now = world.now;
        for worker in &mut world.workers {
            worker.set_capacity(cpu_milli, LIST_INTERVAL, now);
        }
        world.list_workers(0);
        for number in 0..12 {
            let cpu_milli = rng.random_range(3_000..16_000);
            let name = format!("job-{round}-{number}");
            world.submit(0, &job(name, cpu_milli, rng.random_range(50..600)));
            world.run_for(Duration::from_millis(rng.random_range(5..60)));
        }
        world.run_for(LIST_INTERVAL);
    }
    world.run_for(Duration::from_secs(4));
    assert_within_capacity(&world);
    let completed = world.answers.values();
    let completed = completed.filter(|(answer, _)| *answer == JobAnswer::Completed);
    assert!(completed.count() > 48, "{:#?}", world.log);
}

/// Guards against a start in the room of a run that is still being stopped.
#[test]
fn a_run_that_is_being_stopped_counts() {
    let mut world = unguarded_world(1, 1);
    for number in 0..20 {
        let name = format!("job-{number}");
        world.submit(0, &job(name.clone(), 30_000, 400));
        world.run_for(Duration::from_millis(7 + number));
        world.disconnect_caller(0, &name);
    }
    world.run_for(Duration::from_secs(2));
    assert_within_capacity(&world);
}

/// Guards against a guess at the size of runs that an earlier leader started, before the relay that
/// knows them has submitted their jobs.
#[test]
fn runs_of_unknown_size_leave_no_room_on_unguarded_workers() {
    for cpu_milli in [32_000, 20_000] {
        let mut world = unguarded_world(3, 1);
        world.submit(0, &job(String::from("job-1"), 18_000, 2_000));
        world.run_for(Duration::from_millis(50));
        let now = world.now;
        world.workers[0].set_capacity(cpu_milli, NOTICE, now);
        world.kill_host(0);
        world.run_for(Duration::from_millis(100));
        world.become_leader(1);
        world.run_for(Duration::from_millis(40));
        for number in 2..6 {
            world.submit(2, &job(format!("job-{number}"), 15_000, 100));
            world.run_for(Duration::from_millis(30));
        }
        world.run_for(Duration::from_secs(4));
        assert_within_capacity(&world);
    }
}

/// Guards the three above at once, over changes of leader, lost and late requests and crashes.
#[test]
fn no_start_exceeds_the_capacity_in_random_runs() {
    for seed in 0..40 {
        let mut world = unguarded_world(3, 4);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for number in 0..150 {
            let index = rng.random_range(0..4);
            let now = world.now;
            match rng.random_range(0..12) {
                0 => {
                    let cpu_milli = rng.random_range(8..33) * 1_000;
                    world.workers[index].set_capacity(cpu_milli, NOTICE, now);
                }
                1 => world.become_leader(rng.random_range(0..3)),
                2 => {
                    world.lost_answers.insert(index, 2);
                }
                3 => world.late_requests.push(Duration::from_millis(900)),
                4 => world.workers[index].restart(now),
                5 => world.disconnect_caller(number % 3, &format!("job-{}", number.max(3) - 3)),
                _ => {}
            }
            if number % 3 == 0
                && let Some(leader) = world.leader()
            {
                world.list_workers(leader);
            }
            let cpu_milli = rng.random_range(3_000..16_000);
            let run_ms = rng.random_range(50..900);
            world.submit(number % 3, &job(format!("job-{number}"), cpu_milli, run_ms));
            world.run_for(Duration::from_millis(rng.random_range(5..120)));
        }
        world.run_for(Duration::from_secs(9));
        for worker in &world.workers {
            let excess = &worker.excess_starts;
            assert_eq!(
                *excess,
                Vec::<String>::new(),
                "seed {seed}: {:#?}",
                world.log
            );
        }
    }
}

/// Guards against starts that follow the entry of a worker's earlier incarnation: one that has told its
/// restart may be of another kind, and gets no task before its new entry is read.
#[test]
fn a_restarted_worker_gets_no_task_before_its_entry_is_read() {
    let mut world = World::new(1, 1);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.entry_delay = Duration::from_millis(1_000);
    world.submit(0, &job(String::from("job-1"), 10_000, 3_000));
    world.run_for(Duration::from_millis(50));
    let now = world.now;
    world.workers[0].restart(now);
    world.run_for(Duration::from_millis(700));
    let worker = &world.hosts[0].pool.workers()[0];
    assert!(worker.synced && !worker.is_usable(), "{:#?}", world.log);
    assert_eq!(world.runs(), 1, "{:#?}", world.log);
    world.run_for(Duration::from_millis(6_000));
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
    assert_eq!(world.runs(), 2);
}
