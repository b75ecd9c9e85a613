//! Randomized simulation of hosts that stand still, several times in a row and at the same moment,
//! while their callers leave and send their jobs to other hosts, jobs are divided between failure
//! domains and leadership passes on.

use std::collections::BTreeMap;
use std::time::Duration;

use bramley_fleet::links::job_of;
use bramley_fleet::{TestJob, World};
use bramley_pool::relay::{JobAnswer, Relay};
use bramley_pool::settings::{PoolSettings, RelaySettings};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seeds that CI runs.
const SEEDS: std::ops::Range<u64> = 0..16;

/// Failure domains.
const DOMAINS: [&str; 3] = ["domain-1", "domain-2", "domain-3"];

/// Hosts of each domain; the first one leads first.
const HOSTS: usize = 3;

/// Workers of each domain.
const WORKERS: usize = 4;

/// Number of steps, each of about 60 ms on average.
const STEPS: usize = 200;

/// Time after which a client resends a job whose connection was closed.
const RESEND: Duration = Duration::from_millis(1_300);

/// Time after which another host leads the domain of a leader that stands still.
const TAKEOVER_MS: std::ops::Range<u64> = 1_500..1_900;

/// Search in which callers also send jobs to hosts that stand still.
const LATE_REQUESTS: SearchSettings = SearchSettings {
    calls_frozen_hosts: true,
    keeps_callers: false,
};

/// Result of the runs of some seeds.
#[derive(Debug, Default)]
struct FreezeTotals {
    jobs: usize,
    freezes: usize,
    left: usize,
    sent_late: usize,
    completed: usize,
    taken: u64,
    doubled: Vec<String>,
    /// Answers that came although a task had no whole run, and jobs that stay open.
    broken: Vec<String>,
}

/// Variation of the search.
#[derive(Clone, Copy, Debug, Default)]
struct SearchSettings {
    /// Whether callers also send jobs to hosts that stand still.
    calls_frozen_hosts: bool,
    /// Whether hosts read late requests as if they had been sent when they arrive.
    keeps_callers: bool,
}

struct FreezeRun {
    rng: ChaCha8Rng,
    world: World,
    jobs: Vec<TestJob>,
    freezes: usize,
    left: usize,
    /// Jobs that were sent to a host that stood still.
    sent_late: usize,
    search: SearchSettings,
}

