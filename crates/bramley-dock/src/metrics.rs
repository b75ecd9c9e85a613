//! Metrics for operators in the OpenMetrics format.

use std::borrow::Cow;
use std::cell::{OnceCell, RefCell};
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_intake::{CloseCause, IntakeReport};
use bramley_pool::decision::Decision;
use bramley_pool::message::{PoolLoad, RouteAdmission};
use bramley_pool::pool::{PoolCounts, RoutePair};
use bramley_pool::refusal::Refusal;
use bramley_pool::relay::RefusalSource;
use bramley_pool::worker::{CallAnswer, WorkerCall, WorkerRequest};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::logging::LogBuffer;

/// Upper bound of the first bucket of time histograms in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Number of buckets of time histograms; each upper bound is twice the previous one.
const BUCKETS: u16 = 15;

type Labels<const N: usize> = [(&'static str, Cow<'static, str>); N];

/// Counter of the requests of one route with one status.
#[derive(Debug)]
struct RequestCounter {
    route: Box<str>,
    status: u16,
    counter: Counter,
}

/// Metrics of one process.
pub struct DockMetrics {
    registry: Registry,
    requests: Family<Labels<2>, Counter>,
    /// Counters of `requests` by route and status, found without creating labels.
    request_counters: RefCell<Vec<RequestCounter>>,
    request_seconds: Histogram,
    wait_seconds: Histogram,
    run_seconds: Histogram,
    calls: Family<Labels<2>, Counter>,
    call_seconds: Histogram,
    run_ends: Family<Labels<1>, Counter>,
    runs_lost: Family<Labels<1>, Counter>,
    tasks_given_up: Counter,
    jobs_returned: Counter,
    jobs_handed_over: Family<Labels<1>, Counter>,
    starts_at_former_pools: Counter,
    refusals: Family<Labels<1>, Counter>,
    refusals_by_state: Counter,
    early_refusals: Counter,
    refused_bodies: Family<Labels<1>, Counter>,
    connections: Family<Labels<1>, Gauge>,
    held_bytes: Family<Labels<1>, Gauge>,
    closed_connections: Family<Labels<2>, Gauge>,
    refused_connections: Family<Labels<1>, Gauge>,
    shed_requests: Counter,
    shed_permille: Gauge,
    queueing_delay_ms: Gauge,
    store_calls: Family<Labels<2>, Counter>,
    part_failures: Family<Labels<1>, Counter>,
    commands: Gauge,
    evacuated: Gauge,
    callers: Gauge,
    free_cpu_milli: Gauge,
    workers: Gauge,
    waiting_tasks: Gauge,
    slow_workers: Gauge,
    passed_permille: Family<Labels<1>, Gauge>,
    configuration_age_seconds: Gauge,
    list_age_seconds: Gauge,
    log_lines_dropped: Gauge,
    route_slowdown: Family<Labels<2>, Gauge<f64, AtomicU64>>,
    placements_kept_apart: Gauge,
    stolen_tasks: Family<Labels<1>, Gauge>,
    /// Log buffer whose dropped lines are counted; set once at startup.
    log: OnceCell<LogBuffer>,
}

impl fmt::Debug for DockMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DockMetrics").finish_non_exhaustive()
    }
}

impl Default for DockMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bramley_dock"),
            requests: Family::default(),
            request_counters: RefCell::default(),
            request_seconds: time_histogram(),
            wait_seconds: time_histogram(),
            run_seconds: time_histogram(),
            calls: Family::default(),
            call_seconds: time_histogram(),
            run_ends: Family::default(),
            runs_lost: Family::default(),
            tasks_given_up: Counter::default(),
            jobs_returned: Counter::default(),
            jobs_handed_over: Family::default(),
            starts_at_former_pools: Counter::default(),
            refusals: Family::default(),
            refusals_by_state: Counter::default(),
            early_refusals: Counter::default(),
            refused_bodies: Family::default(),
            connections: Family::default(),
            held_bytes: Family::default(),
            closed_connections: Family::default(),
            refused_connections: Family::default(),
            shed_requests: Counter::default(),
            shed_permille: Gauge::default(),
            queueing_delay_ms: Gauge::default(),
            store_calls: Family::default(),
            part_failures: Family::default(),
            commands: Gauge::default(),
            evacuated: Gauge::default(),
            callers: Gauge::default(),
            free_cpu_milli: Gauge::default(),
            workers: Gauge::default(),
            waiting_tasks: Gauge::default(),
            slow_workers: Gauge::default(),
            passed_permille: Family::default(),
            configuration_age_seconds: Gauge::default(),
            list_age_seconds: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            route_slowdown: Family::default(),
            placements_kept_apart: Gauge::default(),
            stolen_tasks: Family::default(),
            log: OnceCell::new(),
        };
        metrics.register();
        metrics
    }
}

