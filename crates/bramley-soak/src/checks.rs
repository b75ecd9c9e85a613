//! Compares answers with the workers' records.

use bramley_fleet_stand_in::ledger::RunLedger;

use crate::callers::JobOutcome;

/// Counts of a soak.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoakCounts {
    /// Jobs sent.
    pub jobs: usize,
    /// Jobs answered as completed.
    pub completed: usize,
    /// Jobs refused as not run.
    pub refused: usize,
    /// Jobs without an answer in time.
    pub unanswered: usize,
    /// Runs begun.
    pub runs: usize,
}

/// Returns every broken promise, with what shows it.
#[must_use]
pub fn find_violations(ledger: &RunLedger, outcomes: &[JobOutcome]) -> Vec<String> {
    let mut found = Vec::new();
    for (first, second) in ledger.overlaps() {
        found.push(format!("two runs at once: {first:?} {second:?}"));
    }
    for outcome in outcomes {
        let runs = ledger.runs_of(&outcome.name);
        if outcome.refused && !runs.is_empty() {
            found.push(format!("refused as not run, but ran: {outcome:?} {runs:?}"));
        }
        let is_completed = outcome
            .state
            .as_deref()
            .is_some_and(|text| text.contains("completed"));
        if !is_completed {
            continue;
        }
        for task in 0..outcome.tasks {
            let name = format!("{}.0.0.{task}", outcome.name);
            let is_done = runs.iter().any(|run| run.task == name && run.how == "done");
            if !is_done {
                found.push(format!(
                    "completed without task {task}: {outcome:?} {runs:?}"
                ));
            }
        }
    }
    found
}

/// Returns requests that were cut off, which planned work never does.
#[must_use]
pub fn find_cuts(outcomes: &[JobOutcome]) -> Vec<String> {
    outcomes
        .iter()
        .filter(|outcome| outcome.cuts > 0)
        .map(|outcome| format!("cut off in planned work: {outcome:?}"))
        .collect()
}

/// Counts outcomes.
#[must_use]
pub fn count(ledger: &RunLedger, outcomes: &[JobOutcome]) -> SoakCounts {
    let mut counts = SoakCounts {
        jobs: outcomes.len(),
        runs: ledger.entries().len(),
        ..SoakCounts::default()
    };
    for outcome in outcomes {
        match (&outcome.state, outcome.refused) {
            (Some(_), _) => counts.completed += 1,
            (None, true) => counts.refused += 1,
            (None, false) => counts.unanswered += 1,
        }
    }
    counts
}