impl FreezeRun {
    fn new(seed: u64, settings: &RelaySettings, search: SearchSettings) -> Self {
        let mut world = World::with_domains(&DOMAINS, HOSTS, WORKERS, &PoolSettings::default());
        for host in &mut world.hosts {
            host.relay = Relay::new(settings.clone(), host.domain.clone());
        }
        for domain in 0..DOMAINS.len() {
            world.become_leader(domain * HOSTS);
        }
        world.run_for(Duration::from_millis(50));
        world.use_links(!seed);
        if let Some(links) = &mut world.links {
            links.resends_unknown = true;
            links.keeps_callers = search.keeps_callers;
        }
        world.run_for(Duration::from_millis(2_000));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            world,
            jobs: Vec::new(),
            freezes: 0,
            left: 0,
            sent_late: 0,
            search,
        }
    }

    fn step(&mut self) {
        for _ in 0..self.rng.random_range(0..4) {
            self.submit();
        }
        if self.rng.random_bool(0.12) {
            self.freeze();
        }
        let pause = self.rng.random_range(1..120);
        self.world.run_for(Duration::from_millis(pause));
    }

    fn freeze(&mut self) {
        let host = self.rng.random_range(0..DOMAINS.len() * HOSTS);
        if self.world.is_frozen(host) {
            return;
        }
        self.freezes += 1;
        let span_ms = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(310..700),
            1 => self.rng.random_range(700..1_500),
            _ => self.rng.random_range(1_500..5_000),
        };
        self.world.freeze_host(host, Duration::from_millis(span_ms));
        let domain = self.world.hosts[host].domain.clone();
        let takeover_ms = self.rng.random_range(TAKEOVER_MS);
        if span_ms > takeover_ms && self.world.leaders.get(&domain) == Some(&host) {
            let hosts = 0..DOMAINS.len() * HOSTS;
            let others = hosts.filter(|other| {
                *other != host
                    && self.world.hosts[*other].domain == domain
                    && !self.world.is_frozen(*other)
            });
            let others: Vec<usize> = others.collect();
            if let Some(next) = others.choose(&mut self.rng) {
                let after = Duration::from_millis(takeover_ms);
                self.world.become_leader_after(after, *next);
            }
        }
    }

    fn submit(&mut self) {
        let hosts = 0..DOMAINS.len() * HOSTS;
        let calls_frozen_hosts = self.search.calls_frozen_hosts;
        let hosts = hosts.filter(|host| calls_frozen_hosts || !self.world.is_frozen(*host));
        let hosts: Vec<usize> = hosts.collect();
        // Most callers use one domain, so that tasks wait there and other pools take them over.
        let near: Vec<usize> = hosts.iter().copied().filter(|host| *host < HOSTS).collect();
        let some = match near.is_empty() || self.rng.random_bool(0.3) {
            true => &hosts,
            false => &near,
        };
        let Some(host) = some.choose(&mut self.rng).copied() else {
            return;
        };
        let run_ms = if self.rng.random_bool(0.25) {
            self.rng.random_range(1_000..5_000)
        } else {
            self.rng.random_range(40..900)
        };
        let job = TestJob {
            name: format!("job-{}", self.jobs.len()),
            tasks: self.rng.random_range(1..5),
            run: Duration::from_millis(run_ms),
            cpu_milli: self.rng.random_range(6_000..16_000),
            ..TestJob::default()
        };
        self.jobs.push(job.clone());
        self.sent_late += usize::from(self.world.is_frozen(host));
        let patience_ms = self.rng.random_range(50..4_000);
        let leaves_after = self
            .rng
            .random_bool(0.5)
            .then(|| Duration::from_millis(patience_ms));
        let caller = self.world.call_host(host, &job, leaves_after);
        let Some(leaves_after) = leaves_after else {
            return;
        };
        self.left += 1;
        let next = self.rng.random_range(0..DOMAINS.len() * HOSTS);
        self.world
            .resend_after(leaves_after + RESEND, caller, next, &job);
    }

    fn add_to(mut self, totals: &mut FreezeTotals, seed: u64) {
        self.world.run_for(Duration::from_secs(30));
        totals.jobs += self.jobs.len();
        totals.freezes += self.freezes;
        totals.left += self.left;
        totals.sent_late += self.sent_late;
        let mut longest: BTreeMap<String, Duration> = BTreeMap::new();
        for worker in &self.world.workers {
            for (task, from, to) in worker.history(self.world.now) {
                let span = longest.entry(task).or_default();
                *span = to.since(from).max(*span);
            }
        }
        for job in &self.jobs {
            let is_whole = (0..job.tasks).all(|index| {
                let task = format!("{}.0.0.{index}", job.name);
                longest.get(&task).is_some_and(|span| *span >= job.run)
            });
            if self.world.answer(&job.name) == Some(JobAnswer::Completed) {
                totals.completed += 1;
                if !is_whole {
                    totals.broken.push(format!("seed {seed}: {}", job.name));
                }
            }
        }
        for (host, number) in self.world.hosts.iter().zip(0..) {
            totals.taken += host.pool.counts().tasks_taken;
            let open = host.relay.open_jobs();
            if open > 0 {
                let line = format!("seed {seed}: {open} jobs stay open at host {number}");
                totals.broken.push(line);
            }
        }
        for task in self.world.overlaps() {
            let spans = self.spans_of(&task);
            let job = job_of(&task);
            let lines = self.world.log.iter();
            let lines = lines.filter(|line| {
                line.contains(&format!("job={job} ")) || line.contains("event=frozen")
            });
            let lines: Vec<&String> = lines.collect();
            totals
                .doubled
                .push(format!("seed {seed}: {task} {spans:?} {lines:#?}"));
        }
    }

    /// Returns the workers and spans of the runs of a task, in milliseconds.
    fn spans_of(&self, task: &str) -> Vec<(String, u64, u64)> {
        let mut spans = Vec::new();
        for worker in &self.world.workers {
            for (name, from, to) in worker.history(self.world.now) {
                if name == task {
                    let worker = format!("{} {}", worker.domain, worker.name);
                    spans.push((worker, from.as_millis(), to.as_millis()));
                }
            }
        }
        spans
    }
}

fn run_seeds(
    seeds: std::ops::Range<u64>,
    settings: &RelaySettings,
    search: SearchSettings,
) -> FreezeTotals {
    let mut totals = FreezeTotals::default();
    for seed in seeds {
        let mut run = FreezeRun::new(seed, settings, search);
        for _ in 0..STEPS {
            run.step();
        }
        run.add_to(&mut totals, seed);
    }
    println!(
        "jobs={} freezes={} left={} sent_late={} completed={} taken={} doubled={} broken={}",
        totals.jobs,
        totals.freezes,
        totals.left,
        totals.sent_late,
        totals.completed,
        totals.taken,
        totals.doubled.len(),
        totals.broken.len(),
    );
    totals
}

