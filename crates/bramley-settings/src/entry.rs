//! Settings of the entry daemon.

use std::collections::HashSet;
use std::net::SocketAddr;

use bramley_core::queue::{QueuePolicyRegistry, register_enabled};
use serde::{Deserialize, Serialize};

use crate::load::ValidatedSettings;
use crate::validation::ValidationErrors;

/// Settings of one entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Host name, unique in its failure domain. Required.
    pub host: String,
    /// Name of the failure domain that the host belongs to. Required.
    pub failure_domain: String,
    /// Address of the HTTP service for callers and the load balancer. Required.
    pub caller_address: SocketAddr,
    /// Address at which other entry processes reach this one. Required. It can't be `0.0.0.0`,
    /// because it is advertised to the other processes.
    pub peer_address: SocketAddr,
    /// Address of the control service for operators.
    pub control_address: SocketAddr,
    /// Peer addresses of some other entry processes. The list may include the host's own address, so
    /// that all hosts can share one list.
    pub siblings: Vec<SocketAddr>,
    /// Address of the platform's key-value service and worker list. Required.
    pub platform_address: SocketAddr,
    /// Key under which the configuration is stored in the key-value service.
    pub configuration_key: String,
    /// Number of threads that serve requests.
    pub threads: u32,
    /// Limits on memory and request sizes.
    pub limits: EntryLimits,
    /// Intervals and timeouts.
    pub timing: EntryTiming,
    /// Names of the policies in use.
    pub policies: EntryPolicies,
    /// Log filter in the syntax of `env_logger`.
    pub log: String,
}

/// Limits on memory and request sizes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u32,
    /// Maximum number of open connections from callers.
    pub max_connections: u32,
    /// Maximum memory in bytes used for connections from callers and their requests.
    pub max_intake_bytes: u64,
    /// Maximum number of tasks in a job. The limit of a team may be lower.
    pub max_job_tasks: u32,
    /// Maximum number of tasks queued at the host.
    pub max_queued_tasks: u32,
    /// Maximum number of job outcomes kept until their tickets expire.
    pub max_kept_outcomes: u32,
    /// Maximum memory used for kept job outcomes in bytes.
    pub max_kept_bytes: u64,
    /// Maximum number of tickets issued in one block.
    pub max_ticket_block: u32,
    /// Lifetime of a ticket in milliseconds.
    pub ticket_lifetime_ms: u64,
}

/// Intervals and timeouts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryTiming {
    /// Interval between heartbeats to a sibling, in milliseconds.
    pub heartbeat_ms: u64,
    /// Interval between reads of the platform's worker list, in milliseconds.
    pub worker_list_poll_ms: u64,
    /// Time for which a planned stop waits for requests in flight, in milliseconds.
    pub stop_deadline_ms: u64,
    /// Duration of a loan of slots to a sibling, in milliseconds.
    pub loan_term_ms: u64,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
}

/// Names of registered policies. Without a name the default of the kernel is used.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryPolicies {
    /// Name of the queue policy, which determines the order of queued tasks.
    pub queue: Option<String>,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            host: String::new(),
            failure_domain: String::new(),
            caller_address: loopback(7_401),
            peer_address: loopback(7_402),
            control_address: loopback(7_403),
            siblings: Vec::new(),
            platform_address: loopback(7_400),
            configuration_key: String::from("bramley/configuration"),
            threads: 2,
            limits: EntryLimits::default(),
            timing: EntryTiming::default(),
            policies: EntryPolicies::default(),
            log: String::from("info"),
        }
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_connections: 4_096,
            max_intake_bytes: 256 * 1024 * 1024,
            max_job_tasks: 500,
            max_queued_tasks: 50_000,
            max_kept_outcomes: 200_000,
            max_kept_bytes: 256 * 1024 * 1024,
            max_ticket_block: 1_000,
            ticket_lifetime_ms: 120_000,
        }
    }
}

impl Default for EntryTiming {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            worker_list_poll_ms: 1_000,
            stop_deadline_ms: 15_000,
            loan_term_ms: 2_000,
            connect_timeout_ms: 300,
        }
    }
}

impl ValidatedSettings for EntrySettings {
    const REQUIRED_FIELDS: &'static [&'static str] = &[
        "host",
        "failure_domain",
        "caller_address",
        "peer_address",
        "platform_address",
    ];

    fn validate(&self, errors: &mut ValidationErrors) {
        errors.check_name("host", &self.host);
        errors.check_name("failure_domain", &self.failure_domain);
        errors.check_range("threads", u64::from(self.threads), 1, 256);
        self.check_addresses(errors);
        check_key(&self.configuration_key, errors);
        self.limits.validate(errors);
        self.timing.validate(self.limits.ticket_lifetime_ms, errors);
        self.policies.validate(errors);
    }
}

impl EntrySettings {
    fn check_addresses(&self, errors: &mut ValidationErrors) {
        if self.peer_address.ip().is_unspecified() {
            let problem = format!(
                "{} is not the address of a specific host",
                self.peer_address
            );
            let expected = "the address at which other hosts reach this host";
            errors.report("peer_address", problem, expected);
        }
        check_connectable("platform_address", self.platform_address, errors);
        self.check_own_addresses(errors);
        let mut seen = HashSet::new();
        for (index, sibling) in self.siblings.iter().enumerate() {
            let field = format!("siblings[{index}]");
            check_connectable(&field, *sibling, errors);
            if !seen.insert(sibling) {
                errors.report(
                    &field,
                    format!("duplicate address {sibling}"),
                    "each address once",
                );
            }
        }
    }