impl DockMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by route and status",
            self.requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request to its answer",
            self.request_seconds.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time from a request to the start of a task",
            self.wait_seconds.clone(),
        );
        registry.register("run_seconds", "Run time of tasks", self.run_seconds.clone());
        registry.register(
            "worker_calls",
            "Calls to workers by kind and result",
            self.calls.clone(),
        );
        registry.register(
            "worker_call_seconds",
            "Time of starts and stops at workers",
            self.call_seconds.clone(),
        );
        registry.register("run_ends", "Ends of runs by kind", self.run_ends.clone());
        registry.register(
            "runs_lost",
            "Runs lost with their worker, by the evidence of a crash",
            self.runs_lost.clone(),
        );
        registry.register(
            "tasks_given_up",
            "Tasks not started again because too many workers were lost under them",
            self.tasks_given_up.clone(),
        );
        registry.register(
            "jobs_returned",
            "Begun jobs returned to their relays because of an evacuation",
            self.jobs_returned.clone(),
        );
        registry.register(
            "jobs_handed_over",
            "Jobs that the local relay submitted again although another pool may have started them, by reason",
            self.jobs_handed_over.clone(),
        );
        registry.register(
            "starts_at_former_pools",
            "Messages of pools that had started tasks of a job which is at another pool",
            self.starts_at_former_pools.clone(),
        );
        registry.register(
            "evacuated",
            "Whether the failure domain of the local pool, which is the leader, is evacuated",
            self.evacuated.clone(),
        );
        registry.register("refusals", "Refused jobs by reason", self.refusals.clone());
        registry.register(
            "refusals_by_state",
            "Jobs refused by the relay after their body was read, by the published state",
            self.refusals_by_state.clone(),
        );
        registry.register(
            "early_refusals",
            "Jobs refused by the relay before their body was read, by the published state",
            self.early_refusals.clone(),
        );
        registry.register(
            "refused_bodies",
            "Requests refused because of their body, by reason",
            self.refused_bodies.clone(),
        );
        registry.register(
            "connections",
            "Open inbound connections by interface",
            self.connections.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes that inbound connections hold, by interface",
            self.held_bytes.clone(),
        );
        registry.register(
            "closed_connections",
            "Inbound connections closed to keep a limit, by interface and cause",
            self.closed_connections.clone(),
        );
        registry.register(
            "refused_connections",
            "Inbound connections refused for lack of room, by interface",
            self.refused_connections.clone(),
        );
        registry.register(
            "shed_requests",
            "Requests refused because the host is short of processor time",
            self.shed_requests.clone(),
        );
        registry.register(
            "shed_permille",
            "Share of new requests that the host sheds",
            self.shed_permille.clone(),
        );
        registry.register(
            "queueing_delay_ms",
            "Shortest delay of the host's timer in the last window",
            self.queueing_delay_ms.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by kind and result",
            self.store_calls.clone(),
        );
        registry.register(
            "part_failures",
            "Parts of the process that failed and were restarted",
            self.part_failures.clone(),
        );
        registry.register(
            "commands",
            "Whether the process commands workers",
            self.commands.clone(),
        );
        registry.register("callers", "Callers that wait", self.callers.clone());
        registry.register(
            "free_cpu_milli",
            "Free processor share of commanded workers",
            self.free_cpu_milli.clone(),
        );
        registry.register("workers", "Usable commanded workers", self.workers.clone());
        registry.register(
            "waiting_tasks",
            "Tasks that wait for room",
            self.waiting_tasks.clone(),
        );
        registry.register(
            "slow_workers",
            "Commanded workers that take a quarter longer than usual or more",
            self.slow_workers.clone(),
        );
        registry.register(
            "passed_permille",
            "Share of each route's jobs that relays should submit",
            self.passed_permille.clone(),
        );
        registry.register(
            "configuration_age_seconds",
            "Time since the configuration came into force here",
            self.configuration_age_seconds.clone(),
        );
        registry.register(
            "list_age_seconds",
            "Time since the list of workers was read",
            self.list_age_seconds.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped since the start",
            self.log_lines_dropped.clone(),
        );
        registry.register(
            "route_slowdown",
            "Estimated factor on the run time of a route beside another one on the same worker",
            self.route_slowdown.clone(),
        );
        registry.register(
            "placements_kept_apart",
            "Placements for which another worker was chosen to keep interfering routes apart",
            self.placements_kept_apart.clone(),
        );
        registry.register(
            "stolen_tasks",
            "Waiting tasks released to, or taken over from, pools of other failure domains",
            self.stolen_tasks.clone(),
        );
    }

    /// Records a response to a caller.
    pub fn record_request(&self, route: &str, status: u16, time: Duration) {
        let mut known = self.request_counters.borrow_mut();
        let found = known
            .iter()
            .find(|known| known.status == status && *known.route == *route);
        if let Some(found) = found {
            found.counter.inc();
        } else {
            let labels = [
                ("route", Cow::from(String::from(route))),
                ("status", Cow::from(status.to_string())),
            ];
            let counter = self.requests.get_or_create_owned(&labels);
            counter.inc();
            known.push(RequestCounter {
                route: route.into(),
                status,
                counter,
            });
        }
        self.request_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn record_early_refusal(&self, source: RefusalSource) {
        match source {
            RefusalSource::PublishedState => self.early_refusals.inc(),
            RefusalSource::HostShedding => self.shed_requests.inc(),
        };
    }

    pub(crate) fn record_shedding(&self, delay: Duration, shed_permille: u32) {
        let delay = i64::try_from(delay.as_millis()).unwrap_or(i64::MAX);
        self.queueing_delay_ms.set(delay);
        self.shed_permille.set(i64::from(shed_permille));
    }

    /// Counts an unexpected end of a part of the process.
    pub fn record_part_failure(&self, part: &'static str) {
        self.part_failures
            .get_or_create(&[("part", Cow::from(part))])
            .inc();
    }

    /// Records a request that was refused because of its body.
    pub fn record_refused_body(&self, refusal: Refusal) {
        let labels = [("reason", Cow::from(refusal.answer().reason))];
        self.refused_bodies.get_or_create(&labels).inc();
    }

    /// Records the state of the inbound connections of an interface.
    pub fn record_intake(&self, interface: &'static str, report: &IntakeReport) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let label = [("interface", Cow::from(interface))];
        self.connections
            .get_or_create(&label)
            .set(gauge(report.open));
        self.held_bytes
            .get_or_create(&label)
            .set(gauge(report.held_bytes));
        self.refused_connections
            .get_or_create(&label)
            .set(report.refused.cast_signed());
        for cause in CloseCause::ALL {
            let labels = [
                ("interface", Cow::from(interface)),
                ("cause", Cow::from(cause.as_str())),
            ];
            let closed = report.closed_for(cause).cast_signed();
            self.closed_connections.get_or_create(&labels).set(closed);
        }
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, kind: &'static str, result: &'static str) {
        let labels = [("kind", Cow::from(kind)), ("result", Cow::from(result))];
        self.store_calls.get_or_create(&labels).inc();
    }

    pub(crate) fn record_worker_call(&self, call: &WorkerCall, answer: &CallAnswer, now: UnixTime) {
        let (kind, is_timed) = match call.request {
            WorkerRequest::Start { .. } => ("start", true),
            WorkerRequest::Stop { .. } => ("stop", true),
            WorkerRequest::Poll { .. } => ("look", false),
        };
        let result = match answer {
            CallAnswer::Accepted(_) => "accepted",
            CallAnswer::Report(_) => "report",
            CallAnswer::Refused(refusal, _) => refusal.as_str(),
            CallAnswer::ConnectionRefused => "connection_refused",
            CallAnswer::NotSent => "not_sent",
            CallAnswer::Unanswered => "unanswered",
        };
        let labels = [("kind", Cow::from(kind)), ("result", Cow::from(result))];
        self.calls.get_or_create(&labels).inc();
        if is_timed {
            self.call_seconds
                .observe(now.since(call.sent_at).as_secs_f64());
        }
    }

    pub(crate) fn record_decision(&self, decision: &Decision) {
        match decision {
            Decision::Placed { age, .. } => self.wait_seconds.observe(age.as_secs_f64()),
            Decision::RunEnded { end, ran, .. } => {
                let end_name = end.map_or("not_there", bramley_pool::worker::RunEnd::as_str);
                let labels = [("end", Cow::from(end_name))];
                self.run_ends.get_or_create(&labels).inc();
                self.run_seconds.observe(ran.as_secs_f64());
            }
            Decision::RunLost { evidence, .. } => {
                let labels = [("evidence", Cow::from(evidence.as_str()))];
                self.runs_lost.get_or_create(&labels).inc();
            }
            Decision::TaskGivenUp { .. } => {
                self.tasks_given_up.inc();
            }
            Decision::JobReturned { .. } => {
                self.jobs_returned.inc();
            }
            Decision::JobHandedOver { reason, .. } => {
                let labels = [("reason", Cow::from(reason.as_str()))];
                self.jobs_handed_over.get_or_create(&labels).inc();
            }
            Decision::ForeignStart { .. } => {
                self.starts_at_former_pools.inc();
            }
            Decision::RefusedByState { .. } => {
                self.refusals_by_state.inc();
            }
            Decision::JobRefused { refusal, .. } => {
                let labels = [("reason", Cow::from(refusal.answer().reason))];
                self.refusals.get_or_create(&labels).inc();
            }
            Decision::RefusalsCounted { refusal, count, .. } => {
                let labels = [("reason", Cow::from(refusal.answer().reason))];
                self.refusals
                    .get_or_create(&labels)
                    .inc_by(u64::from(*count));
            }
            _ => {}
        }
    }

    pub(crate) fn record_load(&self, load: PoolLoad, is_leader: bool, callers: usize) {
        self.commands.set(i64::from(is_leader));
        self.evacuated.set(i64::from(load.evacuated));
        self.callers.set(i64::try_from(callers).unwrap_or(i64::MAX));
        let free = i64::try_from(load.free_cpu_milli).unwrap_or(i64::MAX);
        self.free_cpu_milli.set(free);
        self.workers.set(i64::from(load.usable_workers));
        self.waiting_tasks.set(i64::from(load.waiting_tasks));
    }

    pub(crate) fn record_slow_workers(&self, count: usize) {
        self.slow_workers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_admissions(&self, admissions: &[RouteAdmission]) {
        for admission in admissions {
            let labels = [("route", Cow::from(String::from(admission.route.as_str())))];
            self.passed_permille
                .get_or_create(&labels)
                .set(i64::from(admission.pass_permille));
        }
    }

    /// Replaces the slowdowns of pairs of routes by those known now.
    pub(crate) fn record_interference(&self, pairs: &[RoutePair], kept_apart: u64) {
        self.route_slowdown.clear();
        for pair in pairs {
            let labels = [
                ("route", Cow::from(String::from(pair.route.as_str()))),
                ("beside", Cow::from(String::from(pair.neighbour.as_str()))),
            ];
            self.route_slowdown
                .get_or_create(&labels)
                .set(pair.slowdown);
        }
        let kept_apart = i64::try_from(kept_apart).unwrap_or(i64::MAX);
        self.placements_kept_apart.set(kept_apart);
    }

    /// Records the number of tasks that the local pool has released and taken over so far.
    pub(crate) fn record_stealing(&self, counts: PoolCounts) {
        for (direction, tasks) in [
            ("released", counts.tasks_released),
            ("taken", counts.tasks_taken),
        ] {
            let labels = [("direction", Cow::from(direction))];
            let tasks = i64::try_from(tasks).unwrap_or(i64::MAX);
            self.stolen_tasks.get_or_create(&labels).set(tasks);
        }
    }

    pub(crate) fn record_ages(&self, configuration: Duration, list: Duration) {
        let seconds = |age: Duration| i64::try_from(age.as_secs()).unwrap_or(i64::MAX);
        self.configuration_age_seconds.set(seconds(configuration));
        self.list_age_seconds.set(seconds(list));
    }

    /// Includes the number of lines dropped by `log` in the metrics.
    pub fn count_dropped_lines(&self, log: LogBuffer) {
        if self.log.set(log).is_err() {
            log::warn!("event=metrics_unreadable error=\"a log buffer is already registered\"");
        }
    }

    /// Encodes all metrics as text.
    #[must_use]
    pub fn encode(&self) -> String {
        if let Some(log) = self.log.get() {
            let dropped = i64::try_from(log.dropped_lines()).unwrap_or(i64::MAX);
            self.log_lines_dropped.set(dropped);
        }
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("event=metrics_unreadable error=\"{error}\"");
        }
        text
    }
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}
