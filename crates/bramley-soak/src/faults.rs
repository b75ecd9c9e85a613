//! Injects a random sequence of faults that is determined by a seed.

use std::str::FromStr;
use std::time::Duration;

use bramley_fleet_stand_in::store::StoreMode;
use bramley_fleet_stand_in::worker::WorkerMode;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::deployment::{Deployment, build_configuration};
use crate::evacuations::EvacuationInjector;
use crate::odd_writer::OddWriter;
use crate::proxy::ProxyMode;
use crate::series::SeriesInjector;

/// Fault kinds that are planned operations or store faults. The last one is drawn only with
/// `planned` set.
const PLANNED_KINDS: [u32; 7] = [5, 6, 7, 8, 9, 15, 16];

/// Number of fault kinds drawn without `planned` set. Changing it changes the faults that every seed
/// draws, so earlier failures could no longer be replayed.
const UNPLANNED_KIND_COUNT: u32 = 16;

/// Time that a host gets to exit after SIGTERM before it is killed; the platform's grace period.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Faults that a soak injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultProfile {
    /// Single faults and series of faults.
    #[default]
    All,
    /// Single faults, with short tasks, patient callers and equal workers.
    Classic,
    /// Series of faults, between which the deployment works.
    Series,
}

impl FaultProfile {
    const fn has_series(self) -> bool {
        match self {
            Self::All | Self::Series => true,
            Self::Classic => false,
        }
    }

    const fn has_single_faults(self) -> bool {
        match self {
            Self::All | Self::Classic => true,
            Self::Series => false,
        }
    }
}

impl FromStr for FaultProfile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "all" => Ok(Self::All),
            "classic" => Ok(Self::Classic),
            "series" => Ok(Self::Series),
            _ => Err(format!("profile {text:?}; expected all, classic or series")),
        }
    }
}

/// Action that reverts a fault on the host or worker with the given index. The variant names appear
/// in the fault log.
#[derive(Clone, Copy, Debug)]
enum Undo {
    /// Starts the process of a killed host again.
    StartHost(usize),
    /// Resumes the process of a suspended host.
    ResumeHost(usize),
    /// Sets the store back to its healthy mode.
    StoreSound,
    /// Opens the proxy between a host and the store.
    HostStoreOpen(usize),
    /// Sets a worker back to its healthy mode.
    WorkerSound(usize),
    /// Opens the proxy between the hosts and a worker.
    WorkerOpen(usize),
}

impl Undo {
    /// Returns whether a leader may not learn of an evacuation until the fault is reverted.
    const fn hides_evacuations(self) -> bool {
        match self {
            Self::ResumeHost(_) | Self::StoreSound | Self::HostStoreOpen(_) => true,
            Self::StartHost(_) | Self::WorkerSound(_) | Self::WorkerOpen(_) => false,
        }
    }
}

/// Injects faults and reverts them later, so several faults can be active at once.
#[derive(Debug)]
pub struct FaultInjector {
    rng: ChaCha8Rng,
    /// Whether to inject only planned operations and store faults.
    planned: bool,
    /// Which faults to inject.
    profile: FaultProfile,
    /// Actions that revert active faults, with the times at which they are due.
    pending_undos: Vec<(Instant, Undo)>,
    /// Version of the configuration written last.
    configuration_version: u64,
    /// Injected and reverted faults with their times, printed when a check fails.
    pub log: Vec<String>,
    started_at: Instant,
    /// Other writer on the store.
    odd_writer: OddWriter,
    /// Series of faults that belong together.
    series: SeriesInjector,
    /// Evacuations of failure domains.
    pub evacuations: EvacuationInjector,
    /// Messages for hosts that did not exit in time after SIGTERM.
    pub stop_timeouts: Vec<String>,
}

