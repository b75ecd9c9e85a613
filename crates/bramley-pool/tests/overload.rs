//! Load far above the capacity of the workers: what is served, what a refusal costs, and the share
//! of jobs that the pool asks relays to submit.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_core::names::DomainName;
use bramley_core::units::UnixTime;
use bramley_fleet::{TestJob, World};
use bramley_pool::job::RouteName;
use bramley_pool::message::{RelayId, RouteAdmission};
use bramley_pool::relay::JobAnswer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of workers of a failure domain of a grown deployment.
const WORKERS: usize = 117;

/// Jobs per second at the mean load of that many workers.
const MEAN_RATE: f64 = 281.0;

/// Interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// Latest published share of each route in thousandths.
type Shares = BTreeMap<RouteName, u32>;

/// A job sent in a test.
struct SentJob {
    name: String,
    route: &'static str,
    host: usize,
    /// Work in CPU milliseconds of one core.
    work: u64,
    sent_at: UnixTime,
    objective: Duration,
}

/// A pool and the callers' jobs that are offered to it.
struct OverloadTest {
    world: World,
    rng: ChaCha8Rng,
    sent: Vec<SentJob>,
    /// Whether the relays submit only the published share.
    obeys_shares: bool,
    shares: Shares,
    /// Jobs counted for the share, by route.
    counters: BTreeMap<&'static str, u32>,
    heartbeat_at: UnixTime,
}

impl OverloadTest {
    /// Creates a pool of workers with 16 and 24 cores and three relays, the last of which has few
    /// callers.
    fn new() -> Self {
        let mut world = World::new(3, WORKERS);
        for (index, worker) in world.workers.iter_mut().enumerate() {
            worker.capacity_milli = [16_000, 24_000][index % 2];
        }
        world.become_leader(0);
        world.run_for(Duration::from_secs(1));
        for relay in 0..3 {
            let domain = DomainName::from(["east", "north", "west"][relay]);
            let pool = &mut world.hosts[0].pool;
            pool.relay_connected(RelayId(relay as u64), domain);
        }
        Self {
            heartbeat_at: world.now,
            world,
            rng: ChaCha8Rng::seed_from_u64(11),
            sent: Vec::new(),
            obeys_shares: false,
            shares: Shares::new(),
            counters: BTreeMap::new(),
        }
    }

    /// Offers jobs of the three routes of a grown deployment at a multiple of the mean load.
    fn offer(&mut self, factor: f64, span: Duration) {
        let end = self.world.now.after(span);
        while self.world.now < end {
            self.offer_job();
            let pause = self.rng.random_range(0.0..2.0) / (MEAN_RATE * factor);
            self.run_for(Duration::from_secs_f64(pause));
        }
    }

    fn offer_job(&mut self) {
        let (route, tasks, run_ms, priority) = match self.rng.random_range(0..100) {
            0..24 => (
                "holds",
                [4, 6, 8, 8, 8, 10, 12, 24][self.sent.len() % 8],
                60,
                0,
            ),
            24..95 => ("releases", self.rng.random_range(1..4), 200, 1),
            _ => ("allocations", self.rng.random_range(2..7), 900, 2),
        };
        let host = match self.rng.random_range(0..10) {
            0..6 => 0,
            6..9 => 1,
            _ => 2,
        };
        let run = Duration::from_millis(run_ms).mul_f64(self.rng.random_range(0.8..1.25));
        let job = TestJob {
            name: format!("job-{}", self.sent.len()),
            route,
            tasks,
            cpu_milli: self.rng.random_range(6_400..9_600),
            run,
            priority,
            ..TestJob::default()
        };
        let is_passed = !self.obeys_shares || self.passes(route);
        if is_passed {
            self.world.submit(host, &job);
        }
        self.sent.push(SentJob {
            name: job.name,
            route,
            host,
            work: run.as_millis() as u64 * u64::from(tasks * job.cpu_milli / 1_000),
            sent_at: self.world.now,
            objective: run.mul_f64(1.6) + Duration::from_millis(60),
        });
    }

    /// Passes the published share of a route's jobs, evenly spread.
    fn passes(&mut self, route: &'static str) -> bool {
        let share = self
            .shares
            .get(&RouteName::new(route))
            .copied()
            .unwrap_or(1_000);
        let counter = self.counters.entry(route).or_default();
        *counter += share;
        let is_passed = *counter >= 1_000;
        *counter %= 1_000;
        is_passed
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.world.now.after(span);
        while self.heartbeat_at <= end {
            self.world.run_for(self.heartbeat_at.since(self.world.now));
            self.heartbeat_at = self.heartbeat_at.after(HEARTBEAT);
            let admissions = self.published();
            self.shares = admissions
                .into_iter()
                .map(|admission| (admission.route, admission.pass_permille))
                .collect();
        }
        self.world.run_for(end.since(self.world.now));
    }

