//! Worker health as judged from the outcome of runs.

use bramley_core::units::UnixTime;

use super::Pool;
use crate::run::RunDetails;
use crate::worker::WorkerIndex;

impl Pool {
    /// Records a successful run. A run that was started before the worker's last failure does not
    /// clear its faults. `stretch` is the factor by which interfering neighbours have prolonged the
    /// run, which is not the worker's fault.
    pub(super) fn record_success(
        &mut self,
        index: WorkerIndex,
        details: &RunDetails,
        stretch: f64,
        now: UnixTime,
    ) {
        self.observe_run(index, details, stretch, now);
        let min_suspension = self.settings.min_suspension;
        let worker = self.worker_mut(index);
        worker.health.latest_success_start =
            worker.health.latest_success_start.max(details.started_at);
        if details.started_at < worker.health.last_failure_at {
            return;
        }
        if worker.health.on_probation {
            worker.health.next_suspension = min_suspension;
        }
        worker.health.on_probation = false;
        worker.health.consecutive_faults = 0;
    }

    /// Records a fault of the worker. The first one puts it on probation, and a fault during
    /// probation suspends it. Each suspension is twice as long as the one before, up to a maximum.
    pub(super) fn record_fault(&mut self, index: WorkerIndex, now: UnixTime) {
        let min_suspension = self.settings.min_suspension;
        let max_suspension = self.settings.max_suspension;
        let worker = self.worker_mut(index);
        worker.health.consecutive_faults += 1;
        if worker.health.consecutive_faults < 2 && !worker.health.on_probation {
            worker.health.on_probation = true;
            return;
        }
        if worker.health.suspended_until > now {
            return;
        }
        let suspension = worker.health.next_suspension.max(min_suspension);
        worker.health.suspended_until = now.after(suspension);
        worker.health.next_suspension = (suspension * 2).min(max_suspension);
        worker.health.on_probation = true;
        self.log_worker_change(index, "suspended", now);
    }
}
