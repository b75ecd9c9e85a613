//! Settings of the driver.

use std::net::IpAddr;
use std::time::Duration;

use bramley_core::names::{DomainName, HostName};
use bramley_intake::HostCapacity;
use bramley_pool::mechanism::{DisabledMechanisms, Mechanism};
use bramley_pool::settings::{ClaimSettings, PoolSettings, RelaySettings};
use bramley_settings::{ValidatedSettings, ValidationErrors};
use serde::{Deserialize, Serialize};

/// Identity, addresses and processor share of the host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Port for connections between processes.
    pub peer_port: u16,
    /// Processor share of the host in thousandths of a core.
    pub cpu_milli: u32,
    /// Speed of the host's network link in bytes per second.
    pub link_bytes_per_s: u64,
    /// Memory and descriptors of the process.
    pub capacity: HostCapacity,
}

/// All settings of the driver.
#[derive(Clone, Debug)]
pub struct DockSettings {
    /// Settings of the host.
    pub host: HostSettings,
    /// Settings of the claim.
    pub claim: ClaimSettings,
    /// Settings of the pool.
    pub pool: PoolSettings,
    /// Settings of the relay.
    pub relay: RelaySettings,
    /// Settings of connections between processes.
    pub link: LinkSettings,
    /// Delay between two reads of the worker entries. Each worker writes its entry every 1.5 s, so
    /// a watch without a delay would return once for each of them.
    pub worker_read_pause: Duration,
}

/// Settings of connections between processes.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// Interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a received frame after which a connection counts as lost.
    pub idle_timeout: Duration,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Delay before reconnecting after a connection was lost or could not be opened.
    pub reconnect_delay: Duration,
}

impl LinkSettings {
    /// Returns the silence after which callers of a connected relay may have lost their host: two
    /// missing heartbeats.
    #[must_use]
    pub const fn silence_limit(&self) -> Duration {
        self.heartbeat_interval.saturating_mul(2)
    }
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            idle_timeout: Duration::from_millis(700),
            connect_timeout: Duration::from_millis(300),
            reconnect_delay: Duration::from_millis(50),
        }
    }
}

/// Tuning settings of `bramley-dock`, read from a JSON file that operators write and that may
/// contain comments.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningFile {
    /// Most verbose level that is logged: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
    /// Routine lines logged per second before they are sampled by job.
    pub routine_lines_per_s: u32,
    /// Lines buffered for a slow reader before lines are dropped.
    pub log_buffer_lines: usize,
    /// Duration of a run lease in milliseconds.
    pub run_lease_ms: u64,
    /// Delay between two reads of the worker entries in milliseconds.
    pub worker_read_pause_ms: u64,
    /// Offset of the port for connections between processes within the port range of the host's
    /// settings file.
    pub peer_port_offset: u16,
    /// Port that serves metrics on the host's address; 0 for none.
    pub metrics_port: u16,
    /// Whether tasks of routes that slow each other down are kept on different workers where there
    /// is room.
    pub keeps_interfering_apart: bool,
    /// Names of mechanisms that are switched off, to measure what they are worth.
    pub disabled_mechanisms: Vec<String>,
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
            keeps_interfering_apart: false,
            disabled_mechanisms: Vec::new(),
        }
    }
}

impl TuningFile {
    /// Returns the mechanisms that are switched off.
    #[must_use]
    pub fn disabled(&self) -> DisabledMechanisms {
        let names = self.disabled_mechanisms.iter();
        names.filter_map(|name| name.parse().ok()).collect()
    }
}

impl ValidatedSettings for TuningFile {
    fn validate(&self, errors: &mut ValidationErrors) {
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            errors.report(
                "log_level",
                "unknown log level",
                "error, warn, info or debug",
            );
        }
        if !(100..=1_000).contains(&self.run_lease_ms) {
            errors.report(
                "run_lease_ms",
                "the run lease is out of range",
                "100 to 1000",
            );
        }
        for (name, position) in self.disabled_mechanisms.iter().zip(0_usize..) {
            if name.parse::<Mechanism>().is_err() {
                let path = format!("disabled_mechanisms[{position}]");
                let expected = format!("one of {}", Mechanism::names());
                errors.report(&path, format!("unknown mechanism `{name}`"), expected);
            }
        }
        if self.log_buffer_lines == 0 {
            errors.report(
                "log_buffer_lines",
                "the log buffer has no capacity",
                "at least 1",
            );
        }
    }
}
