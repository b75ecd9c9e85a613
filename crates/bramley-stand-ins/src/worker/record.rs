//! Slots, starts and refusals of a worker stand-in.

use std::collections::BTreeMap;

use bramley_wire::worker::{LedgerEntry, LedgerReply, StartRequest};
use tokio_util::sync::CancellationToken;

/// Why a task was refused before its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RefusalReason {
    /// All slots or accelerators are taken.
    Busy,
    /// The latest start time has passed.
    Expired,
    /// The worker is leaving.
    Leaving,
    /// The worker was switched to refuse everything.
    Switched,
    /// The task wants more accelerators than the worker has.
    TooLarge,
}

impl RefusalReason {
    /// Name of the reason in a start reply.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::Switched => "refuse_all",
            Self::TooLarge => "too_large",
        }
    }
}

/// Numbers of refused starts by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalCounts {
    /// All slots or accelerators were taken.
    pub busy: u64,
    /// The latest start time had passed.
    pub expired: u64,
    /// The worker was leaving.
    pub leaving: u64,
    /// The worker was switched to refuse everything.
    pub switched: u64,
    /// The task wanted more accelerators than the worker has.
    pub too_large: u64,
}

impl RefusalCounts {
    fn add(&mut self, reason: RefusalReason) {
        let count = match reason {
            RefusalReason::Busy => &mut self.busy,
            RefusalReason::Expired => &mut self.expired,
            RefusalReason::Leaving => &mut self.leaving,
            RefusalReason::Switched => &mut self.switched,
            RefusalReason::TooLarge => &mut self.too_large,
        };
        *count += 1;
    }

    /// Returns the number of refusals for any reason.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.busy + self.expired + self.leaving + self.switched + self.too_large
    }
}

/// One task that occupies a slot.
#[derive(Debug)]
struct RunningTask {
    run: u64,
    task: String,
    accelerators: u32,
    stop: CancellationToken,
}

/// Starts of one task identity.
#[derive(Debug, Default)]
struct TaskStarts {
    starts: u32,
    finished: bool,
}

/// The worker's own record of slots, starts and refusals.
#[derive(Debug)]
pub(super) struct StartRecord {
    slots: usize,
    accelerators: u32,
    runs_begun: u64,
    running: Vec<RunningTask>,
    tasks: BTreeMap<String, TaskStarts>,
    refusals: RefusalCounts,
    started_while_leaving: u64,
}

impl StartRecord {
    /// Creates a record with every slot free.
    pub(super) fn new(slots: u32, accelerators: u32) -> Self {
        Self {
            slots: usize::try_from(slots).unwrap_or(usize::MAX),
            accelerators,
            runs_begun: 0,
            running: Vec::new(),
            tasks: BTreeMap::new(),
            refusals: RefusalCounts::default(),
            started_while_leaving: 0,
        }
    }

    /// Checks that a slot and the accelerators are free.
    ///
    /// # Errors
    ///
    /// Returns why the task can't start now.
    pub(super) fn check_room(&self, accelerators: u32) -> Result<(), RefusalReason> {
        if accelerators > self.accelerators {
            return Err(RefusalReason::TooLarge);
        }
        let mut accelerators_taken = 0;
        for task in &self.running {
            accelerators_taken += task.accelerators;
        }
        let accelerators_free = self.accelerators - accelerators_taken;
        if self.running.len() >= self.slots || accelerators > accelerators_free {
            return Err(RefusalReason::Busy);
        }
        Ok(())
    }

    /// Counts a start, occupies a slot and returns the number of the run.
    ///
    /// A task that started before is counted and run again, so that the record shows duplicates.
    pub(super) fn begin(
        &mut self,
        request: &StartRequest,
        leaving: bool,
        stop: CancellationToken,
    ) -> u64 {
        let run = self.runs_begun;
        self.runs_begun += 1;
        self.running.push(RunningTask {
            run,
            task: request.task.clone(),
            accelerators: request.accelerators,
            stop,
        });
        let task = self.tasks.entry(request.task.clone()).or_default();
        task.starts += 1;
        if leaving {
            self.started_while_leaving += 1;
        }
        run
    }

    /// Frees the slot of a run.
    pub(super) fn end(&mut self, run: u64, finished: bool) {
        let Some(position) = self.running.iter().position(|task| task.run == run) else {
            return;
        };
        let ended = self.running.swap_remove(position);
        if finished {
            self.tasks.entry(ended.task).or_default().finished = true;
        }
    }

    /// Counts a refusal.
    pub(super) fn refuse(&mut self, reason: RefusalReason) {
        self.refusals.add(reason);
    }

    /// Ends all runs of a task early.
    pub(super) fn stop_task(&self, task_name: &str) {
        for task in &self.running {
            if task.task == task_name {
                task.stop.cancel();
            }
        }
    }

    /// Returns the number of running tasks.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the refusals by reason.
    pub(super) fn refusals(&self) -> RefusalCounts {
        self.refusals
    }

    /// Returns the record in its border form.
    pub(super) fn to_reply(&self) -> LedgerReply {
        let mut entries = Vec::with_capacity(self.tasks.len());
        for (task_name, task) in &self.tasks {
            entries.push(LedgerEntry {
                task: task_name.clone(),
                starts: task.starts,
                finished: task.finished,
            });
        }
        LedgerReply {
            entries,
            refused: self.refusals.total(),
            started_while_leaving: self.started_while_leaving,
        }
    }
}
