//! Run time estimates by team and task class.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::names::{ClassName, TeamName};

/// Divisor of the moving average: a new observation has a weight of one over this number.
const EWMA_DIVISOR: u64 = 16;

/// Estimate for a class without a declared run time while nothing has been observed at all.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct RunEstimate {
    mean_micros: u64,
    observations: u64,
}

/// Exponential moving averages of run times.
///
/// Declared run times are very inaccurate, so they are used only until the first observation.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    estimates: FxHashMap<(TeamName, ClassName), RunEstimate>,
    all_classes: Option<RunEstimate>,
}

impl RunTimeEstimator {
    /// Records the run time of a finished task.
    pub fn observe(&mut self, team: &TeamName, class: &ClassName, run: Duration) {
        let micros = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
        let initial = RunEstimate {
            mean_micros: micros,
            observations: 0,
        };
        let estimate = self
            .estimates
            .entry((team.clone(), class.clone()))
            .or_insert(initial);
        update_mean(estimate, micros);
        update_mean(self.all_classes.get_or_insert(initial), micros);
    }

    /// Returns the expected run time of a task. Until a run time has been observed for its class,
    /// this is `declared`, or the overall mean if `declared` is zero.
    #[must_use]
    pub fn estimate(&self, team: &TeamName, class: &ClassName, declared: Duration) -> Duration {
        if let Some(estimate) = self.estimates.get(&(team.clone(), class.clone())) {
            return Duration::from_micros(estimate.mean_micros);
        }
        if declared.is_zero() {
            self.overall_mean()
        } else {
            declared
        }
    }

    /// Returns the mean run time over all teams and classes.
    #[must_use]
    pub fn overall_mean(&self) -> Duration {
        self.all_classes.map_or(DEFAULT_RUN_TIME, |estimate| {
            Duration::from_micros(estimate.mean_micros)
        })
    }

    /// Returns the number of pairs of team and class with an estimate.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Returns whether no run time has been observed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }
}

fn update_mean(estimate: &mut RunEstimate, micros: u64) {
    estimate.observations += 1;
    // The first observations have a higher weight, so that the estimate converges quickly.
    let divisor = EWMA_DIVISOR.min(estimate.observations);
    let kept = estimate.mean_micros - estimate.mean_micros / divisor;
    estimate.mean_micros = kept.saturating_add(micros / divisor);
}
