//! Learned run times by team and task class.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::names::{ClassName, TeamName};

/// Weight of a new observation in the moving average, as one over this number.
const AVERAGE_DIVISOR: u64 = 16;

/// Run time assumed of a class that was neither declared nor seen.
const UNSEEN_RUN: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct RunEstimate {
    mean_micros: u64,
    observations: u64,
}

/// Moving averages of run times.
///
/// Declared run times are far off the truth, so they count only until the first observation.
#[derive(Debug, Default)]
pub struct RunTimeTable {
    estimates: FxHashMap<(TeamName, ClassName), RunEstimate>,
    overall: Option<RunEstimate>,
}

impl RunTimeTable {
    /// Records the run time of a task that ran to its end.
    pub fn observe(&mut self, team: &TeamName, class: &ClassName, run: Duration) {
        let micros = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
        let fresh = RunEstimate {
            mean_micros: micros,
            observations: 0,
        };
        let estimate = self
            .estimates
            .entry((team.clone(), class.clone()))
            .or_insert(fresh);
        advance(estimate, micros);
        advance(self.overall.get_or_insert(fresh), micros);
    }

    /// Returns the expected run time of a task; `declared` is used until one was seen.
    #[must_use]
    pub fn expect(&self, team: &TeamName, class: &ClassName, declared: Duration) -> Duration {
        if let Some(estimate) = self.estimates.get(&(team.clone(), class.clone())) {
            return Duration::from_micros(estimate.mean_micros);
        }
        if declared.is_zero() {
            self.overall_mean()
        } else {
            declared
        }
    }

    /// Returns the expected run time over all teams and classes.
    #[must_use]
    pub fn overall_mean(&self) -> Duration {
        self.overall.map_or(UNSEEN_RUN, |estimate| {
            Duration::from_micros(estimate.mean_micros)
        })
    }

    /// Returns the number of teams and classes that were seen.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Tells whether no run time was seen yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }
}

fn advance(estimate: &mut RunEstimate, micros: u64) {
    estimate.observations += 1;
    // The first observations weigh more, so that an estimate settles quickly.
    let divisor = AVERAGE_DIVISOR.min(estimate.observations);
    let kept = estimate.mean_micros - estimate.mean_micros / divisor;
    estimate.mean_micros = kept.saturating_add(micros / divisor);
}
