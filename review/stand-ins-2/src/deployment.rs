//! Small deployment: the project's program as separate processes, with stand-ins of the store, the
//! workers and the network between them.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bramley_fleet_stand_in::recorder::RunRecorder;
use bramley_fleet_stand_in::store::StoreStandIn;
use bramley_fleet_stand_in::view::StoreView;
use bramley_fleet_stand_in::worker::{WorkerDescriptor, WorkerStandIn};
use bramley_soak::proxy::{LoopbackProxy, ProxyMode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::client::{ClientOutcome, ClientRequest, ROUTE_HOST, ROUTE_PREFIX, send};
use crate::record::CaseRecord;

/// Zone of the machines in deployments of one zone.
pub const ZONE: &str = "muenchen";

/// Another zone.
pub const OTHER_ZONE: &str = "rosenheim";

/// Machines of one zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneSize<'a> {
    /// Name of the zone.
    pub zone: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Label of the kind of each worker.
    pub kinds: &'a [&'static str],
}

/// Service of the workers.
const SERVICE: &str = "stand-buchung";

/// Interval at which a worker writes its entry, as the settings state.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Silence after which the store removes a worker's entry: three heartbeat intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);

/// Interval at which workers end runs whose time is up.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(2);

/// Time within which the hosts have to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// First ports of the hosts, below the range of ephemeral ports. Each host has an IP address of its
/// own.
const CALLER_PORT: u16 = 8_161;
const HEALTH_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;

/// Host process.
#[derive(Debug)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: &'static str,
    /// Address for clients.
    pub caller_address: SocketAddr,
    health_address: SocketAddr,
    peer_address: SocketAddr,
    /// Link to the store.
    pub store_link: LoopbackProxy,
    /// Links to the other hosts, by their index.
    pub host_links: Vec<Option<LoopbackProxy>>,
    /// Links to the workers, by their index.
    pub worker_links: Vec<LoopbackProxy>,
    child: Child,
}

/// Worker with its heartbeat.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// The stand-in.
    pub stand_in: WorkerStandIn,
    /// Address that the entry states.
    pub address: SocketAddr,
    /// Link from all hosts.
    pub link: LoopbackProxy,
    /// Whether it reaches the store.
    reaches_store: Arc<AtomicBool>,
    written_at: Arc<Mutex<Option<Instant>>>,
    /// Label of its kind.
    kind: Arc<Mutex<&'static str>>,
    store: StoreStandIn,
}

impl Worker {
    /// Cuts the worker off from the store, or ends the cut.
    pub fn set_reaches_store(&self, reaches: bool) {
        self.reaches_store.store(reaches, Ordering::SeqCst);
    }

    /// Sets the label of the worker's kind for its next entry.
    pub fn set_kind(&self, kind: &'static str) {
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner) = kind;
    }

    /// Returns the label of the worker's kind.
    pub fn kind(&self) -> &'static str {
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the entry to the store.
    pub fn write_entry(&self) {
        let mut entry = self.stand_in.entry(self.address, "ready");
        entry["labels"] = json!([self.kind(), "r1"]);
        self.store.put(&self.stand_in.key(), &entry);
        let mut written_at = self
            .written_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *written_at = Some(Instant::now());
    }

    fn remove_lapsed_entry(&self) {
        let mut written_at = self
            .written_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if written_at.is_some_and(|at| at.elapsed() > ENTRY_LIFETIME) {
            *written_at = None;
            self.store.remove(&self.stand_in.key());
        }
    }

    /// Writes the entry regularly, ends due runs and removes the entry after a silence.
    async fn live(self, offset: Duration) {
        let mut beat_at = Instant::now() + offset;
        loop {
            self.stand_in.finish_due_runs();
            if Instant::now() >= beat_at {
                beat_at += HEARTBEAT;
                if self.reaches_store.load(Ordering::SeqCst) {
                    self.write_entry();
                }
            }
            self.remove_lapsed_entry();
            sleep(ADVANCE_INTERVAL).await;
        }
    }
}

/// The deployment. Dropping it ends its processes.
#[derive(Debug)]
pub struct Deployment {
    /// Store.
    pub store: StoreStandIn,
    /// Workers.
    pub workers: Vec<Worker>,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// All runs.
    pub recorder: RunRecorder,
    /// What was sent, answered and run.
    pub record: CaseRecord,
    folder: PathBuf,
}

