//! Tasks that slow each other down on one worker: what is learned of them, and where they are
//! placed.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_fleet::workers::{Behaviour, VirtualWorker};
use bramley_fleet::{TestJob, World};
use bramley_pool::pool::RoutePair;
use bramley_pool::relay::JobAnswer;
use bramley_pool::settings::PoolSettings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Routes of the jobs of these tests.
const ROUTES: [&str; 2] = ["grind", "parse"];

/// Workers, each with room for two tasks.
const WORKERS: usize = 8;

/// Jobs that arrive at random times, with noisy run times.
struct Traffic {
    rng: ChaCha8Rng,
    /// Mean time between two jobs.
    interval: Duration,
    /// Largest number of tasks of a job.
    max_tasks: u32,
    /// Whether a job of another route arrives with each job of `grind`.
    has_companions: bool,
    /// Name of each job with the time by which it is to be answered.
    sent: Vec<(String, UnixTime)>,
}

impl Traffic {
    /// Returns the share of the jobs from `first` on that were answered in time.
    fn share_in_time(&self, world: &World, first: usize) -> f64 {
        let sent = &self.sent[first..];
        let mut in_time = 0_u32;
        for (name, objective_at) in sent {
            let answer = world.answers.get(name);
            in_time +=
                u32::from(answer.is_some_and(|(answer, at)| {
                    *answer == JobAnswer::Completed && at <= objective_at
                }));
        }
        f64::from(in_time) / sent.len() as f64
    }

    fn new(seed: u64, interval_ms: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            interval: Duration::from_millis(interval_ms),
            max_tasks: 2,
            has_companions: false,
            sent: Vec::new(),
        }
    }

    /// Submits jobs for `span`. Run times vary by a factor of 2 in either direction, declared ones
    /// are off by a factor of up to 1.4, and 3 % of the jobs take seven times as long.
    fn run(&mut self, world: &mut World, span: Duration) {
        let end = world.now.after(span);
        while world.now < end {
            let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
            let base = if route == "grind" { 200.0 } else { 80.0 };
            let mut factor = 2_f64.powf(self.rng.random_range(-1.0..1.0));
            let declared_factor = 1.4_f64.powf(self.rng.random_range(-1.0..1.0));
            let mut declared_error = declared_factor;
            if self.rng.random_range(0..100) < 3 {
                factor *= 7.0;
                declared_error /= 7.0;
            }
            let job = TestJob {
                name: format!("{route}-{}", self.sent.len()),
                route,
                tasks: self.rng.random_range(1..=self.max_tasks),
                cpu_milli: 8_000,
                run: Duration::from_secs_f64(base * factor / 1_000.0),
                declared_factor: declared_error,
                ..TestJob::default()
            };
            let objective = job.run.mul_f64(1.6) + Duration::from_millis(60);
            self.sent
                .push((job.name.clone(), world.now.after(objective)));
            world.submit(0, &job);
            if self.has_companions && route == "grind" {
                let companion = TestJob {
                    name: format!("companion-{}", self.sent.len()),
                    route: "companion",
                    ..job
                };
                world.submit(0, &companion);
            }
            let pause = self.rng.random_range(0.0..2.0);
            world.run_for(self.interval.mul_f64(pause));
        }
    }
}

