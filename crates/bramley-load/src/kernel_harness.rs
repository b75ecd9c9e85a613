//! Drives a single kernel in steady state to measure the cost of starting a task.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::configuration::{ClassConfiguration, DeploymentConfiguration, TeamConfiguration};
use bramley_core::digest::ContentDigest;
use bramley_core::job::{JobSpec, ReplyToken};
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{AttemptResult, JobSubmission, KernelEvent, PeerView};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{ClassName, DomainName, HostName, RackName, TeamName, WorkerName};
use bramley_core::task::TaskInput;
use bramley_core::units::{AttemptId, TicketSerial, UnixTime};
use bramley_core::worker::{WorkerProfile, WorkerState};

/// Slots of each worker.
const SLOTS_PER_WORKER: u32 = 8;

/// Virtual time between two job submissions.
const SUBMISSION_INTERVAL: Duration = Duration::from_micros(50);

/// Virtual time at which the harness starts.
const START_TIME: UnixTime = UnixTime::from_millis(1_000_000);

/// Dimensions of the deployment and the load that a harness simulates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HarnessSize {
    /// Number of workers in the host's failure domain.
    pub workers: usize,
    /// Number of entry hosts in the failure domain; they divide the workers' slots among them.
    pub hosts: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of tasks in each job.
    pub tasks_per_job: usize,
    /// Number of concurrently running tasks, limited by the slots that the host owns.
    pub running_tasks: usize,
    /// Number of accelerators, spread over the workers; if there are any, every second job
    /// requires one for each of its tasks.
    pub accelerators: usize,
    /// Number of tasks that are kept queued throughout.
    pub queued_tasks: usize,
    /// Lifetime of a ticket; the outcome of its job is retained for as long.
    pub ticket_lifetime: Duration,
}

impl Default for HarnessSize {
    fn default() -> Self {
        Self {
            workers: 50,
            hosts: 1,
            teams: 4,
            tasks_per_job: 1,
            running_tasks: 200,
            accelerators: 0,
            queued_tasks: 0,
            ticket_lifetime: Duration::from_secs(2),
        }
    }
}

/// A kernel with synthetic workers, peers and teams.
#[derive(Debug)]
pub struct KernelHarness {
    kernel: DispatchKernel,
    size: HarnessSize,
    teams: Vec<TeamName>,
    class: ClassName,
    payload: Arc<str>,
    now: UnixTime,
    last_serial: u64,
    running: VecDeque<AttemptId>,
    actions: Vec<KernelAction>,
    starts: u64,
}

impl KernelHarness {
    /// Creates a kernel of the given size and submits the initial jobs.
    #[must_use]
    pub fn new(size: HarnessSize) -> Self {
        let identity = KernelIdentity {
            host: HostName::from("entry-0"),
            domain: DomainName::from("freising"),
            seed: 1,
        };
        let settings = KernelSettings {
            max_kept_outcomes: 10_000_000,
            max_kept_bytes: 8 << 30,
            max_waiting_tasks: 10_000_000,
            ..KernelSettings::default()
        };
        let mut harness = Self {
            kernel: DispatchKernel::new(identity, settings),
            size,
            teams: Vec::new(),
            class: ClassName::from("hold"),
            payload: Arc::from("payload"),
            now: START_TIME,
            last_serial: 0,
            running: VecDeque::new(),
            actions: Vec::new(),
            starts: 0,
        };
        harness.configure();
        harness.handle_event(KernelEvent::PeersChanged(peer_views(size.hosts)));
        harness.handle_event(KernelEvent::WorkersListed(profiles(size)));
        for _ in 0..size.queued_tasks + size.running_tasks {
            harness.submit();
        }
        harness
    }

    /// Applies a configuration that contains the harness's teams.
    pub fn configure(&mut self) {
        let mut teams = Vec::new();
        for number in 0..self.size.teams {
            let class = ClassConfiguration {
                name: self.class.clone(),
                expected_run_ms: 100,
                answer_within_ms: 600_000,
                ..ClassConfiguration::default()
            };
            teams.push(TeamConfiguration {
                name: TeamName::from(format!("team-{number}").as_str()),
                max_running_tasks: 1_000_000,
                classes: vec![class],
                ..TeamConfiguration::default()
            });
        }
        self.teams = teams.iter().map(|team| team.name.clone()).collect();
        let configuration = DeploymentConfiguration {
            teams,
            ..DeploymentConfiguration::default()
        };
        self.handle_event(KernelEvent::ConfigurationChanged(Arc::new(configuration)));
    }

