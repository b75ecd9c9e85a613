//! Tests of the failure domains that a team may use.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::configuration::DeploymentConfiguration;
use bramley_core::errors::ErrorKind;
use bramley_core::invariants::InvariantKind;
use bramley_core::job::{JobAnswer, JobSpec, ReplyToken};
use bramley_core::kernel::action::{KernelAction, TaskStart};
use bramley_core::kernel::event::{
    AttemptEnd, JobSubmission, KernelEvent, LoanReply, LoanRequest, NamedSlot, PeerView,
};
use bramley_core::kernel::settings::{KernelFaults, KernelSettings};
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName, TeamName, WorkerName};
use bramley_core::units::{TicketSerial, UnixTime};
use bramley_core::worker::WorkerProfile;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::{configuration_of, job, worker};

const START: UnixTime = UnixTime::from_millis(1_000_000);
const LIFE: Duration = Duration::from_secs(600);
const FREE: &str = "free";
const BOUND: &str = "bound";
const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// Makes a configuration in which `BOUND` may use the named domains only.
fn bound_to(domains: &[&str]) -> Arc<DeploymentConfiguration> {
    let mut configuration = configuration_of(&[(FREE, 1_000), (BOUND, 1_000)]);
    let document = Arc::make_mut(&mut configuration);
    document.teams[1].failure_domains =
        domains.iter().map(|name| DomainName::from(*name)).collect();
    configuration
}

fn peer(host: &str, domain: &str, idle_slots: u32) -> PeerView {
    PeerView {
        host: HostName::from(host),
        domain: DomainName::from(domain),
        shares_slots: true,
        reachable: true,
        idle_slots,
        idle_accelerator_slots: 0,
    }
}

/// A kernel in the domain `north`.
struct PlaceBench {
    kernel: DispatchKernel,
    now: UnixTime,
    last_serial: u64,
    actions: Vec<KernelAction>,
}

impl PlaceBench {
    fn new(configuration: Arc<DeploymentConfiguration>, workers: Vec<WorkerProfile>) -> Self {
        Self::with(KernelSettings::default(), configuration, workers)
    }

    fn with(
        settings: KernelSettings,
        configuration: Arc<DeploymentConfiguration>,
        workers: Vec<WorkerProfile>,
    ) -> Self {
        let identity = KernelIdentity {
            host: HostName::from("entry-north"),
            domain: DomainName::from("north"),
            seed: 1,
        };
        let mut bench = Self {
            kernel: DispatchKernel::new(identity, settings),
            now: START,
            last_serial: 0,
            actions: Vec::new(),
        };
        bench.handle(KernelEvent::Configured(configuration));
        bench.handle(KernelEvent::WorkersListed(workers));
        bench
    }

    fn handle(&mut self, event: KernelEvent) {
        self.kernel.handle(event, self.now, &mut self.actions);
    }

    fn spec(&self, team: &str, tasks: usize) -> JobSpec {
        let mut spec = job(&vec!["x"; tasks], self.now.after(LIFE), false);
        spec.team = TeamName::from(team);
        spec
    }

    fn submit(&mut self, spec: JobSpec) {
        self.last_serial += 1;
        let digest = spec.digest();
        self.handle(KernelEvent::Submitted(JobSubmission {
            serial: TicketSerial(self.last_serial),
            expiry: self.now.after(LIFE),
            spec,
            digest,
            token: ReplyToken(self.last_serial),
        }));
    }

    /// Lets the kernel act on idle slots and waits for a while, in small steps.
    fn wait(&mut self, wait: Duration) {
        let until = self.now.after(wait);
        while self.now < until {
            self.now = self.now.after(Duration::from_millis(50));
            self.handle(KernelEvent::Ticked);
        }
    }

