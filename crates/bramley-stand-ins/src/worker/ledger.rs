//! Slots, starts and refusals of a worker stand-in.

use std::collections::BTreeMap;

use bramley_wire::worker::{LedgerEntry, LedgerReply, StartRequest};
use tokio_util::sync::CancellationToken;

/// Why the start of a task was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RefusalReason {
    /// Not enough free slots or accelerators.
    Busy,
    /// The latest start time has passed.
    Expired,
    /// The worker is leaving.
    Leaving,
    /// The worker is in the mode that refuses every task.
    Switched,
    /// The task needs more accelerators than the worker has.
    TooLarge,
}

impl RefusalReason {
    /// Returns the name of the reason in a start reply.
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
    /// Not enough free slots or accelerators.
    pub busy: u64,
    /// The latest start time had passed.
    pub expired: u64,
    /// The worker was leaving.
    pub leaving: u64,
    /// The worker was in the mode that refuses every task.
    pub switched: u64,
    /// The task needed more accelerators than the worker has.
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

    /// Returns the total number of refusals.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.busy + self.expired + self.leaving + self.switched + self.too_large
    }
}

/// A running task, which occupies a slot.
#[derive(Debug)]
struct RunningTask {
    run_id: u64,
    task: String,
    accelerators: u32,
    stop: CancellationToken,
}

/// Starts of one task ID.
#[derive(Debug, Default)]
struct TaskStarts {
    starts: u32,
    finished: bool,
}

/// Tracks running tasks and records starts and refusals.
#[derive(Debug)]
pub(super) struct StartLedger {
    slots: usize,
    accelerators: u32,
    next_run_id: u64,
    running: Vec<RunningTask>,
    tasks: BTreeMap<String, TaskStarts>,
    refusals: RefusalCounts,
    started_while_leaving: u64,
}

impl StartLedger {
    /// Creates an empty ledger with every slot free.
    pub(super) fn new(slots: u32, accelerators: u32) -> Self {
        Self {
            slots: usize::try_from(slots).unwrap_or(usize::MAX),
            accelerators,
            next_run_id: 0,
            running: Vec::new(),
            tasks: BTreeMap::new(),
            refusals: RefusalCounts::default(),
            started_while_leaving: 0,
        }
    }

    /// Checks that a slot and enough accelerators are free.
    ///
    /// # Errors
    ///
    /// Returns why the task can't start now.
    pub(super) fn check_capacity(&self, accelerators: u32) -> Result<(), RefusalReason> {
        if accelerators > self.accelerators {
            return Err(RefusalReason::TooLarge);
        }
        let mut used_accelerators = 0;
        for task in &self.running {
            used_accelerators += task.accelerators;
        }
        let free_accelerators = self.accelerators - used_accelerators;
        if self.running.len() >= self.slots || accelerators > free_accelerators {
            return Err(RefusalReason::Busy);
        }
        Ok(())
    }

    /// Records a start, occupies a slot and returns the ID of the run.
    ///
    /// A task that was started before is run and counted again, so that the ledger shows duplicates.
    pub(super) fn start(
        &mut self,
        request: &StartRequest,
        leaving: bool,
        stop: CancellationToken,
    ) -> u64 {
        let run_id = self.next_run_id;
        self.next_run_id += 1;
        self.running.push(RunningTask {
            run_id,
            task: request.task.clone(),
            accelerators: request.accelerators,
            stop,
        });
        let task = self.tasks.entry(request.task.clone()).or_default();
        task.starts += 1;
        if leaving {
            self.started_while_leaving += 1;
        }
        run_id
    }

    /// Frees the slot of a run.
    pub(super) fn finish(&mut self, run_id: u64, finished: bool) {
        let Some(position) = self.running.iter().position(|task| task.run_id == run_id) else {
            return;
        };
        let ended = self.running.swap_remove(position);
        if finished {
            self.tasks.entry(ended.task).or_default().finished = true;
        }
    }

    /// Counts a refusal.
    pub(super) fn record_refusal(&mut self, reason: RefusalReason) {
        self.refusals.add(reason);
    }

    /// Cancels all runs of a task.
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

    /// Returns the numbers of refusals by reason.
    pub(super) fn refusals(&self) -> RefusalCounts {
        self.refusals
    }

    /// Converts the ledger to its wire format.
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