impl Deployment {
    /// Starts a deployment and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns what has kept the deployment from starting.
    pub async fn start(
        folder: PathBuf,
        repository: PathBuf,
        zones: &[ZoneSize<'_>],
    ) -> Result<Self, String> {
        let store = StoreStandIn::default();
        store.put("op/config", &configuration());
        let recorder = RunRecorder::default();
        let record = CaseRecord::default();
        let host_zones: Vec<&'static str> = zones
            .iter()
            .flat_map(|size| std::iter::repeat_n(size.zone, size.hosts))
            .collect();
        let worker_kinds: Vec<(&'static str, &'static str)> = zones
            .iter()
            .flat_map(|size| size.kinds.iter().map(|kind| (size.zone, *kind)))
            .collect();
        let network = free_network(host_zones.len())?;
        let mut workers = Vec::new();
        for (index, (zone, kind)) in worker_kinds.iter().enumerate() {
            let worker = start_worker(index, zone, kind, &store, &recorder);
            let worker = worker.await.map_err(text)?;
            let offset = HEARTBEAT * u32::try_from(index).unwrap_or(0)
                / u32::try_from(worker_kinds.len()).unwrap_or(1);
            tokio::spawn(worker.clone().live(offset));
            workers.push(worker);
        }
        let ips: Vec<IpAddr> = (0..host_zones.len())
            .map(|index| {
                let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
                IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, last))
            })
            .collect();
        let mut started = Vec::new();
        for (index, zone) in host_zones.iter().enumerate() {
            let place = HostPlace {
                index,
                zone,
                ips: &ips,
            };
            let host = start_host(place, &workers, &store, &folder, &repository);
            started.push(host.await.map_err(text)?);
        }
        let deployment = Self {
            store,
            workers,
            hosts: started,
            recorder,
            record,
            folder,
        };
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let limit = Instant::now() + READY_LIMIT;
        while Instant::now() < limit {
            let mut ready = 0;
            for host in &self.hosts {
                ready += usize::from(is_ready(host.health_address).await);
            }
            let is_led = self
                .hosts
                .iter()
                .all(|host| self.leader(host.zone).is_some());
            if ready == self.hosts.len() && is_led {
                // The entries of all workers are read and their runs are known by then.
                sleep(HEARTBEAT).await;
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(String::from("the hosts did not get ready"))
    }

    /// Returns the index of the host that the store names as the holder of a zone's claim.
    #[must_use]
    pub fn leader(&self, zone: &str) -> Option<usize> {
        let claim = self.store.value(&format!("pools/{zone}"))?;
        let address: SocketAddr = claim["address"].as_str()?.parse().ok()?;
        self.hosts
            .iter()
            .position(|host| host.peer_address == address)
    }

    /// Sends a request to a host and records it.
    pub async fn send(&self, host: usize, request: ClientRequest) -> ClientOutcome {
        let target = &self.hosts[host];
        let what = format!("{} {}", request.method, request.job);
        self.record
            .note(format!("client sends {what} to {}", target.name));
        let outcome = send(target.caller_address, request).await;
        let answer = match &outcome.response {
            Some((status, body)) => format!("{status} {body}"),
            None => String::from("no response"),
        };
        self.record.note_at(
            outcome.ended_at,
            format!("client has {answer} to {what} from {}", target.name),
        );
        outcome
    }

    /// Copies the log of each host to the folder `to`.
    pub fn keep_logs(&self, to: &std::path::Path) {
        for host in &self.hosts {
            let name = format!("{}.log", host.name);
            let _copied = std::fs::copy(self.folder.join(&name), to.join(&name));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _killed = host.child.kill();
            let _reaped = host.child.wait();
        }
    }
}

impl Host {
    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns why the signal was not sent.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let process = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let process = process.ok_or("the process has no identifier")?;
        kill_process(process, signal).map_err(text)
    }
}

/// Sets the mode of links.
pub fn set_modes<'a>(links: impl IntoIterator<Item = &'a LoopbackProxy>, mode: ProxyMode) {
    for link in links {
        link.set_mode(mode);
    }
}

async fn start_worker(
    index: usize,
    zone: &'static str,
    kind: &'static str,
    store: &StoreStandIn,
    recorder: &RunRecorder,
) -> std::io::Result<Worker> {
    let name = format!("i-{index:08x}");
    let descriptor = WorkerDescriptor {
        id: name.clone(),
        service: String::from(SERVICE),
        zone: String::from(zone),
        cpu_milli: 32_000,
    };
    let stand_in = WorkerStandIn::new(descriptor, recorder.clone());
    let server = stand_in.serve().await?;
    let link = LoopbackProxy::default();
    let address = link.serve(server).await?;
    let worker = Worker {
        name,
        stand_in,
        address,
        link,
        reaches_store: Arc::new(AtomicBool::new(true)),
        written_at: Arc::default(),
        kind: Arc::new(Mutex::new(kind)),
        store: store.clone(),
    };
    worker.write_entry();
    Ok(worker)
}

/// Place of a host among the others.
#[derive(Clone, Copy, Debug)]
struct HostPlace<'a> {
    index: usize,
    zone: &'static str,
    ips: &'a [IpAddr],
}

