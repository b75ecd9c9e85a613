//! Counters and the state dump of the kernel.

use serde::Serialize;

use crate::health::HealthCounts;
use crate::invariants::InvariantMonitor;
use crate::names::{HostName, WorkerName};
use crate::slots::SlotCounts;
use crate::worker::WorkerState;

use super::DispatchKernel;

/// Counts of what the kernel did since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KernelCounters {
    /// Jobs accepted.
    pub accepted_jobs: u64,
    /// Tasks of accepted jobs.
    pub accepted_tasks: u64,
    /// Submissions refused before acceptance.
    pub refused_jobs: u64,
    /// Submissions under a ticket that already had a job.
    pub resubmissions: u64,
    /// Jobs answered as complete.
    pub completed_jobs: u64,
    /// Jobs answered as failed.
    pub failed_jobs: u64,
    /// Active jobs that were cancelled.
    pub cancelled_jobs: u64,
    /// Tasks sent to workers, repeated ones included.
    pub starts: u64,
    /// Lanes and tasks visited to remove the waiting tasks of failed jobs.
    pub removal_steps: u64,
    /// Tasks that ran to their end.
    pub finished_tasks: u64,
    /// Tasks that ran and failed.
    pub failed_tasks: u64,
    /// Tasks whose outcome was not learned.
    pub unknown_tasks: u64,
    /// Starts that the worker refused.
    pub refused_starts: u64,
    /// Starts for which no connection could be made.
    pub connect_failures: u64,
    /// Starts that the HTTP library handed back unsent.
    pub handed_back: u64,
    /// Tasks sent again although they may have run, being idempotent.
    pub retries: u64,
    /// Answers of attempts that were no longer waited for.
    pub late_answers: u64,
    /// Attempts whose deadlines passed without an answer.
    pub abandoned_attempts: u64,
    /// Workers ejected for failures.
    pub ejections: u64,
    /// Empty worker lists that were ignored.
    pub ignored_worker_lists: u64,
    /// Requests to borrow slots.
    pub loan_requests: u64,
    /// Slots borrowed.
    pub borrowed_slots: u64,
    /// Slots lent.
    pub lent_slots: u64,
}

/// One worker in the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// Name.
    pub name: WorkerName,
    /// Whether it takes new tasks.
    pub state: WorkerState,
    /// Whether it was ejected for failures.
    pub ejected: bool,
    /// Tasks of this host that it runs.
    pub busy: u32,
}

/// State of the kernel for operators.
#[derive(Clone, Debug, Serialize)]
pub struct KernelDump {
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Jobs accepted and not answered.
    pub active_jobs: usize,
    /// Tasks waiting to be sent.
    pub waiting_tasks: usize,
    /// Attempts under way.
    pub attempts: usize,
    /// Submissions in the books.
    pub kept_outcomes: usize,
    /// Memory of kept answers in bytes, as estimated.
    pub kept_bytes: usize,
    /// Slot rights by state.
    pub rights: SlotCounts,
    /// Health of workers.
    pub health: HealthCounts,
    /// Idle slots that other hosts reported.
    pub lenders: Vec<(HostName, u32)>,
    /// Workers.
    pub workers: Vec<WorkerDump>,
    /// Counters.
    pub counters: KernelCounters,
    /// Invariants.
    pub invariants: InvariantMonitor,
}

impl DispatchKernel {
    /// Returns the state of the kernel for operators.
    #[must_use]
    pub fn dump(&self) -> KernelDump {
        let mut workers = Vec::new();
        for (index, profile) in self.workers.iter() {
            workers.push(WorkerDump {
                name: profile.name.clone(),
                state: profile.state,
                ejected: self.health.is_ejected(index),
                busy: self.slots.busy_slots_on(index),
            });
        }
        workers.sort_by(|left, right| left.name.cmp(&right.name));
        KernelDump {
            draining: self.draining,
            active_jobs: self.active_jobs,
            waiting_tasks: self.waiting.len(),
            attempts: self.attempts.len(),
            kept_outcomes: self.book.len(),
            kept_bytes: self.book.kept_bytes(),
            rights: self.slots.counts(),
            health: self.health.counts(),
            lenders: self.lenders(),
            workers,
            counters: self.counters.clone(),
            invariants: self.monitor.clone(),
        }
    }
}
