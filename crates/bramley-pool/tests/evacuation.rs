//! Evacuation of a failure domain and its return to use.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::mechanism::{DisabledMechanisms, Mechanism};
use bramley_pool::message::{JobOutcome, PoolLoad, PoolMessage, RelayMessage};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::{JobAnswer, Relay, RelayAction};
use bramley_pool::settings::{PoolSettings, RelaySettings};

/// Bound of the deployments.
const BOUND: Duration = Duration::from_millis(5_000);

/// Hosts and workers of the first failure domain come first.
const DOMAINS: [&str; 2] = ["domain-1", "domain-2"];

/// Returns a simulation with two hosts and `workers` workers in each of two failure domains, of
/// which hosts 0 and 2 are leaders.
fn started_world(workers: usize) -> World {
    let mut world = World::with_domains(&DOMAINS, 2, workers, &PoolSettings::default());
    world.become_leader(0);
    world.become_leader(2);
    world.run_for(Duration::from_millis(200));
    world
}

/// Returns settings with which jobs wait in the evacuated domain although the other one has free
/// workers.
fn without_stealing() -> PoolSettings {
    PoolSettings {
        disabled: DisabledMechanisms::default().with(Mechanism::Stealing),
        ..PoolSettings::default()
    }
}

/// Returns a job of 16 tasks of 400 ms, of which four workers run 12 at once.
fn wide_job(name: &str) -> TestJob {
    TestJob {
        name: String::from(name),
        tasks: 16,
        run: Duration::from_millis(400),
        ..TestJob::default()
    }
}

/// Returns the start times of the runs on the workers of the first failure domain.
fn starts_in_first_domain(world: &World) -> Vec<UnixTime> {
    let workers = world.workers.iter();
    let first = workers.filter(|worker| worker.domain == DOMAINS[0]);
    first
        .flat_map(|worker| worker.history(world.now))
        .map(|(_, started_at, _)| started_at)
        .collect()
}

fn submit_each(world: &mut World, name: &str, count: usize, pause: Duration) {
    for number in 0..count {
        let job = TestJob {
            name: format!("{name}-{number}"),
            ..TestJob::default()
        };
        world.submit(number % 4, &job);
        world.run_for(pause);
    }
}

fn assert_sound(world: &mut World) {
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    let unserved: Vec<_> = world
        .answers
        .iter()
        .filter(|(_, (answer, _))| *answer != JobAnswer::Completed)
        .collect();
    assert!(unserved.is_empty(), "{unserved:?}\n{:#?}", world.log);
}

/// Guards against starts after the bound and against refusals of callers in the evacuated domain:
/// the other domain has room for all.
#[test]
fn nothing_is_started_after_the_bound_and_callers_are_served_elsewhere() {
    let mut world = started_world(8);
    submit_each(&mut world, "before", 20, Duration::from_millis(20));
    let bound_at = world.now.after(BOUND);
    world.set_evacuated(DOMAINS[0], true);
    submit_each(&mut world, "meanwhile", 300, Duration::from_millis(30));
    let late = starts_in_first_domain(&world);
    let late: Vec<_> = late.iter().filter(|start| **start > bound_at).collect();
    assert!(late.is_empty(), "{late:?}\n{:#?}", world.log);
    world.set_evacuated(DOMAINS[0], false);
    let back_at = world.now;
    submit_each(&mut world, "after", 50, Duration::from_millis(30));
    world.run_for(Duration::from_secs(1));
    assert!(
        starts_in_first_domain(&world)
            .iter()
            .any(|start| *start > back_at)
    );
    assert_eq!(world.answers.len(), 370);
    assert_sound(&mut world);
}

