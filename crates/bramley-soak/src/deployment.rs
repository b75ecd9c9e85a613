//! Starts the host processes and terminates only the ones it started.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bramley_fleet_stand_in::recorder::RunRecorder;
use bramley_fleet_stand_in::store::StoreStandIn;
use bramley_fleet_stand_in::view::StoreView;
use bramley_fleet_stand_in::worker::{WorkerDescriptor, WorkerPace, WorkerStandIn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::proxy::{LoopbackProxy, ProxyMode};
use crate::topology::{LinkTable, LinkTarget, LoopbackAddress, PairLink};

/// Host name of the routes.
pub const ROUTE_HOST: &str = "soak.example";

/// Path prefix of the routes.
pub const ROUTE_PREFIX: &str = "/jobs/";

/// Ports for hosts. They lie below the ephemeral range, from which systems take the local ports of
/// outgoing connections, so no such connection occupies a port while its host is down.
const HOST_PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Attempts to find a free port; most ports in the range are free.
const PORT_ATTEMPTS: u32 = 50;

/// Interval at which a worker's store entry is written.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which workers finish runs whose time is up.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);

/// CPU capacity of a worker in thousandths of a core.
const WORKER_CPU_MILLI: u64 = 32_000;

/// Time after the acknowledgement of an evacuation from which no task may be started in the failure
/// domain. It is shorter than in use, so that a short run reaches it, and longer than one wait of a
/// watch, whose connection may just have been lost.
pub const EVACUATION_BOUND: Duration = Duration::from_millis(4_000);

/// Differences of the clocks and speeds of workers.
#[derive(Clone, Copy, Debug)]
pub struct PaceSettings {
    /// Seed of the generator that draws them.
    pub seed: u64,
    /// Largest share by which a clock is slow, in thousandths.
    pub clock_lag: u32,
    /// Range of the factors on run times.
    pub run_factors: (f64, f64),
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            clock_lag: 20,
            run_factors: (0.7, 1.4),
        }
    }
}

impl PaceSettings {
    /// Returns settings for true clocks and equal speeds.
    #[must_use]
    pub fn none() -> Self {
        Self {
            seed: 0,
            clock_lag: 0,
            run_factors: (1.0, 1.0),
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> WorkerPace {
        let true_pace = WorkerPace::default();
        let (lowest, highest) = self.run_factors;
        WorkerPace {
            clock_rate: true_pace.clock_rate - rng.random_range(0..=self.clock_lag),
            run_factor: rng.random_range(lowest..=highest),
        }
    }
}

/// Number of hosts and workers in a deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeploymentSize {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of hosts in each failure domain.
    pub hosts: usize,
    /// Number of workers in each failure domain.
    pub workers: usize,
    /// Clocks and speeds of the workers.
    pub pace: PaceSettings,
    /// Limits of a host process, if it has low ones.
    pub limits: Option<ProcessLimits>,
}

/// Limits of a host process in its settings.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open descriptors.
    pub max_fds: usize,
}

impl ProcessLimits {
    /// Limits that a crowd of some dozen clients reaches.
    pub const LOW: Self = Self {
        memory_mb: 64,
        max_fds: 320,
    };
}

/// A host process and what is needed to restart it.
#[derive(Debug)]
pub struct HostProcess {
    /// Address that accepts callers.
    pub caller_address: SocketAddr,
    /// Proxy between the host and the store.
    pub store_proxy: LoopbackProxy,
    /// The host's view of the store.
    pub store_view: StoreView,
    /// Index of its failure domain.
    pub domain: usize,
    /// Address that accepts other hosts.
    peer_address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// How the process ended when it ended by itself.
    early_exits: Vec<String>,
    child: Option<Child>,
}