    fn published(&mut self) -> Vec<RouteAdmission> {
        let now = self.world.now;
        self.world.hosts[0].pool.route_admissions(now)
    }

    fn is_in_time(&self, job: &SentJob) -> bool {
        let answer = self.world.answers.get(&job.name);
        answer.is_some_and(|(answer, at)| {
            *answer == JobAnswer::Completed && at.since(job.sent_at) <= job.objective
        })
    }

    /// Returns the share of the jobs that were answered in time, of those for which `is_counted`.
    fn share_in_time(&self, is_counted: impl Fn(&SentJob) -> bool) -> f64 {
        let counted: Vec<&SentJob> = self.sent.iter().filter(|job| is_counted(job)).collect();
        let in_time = counted.iter().filter(|job| self.is_in_time(job)).count();
        in_time as f64 / counted.len().max(1) as f64
    }

    fn jobs_in_time(&self) -> usize {
        self.sent.iter().filter(|job| self.is_in_time(job)).count()
    }

    /// Returns the work from which a job of the route is among the given share of the largest.
    fn work_quantile(&self, route: &str, share: f64) -> u64 {
        let jobs = self.sent.iter().filter(|job| job.route == route);
        let mut works: Vec<u64> = jobs.map(|job| job.work).collect();
        works.sort_unstable();
        works[(works.len() as f64 * (1.0 - share)) as usize]
    }
}

const ROUTES: [&str; 3] = ["holds", "releases", "allocations"];

/// Runs a load and returns the test and the number of jobs in time per second.
fn loaded(factor: f64, span: Duration) -> (OverloadTest, f64) {
    let mut test = OverloadTest::new();
    test.obeys_shares = true;
    test.offer(factor, span);
    test.run_for(Duration::from_secs(2));
    let rate = test.jobs_in_time() as f64 / span.as_secs_f64();
    (test, rate)
}

/// At five times the load, a pool that evaluated each job against the whole queue served fewer jobs
/// than at twice the load, although its workers were as busy.
#[test]
fn goodput_at_ten_times_the_load_is_that_at_twice_the_load() {
    let (_, twice) = loaded(2.0, Duration::from_secs(20));
    let (_, tenfold) = loaded(10.0, Duration::from_secs(60));
    assert!(
        tenfold >= 0.95 * twice,
        "{tenfold} against {twice} per second"
    );
}

/// Guards against a route, a failure domain or jobs of a size that get nothing because others are
/// served better, and against leases that expire while much is offered.
#[test]
fn no_group_is_starved_at_ten_times_the_load() {
    let (mut test, _) = loaded(10.0, Duration::from_secs(60));
    // Jobs of one route, of one failure domain or with much work must not be starved.
    let share = test.share_in_time(|_| true);
    for host in 0..3 {
        let of_domain = test.share_in_time(|job| job.host == host);
        assert!(
            of_domain >= 0.5 * share,
            "{of_domain} of domain {host}, {share} of all"
        );
    }
    for route in ROUTES {
        let of_route = test.share_in_time(|job| job.route == route);
        assert!(of_route > 0.04, "{of_route} of {route}");
        let (large, upper) = (
            test.work_quantile(route, 0.1),
            test.work_quantile(route, 0.3),
        );
        let of_large = test.share_in_time(|job| job.route == route && job.work >= large);
        let of_upper =
            test.share_in_time(|job| job.route == route && job.work >= upper && job.work < large);
        assert!(
            of_large >= 0.5 * of_route && of_upper >= 0.5 * of_route,
            "{of_large} of the largest and {of_upper} of the next jobs of {route}, {of_route} of all"
        );
    }
    // Leases of running tasks must be renewed however much is offered.
    assert_eq!(test.world.hosts[0].pool.counts().runs_expired, 0);
    assert_eq!(test.world.overlaps(), Vec::<String>::new());
}

