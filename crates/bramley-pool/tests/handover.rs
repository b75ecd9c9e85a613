//! Change of the leader of a failure domain while tasks run.

use std::time::Duration;

use bramley_fleet::{TestJob, World};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::JobAnswer;

/// Pause after which no caller can have sent its job elsewhere before the end of its connection is read.
const SHORT_PAUSE: Duration = Duration::from_millis(350);

fn long_job(name: &str) -> TestJob {
    TestJob {
        name: String::from(name),
        tasks: 4,
        run: Duration::from_millis(400),
        ..TestJob::default()
    }
}

/// Returns a simulation in which host 0 is the leader and runs a job submitted at host 2.
fn world_with_running_job() -> World {
    let mut world = World::new(3, 8);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.submit(2, &long_job("job-1"));
    world.run_for(Duration::from_millis(100));
    world
}

/// A job is resubmitted to the new pool before all workers have reported their runs. The pool must
/// adopt the active runs instead of starting the tasks again.
#[test]
fn no_task_runs_twice_when_command_passes_on() {
    let mut world = world_with_running_job();
    for worker in &mut world.workers {
        if worker.running() > 0 {
            worker.answer_delay = Duration::from_millis(20);
        }
    }
    world.become_leader(1);
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(world.runs(), 4, "the runs go on: {:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
}

/// As above, but the workers with runs stay unresponsive for longer than a run lease. Their tasks
/// may be restarted only after the leases have expired.
#[test]
fn a_silent_worker_is_waited_for_until_its_leases_have_ended() {
    let mut world = world_with_running_job();
    for worker in &mut world.workers {
        worker.silent = worker.running() > 0;
    }
    world.become_leader(1);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(
        world.answer("job-1"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
}

/// The leader's process ends together with its relay. Jobs of other relays must complete, and runs
/// of the lost relay's job must be stopped.
#[test]
fn jobs_of_other_relays_survive_the_end_of_the_pool() {
    let mut world = World::new(3, 8);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.submit(0, &long_job("job-lost"));
    world.submit(2, &long_job("job-kept"));
    world.run_for(Duration::from_millis(100));
    world.kill_host(0);
    world.run_for(Duration::from_millis(200));
    world.become_leader(1);
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(
        world.answer("job-kept"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
    assert_eq!(
        world.answer("job-lost"),
        None,
        "its caller's connection has ended"
    );
    let running: usize = world
        .workers
        .iter()
        .map(bramley_fleet::workers::VirtualWorker::running)
        .sum();
    assert_eq!(running, 0, "the lost job's runs were stopped");
}

/// The leader changes at the end of a partition, when the workers' entries in the platform's list
/// have expired although the workers still run tasks of the previous pool. The new pool must not
/// start these tasks while the unlisted workers may still run them.
#[test]
fn runs_on_unlisted_workers_are_waited_for() {
    let mut world = world_with_running_job();
    for worker in &mut world.workers {
        worker.listed = worker.running() == 0;
    }
    world.become_leader(1);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(
        world.answer("job-1"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
}

/// The pool's process is paused while a relay's host fails and the client resends its job
/// elsewhere. After the pause, timers fire before the closed connection is handled; no run may be
/// started in between.
#[test]
fn a_resumed_pool_starts_nothing_before_it_has_read_what_it_missed() {
    let mut world = World::new(2, 4);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(50));
    let runs = world.runs();
    world.pause_host(0, Duration::from_secs(3));
    world.hosts[0].pool.process_resumed(world.now);
    world.run_for(Duration::from_millis(60));
    world.kill_host(1);
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.runs(), runs, "{:#?}", world.log);
}

/// A relay's process is paused with an unread request whose caller resends the job elsewhere and
/// disconnects. After the pause, the request is read before the closed connection; the job must not
/// be submitted in between.
#[test]
fn a_resumed_relay_sends_nothing_before_it_has_read_what_it_missed() {
    let mut world = World::new(2, 4);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.hosts[1].relay.process_resumed(SHORT_PAUSE, world.now);
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(60));
    world.disconnect_caller(1, "job-1");
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs(), 0, "{:#?}", world.log);
    world.hosts[1].relay.process_resumed(SHORT_PAUSE, world.now);
    world.submit(1, &long_job("job-2"));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.answer("job-2"), Some(JobAnswer::Completed));
}

/// A job that was submitted to a paused pool has been resubmitted to another one. After the pause,
/// the pool reads the submission before the closed connection; it must not start the job.
#[test]
fn a_resumed_pool_starts_no_job_that_was_sent_during_the_pause() {
    let mut world = World::new(2, 4);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.pause_host(0, Duration::from_secs(3));
    world.hosts[0].pool.process_resumed(world.now);
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(50));
    world.kill_host(1);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs(), 0, "{:#?}", world.log);
}

