//! Collects the figures of a run and checks what must always hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bramley_core::errors::ExecutionClaim;
use bramley_core::job::JobAnswer;
use bramley_core::kernel::action::TaskStart;
use bramley_core::task::{TaskInput, TaskReport};
use bramley_core::units::{TaskKey, TicketSerial, UnixTime};
use hdrhistogram::Histogram;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::report::{RunReport, WastedMessages, WorkloadRow, fairness_index};
use crate::scenario::{FaultKind, Scenario};

/// Ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// Largest recorded ratio, in thousandths.
const MAX_RATIO: u64 = 100_000_000;

/// Time after which a failing worker is expected to get few starts.
const EJECT_GRACE_US: u64 = 2_000_000;

/// Time after which a leaving worker may get no new task, counted from its sign.
const LEAVE_GRACE_US: u64 = 3_000_000;

/// What is remembered of a job until its answer.
#[derive(Debug)]
pub struct JobTrack {
    workload: usize,
    host: usize,
    serial: TicketSerial,
    sent_at: UnixTime,
    answer_by: UnixTime,
    work_us: u64,
    longest_us: u64,
    payloads: Vec<Arc<str>>,
    cancelled: bool,
    answered: bool,
}

impl JobTrack {
    /// Makes the track of a job that is being submitted.
    pub fn new(
        workload: usize,
        host: usize,
        serial: TicketSerial,
        sent_at: UnixTime,
        within: Duration,
        runs_us: &[u64],
        tasks: &[TaskInput],
    ) -> Self {
        Self {
            workload,
            host,
            serial,
            sent_at,
            answer_by: sent_at.after(within),
            work_us: runs_us.iter().sum(),
            longest_us: runs_us.iter().copied().max().unwrap_or(0),
            payloads: tasks.iter().map(|task| Arc::clone(&task.payload)).collect(),
            cancelled: false,
            answered: false,
        }
    }
}

#[derive(Debug)]
struct WorkloadTally {
    ratios: Histogram<u64>,
    deadline_use: Histogram<u64>,
    offered: u64,
    complete: u64,
    refused: u64,
    failed: u64,
    cancelled: u64,
    late: u64,
    offered_us: u64,
    useful_us: u64,
}

