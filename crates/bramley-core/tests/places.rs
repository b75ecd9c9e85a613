//! Tests of places: the sets of failure domains in which the tasks of a team may run.

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
    AttemptResult, JobSubmission, KernelEvent, LoanReply, LoanRequest, NamedSlot, PeerView,
};
use bramley_core::kernel::settings::{KernelFaults, KernelSettings};
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName, TeamName, WorkerName};
use bramley_core::units::{TicketSerial, UnixTime};
use bramley_core::worker::WorkerProfile;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::{configuration_with_quotas, job, live_worker};

const START: UnixTime = UnixTime::from_millis(1_000_000);
const TICKET_LIFETIME: Duration = Duration::from_secs(600);
const UNRESTRICTED: &str = "free";
const RESTRICTED: &str = "bound";
const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// Returns a configuration in which the team `RESTRICTED` may use the given domains only.
fn restricted_to(domains: &[&str]) -> Arc<DeploymentConfiguration> {
    let mut configuration =
        configuration_with_quotas(&[(UNRESTRICTED, 1_000), (RESTRICTED, 1_000)]);
    let document = Arc::make_mut(&mut configuration);
    document.teams[1].failure_domains =
        domains.iter().map(|name| DomainName::from(*name)).collect();
    configuration
}

fn peer(host: &str, domain: &str, idle_slots: u32) -> PeerView {
    PeerView {
        host: HostName::from(host),
        domain: DomainName::from(domain),
        owns_slots: true,
        reachable: true,
        idle_slots,
        idle_accelerator_slots: 0,
    }
}

/// A kernel in the domain `north`, together with its clock and the actions it returned.
struct KernelFixture {
    kernel: DispatchKernel,
    now: UnixTime,
    last_serial: u64,
    actions: Vec<KernelAction>,
}

impl KernelFixture {
    fn new(configuration: Arc<DeploymentConfiguration>, workers: Vec<WorkerProfile>) -> Self {
        Self::with_settings(KernelSettings::default(), configuration, workers)
    }

    fn with_settings(
        settings: KernelSettings,
        configuration: Arc<DeploymentConfiguration>,
        workers: Vec<WorkerProfile>,
    ) -> Self {
        let identity = KernelIdentity {
            host: HostName::from("entry-north"),
            domain: DomainName::from("north"),
            seed: 1,
        };
        let mut fixture = Self {
            kernel: DispatchKernel::new(identity, settings),
            now: START,
            last_serial: 0,
            actions: Vec::new(),
        };
        fixture.handle(KernelEvent::ConfigurationChanged(configuration));
        fixture.handle(KernelEvent::WorkersListed(workers));
        fixture
    }

    fn handle(&mut self, event: KernelEvent) {
        self.kernel.handle(event, self.now, &mut self.actions);
    }

    fn spec(&self, team: &str, tasks: usize) -> JobSpec {
        let mut spec = job(&vec!["x"; tasks], self.now.after(TICKET_LIFETIME), false);
        spec.team = TeamName::from(team);
        spec
    }

    fn submit(&mut self, spec: JobSpec) {
        self.last_serial += 1;
        let digest = spec.digest();
        self.handle(KernelEvent::Submitted(JobSubmission {
            serial: TicketSerial(self.last_serial),
            expiry: self.now.after(TICKET_LIFETIME),
            spec,
            digest,
            token: ReplyToken(self.last_serial),
        }));
    }