    fn starts(&mut self) -> Vec<TaskStart> {
        let mut starts = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            if let KernelAction::Start(start) = action {
                starts.push(*start);
            }
        }
        starts
    }

    /// Returns the workers that got tasks, by team.
    fn placed(&mut self) -> Vec<(String, String)> {
        let pair = |start: TaskStart| (start.team.to_string(), start.worker.to_string());
        self.starts().into_iter().map(pair).collect()
    }

    fn lenders_asked(&mut self) -> Vec<String> {
        let mut lenders = Vec::new();
        for action in &self.actions {
            if let KernelAction::AskLoan { lender, .. } = action {
                lenders.push(lender.to_string());
            }
        }
        lenders
    }

    fn finish(&mut self, start: &TaskStart) {
        self.handle(KernelEvent::AttemptEnded {
            attempt: start.attempt,
            end: AttemptEnd::Finished(Arc::from("done")),
        });
    }

    fn lend(&mut self, lender: &str, worker: &str, slot: u32) {
        self.handle(KernelEvent::LoanAnswered(LoanReply {
            lender: HostName::from(lender),
            slots: vec![NamedSlot {
                worker: WorkerName::from(worker),
                slot,
            }],
            until: self.now.after(Duration::from_secs(2)),
        }));
    }

    fn refusals(&mut self) -> Vec<ErrorKind> {
        let mut kinds = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            if let KernelAction::Reply { answer, .. } = action
                && let JobAnswer::Failed(failure) = &*answer
            {
                kinds.push(failure.error.kind);
            }
        }
        kinds
    }
}

fn two_domains() -> Vec<WorkerProfile> {
    vec![worker("n-1", "north", 4), worker("s-1", "south", 4)]
}

fn pair(team: &str, worker: &str) -> (String, String) {
    (team.to_owned(), worker.to_owned())
}

#[test]
fn restricted_team_starts_nowhere_else_and_blocks_no_other_team() {
    let mut bench = PlaceBench::new(bound_to(&["south"]), two_domains());
    bench.submit(bench.spec(BOUND, 8));
    bench.submit(bench.spec(FREE, 2));
    bench.wait(Duration::from_secs(1));
    let expected = vec![pair(FREE, "n-1"), pair(FREE, "n-1")];
    assert_eq!(bench.placed(), expected);
    assert_eq!(bench.kernel.waiting_tasks(), 8);
    bench.lend("entry-south", "s-1", 2);
    assert_eq!(bench.placed(), vec![pair(BOUND, "s-1")]);
    assert_eq!(bench.kernel.monitor().violations(), 0);
}

#[test]
fn slots_are_borrowed_for_a_restricted_team_though_own_slots_are_idle() {
    let mut bench = PlaceBench::new(bound_to(&["south"]), two_domains());
    bench.handle(KernelEvent::PeersChanged(vec![
        peer("entry-more", "north", 50),
        peer("entry-south", "south", 1),
    ]));
    bench.submit(bench.spec(BOUND, 2));
    bench.wait(Duration::from_secs(1));
    assert_eq!(bench.lenders_asked(), vec!["entry-south".to_owned()]);
    assert!(bench.placed().is_empty());
}

#[test]
fn largest_reports_of_peers_are_added_without_overflow() {
    let mut workers = two_domains();
    workers[1].accelerators = 2;
    let mut bench = PlaceBench::new(bound_to(&["south"]), workers);
    let mut vast = peer("entry-south", "south", u32::MAX);
    vast.idle_accelerator_slots = u32::MAX;
    bench.handle(KernelEvent::PeersChanged(vec![vast]));
    let mut both = bench.spec(FREE, 10);
    both.tasks[9].accelerators = 1;
    bench.submit(both);
    // Less than the wait for an answer, after which the host may be asked again.
    bench.wait(Duration::from_millis(700));
    assert_eq!(bench.lenders_asked(), vec!["entry-south".to_owned()]);
}

#[test]
fn start_outside_the_place_is_caught_by_the_monitor() {
    let settings = KernelSettings {
        faults: KernelFaults {
            ignore_places: true,
            ..KernelFaults::default()
        },
        ..KernelSettings::default()
    };
    let mut bench = PlaceBench::with(settings, bound_to(&["south"]), two_domains());
    bench.submit(bench.spec(BOUND, 1));
    let violations = bench
        .kernel
        .monitor()
        .violations_of(InvariantKind::NoStartOutsidePlace);
    assert_eq!(violations, 1);
}

