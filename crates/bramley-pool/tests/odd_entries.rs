//! Entries and reports with numbers out of range.

use std::time::Duration;

use bramley_fleet::{TestJob, World};
use bramley_pool::job::{JobName, TaskName};
use bramley_pool::pool::PoolAction;
use bramley_pool::relay::JobAnswer;
use bramley_pool::worker::{
    ActiveRun, CallAnswer, WorkerCall, WorkerClock, WorkerReport, WorkerRequest,
};

/// Returns a simulation with a leader and one worker.
fn world() -> World {
    let mut world = World::new(1, 1);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world
}

fn assert_served(world: &mut World, name: &str) {
    let job = TestJob {
        name: String::from(name),
        ..TestJob::default()
    };
    world.submit(0, &job);
    world.run_for(Duration::from_millis(500));
    assert_eq!(
        world.answer(name),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
}

/// Guards against an entry with a start far in the future, which hides the worker: its own later
/// entries and reports are taken for those of an earlier incarnation.
#[test]
fn an_entry_from_the_far_future_hides_no_worker() {
    for born_unix_ms in [u64::MAX, u64::MAX / 2_000, 1_u64 << 60] {
        let mut world = world();
        let mut entry = world.workers[0].entry();
        entry.born_unix_ms = born_unix_ms;
        let now = world.now;
        world.hosts[0].pool.worker_listed(entry, now);
        world.run_for(Duration::from_millis(100));
        assert!(
            !world.hosts[0].pool.workers()[0].is_usable(),
            "it names no worker"
        );
        world.list_workers(0);
        world.run_for(Duration::from_millis(100));
        assert_served(&mut world, "job-1");
    }
}

/// Guards against the same in a report: the worker is not used until it tells a possible start.
#[test]
fn a_report_from_the_far_future_hides_no_worker() {
    let mut world = world();
    report_run(&mut world, Some(u64::MAX), 1);
    world.run_for(Duration::from_millis(700));
    assert_served(&mut world, "job-1");
}

/// Guards against a run number at the end of the range, from which the next one is counted.
#[test]
fn the_highest_run_number_ends_no_process() {
    let mut world = world();
    report_run(&mut world, None, u32::MAX);
    let job = TestJob {
        tasks: 2,
        ..TestJob::default()
    };
    world.submit(0, &job);
    world.run_for(Duration::from_millis(2_000));
    assert_served(&mut world, "job-2");
}

/// Lets the only worker report a run of `job-1`.
fn report_run(world: &mut World, born_unix_ms: Option<u64>, number: u32) {
    let now = world.now;
    let pool = &mut world.hosts[0].pool;
    let worker = &pool.workers()[0];
    let call = WorkerCall {
        worker: bramley_pool::worker::WorkerIndex(0),
        epoch: worker.epoch,
        name: worker.entry.name.clone(),
        address: std::sync::Arc::clone(&worker.entry.address),
        token: pool.token().expect("the pool is the leader"),
        request: WorkerRequest::Poll {
            lease_end: None,
            acknowledged: 0,
            wait: Duration::ZERO,
        },
        sent_at: now,
        overdue_at: None,
        answer_by: now.after(Duration::from_millis(200)),
    };
    let report = WorkerReport {
        born_unix_ms,
        clock: WorkerClock(now.as_millis()),
        active: vec![ActiveRun {
            task: TaskName::single_step(JobName::new("job-1"), 0),
            number,
        }],
        ended: Vec::new(),
    };
    pool.handle_worker_answer(&call, CallAnswer::Report(report), now);
    let actions = pool.take_actions();
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, PoolAction::LostLeadership))
    );
}