    /// Advances the clock in steps of 50 ms, sending a tick at each.
    fn wait(&mut self, wait: Duration) {
        let until = self.now.after(wait);
        while self.now < until {
            self.now = self.now.after(Duration::from_millis(50));
            self.handle(KernelEvent::Tick);
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

    /// Removes all actions and returns the team and worker of each start.
    fn placements(&mut self) -> Vec<(String, String)> {
        let placement = |start: TaskStart| (start.team.to_string(), start.worker.to_string());
        self.starts().into_iter().map(placement).collect()
    }

    fn requested_lenders(&mut self) -> Vec<String> {
        let mut lenders = Vec::new();
        for action in &self.actions {
            if let KernelAction::RequestLoan { lender, .. } = action {
                lenders.push(lender.to_string());
            }
        }
        lenders
    }

    fn finish(&mut self, start: &TaskStart) {
        self.handle(KernelEvent::AttemptEnded {
            attempt: start.attempt,
            result: AttemptResult::Finished(Arc::from("done")),
        });
    }

    fn grant_loan(&mut self, lender: &str, worker: &str, slot: u32) {
        self.handle(KernelEvent::LoanReplied(LoanReply {
            lender: HostName::from(lender),
            slots: vec![NamedSlot {
                worker: WorkerName::from(worker),
                slot,
            }],
            until: self.now.after(Duration::from_secs(2)),
        }));
    }

    fn refusal_kinds(&mut self) -> Vec<ErrorKind> {
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
    vec![
        live_worker("n-1", "north", 4),
        live_worker("s-1", "south", 4),
    ]
}

fn placement(team: &str, worker: &str) -> (String, String) {
    (team.to_owned(), worker.to_owned())
}

#[test]
fn restricted_team_starts_nowhere_else_and_blocks_no_other_team() {
    let mut fixture = KernelFixture::new(restricted_to(&["south"]), two_domains());
    fixture.submit(fixture.spec(RESTRICTED, 8));
    fixture.submit(fixture.spec(UNRESTRICTED, 2));
    fixture.wait(Duration::from_secs(1));
    let expected = vec![
        placement(UNRESTRICTED, "n-1"),
        placement(UNRESTRICTED, "n-1"),
    ];
    assert_eq!(fixture.placements(), expected);
    assert_eq!(fixture.kernel.waiting_tasks(), 8);
    fixture.grant_loan("entry-south", "s-1", 2);
    assert_eq!(fixture.placements(), vec![placement(RESTRICTED, "s-1")]);
    assert_eq!(fixture.kernel.monitor().violations(), 0);
}

#[test]
fn slots_are_borrowed_for_a_restricted_team_though_own_slots_are_idle() {
    let mut fixture = KernelFixture::new(restricted_to(&["south"]), two_domains());
    fixture.handle(KernelEvent::PeersChanged(vec![
        peer("entry-more", "north", 50),
        peer("entry-south", "south", 1),
    ]));
    fixture.submit(fixture.spec(RESTRICTED, 2));
    fixture.wait(Duration::from_secs(1));
    assert_eq!(fixture.requested_lenders(), vec!["entry-south".to_owned()]);
    assert!(fixture.placements().is_empty());
}

#[test]
fn largest_reports_of_peers_are_added_without_overflow() {
    let mut workers = two_domains();
    workers[1].accelerators = 2;
    let mut fixture = KernelFixture::new(restricted_to(&["south"]), workers);
    let mut peer_with_max_idle = peer("entry-south", "south", u32::MAX);
    peer_with_max_idle.idle_accelerator_slots = u32::MAX;
    fixture.handle(KernelEvent::PeersChanged(vec![peer_with_max_idle]));
    let mut mixed_job = fixture.spec(UNRESTRICTED, 10);
    mixed_job.tasks[9].accelerators = 1;
    fixture.submit(mixed_job);
    // Shorter than the timeout after which the same host may be asked again.
    fixture.wait(Duration::from_millis(700));
    assert_eq!(fixture.requested_lenders(), vec!["entry-south".to_owned()]);
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
    let mut fixture =
        KernelFixture::with_settings(settings, restricted_to(&["south"]), two_domains());
    fixture.submit(fixture.spec(RESTRICTED, 1));
    let violations = fixture
        .kernel
        .monitor()
        .violations_of(InvariantKind::NoStartOutsidePlace);
    assert_eq!(violations, 1);
}

#[test]
fn idle_slots_are_lent_while_tasks_wait_that_cannot_use_them() {
    let mut fixture = KernelFixture::new(restricted_to(&["south"]), two_domains());
    fixture.submit(fixture.spec(RESTRICTED, 2));
    fixture.handle(KernelEvent::LoanRequested(LoanRequest {
        borrower: HostName::from("entry-west"),
        plain: 4,
        accelerated: 0,
        token: ReplyToken(9),
    }));
    let lent_slots: usize = fixture
        .actions
        .iter()
        .map(|action| match action {
            KernelAction::GrantLoan { slots, .. } => slots.len(),
            _ => 0,
        })
        .sum();
    assert_eq!(lent_slots, 2, "half of the idle slots");
}

#[test]
fn job_is_refused_if_no_worker_of_its_domains_is_large_enough() {
    let mut workers = two_domains();
    workers[1].memory_mib = 1_024;
    let mut fixture = KernelFixture::new(restricted_to(&["south"]), workers);
    let mut large = fixture.spec(RESTRICTED, 1);
    large.tasks[0].memory_mib = 2_048;
    fixture.submit(large);
    assert_eq!(fixture.refusal_kinds(), vec![ErrorKind::NeverRunnable]);
    fixture.handle(KernelEvent::ConfigurationChanged(restricted_to(&["west"])));
    fixture.submit(fixture.spec(RESTRICTED, 1));
    assert_eq!(fixture.refusal_kinds(), vec![ErrorKind::NeverRunnable]);
    fixture.submit(fixture.spec(UNRESTRICTED, 1));
    assert_eq!(fixture.placements(), vec![placement(UNRESTRICTED, "n-1")]);
}

#[test]
fn plain_job_is_refused_if_every_slot_carries_an_accelerator() {
    let mut workers = two_domains();
    workers[0].accelerators = 4;
    workers[1].accelerators = 4;
    let mut fixture = KernelFixture::new(restricted_to(&[]), workers.clone());
    fixture.submit(fixture.spec(UNRESTRICTED, 1));
    assert_eq!(fixture.refusal_kinds(), vec![ErrorKind::NeverRunnable]);
    workers[0].accelerators = 3;
    fixture.handle(KernelEvent::WorkersListed(workers));
    fixture.submit(fixture.spec(UNRESTRICTED, 1));
    assert_eq!(fixture.placements(), vec![placement(UNRESTRICTED, "n-1")]);
}

#[test]
fn waiting_tasks_follow_a_change_of_their_team() {
    let mut fixture = KernelFixture::new(restricted_to(&["south"]), two_domains());
    fixture.submit(fixture.spec(RESTRICTED, 2));
    assert!(fixture.placements().is_empty());
    fixture.handle(KernelEvent::ConfigurationChanged(restricted_to(&[
        "north", "south",
    ])));
    assert_eq!(fixture.placements().len(), 2);
    fixture.submit(fixture.spec(UNRESTRICTED, 2));
    fixture.submit(fixture.spec(RESTRICTED, 3));
    let starts = fixture.starts();
    assert_eq!(starts.len(), 2);
    fixture.handle(KernelEvent::ConfigurationChanged(restricted_to(&["south"])));
    fixture.finish(&starts[0]);
    assert!(fixture.placements().is_empty());
    assert_eq!(fixture.kernel.waiting_tasks(), 3);
}

#[test]
fn places_that_overlap_take_turns() {
    for domains in [vec!["north"], vec![]] {
        let workers = vec![live_worker("n-1", "north", 1)];
        let mut fixture = KernelFixture::new(restricted_to(&domains), workers);
        fixture.submit(fixture.spec(RESTRICTED, 40));
        fixture.submit(fixture.spec(UNRESTRICTED, 40));
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..40 {
            let start = fixture.starts().pop().expect("a task starts");
            *counts.entry(start.team.to_string()).or_default() += 1;
            fixture.now = fixture.now.after(Duration::from_millis(50));
            fixture.finish(&start);
        }
        let unrestricted = counts.get(UNRESTRICTED).copied().unwrap_or_default();
        assert!((18..=22).contains(&unrestricted), "{domains:?}: {counts:?}");
    }
}

/// Sends random events to a kernel and checks every start against the configuration in force.
struct RandomisedRun {
    fixture: KernelFixture,
    rng: ChaCha8Rng,
    configuration: Arc<DeploymentConfiguration>,
    running: Vec<TaskStart>,
    starts: BTreeMap<(String, String), u32>,
}

impl RandomisedRun {
    fn new(seed: u64) -> Self {
        let mut workers = Vec::new();
        for (index, domain) in DOMAINS.iter().cycle().take(9).enumerate() {
            workers.push(live_worker(&format!("{domain}-{index}"), domain, 4));
        }
        let configuration = restricted_to(&["south"]);
        Self {
            fixture: KernelFixture::new(Arc::clone(&configuration), workers),
            rng: ChaCha8Rng::seed_from_u64(seed),
            configuration,
            running: Vec::new(),
            starts: BTreeMap::new(),
        }
    }

    fn step(&mut self) {
        let wait = Duration::from_millis(self.rng.random_range(0..40));
        self.fixture.now = self.fixture.now.after(wait);
        match self.rng.random_range(0..100) {
            0..35 => self.submit(),
            35..70 => self.end_attempt(),
            70..90 => self.grant_loan(),
            90..94 => self.reconfigure(),
            94..96 => self.update_peers(),
            _ => self.fixture.handle(KernelEvent::Tick),
        }
        self.check_starts();
    }

    fn submit(&mut self) {
        let team = if self.rng.random_bool(0.5) {
            RESTRICTED
        } else {
            UNRESTRICTED
        };
        let tasks = self.rng.random_range(1..6);
        let mut spec = self.fixture.spec(team, tasks);
        spec.tasks[0].memory_mib = self.rng.random_range(0..4) * 1_024;
        self.fixture.submit(spec);
    }

    fn end_attempt(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.running.len());
        let start = self.running.swap_remove(position);
        if self.rng.random_bool(0.1) {
            self.fixture.handle(KernelEvent::AttemptEnded {
                attempt: start.attempt,
                result: AttemptResult::NotStarted {
                    proof: bramley_core::task::NotStartedProof::RefusedByWorker,
                    leaving: false,
                },
            });
        } else {
            self.fixture.finish(&start);
        }
    }

    fn grant_loan(&mut self) {
        let index = self.rng.random_range(0..9_usize);
        let domain = DOMAINS[index % DOMAINS.len()];
        let slot = self.rng.random_range(0..4);
        let lender = format!("entry-{domain}-2");
        self.fixture
            .grant_loan(&lender, &format!("{domain}-{index}"), slot);
    }

    fn reconfigure(&mut self) {
        let mut domains = Vec::new();
        for domain in DOMAINS {
            if self.rng.random_bool(0.4) {
                domains.push(domain);
            }
        }
        self.configuration = restricted_to(&domains);
        let event = KernelEvent::ConfigurationChanged(Arc::clone(&self.configuration));
        self.fixture.handle(event);
    }

    fn update_peers(&mut self) {
        let mut peers = Vec::new();
        for domain in DOMAINS {
            let idle = self.rng.random_range(0..20);
            peers.push(peer(&format!("entry-{domain}-2"), domain, idle));
        }
        self.fixture.handle(KernelEvent::PeersChanged(peers));
    }

    fn check_starts(&mut self) {
        for start in self.fixture.starts() {
            let mut teams = self.configuration.teams.iter();
            let team = teams.find(|team| team.name == start.team);
            let allowed = &team.expect("the team is declared").failure_domains;
            let name = start.worker.as_str();
            let domain = name.split('-').next().unwrap_or_default();
            let is_allowed =
                allowed.is_empty() || allowed.iter().any(|allowed| allowed.as_str() == domain);
            assert!(is_allowed, "{} on {name}, allowed {allowed:?}", start.team);
            let key = (start.team.to_string(), domain.to_owned());
            *self.starts.entry(key).or_default() += 1;
            self.running.push(start);
        }
    }
}

#[test]
fn random_events_start_no_task_outside_its_place() {
    for seed in 0..20 {
        let mut run = RandomisedRun::new(seed);
        for _ in 0..3_000 {
            run.step();
        }
        let monitor = run.fixture.kernel.monitor();
        assert_eq!(monitor.first_violation(), None, "seed {seed}");
        for team in [RESTRICTED, UNRESTRICTED] {
            for domain in DOMAINS {
                let key = (team.to_owned(), domain.to_owned());
                assert!(run.starts.contains_key(&key), "seed {seed}: no {key:?}");
            }
        }
    }
}
