//! Collects the results of a simulation and checks invariants.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::ExecutionStatus;
use bramley_core::job::JobAnswer;
use bramley_core::kernel::action::TaskStart;
use bramley_core::task::{TaskInput, TaskReport};
use bramley_core::units::{TaskKey, TicketSerial, UnixTime};
use hdrhistogram::Histogram;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::report::{RunReport, WastedMessages, WorkloadRow, fairness_index};
use crate::scenario::{FaultKind, Scenario};

/// Histograms hold integers, so ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// Largest recorded ratio, in thousandths.
const MAX_SCALED_RATIO: u64 = 100_000_000;

/// Time after which a failing worker is expected to receive few starts, in microseconds.
const EJECTION_GRACE_US: u64 = 2_000_000;

/// Time after which a leaving worker must not start new tasks, in microseconds since it was marked
/// as leaving.
const LEAVE_GRACE_US: u64 = 3_000_000;

/// State of a submitted job.
#[derive(Debug)]
pub struct TrackedJob {
    workload: usize,
    host: usize,
    serial: TicketSerial,
    sent_at: UnixTime,
    deadline: UnixTime,
    work_us: u64,
    longest_run_us: u64,
    payloads: Vec<Arc<str>>,
    cancelled: bool,
    answered: bool,
}

impl TrackedJob {
    /// Creates the state of a job that is being submitted.
    pub fn new(
        workload: usize,
        host: usize,
        serial: TicketSerial,
        sent_at: UnixTime,
        time_limit: Duration,
        run_times_us: &[u64],
        tasks: &[TaskInput],
    ) -> Self {
        Self {
            workload,
            host,
            serial,
            sent_at,
            deadline: sent_at.after(time_limit),
            work_us: run_times_us.iter().sum(),
            longest_run_us: run_times_us.iter().copied().max().unwrap_or(0),
            payloads: tasks.iter().map(|task| Arc::clone(&task.payload)).collect(),
            cancelled: false,
            answered: false,
        }
    }
}

#[derive(Debug)]
struct WorkloadMetrics {
    response_ratios: Histogram<u64>,
    deadline_ratios: Histogram<u64>,
    offered: u64,
    complete: u64,
    refused: u64,
    failed: u64,
    cancelled: u64,
    late: u64,
    offered_us: u64,
    useful_us: u64,
}

impl WorkloadMetrics {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_SCALED_RATIO, 3).expect("the bounds are valid");
        Self {
            response_ratios: histogram(),
            deadline_ratios: histogram(),
            offered: 0,
            complete: 0,
            refused: 0,
            failed: 0,
            cancelled: 0,
            late: 0,
            offered_us: 0,
            useful_us: 0,
        }
    }
}

/// Results of a simulation in progress.
#[derive(Debug)]
pub struct RunMetrics {
    /// Wasted messages by cause.
    pub wasted: WastedMessages,
    /// Heartbeats sent.
    pub control_messages: u64,
    measured_from: UnixTime,
    measured_until: UnixTime,
    total_slots: u64,
    scenario: Scenario,
    jobs: Vec<TrackedJob>,
    open: BTreeMap<usize, ()>,
    workloads: Vec<WorkloadMetrics>,
    starts: FxHashMap<(usize, TaskKey), u32>,
    sent: FxHashSet<(usize, TaskKey)>,
    reported_not_run: Vec<(usize, TaskKey)>,
    first_starts: u64,
    starts_in_failure: u64,
    starts_on_failing: u64,
    useful_starts: u64,
    violations: u64,
    idempotent: Vec<bool>,
}

impl RunMetrics {
    /// Creates empty metrics for a scenario.
    pub fn new(scenario: &Scenario, start_us: u64) -> Self {
        let at = |millis: u64| UnixTime::from_micros(start_us + millis * 1_000);
        Self {
            wasted: WastedMessages::default(),
            control_messages: 0,
            measured_from: at(scenario.warmup_ms),
            measured_until: at(scenario.duration_ms),
            total_slots: scenario.total_slots(),
            scenario: scenario.clone(),
            jobs: Vec::new(),
            open: BTreeMap::new(),
            workloads: scenario
                .workloads
                .iter()
                .map(|_| WorkloadMetrics::new())
                .collect(),
            starts: FxHashMap::default(),
            sent: FxHashSet::default(),
            reported_not_run: Vec::new(),
            first_starts: 0,
            starts_in_failure: 0,
            starts_on_failing: 0,
            useful_starts: 0,
            violations: 0,
            idempotent: scenario
                .workloads
                .iter()
                .map(|workload| workload.idempotent && workload.max_tasks == 1)
                .collect(),
        }
    }