#[test]
fn idle_slots_are_lent_while_tasks_wait_that_cannot_use_them() {
    let mut bench = PlaceBench::new(bound_to(&["south"]), two_domains());
    bench.submit(bench.spec(BOUND, 2));
    bench.handle(KernelEvent::LoanAsked(LoanRequest {
        borrower: HostName::from("entry-west"),
        plain: 4,
        accelerated: 0,
        token: ReplyToken(9),
    }));
    let lent: usize = bench
        .actions
        .iter()
        .map(|action| match action {
            KernelAction::GrantLoan { slots, .. } => slots.len(),
            _ => 0,
        })
        .sum();
    assert_eq!(lent, 2, "half of the idle slots");
}

#[test]
fn job_is_refused_if_no_worker_of_its_domains_is_large_enough() {
    let mut workers = two_domains();
    workers[1].memory_mib = 1_024;
    let mut bench = PlaceBench::new(bound_to(&["south"]), workers);
    let mut large = bench.spec(BOUND, 1);
    large.tasks[0].memory_mib = 2_048;
    bench.submit(large);
    assert_eq!(bench.refusals(), vec![ErrorKind::NeverRunnable]);
    bench.handle(KernelEvent::Configured(bound_to(&["west"])));
    bench.submit(bench.spec(BOUND, 1));
    assert_eq!(bench.refusals(), vec![ErrorKind::NeverRunnable]);
    bench.submit(bench.spec(FREE, 1));
    assert_eq!(bench.placed(), vec![pair(FREE, "n-1")]);
}

#[test]
fn plain_job_is_refused_if_every_slot_carries_an_accelerator() {
    let mut workers = two_domains();
    workers[0].accelerators = 4;
    workers[1].accelerators = 4;
    let mut bench = PlaceBench::new(bound_to(&[]), workers.clone());
    bench.submit(bench.spec(FREE, 1));
    assert_eq!(bench.refusals(), vec![ErrorKind::NeverRunnable]);
    workers[0].accelerators = 3;
    bench.handle(KernelEvent::WorkersListed(workers));
    bench.submit(bench.spec(FREE, 1));
    assert_eq!(bench.placed(), vec![pair(FREE, "n-1")]);
}

#[test]
fn waiting_tasks_follow_a_change_of_their_team() {
    let mut bench = PlaceBench::new(bound_to(&["south"]), two_domains());
    bench.submit(bench.spec(BOUND, 2));
    assert!(bench.placed().is_empty());
    bench.handle(KernelEvent::Configured(bound_to(&["north", "south"])));
    assert_eq!(bench.placed().len(), 2);
    bench.submit(bench.spec(FREE, 2));
    bench.submit(bench.spec(BOUND, 3));
    let starts = bench.starts();
    assert_eq!(starts.len(), 2);
    bench.handle(KernelEvent::Configured(bound_to(&["south"])));
    bench.finish(&starts[0]);
    assert!(bench.placed().is_empty());
    assert_eq!(bench.kernel.waiting_tasks(), 3);
}

#[test]
fn places_that_overlap_take_turns() {
    for domains in [vec!["north"], vec![]] {
        let workers = vec![worker("n-1", "north", 1)];
        let mut bench = PlaceBench::new(bound_to(&domains), workers);
        bench.submit(bench.spec(BOUND, 40));
        bench.submit(bench.spec(FREE, 40));
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..40 {
            let start = bench.starts().pop().expect("a task starts");
            *counts.entry(start.team.to_string()).or_default() += 1;
            bench.now = bench.now.after(Duration::from_millis(50));
            bench.finish(&start);
        }
        let free = counts.get(FREE).copied().unwrap_or_default();
        assert!((18..=22).contains(&free), "{domains:?}: {counts:?}");
    }
}

/// Runs a kernel through random events and checks every start against the document in force.
struct PlaceRun {
    bench: PlaceBench,
    rng: ChaCha8Rng,
    document: Arc<DeploymentConfiguration>,
    under_way: Vec<TaskStart>,
    starts: BTreeMap<(String, String), u32>,
}