/// Guards against a job that a host which stood still starts again beside the run of its second
/// submission, and against an answer that lacks a task because messages that waited meanwhile lost their
/// order.
#[test]
fn hosts_that_stood_still_double_no_task_and_answer_no_part() {
    let totals = run_seeds(SEEDS, &RelaySettings::default(), SearchSettings::default());
    assert!(totals.doubled.is_empty(), "{:#?}", totals.doubled);
    assert!(totals.broken.is_empty(), "{:#?}", totals.broken);
    assert!(totals.left > 0 && totals.taken > 100, "{totals:?}");
}

/// Shows that the search finds doubled runs if callers of a host that stood still count as present.
#[test]
fn the_search_finds_jobs_that_are_submitted_for_callers_that_have_left() {
    let settings = RelaySettings {
        caller_resend_delay: Duration::from_secs(3_600),
        ..RelaySettings::default()
    };
    let totals = run_seeds(SEEDS, &settings, SearchSettings::default());
    assert!(!totals.doubled.is_empty());
}

/// Run with `cargo test --release -p bramley-pool --test frozen_hosts -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn hosts_that_stood_still_double_no_task_and_answer_no_part_in_many_seeds() {
    for search in [SearchSettings::default(), LATE_REQUESTS] {
        let totals = run_seeds(SEEDS.end..600, &RelaySettings::default(), search);
        assert!(totals.doubled.is_empty(), "{:#?}", totals.doubled);
        assert!(totals.broken.is_empty(), "{:#?}", totals.broken);
    }
}

/// Guards against a job that is started beside the run of its second submission: its request was sent to
/// a host that stood still, and arrives when its caller has left.
#[test]
fn requests_that_were_sent_to_hosts_that_stood_still_double_no_task() {
    let totals = run_seeds(SEEDS, &RelaySettings::default(), LATE_REQUESTS);
    assert!(totals.doubled.is_empty(), "{:#?}", totals.doubled);
    assert!(totals.broken.is_empty(), "{:#?}", totals.broken);
    assert!(totals.sent_late > 100, "{totals:?}");
}

/// Shows that the search finds doubled runs if hosts read late requests like new ones.
#[test]
fn the_search_finds_requests_that_arrive_late() {
    let search = SearchSettings {
        keeps_callers: true,
        ..LATE_REQUESTS
    };
    let totals = run_seeds(SEEDS, &RelaySettings::default(), search);
    assert!(!totals.doubled.is_empty());
}

/// Guards against runs that outlast the pause of their callers because the lease was renewed for a relay
/// that had been silent for long, and the leader, which stood still soon after, could not stop them.
#[test]
fn leases_end_in_time_where_a_leader_stands_still_after_a_host_of_callers() {
    let mut late = Vec::new();
    for freeze_ms in (400..600).step_by(20) {
        for delay_ms in (0..=1_000).step_by(50) {
            if outlasts_pause(freeze_ms, delay_ms) {
                late.push((freeze_ms, delay_ms));
            }
        }
    }
    assert!(late.is_empty(), "{} of 210: {late:?}", late.len());
}

/// Lets a host of a caller stand still some time after its job was sent, and its leader later, and
/// returns whether the job still runs when the caller, who has left at once, may send it elsewhere.
fn outlasts_pause(freeze_ms: u64, delay_ms: u64) -> bool {
    let domains = &DOMAINS[..1];
    let mut world = World::with_domains(domains, HOSTS, WORKERS, &PoolSettings::default());
    world.become_leader(0);
    world.run_for(Duration::from_millis(50));
    world.use_links(1);
    world.run_for(Duration::from_millis(2_000));
    let job = TestJob {
        run: Duration::from_secs(6),
        ..TestJob::default()
    };
    let leaves_after = Duration::from_millis(freeze_ms + 1);
    world.call_host(2, &job, Some(leaves_after));
    world.run_for(Duration::from_millis(freeze_ms));
    world.freeze_host(2, Duration::from_secs(6));
    let delay = Duration::from_millis(delay_ms);
    world.run_for(delay);
    world.freeze_host(0, Duration::from_secs(4));
    world.run_for(RESEND.saturating_sub(delay));
    let now = world.now;
    world.workers.iter_mut().any(|worker| {
        worker.advance(now);
        worker.running() > 0
    })
}
