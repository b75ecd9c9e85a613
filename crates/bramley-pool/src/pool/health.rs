//! Judges workers by how their runs end.

use bramley_core::units::UnixTime;

use super::Pool;
use crate::run::RunFacts;
use crate::worker::WorkerIndex;

/// Weight of an observation in a worker's moving average of run times.
const PACE_WEIGHT: f64 = 0.2;

/// Bounds of a single observation of a worker's run time against the expectation.
const PACE_BOUNDS: (f64, f64) = (0.3, 8.0);

impl Pool {
    /// Notes that a run has ended well.
    pub(super) fn good_sign(&mut self, index: WorkerIndex, facts: &RunFacts, now: UnixTime) {
        let ran = now.since(facts.started_at).as_secs_f64();
        let expected = facts.expected.as_secs_f64().max(0.001);
        let ratio = (ran / expected).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let slow_ratio = self.settings.slow_ratio;
        let first_wait = self.settings.suspend_first;
        let worker = self.worker_mut(index);
        worker.pace += (ratio - worker.pace) * PACE_WEIGHT;
        worker.health.good_at = worker.health.good_at.max(facts.started_at);
        if facts.started_at < worker.health.failed_at {
            return;
        }
        if worker.pace < slow_ratio {
            if worker.health.on_probation {
                worker.health.next_wait = first_wait;
            }
            worker.health.on_probation = false;
        }
        worker.health.bad_signs = 0;
    }

    /// Notes a sign that the worker is not sound, and suspends it after two of them.
    pub(super) fn bad_sign(&mut self, index: WorkerIndex, now: UnixTime) {
        let first = self.settings.suspend_first;
        let longest = self.settings.suspend_longest;
        let worker = self.worker_mut(index);
        worker.health.bad_signs += 1;
        if worker.health.bad_signs < 2 && !worker.health.on_probation {
            worker.health.on_probation = true;
            return;
        }
        if worker.health.suspended_until > now {
            return;
        }
        let wait = worker.health.next_wait.max(first);
        worker.health.suspended_until = now.after(wait);
        worker.health.next_wait = (wait * 2).min(longest);
        worker.health.on_probation = true;
        self.note_worker(index, "suspended", now);
    }
}