/// A simulated worker behind a proxy.
#[derive(Debug)]
pub struct SoakWorker {
    /// The simulated worker.
    pub worker: WorkerStandIn,
    /// Proxy between the hosts and the worker.
    pub proxy: LoopbackProxy,
    /// Address of the proxy, which the worker's store entry announces.
    pub address: SocketAddr,
    /// Index of its failure domain.
    pub domain: usize,
    /// Address of the worker itself.
    server_address: SocketAddr,
}

/// The host processes of a soak test, with the simulated store and workers.
#[derive(Debug)]
pub struct Deployment {
    /// Simulated store.
    pub store: StoreStandIn,
    /// Simulated workers.
    pub workers: Vec<SoakWorker>,
    /// Host processes.
    pub hosts: Vec<HostProcess>,
    /// Runs on all workers.
    pub recorder: RunRecorder,
    /// Ways of the hosts to each other and to the workers.
    pub links: LinkTable,
    loopback: LoopbackAddress,
    program: PathBuf,
    /// Ports given to hosts so far.
    host_ports: BTreeSet<u16>,
    /// Limits of each host process.
    limits: Option<ProcessLimits>,
}

impl Deployment {
    /// Starts a deployment whose hosts run the binary `program`. Settings and logs go to `folder`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a port cannot be bound, a file cannot be written or a process cannot
    /// be started.
    pub async fn start(
        program: impl Into<PathBuf>,
        folder: &Path,
        size: &DeploymentSize,
    ) -> std::io::Result<Self> {
        let store = StoreStandIn::default();
        store.put("op/config", &build_configuration(1));
        let mut deployment = Self {
            store,
            workers: Vec::new(),
            hosts: Vec::new(),
            recorder: RunRecorder::default(),
            links: LinkTable::default(),
            loopback: LoopbackAddress::reserve()?,
            program: program.into(),
            host_ports: BTreeSet::new(),
            limits: size.limits,
        };
        let mut pace_rng = ChaCha8Rng::seed_from_u64(size.pace.seed);
        for domain in 0..size.domains {
            for index in 0..size.workers {
                let pace = size.pace.draw(&mut pace_rng);
                deployment.add_worker(domain, index, pace).await?;
            }
            for index in 0..size.hosts {
                deployment.add_host(folder, domain, index).await?;
            }
        }
        deployment.add_links().await?;
        for host in &mut deployment.hosts {
            host.start(&deployment.program)?;
        }
        Ok(deployment)
    }

