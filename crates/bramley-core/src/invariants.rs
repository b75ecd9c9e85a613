//! Invariants that the kernel checks while it runs, in release builds too.

use serde::Serialize;

/// A property that must hold at all times.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InvariantKind {
    /// A task is sent once, or again only on proof or permit.
    StartedAtMostOnce,
    /// A job is answered once.
    AnsweredOnce,
    /// A complete answer holds the output of every task.
    CompleteAnswerIsWhole,
    /// A task reported as not run has no attempt under way.
    NotRunWasNeverSent,
    /// A slot runs at most one task of this host.
    SlotRunsOneTask,
    /// No task is sent to a worker that is leaving.
    NoStartOnLeavingWorker,
    /// No task is sent to a failure domain that its team does not name.
    NoStartOutsidePlace,
    /// Kept outcomes stay within their bounds.
    OutcomesWithinBounds,
}

/// Number of invariants.
const INVARIANT_COUNT: usize = 8;

/// Counts violations of invariants.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InvariantMonitor {
    violations: [u64; INVARIANT_COUNT],
    checks: u64,
    first: Option<String>,
}

impl InvariantMonitor {
    /// Checks that a property holds and counts a violation if it does not.
    ///
    /// The detail is only composed for the first violation, which the state dump shows.
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

    /// Returns the number of violations of one property.
    #[must_use]
    pub const fn violations_of(&self, kind: InvariantKind) -> u64 {
        self.violations[kind as usize]
    }

    /// Returns the number of all violations.
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