/// Guards against jobs that are stuck at the evacuated pool, and against a second run of what had
/// begun there: the four workers run 12 of 16 tasks, and the other 4 wait.
#[test]
fn waiting_jobs_move_at_once_and_begun_ones_move_when_their_runs_have_ended() {
    let settings = PoolSettings {
        evacuation_bound: Duration::from_millis(1_000),
        ..without_stealing()
    };
    let mut world = World::with_domains(&DOMAINS, 2, 4, &settings);
    world.become_leader(0);
    world.become_leader(2);
    world.run_for(Duration::from_millis(200));
    world.submit(1, &wide_job("begun"));
    let waiting = TestJob {
        name: String::from("waiting"),
        run: Duration::from_millis(1_000),
        ..TestJob::default()
    };
    world.submit(1, &waiting);
    world.run_for(Duration::from_millis(100));
    assert_eq!(starts_in_first_domain(&world).len(), 12, "{:#?}", world.log);
    world.set_evacuated(DOMAINS[0], true);
    world.run_for(Duration::from_millis(50));
    assert_eq!(
        world.runs(),
        13,
        "the waiting job has moved: {:#?}",
        world.log
    );
    world.run_for(Duration::from_secs(3));
    assert_eq!(starts_in_first_domain(&world).len(), 12, "{:#?}", world.log);
    assert_eq!(world.runs(), 17, "no task ran again: {:#?}", world.log);
    assert_eq!(world.answers.len(), 2);
    assert_sound(&mut world);
    let crashes = world
        .log
        .iter()
        .filter(|line| line.contains("crash_recorded"));
    assert_eq!(crashes.count(), 0, "the move is no crash: {:#?}", world.log);
}

/// A begun job may still start tasks in the first half of the bound, so that it is not delayed.
#[test]
fn begun_jobs_start_their_tasks_in_the_first_half_of_the_bound() {
    let mut world = World::with_domains(&DOMAINS, 2, 4, &without_stealing());
    world.become_leader(0);
    world.become_leader(2);
    world.run_for(Duration::from_millis(200));
    world.submit(1, &wide_job("begun"));
    world.run_for(Duration::from_millis(100));
    world.set_evacuated(DOMAINS[0], true);
    world.run_for(Duration::from_secs(2));
    assert_eq!(starts_in_first_domain(&world).len(), 16, "{:#?}", world.log);
    assert_sound(&mut world);
}

/// A new leader has all workers before it reaches the store for the evacuations. It must start
/// nothing before, and move what waits and what has begun once it knows.
#[test]
fn a_new_leader_starts_nothing_before_it_has_read_the_evacuations() {
    let mut world = started_world(4);
    world.submit(1, &wide_job("begun"));
    world.run_for(Duration::from_millis(100));
    world.set_evacuated(DOMAINS[0], true);
    world.run_for(Duration::from_millis(50));
    let starts = starts_in_first_domain(&world).len();
    world.reads_evacuations = false;
    world.become_leader(1);
    submit_each(&mut world, "meanwhile", 8, Duration::from_millis(20));
    world.run_for(Duration::from_millis(100));
    assert_eq!(
        starts_in_first_domain(&world).len(),
        starts,
        "{:#?}",
        world.log
    );
    world.reads_evacuations = true;
    world.list_workers(1);
    world.run_for(Duration::from_secs(4));
    assert_eq!(
        starts_in_first_domain(&world).len(),
        starts,
        "{:#?}",
        world.log
    );
    assert_eq!(world.answers.len(), 9, "{:#?}", world.log);
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
}

