//! Draws faults from a seed.

use std::time::Duration;

use bramley_fleet_stand_in::store::StoreMood;
use bramley_fleet_stand_in::worker::WorkerMood;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::deployment::{Deployment, configuration};
use crate::proxy::ProxyMood;

/// Kinds of planned work and of troubles of the store; the last is planned work only.
const PLANNED_KINDS: [u32; 7] = [5, 6, 7, 8, 9, 15, 16];

/// Number of kinds outside planned work; seeds that failed depend on it.
const UNPLANNED_KINDS: u32 = 16;

/// Time from the signal to stop to the forced end; the platform's grace.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// A change that undoes a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    StartHost(usize),
    ResumeHost(usize),
    StoreSound,
    HostStoreOpen(usize),
    WorkerSound(usize),
    WorkerOpen(usize),
}

/// Brings faults about and undoes them later; series of them overlap.
#[derive(Debug)]
pub struct FaultDriver {
    rng: ChaCha8Rng,
    /// Whether only planned work and troubles of the store come.
    planned: bool,
    undos: Vec<(Instant, Undo)>,
    version: u64,
    /// What was done, for the report.
    pub log: Vec<String>,
    began: Instant,
    /// Stops that did not end in time.
    pub late_stops: Vec<String>,
}

impl FaultDriver {
    /// Makes a driver of a seed.
    #[must_use]
    pub fn new(seed: u64, planned: bool) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            planned,
            undos: Vec::new(),
            version: 1,
            log: Vec::new(),
            began: Instant::now(),
            late_stops: Vec::new(),
        }
    }

    /// Brings faults about for a while, then undoes all.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a program cannot be started again.
    pub async fn run(
        &mut self,
        deployment: &mut Deployment,
        span: Duration,
    ) -> std::io::Result<()> {
        let ends_at = Instant::now() + span;
        while Instant::now() < ends_at {
            self.undo_due(deployment, Instant::now())?;
            self.strike(deployment).await?;
            let pause = self.rng.random_range(100..1_500);
            sleep(Duration::from_millis(pause)).await;
        }
        let far = Instant::now() + Duration::from_secs(3_600);
        self.undo_due(deployment, far)
    }

    fn note(&mut self, text: String) {
        let millis = self.began.elapsed().as_millis();
        self.log.push(format!("{millis} {text}"));
    }

    fn later(&mut self, range: std::ops::Range<u64>, undo: Undo) {
        let wait = Duration::from_millis(self.rng.random_range(range));
        self.undos.push((Instant::now() + wait, undo));
    }

    fn undo_due(&mut self, deployment: &mut Deployment, now: Instant) -> std::io::Result<()> {
        let (due, kept) = self.undos.drain(..).partition(|(at, _)| *at <= now);
        self.undos = kept;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            self.note(format!("{undo:?}"));
            match undo {
                Undo::StartHost(host) => deployment.restart(host)?,
                Undo::ResumeHost(host) => deployment.hosts[host].signal(Signal::CONT),
                Undo::StoreSound => deployment.store.set_mood(StoreMood::Sound),
                Undo::HostStoreOpen(host) => {
                    deployment.hosts[host].store.set_mood(ProxyMood::Open);
                }
                Undo::WorkerSound(worker) => {
                    deployment.workers[worker]
                        .worker
                        .set_mood(WorkerMood::Sound);
                }
                Undo::WorkerOpen(worker) => {
                    deployment.workers[worker].proxy.set_mood(ProxyMood::Open);
                }
            }
        }
        Ok(())
    }

    fn is_host_busy(&self, host: usize) -> bool {
        self.undos.iter().any(
            |(_, undo)| matches!(undo, Undo::StartHost(at) | Undo::ResumeHost(at) if *at == host),
        )
    }

    async fn strike(&mut self, deployment: &mut Deployment) -> std::io::Result<()> {
        let host = self.rng.random_range(0..deployment.hosts.len());
        let worker = self.rng.random_range(0..deployment.workers.len());
        let kind = if self.planned {
            PLANNED_KINDS[self.rng.random_range(0..PLANNED_KINDS.len())]
        } else {
            self.rng.random_range(0..UNPLANNED_KINDS)
        };
        self.note(format!("strike kind={kind} host={host} worker={worker}"));
        match kind {
            0..=2 if !self.is_host_busy(host) => {
                deployment.hosts[host].kill();
                self.later(200..3_000, Undo::StartHost(host));
            }
            3 | 4 if !self.is_host_busy(host) => {
                deployment.hosts[host].signal(Signal::STOP);
                self.later(200..4_000, Undo::ResumeHost(host));
            }
            5 | 6 if !self.is_host_busy(host) => self.stop_host(deployment, host).await?,
            7 => {
                let moods = [
                    StoreMood::Busy,
                    StoreMood::Reset,
                    StoreMood::Slow(300),
                    StoreMood::LosesAnswers,
                ];
                if let Some(mood) = moods.choose(&mut self.rng) {
                    deployment.store.set_mood(*mood);
                }
                self.later(500..5_000, Undo::StoreSound);
            }
            8 => deployment.store.end_leases(),
            9 => deployment.store.forget_history(),
            10 => {
                let moods = [
                    ProxyMood::Silent,
                    ProxyMood::OneWay,
                    ProxyMood::Delayed(100),
                ];
                if let Some(mood) = moods.choose(&mut self.rng) {
                    deployment.hosts[host].store.set_mood(*mood);
                }
                self.later(500..5_000, Undo::HostStoreOpen(host));
            }
            11 => {
                let moods = [ProxyMood::Silent, ProxyMood::OneWay, ProxyMood::Delayed(30)];
                if let Some(mood) = moods.choose(&mut self.rng) {
                    deployment.workers[worker].proxy.set_mood(*mood);
                }
                self.later(300..4_000, Undo::WorkerOpen(worker));
            }
            12 => {
                for worker in &deployment.workers {
                    worker.proxy.silence_all();
                }
            }
            13 => deployment.workers[worker].proxy.reset_all(),
            14 => {
                let moods = [
                    WorkerMood::Fails,
                    WorkerMood::Hangs,
                    WorkerMood::LosesAnswers,
                ];
                if let Some(mood) = moods.choose(&mut self.rng) {
                    deployment.workers[worker].worker.set_mood(*mood);
                }
                self.later(500..4_000, Undo::WorkerSound(worker));
            }
            15 => {
                self.version += 1;
                deployment
                    .store
                    .put("op/config", &configuration(self.version));
            }
            16 => deployment.hosts[host].signal(Signal::HUP),
            _ if self.planned => {}
            _ => deployment.workers[worker].worker.restart(),
        }
        Ok(())
    }

    async fn stop_host(&mut self, deployment: &mut Deployment, host: usize) -> std::io::Result<()> {
        deployment.hosts[host].signal(Signal::TERM);
        if !deployment.hosts[host].wait(STOP_GRACE).await {
            self.late_stops
                .push(format!("host {host} did not end in time"));
            deployment.hosts[host].kill();
        }
        deployment.restart(host)
    }
}