    fn check_own_addresses(&self, errors: &mut ValidationErrors) {
        let own = [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("control_address", self.control_address),
        ];
        for (index, (field, address)) in own.iter().enumerate() {
            // With port 0 the operating system assigns a free port, so there is no conflict.
            let is_duplicate = own[..index].iter().any(|(_, other)| other == address);
            if address.port() != 0 && is_duplicate {
                let problem = format!("{address} is used twice by this process");
                errors.report(field, problem, "another port");
            }
        }
    }
}

impl EntryLimits {
    fn validate(&self, errors: &mut ValidationErrors) {
        const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
        const MAX_KEPT_BYTES: u64 = 16 * 1024 * 1024 * 1024;
        const MAX_LIFETIME_MS: u64 = 3_600_000;
        let bounds = [
            (
                "max_body_bytes",
                u64::from(self.max_body_bytes),
                1_024,
                MAX_BODY_BYTES,
            ),
            (
                "max_connections",
                u64::from(self.max_connections),
                1,
                1_000_000,
            ),
            (
                "max_intake_bytes",
                self.max_intake_bytes,
                1_024,
                MAX_KEPT_BYTES,
            ),
            ("max_job_tasks", u64::from(self.max_job_tasks), 1, 10_000),
            (
                "max_queued_tasks",
                u64::from(self.max_queued_tasks),
                1,
                10_000_000,
            ),
            (
                "max_kept_outcomes",
                u64::from(self.max_kept_outcomes),
                1,
                10_000_000,
            ),
            ("max_kept_bytes", self.max_kept_bytes, 1_024, MAX_KEPT_BYTES),
            (
                "max_ticket_block",
                u64::from(self.max_ticket_block),
                1,
                100_000,
            ),
            (
                "ticket_lifetime_ms",
                self.ticket_lifetime_ms,
                1_000,
                MAX_LIFETIME_MS,
            ),
        ];
        for (field, value, min, max) in bounds {
            errors.check_range(&format!("limits.{field}"), value, min, max);
        }
        // The buffer of a body doubles as it grows.
        let largest_request = 2 * u64::from(self.max_body_bytes);
        if self.max_intake_bytes < largest_request {
            let problem = format!("{} is less than the largest request", self.max_intake_bytes);
            let expected = format!(
                "at least twice limits.max_body_bytes, which is {}",
                self.max_body_bytes
            );
            errors.report("limits.max_intake_bytes", problem, expected);
        }
        if self.max_queued_tasks < self.max_job_tasks {
            let problem = format!("{} is less than the largest job", self.max_queued_tasks);
            let expected = format!(
                "at least limits.max_job_tasks, which is {}",
                self.max_job_tasks
            );
            errors.report("limits.max_queued_tasks", problem, expected);
        }
    }
}

impl EntryTiming {
    fn validate(&self, ticket_lifetime_ms: u64, errors: &mut ValidationErrors) {
        let bounds = [
            ("heartbeat_ms", self.heartbeat_ms, 50, 10_000),
            ("worker_list_poll_ms", self.worker_list_poll_ms, 100, 60_000),
            ("stop_deadline_ms", self.stop_deadline_ms, 100, 600_000),
            ("loan_term_ms", self.loan_term_ms, 100, 60_000),
            ("connect_timeout_ms", self.connect_timeout_ms, 10, 10_000),
        ];
        for (field, value, min, max) in bounds {
            errors.check_range(&format!("timing.{field}"), value, min, max);
        }
        if self.loan_term_ms > ticket_lifetime_ms {
            let problem = format!(
                "{} is longer than the lifetime of a ticket",
                self.loan_term_ms
            );
            let expected =
                format!("at most limits.ticket_lifetime_ms, which is {ticket_lifetime_ms}");
            errors.report("timing.loan_term_ms", problem, expected);
        }
    }
}

impl EntryPolicies {
    fn validate(&self, errors: &mut ValidationErrors) {
        let Some(name) = &self.queue else {
            return;
        };
        let mut registry = QueuePolicyRegistry::default();
        register_enabled(&mut registry);
        let known: Vec<&str> = registry.iter().map(|policy| policy.name).collect();
        if !known.contains(&name.as_str()) {
            let problem = format!("{name:?} is not a registered queue policy");
            let expected = format!("one of {}", known.join(", "));
            errors.report("policies.queue", problem, expected);
        }
    }
}

fn check_connectable(field: &str, address: SocketAddr, errors: &mut ValidationErrors) {
    if address.port() == 0 || address.ip().is_unspecified() {
        let problem = format!("{address} cannot be connected to");
        errors.report(field, problem, "the IP address and port of another process");
    }
}

fn check_key(key: &str, errors: &mut ValidationErrors) {
    let is_valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if key.is_empty() || !key.bytes().all(is_valid_byte) {
        let problem = format!("{key:?} is not a valid key");
        let expected = "letters, digits, `-`, `_`, `.` and `/`, such as `bramley/configuration`";
        errors.report("configuration_key", problem, expected);
    }
}
