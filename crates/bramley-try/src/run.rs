//! Runs the deployments, with scheduled steps such as the loss of a host.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bramley_client::{CallerClient, ClientOptions};
use bramley_core::configuration::{ClassConfiguration, TeamConfiguration};
use bramley_settings::load_text;
use bramley_settings::questionnaire::{DeploymentAnswers, generate_configuration};
use tokio::time::{Instant, MissedTickBehavior};

use crate::audit::audit_jobs;
use crate::deployment::{SLOTS_PER_WORKER, TestDeployment, WORKERS_PER_DOMAIN};
use crate::driver::JobDriver;
use crate::monitor::HostMonitor;
use crate::options::{DeliberateFault, RunOptions};
use crate::outcome::OutcomeRecorder;
use crate::plan::generate_jobs;
use crate::report::{RunReport, UserReport};
use crate::violation::Violation;
use crate::workload::{UserWorkload, jalakanda, landesamt};

/// Interval at which the hosts are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a leaving worker must not start new tasks.
const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Number of progress lines printed during a run.
const PROGRESS_LINES: u32 = 6;

/// Index of the host that is lost.
const LOST_HOST: usize = 1;

/// Index of the worker that is marked as leaving.
const LEAVING_WORKER: usize = 0;

/// The scheduled steps, each with the fraction of the run at which it is executed.
const STEPS: [(f64, ScheduledStep); 4] = [
    (0.2, ScheduledStep::Configure),
    (0.35, ScheduledStep::LoseHost),
    (0.45, ScheduledStep::LeaveWorker),
    (0.6, ScheduledStep::ReplaceHost),
];

/// A change to the deployment during a run.
#[derive(Clone, Copy, Debug)]
enum ScheduledStep {
    /// Stores a new configuration generation.
    Configure,
    /// Drops an entry host without a drain.
    LoseHost,
    /// Marks a worker as leaving.
    LeaveWorker,
    /// Restarts the lost host under the same name.
    ReplaceHost,
}

/// Runs the deployments of both users concurrently.
///
/// # Errors
///
/// Fails if a deployment cannot be started or changed.
pub async fn run_all(options: &RunOptions) -> io::Result<RunReport> {
    if !(5..=600).contains(&options.seconds) {
        return Err(io::Error::other("--seconds must be from 5 to 600"));
    }
    eprintln!(
        "starting two deployments on loopback, then sending jobs for {} s",
        options.seconds
    );
    let (first, second) = tokio::try_join!(
        run_user(landesamt(), options, options.deliberate_fault),
        run_user(jalakanda(), options, None),
    )?;
    Ok(RunReport {
        seconds: options.seconds,
        seed: options.seed,
        users: vec![first, second],
    })
}

async fn run_user(
    workload: UserWorkload,
    options: &RunOptions,
    fault: Option<DeliberateFault>,
) -> io::Result<UserReport> {
    let answers = load_answers(&workload)?;
    let document = generate_configuration(&answers).document;
    let team = document.teams[0].clone();
    let classes = order_classes(&workload, &team)?;
    let deployment = TestDeployment::start(document).await?;
    let recorder = Arc::new(OutcomeRecorder::default());
    let client = CallerClient::new(ClientOptions {
        entry_addresses: deployment.caller_addresses(),
        team: Arc::from(team.name.as_str()),
        ..ClientOptions::default()
    });
    let driver = JobDriver {
        client,
        classes,
        total_slots: deployment.total_slots(),
        recorder: Arc::clone(&recorder),
    };
    let jobs = generate_jobs(&workload.classes, options.seconds, options.seed);
    let mut run = UserRun::new(deployment, options.seconds, Arc::clone(&recorder));
    let sending = tokio::spawn(driver.clone().send_all(jobs));
    run.run_steps().await?;
    sending.await.map_err(io::Error::other)?;
    Ok(run.finish(&driver, fault).await)
}

/// Loads a user's questionnaire and scales the number of workers and slots down to one machine.
fn load_answers(workload: &UserWorkload) -> io::Result<DeploymentAnswers> {
    let mut answers: DeploymentAnswers =
        load_text(workload.answers_file, workload.answers).map_err(io::Error::other)?;
    let domains: usize = answers
        .regions
        .iter()
        .map(|region| region.failure_domains.len())
        .sum();
    answers.workers.count = WORKERS_PER_DOMAIN * domains as u32;
    answers.workers.slots = SLOTS_PER_WORKER;
    Ok(answers)
}

