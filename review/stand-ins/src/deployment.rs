//! A small deployment on loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bramley_fleet_stand_in::store::StoreStandIn;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::balancer::Balancer;
use crate::client::{PREFIX, ROUTE_HOST};
use crate::dock::{Dock, has_free_ports};
use crate::record::Record;
use crate::worker::Worker;

/// Service of the route.
pub const SERVICE: &str = "stand-buchung";

/// Port of each worker on an address of its own.
const WORKER_PORT: u16 = 8_170;

/// Store, machines and workers. Dropping it ends all processes and removes the temporary folder.
#[derive(Debug)]
pub struct Deployment {
    /// Store of the platform.
    pub store: StoreStandIn,
    /// Machines.
    pub docks: Vec<Dock>,
    /// Record.
    pub record: Record,
    root: PathBuf,
    folder: PathBuf,
    store_address: SocketAddr,
    /// First three bytes of the loopback network of this run.
    network: [u8; 3],
    next_host: u8,
}

impl Deployment {
    /// Starts the store, with one route whose latency objective has the given factor.
    pub async fn new(record: &Record, stretch_factor: f64) -> std::io::Result<Self> {
        let root = std::env::current_dir()?;
        if !root.join("target/release/bramley-dock").exists() {
            return Err(std::io::Error::other(
                "target/release/bramley-dock is not built",
            ));
        }
        let stamp = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |span| span.as_nanos() as u64);
        let mixed = stamp ^ (u64::from(std::process::id()) << 20);
        let folder = std::env::temp_dir().join(format!("review-{mixed:x}"));
        std::fs::create_dir_all(&folder)?;
        let network = [
            127,
            (mixed >> 8) as u8 % 200 + 20,
            (mixed >> 16) as u8 % 200 + 20,
        ];
        let store = StoreStandIn::default();
        let store_address = store.serve().await?;
        store.put("op/config", &configuration(stretch_factor));
        Ok(Self {
            store,
            docks: Vec::new(),
            record: record.clone(),
            root,
            folder,
            store_address,
            network,
            next_host: 1,
        })
    }

    /// Returns a loopback address on which the ports of a machine are free.
    fn next_ip(&mut self) -> std::io::Result<Ipv4Addr> {
        for _ in 0..50 {
            let [a, b, c] = self.network;
            let ip = Ipv4Addr::new(a, b, c, self.next_host);
            self.next_host += 1;
            if has_free_ports(ip) {
                return Ok(ip);
            }
        }
        Err(std::io::Error::other("no loopback address has free ports"))
    }

    /// Adds a machine and starts its process.
    pub fn add_dock(&mut self, name: &str, zone: &str, zones: &[&str]) -> std::io::Result<()> {
        let ip = self.next_ip()?;
        let mut dock = Dock::new(
            &self.root,
            &self.folder,
            name,
            zone,
            zones,
            ip,
            self.store_address,
            &self.record,
        )?;
        dock.start()?;
        self.docks.push(dock);
        Ok(())
    }

    /// Adds a worker that is down.
    pub fn add_worker(&mut self) -> std::io::Result<Worker> {
        let address = SocketAddr::new(IpAddr::V4(self.next_ip()?), WORKER_PORT);
        Ok(Worker::new(
            address,
            self.store.clone(),
            self.record.clone(),
        ))
    }

    /// Returns the platform's entry for all machines.
    pub fn balancer(&self) -> Balancer {
        let nodes = self
            .docks
            .iter()
            .map(|dock| (dock.name.clone(), dock.front, dock.readiness))
            .collect();
        Balancer::new(nodes, self.record.clone())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.docks.clear();
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs: {}", self.folder.display());
        } else {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

/// Waits until `balancer` has `count` machines in rotation.
pub async fn wait_for_rotation(
    balancer: &Balancer,
    count: usize,
    limit: Duration,
) -> std::io::Result<()> {
    let deadline = Instant::now() + limit;
    while balancer.in_rotation() != count {
        if Instant::now() >= deadline {
            return Err(std::io::Error::other(format!(
                "{} machines are in rotation, not {count}",
                balancer.in_rotation()
            )));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn configuration(stretch_factor: f64) -> Value {
    json!({
        "version": 4,
        "routes": [{
            "name": "day-allocation", "host": ROUTE_HOST, "prefix": PREFIX, "service": SERVICE,
            "kind": "non_idempotent", "timeout_ms": 60_000, "target_duration_ms": 60,
            "priority": 0, "attempts": 4, "stretch_factor": stretch_factor,
        }],
        "services": [{"name": SERVICE, "rejects_overload": true}],
        "limits": {"max_body_bytes": 262_144},
    })
}
