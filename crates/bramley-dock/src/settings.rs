//! Settings of the driver.

use std::net::IpAddr;
use std::time::Duration;

use bramley_core::names::{DomainName, HostName};
use bramley_pool::settings::{ClaimSettings, PoolSettings, RelaySettings};
use bramley_settings::{CheckedSettings, FaultList};
use serde::{Deserialize, Serialize};

/// Where a process runs.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the host.
    pub ip: IpAddr,
    /// Port for connections between processes.
    pub peer_port: u16,
    /// Share of a core in thousandths.
    pub cpu_milli: u32,
}

/// Everything that the driver needs to start.
#[derive(Clone, Debug)]
pub struct DockSettings {
    /// Where the process runs.
    pub host: HostSettings,
    /// Settings of the claim.
    pub claim: ClaimSettings,
    /// Settings of the pool.
    pub pool: PoolSettings,
    /// Settings of the relay.
    pub relay: RelaySettings,
    /// Settings of connections between processes.
    pub link: LinkSettings,
    /// Time between two reads of the workers' entries: each worker writes every 1.5 s, so that a
    /// watch without a pause would answer for each of them.
    pub worker_read_pause: Duration,
}

/// Settings of connections between processes.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// Time between two heartbeats.
    pub heartbeat_every: Duration,
    /// Time without any frame after which a connection counts as lost.
    pub silence_limit: Duration,
    /// Longest time to open a connection.
    pub connect_limit: Duration,
    /// Wait after a connection was lost or not made.
    pub reconnect_wait: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat_every: Duration::from_millis(200),
            silence_limit: Duration::from_millis(700),
            connect_limit: Duration::from_millis(300),
            reconnect_wait: Duration::from_millis(50),
        }
    }
}

/// The operators' own settings file of `bramley-dock`, JSON with comments.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningFile {
    /// Highest level of log lines: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
    /// Lines of routine that are written in a second before they are sampled by job.
    pub routine_lines_per_s: u32,
    /// Log lines that wait for a slow reader before lines are dropped.
    pub log_buffer_lines: usize,
    /// Length of a run lease in milliseconds.
    pub run_lease_ms: u64,
    /// Time between two reads of the workers' entries in milliseconds.
    pub worker_read_pause_ms: u64,
    /// Offset of the port for connections between processes in the range that the host's settings
    /// give.
    pub peer_port_offset: u16,
    /// Port of the metrics on the host's address; 0 for none.
    pub metrics_port: u16,
}

impl Default for TuningFile {
    fn default() -> Self {
        Self {
            log_level: String::from("debug"),
            routine_lines_per_s: 400,
            log_buffer_lines: 4_096,
            run_lease_ms: 800,
            worker_read_pause_ms: 400,
            peer_port_offset: 0,
            metrics_port: 9_464,
        }
    }
}

impl CheckedSettings for TuningFile {
    fn check(&self, faults: &mut FaultList) {
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            faults.report(
                "log_level",
                "the level is unknown",
                "error, warn, info or debug",
            );
        }
        if !(100..=1_000).contains(&self.run_lease_ms) {
            faults.report("run_lease_ms", "the lease is out of bounds", "100 to 1000");
        }
        if self.log_buffer_lines == 0 {
            faults.report("log_buffer_lines", "the buffer holds no line", "at least 1");
        }
    }
}