fn started_world(settings: &PoolSettings) -> World {
    let mut world = World::with_settings(1, WORKERS, settings);
    for worker in &mut world.workers {
        worker.capacity_milli = 16_000;
    }
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

fn set_slowdown(world: &mut World, factor: f64) {
    for worker in &mut world.workers {
        worker.slowdowns.insert(("parse", "grind"), factor);
    }
}

fn pair(world: &World, route: &str, neighbour: &str) -> RoutePair {
    let pairs = world.hosts[0].pool.route_pairs();
    let found = pairs
        .into_iter()
        .find(|pair| pair.route.as_str() == route && pair.neighbour.as_str() == neighbour);
    found.expect("the pair was observed")
}

fn changes(world: &World) -> Vec<&String> {
    let lines = world.log.iter();
    lines
        .filter(|line| line.contains("event=interference_changed"))
        .collect()
}

/// Returns the share of the run time of `parse` since `from` that overlapped with `grind`.
fn shared_time(world: &World, from: UnixTime) -> f64 {
    let (mut shared, mut whole) = (0.0, 0.0);
    for worker in &world.workers {
        let history = worker.history(world.now);
        for (task, start, end) in &history {
            if *start < from || !task.starts_with("parse") {
                continue;
            }
            whole += end.since(*start).as_secs_f64();
            for (other, other_start, other_end) in &history {
                if other.starts_with("grind") {
                    let overlap = (*end).min(*other_end).since((*start).max(*other_start));
                    shared += overlap.as_secs_f64();
                }
            }
        }
    }
    shared / whole
}

/// Speeds of workers as in the deployment with the most uneven ones.
const UNEVEN_FACTORS: [f64; 3] = [0.7, 0.7, 1.7];

fn set_uneven_speeds(world: &mut World) {
    for (worker, factor) in world
        .workers
        .iter_mut()
        .zip(UNEVEN_FACTORS.into_iter().cycle())
    {
        worker.behaviour = Behaviour::RunTimeFactor(factor);
    }
}

fn with_separation() -> PoolSettings {
    PoolSettings {
        keeps_interfering_apart: true,
        ..PoolSettings::default()
    }
}

/// Guards against a slowdown by neighbours that is not found, or found and not acted upon, so that
/// callers wait for runs that share a worker although others are free.
#[test]
fn an_interfering_pair_is_found_and_kept_apart_where_there_is_room() {
    let mut shares = Vec::new();
    let mut in_time = Vec::new();
    for settings in [with_separation(), PoolSettings::default()] {
        let mut world = started_world(&settings);
        set_slowdown(&mut world, 2.6);
        let mut traffic = Traffic::new(7, 40);
        traffic.run(&mut world, Duration::from_secs(30));
        let (from, first) = (world.now, traffic.sent.len());
        traffic.run(&mut world, Duration::from_secs(20));
        in_time.push(traffic.share_in_time(&world, first));
        shares.push(shared_time(&world, from));
        if settings.keeps_interfering_apart {
            let found = pair(&world, "parse", "grind");
            assert!(found.is_interfering, "{found:?}");
            assert!((2.0..3.0).contains(&found.slowdown), "{found:?}");
            assert_eq!(changes(&world).len(), 1, "{:?}", changes(&world));
        } else {
            assert!(world.hosts[0].pool.route_pairs().is_empty());
        }
    }
    assert!(shares[0] < shares[1] / 2.0, "{shares:?}");
    assert!(in_time[0] > in_time[1] + 0.05, "{in_time:?}");
}

/// Guards against a task that is placed beside a run that it slows down although there is other
/// room, and against one that waits when there is none.
#[test]
fn interfering_tasks_share_a_worker_only_without_other_room() {
    for room in [WORKERS, 1] {
        let mut world = started_world(&with_separation());
        set_slowdown(&mut world, 2.0);
        Traffic::new(7, 40).run(&mut world, Duration::from_secs(30));
        world.run_for(Duration::from_secs(3));
        assert!(pair(&world, "parse", "grind").is_interfering);
        for worker in world.workers.iter_mut().skip(room) {
            worker.leaving = true;
        }
        world.list_workers(0);
        for route in ["parse", "grind"] {
            let job = TestJob {
                name: String::from(route),
                route,
                cpu_milli: 8_000,
                run: Duration::from_millis(200),
                ..TestJob::default()
            };
            world.submit(0, &job);
            world.run_for(Duration::from_millis(5));
        }
        let used: Vec<usize> = world.workers.iter().map(VirtualWorker::running).collect();
        assert_eq!(used.iter().sum::<usize>(), 2, "{used:?}");
        let most = if room == 1 { 2 } else { 1 };
        assert_eq!(used.iter().max(), Some(&most), "{used:?}");
    }
}

/// A harmless route always arrives together with an interfering one, and a run often has both
/// beside it. Guards against blame that is shared out to all neighbours.
#[test]
fn a_harmless_companion_is_not_blamed() {
    let mut world = started_world(&with_separation());
    for worker in &mut world.workers {
        worker.capacity_milli = 24_000;
    }
    world.list_workers(0);
    set_slowdown(&mut world, 2.0);
    let mut traffic = Traffic::new(13, 30);
    traffic.has_companions = true;
    traffic.run(&mut world, Duration::from_secs(40));
    for found in world.hosts[0].pool.route_pairs() {
        let is_expected = found.route.as_str() == "parse" && found.neighbour.as_str() == "grind";
        assert_eq!(found.is_interfering, is_expected, "{found:?}");
    }
}

/// Guards against false alarms from noisy and misdeclared run times, tasks that take far longer,
/// jobs of many tasks, uneven workers, workers that become slow, and answers that are late under
/// load: nothing interferes, so no pair may ever count, and the decisions and their cost must be
/// the same as without the feature.
#[test]
fn routes_that_do_not_interfere_are_never_kept_apart() {
    for seed in 0..FALSE_ALARM_SEEDS {
        for disturbance in 0..5 {
            let mut runs = Vec::new();
            for settings in [with_separation(), PoolSettings::default()] {
                let mut world = started_world(&settings);
                let mut traffic = Traffic::new(seed, [18, 30, 60][seed as usize % 3]);
                disturb(&mut world, &mut traffic, disturbance);
                let counts = world.hosts[0].pool.counts();
                assert_eq!(changes(&world), Vec::<&String>::new(), "seed {seed}");
                assert_eq!(counts.placements_kept_apart, 0);
                runs.push((world.log, counts.workers_scored));
            }
            assert!(runs[0] == runs[1], "decisions differ with seed {seed}");
        }
    }
}

/// Seeds of the test for false alarms, each with five disturbances of 24 s.
const FALSE_ALARM_SEEDS: u64 = 6;

fn disturb(world: &mut World, traffic: &mut Traffic, disturbance: u32) {
    match disturbance {
        1 => set_uneven_speeds(world),
        2 => {
            traffic.max_tasks = 8;
            traffic.interval *= 3;
        }
        _ => {}
    }
    for step in 0..8 {
        if disturbance == 3 && step == 4 {
            for worker in world.workers.iter_mut().take(3) {
                worker.behaviour = Behaviour::RunTimeFactor(3.0);
            }
        }
        if disturbance == 4 {
            let is_busy = step % 2 == 0;
            traffic.interval = Duration::from_millis(if is_busy { 15 } else { 50 });
            for worker in &mut world.workers {
                worker.answer_delay = Duration::from_millis(if is_busy { 40 } else { 0 });
            }
        }
        traffic.run(world, Duration::from_secs(3));
    }
}

/// Guards against a pair that counts because of a single run.
#[test]
fn one_long_run_changes_nothing() {
    let mut world = started_world(&with_separation());
    let mut traffic = Traffic::new(11, 40);
    traffic.run(&mut world, Duration::from_secs(20));
    let job = TestJob {
        name: String::from("parse-long"),
        route: "parse",
        cpu_milli: 8_000,
        run: Duration::from_secs(4),
        declared_factor: 0.5,
        ..TestJob::default()
    };
    world.submit(0, &job);
    traffic.run(&mut world, Duration::from_secs(10));
    assert!(world.answer("parse-long").is_some());
    assert_eq!(changes(&world), Vec::<&String>::new());
}

/// Uneven workers are busy for different shares of the time. Guards against interference that is
/// hidden by their speeds.
#[test]
fn interference_is_found_on_workers_of_uneven_speed() {
    let mut world = started_world(&with_separation());
    set_uneven_speeds(&mut world);
    set_slowdown(&mut world, 2.0);
    Traffic::new(5, 30).run(&mut world, Duration::from_secs(40));
    for found in world.hosts[0].pool.route_pairs() {
        let is_expected = found.route.as_str() == "parse" && found.neighbour.as_str() == "grind";
        assert_eq!(found.is_interfering, is_expected, "{found:?}");
    }
}

/// Guards against pairs that are kept apart for ever, whether runs that share a worker show the
/// change or, where there is much room, none do.
#[test]
fn a_pair_that_ceases_to_interfere_is_forgotten() {
    for interval_ms in [25, 90] {
        let mut world = started_world(&with_separation());
        set_slowdown(&mut world, 2.5);
        let mut traffic = Traffic::new(3, 30);
        traffic.run(&mut world, Duration::from_secs(30));
        assert!(pair(&world, "parse", "grind").is_interfering);
        set_slowdown(&mut world, 1.0);
        traffic.interval = Duration::from_millis(interval_ms);
        traffic.run(&mut world, Duration::from_secs(120));
        let found = pair(&world, "parse", "grind");
        assert!(
            !found.is_interfering,
            "{interval_ms} {found:?} {:?}",
            changes(&world)
        );
        assert_eq!(changes(&world).len(), 2, "{:?}", changes(&world));
    }
}

/// Seeds of the test for speeds of workers with interfering neighbours. One of them alone varies by
/// 0.08, which is most of the bound.
const BLAME_SEEDS: std::ops::RangeInclusive<u64> = 1..=9;

/// Returns the average relative run time that a pool estimates of workers of speed 1 that most of
/// the time are shared by an interfering pair.
fn estimated_run_time(settings: &PoolSettings, seed: u64) -> f64 {
    let mut world = started_world(settings);
    set_slowdown(&mut world, 2.5);
    let mut traffic = Traffic::new(seed, 20);
    traffic.run(&mut world, Duration::from_secs(60));
    let (mut sum, mut count) = (0.0, 0.0);
    for _ in 0..200 {
        traffic.run(&mut world, Duration::from_millis(100));
        for worker in world.hosts[0].pool.workers() {
            sum += worker.relative_run_time;
            count += 1.0;
        }
    }
    sum / count
}

/// Guards against workers that count as slow because of the neighbours of their runs, and against
/// ones that count as fast because too much is put down to the neighbours.
#[test]
fn a_worker_is_not_blamed_for_interfering_neighbours() {
    let seeds = BLAME_SEEDS.count() as f64;
    let mean = |settings: &PoolSettings| -> f64 {
        BLAME_SEEDS
            .map(|seed| estimated_run_time(settings, seed))
            .sum::<f64>()
            / seeds
    };
    let averages = [mean(&with_separation()), mean(&PoolSettings::default())];
    assert!(averages[0] < averages[1] - 0.1, "{averages:?}");
    assert!((averages[0] - 1.0).abs() < 0.1, "{averages:?}");
}

/// Slowdowns begin on one pair, move to the reverse pair, and end. Guards against a pair that is
/// kept apart after another one has taken its place, and against one that is never found because an
/// earlier one explains its runs.
#[test]
fn a_slowdown_that_moves_to_another_pair_is_followed() {
    let mut world = started_world(&with_separation());
    let mut traffic = Traffic::new(17, 30);
    traffic.run(&mut world, Duration::from_secs(20));
    assert_eq!(changes(&world), Vec::<&String>::new());
    set_slowdown(&mut world, 2.5);
    traffic.run(&mut world, Duration::from_secs(40));
    assert!(pair(&world, "parse", "grind").is_interfering);
    assert!(!pair(&world, "grind", "parse").is_interfering);
    for worker in &mut world.workers {
        worker.slowdowns.clear();
        worker.slowdowns.insert(("grind", "grind"), 2.5);
    }
    traffic.run(&mut world, Duration::from_secs(120));
    assert!(pair(&world, "grind", "grind").is_interfering);
    assert!(
        !pair(&world, "parse", "grind").is_interfering,
        "{:?} {:#?}",
        world.hosts[0].pool.route_pairs(),
        changes(&world)
    );
    set_slowdown(&mut world, 1.0);
    for worker in &mut world.workers {
        worker.slowdowns.clear();
    }
    traffic.run(&mut world, Duration::from_secs(180));
    for found in world.hosts[0].pool.route_pairs() {
        assert!(!found.is_interfering, "{found:?} {:?}", changes(&world));
    }
}

/// Three routes, of which two slow each other down in both directions, on workers of different
/// speed. Guards against the third route being kept apart from them, and against speeds that hide
/// the pair.
#[test]
fn two_of_three_routes_interfere_on_uneven_workers() {
    let mut world = started_world(&with_separation());
    for worker in &mut world.workers {
        worker.capacity_milli = 24_000;
    }
    world.list_workers(0);
    set_uneven_speeds(&mut world);
    for worker in &mut world.workers {
        worker.slowdowns.insert(("parse", "grind"), 2.0);
        worker.slowdowns.insert(("grind", "parse"), 2.0);
    }
    let mut traffic = Traffic::new(19, 30);
    traffic.has_companions = true;
    traffic.run(&mut world, Duration::from_secs(60));
    for found in world.hosts[0].pool.route_pairs() {
        let routes = (found.route.as_str(), found.neighbour.as_str());
        let is_expected = matches!(routes, ("parse", "grind") | ("grind", "parse"));
        assert_eq!(found.is_interfering, is_expected, "{found:?}");
    }
}

/// Guards against a new leader that acts on what an earlier term has learned.
#[test]
fn a_change_of_leader_starts_from_nothing() {
    let mut world = started_world(&with_separation());
    set_slowdown(&mut world, 2.0);
    Traffic::new(7, 40).run(&mut world, Duration::from_secs(30));
    assert!(pair(&world, "parse", "grind").is_interfering);
    let now = world.now;
    world.hosts[0].pool.step_down(now);
    world.become_leader(0);
    assert!(world.hosts[0].pool.route_pairs().is_empty());
}