/// A job runs when its relay and the leader are lost together, and its client sends it again. The
/// new leader of the evacuated domain must not refuse it as not run before it has read the runs.
#[test]
fn a_job_that_runs_is_not_refused_by_a_new_leader_of_an_evacuated_domain() {
    let mut world = World::with_domains(&[DOMAINS[0]], 3, 4, &PoolSettings::default());
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    let job = TestJob {
        run: Duration::from_millis(700),
        ..TestJob::default()
    };
    world.submit(0, &job);
    world.run_for(Duration::from_millis(50));
    for worker in &mut world.workers {
        worker.answer_delay = Duration::from_millis(60);
    }
    world.evacuated.insert(DomainName::from(DOMAINS[0]));
    world.kill_host(0);
    world.become_leader(1);
    world.run_for(Duration::from_millis(10));
    world.submit(2, &job);
    world.run_for(Duration::from_secs(3));
    assert_eq!(
        world.answer("job-1"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
    assert_eq!(world.runs(), 1);
}

/// The store is away when the key is written and when it is removed: the last state holds, whatever
/// it is.
#[test]
fn the_last_state_holds_while_the_store_is_away() {
    let mut world = started_world(4);
    world.reads_evacuations = false;
    world.set_evacuated(DOMAINS[0], true);
    submit_each(&mut world, "before", 4, Duration::from_millis(50));
    assert!(
        !starts_in_first_domain(&world).is_empty(),
        "{:#?}",
        world.log
    );
    world.run_for(Duration::from_millis(500));
    world.reads_evacuations = true;
    world.list_workers(0);
    world.reads_evacuations = false;
    let starts = starts_in_first_domain(&world).len();
    world.set_evacuated(DOMAINS[0], false);
    submit_each(&mut world, "meanwhile", 20, Duration::from_millis(50));
    assert_eq!(
        starts_in_first_domain(&world).len(),
        starts,
        "{:#?}",
        world.log
    );
    assert_sound(&mut world);
}

/// A store that was away for long may hold a key that is older than the bound. Jobs that have begun
/// must then start nothing more.
#[test]
fn a_late_notice_leaves_no_time_for_further_starts() {
    let mut world = started_world(4);
    world.reads_evacuations = false;
    world.set_evacuated(DOMAINS[0], true);
    world.run_for(BOUND);
    world.submit(1, &wide_job("begun"));
    world.run_for(Duration::from_millis(100));
    world.reads_evacuations = true;
    world.list_workers(0);
    world.run_for(Duration::from_secs(3));
    assert_eq!(starts_in_first_domain(&world).len(), 12, "{:#?}", world.log);
    assert_sound(&mut world);
}

/// All domains are evacuated: a new job is refused at once with a time to retry, also one that
/// arrives before the relay has heard of the last evacuation.
#[test]
fn with_all_domains_evacuated_jobs_are_refused_at_once() {
    let mut world = started_world(4);
    for domain in DOMAINS {
        world.set_evacuated(domain, true);
    }
    let sent_at = world.now;
    submit_each(&mut world, "first", 2, Duration::ZERO);
    world.run_for(Duration::from_millis(100));
    submit_each(&mut world, "second", 2, Duration::ZERO);
    world.run_for(Duration::from_millis(10));
    for (name, (answer, answered_at)) in &world.answers {
        let expected = JobAnswer::Refused {
            refusal: Refusal::Evacuated,
            retry_after: RelaySettings::default().min_retry_after,
        };
        assert_eq!(*answer, expected, "{name} {:#?}", world.log);
        assert!(
            answered_at.since(sent_at) <= Duration::from_millis(110),
            "{name}"
        );
    }
    assert_eq!((world.answers.len(), world.runs()), (4, 0));
    let answer = Refusal::Evacuated.answer();
    assert_eq!((answer.status, answer.retry_after), (503, true));
}

/// Guards against a domain that takes back its load all at once, and against tasks on cold workers
/// while warm ones are there.
#[test]
fn the_domain_returns_gradually_with_cold_workers_last() {
    let mut world = World::with_domains(&[DOMAINS[0]], 1, 20, &PoolSettings::default());
    for worker in world.workers.iter_mut().take(10) {
        worker.cold = Duration::from_secs(5);
    }
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    let full = world.hosts[0].pool.load(world.now).usable_workers;
    world.set_evacuated(DOMAINS[0], true);
    let load = world.hosts[0].pool.load(world.now);
    assert_eq!((full, load.free_cpu_milli, load.evacuated), (20, 0, true));
    world.run_for(Duration::from_secs(6));
    world.set_evacuated(DOMAINS[0], false);
    let mut usable = Vec::new();
    for _step in 0..6 {
        let load = world.hosts[0].pool.load(world.now);
        usable.push(load.usable_workers);
        let now = world.now;
        let cold = world.hosts[0].pool.workers().iter().take(10);
        let cold_used = cold.filter(|worker| worker.health.suspended_until <= now);
        let expected = load.usable_workers.saturating_sub(10) as usize;
        assert_eq!(cold_used.count(), expected, "cold workers are last");
        world.run_for(Duration::from_millis(400));
    }
    assert_eq!(usable, [4, 7, 10, 13, 16, 20]);
}

/// Connects a relay of `home` to pools with this free CPU, of which that of `home` is evacuated.
fn relay_of_evacuated_domain(free: &[(&str, u64)]) -> Relay {
    let now = UnixTime::from_millis(1_000_000);
    let mut relay = Relay::new(RelaySettings::default(), DomainName::from("home"));
    for (domain, free_cpu_milli) in free {
        let domain = DomainName::from(*domain);
        let connection = relay.pool_connected(&domain, Some(1), now);
        let load = PoolLoad {
            free_cpu_milli: *free_cpu_milli,
            listed_workers: 12,
            evacuated: domain.as_str() == "home",
            ..PoolLoad::default()
        };
        relay.update_pool_load(&connection, load);
    }
    relay
}

/// Returns the pool and the submission of the last message of a relay.
fn last_submission(relay: &mut Relay) -> Option<(String, RelayMessage)> {
    let mut last = None;
    for action in relay.take_actions() {
        if let RelayAction::Send(domain, message) = action {
            last = Some((String::from(domain.as_str()), message));
        }
    }
    last
}

/// Guards against a relay that sends all jobs between two heartbeats to one pool.
#[test]
fn jobs_are_distributed_over_the_other_pools_by_their_free_cpu() {
    let mut shares = Vec::new();
    for free in [
        [("home", 0), ("east", 300_000), ("west", 100_000)],
        [("home", 0), ("east", 100_000), ("west", 5_000)],
        [("home", 0), ("east", 0), ("west", 0)],
    ] {
        let mut relay = relay_of_evacuated_domain(&free);
        let world = World::new(1, 1);
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for number in 0..40 {
            let job = TestJob {
                name: format!("job-{number}"),
                ..TestJob::default()
            };
            relay.accept(world.submission(&job), world.now);
            let (domain, _) = last_submission(&mut relay).expect("the job is submitted");
            *counts.entry(domain).or_default() += 1;
        }
        shares.push(counts);
    }
    insta::assert_debug_snapshot!(shares, @r#"
    [
        {
            "east": 30,
            "west": 10,
        },
        {
            "east": 40,
        },
        {
            "east": 20,
            "west": 20,
        },
    ]
    "#);
}

/// The refusal of an evacuated pool must not use up an offer of late service, of which a job has
/// two.
#[test]
fn the_refusal_of_an_evacuated_pool_is_no_late_offer() {
    let mut relay = relay_of_evacuated_domain(&[
        ("home", 0),
        ("east", 100_000),
        ("north", 100_000),
        ("west", 100_000),
    ]);
    let world = World::new(1, 1);
    relay.accept(world.submission(&TestJob::default()), world.now);
    let mut asked = Vec::new();
    let mut has_left = false;
    while let Some((domain, RelayMessage::Submit(submission))) = last_submission(&mut relay) {
        let is_late = submission.accepts_late;
        // The pool that is first asked to serve the job late has been evacuated meanwhile.
        let refusal = if is_late && !has_left {
            has_left = true;
            Refusal::Evacuated
        } else {
            Refusal::Overloaded
        };
        asked.push(format!("{domain} late={is_late} {refusal:?}"));
        let message = PoolMessage::Ended {
            job: submission.work.job.clone(),
            outcome: JobOutcome::Refused(refusal),
            wait: Duration::from_millis(500),
        };
        let connection = relay.connection(&DomainName::new(domain));
        let connection = connection.expect("the pool is connected");
        relay.handle_pool_message(&connection, message, world.now);
    }
    insta::assert_debug_snapshot!(asked, @r#"
    [
        "east late=false Overloaded",
        "west late=false Overloaded",
        "north late=false Overloaded",
        "east late=true Evacuated",
        "west late=true Overloaded",
        "north late=true Overloaded",
    ]
    "#);
}
