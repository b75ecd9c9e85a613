//! Metrics in the OpenMetrics text format.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bramley_core::kernel::snapshot::KernelDump;
use bramley_intake::IntakeReport;
use hyper::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use prost::Message;
use serde::Serialize;
use serde_json::Value;

use crate::shared::SharedState;

/// Prefix of all metrics.
const PREFIX: &str = "bramley";

/// Upper bound of the first response time bucket in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Number of response time buckets; each bound is twice the previous one.
const BUCKET_COUNT: u16 = 16;

/// Metrics updated by the request path and the control tasks.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Requests forwarded to the owner of their ticket.
    pub forwards: Counter,
    control_messages: Counter,
    control_bytes: Counter,
    control_seconds: Counter<f64, AtomicU64>,
    kernel_seconds: Counter<f64, AtomicU64>,
    job_seconds: Histogram,
    answered_ok: Counter,
    answered_error: Counter,
    connections: Gauge,
    intake_bytes: Gauge,
    connections_closed: Gauge,
    /// Held while metrics are encoded, so that requests encode them one at a time.
    encode_lock: Mutex<()>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            forwards: Counter::default(),
            control_messages: Counter::default(),
            control_bytes: Counter::default(),
            control_seconds: Counter::default(),
            kernel_seconds: Counter::default(),
            job_seconds: Histogram::new(exponential_buckets(
                FIRST_BUCKET_SECONDS,
                2.0,
                BUCKET_COUNT,
            )),
            answered_ok: Counter::default(),
            answered_error: Counter::default(),
            connections: Gauge::default(),
            intake_bytes: Gauge::default(),
            connections_closed: Gauge::default(),
            encode_lock: Mutex::new(()),
        }
    }
}

impl EntryMetrics {
    /// Counts a control message, that is, one between hosts that does not carry a caller's request.
    pub fn count_control_message(&self, message: &impl Message) {
        self.control_messages.inc();
        self.control_bytes.inc_by(message.encoded_len() as u64);
    }

    /// Adds time spent on membership and configuration.
    pub fn add_control_time(&self, time: Duration) {
        self.control_seconds.inc_by(time.as_secs_f64());
    }

    /// Adds time spent in the dispatch kernel.
    pub fn add_kernel_time(&self, time: Duration) {
        self.kernel_seconds.inc_by(time.as_secs_f64());
    }

    /// Records the response to a submission and the time it took.
    pub fn observe_job(&self, time: Duration, status: StatusCode) {
        self.job_seconds.observe(time.as_secs_f64());
        if status.is_success() {
            self.answered_ok.inc();
        } else {
            self.answered_error.inc();
        }
    }

    /// Records the state of callers' connections.
    pub fn record_intake(&self, report: IntakeReport) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.connections.set(gauge(report.open));
        self.intake_bytes.set(gauge(report.held_bytes));
        self.connections_closed.set(report.pressed().cast_signed());
    }

    /// Returns the number of control messages and their bytes.
    #[must_use]
    pub fn control_counts(&self) -> (u64, u64) {
        (self.control_messages.get(), self.control_bytes.get())
    }

    /// Encodes all metrics in the text format.
    #[must_use]
    pub fn encode(&self, dump: &KernelDump, state: &SharedState) -> String {
        let _encode_guard = self.encode_lock.lock();
        let mut registry = Registry::with_prefix(PREFIX);
        self.register_own(&mut registry);
        register_kernel(&mut registry, dump);
        register_configuration(&mut registry, state);
        register_membership(&mut registry, state);
        register_store(&mut registry, state);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("event=metrics_failed error=\"{error}\"");
        }
        text
    }

    fn register_own(&self, registry: &mut Registry) {
        registry.register(
            "forwards",
            "Requests handed to owners",
            self.forwards.clone(),
        );
        registry.register(
            "control_messages",
            "Messages of control, sent and received",
            self.control_messages.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control messages, sent and received",
            self.control_bytes.clone(),
        );
        registry.register(
            "control_seconds",
            "Time spent on membership and configuration",
            self.control_seconds.clone(),
        );
        registry.register(
            "kernel_seconds",
            "Time spent in the dispatch kernel",
            self.kernel_seconds.clone(),
        );
        registry.register(
            "job_seconds",
            "Time from a submission to its answer",
            self.job_seconds.clone(),
        );
        registry.register(
            "jobs_answered_ok",
            "Complete answers",
            self.answered_ok.clone(),
        );
        registry.register(
            "jobs_answered_error",
            "Other answers",
            self.answered_error.clone(),
        );
        registry.register(
            "connections",
            "Open connections from callers",
            self.connections.clone(),
        );
        registry.register(
            "intake_bytes",
            "Memory of callers' connections and requests",
            self.intake_bytes.clone(),
        );
        registry.register(
            "connections_closed",
            "Callers' connections closed or refused for lack of room",
            self.connections_closed.clone(),
        );
    }
}