async fn start_host(
    place: HostPlace<'_>,
    workers: &[Worker],
    store: &StoreStandIn,
    folder: &std::path::Path,
    repository: &std::path::Path,
) -> std::io::Result<Host> {
    let HostPlace { index, zone, ips } = place;
    let ip = ips[index];
    let view = StoreView::default();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let store_link = LoopbackProxy::default();
    let store_address = store_link.serve(view.serve(store, any_port).await?).await?;
    let mut host_links = Vec::new();
    for other in ips {
        if *other == ip {
            host_links.push(None);
            continue;
        }
        let link = LoopbackProxy::default();
        let server = SocketAddr::new(*other, PEER_PORT);
        view.replace_address(server, link.serve(server).await?);
        host_links.push(Some(link));
    }
    let mut worker_links = Vec::new();
    for worker in workers {
        let link = LoopbackProxy::default();
        view.replace_address(worker.address, link.serve(worker.address).await?);
        worker_links.push(link);
    }
    let name = format!("edge-{zone}-{}", index + 1);
    let address = |port| SocketAddr::new(ip, port);
    let settings = settings(&name, zone, ip, store_address);
    let path = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, settings.to_string())?;
    let log = File::create(folder.join(format!("{name}.log")))?;
    // The command of deploy/system.toml.
    let child = Command::new(repository.join("target/release/bramley-dock"))
        .args(["--tuning", "deploy/dock.jsonc"])
        .current_dir(repository)
        .env("BRAMLEYDOCK_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Host {
        name,
        zone,
        caller_address: address(CALLER_PORT),
        health_address: address(HEALTH_PORT),
        peer_address: address(PEER_PORT),
        store_link,
        host_links,
        worker_links,
        child,
    })
}

/// Returns the settings file of a host, as DEPLOY.md shows it. JSON is a subset of YAML.
fn settings(name: &str, zone: &str, ip: IpAddr, store_address: SocketAddr) -> Value {
    let at = |port| SocketAddr::new(ip, port).to_string();
    json!({
        "node_name": name,
        "role": "dock",
        "machine_class": "edge",
        "serves": ["edge"],
        "ip": ip.to_string(),
        "zone": zone,
        "region": "bayern-sued",
        "zones": {ZONE: "bayern-sued", OTHER_ZONE: "bayern-sued"},
        "listen_addrs": {"front": at(CALLER_PORT), "readiness": at(HEALTH_PORT)},
        "internal_port_range": [PEER_PORT, PEER_PORT + 15],
        "seeds": [],
        "bootstrap": true,
        "limits": {
            "cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
            "link_mbps": 1000.0, "disk_mb": 0,
        },
        "discovery": "platform",
        "entry_mode": "vip",
        "heartbeat_ms": 1_500,
        "bounds": {
            "contact_ms": 3_000, "ack_ms": 4_000, "drain_ms": 2_000, "grace_s": 6,
            "config_apply_ms": 2_000, "max_hold_ms": 1_000, "stop_grace_ms": 50,
            "cancel_ms": 3_000, "remote_factor": 2, "resend_ms": 1_300,
        },
        "commands": "direct",
        "platform": {
            "address": store_address.to_string(), "form": "kv", "writes_per_s": 400,
            "reads_per_s": 2_000, "history_s": 20, "value_bytes": 1_048_576, "min_ttl_ms": 1_000,
        },
    })
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "pitch", "host": ROUTE_HOST, "prefix": ROUTE_PREFIX, "kind": "non_idempotent",
            "timeout_ms": 1_500, "target_duration_ms": 60, "priority": 0, "service": SERVICE,
            "attempts": 2, "stretch_factor": 1.6,
        }],
        "services": [{"name": SERVICE, "rejects_overload": true}],
        "limits": {"max_body_bytes": 262_144},
    })
}

async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut stream) = tokio::net::TcpStream::connect(address).await else {
        return false;
    };
    let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut response = Vec::new();
    let _read = stream.read_to_end(&mut response).await;
    response.starts_with(b"HTTP/1.1 200")
}

/// Returns the middle bytes of loopback addresses on which the ports of the hosts are free.
fn free_network(hosts: usize) -> Result<(u8, u8), String> {
    let process = std::process::id();
    for attempt in 0..200_u32 {
        let draw = process
            .wrapping_mul(31)
            .wrapping_add(attempt.wrapping_mul(7_919));
        let (second, third) = (2 + (draw % 250) as u8, 1 + ((draw / 250) % 250) as u8);
        let is_free = (0..hosts).all(|index| {
            let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
            let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, last));
            [CALLER_PORT, HEALTH_PORT, PEER_PORT, 9_464]
                .iter()
                .all(|port| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok())
        });
        if is_free {
            return Ok((second, third));
        }
    }
    Err(String::from("no loopback addresses with free ports"))
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
