//! Limits of the kernel.

use std::time::Duration;

use crate::queue::{OrderRegistry, register_enabled};

/// Deliberate faults with which randomised runs show that they would notice a broken kernel.
///
/// All are off by default, and no settings file reaches them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KernelFaults {
    /// Applies the answer of an attempt that has ended to another attempt.
    pub accept_crossed_answers: bool,
    /// Forgets answers at once instead of when the ticket expires.
    pub forget_answers: bool,
    /// Leaves the tickets of refused submissions open.
    pub forget_closed_tickets: bool,
    /// Places tasks on workers of any failure domain.
    pub ignore_places: bool,
    /// Reports tasks that wait for a retry as not run.
    pub report_retried_as_not_run: bool,
    /// Reports sent tasks of failed jobs as not run.
    pub report_sent_as_not_run: bool,
    /// Sends a task again after an unknown outcome although it is not idempotent.
    pub resend_unknown: bool,
}

/// Limits of the kernel.
#[derive(Clone, Debug)]
pub struct KernelSettings {
    /// Largest number of tasks in one job.
    pub max_job_tasks: usize,
    /// Largest number of tasks that wait to be sent.
    pub max_waiting_tasks: usize,
    /// Largest number of submissions in the books.
    pub max_kept_outcomes: usize,
    /// Largest memory that kept answers take, in bytes, as estimated.
    pub max_kept_bytes: usize,
    /// Name of the queue order.
    pub queue_order: String,
    /// Time after which a lent slot returns to its owner.
    pub loan_term: Duration,
    /// Time after which an unused borrowed slot is given back.
    pub loan_idle_limit: Duration,
    /// Least time between two loan requests to one host.
    pub loan_request_interval: Duration,
    /// Rest of a slot after an unknown outcome.
    pub slot_rest: Duration,
    /// Rest of a slot after a refused start: another host is using it.
    pub refused_slot_cooldown: Duration,
    /// Additional starts that retries may cause, in percent of first starts.
    pub retry_percent: u32,
    /// Interval of the sweeps that forget expired outcomes and give idle loans back.
    pub sweep_interval: Duration,
    /// Deliberate faults for tests.
    pub faults: KernelFaults,
}

impl Default for KernelSettings {
    fn default() -> Self {
        Self {
            max_job_tasks: 500,
            max_waiting_tasks: 50_000,
            max_kept_outcomes: 200_000,
            max_kept_bytes: 256 << 20,
            queue_order: "fair".to_owned(),
            loan_term: Duration::from_secs(2),
            loan_idle_limit: Duration::from_millis(100),
            loan_request_interval: Duration::from_millis(100),
            slot_rest: Duration::from_millis(50),
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
        let mut registry = OrderRegistry::default();
        register_enabled(&mut registry);
        registry.create(name).is_some()
    }
}
