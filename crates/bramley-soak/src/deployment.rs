//! Starts the programs and ends exactly these.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bramley_fleet_stand_in::ledger::RunLedger;
use bramley_fleet_stand_in::store::StoreStandIn;
use bramley_fleet_stand_in::worker::{WorkerPlace, WorkerStandIn};
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::proxy::LoopbackProxy;

/// Host name of the routes.
pub const ROUTE_HOST: &str = "soak.example";

/// Beginning of the paths of the routes.
pub const ROUTE_PREFIX: &str = "/jobs/";

/// Ports of hosts: below the range from which systems take those of outgoing connections.
const HOST_PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Tries to find a free port; most are free.
const PORT_TRIES: u32 = 50;

/// Time between two writes of a worker's entry.
const BEAT: Duration = Duration::from_millis(500);

/// Time between two rounds in which workers end what has ended.
const ADVANCE: Duration = Duration::from_millis(5);

/// Processor share of a worker in thousandths of a core.
const WORKER_CPU: u64 = 32_000;

/// Sizes of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSize {
    /// Failure domains.
    pub domains: usize,
    /// Hosts in each.
    pub hosts: usize,
    /// Workers in each.
    pub workers: usize,
}

/// A host's program and what is needed to start it again.
#[derive(Debug)]
pub struct HostProcess {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Its proxy to the store.
    pub store: LoopbackProxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A worker with its proxy.
#[derive(Debug)]
pub struct SoakWorker {
    /// The worker.
    pub worker: WorkerStandIn,
    /// Its proxy.
    pub proxy: LoopbackProxy,
    /// Address of the proxy.
    pub address: SocketAddr,
}

/// All processes and stand-ins of a soak.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub store: StoreStandIn,
    /// Workers.
    pub workers: Vec<SoakWorker>,
    /// Hosts.
    pub hosts: Vec<HostProcess>,
    /// What workers have run.
    pub ledger: RunLedger,
    program: PathBuf,
}

impl Deployment {
    /// Starts a deployment of the program `program`; logs go to `folder`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a port, file or process cannot be had.
    pub async fn start(
        program: impl Into<PathBuf>,
        folder: &Path,
        size: &DeploymentSize,
    ) -> std::io::Result<Self> {
        let store = StoreStandIn::default();
        let store_address = store.serve().await?;
        store.put("op/config", &configuration(1));
        let mut deployment = Self {
            store,
            workers: Vec::new(),
            hosts: Vec::new(),
            ledger: RunLedger::default(),
            program: program.into(),
        };
        for domain in 0..size.domains {
            for index in 0..size.workers {
                deployment.add_worker(domain, index).await?;
            }
            for index in 0..size.hosts {
                deployment
                    .add_host(folder, domain, index, store_address)
                    .await?;
            }
        }
        for host in &mut deployment.hosts {
            host.start(&deployment.program)?;
        }
        Ok(deployment)
    }

    async fn add_worker(&mut self, domain: usize, index: usize) -> std::io::Result<()> {
        let place = WorkerPlace {
            id: format!("w-{domain}-{index}"),
            service: String::from("service-1"),
            zone: format!("domain-{domain}"),
            cpu_milli: WORKER_CPU,
        };
        let worker = WorkerStandIn::new(place, self.ledger.clone());
        let proxy = LoopbackProxy::default();
        let address = proxy.serve(worker.serve().await?).await?;
        let (beating, store) = (worker.clone(), self.store.clone());
        tokio::spawn(async move {
            loop {
                store.put(&beating.key(), &beating.entry(address, "ready"));
                sleep(BEAT).await;
            }
        });
        let advancing = worker.clone();
        tokio::spawn(async move {
            loop {
                advancing.advance();
                sleep(ADVANCE).await;
            }
        });
        self.workers.push(SoakWorker {
            worker,
            proxy,
            address,
        });
        Ok(())
    }

    async fn add_host(
        &mut self,
        folder: &Path,
        domain: usize,
        index: usize,
        store_address: SocketAddr,
    ) -> std::io::Result<()> {
        let store = LoopbackProxy::default();
        let store_proxy = store.serve(store_address).await?;
        let ip: IpAddr = IpAddr::from([127, 0, 0, 1]);
        let (callers, health, peers) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let name = format!("host-{domain}-{index}");
        let settings = folder.join(format!("{name}.yaml"));
        // JSON is YAML as well.
        let text = json!({
            "node_name": name,
            "ip": ip.to_string(),
            "zone": format!("domain-{domain}"),
            "listen_addrs": {"front": callers.to_string(), "readiness": health.to_string()},
            "internal_port_range": [peers.port(), peers.port()],
            "limits": {"cpu_share": 0.25},
            "platform": {"address": store_proxy.to_string()},
            "bounds": {"grace_s": 6, "max_hold_ms": 1_000, "remote_factor": 2},
        });
        File::create(&settings)?.write_all(text.to_string().as_bytes())?;
        self.hosts.push(HostProcess {
            callers,
            store,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        });
        Ok(())
    }

    /// Returns the hosts whose process has ended by itself; all are to run when this is asked.
    pub fn ended_hosts(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let status = host.child.as_mut().map(Child::try_wait);
            if !matches!(status, Some(Ok(None))) {
                ended.push(format!("host {index} does not run: {status:?}"));
            }
        }
        ended
    }

    /// Starts a host's program again.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it cannot be started.
    pub fn restart(&mut self, host: usize) -> std::io::Result<()> {
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

    /// Sends a signal to the process, if it was started and not ended.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw)
            && let Err(error) = kill_process(pid, signal)
        {
            // The process may just have ended by itself.
            eprintln!("signal {signal:?} to {}: {error}", pid.as_raw_nonzero());
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits until the process ends; returns whether it did so in time.
    pub async fn wait(&mut self, limit: Duration) -> bool {
        let ends_at = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < ends_at {
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

/// Returns an address that was free a moment ago, at a port that no outgoing connection gets meanwhile.
fn free_port(ip: IpAddr) -> std::io::Result<SocketAddr> {
    let mut last = None;
    for _try in 0..PORT_TRIES {
        let port = rand::rng().random_range(HOST_PORTS);
        match TcpListener::bind(SocketAddr::new(ip, port)) {
            Ok(listener) => return listener.local_addr(),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

/// Returns the configuration of a version.
#[must_use]
pub fn configuration(version: u64) -> Value {
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
