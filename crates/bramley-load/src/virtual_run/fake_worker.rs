//! A worker that runs tasks in virtual time.

use bramley_core::kernel::action::TaskStart;
use bramley_core::units::{AttemptId, TaskKey, UnixTime};

use crate::scenario::{FaultKind, ScenarioFault};

use super::driver::START_US;

/// Time that a failing worker takes for a task.
const FAILING_RUN_US: u64 = 3_000;

/// What a worker does with a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartVerdict {
    /// No connection is possible.
    Unreachable,
    /// All slots are busy.
    Refused,
    /// The worker is leaving and refuses.
    Leaving,
    /// The task runs and ends at the stated time.
    Runs(RunEnd),
}

/// How and when a run ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunEnd {
    /// Number of the run on this worker.
    pub run: u64,
    /// Time of the end.
    pub at: UnixTime,
    /// What the host learns.
    pub outcome: RunOutcome,
}

/// What a host learns of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The task ran to its end.
    Finished,
    /// The task failed.
    Failed,
    /// The connection broke.
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

/// A worker with a number of slots.
#[derive(Debug)]
pub struct FakeWorker {
    position: usize,
    slots: u32,
    faults: Vec<ScenarioFault>,
    running: Vec<RunningTask>,
    last_run: u64,
}

/// Run time and fate of a task, as its payload states them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PayloadPlan {
    /// Run time in microseconds.
    pub run_us: u64,
    /// Whether the task fails wherever it runs.
    pub fails: bool,
}

impl PayloadPlan {
    /// Writes the payload of a task of a job.
    pub fn to_payload(self, job: usize, index: u32) -> String {
        format!("{} {} {job} {index}", self.run_us, u8::from(self.fails))
    }

    /// Reads a payload; an unreadable one runs for no time.
    pub fn parse(payload: &str) -> Self {
        let mut parts = payload.split(' ');
        let run_us = parts.next().and_then(|part| part.parse().ok()).unwrap_or(0);
        let fails = parts.next() == Some("1");
        Self { run_us, fails }
    }
}

impl FakeWorker {
    /// Makes an idle worker with those faults of a scenario that concern it.
    pub fn new(position: usize, slots: u32, faults: &[ScenarioFault]) -> Self {
        let concerns = |fault: &&ScenarioFault| {
            let of_workers = matches!(
                fault.kind,
                FaultKind::WorkersFail
                    | FaultKind::WorkersSlow
                    | FaultKind::WorkersLost
                    | FaultKind::WorkersLeave
            );
            of_workers && fault.covers(position)
        };
        Self {
            position,
            slots,
            faults: faults.iter().filter(concerns).cloned().collect(),
            running: Vec::new(),
            last_run: 0,
        }
    }

    /// Takes a start and tells what comes of it.
    pub fn start(&mut self, start: &TaskStart, host: usize, now: UnixTime) -> StartVerdict {
        if self.has(FaultKind::WorkersLost, now) {
            return StartVerdict::Unreachable;
        }
        if self.has(FaultKind::WorkersLeave, now) {
            return StartVerdict::Leaving;
        }
        let slots = start.accelerators.max(1);
        let busy: u32 = self.running.iter().map(|task| task.slots).sum();
        if busy + slots > self.slots {
            return StartVerdict::Refused;
        }
        self.last_run += 1;
        self.running.push(RunningTask {
            run: self.last_run,
            host,
            attempt: start.attempt,
            task: start.task,
            slots,
        });
        StartVerdict::Runs(self.plan_end(&start.payload, now))
    }

    fn plan_end(&self, payload: &str, now: UnixTime) -> RunEnd {
        let plan = PayloadPlan::parse(payload);
        let failing = self.has(FaultKind::WorkersFail, now);
        let run_us = if failing {
            FAILING_RUN_US
        } else {
            plan.run_us * u64::from(self.slow_factor(now))
        };
        let mut end = RunEnd {
            run: self.last_run,
            at: UnixTime::from_micros(now.as_micros() + run_us),
            outcome: if failing || plan.fails {
                RunOutcome::Failed
            } else {
                RunOutcome::Finished
            },
        };
        for fault in &self.faults {
            let lost_at = UnixTime::from_micros(START_US + fault.from_ms * 1_000);
            if fault.kind == FaultKind::WorkersLost && lost_at > now && lost_at < end.at {
                end.at = lost_at;
                end.outcome = RunOutcome::Lost;
            }
        }
        end
    }

    /// Ends a run and returns the host and attempt to tell; `None` if it was stopped before.
    pub fn end(&mut self, run: u64) -> Option<(usize, AttemptId)> {
        let position = self.running.iter().position(|task| task.run == run)?;
        let task = self.running.swap_remove(position);
        Some((task.host, task.attempt))
    }

    /// Stops a task and returns the attempt to tell, if it was running.
    pub fn stop(&mut self, host: usize, key: TaskKey) -> Option<AttemptId> {
        let matches = |task: &RunningTask| task.host == host && task.task == key;
        let position = self.running.iter().position(matches)?;
        Some(self.running.swap_remove(position).attempt)
    }

    fn has(&self, kind: FaultKind, now: UnixTime) -> bool {
        let time_us = now.as_micros() - START_US;
        self.faults
            .iter()
            .any(|fault| fault.kind == kind && fault.concerns(self.position, time_us))
    }

    fn slow_factor(&self, now: UnixTime) -> u32 {
        let time_us = now.as_micros() - START_US;
        let slow = |fault: &&ScenarioFault| {
            fault.kind == FaultKind::WorkersSlow && fault.concerns(self.position, time_us)
        };
        self.faults
            .iter()
            .find(slow)
            .map_or(1, |fault| fault.amount.max(1))
    }
}
