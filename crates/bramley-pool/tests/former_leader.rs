//! Hosts that turn to the successor of their own pool before that pool gives up its leadership, and
//! events of an earlier term that arrive in a later one.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_fleet::workers::VirtualWorker;
use bramley_fleet::{TestJob, World};
use bramley_pool::pool::{Pool, PoolAction};
use bramley_pool::relay::JobAnswer;
use bramley_pool::settings::PoolSettings;
use bramley_pool::worker::{CallAnswer, WorkerCall, WorkerClock, WorkerReport};

/// Hosts of each failure domain.
const HOSTS: usize = 3;

/// Run time that outlasts the time after which a relay takes the runs of a lost pool for ended.
const LONG_RUN: Duration = Duration::from_millis(6_000);

/// Seeds of the times at which hosts learn of the change; with some of them the former leader learns of
/// it late, from a worker that has met the higher fencing token.
const SEEDS: std::ops::Range<u64> = 0..12;

/// Three failure domains with connections, the first host of each of which is the leader.
fn linked_world(seed: u64) -> World {
    let settings = PoolSettings::default();
    let mut world = World::with_domains(&["domain-1", "domain-2", "domain-3"], HOSTS, 4, &settings);
    for leader in [0, HOSTS, 2 * HOSTS] {
        world.become_leader(leader);
    }
    world.run_for(Duration::from_millis(50));
    world.use_links(seed);
    world.run_for(Duration::from_millis(2_000));
    world
}

/// Guards against jobs that run in two failure domains after a change of leader, because the former
/// leader's end is taken for the loss of its successor.
#[test]
fn jobs_of_a_leader_that_steps_down_late_stay_with_its_successor() {
    let mut broken = Vec::new();
    for seed in SEEDS {
        for delay_ms in [25, 100, 400] {
            let mut world = linked_world(seed);
            let job = TestJob {
                tasks: 3,
                run: LONG_RUN,
                ..TestJob::default()
            };
            world.call_host(0, &job, None);
            world.run_for(Duration::from_millis(300));
            if let Some(links) = &mut world.links {
                links.claim_write_delay = Some(Duration::from_millis(delay_ms));
            }
            world.become_leader(1);
            world.run_for(Duration::from_secs(15));
            let doubled = world.overlaps();
            let answer = world.answer(&job.name);
            if !doubled.is_empty() || answer != Some(JobAnswer::Completed) {
                let moves = world
                    .log
                    .iter()
                    .filter(|line| line.contains("job_handed_over"));
                let moves: Vec<&String> = moves.collect();
                broken.push(format!(
                    "seed {seed}, {delay_ms} ms: {doubled:?} {answer:?} {moves:#?}"
                ));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a task that is started beside a run of another leader that has led in between: the
/// answer to a poll of the earlier term, which was on its way, was taken for the first report of the
/// new one.
#[test]
fn a_report_requested_in_an_earlier_term_does_not_count_as_the_first_of_this_one() {
    let now = UnixTime::from_millis(1_000_000);
    let mut pool = Pool::new(PoolSettings::default());
    pool.become_leader(5, now);
    let worker = VirtualWorker::new(0);
    pool.worker_listed(worker.entry(), now);
    let earlier_calls = take_calls(&mut pool);
    assert_eq!(earlier_calls.len(), 1);
    // The process has not noticed that another one led with token 6.
    pool.become_leader(7, now);
    let calls = take_calls(&mut pool);
    assert_eq!(calls.len(), 1);
    let report = || {
        CallAnswer::Report(WorkerReport {
            clock: WorkerClock(5_000),
            ..WorkerReport::default()
        })
    };
    pool.handle_worker_answer(&earlier_calls[0], report(), now);
    assert!(
        !pool.workers()[0].synced,
        "the report is older than the term"
    );
    pool.handle_worker_answer(&calls[0], report(), now);
    assert!(pool.workers()[0].synced);
}

fn take_calls(pool: &mut Pool) -> Vec<WorkerCall> {
    let actions = pool.take_actions().into_iter();
    let calls = actions.filter_map(|action| match action {
        PoolAction::Call(call) => Some(call),
        _ => None,
    });
    calls.collect()
}