impl FaultInjector {
    /// Creates an injector whose faults are determined by `seed`.
    #[must_use]
    pub fn new(seed: u64, planned: bool, profile: FaultProfile, domains: usize) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            planned,
            profile,
            pending_undos: Vec::new(),
            configuration_version: 1,
            log: Vec::new(),
            started_at: Instant::now(),
            odd_writer: OddWriter::new(seed),
            series: SeriesInjector::new(seed, profile.has_series()),
            evacuations: EvacuationInjector::new(seed, domains),
            stop_timeouts: Vec::new(),
        }
    }

    /// Injects faults for the given time, then reverts all that are still active.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a host cannot be restarted.
    pub async fn run(
        &mut self,
        deployment: &mut Deployment,
        duration: Duration,
    ) -> std::io::Result<()> {
        let deadline = Instant::now() + duration;
        while Instant::now() < deadline {
            self.undo_due(deployment, Instant::now())?;
            if self.profile.has_single_faults() {
                self.inject_fault(deployment).await?;
            }
            let line = self.evacuations.step(&deployment.store, Instant::now());
            if let Some(line) = line {
                self.record(line);
            }
            if let Some(line) = self.odd_writer.step(deployment) {
                self.record(line);
            }
            let pause = self.rng.random_range(100..1_500);
            let paused_until = Instant::now() + Duration::from_millis(pause);
            self.series
                .run_until(deployment, &mut self.evacuations, paused_until)
                .await?;
            self.record_series();
        }
        self.series.end(deployment)?;
        self.record_series();
        let far_future = Instant::now() + Duration::from_secs(3_600);
        self.undo_due(deployment, far_future)?;
        if let Some(line) = self.evacuations.end(&deployment.store, Instant::now()) {
            self.record(line);
        }
        Ok(())
    }

    /// Appends a line with the time since the start in milliseconds to the log.
    fn record(&mut self, text: String) {
        let millis = self.started_at.elapsed().as_millis();
        self.log.push(format!("{millis} {text}"));
    }

    /// Moves the lines of the series to the log.
    fn record_series(&mut self) {
        for (at, text) in self.series.lines.drain(..) {
            let millis = at.duration_since(self.started_at).as_millis();
            self.log.push(format!("{millis} {text}"));
        }
    }

    /// Schedules `undo` after a random wait within `range`, in milliseconds.
    fn schedule_undo(&mut self, range: std::ops::Range<u64>, undo: Undo) {
        let wait = Duration::from_millis(self.rng.random_range(range));
        if undo.hides_evacuations() {
            self.evacuations.disturbance_began(Instant::now());
        }
        self.pending_undos.push((Instant::now() + wait, undo));
    }

    /// Reverts every fault whose undo is due at `now`.
    fn undo_due(&mut self, deployment: &mut Deployment, now: Instant) -> std::io::Result<()> {
        let (due, pending) = self.pending_undos.drain(..).partition(|(at, _)| *at <= now);
        self.pending_undos = pending;
        let due: Vec<(Instant, Undo)> = due;
        let is_any_hidden = self
            .pending_undos
            .iter()
            .any(|(_, undo)| undo.hides_evacuations())
            || self.series.hides_evacuations(now);
        for (_, undo) in due {
            self.record(format!("{undo:?}"));
            match undo {
                Undo::StartHost(host) => deployment.restart_host(host)?,
                Undo::ResumeHost(host) => deployment.hosts[host].signal(Signal::CONT),
                Undo::StoreSound => deployment.store.set_mode(StoreMode::Healthy),
                Undo::HostStoreOpen(host) => {
                    deployment.hosts[host].store_proxy.set_mode(ProxyMode::Open);
                }
                Undo::WorkerSound(worker) => {
                    deployment.workers[worker]
                        .worker
                        .set_mode(WorkerMode::Healthy);
                }
                Undo::WorkerOpen(worker) => {
                    deployment.workers[worker].proxy.set_mode(ProxyMode::Open);
                }
            }
        }
        self.evacuations
            .disturbance_ended(!is_any_hidden, Instant::now());
        Ok(())
    }

    /// Returns whether the host is killed or suspended until a pending undo.
    fn is_host_busy(&self, host: usize) -> bool {
        self.pending_undos.iter().any(
            |(_, undo)| matches!(undo, Undo::StartHost(at) | Undo::ResumeHost(at) if *at == host),
        )
    }

    /// Injects one random fault. Its kind is logged by number, and the numbering decides which faults
    /// a seed draws.
    async fn inject_fault(&mut self, deployment: &mut Deployment) -> std::io::Result<()> {
        let host = self.rng.random_range(0..deployment.hosts.len());
        let worker = self.rng.random_range(0..deployment.workers.len());
        let kind = if self.planned {
            PLANNED_KINDS[self.rng.random_range(0..PLANNED_KINDS.len())]
        } else {
            self.rng.random_range(0..UNPLANNED_KIND_COUNT)
        };
        self.record(format!("inject kind={kind} host={host} worker={worker}"));
        match kind {
            0..=2 if !self.is_host_busy(host) => {
                deployment.kill_host(host);
                self.schedule_undo(200..3_000, Undo::StartHost(host));
            }
            3 | 4 if !self.is_host_busy(host) => {
                deployment.hosts[host].signal(Signal::STOP);
                self.schedule_undo(200..4_000, Undo::ResumeHost(host));
            }
            5 | 6 if !self.is_host_busy(host) => self.stop_host(deployment, host).await?,
            7 => {
                let candidates = [
                    StoreMode::RejectsCalls,
                    StoreMode::ClosesConnections,
                    StoreMode::Delayed(300),
                    StoreMode::LosesResponses,
                ];
                if let Some(mode) = candidates.choose(&mut self.rng) {
                    deployment.store.set_mode(*mode);
                }
                self.schedule_undo(500..5_000, Undo::StoreSound);
            }
            8 => deployment.store.expire_all_leases(),
            9 => deployment.store.discard_history(),
            10 => {
                let modes = [
                    ProxyMode::Stalled,
                    ProxyMode::ResponsesStalled,
                    ProxyMode::Delayed(100),
                ];
                if let Some(mode) = modes.choose(&mut self.rng) {
                    deployment.hosts[host].store_proxy.set_mode(*mode);
                }
                self.schedule_undo(500..5_000, Undo::HostStoreOpen(host));
            }
            11 => {
                let modes = [
                    ProxyMode::Stalled,
                    ProxyMode::ResponsesStalled,
                    ProxyMode::Delayed(30),
                ];
                if let Some(mode) = modes.choose(&mut self.rng) {
                    deployment.workers[worker].proxy.set_mode(*mode);
                }
                self.schedule_undo(300..4_000, Undo::WorkerOpen(worker));
            }
            12 => {
                for worker in &deployment.workers {
                    worker.proxy.stall_all();
                }
            }
            13 => deployment.workers[worker].proxy.reset_all(),
            14 => {
                let candidates = [
                    WorkerMode::Fails,
                    WorkerMode::Hangs,
                    WorkerMode::LosesResponses,
                ];
                if let Some(mode) = candidates.choose(&mut self.rng) {
                    deployment.workers[worker].worker.set_mode(*mode);
                }
                self.schedule_undo(500..4_000, Undo::WorkerSound(worker));
            }
            15 => {
                self.configuration_version += 1;
                deployment.store.put(
                    "op/config",
                    &build_configuration(self.configuration_version),
                );
            }
            16 => deployment.hosts[host].signal(Signal::HUP),
            // A host fault was drawn for a host that is already killed or suspended. With `planned`
            // set no fault is injected; otherwise a worker is restarted instead.
            _ if self.planned => {}
            _ => deployment.workers[worker].worker.restart(),
        }
        Ok(())
    }

    async fn stop_host(&mut self, deployment: &mut Deployment, host: usize) -> std::io::Result<()> {
        // A series may have suspended the host, and does not go on before the process has exited.
        deployment.hosts[host].signal(Signal::CONT);
        deployment.hosts[host].signal(Signal::TERM);
        if !deployment.hosts[host].wait_for_exit(STOP_TIMEOUT).await {
            self.stop_timeouts
                .push(format!("host {host} did not exit in time after SIGTERM"));
            deployment.kill_host(host);
        }
        deployment.restart_host(host)
    }
}