    /// Returns the index of the next job.
    pub const fn next_job_index(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of unanswered jobs.
    pub fn open_job_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the index, host and ticket serial of each unanswered job.
    pub fn open(&self) -> Vec<(usize, usize, TicketSerial)> {
        let tracked = |job: &usize| (*job, self.jobs[*job].host, self.jobs[*job].serial);
        self.open.keys().map(tracked).collect()
    }

    /// Records that the caller cancelled a job.
    pub fn record_cancellation(&mut self, job: usize) {
        self.jobs[job].cancelled = true;
    }

    /// Records a job when its caller submits it.
    pub fn record_submission(&mut self, tracked: TrackedJob) {
        if self.is_measured(tracked.sent_at) {
            let workload = &mut self.workloads[tracked.workload];
            workload.offered += 1;
            workload.offered_us += tracked.work_us;
        }
        self.open.insert(self.jobs.len(), ());
        self.jobs.push(tracked);
    }

    fn is_measured(&self, time: UnixTime) -> bool {
        time >= self.measured_from && time < self.measured_until
    }

    /// Records that a host sent a task to a worker. Retries are counted in `record_start`.
    pub fn record_sent(&mut self, task: TaskKey, host: usize) {
        self.sent.insert((host, task));
    }

    /// Records that a worker started a task. A repeated start is a retry, which is a violation unless
    /// the task is idempotent.
    pub fn record_start(&mut self, start: &TaskStart, host: usize, worker: usize, now: UnixTime) {
        let count = self.starts.entry((host, start.task)).or_insert(0);
        *count += 1;
        if *count == 1 {
            self.first_starts += 1;
        } else {
            self.wasted.retries += 1;
            if !self.may_repeat(start) {
                self.violations += 1;
            }
        }
        self.check_worker_choice(worker, now);
    }

    fn may_repeat(&self, start: &TaskStart) -> bool {
        let workloads = self.scenario.workloads.iter().zip(&self.idempotent);
        workloads
            .filter(|(workload, _)| workload.class == start.class.as_str())
            .any(|(_, idempotent)| *idempotent)
    }

    /// Counts starts on failing workers and violations by starts on leaving workers.
    fn check_worker_choice(&mut self, worker: usize, now: UnixTime) {
        let time_us = now.as_micros() - super::driver::START_TIME_US;
        for fault in &self.scenario.faults {
            let from_us = fault.from_ms * 1_000;
            let until_us = fault.until_ms * 1_000;
            if fault.kind == FaultKind::WorkersFail
                && time_us >= from_us + EJECTION_GRACE_US
                && time_us < until_us
            {
                self.starts_in_failure += 1;
                self.starts_on_failing += u64::from(fault.affects(worker));
            }
            let after_leave = time_us >= from_us + LEAVE_GRACE_US && time_us < until_us;
            if fault.kind == FaultKind::WorkersLeave && after_leave && fault.affects(worker) {
                self.violations += 1;
            }
        }
    }

    /// Records that an answer reached its caller. A second answer to a job is a violation.
    pub fn record_answer(&mut self, token: u64, answer: &JobAnswer, now: UnixTime) {
        let job = usize::try_from(token).expect("tokens are job indices");
        if self.jobs[job].answered {
            self.violations += 1;
            return;
        }
        self.jobs[job].answered = true;
        self.open.remove(&job);
        match answer {
            JobAnswer::Complete(outputs) => self.record_completion(job, outputs, now),
            JobAnswer::Failed(failure) => {
                let refused =
                    failure.tasks.is_empty() && failure.execution == ExecutionStatus::NotRun;
                self.record_reported_not_run(job, failure.execution, &failure.tasks);
                self.record_failure(job, refused);
            }
        }
        self.jobs[job].payloads = Vec::new();
    }

    /// Records the tasks that an answer reports as not run, to check them against the starts.
    fn record_reported_not_run(
        &mut self,
        job: usize,
        execution: ExecutionStatus,
        reports: &[TaskReport],
    ) {
        let tracked = &self.jobs[job];
        for index in 0..tracked.payloads.len() {
            let is_reported = match reports.get(index) {
                Some(report) => *report == TaskReport::NotRun,
                None => execution == ExecutionStatus::NotRun,
            };
            if is_reported {
                let index = u32::try_from(index).expect("a job has fewer than 2^32 tasks");
                let serial = tracked.serial;
                self.reported_not_run
                    .push((tracked.host, TaskKey { serial, index }));
            }
        }
    }

    fn record_completion(&mut self, job: usize, outputs: &[Arc<str>], now: UnixTime) {
        if outputs != self.jobs[job].payloads.as_slice() {
            self.violations += 1;
        }
        let tracked = &self.jobs[job];
        let sent_measured = self.is_measured(tracked.sent_at);
        let now_measured = self.is_measured(now);
        let in_time = now <= tracked.deadline.after(Duration::from_millis(2));
        self.useful_starts += outputs.len() as u64;
        let workload = &mut self.workloads[tracked.workload];
        if now_measured && in_time {
            workload.useful_us += tracked.work_us;
        }
        if !sent_measured || tracked.cancelled {
            return;
        }
        workload.complete += 1;
        workload.late += u64::from(!in_time);
        let response_us = now.since(tracked.sent_at).as_micros() as f64;
        let ideal_us = tracked
            .longest_run_us
            .max(tracked.work_us / self.total_slots)
            .max(1) as f64;
        let span_us = tracked.deadline.since(tracked.sent_at).as_micros() as f64;
        record_ratio(&mut workload.response_ratios, response_us / ideal_us);
        record_ratio(&mut workload.deadline_ratios, response_us / span_us);
    }

    fn record_failure(&mut self, job: usize, refused: bool) {
        let tracked = &self.jobs[job];
        if !self.is_measured(tracked.sent_at) {
            return;
        }
        let workload = &mut self.workloads[tracked.workload];
        if tracked.cancelled {
            workload.cancelled += 1;
        } else if refused {
            workload.refused += 1;
        } else {
            workload.failed += 1;
            // An accepted job that failed counts as having missed its deadline.
            record_ratio(&mut workload.deadline_ratios, 1.01);
        }
    }

    /// Checks the reports that tasks did not run and creates the report.
    pub fn report(
        mut self,
        scenario: &Scenario,
        policy: &str,
        kernel_violations: u64,
    ) -> RunReport {
        for task in &self.reported_not_run {
            self.violations += u64::from(self.starts.contains_key(task));
        }
        let mut rows = Vec::new();
        for (settings, metrics) in scenario.workloads.iter().zip(&self.workloads) {
            let quantile =
                |q: f64| metrics.response_ratios.value_at_quantile(q) as f64 / RATIO_SCALE;
            rows.push(WorkloadRow {
                team: settings.team.clone(),
                class: settings.class.clone(),
                offered: metrics.offered,
                complete: metrics.complete,
                refused: metrics.refused,
                failed: metrics.failed,
                cancelled: metrics.cancelled,
                late: metrics.late,
                mean: metrics.response_ratios.mean() / RATIO_SCALE,
                p50: quantile(0.5),
                p90: quantile(0.9),
                p99: quantile(0.99),
                p999: quantile(0.999),
                deadline_p99: metrics.deadline_ratios.value_at_quantile(0.99) as f64 / RATIO_SCALE,
            });
        }
        let span_us = (scenario.duration_ms - scenario.warmup_ms.min(scenario.duration_ms)) * 1_000;
        let useful_us: u64 = self.workloads.iter().map(|metrics| metrics.useful_us).sum();
        let offered_us: u64 = self
            .workloads
            .iter()
            .map(|metrics| metrics.offered_us)
            .sum();
        let capacity_us = (span_us * self.total_slots) as f64;
        RunReport {
            scenario: scenario.name.clone(),
            policy: policy.to_owned(),
            seed: scenario.seed,
            rows,
            goodput_percent: 100.0 * useful_us as f64 / capacity_us,
            offered_percent: 100.0 * offered_us as f64 / capacity_us,
            useful_starts: self.useful_starts,
            first_starts: self.first_starts,
            wasted: self.wasted,
            control_messages: self.control_messages,
            fairness: fairness_index(&self.team_shares()),
            failing_share_percent: percent(self.starts_on_failing, self.starts_in_failure),
            unanswered: self.open.len() as u64,
            violations: self.violations + kernel_violations,
        }
    }

    /// Returns the fraction of each team's offered work that was useful.
    fn team_shares(&self) -> Vec<f64> {
        let mut teams: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for (settings, metrics) in self.scenario.workloads.iter().zip(&self.workloads) {
            let team = teams.entry(settings.team.as_str()).or_default();
            team.0 += metrics.useful_us;
            team.1 += metrics.offered_us;
        }
        let used = teams.values().filter(|(_, offered)| *offered > 0);
        used.map(|(useful, offered)| *useful as f64 / *offered as f64)
            .collect()
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn record_ratio(histogram: &mut Histogram<u64>, ratio: f64) {
    histogram.saturating_record((ratio * RATIO_SCALE) as u64);
}
