//! Counters and the state dump of the kernel.

use serde::Serialize;

use crate::health::HealthCounts;
use crate::invariants::InvariantMonitor;
use crate::names::{HostName, WorkerName};
use crate::slots::SlotCounts;
use crate::worker::WorkerState;

use super::DispatchKernel;

/// Counters since the start of the kernel.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KernelCounters {
    /// Jobs accepted.
    pub accepted_jobs: u64,
    /// Tasks of accepted jobs.
    pub accepted_tasks: u64,
    /// Submissions refused before acceptance.
    pub refused_jobs: u64,
    /// Submissions under a ticket that already has a job.
    pub resubmissions: u64,
    /// Jobs answered as complete.
    pub completed_jobs: u64,
    /// Jobs answered as failed.
    pub failed_jobs: u64,
    /// Active jobs that were cancelled.
    pub cancelled_jobs: u64,
    /// Tasks sent to workers, including repeated sends.
    pub starts: u64,
    /// Queues and tasks visited to remove the waiting tasks of failed jobs.
    pub removal_steps: u64,
    /// Tasks that completed successfully.
    pub finished_tasks: u64,
    /// Attempts in which the task ran and failed.
    pub failed_tasks: u64,
    /// Attempts whose outcome is unknown.
    pub unknown_tasks: u64,
    /// Starts refused by the worker.
    pub refused_starts: u64,
    /// Starts for which no connection could be established.
    pub connect_failures: u64,
    /// Starts that the HTTP library returned without writing any of the request.
    pub handed_back: u64,
    /// Retries of idempotent tasks that may have run.
    pub retries: u64,
    /// Results of attempts that were no longer awaited.
    pub late_answers: u64,
    /// Attempts abandoned because their deadline passed without an answer.
    pub abandoned_attempts: u64,
    /// Ejections of workers for failures.
    pub ejections: u64,
    /// Empty worker lists that were ignored.
    pub ignored_worker_lists: u64,
    /// Loan requests sent to other hosts.
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
    /// Whether it is ejected for failures.
    pub ejected: bool,
    /// Number of its slots that run tasks of this host.
    pub busy: u32,
}

/// State of the kernel, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct KernelDump {
    /// Whether a graceful shutdown has begun.
    pub draining: bool,
    /// Number of accepted jobs that are not yet answered.
    pub active_jobs: usize,
    /// Number of tasks waiting to be sent.
    pub waiting_tasks: usize,
    /// Number of attempts in progress.
    pub attempts: usize,
    /// Number of submissions kept, active or answered.
    pub kept_outcomes: usize,
    /// Estimated memory of kept submissions, in bytes.
    pub kept_bytes: usize,
    /// Slot counts by state.
    pub rights: SlotCounts,
    /// Health counts of the workers.
    pub health: HealthCounts,
    /// Other hosts with the number of idle slots that they reported.
    pub lenders: Vec<(HostName, u32)>,
    /// Workers.
    pub workers: Vec<WorkerDump>,
    /// Counters.
    pub counters: KernelCounters,
    /// Results of the invariant checks.
    pub invariants: InvariantMonitor,
}

impl DispatchKernel {
    /// Returns a dump of the kernel state.
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
            kept_outcomes: self.outcomes.len(),
            kept_bytes: self.outcomes.kept_bytes(),
            rights: self.slots.counts(),
            health: self.health.counts(),
            lenders: self.lenders(),
            workers,
            counters: self.counters.clone(),
            invariants: self.monitor.clone(),
        }
    }
}