/// Relays that have not read the published shares yet offer everything. The pool must choose as well
/// by itself, for each domain and route, and a refusal must not cost a visit of all workers.
#[test]
fn a_refusal_costs_little_when_relays_offer_everything() {
    let mut test = OverloadTest::new();
    let before = test.world.hosts[0].pool.counts();
    test.offer(10.0, Duration::from_secs(5));
    let after = test.world.hosts[0].pool.counts();
    let refused = after.jobs_refused - before.jobs_refused;
    let visits = after.estimate_visits - before.estimate_visits;
    // A summary visits each worker and waiting job, up to some two hundred, and there are about ten
    // in a tick.
    assert!(refused > 15_000, "{refused} refused");
    assert!(
        visits < 10 * refused,
        "{visits} visits for {refused} refusals"
    );
    let share = test.share_in_time(|_| true);
    for host in 0..3 {
        let of_domain = test.share_in_time(|job| job.host == host);
        assert!(
            of_domain >= 0.5 * share,
            "{of_domain} of domain {host}, {share} of all"
        );
    }
    // Full lines are bounded; the others are counted.
    let lines = |event: &str| {
        let lines = test.world.log.iter();
        lines.filter(|line| line.contains(event)).count()
    };
    assert!(lines("event=job_refused ") <= 20 * 2 * 7, "too many lines");
    assert!(
        lines("event=jobs_refused ") >= 4,
        "refusals were not counted"
    );
}

/// The number of refusals in the log must be exact although most are not logged one by one.
#[test]
fn counted_and_logged_refusals_are_all_refusals() {
    let mut test = OverloadTest::new();
    test.offer(10.0, Duration::from_secs(2));
    test.run_for(Duration::from_secs(3));
    let mut refusals = 0;
    for line in &test.world.log {
        if line.contains("event=job_refused ") && line.contains(" wait_ms=") {
            refusals += 1;
        } else if line.contains("event=jobs_refused ") {
            let count = line
                .split("count=")
                .nth(1)
                .and_then(|rest| rest.split(' ').next());
            refusals += count
                .and_then(|count| count.parse::<u64>().ok())
                .unwrap_or(0);
        }
    }
    assert_eq!(refusals, test.world.hosts[0].pool.counts().jobs_refused);
}

/// After a burst, callers that are refused by their relays would not come back if the shares stayed
/// low, also those of a route of which nothing was offered meanwhile.
#[test]
fn shares_return_within_a_second_after_a_burst() {
    let mut test = OverloadTest::new();
    test.obeys_shares = true;
    test.offer(10.0, Duration::from_secs(5));
    assert!(
        test.shares.values().any(|share| *share < 500),
        "{:?}",
        test.shares
    );
    // The tasks in progress take up to a second.
    test.run_for(Duration::from_millis(1_200));
    test.run_for(Duration::from_secs(1));
    assert!(
        test.shares.values().all(|share| *share == 1_000),
        "{:?}",
        test.shares
    );
    let first = test.sent.len();
    test.offer(1.0, Duration::from_secs(5));
    test.run_for(Duration::from_secs(2));
    let later = test.sent.split_off(first);
    let in_time = later.iter().filter(|job| test.is_in_time(job)).count();
    assert!(
        in_time as f64 >= 0.98 * later.len() as f64,
        "{in_time} of {}",
        later.len()
    );
}

/// Shares below the full one at a load that the pool serves would refuse jobs for nothing.
#[test]
fn a_calm_pool_passes_everything() {
    let mut test = OverloadTest::new();
    for _ in 0..25 {
        test.offer(1.0, HEARTBEAT);
        assert!(
            test.shares.values().all(|share| *share == 1_000),
            "{:?}",
            test.shares
        );
    }
    let is_free = |admission: &RouteAdmission| admission.late_wait.is_some();
    assert!(test.published().iter().all(is_free));
}

/// A submission that was read after its slack had passed must be refused without an evaluation.
#[test]
fn a_job_without_slack_is_refused_without_an_evaluation() {
    let mut test = OverloadTest::new();
    test.offer(10.0, Duration::from_secs(1));
    // Jobs on their way arrive, and no tick comes between.
    let since_tick = test.world.now.as_millis() % 25;
    test.run_for(Duration::from_millis(30 - since_tick));
    let before = test.world.hosts[0].pool.counts();
    let job = TestJob {
        name: String::from("stale"),
        ..TestJob::default()
    };
    test.world.submit_aged(0, &job, Duration::from_millis(900));
    test.world.run_for(Duration::from_millis(2));
    let after = test.world.hosts[0].pool.counts();
    assert_eq!(after.estimate_visits, before.estimate_visits);
    assert!(after.jobs_refused > before.jobs_refused);
}
