//! Result of a run.

use std::collections::BTreeMap;
use std::fmt;

/// A kind of fault that runs inject.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    Cancellation,
    ChangedBody,
    CrossedAnswer,
    Cut,
    DelayedCopy,
    Drain,
    DuplicatedMessage,
    Freeze,
    Kill,
    LateAnswer,
    Loan,
    LostMessage,
    RefusedSubmission,
    Reconfiguration,
    ReorderedMessage,
    ReplacedWhileFrozen,
    Resubmission,
    SilentConnection,
    StalledStart,
    StopDeadline,
    StoreAnswerLost,
    StoreOutage,
    TwoAtOnce,
    WorkerDeath,
    WorkerFailsAll,
    WorkerFreeze,
    WorkerLeaving,
}

/// Every kind of fault that a run must inject to count.
pub const ALL_FAULTS: [FaultKind; 27] = [
    FaultKind::Cancellation,
    FaultKind::ChangedBody,
    FaultKind::CrossedAnswer,
    FaultKind::Cut,
    FaultKind::DelayedCopy,
    FaultKind::Drain,
    FaultKind::DuplicatedMessage,
    FaultKind::Freeze,
    FaultKind::Kill,
    FaultKind::LateAnswer,
    FaultKind::Loan,
    FaultKind::LostMessage,
    FaultKind::RefusedSubmission,
    FaultKind::Reconfiguration,
    FaultKind::ReorderedMessage,
    FaultKind::ReplacedWhileFrozen,
    FaultKind::Resubmission,
    FaultKind::SilentConnection,
    FaultKind::StalledStart,
    FaultKind::StopDeadline,
    FaultKind::StoreAnswerLost,
    FaultKind::StoreOutage,
    FaultKind::TwoAtOnce,
    FaultKind::WorkerDeath,
    FaultKind::WorkerFailsAll,
    FaultKind::WorkerFreeze,
    FaultKind::WorkerLeaving,
];

/// A kind of violation that runs look for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ViolationKind {
    /// A task that is not idempotent started twice.
    StartedTwice,
    /// A task started after its caller was told that it was not run.
    StartedAfterNotRun,
    /// A caller was told that a task was not run, which had started.
    NotRunHadStarted,
    /// A task started long after its ticket had expired.
    StartedAfterExpiry,
    /// Two different answers were given to one submission.
    DifferentAnswers,
    /// A complete answer was not made of the outputs of its own tasks.
    ForeignOutput,
    /// An accepted job was not answered by its deadline although its owner ran.
    AnswerOverdue,
    /// Slots are occupied without an attempt, or lost.
    SlotsNotConserved,
    /// A host did not complete a job after all faults had ended.
    NotServing,
    /// The kernel counted a violation of its own invariants.
    KernelMonitor,
    /// A planned stop ended while callers waited.
    StopCutOff,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    /// Events handled.
    pub steps: u64,
    /// Faults injected by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Answers decided by owners: complete ones.
    pub complete: u64,
    /// Answers decided by owners: failed and refused ones.
    pub failed: u64,
    /// Tasks started by workers.
    pub starts: u64,
    /// Violations by kind.
    pub violations: BTreeMap<ViolationKind, u64>,
    /// Description of the first violation.
    pub first: Option<String>,
}

impl RunReport {
    /// Counts a fault.
    pub fn injected(&mut self, kind: FaultKind) {
        *self.faults.entry(kind).or_default() += 1;
    }

    /// Counts a violation.
    pub fn violated(&mut self, kind: ViolationKind, detail: impl FnOnce() -> String) {
        *self.violations.entry(kind).or_default() += 1;
        if self.first.is_none() {
            self.first = Some(format!("{kind:?}: {}", detail()));
        }
    }

    /// Returns the kinds of faults that were never injected.
    pub fn missing_faults(&self) -> Vec<FaultKind> {
        let mut missing = ALL_FAULTS.to_vec();
        missing.retain(|kind| !self.faults.contains_key(kind));
        missing
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "steps={} starts={} complete={} failed={} faults={:?} violations={:?} first={:?}",
            self.steps,
            self.starts,
            self.complete,
            self.failed,
            self.faults,
            self.violations,
            self.first
        )
    }
}