impl PlaceRun {
    fn new(seed: u64) -> Self {
        let mut workers = Vec::new();
        for (index, domain) in DOMAINS.iter().cycle().take(9).enumerate() {
            workers.push(worker(&format!("{domain}-{index}"), domain, 4));
        }
        let document = bound_to(&["south"]);
        Self {
            bench: PlaceBench::new(Arc::clone(&document), workers),
            rng: ChaCha8Rng::seed_from_u64(seed),
            document,
            under_way: Vec::new(),
            starts: BTreeMap::new(),
        }
    }

    fn step(&mut self) {
        let wait = Duration::from_millis(self.rng.random_range(0..40));
        self.bench.now = self.bench.now.after(wait);
        match self.rng.random_range(0..100) {
            0..35 => self.submit(),
            35..70 => self.end_attempt(),
            70..90 => self.lend(),
            90..94 => self.reconfigure(),
            94..96 => self.change_peers(),
            _ => self.bench.handle(KernelEvent::Ticked),
        }
        self.check_starts();
    }

    fn submit(&mut self) {
        let team = if self.rng.random_bool(0.5) {
            BOUND
        } else {
            FREE
        };
        let tasks = self.rng.random_range(1..6);
        let mut spec = self.bench.spec(team, tasks);
        spec.tasks[0].memory_mib = self.rng.random_range(0..4) * 1_024;
        self.bench.submit(spec);
    }

    fn end_attempt(&mut self) {
        if self.under_way.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.under_way.len());
        let start = self.under_way.swap_remove(position);
        if self.rng.random_bool(0.1) {
            self.bench.handle(KernelEvent::AttemptEnded {
                attempt: start.attempt,
                end: AttemptEnd::NotStarted {
                    proof: bramley_core::task::NotStartedProof::RefusedByWorker,
                    leaving: false,
                },
            });
        } else {
            self.bench.finish(&start);
        }
    }

    fn lend(&mut self) {
        let index = self.rng.random_range(0..9_usize);
        let domain = DOMAINS[index % DOMAINS.len()];
        let slot = self.rng.random_range(0..4);
        let lender = format!("entry-{domain}-2");
        self.bench.lend(&lender, &format!("{domain}-{index}"), slot);
    }

    fn reconfigure(&mut self) {
        let mut domains = Vec::new();
        for domain in DOMAINS {
            if self.rng.random_bool(0.4) {
                domains.push(domain);
            }
        }
        self.document = bound_to(&domains);
        let event = KernelEvent::Configured(Arc::clone(&self.document));
        self.bench.handle(event);
    }

    fn change_peers(&mut self) {
        let mut peers = Vec::new();
        for domain in DOMAINS {
            let idle = self.rng.random_range(0..20);
            peers.push(peer(&format!("entry-{domain}-2"), domain, idle));
        }
        self.bench.handle(KernelEvent::PeersChanged(peers));
    }

    fn check_starts(&mut self) {
        for start in self.bench.starts() {
            let mut teams = self.document.teams.iter();
            let team = teams.find(|team| team.name == start.team);
            let allowed = &team.expect("the team is declared").failure_domains;
            let name = start.worker.as_str();
            let domain = name.split('-').next().unwrap_or_default();
            let holds =
                allowed.is_empty() || allowed.iter().any(|allowed| allowed.as_str() == domain);
            assert!(holds, "{} on {name}, allowed {allowed:?}", start.team);
            let key = (start.team.to_string(), domain.to_owned());
            *self.starts.entry(key).or_default() += 1;
            self.under_way.push(start);
        }
    }
}

#[test]
fn random_events_start_no_task_outside_its_place() {
    for seed in 0..20 {
        let mut run = PlaceRun::new(seed);
        for _ in 0..3_000 {
            run.step();
        }
        let monitor = run.bench.kernel.monitor();
        assert_eq!(monitor.first_violation(), None, "seed {seed}");
        for team in [BOUND, FREE] {
            for domain in DOMAINS {
                let key = (team.to_owned(), domain.to_owned());
                assert!(run.starts.contains_key(&key), "seed {seed}: no {key:?}");
            }
        }
    }
}
