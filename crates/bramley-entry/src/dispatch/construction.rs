//! Creates the dispatch kernel of a process.

use std::time::Duration;

use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName};
use bramley_settings::EntrySettings;

/// Creates the dispatch kernel from the settings of the process.
#[must_use]
pub fn build_kernel(settings: &EntrySettings, seed: u64) -> DispatchKernel {
    let defaults = KernelSettings::default();
    let limits = &settings.limits;
    let kernel_settings = KernelSettings {
        max_job_tasks: limits.max_job_tasks as usize,
        max_waiting_tasks: limits.max_queued_tasks as usize,
        max_kept_outcomes: limits.max_kept_outcomes as usize,
        max_kept_bytes: usize::try_from(limits.max_kept_bytes).unwrap_or(usize::MAX),
        queue_policy: settings
            .policies
            .queue
            .clone()
            .unwrap_or_else(|| defaults.queue_policy.clone()),
        loan_duration: Duration::from_millis(settings.timing.loan_term_ms),
        ..defaults
    };
    let identity = KernelIdentity {
        host: HostName::from(settings.host.as_str()),
        domain: DomainName::from(settings.failure_domain.as_str()),
        seed,
    };
    DispatchKernel::new(identity, kernel_settings)
}
