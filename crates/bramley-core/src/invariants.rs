//! Invariants that the kernel checks at run time, including in release builds.

use serde::Serialize;

/// An invariant of the dispatch logic.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InvariantKind {
    /// A task is sent only once, unless there is proof that it did not start or a permit to retry
    /// it.
    StartedAtMostOnce,
    /// A job is answered only once.
    AnsweredOnce,
    /// A complete answer contains the output of every task.
    CompleteAnswerIsWhole,
    /// A task reported as not run has no attempt in progress.
    NotRunWasNeverSent,
    /// This host runs at most one task in a slot at a time.
    SlotRunsOneTask,
    /// No task is sent to a worker that is leaving.
    NoStartOnLeavingWorker,
    /// No task is sent to a failure domain that its team's configuration excludes.
    NoStartOutsidePlace,
    /// Retained outcomes stay within their limits.
    OutcomesWithinBounds,
}

/// Number of invariants.
const INVARIANT_COUNT: usize = 8;

/// Counts checks and violations of invariants.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InvariantMonitor {
    violations: [u64; INVARIANT_COUNT],
    checks: u64,
    first: Option<String>,
}

impl InvariantMonitor {
    /// Records a check of an invariant and counts a violation if it does not hold.
    ///
    /// The detail is only formatted for the first violation, which the state dump contains.
    pub fn check(&mut self, kind: InvariantKind, holds: bool, detail: impl FnOnce() -> String) {
        self.checks += 1;
        if holds {
            return;
        }
        self.violations[kind as usize] += 1;
        if self.first.is_none() {
            self.first = Some(format!("{kind:?}: {}", detail()));
        }
    }

    /// Returns the number of violations of one invariant.
    #[must_use]
    pub const fn violations_of(&self, kind: InvariantKind) -> u64 {
        self.violations[kind as usize]
    }

    /// Returns the total number of violations.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.iter().sum()
    }

    /// Returns the number of checks made.
    #[must_use]
    pub const fn checks(&self) -> u64 {
        self.checks
    }

    /// Returns the description of the first violation.
    #[must_use]
    pub fn first_violation(&self) -> Option<&str> {
        self.first.as_deref()
    }
}