impl WorkloadTally {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_RATIO, 3).expect("the bounds are valid");
        Self {
            ratios: histogram(),
            deadline_use: histogram(),
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

/// Figures of a run while it goes on.
#[derive(Debug)]
pub struct RunTally {
    /// Wasted messages by cause.
    pub wasted: WastedMessages,
    /// Heartbeats.
    pub control_messages: u64,
    measured_from: UnixTime,
    measured_until: UnixTime,
    total_slots: u64,
    scenario: Scenario,
    jobs: Vec<JobTrack>,
    open: BTreeMap<usize, ()>,
    workloads: Vec<WorkloadTally>,
    starts: FxHashMap<(usize, TaskKey), u32>,
    sent: FxHashSet<(usize, TaskKey)>,
    not_run_claims: Vec<(usize, TaskKey)>,
    first_starts: u64,
    starts_in_failure: u64,
    starts_on_failing: u64,
    useful_starts: u64,
    violations: u64,
    idempotent: Vec<bool>,
}

impl RunTally {
    /// Makes the empty tally of a run.
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
                .map(|_| WorkloadTally::new())
                .collect(),
            starts: FxHashMap::default(),
            sent: FxHashSet::default(),
            not_run_claims: Vec::new(),
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

    /// Returns the number of the next job.
    pub const fn next_job(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs without an answer.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// Returns the jobs without an answer with their host and serial.
    pub fn open(&self) -> Vec<(usize, usize, TicketSerial)> {
        let track = |job: &usize| (*job, self.jobs[*job].host, self.jobs[*job].serial);
        self.open.keys().map(track).collect()
    }

    /// Records that the caller of a job wants it no more.
    pub fn cancel(&mut self, job: usize) {
        self.jobs[job].cancelled = true;
    }

    /// Enters a job at the time at which its caller sends it.
    pub fn submitted(&mut self, track: JobTrack) {
        if self.is_measured(track.sent_at) {
            let workload = &mut self.workloads[track.workload];
            workload.offered += 1;
            workload.offered_us += track.work_us;
        }
        self.open.insert(self.jobs.len(), ());
        self.jobs.push(track);
    }

    fn is_measured(&self, time: UnixTime) -> bool {
        time >= self.measured_from && time < self.measured_until
    }

    /// Records that a host sent a task; a repeated sending that started is a retry.
    pub fn sent(&mut self, task: TaskKey, host: usize) {
        self.sent.insert((host, task));
    }

    /// Records that a worker started a task.
    pub fn started(&mut self, start: &TaskStart, host: usize, worker: usize, now: UnixTime) {
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
        self.judge_worker_choice(worker, now);
    }

    fn may_repeat(&self, start: &TaskStart) -> bool {
        let workloads = self.scenario.workloads.iter().zip(&self.idempotent);
        workloads
            .filter(|(workload, _)| workload.class == start.class.as_str())
            .any(|(_, idempotent)| *idempotent)
    }

    fn judge_worker_choice(&mut self, worker: usize, now: UnixTime) {
        let time_us = now.as_micros() - super::driver::START_US;
        for fault in &self.scenario.faults {
            let from_us = fault.from_ms * 1_000;
            let until_us = fault.until_ms * 1_000;
            if fault.kind == FaultKind::WorkersFail
                && time_us >= from_us + EJECT_GRACE_US
                && time_us < until_us
            {
                self.starts_in_failure += 1;
                self.starts_on_failing += u64::from(fault.covers(worker));
            }
            let after_leave = time_us >= from_us + LEAVE_GRACE_US && time_us < until_us;
            if fault.kind == FaultKind::WorkersLeave && after_leave && fault.covers(worker) {
                self.violations += 1;
            }
        }
    }

    /// Records an answer that reached its caller.
    pub fn answered(&mut self, token: u64, answer: &JobAnswer, now: UnixTime) {
        let job = usize::try_from(token).expect("tokens are positions");
        if self.jobs[job].answered {
            self.violations += 1;
            return;
        }
        self.jobs[job].answered = true;
        self.open.remove(&job);
        match answer {
            JobAnswer::Complete(outputs) => self.complete(job, outputs, now),
            JobAnswer::Failed(failure) => {
                let refused =
                    failure.tasks.is_empty() && failure.execution == ExecutionClaim::NotRun;
                self.note_claims(job, failure.execution, &failure.tasks);
                self.fail(job, refused);
            }
        }
        self.jobs[job].payloads = Vec::new();
    }

    fn note_claims(&mut self, job: usize, execution: ExecutionClaim, reports: &[TaskReport]) {
        let track = &self.jobs[job];
        for index in 0..track.payloads.len() {
            let claimed = match reports.get(index) {
                Some(report) => *report == TaskReport::NotRun,
                None => execution == ExecutionClaim::NotRun,
            };
            if claimed {
                let index = u32::try_from(index).expect("jobs are small");
                let serial = track.serial;
                self.not_run_claims
                    .push((track.host, TaskKey { serial, index }));
            }
        }
    }

    fn complete(&mut self, job: usize, outputs: &[Arc<str>], now: UnixTime) {
        if outputs != self.jobs[job].payloads.as_slice() {
            self.violations += 1;
        }
        let track = &self.jobs[job];
        let sent_measured = self.is_measured(track.sent_at);
        let now_measured = self.is_measured(now);
        let in_time = now <= track.answer_by.after(Duration::from_millis(2));
        self.useful_starts += outputs.len() as u64;
        let workload = &mut self.workloads[track.workload];
        if now_measured && in_time {
            workload.useful_us += track.work_us;
        }
        if !sent_measured || track.cancelled {
            return;
        }
        workload.complete += 1;
        workload.late += u64::from(!in_time);
        let response_us = now.since(track.sent_at).as_micros() as f64;
        let ideal_us = track
            .longest_us
            .max(track.work_us / self.total_slots)
            .max(1) as f64;
        let span_us = track.answer_by.since(track.sent_at).as_micros() as f64;
        record(&mut workload.ratios, response_us / ideal_us);
        record(&mut workload.deadline_use, response_us / span_us);
    }

    fn fail(&mut self, job: usize, refused: bool) {
        let track = &self.jobs[job];
        if !self.is_measured(track.sent_at) {
            return;
        }
        let workload = &mut self.workloads[track.workload];
        if track.cancelled {
            workload.cancelled += 1;
        } else if refused {
            workload.refused += 1;
        } else {
            workload.failed += 1;
            // A job that was accepted and not answered in time counts as having missed it.
            record(&mut workload.deadline_use, 1.01);
        }
    }

    /// Makes the report of the run.
    pub fn report(
        mut self,
        scenario: &Scenario,
        policy: &str,
        kernel_violations: u64,
    ) -> RunReport {
        for claim in &self.not_run_claims {
            self.violations += u64::from(self.starts.contains_key(claim));
        }
        let mut rows = Vec::new();
        for (settings, tally) in scenario.workloads.iter().zip(&self.workloads) {
            let quantile = |q: f64| tally.ratios.value_at_quantile(q) as f64 / RATIO_SCALE;
            rows.push(WorkloadRow {
                team: settings.team.clone(),
                class: settings.class.clone(),
                offered: tally.offered,
                complete: tally.complete,
                refused: tally.refused,
                failed: tally.failed,
                cancelled: tally.cancelled,
                late: tally.late,
                mean: tally.ratios.mean() / RATIO_SCALE,
                p50: quantile(0.5),
                p90: quantile(0.9),
                p99: quantile(0.99),
                p999: quantile(0.999),
                deadline_p99: tally.deadline_use.value_at_quantile(0.99) as f64 / RATIO_SCALE,
            });
        }
        let span_us = (scenario.duration_ms - scenario.warmup_ms.min(scenario.duration_ms)) * 1_000;
        let useful_us: u64 = self.workloads.iter().map(|tally| tally.useful_us).sum();
        let offered_us: u64 = self.workloads.iter().map(|tally| tally.offered_us).sum();
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

    /// Returns for each team the part of its offered work that was useful.
    fn team_shares(&self) -> Vec<f64> {
        let mut teams: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for (settings, tally) in self.scenario.workloads.iter().zip(&self.workloads) {
            let team = teams.entry(settings.team.as_str()).or_default();
            team.0 += tally.useful_us;
            team.1 += tally.offered_us;
        }
        let used = teams.values().filter(|(_, offered)| *offered > 0);
        used.map(|(useful, offered)| *useful as f64 / *offered as f64)
            .collect()
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn record(histogram: &mut Histogram<u64>, ratio: f64) {
    histogram.saturating_record((ratio * RATIO_SCALE) as u64);
}