    async fn add_worker(
        &mut self,
        domain: usize,
        index: usize,
        pace: WorkerPace,
    ) -> std::io::Result<()> {
        let descriptor = WorkerDescriptor {
            id: format!("w-{domain}-{index}"),
            service: String::from("service-1"),
            zone: format!("domain-{domain}"),
            cpu_milli: WORKER_CPU_MILLI,
        };
        let worker = WorkerStandIn::with_pace(descriptor, self.recorder.clone(), pace);
        let proxy = LoopbackProxy::default();
        let any_port = SocketAddr::new(self.loopback.ip, 0);
        let server_address = worker.serve_at(any_port).await?;
        let address = proxy.serve(server_address).await?;
        let (heartbeat_worker, store) = (worker.clone(), self.store.clone());
        tokio::spawn(async move {
            loop {
                if !heartbeat_worker.is_down() {
                    store.put(
                        &heartbeat_worker.key(),
                        &heartbeat_worker.entry(address, "ready"),
                    );
                }
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        let (advanced_worker, crash_proxy) = (worker.clone(), proxy.clone());
        tokio::spawn(async move {
            let mut was_down = false;
            loop {
                advanced_worker.finish_due_runs();
                let is_down = advanced_worker.is_down();
                if is_down && !was_down {
                    crash_proxy.set_mode(ProxyMode::Refusing);
                    crash_proxy.reset_all();
                } else if was_down && !is_down {
                    crash_proxy.set_mode(ProxyMode::Open);
                }
                was_down = is_down;
                sleep(ADVANCE_INTERVAL).await;
            }
        });
        self.workers.push(SoakWorker {
            worker,
            proxy,
            address,
            domain,
            server_address,
        });
        Ok(())
    }

    async fn add_host(
        &mut self,
        folder: &Path,
        domain: usize,
        index: usize,
    ) -> std::io::Result<()> {
        let ip = self.loopback.ip;
        let store_view = StoreView::default();
        let view_address = store_view
            .serve(&self.store, SocketAddr::new(ip, 0))
            .await?;
        let store_proxy = LoopbackProxy::default();
        let proxy_address = store_proxy.serve(view_address).await?;
        let (caller_address, health_address, peer_address) = (
            self.free_port(ip)?,
            self.free_port(ip)?,
            self.free_port(ip)?,
        );
        let name = format!("host-{domain}-{index}");
        let settings = folder.join(format!("{name}.yaml"));
        let mut limits = json!({"cpu_share": 0.25});
        if let Some(ProcessLimits { memory_mb, max_fds }) = self.limits {
            limits["memory_mb"] = memory_mb.into();
            limits["max_fds"] = max_fds.into();
        }
        // The settings file is YAML, of which JSON is a subset.
        let text = json!({
            "node_name": name,
            "ip": ip.to_string(),
            "zone": format!("domain-{domain}"),
            "listen_addrs": {
                "front": caller_address.to_string(),
                "readiness": health_address.to_string(),
            },
            "internal_port_range": [peer_address.port(), peer_address.port()],
            "limits": limits,
            "platform": {"address": proxy_address.to_string()},
            "bounds": {"grace_s": 6, "max_hold_ms": 1_000, "remote_factor": 2, "evacuate_ms": EVACUATION_BOUND.as_millis() as u64},
        });
        File::create(&settings)?.write_all(text.to_string().as_bytes())?;
        self.hosts.push(HostProcess {
            caller_address,
            store_proxy,
            store_view,
            domain,
            peer_address,
            settings,
            log: folder.join(format!("{name}.log")),
            early_exits: Vec::new(),
            child: None,
        });
        Ok(())
    }

    /// Adds a link from each host to each other host and to each worker.
    async fn add_links(&mut self) -> std::io::Result<()> {
        for (source, host) in self.hosts.iter().enumerate() {
            for (index, other) in self.hosts.iter().enumerate() {
                if index == source {
                    continue;
                }
                let link = PairLink {
                    source,
                    target: LinkTarget::Host(index),
                    proxy: LoopbackProxy::default(),
                };
                let seen = self.links.add(link, other.peer_address).await?;
                host.store_view.replace_address(other.peer_address, seen);
            }
            for (index, worker) in self.workers.iter().enumerate() {
                let link = PairLink {
                    source,
                    target: LinkTarget::Worker(index),
                    // What the worker's own proxy is told holds for all hosts.
                    proxy: LoopbackProxy::with_parent(&worker.proxy),
                };
                let seen = self.links.add(link, worker.server_address).await?;
                host.store_view.replace_address(worker.address, seen);
            }
        }
        Ok(())
    }

    /// Returns the index of the host that the store names as the leader of a failure domain.
    #[must_use]
    pub fn leader(&self, domain: usize) -> Option<usize> {
        let claim = self.store.value(&format!("pools/domain-{domain}"))?;
        let address: SocketAddr = claim["address"].as_str()?.parse().ok()?;
        self.hosts
            .iter()
            .position(|host| host.peer_address == address)
    }

    /// Kills a host's process.
    pub fn kill_host(&mut self, host: usize) {
        self.links.host_went_down(host);
        self.hosts[host].kill();
    }

    /// Returns an address with a port from [`HOST_PORTS`] that was free when it was checked and that
    /// no other host of the deployment has.
    fn free_port(&mut self, ip: IpAddr) -> std::io::Result<SocketAddr> {
        let mut last_error = None;
        for _attempt in 0..PORT_ATTEMPTS {
            let port = rand::rng().random_range(HOST_PORTS);
            if self.host_ports.contains(&port) {
                continue;
            }
            match TcpListener::bind(SocketAddr::new(ip, port)) {
                Ok(listener) => {
                    self.host_ports.insert(port);
                    return listener.local_addr();
                }
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
    }

    /// Returns a message for every host whose process is not running. Call it only while every host
    /// is meant to run.
    pub fn find_stopped_hosts(&mut self) -> Vec<String> {
        let mut stopped = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            for exit in &host.early_exits {
                stopped.push(format!("host {index} ended by itself: {exit}"));
            }
            let status = host.child.as_mut().map(Child::try_wait);
            if !matches!(status, Some(Ok(None))) {
                stopped.push(format!("host {index} is not running: {status:?}"));
            }
        }
        stopped
    }

    /// Returns a message for every running host process that has gone over its limits.
    #[must_use]
    pub fn find_oversized_hosts(&self) -> Vec<String> {
        let Some(limits) = self.limits else {
            return Vec::new();
        };
        let mut oversized = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let Some((peak_kilobytes, descriptors)) = host.usage() else {
                continue;
            };
            if peak_kilobytes * 1_024 > limits.memory_mb * 1_000_000 {
                oversized.push(format!(
                    "host {index} has had {peak_kilobytes} kB resident of {} MB",
                    limits.memory_mb
                ));
            }
            if descriptors > limits.max_fds {
                oversized.push(format!(
                    "host {index} has {descriptors} descriptors of {}",
                    limits.max_fds
                ));
            }
        }
        oversized
    }

    /// Starts a host's process again after it was killed or has exited, unless it is running.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the process cannot be started.
    pub fn restart_host(&mut self, host: usize) -> std::io::Result<()> {
        if self.hosts[host].is_running() {
            return Ok(());
        }
        self.links.host_went_down(host);
        self.hosts[host].start(&self.program)
    }
}

impl HostProcess {
    fn start(&mut self, program: &Path) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let tuning = self.settings.with_extension("jsonc");
        File::create(&tuning)?.write_all(b"{\"metrics_port\": 0}")?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .arg("--tuning")
            .arg(&tuning)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the peak of the resident memory in kilobytes and the number of open descriptors, if
    /// the process is running and the system tells.
    fn usage(&self) -> Option<(u64, usize)> {
        let folder = Path::new("/proc").join(self.child.as_ref()?.id().to_string());
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kilobytes = peak.split_whitespace().next()?.parse().ok()?;
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count();
        Some((peak_kilobytes, descriptors))
    }

    /// Sends a signal to the process if it has been started and not yet reaped.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw)
            && let Err(error) = kill_process(pid, signal)
        {
            // The process may have exited just before.
            eprintln!("signal {signal:?} to {}: {error}", pid.as_raw_nonzero());
        }
    }

    /// Returns whether the process runs, and records it if the process has ended by itself.
    fn is_running(&mut self) -> bool {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => true,
            Some(status) => {
                self.early_exits.push(format!("{status:?}"));
                self.child = None;
                false
            }
            None => false,
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if self.is_running()
            && let Some(mut child) = self.child.take()
        {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits until the process exits. Returns whether it did so within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < deadline {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => sleep(Duration::from_millis(20)).await,
                _ => {
                    self.child = None;
                    return true;
                }
            }
        }
        false
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.kill();
    }
}

/// Builds the deployment configuration with the given version.
#[must_use]
pub fn build_configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "route-1",
            "host": ROUTE_HOST,
            "prefix": ROUTE_PREFIX,
            "kind": "non_idempotent",
            "timeout_ms": 1_500,
            "target_duration_ms": 60,
            "priority": 0,
            "service": "service-1",
            "attempts": 3,
            "stretch_factor": 1.6,
        }],
        "services": [{"name": "service-1"}],
        "limits": {"max_body_bytes": 262_144},
    })
}
