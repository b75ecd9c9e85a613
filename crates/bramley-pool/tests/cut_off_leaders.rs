//! Leaders that are cut off together with a worker: they go on controlling it while another host leads
//! the failure domain, and hand their jobs over when the cut ends.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::relay::JobAnswer;
use bramley_pool::settings::PoolSettings;

/// Host that leads first, is cut off and has the caller of the job.
const FORMER: usize = 0;

/// Host that leads from the cut on.
const SUCCESSOR: usize = 1;

const HOSTS: usize = 3;

const WORKERS: usize = 4;

/// Time from the cut until the successor leads: the lease of the claim.
const TAKEOVER: Duration = Duration::from_millis(1_500);

/// Longest time from the return of the former leader until the task is started again, as it was last
/// connected to its own pool then: `lost_pool_wait` and a tick.
const START_BOUND: Duration = Duration::from_millis(2_550);

/// A cut that puts the leader and the worker of its job on one side.
#[derive(Clone, Copy, Debug)]
struct LeaderCut {
    /// Time from the cut until the former leader reads the claim of its successor.
    leader_back: Duration,
    /// Time from the cut until the other hosts reach the worker again; `None` if they never do.
    worker_back: Option<Duration>,
    /// Time after that until the worker is listed again.
    listed_after: Duration,
    entry: EntryFate,
}

/// What becomes of the worker's entry in the platform's list during the cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryFate {
    Kept,
    /// It expires before the successor leads, which does not know the worker.
    ExpiresBefore,
    /// It expires soon after the successor has read it.
    ExpiresAfter,
}

/// State after a cut.
#[derive(Debug)]
struct CutResult {
    world: World,
    /// Time at which the former leader has read its successor's claim.
    returned_at: UnixTime,
}

fn long_job() -> TestJob {
    TestJob {
        run: Duration::from_millis(7_500),
        ..TestJob::default()
    }
}

fn play(cut: LeaderCut) -> CutResult {
    let settings = PoolSettings::default();
    let mut world = World::with_domains(&["domain-1"], HOSTS, WORKERS, &settings);
    world.become_leader(FORMER);
    world.run_for(Duration::from_millis(50));
    world.use_links(1);
    world.run_for(Duration::from_millis(2_000));
    world.call_host(FORMER, &long_job(), None);
    world.run_for(Duration::from_millis(300));
    let busy = |world: &World| world.workers.iter().position(|worker| worker.running() > 0);
    let worker = busy(&world).expect("the job runs");
    for host in 0..HOSTS {
        for other in 0..WORKERS {
            if (host == FORMER) != (other == worker) {
                world.partitions.insert((host, other));
            }
        }
    }
    world.run_for(TAKEOVER);
    world.workers[worker].listed = cut.entry != EntryFate::ExpiresBefore;
    let read_after = cut.leader_back.saturating_sub(TAKEOVER);
    if let Some(links) = &mut world.links {
        links.claim_read_delays.insert(FORMER, read_after);
    }
    world.become_leader(SUCCESSOR);
    let returned_at = world.now.after(read_after);
    let led_since = world.now;
    world.run_for(Duration::from_millis(200));
    if cut.entry == EntryFate::ExpiresAfter {
        world.workers[worker].listed = false;
        let (name, now) = (world.workers[worker].entry().name, world.now);
        world.hosts[SUCCESSOR].pool.worker_unlisted(&name, now);
    }
    let end = returned_at.after(Duration::from_secs(14));
    let worker_at = cut
        .worker_back
        .map(|after| led_since.after(after.saturating_sub(TAKEOVER)));
    let listed_at = worker_at.map(|at| at.after(cut.listed_after));
    let mut moments: Vec<UnixTime> = [Some(returned_at), worker_at, listed_at, Some(end)]
        .into_iter()
        .flatten()
        .collect();
    moments.sort_unstable();
    for moment in moments {
        let left = moment.since(world.now);
        world.run_for(left);
        if moment == returned_at {
            world
                .partitions
                .retain(|(host, other)| *host != FORMER || *other == worker);
        }
        if Some(moment) == worker_at {
            world.partitions.retain(|(_, other)| *other != worker);
        }
        if Some(moment) == listed_at {
            world.workers[worker].listed = true;
            world.list_workers(SUCCESSOR);
        }
    }
    CutResult { world, returned_at }
}

fn cuts() -> Vec<LeaderCut> {
    let mut cuts = Vec::new();
    for leader_ms in [2_500, 3_400, 5_400, 7_000] {
        let leader_back = Duration::from_millis(leader_ms);
        for shift_ms in [-400_i64, 0, 300, 1_100, 2_200] {
            let worker_ms = (leader_ms as i64 + shift_ms).unsigned_abs();
            for (listed_ms, entry) in [
                (0, EntryFate::Kept),
                (0, EntryFate::ExpiresBefore),
                (700, EntryFate::ExpiresBefore),
                (700, EntryFate::ExpiresAfter),
                (1_500, EntryFate::ExpiresAfter),
            ] {
                cuts.push(LeaderCut {
                    leader_back,
                    worker_back: Some(Duration::from_millis(worker_ms)),
                    listed_after: Duration::from_millis(listed_ms),
                    entry,
                });
            }
        }
        for entry in [
            EntryFate::Kept,
            EntryFate::ExpiresBefore,
            EntryFate::ExpiresAfter,
        ] {
            cuts.push(LeaderCut {
                leader_back,
                worker_back: None,
                listed_after: Duration::ZERO,
                entry,
            });
        }
    }
    cuts
}

/// Guards against a task that is started beside its run: the former leader, cut off with the worker, has
/// renewed the run's lease until it hands the job over, long after its successor has taken over.
#[test]
fn no_task_runs_twice_when_a_leader_returns_that_was_cut_off_with_its_worker() {
    let mut doubled = Vec::new();
    for cut in cuts() {
        let CutResult { mut world, .. } = play(cut);
        let found = world.overlaps();
        if !found.is_empty() {
            doubled.push(format!("{cut:?}"));
        }
    }
    assert!(
        doubled.is_empty(),
        "{} of {}: {doubled:#?}",
        doubled.len(),
        cuts().len()
    );
}

/// Guards against a job that waits without a bound for the report of a worker that does not come back.
#[test]
fn a_task_whose_worker_stays_away_is_started_in_bounded_time() {
    for cut in cuts() {
        let CutResult { world, returned_at } = play(cut);
        let starts = world
            .workers
            .iter()
            .flat_map(|worker| worker.history(world.now));
        let last_start = starts
            .map(|(_, from, _)| from)
            .max()
            .expect("the task has run");
        assert!(
            last_start <= returned_at.after(START_BOUND),
            "{cut:?}: {:#?}",
            world.log
        );
        assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed), "{cut:?}");
    }
}

/// Guards against a long run that is lost although its worker is reached in time: its entry has expired,
/// so that only the hand-over names it to the successor.
#[test]
fn a_run_on_a_worker_without_an_entry_is_adopted_at_the_hand_over() {
    let cut = LeaderCut {
        leader_back: Duration::from_millis(5_400),
        worker_back: Some(Duration::from_millis(5_400)),
        listed_after: Duration::from_millis(1_500),
        entry: EntryFate::ExpiresAfter,
    };
    let CutResult { world, .. } = play(cut);
    assert_eq!(world.runs(), 1, "{:#?}", world.log);
    assert_eq!(world.answer("job-1"), Some(JobAnswer::Completed));
}
