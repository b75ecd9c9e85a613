//! Result of a run.

use std::collections::BTreeMap;
use std::fmt;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    Cancellation,
    ChangedBody,
    /// A worker's answer also arrives for an earlier attempt, which has ended.
    CrossedAnswer,
    /// The failure domains are partitioned from each other.
    Cut,
    /// A job is submitted again after its caller got the answer.
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
    /// A start request or its answer is lost, and the host sees no error.
    SilentConnection,
    /// A start request is delivered late.
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

/// Kinds of faults, each of which a run must inject to be valid.
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

/// Kind of a violation that the checks detect.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ViolationKind {
    /// A task that must not be retried started twice.
    StartedTwice,
    /// A task started after its caller was told that it was not run.
    StartedAfterNotRun,
    /// A caller was told that a task was not run although it had started.
    NotRunHadStarted,
    /// A task started long after its ticket had expired.
    StartedAfterExpiry,
    /// A submission got two different answers.
    DifferentAnswers,
    /// A complete answer did not consist of the outputs of its own tasks.
    ForeignOutput,
    /// An accepted job was not answered by its deadline although its owner was running.
    AnswerOverdue,
    /// Slots were lost or were busy without an attempt.
    SlotsNotConserved,
    /// A host did not complete a probe job after all faults had ended.
    NotServing,
    /// The kernel's own monitor detected a violation of an invariant.
    KernelMonitor,
    /// A graceful shutdown ended with unanswered requests or unfinished jobs.
    StopCutOff,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    /// Number of processed events.
    pub steps: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Number of complete answers that the owners decided.
    pub complete: u64,
    /// Number of failures and refusals that the owners decided.
    pub failed: u64,
    /// Number of task starts on workers.
    pub starts: u64,
    /// Number of violations by kind.
    pub violations: BTreeMap<ViolationKind, u64>,
    /// Description of the first violation.
    pub first_violation: Option<String>,
}

impl RunReport {
    /// Counts an injected fault.
    pub fn record_fault(&mut self, kind: FaultKind) {
        *self.faults.entry(kind).or_default() += 1;
    }

    /// Counts a violation and keeps the description of the first one.
    pub fn record_violation(&mut self, kind: ViolationKind, detail: impl FnOnce() -> String) {
        *self.violations.entry(kind).or_default() += 1;
        if self.first_violation.is_none() {
            self.first_violation = Some(format!("{kind:?}: {}", detail()));
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
            self.first_violation
        )
    }
}