/// Returns the configured classes in the order of the user's workload.
fn order_classes(
    workload: &UserWorkload,
    team: &TeamConfiguration,
) -> io::Result<Arc<[ClassConfiguration]>> {
    let mut classes = Vec::new();
    for wanted in &workload.classes {
        let found = team
            .classes
            .iter()
            .find(|class| class.name.as_str() == wanted.class);
        let class = found.ok_or_else(|| {
            io::Error::other(format!(
                "class {:?} is missing in the configuration",
                wanted.class
            ))
        })?;
        classes.push(class.clone());
    }
    Ok(Arc::from(classes))
}

/// A run of one user's deployment.
#[derive(Debug)]
struct UserRun {
    deployment: TestDeployment,
    recorder: Arc<OutcomeRecorder>,
    monitor: HostMonitor,
    started_at: Instant,
    duration: Duration,
    /// Time after which the leaving worker must not start new tasks.
    leaving_deadline: Option<Instant>,
    /// Number of starts on the leaving worker at that time.
    leaving_starts: Option<u32>,
}

impl UserRun {
    fn new(deployment: TestDeployment, seconds: u32, recorder: Arc<OutcomeRecorder>) -> Self {
        Self {
            deployment,
            recorder,
            monitor: HostMonitor::default(),
            started_at: Instant::now(),
            duration: Duration::from_secs(u64::from(seconds)),
            leaving_deadline: None,
            leaving_starts: None,
        }
    }

    /// Executes the scheduled steps, checks the hosts and prints progress until the run ends.
    async fn run_steps(&mut self) -> io::Result<()> {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut steps = STEPS.into_iter().peekable();
        let progress_interval = self.duration / PROGRESS_LINES;
        let mut next_progress = self.started_at + progress_interval;
        while self.started_at.elapsed() < self.duration || self.has_pending_checks() {
            ticks.tick().await;
            let run_fraction =
                self.started_at.elapsed().as_secs_f64() / self.duration.as_secs_f64();
            while let Some((_, step)) = steps.next_if(|(begin, _)| *begin <= run_fraction) {
                self.execute_step(step).await?;
            }
            self.monitor.check_generations(&self.deployment);
            self.check_leaving_worker();
            if Instant::now() >= next_progress {
                next_progress += progress_interval;
                self.show_progress();
            }
        }
        Ok(())
    }

    /// Returns whether the run must continue because the deadline of a check has not passed.
    const fn has_pending_checks(&self) -> bool {
        let is_leaving = self.leaving_deadline.is_some() && self.leaving_starts.is_none();
        is_leaving || self.monitor.has_pending_generation()
    }

    async fn execute_step(&mut self, step: ScheduledStep) -> io::Result<()> {
        let detail = match step {
            ScheduledStep::Configure => {
                // The propagation time is measured from before the write, as hosts may see the new
                // generation before the write returns.
                self.monitor.expect_generation(2);
                self.deployment.store_generation(2).await?;
                "configuration_stored generation=2".to_owned()
            }
            ScheduledStep::LoseHost => {
                let host = &mut self.deployment.hosts[LOST_HOST];
                self.monitor.collect_counters(host).await;
                drop(host.daemon.take());
                format!("host_lost host={}", host.settings.host)
            }
            ScheduledStep::LeaveWorker => {
                let worker = &self.deployment.workers[LEAVING_WORKER].name;
                self.deployment.mark_worker_leaving(worker)?;
                self.leaving_deadline = Some(Instant::now() + LEAVING_GRACE_PERIOD);
                format!("worker_leaving worker={worker}")
            }
            ScheduledStep::ReplaceHost => {
                self.deployment.replace_host(LOST_HOST).await?;
                let host = &self.deployment.hosts[LOST_HOST].settings.host;
                format!("host_replaced host={host}")
            }
        };
        eprintln!("{} event={detail}", self.log_prefix());
        Ok(())
    }

    fn check_leaving_worker(&mut self) {
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
        let counts = self.recorder.counts();
        eprintln!(
            "{} answered={} complete={} refused={} failed={} may_have_run={} undetermined={}",
            self.log_prefix(),
            counts.total(),
            counts.complete,
            counts.refused,
            counts.failed,
            counts.may_have_run,
            counts.undetermined
        );
    }

    fn log_prefix(&self) -> String {
        let seconds = self.started_at.elapsed().as_secs_f64();
        format!(
            "time={seconds:.1}s deployment={}",
            self.deployment.document.deployment
        )
    }

    /// Audits the run after all jobs have ended.
    async fn finish(mut self, driver: &JobDriver, fault: Option<DeliberateFault>) -> UserReport {
        for host in &self.deployment.hosts {
            self.monitor.collect_counters(host).await;
        }
        let records = self.recorder.take_records();
        let mut violations = std::mem::take(&mut self.monitor.violations);
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
            self.monitor.wasted,
            self.monitor.propagation_time,
            violations,
        )
    }
}