fn register_kernel(registry: &mut Registry, dump: &KernelDump) {
    register_gauge(
        registry,
        "active_jobs",
        "Jobs not answered",
        dump.active_jobs as u64,
    );
    register_gauge(
        registry,
        "waiting_tasks",
        "Tasks not sent",
        dump.waiting_tasks as u64,
    );
    register_gauge(
        registry,
        "kept_outcomes",
        "Submissions in the books",
        dump.kept_outcomes as u64,
    );
    register_gauge(
        registry,
        "kept_bytes",
        "Memory of kept answers",
        dump.kept_bytes as u64,
    );
    register_gauge(
        registry,
        "busy_slots",
        "Slots in use",
        u64::from(dump.rights.busy),
    );
    register_gauge(
        registry,
        "idle_slots",
        "Slots at hand",
        u64::from(dump.rights.idle_plain),
    );
    register_gauge(
        registry,
        "ejected_workers",
        "Workers ejected",
        dump.health.ejected as u64,
    );
    let violations = dump.invariants.violations();
    register_gauge(
        registry,
        "invariant_violations",
        "Violated invariants",
        violations,
    );
    register_fields(registry, "", "Count of the dispatch kernel", &dump.counters);
}

fn register_configuration(registry: &mut Registry, state: &SharedState) {
    register_gauge(
        registry,
        "configuration_generation",
        "Generation of the configuration in force",
        state.configuration.load().generation,
    );
    register_fields(
        registry,
        "configuration_",
        "Offers of configurations by outcome",
        &state.control_counts.load().configuration,
    );
}

fn register_membership(registry: &mut Registry, state: &SharedState) {
    let counts = state.control_counts.load();
    register_gauge(
        registry,
        "membership_violations",
        "Violated invariants of the membership kernel",
        counts.membership.violations(),
    );
    register_fields(
        registry,
        "membership_",
        "Count of the membership kernel",
        &counts.membership,
    );
}

fn register_store(registry: &mut Registry, state: &SharedState) {
    let store = state.store.counters().snapshot();
    let counts = [
        ("store_reads", "Reads of the platform", store.reads),
        ("store_writes", "Writes to the platform", store.writes),
        ("store_watches", "Watches at the platform", store.watches),
        (
            "store_failures",
            "Calls to the platform without a usable answer",
            store.failures,
        ),
        (
            "store_bytes",
            "Bytes exchanged with the platform",
            store.sent_bytes + store.received_bytes,
        ),
    ];
    for (name, help, count) in counts {
        register_counter(registry, name, help, count);
    }
}

/// Registers a counter for each field of a serializable struct, named after the field.
fn register_fields(registry: &mut Registry, prefix: &str, help: &str, counters: &impl Serialize) {
    if let Ok(Value::Object(fields)) = serde_json::to_value(counters) {
        for (name, value) in fields {
            let count = value.as_u64().unwrap_or_default();
            register_counter(registry, &format!("{prefix}{name}"), help, count);
        }
    }
}

fn register_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, help, gauge);
}
