//! Command of the workers passes from one process to another while tasks run.

mod world;

use std::time::Duration;

use bramley_pool::relay::JobAnswer;
use world::{TestJob, World};

fn long_job(name: &str) -> TestJob {
    TestJob {
        name: String::from(name),
        tasks: 4,
        run: Duration::from_millis(400),
        ..TestJob::default()
    }
}

/// Returns a world in which host 0 has command and runs a job of host 2.
fn world_with_job() -> World {
    let mut world = World::new(3, 8);
    world.take_command(0);
    world.run_for(Duration::from_millis(50));
    world.submit(2, &long_job("job-1"));
    world.run_for(Duration::from_millis(100));
    world
}

/// Pattern: a job is submitted again to the new pool before the runs of all workers were read.
#[test]
fn no_task_runs_twice_when_command_passes_on() {
    let mut world = world_with_job();
    for worker in &mut world.workers {
        if worker.running() > 0 {
            worker.answer_delay = Duration::from_millis(20);
        }
    }
    world.take_command(1);
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(world.runs(), 4, "the runs go on: {:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
}

/// Pattern: as before, and one worker answers nobody for longer than a run lease.
#[test]
fn a_silent_worker_is_waited_for_until_its_leases_have_ended() {
    let mut world = world_with_job();
    for worker in &mut world.workers {
        worker.silent = worker.running() > 0;
    }
    world.take_command(1);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(
        world.answer("job-1"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
}

/// Pattern: the process with command ends, and with it one relay; the other relays' jobs go on.
#[test]
fn jobs_of_other_relays_survive_the_end_of_the_pool() {
    let mut world = World::new(3, 8);
    world.take_command(0);
    world.run_for(Duration::from_millis(50));
    world.submit(0, &long_job("job-lost"));
    world.submit(2, &long_job("job-kept"));
    world.run_for(Duration::from_millis(100));
    world.kill_host(0);
    world.run_for(Duration::from_millis(200));
    world.take_command(1);
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
        .map(world::workers::VirtualWorker::running)
        .sum();
    assert_eq!(running, 0, "the lost job's runs were stopped");
}

/// Pattern: the workers of a domain that was cut off have no entries when the cut ends, and command
/// passes on at that moment; they still run what the earlier pool started.
#[test]
fn runs_on_unlisted_workers_are_waited_for() {
    let mut world = world_with_job();
    for worker in &mut world.workers {
        worker.listed = worker.running() == 0;
    }
    world.take_command(1);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(
        world.answer("job-1"),
        Some(JobAnswer::Completed),
        "{:#?}",
        world.log
    );
}

/// Pattern: the pool's process is paused while a relay's host fails and the client sends its job
/// again elsewhere; when the process is resumed, its timers are handled before the connection's end.
#[test]
fn a_resumed_pool_starts_nothing_before_it_has_read_what_it_missed() {
    let mut world = World::new(2, 4);
    world.take_command(0);
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

/// Pattern: a relay's process is paused while it holds an unread request; its caller sends the job
/// again elsewhere and leaves, and the request is read before the connection's end.
#[test]
fn a_resumed_relay_sends_nothing_before_it_has_read_what_it_missed() {
    let mut world = World::new(2, 4);
    world.take_command(0);
    world.run_for(Duration::from_millis(50));
    world.hosts[1].relay.process_resumed(world.now);
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(60));
    world.leave(1, "job-1");
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs(), 0, "{:#?}", world.log);
    world.hosts[1].relay.process_resumed(world.now);
    world.submit(1, &long_job("job-2"));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.answer("job-2"), Some(JobAnswer::Completed));
}

/// Pattern: a pool's process is paused; a job that was sent to it meanwhile has gone to another pool,
/// and it reads the submission before the connection's end.
#[test]
fn a_resumed_pool_starts_no_job_that_was_sent_during_the_pause() {
    let mut world = World::new(2, 4);
    world.take_command(0);
    world.run_for(Duration::from_millis(50));
    world.pause_host(0, Duration::from_secs(3));
    world.hosts[0].pool.process_resumed(world.now);
    world.submit(1, &long_job("job-1"));
    world.run_for(Duration::from_millis(50));
    world.kill_host(1);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.runs(), 0, "{:#?}", world.log);
}

/// Pattern: a pool takes command again while a call of its earlier command is on its way, and a third
/// process had command in between.
#[test]
fn a_refusal_of_an_earlier_command_does_not_end_the_present_one() {
    let mut world = World::new(3, 4);
    world.take_command(0);
    world.run_for(Duration::from_millis(50));
    world.take_command(1);
    world.run_for(Duration::from_millis(2));
    world.submit(0, &long_job("job-1"));
    for worker in &mut world.workers {
        worker.answer_delay = Duration::from_millis(30);
    }
    world.run_for(Duration::from_millis(100));
    world.take_command(0);
    world.run_for(Duration::from_secs(4));
    assert!(world.hosts[0].pool.token().is_some(), "{:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
    assert_eq!(world.overlaps(), Vec::<String>::new());
}

/// Pattern: a pool that does not know that it was replaced takes command again; the leases that the other
/// pool has granted meanwhile are longer than those that it remembers.
#[test]
fn a_pool_that_takes_command_again_does_not_trust_the_leases_it_knew() {
    let mut world = World::new(2, 2);
    world.take_command(1);
    world.run_for(Duration::from_secs(2));
    world.take_command(0);
    world.run_for(Duration::from_millis(20));
    let job = TestJob {
        run: Duration::from_millis(600),
        ..TestJob::default()
    };
    world.submit(0, &job);
    world.run_for(Duration::from_millis(100));
    world.take_command(1);
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.overlaps(), Vec::<String>::new(), "{:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
}

/// Pattern: a worker announces that it leaves while another pool has command; the pool that takes command
/// again knows the worker from before, and the list of thousands of workers takes long to read.
#[test]
fn a_pool_that_takes_command_again_starts_nothing_before_it_has_read_the_list() {
    let mut world = World::new(2, 2);
    world.take_command(1);
    world.run_for(Duration::from_millis(50));
    world.take_command(0);
    let now = world.now;
    world.hosts[1].pool.give_up_command(now);
    world.run_for(Duration::from_millis(50));
    world.workers[0].leaving = true;
    world.workers[1].leaving = true;
    world.list_workers(0);
    world.run_for(Duration::from_millis(50));
    world.take_command(1);
    world.submit(1, &TestJob::default());
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.runs(), 0, "{:#?}", world.log);
}
