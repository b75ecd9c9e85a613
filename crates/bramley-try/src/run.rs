//! The course of a run, with the loss of a host on the way.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bramley_client::{CallerClient, ClientOptions};
use bramley_core::configuration::{ClassConfiguration, TeamConfiguration};
use bramley_settings::load_text;
use bramley_settings::questionnaire::{DeploymentAnswers, generate_configuration};
use tokio::time::{Instant, MissedTickBehavior};

use crate::audit::audit_jobs;
use crate::deployment::{SLOTS_PER_WORKER, TryDeployment, WORKERS_PER_DOMAIN};
use crate::driver::JobDriver;
use crate::options::{DeliberateFault, TryOptions};
use crate::outcome::OutcomeLog;
use crate::plan::draw_jobs;
use crate::report::{TryReport, UserReport};
use crate::violation::Violation;
use crate::watch::HostWatch;
use crate::workload::{UserWork, jalakanda, landesamt};

/// Interval at which a run looks at its hosts.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a leaving worker must get no new task.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Progress lines of one run.
const PROGRESS_LINES: u32 = 6;

/// Position of the host that is lost.
const LOST_HOST: usize = 1;

/// Position of the worker that leaves.
const LEAVING_WORKER: usize = 0;

/// Something that happens on the way, and the part of the run at which it does.
const STEPS: [(f64, RunStep); 4] = [
    (0.2, RunStep::Configure),
    (0.35, RunStep::LoseHost),
    (0.45, RunStep::LeaveWorker),
    (0.6, RunStep::ReplaceHost),
];

/// Something that happens on the way.
#[derive(Clone, Copy, Debug)]
enum RunStep {
    /// A changed configuration is stored.
    Configure,
    /// An entry host is lost without warning.
    LoseHost,
    /// A worker begins to leave.
    LeaveWorker,
    /// The lost host is replaced under the same name.
    ReplaceHost,
}

/// Runs both users side by side.
///
/// # Errors
///
/// Fails if a deployment can't be brought up or changed.
pub async fn run_all(options: &TryOptions) -> io::Result<TryReport> {
    if !(5..=600).contains(&options.seconds) {
        return Err(io::Error::other("--seconds must be from 5 to 600"));
    }
    eprintln!(
        "bringing up two deployments on loopback, then sending jobs for {} s",
        options.seconds
    );
    let (first, second) = tokio::try_join!(
        run_user(landesamt(), options, options.deliberate_fault),
        run_user(jalakanda(), options, None),
    )?;
    Ok(TryReport {
        seconds: options.seconds,
        seed: options.seed,
        users: vec![first, second],
    })
}

async fn run_user(
    work: UserWork,
    options: &TryOptions,
    fault: Option<DeliberateFault>,
) -> io::Result<UserReport> {
    let answers = read_answers(&work)?;
    let document = generate_configuration(&answers).document;
    let team = document.teams[0].clone();
    let classes = order_classes(&work, &team)?;
    let deployment = TryDeployment::start(document).await?;
    let log = Arc::new(OutcomeLog::default());
    let client = CallerClient::new(ClientOptions {
        entry_addresses: deployment.caller_addresses(),
        team: Arc::from(team.name.as_str()),
        ..ClientOptions::default()
    });
    let driver = JobDriver {
        client,
        classes,
        total_slots: deployment.total_slots(),
        log: Arc::clone(&log),
    };
    let jobs = draw_jobs(&work.classes, options.seconds, options.seed);
    let mut course = RunCourse::new(deployment, options.seconds, Arc::clone(&log));
    let sending = tokio::spawn(driver.clone().send_all(jobs));
    course.follow().await?;
    sending.await.map_err(io::Error::other)?;
    Ok(course.finish(&driver, fault).await)
}

/// Reads a user's answers and cuts the fleet down to the size of one machine.
fn read_answers(work: &UserWork) -> io::Result<DeploymentAnswers> {
    let mut answers: DeploymentAnswers =
        load_text(work.answers_file, work.answers).map_err(io::Error::other)?;
    let domains: usize = answers
        .regions
        .iter()
        .map(|region| region.failure_domains.len())
        .sum();
    answers.workers.count = WORKERS_PER_DOMAIN * domains as u32;
    answers.workers.slots = SLOTS_PER_WORKER;
    Ok(answers)
}

/// Returns the configured classes in the order of the user's work.
fn order_classes(
    work: &UserWork,
    team: &TeamConfiguration,
) -> io::Result<Arc<[ClassConfiguration]>> {
    let mut classes = Vec::new();
    for wanted in &work.classes {
        let found = team
            .classes
            .iter()
            .find(|class| class.name.as_str() == wanted.class);
        let class = found.ok_or_else(|| io::Error::other(format!("no class {}", wanted.class)))?;
        classes.push(class.clone());
    }
    Ok(Arc::from(classes))
}

/// Follows one deployment through its run.
#[derive(Debug)]
struct RunCourse {
    deployment: TryDeployment,
    log: Arc<OutcomeLog>,
    watch: HostWatch,
    begun: Instant,
    length: Duration,
    /// Time at which the leaving worker must get no more tasks.
    leaving_deadline: Option<Instant>,
    /// Starts on the leaving worker at that time.
    leaving_starts: Option<u32>,
}

