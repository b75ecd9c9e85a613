//! Simulated workers, which run tasks in virtual time.

use bramley_core::kernel::action::TaskStart;
use bramley_core::units::{AttemptId, TaskKey, UnixTime};

use crate::scenario::{FaultKind, ScenarioFault};

use super::driver::START_TIME_US;

/// Time after which a failing worker fails a task, in microseconds.
const FAILING_WORKER_RUN_US: u64 = 3_000;

/// Response of a worker to a start request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The connection failed.
    Unreachable,
    /// All slots are busy.
    Refused,
    /// The worker refused because it is leaving.
    Leaving,
    /// The task started and is going to end as planned.
    Started(PlannedEnd),
}

/// The planned end of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedEnd {
    /// Sequence number of the run on this worker.
    pub run: u64,
    /// Time of the end.
    pub at: UnixTime,
    /// Outcome that is reported to the host.
    pub outcome: RunOutcome,
}

/// Outcome of a run, as reported to the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The task finished.
    Finished,
    /// The task failed.
    Failed,
    /// The connection was lost.
    Lost,
}

#[derive(Debug)]
struct RunningTask {
    run: u64,
    host: usize,
    attempt: AttemptId,
    task: TaskKey,
    slots: u32,
}

/// A simulated worker.
#[derive(Debug)]
pub struct SimulatedWorker {
    position: usize,
    slots: u32,
    faults: Vec<ScenarioFault>,
    running: Vec<RunningTask>,
    last_run: u64,
}

/// Run time and result of a task, encoded in its payload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskParameters {
    /// Run time in microseconds.
    pub run_us: u64,
    /// Whether the task fails on any worker.
    pub fails: bool,
}

impl TaskParameters {
    /// Encodes the payload of a task; the job and the index make it unique.
    pub fn to_payload(self, job: usize, index: u32) -> String {
        format!("{} {} {job} {index}", self.run_us, u8::from(self.fails))
    }

    /// Parses a payload. Malformed payloads have a run time of 0.
    pub fn parse(payload: &str) -> Self {
        let mut parts = payload.split(' ');
        let run_us = parts.next().and_then(|part| part.parse().ok()).unwrap_or(0);
        let fails = parts.next() == Some("1");
        Self { run_us, fails }
    }
}

impl SimulatedWorker {
    /// Creates an idle worker with the scenario's faults that affect it.
    pub fn new(position: usize, slots: u32, faults: &[ScenarioFault]) -> Self {
        let affects_worker = |fault: &&ScenarioFault| {
            let is_worker_fault = matches!(
                fault.kind,
                FaultKind::WorkersFail
                    | FaultKind::WorkersSlow
                    | FaultKind::WorkersLost
                    | FaultKind::WorkersLeave
            );
            is_worker_fault && fault.affects(position)
        };
        Self {
            position,
            slots,
            faults: faults.iter().filter(affects_worker).cloned().collect(),
            running: Vec::new(),
            last_run: 0,
        }
    }

    /// Handles a start request of a host.
    pub fn start(&mut self, start: &TaskStart, host: usize, now: UnixTime) -> StartOutcome {
        if self.has_fault(FaultKind::WorkersLost, now) {
            return StartOutcome::Unreachable;
        }
        if self.has_fault(FaultKind::WorkersLeave, now) {
            return StartOutcome::Leaving;
        }
        let slots = start.accelerators.max(1);
        let busy: u32 = self.running.iter().map(|task| task.slots).sum();
        if busy + slots > self.slots {
            return StartOutcome::Refused;
        }
        self.last_run += 1;
        self.running.push(RunningTask {
            run: self.last_run,
            host,
            attempt: start.attempt,
            task: start.task,
            slots,
        });
        StartOutcome::Started(self.plan_end(&start.payload, now))
    }

    fn plan_end(&self, payload: &str, now: UnixTime) -> PlannedEnd {
        let parameters = TaskParameters::parse(payload);
        let failing = self.has_fault(FaultKind::WorkersFail, now);
        let run_us = if failing {
            FAILING_WORKER_RUN_US
        } else {
            parameters.run_us * u64::from(self.slow_factor(now))
        };
        let mut end = PlannedEnd {
            run: self.last_run,
            at: UnixTime::from_micros(now.as_micros() + run_us),
            outcome: if failing || parameters.fails {
                RunOutcome::Failed
            } else {
                RunOutcome::Finished
            },
        };
        for fault in &self.faults {
            let lost_at = UnixTime::from_micros(START_TIME_US + fault.from_ms * 1_000);
            if fault.kind == FaultKind::WorkersLost && lost_at > now && lost_at < end.at {
                end.at = lost_at;
                end.outcome = RunOutcome::Lost;
            }
        }
        end
    }

    /// Ends a run and returns the host and attempt to notify, or `None` if the run was stopped.
    pub fn finish(&mut self, run: u64) -> Option<(usize, AttemptId)> {
        let position = self.running.iter().position(|task| task.run == run)?;
        let task = self.running.swap_remove(position);
        Some((task.host, task.attempt))
    }

    /// Stops a task of a host and returns the attempt to report, if the task was running.
    pub fn stop(&mut self, host: usize, key: TaskKey) -> Option<AttemptId> {
        let matches = |task: &RunningTask| task.host == host && task.task == key;
        let position = self.running.iter().position(matches)?;
        Some(self.running.swap_remove(position).attempt)
    }

    fn has_fault(&self, kind: FaultKind, now: UnixTime) -> bool {
        let time_us = now.as_micros() - START_TIME_US;
        self.faults
            .iter()
            .any(|fault| fault.kind == kind && fault.is_active_for(self.position, time_us))
    }

    fn slow_factor(&self, now: UnixTime) -> u32 {
        let time_us = now.as_micros() - START_TIME_US;
        let is_active_slowdown = |fault: &&ScenarioFault| {
            fault.kind == FaultKind::WorkersSlow && fault.is_active_for(self.position, time_us)
        };
        self.faults
            .iter()
            .find(is_active_slowdown)
            .map_or(1, |fault| fault.amount.max(1))
    }
}