/// A pool becomes leader again, after another process led in between, while a call from its earlier
/// term is still in flight. The refusal of that call must not end the new term.
#[test]
fn a_refusal_of_an_earlier_command_does_not_end_the_present_one() {
    let mut world = World::new(3, 4);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.become_leader(1);
    world.run_for(Duration::from_millis(2));
    world.submit(0, &long_job("job-1"));
    for worker in &mut world.workers {
        worker.answer_delay = Duration::from_millis(30);
    }
    world.run_for(Duration::from_millis(100));
    world.become_leader(0);
    world.run_for(Duration::from_secs(4));
    assert!(world.hosts[0].pool.token().is_some(), "{:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
    assert_eq!(world.overlaps(), Vec::<String>::new());
}

/// A pool that has not noticed that it was replaced becomes leader again. Meanwhile the other pool
/// has granted leases that expire later than those it has recorded, so it must not rely on its
/// records.
#[test]
fn a_pool_that_takes_command_again_does_not_trust_the_leases_it_knew() {
    let mut world = World::new(2, 2);
    world.become_leader(1);
    world.run_for(Duration::from_secs(2));
    world.become_leader(0);
    world.run_for(Duration::from_millis(20));
    let job = TestJob {
        run: Duration::from_millis(600),
        ..TestJob::default()
    };
    world.submit(0, &job);
    world.run_for(Duration::from_millis(100));
    world.become_leader(1);
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
}

/// A worker starts to leave while another pool leads. A pool that becomes leader again still has
/// the old entry until it has read the list, which takes long with thousands of workers. It must
/// not start tasks before that.
#[test]
fn a_pool_that_takes_command_again_starts_nothing_before_it_has_read_the_list() {
    let mut world = World::new(2, 2);
    world.become_leader(1);
    world.run_for(Duration::from_millis(50));
    world.become_leader(0);
    let now = world.now;
    world.hosts[1].pool.step_down(now);
    world.run_for(Duration::from_millis(50));
    world.workers[0].leaving = true;
    world.workers[1].leaving = true;
    world.list_workers(0);
    world.run_for(Duration::from_millis(50));
    world.become_leader(1);
    world.submit(1, &TestJob::default());
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs(), 0, "{:#?}", world.log);
}

/// Guards against a job that stays open for ever at a relay: the relay of another host, to which the
/// same job was sent as well, has taken it over at the pool and cancelled it.
#[test]
fn a_relay_whose_job_another_relay_has_taken_over_is_not_left_waiting() {
    let mut world = World::new(3, 8);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(10));
    world.submit(2, &long_job("job-1"));
    world.run_for(Duration::from_millis(30));
    world.disconnect_caller(2, "job-1");
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.hosts[1].relay.open_jobs(), 0, "{:#?}", world.log);
    let answer = world.answer("job-1");
    let Some(JobAnswer::Refused { refusal, .. }) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(refusal, Refusal::Unknown, "tasks have run");
}

/// Guards against an answer to the caller that still waits, caused by the dismissal of the relay
/// that held the job before it.
#[test]
fn a_job_that_another_relay_has_taken_over_is_completed_there() {
    let mut world = World::new(3, 8);
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(10));
    world.submit(2, &long_job("job-1"));
    world.run_for(Duration::from_millis(30));
    world.disconnect_caller(1, "job-1");
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.hosts[2].relay.open_jobs(), 0, "{:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
    assert_eq!(world.runs(), 4, "the runs go on: {:#?}", world.log);
}
