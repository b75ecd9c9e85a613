//! Average utilization of the workers, from which the capacity left for late jobs follows.

use std::time::Duration;

use bramley_core::units::UnixTime;

use crate::resources::TaskResources;
use crate::worker::WorkerRecord;

/// Time constant of the average: longer than the interval between ticks and than most runs, and
/// short against a burst of arrivals.
const AVERAGING_TIME: Duration = Duration::from_millis(300);

/// Weight of a new job in the average size of a task.
const TASK_SIZE_WEIGHT: f64 = 0.05;

/// Utilization from which no capacity counts as left, because the remainder is within the error of
/// the estimate.
const FULL_UTILIZATION: f64 = 0.95;

/// Exponentially weighted average of the share of slots in use. A slot holds one task of average
/// size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotUtilization {
    /// Average share of slots in use, from 0 to 1.
    share: f64,
    sampled_at: UnixTime,
    /// Average CPU of a task in thousandths of a core; 0 before the first job.
    task_cpu_milli: f64,
}

impl SlotUtilization {
    /// Includes the task size of an admitted job in the average.
    pub(super) fn observe_task(&mut self, resources: TaskResources) {
        let cpu_milli = f64::from(resources.cpu_milli);
        if self.task_cpu_milli == 0.0 {
            self.task_cpu_milli = cpu_milli;
        }
        self.task_cpu_milli += (cpu_milli - self.task_cpu_milli) * TASK_SIZE_WEIGHT;
    }

    /// Includes the current state of the usable workers in the average.
    pub(super) fn sample<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a WorkerRecord>,
        now: UnixTime,
    ) {
        if self.task_cpu_milli < 1.0 {
            return;
        }
        let (mut used, mut free) = (0.0, 0.0);
        for worker in workers {
            used += f64::from(u32::try_from(worker.runs.len()).unwrap_or(u32::MAX));
            free += (f64::from(worker.free().cpu_milli) / self.task_cpu_milli).floor();
        }
        let current = if used + free > 0.0 {
            used / (used + free)
        } else {
            1.0
        };
        let passed = now.since(self.sampled_at).as_secs_f64();
        let kept = (-passed / AVERAGING_TIME.as_secs_f64()).exp();
        self.share = self.share * kept + current * (1.0 - kept);
        self.sampled_at = now;
    }

    /// Returns the average share of slots in use, from 0 to 1.
    pub(super) const fn share(&self) -> f64 {
        self.share
    }

    /// Returns the wait of a job that gives way to others, given its wait if no further jobs
    /// arrived; `None` if others take up all capacity. In a queue with priorities, the wait of the
    /// lowest one grows by the inverse of the share that the others leave.
    pub(super) fn stretch_wait(&self, wait: Duration) -> Option<Duration> {
        (self.share < FULL_UTILIZATION).then(|| wait.div_f64(1.0 - self.share))
    }
}
