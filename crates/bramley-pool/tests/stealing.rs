//! Waiting tasks that pools of other failure domains run: where they go, and what becomes of them
//! when a process of either side is lost.

use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::{JobSubmission, ServiceName};
use bramley_pool::message::{
    FreeSlot, JobOutcome, PoolMessage, RelayId, RelayMessage, StealRequest,
};
use bramley_pool::pool::{Pool, PoolAction};
use bramley_pool::relay::JobAnswer;
use bramley_pool::resources::TaskResources;
use bramley_pool::settings::PoolSettings;

/// Hosts and workers of the first failure domain come first.
const DOMAINS: [&str; 2] = ["domain-1", "domain-2"];

/// Hosts of each domain; the first one is the leader.
const HOSTS: usize = 2;

/// Workers of each domain, each with three slots.
const WORKERS: usize = 4;

fn started_world() -> World {
    let mut world = World::with_domains(&DOMAINS, HOSTS, WORKERS, &PoolSettings::default());
    world.become_leader(0);
    world.become_leader(HOSTS);
    world.run_for(Duration::from_millis(2_000));
    world
}

/// Returns a job of 16 tasks, of which the first domain runs 12 at once.
fn wide_job(run_ms: u64) -> TestJob {
    TestJob {
        name: String::from("wide"),
        tasks: 16,
        run: Duration::from_millis(run_ms),
        ..TestJob::default()
    }
}

/// Returns the number of runs in each domain.
fn runs_by_domain(world: &World) -> [usize; 2] {
    DOMAINS.map(|domain| {
        let workers = world.workers.iter();
        let workers = workers.filter(|worker| worker.domain == domain);
        workers.map(|worker| worker.history(world.now).len()).sum()
    })
}

/// An urgent job is wider than its pool, with a slack of less than a run. Guards against tasks that
/// wait in one small pool while workers of another are free.
#[test]
fn a_job_wider_than_its_pool_is_in_time() {
    let mut world = started_world();
    let sent_at = world.now;
    world.submit(1, &wide_job(100));
    world.run_for(Duration::from_secs(1));
    let (answer, at) = world.answers["wide"];
    assert_eq!(answer, JobAnswer::Completed, "{:#?}", world.log);
    let objective = Duration::from_millis(160 + 60);
    assert!(at.since(sent_at) <= objective, "{:#?}", world.log);
    assert_eq!(runs_by_domain(&world), [12, 4], "{:#?}", world.log);
    assert_eq!(world.overlaps(), Vec::<String>::new());
}

/// Guards against an evacuated domain that takes tasks of others.
#[test]
fn an_evacuated_domain_takes_over_nothing() {
    let mut world = started_world();
    world.set_evacuated(DOMAINS[1], true);
    world.submit(1, &wide_job(100));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.answer("wide"), Some(JobAnswer::Completed));
    assert_eq!(runs_by_domain(&world), [16, 0], "{:#?}", world.log);
}

/// The pool that has released tasks is lost while they run elsewhere. They must run on, and only the
/// tasks of the lost pool may be started again.
#[test]
fn released_tasks_run_on_when_their_first_pool_is_lost() {
    let mut world = started_world();
    world.submit(1, &wide_job(1_000));
    world.run_for(Duration::from_millis(100));
    assert_eq!(runs_by_domain(&world), [12, 4], "{:#?}", world.log);
    world.kill_host(0);
    world.become_leader_after(Duration::from_millis(300), 1);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.answer("wide"), Some(JobAnswer::Completed));
    assert_eq!(runs_by_domain(&world)[1], 4, "{:#?}", world.log);
    assert_eq!(world.overlaps(), Vec::<String>::new());
}

/// The pool that has taken over tasks is lost and has no successor. They must run again elsewhere,
/// but not before their runs have certainly ended.
#[test]
fn tasks_of_a_lost_pool_run_again_elsewhere() {
    let mut world = started_world();
    world.submit(1, &wide_job(1_000));
    world.run_for(Duration::from_millis(100));
    world.kill_host(HOSTS);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.answer("wide"), Some(JobAnswer::Completed));
    assert_eq!(runs_by_domain(&world), [16, 4], "{:#?}", world.log);
    assert_eq!(world.overlaps(), Vec::<String>::new());
}