impl RunCourse {
    fn new(deployment: TryDeployment, seconds: u32, log: Arc<OutcomeLog>) -> Self {
        Self {
            deployment,
            log,
            watch: HostWatch::default(),
            begun: Instant::now(),
            length: Duration::from_secs(u64::from(seconds)),
            leaving_deadline: None,
            leaving_starts: None,
        }
    }

    /// Takes the steps at their times, looks at the hosts and shows progress.
    async fn follow(&mut self) -> io::Result<()> {
        let mut ticks = tokio::time::interval(LOOK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut steps = STEPS.into_iter().peekable();
        let progress_interval = self.length / PROGRESS_LINES;
        let mut next_progress = self.begun + progress_interval;
        while self.begun.elapsed() < self.length || self.is_waiting() {
            ticks.tick().await;
            let part = self.begun.elapsed().as_secs_f64() / self.length.as_secs_f64();
            while let Some((_, step)) = steps.next_if(|(begin, _)| *begin <= part) {
                self.take_step(step).await?;
            }
            self.watch.look(&self.deployment);
            self.look_at_leaving();
            if Instant::now() >= next_progress {
                next_progress += progress_interval;
                self.show_progress();
            }
        }
        Ok(())
    }

    /// Tells whether the run has to go on for a check whose time has not come.
    const fn is_waiting(&self) -> bool {
        let is_leaving = self.leaving_deadline.is_some() && self.leaving_starts.is_none();
        is_leaving || self.watch.is_awaiting()
    }

    async fn take_step(&mut self, step: RunStep) -> io::Result<()> {
        let detail = match step {
            RunStep::Configure => {
                // The time counts from before the write, which hosts may see before it returns.
                self.watch.await_generation(2);
                self.deployment.store_generation(2).await?;
                "configuration_stored generation=2".to_owned()
            }
            RunStep::LoseHost => {
                let host = &mut self.deployment.hosts[LOST_HOST];
                self.watch.take_counts(host).await;
                drop(host.daemon.take());
                format!("host_lost host={}", host.settings.host)
            }
            RunStep::LeaveWorker => {
                let worker = &self.deployment.workers[LEAVING_WORKER].name;
                self.deployment.begin_leaving(worker)?;
                self.leaving_deadline = Some(Instant::now() + LEAVING_LIMIT);
                format!("worker_leaving worker={worker}")
            }
            RunStep::ReplaceHost => {
                self.deployment.replace_host(LOST_HOST).await?;
                let host = &self.deployment.hosts[LOST_HOST].settings.host;
                format!("host_replaced host={host}")
            }
        };
        eprintln!("{} event={detail}", self.place());
        Ok(())
    }

    fn look_at_leaving(&mut self) {
        let is_due = self
            .leaving_deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        if is_due && self.leaving_starts.is_none() {
            self.leaving_starts = Some(self.count_leaving_starts());
        }
    }

    fn count_leaving_starts(&self) -> u32 {
        let ledger = self.deployment.workers[LEAVING_WORKER].stand_in.ledger();
        ledger.entries.iter().map(|entry| entry.starts).sum()
    }

    fn show_progress(&self) {
        let counts = self.log.counts();
        eprintln!(
            "{} answered={} complete={} refused={} failed={} may_have_run={} undetermined={}",
            self.place(),
            counts.total(),
            counts.complete,
            counts.refused,
            counts.failed,
            counts.may_have_run,
            counts.undetermined
        );
    }

    fn place(&self) -> String {
        let seconds = self.begun.elapsed().as_secs_f64();
        format!(
            "time={seconds:.1}s deployment={}",
            self.deployment.document.deployment
        )
    }

    /// Audits the run after every job was answered.
    async fn finish(mut self, driver: &JobDriver, fault: Option<DeliberateFault>) -> UserReport {
        for host in &self.deployment.hosts {
            self.watch.take_counts(host).await;
        }
        let records = self.log.take();
        let mut violations = std::mem::take(&mut self.watch.violations);
        for ticket in driver.find_changed_answers().await {
            let ticket = ticket.to_string();
            violations.push(Violation::WrongAnswer { ticket });
        }
        let mut ledger = Vec::new();
        for worker in &self.deployment.workers {
            ledger.extend(worker.stand_in.ledger().entries);
        }
        if let (Some(DeliberateFault::StartTwice), Some(entry)) = (fault, ledger.first_mut()) {
            entry.starts += 1;
        }
        violations.extend(audit_jobs(&records, ledger));
        if let Some(before) = self.leaving_starts {
            let starts = self.count_leaving_starts().saturating_sub(before);
            let worker = self.deployment.workers[LEAVING_WORKER].name.clone();
            if starts > 0 {
                violations.push(Violation::StartedOnLeavingWorker { worker, starts });
            }
        }
        let deployment = &self.deployment.document.deployment;
        UserReport::new(
            deployment,
            &driver.classes,
            &records,
            self.watch.wasted,
            self.watch.spread,
            violations,
        )
    }
}
