//! Settings of the kernel.

use std::time::Duration;

use crate::queue::{QueuePolicyRegistry, register_enabled};

/// Fault injection, used to verify that the randomised tests detect a broken kernel.
///
/// All faults are off by default and cannot be enabled by a settings file.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KernelFaults {
    /// Applies the late answer of an attempt that has ended to another attempt.
    pub accept_crossed_answers: bool,
    /// Discards answers before their ticket expires.
    pub forget_answers: bool,
    /// Does not close the tickets of refused submissions.
    pub forget_closed_tickets: bool,
    /// Starts tasks on workers of any failure domain.
    pub ignore_places: bool,
    /// Reports tasks that are waiting for a retry as not run.
    pub report_retried_as_not_run: bool,
    /// Reports sent tasks of failed jobs as not run.
    pub report_sent_as_not_run: bool,
    /// Sends a task again after an unknown outcome although it is not idempotent.
    pub resend_unknown: bool,
}

/// Limits, timeouts and policies of the kernel.
#[derive(Clone, Debug)]
pub struct KernelSettings {
    /// Maximum number of tasks per job.
    pub max_job_tasks: usize,
    /// Maximum number of tasks waiting to be sent.
    pub max_waiting_tasks: usize,
    /// Maximum number of submissions kept, active or answered.
    pub max_kept_outcomes: usize,
    /// Maximum estimated memory of kept submissions, in bytes.
    pub max_kept_bytes: usize,
    /// Name of the queue policy.
    pub queue_policy: String,
    /// Duration of a loan, after which a lent slot returns to its owner.
    pub loan_duration: Duration,
    /// Idle time after which a borrowed slot is returned.
    pub loan_idle_limit: Duration,
    /// Minimum time between two loan requests to the same host.
    pub loan_request_interval: Duration,
    /// Time for which a slot stays unused after an unknown outcome.
    pub slot_cooldown: Duration,
    /// Time for which a slot stays unused after a task did not start on it: another host may be
    /// using the slot.
    pub refused_slot_cooldown: Duration,
    /// Maximum number of retries, in percent of first starts.
    pub retry_percent: u32,
    /// Interval of the sweeps that remove expired outcomes and return idle loans.
    pub sweep_interval: Duration,
    /// Fault injection for tests.
    pub faults: KernelFaults,
}

impl Default for KernelSettings {
    fn default() -> Self {
        Self {
            max_job_tasks: 500,
            max_waiting_tasks: 50_000,
            max_kept_outcomes: 200_000,
            max_kept_bytes: 256 << 20,
            queue_policy: "fair".to_owned(),
            loan_duration: Duration::from_secs(2),
            loan_idle_limit: Duration::from_millis(100),
            loan_request_interval: Duration::from_millis(100),
            slot_cooldown: Duration::from_millis(50),
            refused_slot_cooldown: Duration::from_millis(200),
            retry_percent: 10,
            sweep_interval: Duration::from_millis(100),
            faults: KernelFaults::default(),
        }
    }
}

impl KernelSettings {
    /// Returns whether a queue policy of this name is registered.
    #[must_use]
    pub fn is_known_queue_policy(name: &str) -> bool {
        let mut registry = QueuePolicyRegistry::default();
        register_enabled(&mut registry);
        registry.create(name).is_some()
    }
}