/// Guards against runs elsewhere that go on for a caller that is gone.
#[test]
fn runs_in_all_domains_are_stopped_when_the_caller_leaves() {
    let mut world = started_world();
    world.submit(1, &wide_job(3_000));
    world.run_for(Duration::from_millis(100));
    assert_eq!(runs_by_domain(&world), [12, 4], "{:#?}", world.log);
    world.disconnect_caller(1, "wide");
    world.run_for(Duration::from_millis(200));
    let running: usize = world.workers.iter().map(|worker| worker.running()).sum();
    assert_eq!(running, 0, "{:#?}", world.log);
}

/// Guards against runs elsewhere that outlive the process of the caller's relay, whose client sends
/// the job again.
#[test]
fn runs_in_all_domains_end_before_a_client_sends_its_job_again() {
    let mut world = started_world();
    world.submit(1, &wide_job(3_000));
    world.run_for(Duration::from_millis(100));
    world.kill_host(1);
    world.run_for(Duration::from_millis(1_300));
    let running: usize = world.workers.iter().map(|worker| worker.running()).sum();
    assert_eq!(running, 0, "{:#?}", world.log);
}

/// A task that has failed once is not released, so that its failures stay counted.
#[test]
fn a_task_that_has_run_stays_at_its_pool() {
    let mut world = started_world();
    for worker in world.workers.iter_mut().take(WORKERS) {
        worker.behaviour = bramley_fleet::workers::Behaviour::Failing;
    }
    let job = TestJob {
        attempts: 2,
        ..wide_job(100)
    };
    world.submit(1, &job);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.answer("wide"), Some(JobAnswer::Failed));
    let mut starts = world.starts_by_task().into_values();
    assert!(starts.all(|count| count <= 2), "{:#?}", world.log);
}

/// During an update, relays of an earlier version ignore released tasks. Guards against their jobs
/// being left without an answer.
#[test]
fn jobs_of_earlier_relays_stay_whole() {
    let mut world = started_world();
    world.hosts[0].pool.keep_jobs_whole(RelayId(1));
    world.submit(1, &wide_job(100));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.answer("wide"), Some(JobAnswer::Completed));
    assert_eq!(runs_by_domain(&world), [16, 0], "{:#?}", world.log);
}

/// Requests whose workers fit nothing, have another service or no resources at all. Guards against a
/// pool that gives up tasks to a process that cannot run them.
#[test]
fn senseless_requests_release_nothing() {
    let mut world = started_world();
    world.submit(1, &wide_job(400));
    world.run_for(Duration::from_millis(2));
    let slot = |service: &str, cpu_milli| FreeSlot {
        service: service.into(),
        free: TaskResources {
            accelerators: 0,
            cpu_milli,
            memory_mb: 65_536,
        },
        pace_permille: 1_000,
    };
    let slow = FreeSlot {
        pace_permille: u32::MAX,
        ..slot("service-1", 32_000)
    };
    let slots = vec![slot("service-1", 0), slot("service-2", 32_000), slow];
    let now = world.now;
    let pool = &mut world.hosts[0].pool;
    pool.handle_steal(&DOMAINS[1].into(), &StealRequest { slots }, now);
    let released = pool.take_actions().into_iter().filter(|action| {
        matches!(
            action,
            PoolAction::Send(_, bramley_pool::message::PoolMessage::Released { .. })
        )
    });
    assert_eq!(released.count(), 0);
}

/// Guards against the end of a part that relays take for that of the whole job.
#[test]
fn a_pool_that_has_released_tasks_ends_its_part_alone() {
    let world = World::new(1, 0);
    let mut pool = Pool::new(PoolSettings::default());
    pool.relay_connected(RelayId(1), DomainName::from("domain-1"));
    pool.become_leader(5, world.now);
    pool.worker_list_read(world.now);
    let job = TestJob {
        tasks: 2,
        ..TestJob::default()
    };
    let submission = JobSubmission {
        resumed: true,
        ..world.submission(&job)
    };
    let message = RelayMessage::Submit(Box::new(submission));
    pool.handle_relay_message(RelayId(1), message, world.now);
    let later = world.now.after(Duration::from_secs(4));
    let slot = FreeSlot {
        service: ServiceName::from("service-1"),
        free: TaskResources {
            accelerators: 0,
            cpu_milli: 30_000,
            memory_mb: 1_000,
        },
        pace_permille: 1_000,
    };
    let request = StealRequest { slots: vec![slot] };
    pool.handle_steal(&DomainName::from("domain-2"), &request, later);
    let messages = pool.take_actions().into_iter();
    let ends = messages.filter_map(|action| match action {
        PoolAction::Send(_, PoolMessage::Ended { outcome, .. }) => Some(outcome),
        _ => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), [JobOutcome::PartCompleted]);
}