    /// Sends the list of peers to the kernel again, as each heartbeat does.
    pub fn refresh_peers(&mut self) {
        self.handle_event(KernelEvent::PeersChanged(peer_views(self.size.hosts)));
    }

    /// Returns the number of tasks started so far.
    #[must_use]
    pub const fn starts(&self) -> u64 {
        self.starts
    }

    /// Returns the kernel.
    #[must_use]
    pub const fn kernel(&self) -> &DispatchKernel {
        &self.kernel
    }

    /// Submits one job, then finishes tasks until the numbers of running and queued tasks are back
    /// at their targets.
    pub fn step(&mut self) {
        self.submit();
        while self.running.len() > self.size.running_tasks {
            self.finish_one();
        }
        // When all slots are busy, the queue would otherwise grow without bound.
        while self.kernel.waiting_tasks() > self.size.queued_tasks + self.size.tasks_per_job {
            if !self.finish_one() {
                break;
            }
        }
    }

    fn submit(&mut self) {
        self.now = self.now.after(SUBMISSION_INTERVAL);
        self.last_serial += 1;
        let number = self.last_serial as usize;
        let needs_accelerator = self.size.accelerators > 0 && number.is_multiple_of(2);
        let task = TaskInput {
            payload: Arc::clone(&self.payload),
            accelerators: u32::from(needs_accelerator),
            memory_mib: 0,
            declared_ms: 0,
        };
        let spec = JobSpec {
            team: self.teams[number % self.teams.len()].clone(),
            class: self.class.clone(),
            deadline: UnixTime::NEVER,
            idempotent: false,
            tasks: vec![task; self.size.tasks_per_job],
        };
        let submission = JobSubmission {
            serial: TicketSerial(self.last_serial),
            expiry: self.now.after(self.size.ticket_lifetime),
            digest: ContentDigest::of_fields([self.payload.as_bytes()]),
            spec,
            token: ReplyToken(self.last_serial),
        };
        self.handle_event(KernelEvent::Submitted(submission));
    }

    fn finish_one(&mut self) -> bool {
        let Some(attempt) = self.running.pop_front() else {
            return false;
        };
        let result = AttemptResult::Finished(Arc::clone(&self.payload));
        self.handle_event(KernelEvent::AttemptEnded { attempt, result });
        true
    }

    fn handle_event(&mut self, event: KernelEvent) {
        self.kernel.handle(event, self.now, &mut self.actions);
        for action in self.actions.drain(..) {
            if let KernelAction::Start(start) = action {
                self.starts += 1;
                self.running.push_back(start.attempt);
            }
        }
    }
}

fn peer_views(hosts: usize) -> Vec<PeerView> {
    let peer = |number: usize| PeerView {
        host: HostName::from(format!("entry-{number}").as_str()),
        domain: DomainName::from("freising"),
        owns_slots: true,
        reachable: true,
        idle_slots: 0,
        idle_accelerator_slots: 0,
    };
    (1..hosts).map(peer).collect()
}

fn profiles(size: HarnessSize) -> Vec<WorkerProfile> {
    let mut profiles = Vec::with_capacity(size.workers);
    for number in 0..size.workers {
        let share = size.accelerators / size.workers;
        let extra = usize::from(number < size.accelerators % size.workers);
        profiles.push(WorkerProfile {
            name: WorkerName::from(format!("worker-{number}").as_str()),
            address: SocketAddr::from(([10, 0, 0, 1], 7000)),
            domain: DomainName::from("freising"),
            rack: RackName::from("rack-0"),
            slots: SLOTS_PER_WORKER,
            accelerators: u32::try_from(share + extra).unwrap_or(0),
            memory_mib: 65_536,
            state: WorkerState::Live,
        });
    }
    profiles
}
